package raft

import "fmt"

// leadership is the state that a member has only while it leads.
type leadership struct {
	peers       map[ID]*progress
	first       uint64 // index of the first entry of the term
	seq         uint64 // last confirmation round
	waiting     []read // reads without a round
	confirming  []read // reads whose round no quorum has answered
	uncommitted int    // bytes of proposals
	forwarded   map[origin]uint64
	successor   ID     // member that is to take over, or zero
	since       uint64 // tick at which the transfer began
}

// origin identifies a process that forwards proposals.
type origin struct {
	id      ID
	process uint64
}

func (n *Node) becomeLeader() {
	granted := n.votes
	n.role = Leader
	n.leader = n.ID
	n.votes = nil
	n.heartbeat = 0
	n.lead = leadership{peers: map[ID]*progress{}, forwarded: map[origin]uint64{}, seq: 1}
	n.syncPeers()
	for id, p := range n.lead.peers {
		if granted[id] {
			p.sent = n.campaign
		}
	}
	n.lead.first = n.log.last() + 1
	n.appendEntry(Entry{Type: EntryEmpty})
	n.sendHeartbeats()
}

// syncPeers makes the peers fit the members after a change.
func (n *Node) syncPeers() {
	members := n.log.members()
	for id := range n.lead.peers {
		if !members.Has(id) {
			delete(n.lead.peers, id)
		}
	}
	for _, id := range members.All() {
		if id != n.ID && n.lead.peers[id] == nil {
			n.lead.peers[id] = &progress{next: n.log.last() + 1, since: n.now}
		}
	}
}

func (n *Node) appendEntry(e Entry) {
	e.Term = n.term
	e.Index = n.log.last() + 1
	n.log.append(e)
	if e.Type == EntryMembers {
		n.syncPeers()
	}
}

// tickLeader steps down when no quorum has answered anything sent within the last election timeout.
func (n *Node) tickLeader() {
	if n.LeaseAge() >= uint64(n.ElectionTicks) {
		n.follow(n.term, ID{})
		return
	}
	n.expireTransfer()
	n.heartbeat++
	if n.heartbeat < n.HeartbeatTicks {
		return
	}
	n.heartbeat = 0
	n.sendHeartbeats()
}

// LeaseAge returns the number of ticks since the leader sent the latest message that a quorum has answered; it is
// meaningful only on a leader.
func (n *Node) LeaseAge() uint64 {
	confirmed := n.log.members().quorumValue(func(id ID) uint64 {
		if id == n.ID {
			return n.now
		}
		if p := n.lead.peers[id]; p != nil {
			return p.sent
		}
		return 0
	})
	return n.now - confirmed
}

func (n *Node) sendHeartbeats() {
	for _, id := range n.log.members().All() {
		p := n.lead.peers[id]
		if p == nil {
			continue
		}
		n.expireSnapshot(p)
		n.sendEarly(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit), Seq: n.lead.seq, Sent: n.now})
	}
}

// Propose appends data to the log if this member leads. A follower forwards it if Forward is set, and otherwise
// returns NotLeaderError; if the leader refuses it, the data appears in Ready.Refused. A leader returns ErrBusy or
// ErrTransfer if it can not append now. A proposal that was accepted can still be lost when the leader changes.
func (n *Node) Propose(data []byte) error {
	if n.role == Leader {
		return n.appendData(data)
	}
	if !n.Forward || n.leader.IsZero() {
		return &NotLeaderError{Leader: n.leader}
	}
	n.forward(Entry{Data: data})
	return nil
}

// forward adds a proposal to the last message to the leader if it has room.
func (n *Node) forward(e Entry) {
	if k := len(n.early); k > 0 {
		last := &n.early[k-1]
		fits := n.forwardBytes+e.size() <= n.AppendBytes
		if fits && last.Type == MsgPropose && last.Term == n.term && last.To == n.leader {
			last.Entries = append(last.Entries, e)
			n.forwardBytes += e.size()
			return
		}
	}
	n.forwards++
	n.forwardBytes = e.size()
	n.sendEarly(Message{Type: MsgPropose, To: n.leader, Entries: []Entry{e}, Seq: n.forwards, Sent: n.origin})
}

