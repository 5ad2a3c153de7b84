package raft

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
)

// threeVoters are the members of a group with the voters a, b and c.
var threeVoters = Members{Voters: []ID{{Name: "a", Disk: "0"}, {Name: "b", Disk: "0"}, {Name: "c", Disk: "0"}}}

// startNode starts voter a of threeVoters in a group with the given members. Its log holds one entry without data for
// each of the terms. The test delivers all messages itself.
func startNode(t *testing.T, members Members, hard HardState, terms ...uint64) *Node {
	saved := PersistentState{HardState: hard, Snapshot: Snapshot{Members: members}}
	for i, term := range terms {
		saved.Entries = append(saved.Entries, Entry{Term: term, Index: uint64(i + 1)})
	}
	n := &Node{ID: threeVoters.Voters[0], Seed: 1}
	requireNoError(t, n.Start(saved))
	return n
}

// drainReady does the pending work of the node, without a disk, and returns all messages that it sends.
func drainReady(n *Node) (out []Message) {
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		out = append(append(out, r.MessagesBeforeSync...), r.MessagesAfterSync...)
		n.Advance()
	}
	return out
}

// campaignUntilLeader ticks the node and grants it the votes of voter b until it is the leader.
func campaignUntilLeader(t *testing.T, n *Node) {
	for n.role != Leader {
		n.Tick()
		drainReady(n)
		vote := Message{Type: MsgPreVoteReply, From: threeVoters.Voters[1], To: n.ID, Term: n.term + 1}
		if n.role == Candidate {
			vote.Type, vote.Term = MsgVoteReply, n.term
		}
		if n.role == PreCandidate || n.role == Candidate {
			requireNoError(t, n.Step(vote))
		}
	}
}

// Guards against a leader that commits an entry of an earlier term because a quorum holds it: a member whose last entry
// has a higher term could still be elected and replace that entry.
func TestEarlierTermIsNotCommittedByCount(t *testing.T) {
	n := startNode(t, threeVoters, HardState{Term: 3}, 1, 2)
	campaignUntilLeader(t, n)
	drainReady(n)
	reply := Message{Type: MsgAppendReply, From: threeVoters.Voters[1], To: n.ID, Term: n.term, Index: 2}
	requireNoError(t, n.Step(reply))
	if n.log.commitIndex != 0 {
		t.Fatalf("committed up to %d without an entry of the term", n.log.commitIndex)
	}
	reply.Index = 3
	requireNoError(t, n.Step(reply))
	if n.log.commitIndex != 3 {
		t.Fatalf("committed up to %d, want 3", n.log.commitIndex)
	}
}

// Guards against a follower that commits entries beyond those of the append: they may differ from the leader's.
func TestCommitStopsAtComparedEntries(t *testing.T) {
	n := startNode(t, threeVoters, HardState{Term: 2}, 1, 2, 2)
	m := Message{
		Type: MsgAppend, From: threeVoters.Voters[1], To: n.ID, Term: 3, Commit: 3,
		Entries: []Entry{{Term: 1, Index: 1}},
	}
	requireNoError(t, n.Step(m))
	if n.log.commitIndex != 1 {
		t.Fatalf("committed up to %d, want 1", n.log.commitIndex)
	}
}

// Guards against a member with a new disk that processes a message to its old identity: the commit index of a heartbeat
// refers to entries that only the old disk held.
func TestMessageToOldIdentityIsRefused(t *testing.T) {
	n := startNode(t, threeVoters, HardState{Term: 1}, 1)
	old := ID{Name: n.ID.Name, Disk: "lost"}
	for _, kind := range []MessageType{MsgHeartbeat, MsgVote, MsgAppend} {
		m := Message{Type: kind, From: threeVoters.Voters[1], To: old, Term: 2, Commit: 1, Index: 1, LogTerm: 1}
		requireError(t, n.Step(m), ErrWrongIdentity)
	}
	if out := drainReady(n); n.log.commitIndex != 0 || n.term != 1 || len(out) > 0 {
		t.Fatalf("commit %d, term %d, %d messages", n.log.commitIndex, n.term, len(out))
	}
}

