package repl

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync/atomic"

	"wasabiweir/core/raft"
)

// readRequest is one call of Replica.ReadIndex whose caller waits.
type readRequest struct {
	abandoned atomic.Bool // the caller of ReadIndex no longer waits
	done      chan requestOutcome
}

// isWaiting reports whether the caller of ReadIndex still waits for the read.
func (r *readRequest) isWaiting() bool { return !r.abandoned.Load() }

// readGroup is a set of linearizable reads that share one read-index request to the leader.
type readGroup struct {
	requests       []*readRequest
	confirmed      bool   // a quorum confirmed the leader after the request
	index          uint64 // log index that must be applied before the reads return; set once confirmed
	ticksSinceSent int
}

// ReadIndex provides linearizable reads: it returns once a quorum has confirmed the leader and this member has applied
// the leader's commit index, and returns an applied index. The state machine then contains each proposal that was
// acknowledged before the call. It returns ErrStopped if the replica stops, and the context's error if that ends first.
func (r *Replica) ReadIndex(ctx context.Context) (uint64, error) {
	r.initOnce()
	req := &readRequest{done: make(chan requestOutcome, 1)}
	r.inbox.mu.Lock()
	stopped := r.inbox.stopped
	if !stopped {
		r.inbox.reads = append(r.inbox.reads, req)
	}
	r.inbox.mu.Unlock()
	if stopped {
		return 0, ErrStopped
	}
	r.wakeLoop()
	select {
	case o := <-req.done:
		return o.index, o.err
	case <-ctx.Done():
		req.abandoned.Store(true)
		return 0, fmt.Errorf("read index: %w", ctx.Err())
	}
}

// sendReadIndex sends the read-index request of a group of reads to the leader. If that fails, for example without a
// leader, the next tick sends it again.
func (r *Replica) sendReadIndex(key uint64) {
	g := r.pendingReads[key]
	g.ticksSinceSent = 0
	if err := r.node.ReadIndex(r.requestKey(key)); err != nil {
		g.ticksSinceSent = readRetryTicks - 1
	}
}

// retryReads resends the read-index requests that the leader has not answered. It removes those whose callers no longer
// wait, which would accumulate while there is no leader.
func (r *Replica) retryReads() {
	for key, g := range r.pendingReads {
		g.ticksSinceSent++
		if !slices.ContainsFunc(g.requests, (*readRequest).isWaiting) {
			delete(r.pendingReads, key)
			continue
		}
		if !g.confirmed && g.ticksSinceSent >= readRetryTicks {
			r.sendReadIndex(key)
		}
	}
}

// answerReads marks the read groups that the leader confirmed, and completes the reads of all confirmed groups whose
// log index is applied.
func (r *Replica) answerReads(confirmed []raft.Read) {
	for _, c := range confirmed {
		if len(c.Context) != requestKeyBytes || binary.LittleEndian.Uint64(c.Context) != r.processID {
			continue
		}
		g := r.pendingReads[binary.LittleEndian.Uint64(c.Context[8:])]
		if g != nil && !g.confirmed {
			g.confirmed = true
			g.index = c.Index
		}
	}
	applied := r.node.Applied()
	for key, g := range r.pendingReads {
		if !g.confirmed || g.index > applied {
			continue
		}
		delete(r.pendingReads, key)
		for _, req := range g.requests {
			req.done <- requestOutcome{index: applied}
		}
	}
}
