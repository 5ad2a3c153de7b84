package config

import (
	"fmt"

	"wasabiweir/core/object"

	"github.com/rotisserie/eris"
)

// ErrRevisionNotInHistory means that the history of the configuration does not hold a revision, because it is too old
// or does not exist yet.
var ErrRevisionNotInHistory = eris.New("the revision is not in the history")

// RevisionRecord is the entry for one revision in the history of the configuration: the change that led to the revision
// and what is needed to undo that change.
type RevisionRecord struct {
	Revision  uint64        `json:"revision" cbor:"revision"`
	Digest    object.Digest `json:"digest" cbor:"digest"`
	RequestID string        `json:"request-id" cbor:"request-id"`
	// Fingerprint is the SHA-256 sum of the encoded change, by which a change that is sent again is recognised.
	Fingerprint object.Digest `json:"-" cbor:"fingerprint"`
	Author      string        `json:"author" cbor:"author"`
	// TimeMS is the time at which the leader proposed the change, in Unix milliseconds.
	TimeMS int64 `json:"time-ms" cbor:"time-ms"`
	// Objects names the configuration objects that the change stored or deleted.
	Objects []object.Ref `json:"objects" cbor:"objects"`
	// Before and Added undo the change: Before holds the objects that the change replaced or deleted, Added names those
	// that it created.
	Before object.Graph `json:"-" cbor:"before"`
	Added  []object.Ref `json:"-" cbor:"added"`
}

// history holds the records of the newest configuration revisions, without gaps and oldest first.
type history struct {
	records []RevisionRecord
	// objectCount is the number of changed objects, summed over all records.
	objectCount int
}

// addRecord appends the record of the next configuration revision.
func (h *history) addRecord(r RevisionRecord) {
	h.records = append(h.records, r)
	h.objectCount += len(r.Objects)
}

// trimRecords removes the oldest records until at most the given numbers of configuration revisions and of changed
// objects are left.
func (h *history) trimRecords(revisions, objects int) {
	for len(h.records) > revisions || len(h.records) > 0 && h.objectCount > objects {
		h.objectCount -= len(h.records[0].Objects)
		h.records[0] = RevisionRecord{}
		h.records = h.records[1:]
	}
}

// recordOf returns the record of the change that created the configuration revision, or nil if the history does not
// hold it.
func (h *history) recordOf(revision uint64) *RevisionRecord {
	if len(h.records) == 0 || revision < h.records[0].Revision {
		return nil
	}
	i := revision - h.records[0].Revision
	if i >= uint64(len(h.records)) {
		return nil
	}
	return &h.records[i]
}

// recordsAfter returns the records of all configuration revisions after the given one, or false if the history does not
// hold some of them or the revision does not exist yet.
func (h *history) recordsAfter(current configState, revision uint64) ([]RevisionRecord, bool) {
	if revision > current.revision {
		return nil, false
	}
	n := current.revision - revision
	if n > uint64(len(h.records)) {
		return nil, false
	}
	return h.records[uint64(len(h.records))-n:], true
}

// graphAt rebuilds the configuration graph of a revision by undoing the later changes; it returns false if the history
// does not reach back to that revision.
func (h *history) graphAt(current configState, revision uint64) (*object.Graph, bool) {
	records, ok := h.recordsAfter(current, revision)
	if !ok {
		return nil, false
	}
	if len(records) == 0 {
		return current.graph, true
	}
	g := current.graph.Clone()
	for i := len(records) - 1; i >= 0; i-- {
		g.Patch(&records[i].Before, records[i].Added)
	}
	return g, true
}

// digestAt returns the digest of the configuration at a revision, or false if the history does not reach back to it.
func (h *history) digestAt(current configState, revision uint64) (object.Digest, bool) {
	if revision == current.revision {
		return current.digest, true
	}
	if r := h.recordOf(revision); r != nil {
		return r.Digest, true
	}
	// The history can still rebuild the revision before its oldest record; that revision has no record of its own.
	g, ok := h.graphAt(current, revision)
	if !ok {
		return object.Digest{}, false
	}
	return g.Digest(), true
}

// History returns the records of up to limit configuration revisions, newest first.
func (m *Machine) History(limit int) []RevisionRecord {
	var out []RevisionRecord
	for i := len(m.history.records) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, m.history.records[i])
	}
	return out
}

// At returns the configuration graph of a revision, or ErrRevisionNotInHistory; the caller must not modify the graph.
func (m *Machine) At(revision uint64) (*object.Graph, error) {
	m.initDefaults()
	g, ok := m.history.graphAt(m.state, revision)
	if !ok {
		return nil, fmt.Errorf("revision %d: %w", revision, ErrRevisionNotInHistory)
	}
	return g, nil
}

// Diff returns the objects that differ between the configuration at two revisions, or ErrRevisionNotInHistory.
func (m *Machine) Diff(from, to uint64) ([]object.Difference, error) {
	a, err := m.At(from)
	if err != nil {
		return nil, err
	}
	b, err := m.At(to)
	if err != nil {
		return nil, err
	}
	return object.Diff(a, b), nil
}
