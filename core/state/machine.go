package state

import (
	"fmt"

	"wasabiweir/core/codec"
)

// Entry is a proposal of the replicated log; a valid state's document with its version.
type Entry struct {
	Version  uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"`
}

// Encode returns the entry as data of the log.
func (e *Entry) Encode() ([]byte, error) {
	data, err := codec.Encode(e)
	if err != nil {
		return nil, fmt.Errorf("encode state %d: %w", e.Version, err)
	}
	return data, nil
}

// Outcome is the result of an entry.
type Outcome struct {
	// Version is the version in force after the entry.
	Version uint64
	// Changed says that the entry's state is the one in force now.
	Changed bool
	// Err says that the entry could not be read; nothing changed.
	Err error
}

// Machine is the replicated state machine; it is not safe for concurrent use.
type Machine struct {
	held Entry
	any  bool
}

// Held returns the entry in force, or false if there is none yet.
func (m *Machine) Held() (Entry, bool) { return m.held, m.any }

// Apply applies committed data; a version that is not higher than the one in force changes nothing.
func (m *Machine) Apply(data []byte) Outcome {
	var e Entry
	if err := codec.Decode(data, &e); err != nil {
		return Outcome{Version: m.held.Version, Err: fmt.Errorf("read an entry: %w", err)}
	}
	if m.any && e.Version <= m.held.Version {
		return Outcome{Version: m.held.Version}
	}
	m.held, m.any = e, true
	return Outcome{Version: e.Version, Changed: true}
}

// snapshot is the saved form of a machine.
type snapshot struct {
	Held Entry `cbor:"1,keyasint"`
	Any  bool  `cbor:"2,keyasint"`
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := codec.Encode(snapshot{Held: m.held, Any: m.any})
	if err != nil {
		return nil, fmt.Errorf("encode the state in force: %w", err)
	}
	return data, nil
}

// Restore replaces the whole state.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := codec.Decode(data, &s); err != nil {
		return fmt.Errorf("restore the state in force: %w", err)
	}
	m.held, m.any = s.Held, s.Any
	return nil
}
