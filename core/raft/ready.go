package raft

import "fmt"

// Ready is the work that the owner of a Node does between Ready and Advance, in the order that the package states.
type Ready struct {
	// Early holds messages that may be sent at once.
	Early []Message
	// Snapshot replaces the log and the state machine's state if it is not nil.
	Snapshot *Snapshot
	// Entries are to be saved; an entry whose index the disk holds already replaces it and all that follow.
	Entries []Entry
	// Hard is to be saved if it is not nil.
	Hard *HardState
	// Sync says that the saved state must be synced before Messages are sent.
	Sync bool
	// Messages may be sent only after the sync.
	Messages []Message
	// Committed entries are to be applied.
	Committed []Entry
	// Reads are confirmed reads.
	Reads []Read
	// Wanted says that a member needs the latest snapshot, which the owner reads from disk and passes to Provide
	// after Advance.
	Wanted bool
	// Refused is the data of forwarded proposals that the leader has not appended and will not append.
	Refused [][]byte
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.Wanted && r.Snapshot == nil && r.Hard == nil && len(r.Entries) == 0 && len(r.Committed) == 0 &&
		len(r.Early) == 0 && len(r.Messages) == 0 && len(r.Reads) == 0 && len(r.Refused) == 0
}

// Ready returns the work that is due. If it is not empty, the owner does it and calls Advance.
func (n *Node) Ready() Ready {
	n.startReads()
	if n.role == Leader {
		n.sendAppends()
	}
	r := Ready{
		Early:     n.early,
		Snapshot:  n.install,
		Entries:   n.log.slice(n.log.offered+1, n.log.last()),
		Messages:  n.messages,
		Committed: n.log.slice(n.log.applied+1, n.log.commit),
		Reads:     n.reads,
		Refused:   n.refused,
		Wanted:    n.wanted,
	}
	n.wanted = false
	n.early, n.messages, n.reads, n.refused = nil, nil, nil, nil
	hard := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	changed := hard.Term != n.hard.Term || hard.Vote != n.hard.Vote
	if changed || hard != n.hard && len(r.Entries) > 0 {
		r.Hard = &hard
		n.hard = hard
	}
	r.Sync = changed || len(r.Entries) > 0 || r.Snapshot != nil
	if changed {
		// A leader without other voters leads before its term is durable; nothing of that term may leave yet.
		r.Messages = append(r.Early, r.Messages...)
		r.Early = nil
	}
	n.log.offered = n.log.last()
	return r
}

// Advance tells the node that the work of the last Ready is done.
func (n *Node) Advance() {
	n.install = nil
	n.log.stable = n.log.offered
	n.log.applied = max(n.log.applied, min(n.log.commit, n.log.stable))
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Capture returns a snapshot of the applied state with the state machine's data. It reports false while a received
// snapshot waits to be installed, because the data is then older than the node's log.
func (n *Node) Capture(data []byte) (Snapshot, bool) {
	if n.install != nil {
		return Snapshot{}, false
	}
	index := n.log.applied
	return Snapshot{Index: index, Term: n.log.term(index), Members: n.log.membersAt(index).Clone(), Data: data}, true
}

// Compact drops the entries that the snapshot covers, except for the last keep of them, which let members that lag
// a little catch up without a snapshot. The snapshot must be synced.
func (n *Node) Compact(s Snapshot, keep uint64) error {
	if s.Index > n.log.applied || s.Index < n.snapshot.Index {
		return fmt.Errorf("compact to %d of %d applied: %w", s.Index, n.log.applied, ErrConfig)
	}
	n.setSnapshot(s)
	if s.Index > keep {
		n.log.compact(s.Index - keep)
	}
	return nil
}

// Status is a copy of the node's state.
type Status struct {
	// ID is the identity of the member.
	ID ID
	// Role is what the member does in Term.
	Role Role
	// Leader is the leader of Term, or zero if it is unknown.
	Leader ID
	// Term is the current term.
	Term uint64
	// Last, Commit and Applied are the indexes of the last entry, the last committed and the last applied one.
	Last    uint64
	Commit  uint64
	Applied uint64
	// Members are the members in effect, and Committed tells whether the change that made them is committed.
	Members   Members
	Committed bool
	// First is the index of the leader's first entry in its term; it is 0 on other members.
	First uint64
	// LeaseAge is the number of ticks since a quorum confirmed this leader; it is 0 on other members.
	LeaseAge uint64
	// Now is the number of ticks since Start.
	Now uint64
	// Match is the last entry that each other member has synced, on a leader.
	Match map[ID]uint64
	// Silent is the number of ticks since each other member last answered this leader, or since it began to send to it.
	Silent map[ID]uint64
}

// Status returns the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.ID, Role: n.role, Leader: n.leader, Term: n.term, Now: n.now,
		Last: n.log.last(), Commit: n.log.commit, Applied: n.log.applied,
		Members: n.log.members().Clone(), Committed: n.log.membersIndex() <= n.log.commit,
	}
	if n.role != Leader {
		return s
	}
	s.First = n.lead.first
	s.LeaseAge = n.LeaseAge()
	s.Match = make(map[ID]uint64, len(n.lead.peers))
	s.Silent = make(map[ID]uint64, len(n.lead.peers))
	for id, p := range n.lead.peers {
		s.Match[id] = p.match
		s.Silent[id] = n.now - max(p.sent, p.since)
	}
	return s
}

// Repaired reports whether the replacement of the voter old by the voter fresh is complete: both changes are
// committed, and fresh has synced everything that is committed. Only a leader's status can tell.
func (s *Status) Repaired(old, fresh ID) bool {
	if s.Role != Leader || !s.Committed || s.Members.Has(old) || !s.Members.IsVoter(fresh) {
		return false
	}
	return fresh == s.ID || s.Match[fresh] >= s.Commit
}
