package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Role is what a member does in its current term.
type Role uint8

// Roles of a member.
const (
	// Follower accepts entries from a leader, or waits for one.
	Follower Role = iota
	// PreCandidate asks whether it could win an election.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader appends entries and sends them to the others.
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// Defaults of the fields of Node that are zero at Start.
const (
	// DefaultElectionTicks is the election timeout, 1 s with ticks of 100 ms.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks lets a follower miss nine heartbeats before it campaigns.
	DefaultHeartbeatTicks = 1
	// DefaultAppendBytes bounds one append so that it leaves a link within a heartbeat interval.
	DefaultAppendBytes = 256 << 10
	// DefaultInFlight covers a link on which 16 MB are under way.
	DefaultInFlight = 64
	// DefaultPromoteLag is less than one append, so that a promoted learner does not delay commits noticeably.
	DefaultPromoteLag = 64
	// DefaultUncommittedBytes bounds the memory that a leader without a quorum fills with proposals.
	DefaultUncommittedBytes = 64 << 20
)

// Node is one member of a replicated log; its fields are set before Start, and it is not safe for concurrent use.
type Node struct {
	// ID is the identity of this member.
	ID ID
	// ElectionTicks is the number of ticks without a leader after which a follower campaigns, at the earliest.
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between two heartbeats of a leader.
	HeartbeatTicks int
	// Seed determines the random part of election timeouts; it must differ between members and between restarts.
	Seed uint64
	// AppendBytes bounds the entries of one append message in bytes; a larger single entry is sent alone.
	AppendBytes int
	// InFlight is the number of appends that a leader sends to a member before the first is acknowledged.
	InFlight int
	// PromoteLag is the number of entries by which a learner may lag when it is promoted.
	PromoteLag uint64
	// UncommittedBytes bounds the proposals that a leader has appended and not committed.
	UncommittedBytes int
	// Forward makes a follower forward proposals to the leader; otherwise Propose returns NotLeaderError.
	Forward bool

	rng    *rand.Rand
	origin uint64 // identifies this process in forwarded proposals

	term     uint64
	vote     ID
	role     Role
	leader   ID
	hard     HardState // as last handed out
	log      memLog
	snapshot Snapshot  // the latest one, without its data
	wanted   bool      // a member needs the data of the latest snapshot
	install  *Snapshot // received and not handed out yet
	incoming *incoming // received in part

	now       uint64 // ticks since Start
	quiet     int    // ticks since the leader was heard, or since the last campaign
	timeout   int    // ticks of quiet after which the member campaigns
	heartbeat int    // ticks since the last heartbeat

	votes    map[ID]bool
	campaign uint64 // tick at which the current campaign began

	lead leadership

	early    []Message
	messages []Message
	reads    []Read
	refused  [][]byte

	forwards     uint64 // messages with forwarded proposals
	forwardBytes int    // size of the last one
}

// Start loads the saved state and validates the fields; it returns ErrConfig if they do not fit together.
func (n *Node) Start(saved Saved) error {
	setDefault(&n.ElectionTicks, DefaultElectionTicks)
	setDefault(&n.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&n.AppendBytes, DefaultAppendBytes)
	setDefault(&n.InFlight, DefaultInFlight)
	setDefault(&n.PromoteLag, DefaultPromoteLag)
	setDefault(&n.UncommittedBytes, DefaultUncommittedBytes)
	if n.ID.Name == "" || n.ID.Disk == "" {
		return fmt.Errorf("identity %q: %w", n.ID, ErrConfig)
	}
	if n.HeartbeatTicks >= n.ElectionTicks {
		return fmt.Errorf("heartbeat of %d ticks: %w", n.HeartbeatTicks, ErrConfig)
	}
	n.rng = rand.New(rand.NewPCG(n.Seed, 0))
	n.origin = n.rng.Uint64()
	n.setSnapshot(saved.Snapshot)
	n.log.reset(saved.Snapshot)
	for i, e := range saved.Entries {
		if e.Index != saved.Snapshot.Index+1+uint64(i) {
			return fmt.Errorf("entry %d follows %d: %w", e.Index, n.log.last(), ErrConfig)
		}
		n.log.append(e)
	}
	n.log.stable, n.log.offered = n.log.last(), n.log.last()
	n.log.commitTo(saved.Hard.Commit)
	n.term, n.vote = saved.Hard.Term, saved.Hard.Vote
	if saved.Snapshot.Term > n.term {
		// A crash between the installation of a snapshot and the save of its term.
		n.term, n.vote = saved.Snapshot.Term, ID{}
	}
	n.hard = saved.Hard
	n.follow(n.term, ID{})
	// After a start nobody may lead; a group that has a leader refuses the pre-vote, so that an early one does no harm.
	n.timeout = n.ElectionTicks/5 + n.rng.IntN(n.ElectionTicks/2+1)
	return nil
}

func setDefault[T int | uint64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leads reports whether this member is the leader.
func (n *Node) Leads() bool { return n.role == Leader }

// Applied returns the index of the last entry that was applied.
func (n *Node) Applied() uint64 { return n.log.applied }

// Tick advances the node's time by one interval.
func (n *Node) Tick() {
	n.now++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.quiet++
	if n.quiet >= n.timeout && n.mayCampaign() {
		n.startPreVote()
	}
}

// Step processes a message from another member. It returns ErrIdentity for a message to another identity, which is
// ignored, and ErrCommitted if the log is damaged.
func (n *Node) Step(m Message) error {
	if m.To != n.ID {
		return fmt.Errorf("%s for %s: %w", m.Type, m.To, ErrIdentity)
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return nil
	}
	if m.Term < n.term {
		n.answerStale(m)
		return nil
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.handleLeader(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	case MsgHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MsgPropose:
		n.handlePropose(m)
	case MsgRead:
		n.handleRead(m)
	case MsgSnapshotReply:
		n.handleSnapshotReply(m)
	case MsgProposeReply:
		for _, e := range m.Entries {
			n.refused = append(n.refused, e.Data)
		}
	case MsgTransfer:
		n.handleTransfer(m)
	case MsgReadReply:
		n.reads = append(n.reads, Read{Context: m.Context, Index: m.Index})
	}
	return nil
}

// adoptTerm raises the term to that of the message and reports whether the message is to be processed.
// A pre-vote never raises the term, and a member that hears its leader ignores candidates: otherwise a member that
// returns from a partition, or that was removed, could depose a working leader.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		if n.hearsLeader() {
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
		if n.hearsLeader() && !m.Transfer {
			return false
		}
	}
	n.follow(m.Term, ID{})
	return true
}

// answerStale tells a sender with a lower term about the current one. Without it, a member whose term is ahead of
// its leader's would ignore the leader for ever.
func (n *Node) answerStale(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteReply, To: m.From, Reject: true})
	}
}

// follow makes the node a follower in the term; the leader is zero if it is unknown.
func (n *Node) follow(term uint64, leader ID) {
	if term != n.term {
		n.term = term
		n.vote = ID{}
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.lead = leadership{}
	n.resetTimeout()
}

func (n *Node) resetTimeout() {
	n.quiet = 0
	n.timeout = n.ElectionTicks + n.rng.IntN(n.ElectionTicks)
}

// hearsLeader reports whether a leader was heard within an election timeout; a leader that reaches no quorum for
// that long has stepped down.
func (n *Node) hearsLeader() bool {
	return n.role == Leader || !n.leader.IsZero() && n.quiet < n.ElectionTicks
}

// send queues a message that goes out after the sync.
func (n *Node) send(m Message) {
	m.From = n.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// sendEarly queues a message that does not depend on this member's disk.
func (n *Node) sendEarly(m Message) {
	m.From = n.ID
	m.Term = n.term
	n.early = append(n.early, m)
}

// IsNotLeader reports whether err says that the member does not lead, and returns the leader that it names.
func IsNotLeader(err error) (ID, bool) {
	var e *NotLeaderError
	if errors.As(err, &e) {
		return e.Leader, true
	}
	return ID{}, false
}