// Guards against appends that wait for the reply to the previous one while a follower catches up, with or without a
// snapshot.
func TestAppendsArePipelined(t *testing.T) {
	const entries, perAppend, window = 800, 5, 64
	for _, compacted := range []bool{false, true} {
		s, leader := newLedSimulation(t, 3)
		isolated := s.followers(leader)[0]
		leader.node.InFlight = window
		leader.node.AppendBytes = perAppend * (entryOverhead + len("proposal 100"))
		s.partitioned[isolated.id.Name] = true
		for i := range entries {
			requireNoError(t, leader.node.Propose(fmt.Appendf(nil, "proposal %d", 100+i)))
			s.deliverAll()
		}
		if compacted {
			s.compactLog(leader, entries/2, math.MaxInt)
		}
		delete(s.partitioned, isolated.id.Name)
		s.deliveryRounds = 0
		s.runTicks(2)
		s.requireCaughtUp(isolated, leader)
		if limit := 2*(entries/perAppend/window+1) + 10; s.deliveryRounds > limit {
			t.Fatalf("catching up took %d rounds of message delivery, want at most %d", s.deliveryRounds, limit)
		}
	}
}

// Guards against a snapshot that never completes: a member restarts, loses the chunks that it had acknowledged, and
// then receives a late copy of the first one.
func TestSnapshotContinuesAfterRestart(t *testing.T) {
	s, leader := newLedSimulation(t, 3)
	isolated := s.followers(leader)[0]
	s.partitioned[isolated.id.Name] = true
	s.proposeAndCommit(leader, "missed")
	s.compactLog(leader, 0, math.MaxInt)
	clear(s.partitioned)
	var first Message
	for leader.node.leaderState.progressOf[isolated.id].outgoing.ackedBytes == 0 {
		leader.node.Tick()
		for _, p := range s.peers {
			s.processReady(p, 0)
		}
		inTransit := s.inTransit
		s.inTransit = nil
		for _, m := range inTransit {
			if m.Type == MsgSnapshot && m.Hint == 0 {
				first = m
			}
			if m.Type != MsgSnapshot || m.Hint+uint64(len(m.Snapshot.Data)) < m.HintTerm {
				s.deliver(m)
			}
		}
	}
	s.crash(isolated)
	s.startPeer(isolated)
	s.deliver(first)
	s.runTicks(2 * DefaultElectionTicks)
	s.requireCaughtUp(isolated, leader)
}

// Guards against a log of large entries in memory, and against large appends to a member that acknowledges none: both
// were bounded in entries only.
func TestLargeEntriesAreBoundedInBytes(t *testing.T) {
	const size, count, keep = 1000, 40, 30
	const keepBytes = 4 * size
	s, leader := newLedSimulation(t, 3)
	leader.node.InFlightBytes = keepBytes
	leader.node.InFlight = count
	for range count {
		s.proposeAndCommit(leader, strings.Repeat("x", size))
	}
	s.runTicks(2)
	for _, p := range s.followers(leader) {
		s.partitioned[p.id.Name] = true
	}
	for range count {
		requireNoError(t, leader.node.Propose(bytes.Repeat([]byte("y"), size)))
		s.processReady(leader, 0)
	}
	for _, p := range leader.node.leaderState.progressOf {
		if limit := keepBytes + size + entryOverhead; p.inFlightBytes == 0 || p.inFlightBytes > limit {
			t.Errorf("%d bytes are unacknowledged, want 1 to %d", p.inFlightBytes, limit)
		}
	}
	snapshot, _ := leader.node.NewSnapshot(nil)
	requireNoError(t, leader.node.Compact(snapshot, keep, keepBytes))
	held := leader.node.log.entriesBetween(leader.node.log.baseIndex+1, snapshot.Index)
	if len(held) != keepBytes/(size+entryOverhead) {
		t.Errorf("%d entries before the snapshot are held, want %d", len(held), keepBytes/(size+entryOverhead))
	}
}

// Guards against a refusal that carries the data of the proposals back through the network.
func TestRefusalReturnsOnlyKeys(t *testing.T) {
	n := startNode(t, threeVoters, HardState{})
	n.ProposalKeyBytes = 2
	campaignUntilLeader(t, n)
	drainReady(n)
	n.HoldProposals(true)
	requireNoError(t, n.Step(Message{
		Type: MsgPropose, From: threeVoters.Voters[1], To: n.ID, Term: n.term, Seq: 1, Entries: []Entry{{Data: []byte("abcd")}, {Data: []byte("e")}},
	}))
	out := drainReady(n)
	if len(out) != 1 || len(out[0].Entries) != 2 || string(out[0].Entries[0].Data) != "ab" || string(out[0].Entries[1].Data) != "e" {
		t.Fatalf("the leader answered %+v, want the keys of both proposals", out)
	}
}
