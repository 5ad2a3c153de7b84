package raft

import (
	"errors"
	"fmt"
)

// leaderState is the part of a node's state that exists only while the member is the leader.
type leaderState struct {
	progressOf       map[ID]*memberProgress    // replication state of each other member
	firstIndex       uint64                    // index of the first entry that this leader appended in its term
	round            uint64                    // number of the latest heartbeat round that confirms reads
	waitingReads     []pendingRead             // reads that no heartbeat round confirms yet
	confirmingReads  []pendingRead             // reads whose heartbeat round a quorum has not answered yet
	uncommittedBytes int                       // size of the uncommitted proposals
	lastForwardSeq   map[proposalSource]uint64 // sequence number of the last proposal message from each process
	transferTarget   ID                        // voter to which leadership is being transferred, or zero
	transferStart    uint64                    // tick at which the leadership transfer began
}

// proposalSource identifies one process of a member that forwards proposals; a restarted member is another process.
type proposalSource struct {
	id        ID
	processID uint64 // random number that the process drew when it started
}

// becomeLeader makes this member the leader and appends the first, empty entry of its term. A granted vote counts as
// an answer to a message sent when the campaign began.
func (n *Node) becomeLeader() {
	granted := n.votes
	n.role = Leader
	n.leader = n.ID
	n.votes = nil
	n.heartbeatElapsed = 0
	n.leaderState = leaderState{progressOf: map[ID]*memberProgress{}, lastForwardSeq: map[proposalSource]uint64{}, round: 1}
	n.updateProgressEntries()
	for id, p := range n.leaderState.progressOf {
		if granted[id] {
			p.confirmedTick = n.campaignStart
		}
	}
	n.leaderState.firstIndex = n.log.lastIndex() + 1
	n.appendEntry(Entry{Type: EntryEmpty})
	n.sendHeartbeats()
}

// updateProgressEntries adds and removes replication states after a membership change, so that the leader has one for
// each other member.
func (n *Node) updateProgressEntries() {
	members := n.log.members()
	for id := range n.leaderState.progressOf {
		if !members.Has(id) {
			delete(n.leaderState.progressOf, id)
		}
	}
	for _, id := range members.All() {
		if id != n.ID && n.leaderState.progressOf[id] == nil {
			n.leaderState.progressOf[id] = &memberProgress{nextIndex: n.log.lastIndex() + 1, startTick: n.now}
		}
	}
}

// appendEntry appends e to the leader's log with the current term and the next index.
func (n *Node) appendEntry(e Entry) {
	e.Term = n.term
	e.Index = n.log.lastIndex() + 1
	n.log.appendEntries(e)
	if e.Type == EntryMembers {
		n.updateProgressEntries()
	}
}

// tickLeader advances the leader's timers by one tick. The leader steps down if no quorum has answered a message sent
// within the last election timeout.
func (n *Node) tickLeader() {
	if n.LeaseAge() >= uint64(n.ElectionTicks) {
		n.becomeFollower(n.term, ID{})
		return
	}
	n.abortOverdueLeadershipTransfer()
	n.heartbeatElapsed++
	if n.heartbeatElapsed < n.HeartbeatTicks {
		return
	}
	n.heartbeatElapsed = 0
	n.sendHeartbeats()
}

// LeaseAge returns the number of ticks since this leader sent the latest message that a quorum has answered; the
// result is undefined on other members.
func (n *Node) LeaseAge() uint64 {
	confirmed := n.log.members().valueReachedByQuorum(func(id ID) uint64 {
		if id == n.ID {
			return n.now
		}
		if p := n.leaderState.progressOf[id]; p != nil {
			return p.confirmedTick
		}
		return 0
	})
	return n.now - confirmed
}

// sendHeartbeats queues a heartbeat to each other member, and has overdue snapshot chunks sent again. The commit index
// in a heartbeat is at most the last entry that the member is known to hold.
func (n *Node) sendHeartbeats() {
	for _, id := range n.log.members().All() {
		p := n.leaderState.progressOf[id]
		if p == nil {
			continue
		}
		n.resendOverdueChunks(p)
		n.sendBeforeSync(Message{
			Type: MsgHeartbeat, To: id,
			Commit: min(p.matchIndex, n.log.commitIndex), Seq: n.leaderState.round, Sent: n.now,
		})
	}
}

