package repl

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"wasabiweir/core/raft"

	"go.uber.org/zap"
)

// proposal is a request to the raft node that a caller waits for: data to replicate, a membership change, or a transfer
// of the leadership.
type proposal struct {
	data     []byte
	change   *raft.ConfChange // membership change of the Raft group; nil if there is none
	transfer *raft.ID         // target of a leadership transfer; nil if there is none
	state    atomic.Int32
	mu       sync.Mutex // held while the raft node takes or refuses the proposal, so that its caller knows which
	term     uint64     // Raft term in which it was submitted
	done     chan requestOutcome
}

// States of a proposal that a caller of the replica waits for.
const (
	stateQueued    int32 = iota // the proposal waits in the replica's inbox
	stateSubmitted              // the proposal was passed to the raft node
	stateAbandoned              // the proposal's caller no longer waits
)

// requestOutcome is the result of a proposal to the replica or of a linearizable read.
type requestOutcome struct {
	result any
	index  uint64
	err    error
}

// addProposal queues a proposal for the replica's loop. It returns ErrNotRun if limit proposals are queued, or some
// with which it would have more than maxBytes, and ErrStopped after shutDown.
func (i *requestInbox) addProposal(p *proposal, limit, maxBytes int) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return ErrStopped
	}
	if len(i.proposals) >= limit {
		return fmt.Errorf("%d proposals are queued: %w", limit, ErrNotRun)
	}
	if i.proposalBytes > 0 && i.proposalBytes+len(p.data) > maxBytes {
		return fmt.Errorf("proposals of %d bytes are queued: %w", i.proposalBytes, ErrNotRun)
	}
	i.proposals = append(i.proposals, p)
	i.proposalBytes += len(p.data)
	return nil
}

// deliverOutcome delivers the outcome of the proposal to its caller.
func (p *proposal) deliverOutcome(o requestOutcome) { p.done <- o }

// Propose replicates the data in the log of the Raft group. Once this member has applied it, Propose returns the state
// machine's result and the index of the log entry. A follower forwards the data to the leader, or waits until there is
// one. A proposal that is lost in a change of leader is submitted again. Propose returns ErrNotRun if the data was not
// submitted, because the context ended, too many proposals are queued or the disk has no room (also ErrNoSpace), and ErrUnknown or ErrStopped if the data may
// have been applied or may still be.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	o := r.queueAndWait(ctx, &proposal{data: data, done: make(chan requestOutcome, 1)})
	return o.result, o.index, o.err
}

// ConfChange proposes a membership change of the Raft group on the leader and returns once it is committed. It returns
// the errors of raft.Node.ProposeConfChange, and ErrDropped if the change was lost in a change of leader. It waits for
// the end of a leadership transfer.
func (r *Replica) ConfChange(ctx context.Context, c raft.ConfChange) error {
	return r.queueAndWait(ctx, &proposal{change: &c, done: make(chan requestOutcome, 1)}).err
}

// queueAndWait queues a proposal for the replica's loop and waits for its outcome or for the end of the context.
func (r *Replica) queueAndWait(ctx context.Context, p *proposal) requestOutcome {
	r.initOnce()
	if err := r.inbox.addProposal(p, r.MaxQueued, r.quarterBytes()); err != nil {
		return requestOutcome{err: err}
	}
	r.wakeLoop()
	select {
	case o := <-p.done:
		return o
	case <-ctx.Done():
	}
	p.mu.Lock()
	state := p.state.Swap(stateAbandoned)
	p.mu.Unlock()
	if state == stateQueued {
		return requestOutcome{err: errors.Join(ErrNotRun, ctx.Err())}
	}
	select {
	case o := <-p.done:
		return o
	default:
	}
	return requestOutcome{err: errors.Join(ErrUnknown, ctx.Err())}
}

// requeueProposals puts proposals at the front of the replica's queue. It does not wake the loop: the next tick or
// message does.
func (r *Replica) requeueProposals(proposals []*proposal) {
	if len(proposals) == 0 {
		return
	}
	r.inbox.mu.Lock()
	r.inbox.proposals = append(proposals, r.inbox.proposals...)
	for _, p := range proposals {
		r.inbox.proposalBytes += len(p.data)
	}
	r.inbox.mu.Unlock()
}

// requestKey returns the key that identifies a proposal or read of this process: the process's random number and the
// counter value k.
func (r *Replica) requestKey(k uint64) []byte {
	buf := make([]byte, 0, requestKeyBytes)
	buf = binary.LittleEndian.AppendUint64(buf, r.processID)
	return binary.LittleEndian.AppendUint64(buf, k)
}

// mustWait reports whether a proposal must stay queued, because this leader's log is full or the leader refused others.
func (r *Replica) mustWait(p *proposal) bool {
	if p.change != nil || p.transfer != nil {
		return false
	}
	if r.node.IsLeader() {
		return r.isLogFull() && len(p.data) <= r.proposalRoom()
	}
	return !r.forwardPause.admit(p)
}

