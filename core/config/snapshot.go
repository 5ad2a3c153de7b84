package config

import (
	"fmt"

	"wasabiweir/core/codec"

	"github.com/rotisserie/eris"
)

// ErrDigestMismatch means that the digest of a configuration graph differs from the one that is stored or sent along
// with it.
var ErrDigestMismatch = eris.New("the graph does not have the stated digest")

// configSnapshot is the form in which a Machine's state is encoded: the configuration, the remembered outcomes and the
// history.
type configSnapshot struct {
	Full     FullConfig          `cbor:"full"`
	Requests []rememberedOutcome `cbor:"requests"`
	History  []RevisionRecord    `cbor:"history"`
}

// Snapshot returns the encoded state of the Machine, or the encoder's error; replicas that applied the same entries
// return the same bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	s := configSnapshot{Full: *m.Full(), History: m.history.records}
	for _, o := range m.outcomes.order {
		s.Requests = append(s.Requests, *o)
	}
	data, err := codec.Encode(&s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state of the Machine by that of an encoded snapshot. On an error, such as ErrDigestMismatch, the
// state stays as it was.
func (m *Machine) Restore(data []byte) error {
	m.initDefaults()
	var s configSnapshot
	if err := codec.Decode(data, &s); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if s.Full.Graph.Digest() != s.Full.Digest {
		return fmt.Errorf("restore revision %d: %w", s.Full.Revision, ErrDigestMismatch)
	}
	m.state = configState{graph: &s.Full.Graph, revision: s.Full.Revision, digest: s.Full.Digest}
	m.outcomes, m.history = outcomeStore{}, history{}
	for i := range s.Requests {
		m.outcomes.addOutcome(&s.Requests[i])
	}
	for _, r := range s.History {
		m.history.addRecord(r)
	}
	return nil
}
