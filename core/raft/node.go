package raft

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
)

// Role is the role of a group member in its current term, as Raft defines it.
type Role uint8

// Roles of a Raft group member in its current term.
const (
	// Follower accepts entries from the leader, or waits for a leader.
	Follower Role = iota
	// PreCandidate asks the voters whether it could win an election, without raising its term.
	PreCandidate
	// Candidate asks the voters for their votes.
	Candidate
	// Leader appends entries to the log and sends them to the other members.
	Leader
)

// roleNames holds the text of each Role, indexed by its value.
var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role in kebab case, such as "pre-candidate".
func (r Role) String() string { return roleNames[r] }

// Defaults for those fields of Node that are zero at Start.
const (
	// DefaultElectionTicks is the default minimum election timeout in ticks: 1 s with ticks of 100 ms.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the default heartbeat interval in ticks; a follower can miss nine heartbeats before it
	// campaigns.
	DefaultHeartbeatTicks = 1
	// DefaultAppendBytes is the default size limit of an append message in bytes, so that a link can transmit one
	// within a heartbeat interval.
	DefaultAppendBytes = 256 << 10
	// DefaultInFlight is the default limit of unacknowledged append messages, which keeps up to 16 MB in transit on a
	// link.
	DefaultInFlight = 64
	// DefaultPromoteLag is the default number of entries that a learner may lack when it is promoted. They fit in one
	// append message, so that the new voter does not noticeably delay commits.
	DefaultPromoteLag = 64
	// DefaultUncommittedBytes is the default limit of uncommitted proposals in bytes; it bounds the memory of a leader
	// that has lost its quorum.
	DefaultUncommittedBytes = 64 << 20
	// DefaultInFlightBytes is the default limit of unacknowledged append messages in bytes. It is what DefaultInFlight
	// messages of DefaultAppendBytes have, and binds only if single entries are larger than those.
	DefaultInFlightBytes = DefaultInFlight * DefaultAppendBytes
)

// Node is one member of a Raft group. Its exported fields must be set before Start; it is not safe for concurrent use.
type Node struct {
	// ID is the identity of this member.
	ID ID
	// ElectionTicks is the minimum election timeout in ticks: a follower that hears from no leader campaigns after
	// between one and two times as many.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between two heartbeats of a leader.
	HeartbeatTicks int
	// Seed determines the random part of election timeouts; it must differ between members and between restarts.
	Seed uint64
	// AppendBytes limits the size of the entries in one append message, in bytes; a larger entry is sent alone.
	AppendBytes int
	// InFlight is the maximum number of unacknowledged append messages from the leader to each member.
	InFlight int
	// InFlightBytes limits the size of the unacknowledged append messages from the leader to each member, in bytes. An
	// append is sent while less than that is unacknowledged, so that an entry of any size can be sent.
	InFlightBytes int
	// PromoteLag is the maximum number of entries that a learner may lack when it is promoted to a voter.
	PromoteLag uint64
	// UncommittedBytes limits the size of the proposals that a leader has appended and not committed, in bytes.
	UncommittedBytes int
	// Forward makes a follower forward proposals to the leader; otherwise Propose returns NotLeaderError.
	Forward bool
	// ProposalKeyBytes is the length of the prefix that identifies a proposal to its sender. A member that refuses a
	// forwarded proposal returns only this prefix, or all of the data if it is zero.
	ProposalKeyBytes int

	proposalRoom  int  // largest proposal that the leader appends, in bytes
	proposalsHeld bool // the leader appends no proposals

	rng       *rand.Rand // source of random election timeouts
	processID uint64     // random number that identifies this process in forwarded proposals

	term             uint64 // current term
	vote             ID     // candidate voted for in the current term, or zero
	role             Role
	leader           ID        // leader of the current term, or zero if unknown
	lastHardState    HardState // hard state that Ready returned last
	log              memLog
	latestSnapshot   Snapshot          // latest snapshot on disk, without its data
	snapshotNeeded   bool              // whether a member needs the data of the latest snapshot
	pendingSnapshot  *Snapshot         // received snapshot that the caller has not installed yet, or nil
	incomingSnapshot *incomingSnapshot // snapshot of which more chunks are to arrive, or nil

	now              uint64 // ticks since Start
	electionElapsed  int    // ticks since a message from the leader, a granted vote, or the last change of role
	electionTimeout  int    // number of electionElapsed at which the member campaigns
	heartbeatElapsed int    // ticks since the leader sent heartbeats

	votes         map[ID]bool // replies to the current campaign: whether each voter granted its vote
	campaignStart uint64      // tick at which the current campaign began

	leaderState leaderState // zero unless the member is the leader

	messagesBeforeSync []Message // may be sent at once
	messagesAfterSync  []Message // may be sent only after the state is synced
	confirmedReads     []Read    // reads to return in the next Ready
	refusedProposals   [][]byte  // data of forwarded proposals that the leader refused

	proposalsWithoutRoom [][]byte // as refusedProposals, for those that the leader refused because its disk has no room

	forwardSeq       uint64 // number of proposal messages sent to leaders
	lastForwardBytes int    // size of the proposals in the last such message
}

