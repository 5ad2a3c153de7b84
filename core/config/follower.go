package config

import (
	"time"

	"wasabiweir/core/object"
)

// Default timeouts of a Follower.
const (
	// DefaultStallTimeout is the time without a newer freshness proof after which the router connects to another control
	// member.
	DefaultStallTimeout = 2 * time.Second
	// DefaultFreshFor is the time after a freshness proof during which the router's configuration counts as fresh, that
	// is, as confirmed by a quorum of the control processes to be up to date.
	DefaultFreshFor = 4 * time.Second
)

// UpdateResult is the result of Follower.ApplyUpdate: what the router's follower did with a configuration update.
type UpdateResult string

// The results of Follower.ApplyUpdate, which receives configuration updates.
const (
	// UpdateApplied means that the follower replaced its configuration by that of the update.
	UpdateApplied UpdateResult = "applied"
	// UpdateCurrent means that the follower already had the configuration of the update's revision.
	UpdateCurrent UpdateResult = "current"
	// UpdateOlder means that the update has a lower revision than the follower's configuration; the update's configuration
	// was dropped.
	UpdateOlder UpdateResult = "older"
	// UpdateDetached means that the update did not arrive on the current connection to a control member and was dropped.
	UpdateDetached UpdateResult = "detached"
	// UpdateMismatch means that the update does not start at the follower's revision or does not result in the stated
	// digest; it was dropped, and the router requests the complete configuration from the control member.
	UpdateMismatch UpdateResult = "mismatch"
)

// Follower holds a router's copy of the configuration and keeps it up to date; it is not safe for concurrent use. Its
// zero value has no configuration. Exported fields are set before the first call.
type Follower struct {
	// StallTimeout is the time without a newer freshness proof after which Stalled returns true; zero means
	// DefaultStallTimeout.
	StallTimeout time.Duration
	// FreshFor is the time after a freshness proof during which Fresh returns true; zero means DefaultFreshFor.
	FreshFor time.Duration
	// SyncBeforeReport says whether a configuration must be synced to disk before ReportedPosition returns its revision.
	SyncBeforeReport bool

	// state is the newest configuration that was received, stored the newest one that is synced to the router's disk.
	state  configState
	stored configState
	// usable says whether the router may serve with the configuration: it was loaded from the router's disk, or a control
	// member's freshness proof has confirmed that it was up to date.
	usable bool

	connection string
	attachedAt time.Time
	// hasBaseline says whether a freshness proof arrived on the current connection to a control member; lastProof is the
	// newest of them.
	hasBaseline bool
	lastProof   FreshnessProof
	// highestProof holds the largest term and index of the freshness proofs of all control members. provenAt is the time
	// at which the last newer proof arrived.
	highestProof FreshnessProof
	provenAt     time.Time
}

// Load sets the configuration that the router stored on disk before a restart, or returns ErrDigestMismatch. The router
// may serve with it, but it does not count as fresh until a control member's freshness proof arrives.
func (f *Follower) Load(full *FullConfig) error {
	if full.Graph.Digest() != full.Digest {
		return ErrDigestMismatch
	}
	f.state = configState{graph: &full.Graph, revision: full.Revision, digest: full.Digest}
	f.stored = f.state
	f.usable = true
	return nil
}

// Attach starts to follow a control member on a new connection; ApplyUpdate drops configuration updates of other
// connections from then on. Each connection needs a name of its own, so that late updates of an earlier connection to
// the same control member are dropped.
func (f *Follower) Attach(connection string, now time.Time) {
	f.connection = connection
	f.attachedAt = now
	f.hasBaseline = false
	f.lastProof = FreshnessProof{}
}

// Position returns the revision and digest of the router's configuration, from which it asks a control member for
// updates; both are zero if the follower has no configuration.
func (f *Follower) Position() (uint64, object.Digest) { return f.state.revision, f.state.digest }

// ApplyUpdate processes a configuration update that arrived on a connection at the time now: first the update's
// configuration and then its freshness proof.
func (f *Follower) ApplyUpdate(connection string, u *Update, now time.Time) UpdateResult {
	if connection != f.connection || connection == "" {
		return UpdateDetached
	}
	result := f.applyConfig(u)
	f.applyProof(u, now)
	return result
}