// submitProposal passes a queued proposal to the raft node. It returns false if the proposal must be queued again
// because no leader accepts it at present.
func (r *Replica) submitProposal(p *proposal) bool {
	if p.state.Load() == stateQueued && r.mustWait(p) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.CompareAndSwap(stateQueued, stateSubmitted) {
		return true
	}
	r.lastKey++
	key := r.requestKey(r.lastKey)
	var err error
	if p.transfer != nil {
		_, err = r.node.TransferLeadership(*p.transfer)
		p.deliverOutcome(requestOutcome{err: err})
		return true
	}
	if p.change != nil {
		c := *p.change
		c.Context = key
		err = r.node.ProposeConfChange(c)
		if errors.Is(err, raft.ErrTransferInProgress) {
			return !p.state.CompareAndSwap(stateSubmitted, stateQueued)
		}
	} else {
		if len(p.data) > r.proposalRoom() {
			err = raft.ErrNoSpace
		} else {
			err = r.node.Propose(append(key, p.data...))
		}
		if errors.Is(err, raft.ErrNoSpace) {
			p.deliverOutcome(requestOutcome{err: noSpaceError(len(p.data))})
			return true
		}
		leader, notLeader := raft.IsNotLeader(err)
		later := errors.Is(err, raft.ErrTransferInProgress) || errors.Is(err, raft.ErrTooManyUncommitted) || errors.Is(err, raft.ErrLogFull)
		if notLeader && leader.IsZero() || later {
			reason := retryReasonRefused
			if notLeader {
				reason = retryReasonNoLeader
			}
			r.meter.retries[reason].Inc(1)
			return !p.state.CompareAndSwap(stateSubmitted, stateQueued)
		}
	}
	if err != nil {
		p.deliverOutcome(requestOutcome{err: fmt.Errorf("propose: %w", err)})
		return true
	}
	p.term = r.node.Term()
	r.pendingProposals[r.lastKey] = p
	return true
}

// applyEntry applies one committed log entry to the state machine and delivers the result if this process proposed the
// entry.
func (r *Replica) applyEntry(e *raft.Entry) {
	if e.Term > r.appliedTerm {
		r.appliedTerm = e.Term
		r.requeueDroppedProposals()
	}
	r.appliedBytes += len(e.Data)
	if len(e.Data) < requestKeyBytes {
		return
	}
	o := requestOutcome{index: e.Index}
	if e.Type == raft.EntryData {
		o.result = r.Machine.Apply(e.Index, e.Data[requestKeyBytes:])
	}
	if p := r.takePending(e.Data); p != nil {
		p.deliverOutcome(o)
		if p == r.forwardPause.probe {
			r.endForwardPause()
		}
	}
}

// endForwardPause lets the proposals go on that wait for a leader that refused some.
func (r *Replica) endForwardPause() {
	if r.forwardPause.length > 0 {
		r.forwardPause = forwardPause{}
		r.wakeLoop()
	}
}

// requeueDroppedProposals queues again the proposals of earlier terms that were not committed, and fails membership
// changes among them with ErrDropped. Terms never decrease along the log, so once an entry of a later term is applied,
// a proposal of an earlier term can no longer be committed.
func (r *Replica) requeueDroppedProposals() {
	var requeued []*proposal
	for key, p := range r.pendingProposals {
		if p.term >= r.appliedTerm {
			continue
		}
		delete(r.pendingProposals, key)
		if p.change != nil {
			p.deliverOutcome(requestOutcome{err: ErrDropped})
			continue
		}
		if !p.state.CompareAndSwap(stateSubmitted, stateQueued) {
			continue
		}
		requeued = append(requeued, p)
	}
	r.meter.retries[retryReasonDropped].Inc(int64(len(requeued)))
	r.requeueProposals(requeued)
	if len(requeued) > 0 {
		r.wakeLoop()
	}
}

// requeueRefusedProposals queues again the forwarded proposals that the leader refused to append to its log, and pauses
// before they are sent again.
func (r *Replica) requeueRefusedProposals(refused [][]byte) {
	var taken, requeued []*proposal
	for _, data := range refused {
		p := r.takePending(data)
		if p == nil {
			continue
		}
		taken = append(taken, p)
		if p.state.CompareAndSwap(stateSubmitted, stateQueued) {
			requeued = append(requeued, p)
		}
	}
	if len(taken) > 0 && r.forwardPause.refuse(taken) {
		r.Log.Info("forwarding-paused", zap.Int("refused", len(taken)), zap.Int("pause-ticks", r.forwardPause.length))
	}
	r.meter.retries[retryReasonRefused].Inc(int64(len(requeued)))
	r.requeueProposals(requeued)
}

// failProposalsWithoutRoom fails the forwarded proposals for which the leader has no room.
func (r *Replica) failProposalsWithoutRoom(refused [][]byte) {
	for _, data := range refused {
		if p := r.takePending(data); p != nil {
			p.deliverOutcome(requestOutcome{err: noSpaceError(len(p.data))})
		}
	}
}

// takePending removes and returns the pending proposal of this process that was submitted as the data, or nil.
func (r *Replica) takePending(data []byte) *proposal {
	if len(data) < requestKeyBytes || binary.LittleEndian.Uint64(data) != r.processID {
		return nil
	}
	key := binary.LittleEndian.Uint64(data[8:])
	p := r.pendingProposals[key]
	delete(r.pendingProposals, key)
	return p
}

// noSpaceError returns the error of a proposal for which a disk has no room; its caller may send it to another member,
// or again.
func noSpaceError(bytes int) error {
	return fmt.Errorf("%d bytes: %w", bytes, errors.Join(ErrNotRun, ErrNoSpace))
}

// removeAbandonedProposals removes the submitted proposals whose callers no longer wait; they may still be applied.
func (r *Replica) removeAbandonedProposals() {
	for key, p := range r.pendingProposals {
		if p.state.Load() == stateAbandoned {
			delete(r.pendingProposals, key)
		}
	}
}

// failProposalsInSnapshot fails the proposals that the installed snapshot may contain with ErrUnknown, because the
// state machine's results for them are not known. The term is that of the snapshot's last entry.
func (r *Replica) failProposalsInSnapshot(term uint64) {
	for key, p := range r.pendingProposals {
		if p.term <= term {
			delete(r.pendingProposals, key)
			p.deliverOutcome(requestOutcome{err: ErrUnknown})
		}
	}
}