func (n *Node) appendData(data []byte) error {
	if !n.log.members().IsVoter(n.ID) {
		return &NotLeaderError{}
	}
	if !n.lead.successor.IsZero() {
		return ErrTransfer
	}
	if n.lead.uncommitted > 0 && n.lead.uncommitted+len(data) > n.UncommittedBytes {
		return fmt.Errorf("%d bytes: %w", n.lead.uncommitted, ErrBusy)
	}
	n.lead.uncommitted += len(data) + entryOverhead
	n.appendEntry(Entry{Type: EntryData, Data: data})
	return nil
}

// handlePropose appends forwarded proposals and returns those that it refuses. A message that the network duplicates
// is appended once: within a term the leader is one process, and it remembers the last message of each sender.
func (n *Node) handlePropose(m Message) {
	if n.role != Leader {
		n.sendEarly(Message{Type: MsgProposeReply, To: m.From, Entries: m.Entries})
		return
	}
	from := origin{id: m.From, process: m.Sent}
	if m.Seq <= n.lead.forwarded[from] {
		return
	}
	n.lead.forwarded[from] = m.Seq
	for i, e := range m.Entries {
		if n.appendData(e.Data) != nil {
			n.sendEarly(Message{Type: MsgProposeReply, To: m.From, Entries: m.Entries[i:]})
			return
		}
	}
}

// ProposeConfChange appends a membership change. It returns NotLeaderError on a follower, ErrPending while an
// earlier change is not committed, ErrTransfer during a transfer, ErrNotReady until the leader has committed an entry of its term, ErrLagging for
// a learner that is too far behind, ErrMember for a change that does not fit, and ErrQuorum if the members after the change
// have no quorum that answers: the change takes effect at once, and a voter that it removes could not help to commit it.
func (n *Node) ProposeConfChange(c ConfChange) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if !n.lead.successor.IsZero() {
		return ErrTransfer
	}
	if n.log.commit < n.lead.first {
		return ErrNotReady
	}
	if n.log.membersIndex() > n.log.commit {
		return ErrPending
	}
	if p := n.lead.peers[c.ID]; c.Type == Promote && p != nil && p.match+n.PromoteLag < n.log.last() {
		return fmt.Errorf("%d of %d entries: %w", p.match, n.log.last(), ErrLagging)
	}
	members, err := n.log.members().Apply(c)
	if err != nil {
		return fmt.Errorf("propose a membership change: %w", err)
	}
	if heard := n.answering(members); heard < members.Quorum() {
		return fmt.Errorf("%d of %d voters answer: %w", heard, len(members.Voters), ErrQuorum)
	}
	n.appendEntry(Entry{Type: EntryMembers, Data: c.Context, Members: &members})
	return nil
}

// answering returns the number of voters that have lately answered this leader, itself included.
func (n *Node) answering(members Members) int {
	// A heartbeat is answered before the one after the next is sent.
	limit := uint64(2*n.HeartbeatTicks + 1)
	heard := 0
	for _, id := range members.Voters {
		p := n.lead.peers[id]
		if id == n.ID || p != nil && p.sent > 0 && n.now-p.sent <= limit {
			heard++
		}
	}
	return heard
}

// advanceCommit commits what a quorum has synced, if it belongs to the current term.
func (n *Node) advanceCommit() {
	index := n.log.members().quorumValue(func(id ID) uint64 {
		if id == n.ID {
			return n.log.stable
		}
		if p := n.lead.peers[id]; p != nil {
			return p.match
		}
		return 0
	})
	if n.log.term(index) != n.term {
		return
	}
	old := n.log.commit
	if !n.log.commitTo(index) {
		return
	}
	for _, e := range n.log.slice(old+1, n.log.commit) {
		if e.Type == EntryData && e.Index > n.lead.first {
			n.lead.uncommitted -= e.size()
		}
	}
	if !n.log.members().Has(n.ID) && n.log.membersIndex() <= n.log.commit {
		n.stepAside()
	}
}

// stepAside ends the leadership of a member that has committed its own removal. The others learn the commit first,
// and the voter with the longest log campaigns at once.
func (n *Node) stepAside() {
	n.sendAppends()
	if id := n.bestVoter(); !id.IsZero() {
		n.sendEarly(Message{Type: MsgTransfer, To: id})
	}
	n.follow(n.term, ID{})
}