// LimitProposals sets the size in bytes of the largest proposal that this member appends to its log as the leader, while
// its disk has little room. Other entries are still appended.
func (n *Node) LimitProposals(bytes int) { n.proposalRoom = bytes }

// HoldProposals sets whether this member appends no proposals to its log as the leader, because a snapshot must be
// written before the log may grow. Other entries are still appended.
func (n *Node) HoldProposals(hold bool) { n.proposalsHeld = hold }

// Start validates the fields of the node and loads the state that the member saved on its disk; it returns
// ErrInvalidConfig if a field is invalid or the saved entries do not follow the snapshot.
func (n *Node) Start(saved PersistentState) error {
	setDefault(&n.ElectionTicks, DefaultElectionTicks)
	setDefault(&n.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&n.AppendBytes, DefaultAppendBytes)
	setDefault(&n.InFlight, DefaultInFlight)
	setDefault(&n.InFlightBytes, DefaultInFlightBytes)
	setDefault(&n.PromoteLag, DefaultPromoteLag)
	setDefault(&n.UncommittedBytes, DefaultUncommittedBytes)
	if n.ID.Name == "" || n.ID.Disk == "" {
		return fmt.Errorf("identity %q: %w", n.ID, ErrInvalidConfig)
	}
	if n.HeartbeatTicks >= n.ElectionTicks {
		return fmt.Errorf("heartbeat interval of %d ticks is not below the election timeout: %w",
			n.HeartbeatTicks, ErrInvalidConfig)
	}
	n.proposalRoom = math.MaxInt
	n.rng = rand.New(rand.NewPCG(n.Seed, 0))
	n.processID = n.rng.Uint64()
	n.setLatestSnapshot(saved.Snapshot)
	n.log.resetToSnapshot(saved.Snapshot)
	for i, e := range saved.Entries {
		if e.Index != saved.Snapshot.Index+1+uint64(i) {
			return fmt.Errorf("entry %d follows %d: %w", e.Index, n.log.lastIndex(), ErrInvalidConfig)
		}
		n.log.appendEntries(e)
	}
	n.log.syncedIndex, n.log.readyIndex = n.log.lastIndex(), n.log.lastIndex()
	n.log.commitTo(saved.HardState.Commit)
	n.term, n.vote = saved.HardState.Term, saved.HardState.Vote
	if saved.Snapshot.Term > n.term {
		// The member crashed after it saved a snapshot from the leader and before it saved the snapshot's term.
		n.term, n.vote = saved.Snapshot.Term, ID{}
	}
	n.lastHardState = saved.HardState
	n.becomeFollower(n.term, ID{})
	// The group may have no leader, so the first timeout is short. If it has one, its members refuse the pre-vote and
	// the early campaign does no harm.
	n.electionTimeout = n.ElectionTicks/5 + n.rng.IntN(n.ElectionTicks/2+1)
	return nil
}

