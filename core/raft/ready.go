package raft

import "fmt"

// Ready is the work that the caller of Node.Ready does before it calls Advance; the package comment gives the order.
type Ready struct {
	// MessagesBeforeSync holds messages that may be sent before the state is saved and synced.
	MessagesBeforeSync []Message
	// Snapshot is a snapshot from the leader; if it is not nil, it replaces the whole log and the state machine's
	// state.
	Snapshot *Snapshot
	// Entries are log entries to save to disk; an entry replaces a saved entry with the same index and all later ones.
	Entries []Entry
	// HardState is the hard state to save to disk, or nil if it need not be saved.
	HardState *HardState
	// Sync is set if the saved state must be synced to disk before MessagesAfterSync are sent.
	Sync bool
	// MessagesAfterSync holds messages that may be sent only after the saved state is synced.
	MessagesAfterSync []Message
	// Committed holds committed entries for the state machine to apply, in order.
	Committed []Entry
	// Reads holds linearizable reads that may be answered once the state machine has applied their indexes.
	Reads []Read
	// SnapshotNeeded is set if another member needs the latest snapshot; the caller reads it from disk and passes it to
	// ProvideSnapshot after Advance.
	SnapshotNeeded bool
	// RefusedProposals holds the data of forwarded proposals that the leader has not appended and will not append, or
	// their first Node.ProposalKeyBytes bytes.
	RefusedProposals [][]byte
	// ProposalsWithoutRoom holds the same of those that the leader refused with ErrNoSpace; it would refuse them again.
	ProposalsWithoutRoom [][]byte
}

// Empty reports whether r contains no work for the caller of Node.Ready.
func (r *Ready) Empty() bool {
	return !r.SnapshotNeeded && r.Snapshot == nil && r.HardState == nil && len(r.Entries) == 0 && len(r.Committed) == 0 &&
		len(r.MessagesBeforeSync) == 0 && len(r.MessagesAfterSync) == 0 && len(r.Reads) == 0 && len(r.RefusedProposals) == 0 &&
		len(r.ProposalsWithoutRoom) == 0
}

// Ready returns the messages, disk writes and committed entries that wait for the caller. If there are any, the caller
// must handle them and then call Advance.
func (n *Node) Ready() Ready {
	n.startReadRound()
	if n.role == Leader {
		n.sendAppends()
	}
	r := Ready{
		MessagesBeforeSync: n.messagesBeforeSync,
		Snapshot:           n.pendingSnapshot,
		Entries:            n.log.entriesBetween(n.log.readyIndex+1, n.log.lastIndex()),
		MessagesAfterSync:  n.messagesAfterSync,
		Committed:          n.log.entriesBetween(n.log.appliedIndex+1, n.log.commitIndex),
		Reads:              n.confirmedReads,
		SnapshotNeeded:     n.snapshotNeeded,
		RefusedProposals:   n.refusedProposals,

		ProposalsWithoutRoom: n.proposalsWithoutRoom,
	}
	n.snapshotNeeded = false
	n.messagesBeforeSync, n.messagesAfterSync, n.confirmedReads = nil, nil, nil
	n.refusedProposals, n.proposalsWithoutRoom = nil, nil
	hardState := HardState{Term: n.term, Vote: n.vote, Commit: n.log.commitIndex}
	changed := hardState.Term != n.lastHardState.Term || hardState.Vote != n.lastHardState.Vote
	if changed || hardState != n.lastHardState && len(r.Entries) > 0 {
		r.HardState = &hardState
		n.lastHardState = hardState
	}
	r.Sync = changed || len(r.Entries) > 0 || r.Snapshot != nil
	if changed {
		// A sole voter becomes leader before its new term is synced; no message of that term may be sent until it is.
		r.MessagesAfterSync = append(r.MessagesBeforeSync, r.MessagesAfterSync...)
		r.MessagesBeforeSync = nil
	}
	n.log.readyIndex = n.log.lastIndex()
	return r
}

// Advance records that the caller has done all the work that the last call of Ready returned.
func (n *Node) Advance() {
	n.pendingSnapshot = nil
	n.log.syncedIndex = n.log.readyIndex
	n.log.appliedIndex = max(n.log.appliedIndex, min(n.log.commitIndex, n.log.syncedIndex))
	if n.role == Leader {
		n.advanceCommit()
	}
}

