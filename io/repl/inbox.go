package repl

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"wasabiweir/core/raft"

	"go.uber.org/zap"
)

// requestKeyBytes is the length of the key that precedes the data of each proposal and identifies each read of the
// replica: a random number of the process and a counter, 8 bytes each.
const requestKeyBytes = 16

// requestInbox queues the Raft messages from other members and the proposals and reads of callers until the next
// iteration of the replica's loop.
type requestInbox struct {
	mu       sync.Mutex
	stopped  bool // the replica has stopped, so nothing more is queued
	messages []raft.Message
	// messageBytes and proposalBytes are the sizes of the data in messages and proposals.
	messageBytes  int
	proposalBytes int
	proposals     []*proposal
	reads         []*readRequest
}

// drainInbox passes all queued Raft messages, proposals and reads to the raft node.
func (r *Replica) drainInbox(now time.Time) error {
	r.inbox.mu.Lock()
	messages, proposals, reads := r.inbox.messages, r.inbox.proposals, r.inbox.reads
	r.inbox.messages, r.inbox.proposals, r.inbox.reads = nil, nil, nil
	r.inbox.messageBytes, r.inbox.proposalBytes = 0, 0
	r.inbox.mu.Unlock()
	r.holdProposals()
	if m := r.takeTransfer(now); m != nil {
		if err := r.stepMessage(m); err != nil {
			return err
		}
	}
	for i := range messages {
		m := &messages[i]
		switch {
		case m.Type == raft.MsgTransfer:
			r.holdTransfer(m, now)
			continue
		case m.Type == raft.MsgAppend && m.DataBytes() > smallEntries && r.isLogFull():
			r.meter.ignored[ignoreReasonLogFull].Inc(1)
			continue
		case !r.hasRoomFor(m):
			r.meter.ignored[ignoreReasonNoSpace].Inc(1)
			continue
		}
		if err := r.stepMessage(m); err != nil {
			return err
		}
	}
	var requeued []*proposal
	for _, p := range proposals {
		if !r.submitProposal(p) {
			requeued = append(requeued, p)
		}
	}
	r.requeueProposals(requeued)
	if len(reads) > 0 {
		r.lastKey++
		r.pendingReads[r.lastKey] = &readGroup{requests: reads}
		r.sendReadIndex(r.lastKey)
	}
	return nil
}

// stepMessage passes a Raft message to the raft node. It ignores a message to another identity.
func (r *Replica) stepMessage(m *raft.Message) error {
	err := r.node.Step(*m)
	if errors.Is(err, raft.ErrWrongIdentity) {
		r.meter.ignored[ignoreReasonIdentity].Inc(1)
		r.Log.Debug("message-ignored", zap.String("from", m.From.String()), zap.Error(err))
		return nil
	}
	if err != nil {
		return fmt.Errorf("process a raft message: %w", err)
	}
	return nil
}

// shutDown fails all pending proposals and reads of the replica with ErrStopped and publishes that this member is no
// longer the leader.
func (r *Replica) shutDown() {
	s := *r.status.Load()
	s.Role, s.Leader = raft.Follower, raft.ID{}
	r.status.Store(&s)
	r.inbox.mu.Lock()
	r.inbox.stopped = true
	proposals, reads := r.inbox.proposals, r.inbox.reads
	r.inbox.proposals, r.inbox.reads, r.inbox.messages = nil, nil, nil
	r.inbox.mu.Unlock()
	for _, p := range r.pendingProposals {
		proposals = append(proposals, p)
	}
	for _, p := range proposals {
		p.deliverOutcome(requestOutcome{err: ErrStopped})
	}
	for _, g := range r.pendingReads {
		reads = append(reads, g.requests...)
	}
	for _, req := range reads {
		req.done <- requestOutcome{err: ErrStopped}
	}
}
