package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/state"
	"wasabiweir/io/wire"
)

const (
	// readTimeout bounds a linearizable read; operators ask another keeper after a second.
	readTimeout = 900 * time.Millisecond
	// putTimeout bounds the replication of a state; it covers an election.
	putTimeout = 3 * time.Second
)

// Errors of Put and Document.
var (
	// ErrInvalid means that the state is invalid and changes nothing.
	ErrInvalid = eris.New("the configuration is invalid")
	// ErrUnavailable means that no quorum has confirmed in time; a state that was put may or may not come into force.
	ErrUnavailable = eris.New("no quorum of keepers has confirmed in time")
	// ErrNone means that no state was ever put.
	ErrNone = eris.New("there is no configuration yet")
)

// machine is the replicated state; the replica's goroutine changes it and others read it.
type machine struct {
	keeper *Keeper

	mu      sync.Mutex
	machine state.Machine
}

// Apply applies a committed entry and wakes the feeds if it changed the state.
func (m *machine) Apply(index uint64, data []byte) any {
	m.mu.Lock()
	out := m.machine.Apply(data)
	m.mu.Unlock()
	if out.Err != nil {
		m.keeper.Log.Error("entry-unreadable", zap.Uint64("index", index), zap.Error(out.Err))
	}
	if out.Changed {
		m.keeper.Log.Info("state-changed", zap.Uint64("version", out.Version), zap.Uint64("index", index))
		m.keeper.feeds.notify()
	}
	return out
}

// Snapshot returns the whole state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Snapshot()
}

// Restore replaces the whole state.
func (m *machine) Restore(data []byte) error {
	m.mu.Lock()
	err := m.machine.Restore(data)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	m.keeper.feeds.notify()
	return nil
}

func (m *machine) held() (state.Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Held()
}

// update returns what a relay that has the version lacks.
func (m *machine) update(version uint64) wire.State {
	held, ok := m.held()
	if !ok {
		return wire.State{}
	}
	u := wire.State{Version: held.Version, Any: true}
	if held.Version > version {
		u.Document = held.Document
	}
	return u
}

// Put checks a state and returns once it, or a higher version, is durable on a quorum.
func (k *Keeper) Put(ctx context.Context, document []byte) error {
	s, err := k.Decode(document)
	if err == nil {
		err = s.Validate()
	}
	if err != nil {
		k.Log.Warn("state-refused", zap.Int("bytes", len(document)), zap.Error(err))
		return errors.Join(ErrInvalid, err)
	}
	began := k.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	e := state.Entry{Version: s.Version, Document: document}
	data, err := e.Encode()
	if err != nil {
		return err
	}
	if held, ok := k.machine.held(); ok && s.Version <= held.Version {
		// What is held is committed, so that the answer needs no entry of its own; the read keeps it off the log.
		if err := k.confirm(ctx); err == nil {
			k.Log.Info("state-already-held", zap.Uint64("version", s.Version), zap.Uint64("held", held.Version))
			return nil
		}
	}
	result, index, err := k.group.current().Propose(ctx, data)
	if err != nil {
		k.Log.Warn("state-not-confirmed", zap.Uint64("version", s.Version), zap.Error(err))
		return errors.Join(ErrUnavailable, err)
	}
	out := result.(state.Outcome)
	k.Log.Info("state-acknowledged", zap.Uint64("version", s.Version), zap.Uint64("held", out.Version),
		zap.Uint64("index", index), zap.Duration("took", k.Clock.Now().Sub(began)))
	return nil
}

// Document returns the newest state as it was put, confirmed by a quorum after the call.
func (k *Keeper) Document(ctx context.Context) ([]byte, error) {
	if err := k.confirm(ctx); err != nil {
		k.Log.Info("read-not-confirmed", zap.Error(err))
		return nil, errors.Join(ErrUnavailable, err)
	}
	held, ok := k.machine.held()
	if !ok {
		return nil, ErrNone
	}
	return held.Document, nil
}

// confirm waits until a quorum has confirmed that this process has applied all acknowledged states.
func (k *Keeper) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := k.group.current().ReadIndex(ctx); err != nil {
		return fmt.Errorf("confirm with a quorum: %w", err)
	}
	return nil
}
