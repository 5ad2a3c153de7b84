package keeper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/state"
	"wasabiweir/io/repl"
	"wasabiweir/io/wire"
)

const (
	// readTimeout bounds a linearizable read of the configuration; operators' clients try another keeper after a
	// second.
	readTimeout = 900 * time.Millisecond
	// putTimeout bounds the replication of a configuration state; it is long enough for an election.
	putTimeout = 3 * time.Second
)

// Errors of PutConfiguration and Configuration.
var (
	// ErrInvalidConfiguration means that the configuration is invalid and was not stored.
	ErrInvalidConfiguration = eris.New("the configuration is invalid")
	// ErrUnavailable means that no quorum of keepers confirmed in time; a new configuration may or may not take effect
	// later.
	ErrUnavailable = eris.New("no quorum of keepers has confirmed in time")
	// ErrNotStored means that a configuration was not passed on, since a keeper's disk fails or has no room for it, or too much
	// waits; it will not take effect and may be sent again.
	ErrNotStored = eris.New("the configuration was not stored and may be sent again")
	// ErrNoConfiguration means that no configuration was ever stored.
	ErrNoConfiguration = eris.New("there is no configuration yet")
)

// stateMachine is the replicated state machine that holds the newest configuration state. The replica's goroutine
// changes it; other goroutines read it.
type stateMachine struct {
	keeper *Keeper

	mu      sync.Mutex
	machine state.Machine
}

// Apply applies a committed log entry of the Raft group and notifies the relay feeds if it changed the configuration
// state.
func (m *stateMachine) Apply(index uint64, data []byte) any {
	m.mu.Lock()
	outcome := m.machine.Apply(data)
	m.mu.Unlock()
	if outcome.Err != nil {
		m.keeper.Log.Error("entry-unreadable", zap.Uint64("index", index), zap.Error(outcome.Err))
	}
	if outcome.Changed {
		m.keeper.Log.Info("state-changed", zap.Uint64("version", outcome.Version), zap.Uint64("index", index))
		m.keeper.feeds.notifyStateChanged()
	}
	return outcome
}

// Snapshot returns the newest configuration state, encoded as a Raft snapshot.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Snapshot()
}

// Restore replaces the newest configuration state with that of a Raft snapshot.
func (m *stateMachine) Restore(data []byte) error {
	m.mu.Lock()
	err := m.machine.Restore(data)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	m.keeper.feeds.notifyStateChanged()
	return nil
}

// newestEntry returns the log entry with the newest configuration state, or false if there is none.
func (m *stateMachine) newestEntry() (state.LogEntry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Current()
}

// stateSince returns the newest configuration state for a relay that has the given version, or none if hasState is false;
// the document is left out if the relay has it.
func (m *stateMachine) stateSince(version uint64, hasState bool) wire.ConfigState {
	newest, ok := m.newestEntry()
	if !ok {
		return wire.ConfigState{}
	}
	u := wire.ConfigState{Version: newest.Version, Exists: true}
	if !hasState || newest.Version > version {
		u.Document, u.Compressed = newest.Document, newest.Compressed
	}
	return u
}

// ReadDocument reads a configuration document that an operator sends, and fails with serve.ErrNoRoom if the documents of others take the
// memory for it. release must be called once the document is no longer needed, also after an error.
func (k *Keeper) ReadDocument(body io.Reader) (document []byte, release func(), err error) {
	return k.intake.ReadBody(body) //nolint:wrapcheck // names what was read
}

// PutConfiguration validates a configuration document and returns once it, or a higher version, is durable on a quorum;
// its errors are ErrInvalidConfiguration, ErrNotStored and ErrUnavailable.
func (k *Keeper) PutConfiguration(ctx context.Context, document []byte) error {
	s, err := k.Decode(document)
	if err == nil {
		err = s.Validate()
	}
	if err != nil {
		k.Log.Warn("state-refused", zap.Int("bytes", len(document)), zap.Error(err))
		return errors.Join(ErrInvalidConfiguration, err)
	}
	start := k.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	defer context.AfterFunc(k.operators, cancel)()
	e := state.NewLogEntry(s.Version, document)
	data, err := e.Encode()
	if err != nil {
		return err
	}
	if current, ok := k.machine.newestEntry(); ok && s.Version <= current.Version {
		// The current state is committed, so no new log entry is needed. A linearizable read confirms it and adds
		// nothing to the log.
		if err := k.confirmApplied(ctx); err == nil {
			k.Log.Info("state-already-committed", zap.Uint64("version", s.Version), zap.Uint64("held", current.Version))
			return nil
		}
	}
	result, index, err := k.group.currentReplica().propose(ctx, data)
	if err != nil {
		if errors.Is(err, repl.ErrNoSpace) || errors.Is(err, repl.ErrNotRun) {
			k.Log.Warn("state-not-stored", zap.Uint64("version", s.Version), zap.Int("bytes", len(data)), zap.Error(err))
			return errors.Join(ErrNotStored, err)
		}
		k.Log.Warn("state-not-confirmed", zap.Uint64("version", s.Version), zap.Error(err))
		return errors.Join(ErrUnavailable, err)
	}
	outcome := result.(state.ApplyResult)
	k.Log.Info("state-acknowledged", zap.Uint64("version", s.Version), zap.Uint64("held", outcome.Version),
		zap.Uint64("index", index), zap.Duration("took", k.Clock.Now().Sub(start)))
	return nil
}

// Configuration returns the newest configuration document after a quorum has confirmed it; its errors are
// ErrUnavailable, ErrNoConfiguration and those of a damaged document.
func (k *Keeper) Configuration(ctx context.Context) ([]byte, error) {
	if err := k.confirmApplied(ctx); err != nil {
		k.Log.Info("read-not-confirmed", zap.Error(err))
		return nil, errors.Join(ErrUnavailable, err)
	}
	current, ok := k.machine.newestEntry()
	if !ok {
		return nil, ErrNoConfiguration
	}
	return current.Text()
}

// confirmApplied waits until a quorum has confirmed that this keeper has applied all configuration states that were
// acknowledged to operators.
func (k *Keeper) confirmApplied(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := k.group.currentReplica().confirm(ctx); err != nil {
		return fmt.Errorf("confirm with a quorum: %w", err)
	}
	return nil
}