// Propose appends data for the state machine to the log if this member is the leader; it returns ErrTooManyUncommitted,
// ErrLogFull or ErrTransferInProgress if it cannot append at the moment. A follower forwards data if Forward is set and a leader
// is known, and otherwise returns NotLeaderError. If the leader refuses forwarded data, it appears in
// Ready.RefusedProposals or Ready.ProposalsWithoutRoom. Data for which Propose returned nil can still be lost when the leader changes.
func (n *Node) Propose(data []byte) error {
	if n.role == Leader {
		return n.appendProposal(data)
	}
	if !n.Forward || n.leader.IsZero() {
		return &NotLeaderError{Leader: n.leader}
	}
	n.forwardProposal(Entry{Data: data})
	return nil
}

// forwardProposal sends a follower's proposal to the leader. It adds the proposal to the last queued message if that is
// a proposal message with room for it, and queues a new message otherwise.
func (n *Node) forwardProposal(e Entry) {
	if count := len(n.messagesBeforeSync); count > 0 {
		last := &n.messagesBeforeSync[count-1]
		fits := n.lastForwardBytes+e.approxEncodedSize() <= n.AppendBytes
		if fits && last.Type == MsgPropose && last.Term == n.term && last.To == n.leader {
			last.Entries = append(last.Entries, e)
			n.lastForwardBytes += e.approxEncodedSize()
			return
		}
	}
	n.forwardSeq++
	n.lastForwardBytes = e.approxEncodedSize()
	n.sendBeforeSync(Message{Type: MsgPropose, To: n.leader, Entries: []Entry{e}, Seq: n.forwardSeq, Sent: n.processID})
}

// appendProposal appends data to the leader's log. It returns NotLeaderError if the leader is no longer a voter,
// ErrTransferInProgress during a leadership transfer, ErrNoSpace if the disk has no room for it, ErrLogFull while
// proposals are held and ErrTooManyUncommitted if too many bytes are uncommitted.
func (n *Node) appendProposal(data []byte) error {
	if !n.log.members().IsVoter(n.ID) {
		return &NotLeaderError{}
	}
	if !n.leaderState.transferTarget.IsZero() {
		return ErrTransferInProgress
	}
	if len(data) > n.proposalRoom {
		return fmt.Errorf("%d bytes: %w", len(data), ErrNoSpace)
	}
	if n.proposalsHeld {
		return ErrLogFull
	}
	if n.leaderState.uncommittedBytes > 0 && n.leaderState.uncommittedBytes+len(data) > n.UncommittedBytes {
		return fmt.Errorf("%d bytes: %w", n.leaderState.uncommittedBytes, ErrTooManyUncommitted)
	}
	n.leaderState.uncommittedBytes += len(data) + entryOverhead
	n.appendEntry(Entry{Type: EntryData, Data: data})
	return nil
}

// handleForwardedProposals appends the proposals that a follower forwarded to the leader and sends back those that it
// refuses. A message that the network duplicates is appended once: within a term the leader is one process, which
// records the sequence number of the last message from each sender.
func (n *Node) handleForwardedProposals(m Message) {
	if n.role != Leader {
		n.refuseForwarded(m.From, m.Entries, false)
		return
	}
	from := proposalSource{id: m.From, processID: m.Sent}
	if m.Seq <= n.leaderState.lastForwardSeq[from] {
		return
	}
	n.leaderState.lastForwardSeq[from] = m.Seq
	var withoutRoom []Entry
	for i, e := range m.Entries {
		err := n.appendProposal(e.Data)
		if errors.Is(err, ErrNoSpace) {
			withoutRoom = append(withoutRoom, e)
			continue
		}
		if err != nil {
			n.refuseForwarded(m.From, m.Entries[i:], false)
			break
		}
	}
	if len(withoutRoom) > 0 {
		n.refuseForwarded(m.From, withoutRoom, true)
	}
}