// setDefault sets a field of the node to its default value if it is zero.
func setDefault[T int | uint64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Term returns the member's current Raft term.
func (n *Node) Term() uint64 { return n.term }

// IsLeader reports whether this member is the leader in its current term.
func (n *Node) IsLeader() bool { return n.role == Leader }

// Applied returns the index of the last log entry that the state machine has applied.
func (n *Node) Applied() uint64 { return n.log.appliedIndex }

// Tick advances the node's logical clock by one tick; it starts campaigns, sends heartbeats and expires timeouts.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	if n.electionElapsed >= n.electionTimeout && n.mayCampaign() {
		n.startPreVote()
	}
}

// Step processes a message from another member of the group. It ignores a message to another identity than this
// member's and returns ErrWrongIdentity; it returns ErrCommittedConflict if the message contradicts a committed entry,
// after which the member must stop.
func (n *Node) Step(m Message) error {
	if m.To != n.ID {
		return fmt.Errorf("%s for %s: %w", m.Type, m.To, ErrWrongIdentity)
	}
	if m.Term > n.term && !n.acceptHigherTerm(m) {
		return nil
	}
	if m.Term < n.term {
		n.rejectStaleTerm(m)
		return nil
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.handleLeaderMessage(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	case MsgHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MsgPropose:
		n.handleForwardedProposals(m)
	case MsgRead:
		n.handleForwardedRead(m)
	case MsgSnapshotReply:
		n.handleSnapshotReply(m)
	case MsgProposeReply:
		list := &n.refusedProposals
		if m.Reject {
			list = &n.proposalsWithoutRoom
		}
		for _, e := range m.Entries {
			*list = append(*list, e.Data)
		}
	case MsgTransfer:
		n.handleTransferRequest(m)
	case MsgReadReply:
		n.confirmedReads = append(n.confirmedReads, Read{Context: m.Context, Index: m.Index})
	}
	return nil
}

// acceptHigherTerm handles a message with a higher term than this member's. It raises the term and reports whether
// Step processes the message further. A pre-vote never raises the term, and a member with an active leader ignores
// candidates: otherwise a member that returns from a partition, or that was removed, could depose a working leader.
func (n *Node) acceptHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		if n.hasActiveLeader() {
			return false
		}
		n.handleVote(m)
		return false
	case MsgPreVoteReply:
		if !m.Reject {
			n.handleVoteReply(m)
			return false
		}
	case MsgVote:
		if n.hasActiveLeader() && !m.Transfer {
			return false
		}
	}
	n.becomeFollower(m.Term, ID{})
	return true
}

// rejectStaleTerm answers a message with a lower term with a rejection that carries the current term. Without it, a
// member whose term is ahead of its leader's would ignore the leader for ever.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.sendAfterSync(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.sendAfterSync(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgVote:
		n.sendAfterSync(Message{Type: MsgVoteReply, To: m.From, Reject: true})
	}
}

// becomeFollower makes this member a follower in the given term; leader is zero if the leader is unknown.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term != n.term {
		n.term = term
		n.vote = ID{}
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.leaderState = leaderState{}
	n.resetElectionTimeout()
}

// resetElectionTimeout restarts this member's election timer with a new random timeout.
func (n *Node) resetElectionTimeout() {
	n.electionElapsed = 0
	n.electionTimeout = n.ElectionTicks + n.rng.IntN(n.ElectionTicks)
}

// hasActiveLeader reports whether this member is the leader, or has heard from the leader within the minimum election
// timeout. A leader that reaches no quorum for that long steps down.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || !n.leader.IsZero() && n.electionElapsed < n.ElectionTicks
}

// sendAfterSync queues a message that may be sent only after the state of the same Ready is synced to disk.
func (n *Node) sendAfterSync(m Message) {
	m.From = n.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messagesAfterSync = append(n.messagesAfterSync, m)
}

// sendBeforeSync queues a message that may be sent before the state of the same Ready is synced to disk.
func (n *Node) sendBeforeSync(m Message) {
	m.From = n.ID
	m.Term = n.term
	n.messagesBeforeSync = append(n.messagesBeforeSync, m)
}

// IsNotLeader reports whether err wraps a NotLeaderError, and returns the leader's identity, which is zero if unknown.
func IsNotLeader(err error) (ID, bool) {
	var e *NotLeaderError
	if errors.As(err, &e) {
		return e.Leader, true
	}
	return ID{}, false
}