// NewSnapshot returns a snapshot that covers the log up to the last applied entry; data is the serialised state of the
// state machine. It returns false while a snapshot from the leader waits to be installed, because data is then older
// than the node's log.
func (n *Node) NewSnapshot(data []byte) (Snapshot, bool) {
	if n.pendingSnapshot != nil {
		return Snapshot{}, false
	}
	index := n.log.appliedIndex
	return Snapshot{Index: index, Term: n.log.termAt(index), Members: n.log.membersAt(index).Clone(), Data: data}, true
}

// Compact removes the log entries that the snapshot covers from memory, except for the last ones, from which members
// that are slightly behind can catch up without a snapshot: at most keep entries, of keepBytes together. The snapshot
// must be synced to disk. Compact returns ErrInvalidConfig if the snapshot is beyond the applied entries or older than
// the latest snapshot.
func (n *Node) Compact(s Snapshot, keep uint64, keepBytes int) error {
	if s.Index > n.log.appliedIndex || s.Index < n.latestSnapshot.Index {
		return fmt.Errorf("compact to entry %d, last applied is %d: %w", s.Index, n.log.appliedIndex, ErrInvalidConfig)
	}
	n.setLatestSnapshot(s)
	if s.Index > n.log.baseIndex {
		n.log.compactTo(n.log.firstKept(s.Index, keep, keepBytes) - 1)
	}
	return nil
}

// Status is a copy of the main parts of a Raft node's state.
type Status struct {
	// ID is the identity of the member.
	ID ID
	// Role is the member's role in Term.
	Role Role
	// Leader is the leader of Term, or zero if it is unknown.
	Leader ID
	// Term is the current term.
	Term uint64
	// Last, Commit and Applied are the indexes of the last entry, the last committed and the last applied entry.
	Last    uint64
	Commit  uint64
	Applied uint64
	// Members are the group members in effect, and MembersCommitted is set if the membership change that led to them is
	// committed.
	Members          Members
	MembersCommitted bool
	// FirstIndexOfTerm is the index of the first entry that this leader appended in its term; it is 0 on other members.
	FirstIndexOfTerm uint64
	// LeaseAge is the number of ticks since this leader sent the latest message that a quorum has answered; it is 0 on
	// other members.
	LeaseAge uint64
	// Now is the number of ticks since Start.
	Now uint64
	// MatchIndex is the index of the last entry that each other member has synced; it is nil unless this member leads.
	MatchIndex map[ID]uint64
	// TicksSinceReply is the number of ticks since this leader sent the latest message that each other member answered,
	// or since it began to send to a member that has answered none; it is nil unless this member leads.
	TicksSinceReply map[ID]uint64
}

// Status returns a copy of the main parts of the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.ID, Role: n.role, Leader: n.leader, Term: n.term, Now: n.now,
		Last: n.log.lastIndex(), Commit: n.log.commitIndex, Applied: n.log.appliedIndex,
		Members: n.log.members().Clone(), MembersCommitted: n.log.membersIndex() <= n.log.commitIndex,
	}
	if n.role != Leader {
		return s
	}
	s.FirstIndexOfTerm = n.leaderState.firstIndex
	s.LeaseAge = n.LeaseAge()
	s.MatchIndex = make(map[ID]uint64, len(n.leaderState.progressOf))
	s.TicksSinceReply = make(map[ID]uint64, len(n.leaderState.progressOf))
	for id, p := range n.leaderState.progressOf {
		s.MatchIndex[id] = p.matchIndex
		s.TicksSinceReply[id] = n.now - max(p.confirmedTick, p.startTick)
	}
	return s
}

// ReplacementComplete reports whether the voter replacement has taken the place of the voter old: the membership
// changes that add the one and remove the other are committed, and replacement has synced all committed entries. It is
// always false unless s is the status of the leader.
func (s *Status) ReplacementComplete(old, replacement ID) bool {
	if s.Role != Leader || !s.MembersCommitted || s.Members.Has(old) || !s.Members.IsVoter(replacement) {
		return false
	}
	return replacement == s.ID || s.MatchIndex[replacement] >= s.Commit
}