// applyConfig replaces the follower's configuration by that of the update if it is newer and has the stated digest.
func (f *Follower) applyConfig(u *Update) UpdateResult {
	switch {
	case u.Revision < f.state.revision:
		return UpdateOlder
	case u.Revision == f.state.revision && f.state.graph != nil:
		if u.Digest != f.state.digest {
			return UpdateMismatch
		}
		return UpdateCurrent
	}
	graph := f.nextGraph(u)
	if graph == nil || graph.Digest() != u.Digest {
		return UpdateMismatch
	}
	f.state = configState{graph: graph, revision: u.Revision, digest: u.Digest}
	return UpdateApplied
}

// nextGraph returns the configuration graph that results from the update, or nil if the update has no configuration,
// contradicts itself or does not start at the follower's revision and digest.
func (f *Follower) nextGraph(u *Update) *object.Graph {
	switch {
	case u.Full != nil:
		if u.Full.Revision != u.Revision || u.Full.Digest != u.Digest {
			return nil
		}
		return &u.Full.Graph
	case u.Delta != nil && f.state.graph != nil:
		d := u.Delta
		if d.FromRevision != f.state.revision || d.FromDigest != f.state.digest || d.Revision != u.Revision || d.Digest != u.Digest {
			return nil
		}
		graph := f.state.graph.Clone()
		graph.Patch(&d.Put, d.Delete)
		return graph
	default:
		return nil
	}
}

// applyProof marks the configuration as fresh if the update's freshness proof is newer than the last one on this
// connection, its term and index are not lower than those of another control member's proof, and the follower has
// exactly the update's revision. The first proof on a connection is only a baseline for the later ones.
func (f *Follower) applyProof(u *Update, now time.Time) {
	p := u.Proof
	if p.Term < f.highestProof.Term || p.Index < f.highestProof.Index {
		return
	}
	if !f.hasBaseline {
		f.hasBaseline = true
		f.lastProof = p
		return
	}
	if p.Confirmed <= f.lastProof.Confirmed {
		return
	}
	if f.state.graph == nil || u.Revision != f.state.revision || u.Digest != f.state.digest {
		return
	}
	f.lastProof = p
	f.highestProof = FreshnessProof{Term: p.Term, Index: p.Index}
	f.provenAt = now
	f.usable = true
}

// Graph returns the configuration graph for the router to serve with, or nil while the router has none that it may use.
// The caller must not modify it.
func (f *Follower) Graph() *object.Graph {
	if !f.usable {
		return nil
	}
	return f.state.graph
}

// Fresh reports whether a control member's freshness proof has confirmed within the last FreshFor that the
// configuration is up to date.
func (f *Follower) Fresh(now time.Time) bool {
	return f.usable && !f.provenAt.IsZero() && now.Sub(f.provenAt) < orDefault(f.FreshFor, DefaultFreshFor)
}

// Stalled reports whether StallTimeout has passed since the last newer freshness proof and since the connection to the
// control member began, so that the router should connect to another one.
func (f *Follower) Stalled(now time.Time) bool {
	since := f.attachedAt
	if f.provenAt.After(since) {
		since = f.provenAt
	}
	return now.Sub(since) >= orDefault(f.StallTimeout, DefaultStallTimeout)
}

// PendingStore returns the configuration that the router still has to write to its disk, or nil if there is none.
func (f *Follower) PendingStore() *FullConfig {
	if !f.SyncBeforeReport || f.state.graph == nil || f.stored.revision == f.state.revision && f.stored.graph != nil {
		return nil
	}
	return &FullConfig{Revision: f.state.revision, Digest: f.state.digest, Graph: *f.state.graph}
}

// MarkStored records that a configuration that PendingStore returned is synced to the router's disk.
func (f *Follower) MarkStored(full *FullConfig) {
	if f.stored.graph != nil && full.Revision <= f.stored.revision {
		return
	}
	f.stored = configState{graph: &full.Graph, revision: full.Revision, digest: full.Digest}
}

// ReportedPosition returns the revision and digest of the configuration that the router reports as applied; if
// SyncBeforeReport is set, that configuration is synced to disk.
func (f *Follower) ReportedPosition() (uint64, object.Digest) {
	switch {
	case !f.usable:
		return 0, object.Digest{}
	case f.SyncBeforeReport:
		return f.stored.revision, f.stored.digest
	default:
		return f.state.revision, f.state.digest
	}
}

// orDefault returns the duration d if it is positive, else fallback.
func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