// refuseForwarded sends the keys of refused proposals back to the member that forwarded them.
func (n *Node) refuseForwarded(to ID, entries []Entry, noSpace bool) {
	keys := make([]Entry, len(entries))
	for i := range entries {
		data := entries[i].Data
		if n.ProposalKeyBytes > 0 {
			data = data[:min(len(data), n.ProposalKeyBytes)]
		}
		keys[i].Data = data
	}
	n.sendBeforeSync(Message{Type: MsgProposeReply, To: to, Entries: keys, Reject: noSpace})
}

// ProposeConfChange appends a membership change, which takes effect at once. It returns NotLeaderError on other
// members, ErrChangePending while an earlier change is not committed, ErrTransferInProgress during a leadership
// transfer, ErrNotReady until the leader has committed an entry of its term, ErrLearnerLagging for the promotion of a
// learner that is too far behind, ErrInvalidChange for a change that is invalid for the current members, and
// ErrNoQuorum if the voters after the change have no quorum that answers: a voter that the change removes does not
// count towards its commit.
func (n *Node) ProposeConfChange(c ConfChange) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if !n.leaderState.transferTarget.IsZero() {
		return ErrTransferInProgress
	}
	if n.log.commitIndex < n.leaderState.firstIndex {
		return ErrNotReady
	}
	if n.log.membersIndex() > n.log.commitIndex {
		return ErrChangePending
	}
	if p := n.leaderState.progressOf[c.ID]; c.Type == Promote && p != nil && p.matchIndex+n.PromoteLag < n.log.lastIndex() {
		return fmt.Errorf("%d of %d entries: %w", p.matchIndex, n.log.lastIndex(), ErrLearnerLagging)
	}
	members, err := n.log.members().Apply(c)
	if err != nil {
		return fmt.Errorf("propose a membership change: %w", err)
	}
	if responsive := n.countResponsiveVoters(members); responsive < members.Quorum() {
		return fmt.Errorf("%d of %d voters answer: %w", responsive, len(members.Voters), ErrNoQuorum)
	}
	n.appendEntry(Entry{Type: EntryMembers, Data: c.Context, Members: &members})
	return nil
}

// countResponsiveVoters returns how many voters in members have answered a message sent within the last two heartbeat
// intervals and one tick; this leader counts as one.
func (n *Node) countResponsiveVoters(members Members) int {
	// Normally a heartbeat is answered before the second heartbeat after it is sent.
	maxTicks := uint64(2*n.HeartbeatTicks + 1)
	responsive := 0
	for _, id := range members.Voters {
		p := n.leaderState.progressOf[id]
		if id == n.ID || p != nil && p.confirmedTick > 0 && n.now-p.confirmedTick <= maxTicks {
			responsive++
		}
	}
	return responsive
}

// advanceCommit commits the log entries that a quorum of the voters has synced to disk if the last of them belongs to
// the current term. A quorum alone does not commit an entry of an earlier term, because a later leader could still
// replace it.
func (n *Node) advanceCommit() {
	index := n.log.members().valueReachedByQuorum(func(id ID) uint64 {
		if id == n.ID {
			return n.log.syncedIndex
		}
		if p := n.leaderState.progressOf[id]; p != nil {
			return p.matchIndex
		}
		return 0
	})
	if n.log.termAt(index) != n.term {
		return
	}
	old := n.log.commitIndex
	if !n.log.commitTo(index) {
		return
	}
	for _, e := range n.log.entriesBetween(old+1, n.log.commitIndex) {
		if e.Type == EntryData && e.Index > n.leaderState.firstIndex {
			n.leaderState.uncommittedBytes -= e.approxEncodedSize()
		}
	}
	if !n.log.members().Has(n.ID) && n.log.membersIndex() <= n.log.commitIndex {
		n.stepDownAfterRemoval()
	}
}

// stepDownAfterRemoval makes a leader that has committed its own removal a follower. It first sends the other members
// the new commit index and asks the voter with the longest log to campaign at once.
func (n *Node) stepDownAfterRemoval() {
	n.sendAppends()
	if id := n.mostUpToDateVoter(); !id.IsZero() {
		n.sendBeforeSync(Message{Type: MsgTransfer, To: id})
	}
	n.becomeFollower(n.term, ID{})
}
