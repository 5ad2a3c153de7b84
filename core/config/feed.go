package config

import "wasabiweir/core/object"

// FreshnessProof shows that a quorum of the control processes confirmed a control member's Raft read index. Index then
// covers every log entry that was committed when the confirmation was requested, so a configuration that includes the
// log up to Index was up to date at that time.
type FreshnessProof struct {
	// Term and Index are the Raft term and the log index that the quorum confirmed.
	Term  uint64 `cbor:"term"`
	Index uint64 `cbor:"index"`
	// Confirmed is the number of confirmations that the control member has received from a quorum so far; a larger number
	// is a newer proof.
	Confirmed uint64 `cbor:"confirmed"`
}

// FullConfig is the complete configuration graph at one revision.
type FullConfig struct {
	Revision uint64        `cbor:"revision"`
	Digest   object.Digest `cbor:"digest"`
	Graph    object.Graph  `cbor:"graph"`
}

// Delta is the difference between the configuration at one revision and at a later one: the objects to store and those
// to delete.
type Delta struct {
	FromRevision uint64        `cbor:"from-revision"`
	FromDigest   object.Digest `cbor:"from-digest"`
	Revision     uint64        `cbor:"revision"`
	Digest       object.Digest `cbor:"digest"`
	Put          object.Graph  `cbor:"put"`
	Delete       []object.Ref  `cbor:"delete"`
}

// Update is one message of the configuration feed from a control member to a router; at most one of Full and Delta is
// set.
type Update struct {
	// Revision and Digest are those of the control member's configuration after it applied the log up to Proof.Index at
	// least.
	Revision uint64         `cbor:"revision"`
	Digest   object.Digest  `cbor:"digest"`
	Proof    FreshnessProof `cbor:"proof"`
	Full     *FullConfig    `cbor:"full,omitempty"`
	Delta    *Delta         `cbor:"delta,omitempty"`
}

// Full returns the complete configuration at the current revision.
func (m *Machine) Full() *FullConfig {
	m.initDefaults()
	return &FullConfig{Revision: m.state.revision, Digest: m.state.digest, Graph: *m.state.graph}
}

// Delta returns the difference between the configuration at a receiver's revision and the current one. It returns false
// when the history does not reach back to the receiver's revision or has another digest for it.
func (m *Machine) Delta(revision uint64, digest object.Digest) (*Delta, bool) {
	m.initDefaults()
	records, ok := m.history.recordsAfter(m.state, revision)
	if !ok {
		return nil, false
	}
	if known, ok := m.history.digestAt(m.state, revision); !ok || known != digest {
		return nil, false
	}
	seen := make(map[object.Ref]bool)
	var changed []object.Ref
	for i := range records {
		for _, r := range records[i].Objects {
			if !seen[r] {
				seen[r] = true
				changed = append(changed, r)
			}
		}
	}
	d := &Delta{FromRevision: revision, FromDigest: digest, Revision: m.state.revision, Digest: m.state.digest}
	d.Put, d.Delete = m.state.graph.Subset(changed)
	return d, true
}

// Update returns the feed message for a receiver whose configuration has the given revision and digest; a receiver
// without a configuration passes the zero digest. The message has neither Full nor Delta when the receiver has the
// current or a later revision.
func (m *Machine) Update(revision uint64, digest object.Digest, proof FreshnessProof) Update {
	m.initDefaults()
	u := Update{Revision: m.state.revision, Digest: m.state.digest, Proof: proof}
	if revision > m.state.revision || revision == m.state.revision && digest == m.state.digest {
		return u
	}
	if d, ok := m.Delta(revision, digest); ok {
		u.Delta = d
		return u
	}
	u.Full = m.Full()
	return u
}
