package config

import "wasabiweir/core/object"

// FreshnessProof shows that a quorum confirmed a control member's Raft read index, so that Index covers every log entry
// that was committed when the confirmation was requested.
type FreshnessProof struct {
	// Term and Index are the Raft term and the log index that were confirmed.
	Term  uint64 `cbor:"term"`
	Index uint64 `cbor:"index"`
	// Confirmed is the number of confirmations that the member has received; a larger number is a newer proof.
	Confirmed uint64 `cbor:"confirmed"`
}

// FullConfig is a complete configuration at one revision.
type FullConfig struct {
	Revision uint64        `cbor:"revision"`
	Digest   object.Digest `cbor:"digest"`
	Graph    object.Graph  `cbor:"graph"`
}

// Delta is the difference between one revision and a later one: the objects to store and those to delete.
type Delta struct {
	FromRevision uint64        `cbor:"from-revision"`
	FromDigest   object.Digest `cbor:"from-digest"`
	Revision     uint64        `cbor:"revision"`
	Digest       object.Digest `cbor:"digest"`
	Put          object.Graph  `cbor:"put"`
	Delete       []object.Ref  `cbor:"delete"`
}

// Update is one message of the feed from a control member to a router; at most one of Full and Delta is set.
type Update struct {
	// Revision and Digest describe the member's configuration after it applied the log up to Proof.Index at least.
	Revision uint64         `cbor:"revision"`
	Digest   object.Digest  `cbor:"digest"`
	Proof    FreshnessProof `cbor:"proof"`
	Full     *FullConfig    `cbor:"full,omitempty"`
	Delta    *Delta         `cbor:"delta,omitempty"`
}

// Full returns the complete current configuration.
func (m *Machine) Full() *FullConfig {
	m.init()
	return &FullConfig{Revision: m.state.revision, Digest: m.state.digest, Graph: *m.state.graph}
}

// Delta returns the difference between a receiver's revision and the current one. It returns false when the history
// does not reach back to the receiver's revision or has another digest for it.
func (m *Machine) Delta(revision uint64, digest object.Digest) (*Delta, bool) {
	m.init()
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

// Update returns the message for a receiver that has the given revision and digest; a receiver without a configuration
// passes the zero digest. The message has neither Full nor Delta when the receiver has the current or a later revision.
func (m *Machine) Update(revision uint64, digest object.Digest, proof FreshnessProof) Update {
	m.init()
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
