package ctrl

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/config"
	"wasabiweir/core/object"
)

// configMachine is this process's copy of the replicated configuration, as the state machine of the Raft group config.
// The goroutine of the group's replica changes it and others read it, so that mu guards it.
type configMachine struct {
	control *Control

	mu      sync.Mutex // guards machine, which the replica changes and others read
	machine config.Machine
}

// Apply applies a committed change of the configuration and returns its config.Outcome. It notifies the router feeds
// of a new revision.
func (m *configMachine) Apply(index uint64, data []byte) any {
	m.mu.Lock()
	out := m.machine.Apply(data)
	m.mu.Unlock()
	if out.Status == config.StatusAccepted && !out.Repeat {
		m.control.Log.Info("configuration-changed", zap.Uint64("revision", out.Revision),
			zap.String("request", out.RequestID), zap.Uint64("index", index))
		m.control.feeds.notifyNewRevision()
	}
	return out
}

// Snapshot returns the encoded configuration with its history.
func (m *configMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Snapshot()
}

// Restore replaces the configuration and its history by those of a snapshot and notifies the router feeds.
func (m *configMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.machine.Restore(data); err != nil {
		return fmt.Errorf("restore configuration: %w", err)
	}
	m.control.feeds.notifyNewRevision()
	return nil
}

// withMachine calls f with the state machine of the configuration while it holds the lock; f must not retain the
// pointer.
func (m *configMachine) withMachine(f func(*config.Machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(&m.machine)
}

// currentGraph returns the objects that the configuration declares, with the configuration's revision and digest.
func (m *configMachine) currentGraph() (g *object.Graph, revision uint64, digest object.Digest) {
	m.withMachine(func(x *config.Machine) { g, revision, digest = x.Graph(), x.Revision(), x.Digest() })
	return g, revision, digest
}

// proposeChange replicates a change of the configuration and returns its outcome once this process has applied it;
// author is the operator's name.
func (c *Control) proposeChange(ctx context.Context, change *object.Change, author string) (config.Outcome, error) {
	e := config.Entry{Change: *change, Author: author, TimeMS: c.Clock.Now().UnixMilli()}
	data, err := e.Encode()
	if err != nil {
		return config.Outcome{}, fmt.Errorf("encode change: %w", err)
	}
	g := c.groups[ConfigGroup]
	if err := g.awaitVoterMajority(ctx); err != nil {
		return config.Outcome{}, err
	}
	result, _, err := g.replica.Propose(ctx, data)
	if err != nil {
		return config.Outcome{}, fmt.Errorf("replicate change: %w", err)
	}
	return result.(config.Outcome), nil
}

// quorumTimeout bounds how long a linearizable read or a change of the configuration waits for a control quorum.
const quorumTimeout = 5 * time.Second

// readBarrier makes a following local read of the configuration linearizable: it returns once a control quorum has
// confirmed that this process has applied all acknowledged changes.
func (c *Control) readBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	if _, err := c.groups[ConfigGroup].replica.ReadIndex(ctx); err != nil {
		return fmt.Errorf("confirm with a quorum: %w", err)
	}
	return nil
}
