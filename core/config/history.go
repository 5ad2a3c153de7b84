package config

import (
	"fmt"

	"wasabiweir/core/object"

	"github.com/rotisserie/eris"
)

// ErrRevisionNotInHistory means that the history does not hold a revision, because it is too old or does not exist yet.
var ErrRevisionNotInHistory = eris.New("the revision is not in the history")

// Record is the history's entry for one revision: the change that led to it and what is needed to undo the change.
type Record struct {
	Revision  uint64        `json:"revision" cbor:"revision"`
	Digest    object.Digest `json:"digest" cbor:"digest"`
	RequestID string        `json:"request-id" cbor:"request-id"`
	// Fingerprint is the SHA-256 sum of the encoded change.
	Fingerprint object.Digest `json:"-" cbor:"fingerprint"`
	Author      string        `json:"author" cbor:"author"`
	// TimeMS is the time at which the leader proposed the change, in Unix milliseconds.
	TimeMS int64 `json:"time-ms" cbor:"time-ms"`
	// Objects names the objects that the change stored or deleted.
	Objects []object.Ref `json:"objects" cbor:"objects"`
	// Before and Added undo the change: Before holds the replaced or deleted objects, Added names those that were new.
	Before object.Graph `json:"-" cbor:"before"`
	Added  []object.Ref `json:"-" cbor:"added"`
}

// history holds the records of the newest revisions, without gaps and oldest first.
type history struct {
	records []Record
	// objectCount is the number of changed objects in all records.
	objectCount int
}

// add appends the record of the next revision.
func (h *history) add(r Record) {
	h.records = append(h.records, r)
	h.objectCount += len(r.Objects)
}

// trim removes the oldest records until at most the given numbers of revisions and of changed objects are left.
func (h *history) trim(revisions, objects int) {
	for len(h.records) > revisions || len(h.records) > 0 && h.objectCount > objects {
		h.objectCount -= len(h.records[0].Objects)
		h.records[0] = Record{}
		h.records = h.records[1:]
	}
}

// recordOf returns the record of the change that created the revision, or nil if the history does not hold it.
func (h *history) recordOf(revision uint64) *Record {
	if len(h.records) == 0 || revision < h.records[0].Revision {
		return nil
	}
	i := revision - h.records[0].Revision
	if i >= uint64(len(h.records)) {
		return nil
	}
	return &h.records[i]
}

// recordsAfter returns the records of all revisions after the given one, or false if some of them are not held or the
// revision does not exist yet.
func (h *history) recordsAfter(current state, revision uint64) ([]Record, bool) {
	if revision > current.revision {
		return nil, false
	}
	n := current.revision - revision
	if n > uint64(len(h.records)) {
		return nil, false
	}
	return h.records[uint64(len(h.records))-n:], true
}

// graphAt rebuilds the graph of a revision by undoing the later changes; it returns false if the history is too short.
func (h *history) graphAt(current state, revision uint64) (*object.Graph, bool) {
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

// digestAt returns the digest of a revision, or false if the history does not reach back to it.
func (h *history) digestAt(current state, revision uint64) (object.Digest, bool) {
	if revision == current.revision {
		return current.digest, true
	}
	if r := h.recordOf(revision); r != nil {
		return r.Digest, true
	}
	// The history can still rebuild the revision before its oldest record, which has no record of its own.
	g, ok := h.graphAt(current, revision)
	if !ok {
		return object.Digest{}, false
	}
	return g.Digest(), true
}

// History returns the records of up to limit revisions, newest first.
func (m *Machine) History(limit int) []Record {
	var out []Record
	for i := len(m.history.records) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, m.history.records[i])
	}
	return out
}

// At returns the graph of a revision, or ErrRevisionNotInHistory; the caller must not modify the graph.
func (m *Machine) At(revision uint64) (*object.Graph, error) {
	m.init()
	g, ok := m.history.graphAt(m.state, revision)
	if !ok {
		return nil, fmt.Errorf("revision %d: %w", revision, ErrRevisionNotInHistory)
	}
	return g, nil
}

// Diff returns the objects that differ between two revisions, or ErrRevisionNotInHistory.
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
