package state

import (
	"fmt"

	"wasabiweir/core/codec"
)

// LogEntry is an entry of the keepers' replicated log: the document of a valid configuration state with its version.
// The same compressed bytes are used in the log, in snapshots, in the messages between keepers and in those to relays.
type LogEntry struct {
	Version uint64 `cbor:"1,keyasint"`
	// Document is the uncompressed document, in entries that have it; these may be on disk from earlier versions of the
	// system.
	Document []byte `cbor:"2,keyasint,omitempty"`
	// Compressed is the compressed document if Document is empty.
	Compressed []byte `cbor:"3,keyasint,omitempty"`
}

// NewLogEntry returns the entry for a document, compressed if that makes it smaller.
func NewLogEntry(version uint64, document []byte) LogEntry {
	if c := codec.Compress(document); len(c) < len(document) {
		return LogEntry{Version: version, Compressed: c}
	}
	return LogEntry{Version: version, Document: document}
}

// Text returns the document of the entry; it fails if the entry is damaged.
func (e *LogEntry) Text() ([]byte, error) {
	if len(e.Compressed) == 0 {
		return e.Document, nil
	}
	document, err := codec.Decompress(e.Compressed)
	if err != nil {
		return nil, fmt.Errorf("read the document of state %d: %w", e.Version, err)
	}
	return document, nil
}

// Encode returns the log entry as CBOR for the replicated log.
func (e *LogEntry) Encode() ([]byte, error) {
	data, err := codec.Encode(e)
	if err != nil {
		return nil, fmt.Errorf("encode state %d: %w", e.Version, err)
	}
	return data, nil
}

// ApplyResult is the result of applying a log entry to the replicated state machine.
type ApplyResult struct {
	// Version is the version of the configuration in force after the entry was applied.
	Version uint64
	// Changed means that the entry's configuration state is now in force.
	Changed bool
	// Err is set if the entry could not be decoded; nothing changed then.
	Err error
}

// Machine is the state machine that keepers replicate; it keeps the log entry with the configuration state of the
// highest version. It is not safe for concurrent use.
type Machine struct {
	current    LogEntry
	hasCurrent bool
}

// Current returns the log entry of the configuration in force, or false if none has been applied yet.
func (m *Machine) Current() (LogEntry, bool) { return m.current, m.hasCurrent }

// Apply applies an encoded log entry that the Raft group of the keepers has committed; an entry whose version is not
// higher than the one in force changes nothing.
func (m *Machine) Apply(data []byte) ApplyResult {
	var e LogEntry
	if err := codec.Decode(data, &e); err != nil {
		return ApplyResult{Version: m.current.Version, Err: fmt.Errorf("read an entry: %w", err)}
	}
	if m.hasCurrent && e.Version <= m.current.Version {
		return ApplyResult{Version: m.current.Version}
	}
	m.current, m.hasCurrent = e, true
	return ApplyResult{Version: e.Version, Changed: true}
}

// machineSnapshot is the encoded form of the keepers' state machine in a Raft snapshot.
type machineSnapshot struct {
	Current    LogEntry `cbor:"1,keyasint"`
	HasCurrent bool     `cbor:"2,keyasint"`
}

// Snapshot returns the log entry of the configuration in force, encoded for Restore.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := codec.Encode(machineSnapshot{Current: m.current, HasCurrent: m.hasCurrent})
	if err != nil {
		return nil, fmt.Errorf("encode the state in force: %w", err)
	}
	return data, nil
}

// Restore replaces the configuration in force with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s machineSnapshot
	if err := codec.Decode(data, &s); err != nil {
		return fmt.Errorf("restore the state in force: %w", err)
	}
	m.current, m.hasCurrent = s.Current, s.HasCurrent
	return nil
}
