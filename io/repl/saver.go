package repl

import (
	"fmt"
	"time"

	"wasabiweir/core/raft"
	"wasabiweir/io/store"

	"go.uber.org/zap"
)

// StateCopier is implemented by a state machine whose state can be copied much faster than it can be encoded. The
// replica then encodes the copy in another goroutine; it calls Snapshot of other state machines in its loop.
type StateCopier interface {
	// CopyState returns a copy of the state machine's state that later calls of Apply do not change.
	CopyState() StateCopy
}

// StateCopy is a copy of a state machine's state.
type StateCopy interface {
	// Encode returns what Machine.Snapshot would have returned when the copy was made.
	Encode() ([]byte, error)
}

// snapshotWriter encodes and writes one snapshot of the state machine in a goroutine of its own, so that a large one
// does not delay the heartbeats that the replica's loop sends.
type snapshotWriter struct {
	store     *store.Store
	snapshot  raft.Snapshot
	stateCopy StateCopy // if set, it is encoded into the snapshot before that is written
	done      chan error
	wake      func()
}

// run writes the snapshot to the store, delivers the result on done and wakes the replica's loop.
func (s *snapshotWriter) run() {
	s.done <- s.writeSnapshot()
	s.wake()
}

// writeSnapshot encodes the copy of the state machine's state, if there is one, and writes the snapshot to the store.
func (s *snapshotWriter) writeSnapshot() error {
	if s.stateCopy != nil {
		data, err := s.stateCopy.Encode()
		if err != nil {
			return fmt.Errorf("encode the state: %w", err)
		}
		s.snapshot.Data = data
	}
	return s.store.WriteSnapshot(s.snapshot)
}

// snapshotDue reports whether enough log entries are applied since the latest snapshot, by their number or their size.
// They must also be at least as large as that snapshot, so that snapshots at most double the bytes written.
func (r *Replica) snapshotDue() bool {
	count := r.node.Applied() - r.snapshotIndex
	enough := count >= r.SnapshotEvery || r.appliedBytes >= r.quarterBytes()
	if r.space.short {
		// The files that a snapshot replaces are to be freed, which is worth it once they are larger than it.
		enough = r.appliedBytes >= spaceReserve/8
	}
	return count > 0 && enough && r.appliedBytes >= r.snapshotBytes && time.Since(r.snapshotFailedAt) >= spaceCheckInterval
}

// isLogFull reports whether a snapshot is being written and the next one would be due by the size of the entries applied
// since. Without this bound, a slow disk lets the log grow until it fills the memory or the disk. The number of entries
// doesn't count: many small ones take little room.
func (r *Replica) isLogFull() bool {
	return r.snapshotWriter != nil && r.appliedBytes >= max(r.quarterBytes(), r.snapshotBytes)
}

// holdProposals makes the raft node refuse proposals while the log is full, and reports on a leader when that begins and
// ends.
func (r *Replica) holdProposals() {
	full := r.isLogFull()
	r.node.HoldProposals(full)
	held := full && r.node.IsLeader()
	if held == r.proposalsHeld {
		return
	}
	r.proposalsHeld = held
	if held {
		r.meter.logFull.Inc(1)
	}
	r.Log.Warn("log-full-changed", zap.Bool("full", held), zap.Uint64("applied", r.node.Applied()), zap.Int("applied-bytes", r.appliedBytes))
}

// advanceSnapshot starts a snapshot of the state machine once enough log entries are applied. While one is being
// written, it checks for its completion and then drops the log entries that the snapshot covers.
func (r *Replica) advanceSnapshot() error {
	if r.snapshotWriter != nil {
		return r.finishSnapshot()
	}
	if !r.snapshotDue() {
		return nil
	}
	var (
		data      []byte
		stateCopy StateCopy
		err       error
	)
	if m, ok := r.Machine.(StateCopier); ok {
		stateCopy = m.CopyState()
	} else if data, err = r.Machine.Snapshot(); err != nil {
		return fmt.Errorf("take a snapshot: %w", err)
	}
	s, ok := r.node.NewSnapshot(data)
	if !ok {
		return nil
	}
	r.beginSnapshot(s, stateCopy)
	go r.snapshotWriter.run()
	return nil
}

// beginSnapshot creates the writer of a snapshot, which covers the entries applied so far.
func (r *Replica) beginSnapshot(s raft.Snapshot, stateCopy StateCopy) {
	r.snapshotCoversBytes, r.appliedBytes = r.appliedBytes, 0
	r.snapshotWriter = &snapshotWriter{store: r.Store, snapshot: s, stateCopy: stateCopy, done: make(chan error, 1), wake: r.wakeLoop}
}

// finishSnapshot trims the store and the raft node's log if the snapshot writer is done; otherwise it returns at once.
func (r *Replica) finishSnapshot() error {
	select {
	case err := <-r.snapshotWriter.done:
		if isDiskFull(err) {
			// The log goes on while there is room for it, and the snapshot is tried again.
			r.snapshotWriter, r.snapshotFailedAt = nil, time.Now()
			r.appliedBytes += r.snapshotCoversBytes
			r.Log.Warn("snapshot-not-written", zap.Error(err))
			return nil
		}
		if err != nil {
			return fmt.Errorf("save a snapshot: %w", err)
		}
	default:
		return nil
	}
	if r.isLogFull() {
		// Proposals that waited for the snapshot go on.
		r.wakeLoop()
	}
	s := r.snapshotWriter.snapshot
	r.snapshotWriter = nil
	if s.Index <= r.snapshotIndex {
		// A newer snapshot from the leader was installed while this one was written.
		return nil
	}
	if err := r.Store.Trim(s); err != nil {
		return fmt.Errorf("trim the store: %w", err)
	}
	if err := r.node.Compact(s, r.KeepEntries, r.quarterBytes()); err != nil {
		return fmt.Errorf("compact the log: %w", err)
	}
	r.snapshotIndex, r.snapshotBytes = s.Index, len(s.Data)
	r.meter.snapshots.Inc(1)
	return nil
}
