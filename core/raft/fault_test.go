package raft

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// firstFailure runs f and returns the message of its first failed check, or "" if none fails.
func firstFailure(f func(t failureReporter)) (text string) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case failureText:
			text = string(v)
		default:
			panic(v)
		}
	}()
	f(panicReporter{})
	return ""
}

// failureText is the value with which panicReporter panics: the message of a failed check.
type failureText string

// panicReporter reports a failed check by a panic, so that firstFailure can recover it.
type panicReporter struct{}

func (panicReporter) Fatalf(format string, args ...any) {
	panic(failureText(fmt.Sprintf(format, args...)))
}

// Guards against a member that lost its disk and votes for a leader that lacks a committed entry. The second scenario
// shows that this happens if the member returns under its old identity.
func TestLostDiskUnderOldIdentity(t *testing.T) {
	scenario := func(keepIdentity bool) func(t failureReporter) {
		return func(t failureReporter) {
			s, leader := newLedSimulation(t, 3)
			others := s.followers(leader)
			s.partitioned[others[1].id.Name] = true
			s.proposeAndCommit(leader, "acknowledged")
			s.partitioned[leader.id.Name] = true
			s.loseDisk(others[0], keepIdentity)
			delete(s.partitioned, others[1].id.Name)
			s.runTicks(100)
			if p := s.leader(); p != nil {
				s.proposeAndCommit(p, "after")
			}
			clear(s.partitioned)
			s.electLeader()
			if !s.isCommitted("acknowledged") {
				t.Fatalf("an acknowledged proposal was lost")
			}
		}
	}
	if text := firstFailure(scenario(false)); text != "" {
		t.Fatalf("with a new identity: %s", text)
	}
	if text := firstFailure(scenario(true)); !strings.Contains(text, "committed entry") {
		t.Fatalf("with the old identity, no committed entry changed: %q; the test does not reproduce the failure", text)
	}
}

// Guards against a replacement of a voter that is reported complete while the loss of another voter would still stop
// the group or lose data. The second scenario shows that the group stops if the dead voter was not removed.
func TestSecondLossAfterReplacement(t *testing.T) {
	scenario := func(removeDead bool) func(t failureReporter) {
		return func(t failureReporter) {
			s, leader := newLedSimulation(t, 3)
			dead := s.followers(leader)[0]
			replacement := s.loseDisk(dead, false)
			s.proposeAndCommit(leader, "before")
			s.changeMembers(leader, ConfChange{Type: AddLearner, ID: replacement.id})
			if st := leader.node.Status(); st.ReplacementComplete(dead.id, replacement.id) {
				t.Fatalf("the replacement is reported complete while the new member is a learner")
			}
			if removeDead {
				s.changeMembers(leader, ConfChange{Type: Remove, ID: dead.id})
			}
			s.changeMembers(leader, ConfChange{Type: Promote, ID: replacement.id})
			if st := leader.node.Status(); st.ReplacementComplete(dead.id, replacement.id) != removeDead {
				t.Fatalf("the replacement is reported complete: %v, want %v", !removeDead, removeDead)
			}
			s.crash(leader)
			s.proposeAndCommit(s.electLeader(), "after")
			if !s.isCommitted("before") {
				t.Fatalf("an acknowledged proposal was lost")
			}
		}
	}
	if text := firstFailure(scenario(true)); text != "" {
		t.Fatal(text)
	}
	if text := firstFailure(scenario(false)); !strings.Contains(text, "no leader") {
		t.Fatalf("the group survived without the removal: %q; the test does not reproduce the failure", text)
	}
}

// Guards against a replacement of a voter that is reported complete before the new voter has synced all committed
// entries, or before the removal and the promotion are both committed.
func TestReplacementWaitsForSync(t *testing.T) {
	a, old, replacement := threeVoters.Voters[0], threeVoters.Voters[1], threeVoters.Voters[2]
	complete := Status{
		ID: a, Role: Leader, Commit: 9, MatchIndex: map[ID]uint64{replacement: 9},
		Members: Members{Voters: []ID{a, replacement}}, MembersCommitted: true,
	}
	late, uncommitted, removed, learner, follower := complete, complete, complete, complete, complete
	late.MatchIndex = map[ID]uint64{replacement: 8}
	uncommitted.MembersCommitted = false
	removed.Members = threeVoters
	learner.Members = Members{Voters: []ID{a}, Learners: []ID{replacement}}
	follower.Role = Follower
	for i, s := range []Status{complete, late, uncommitted, removed, learner, follower} {
		if s.ReplacementComplete(old, replacement) != (i == 0) {
			t.Fatalf("case %d: the replacement is reported complete: %v", i, i != 0)
		}
	}
}

// Guards against a removal after which fewer than a quorum of the remaining voters answer: the removed voter may
// return, but the others no longer count it, and the group never recovers.
func TestNoChangeWithoutQuorumOfTheNewMembers(t *testing.T) {
	s, leader := newLedSimulation(t, 5)
	others := s.followers(leader)
	for _, p := range others[:3] {
		s.crash(p)
	}
	s.runTicks(6)
	removed := others[2]
	if err := leader.node.ProposeConfChange(ConfChange{Type: Remove, ID: removed.id}); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("the removal of %s with two of four remaining voters returned %v, want %v", removed.id, err, ErrNoQuorum)
	}
	s.runTicks(2 * DefaultElectionTicks)
	s.startPeer(removed)
	s.proposeAndCommit(s.electLeader(), "after")
}

// Guards against a leader that is paused, continues after another was elected, and answers a read from its old state or
// commits a proposal in its old term.
func TestPausedLeaderContinues(t *testing.T) {
	s, old := newLedSimulation(t, 3)
	readBefore := s.startRead(old)
	requireNoError(t, old.node.Propose([]byte("of the old term")))
	old.paused = true
	s.proposeAndCommit(s.electLeader(), "of the new term")
	if old.node.Status().Commit >= s.highestCommit || old.node.Status().Role != Leader {
		t.Fatal("the paused leader knows of the new leader; the test does not reproduce the failure")
	}
	old.paused = false
	readAfter := s.startRead(old)
	s.processReady(old, 0)
	s.deliverAll()
	if old.node.Status().Role == Leader {
		t.Fatal("the old leader did not step down on the first answer")
	}
	s.runTicks(30)
	for _, context := range []string{readBefore, readAfter} {
		if index, ok := s.answeredReads[context]; ok {
			t.Fatalf("the old leader answered %s with %d", context, index)
		}
	}
	if s.isCommitted("of the old term") {
		t.Fatal("a proposal of the old leader was committed in a later term")
	}
}

// Guards against a leader without a quorum that does not step down, or that answers a read.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	s, leader := newLedSimulation(t, 3)
	s.partitioned[leader.id.Name] = true
	context := s.startRead(leader)
	s.runTicks(DefaultElectionTicks / 2)
	if age := leader.node.Status().LeaseAge; age < DefaultElectionTicks/2-1 {
		t.Fatalf("the lease is %d ticks old after %d ticks without an answer", age, DefaultElectionTicks/2)
	}
	s.runTicks(DefaultElectionTicks/2 + 1)
	if leader.node.Status().Role == Leader {
		t.Fatal("the leader did not step down within an election timeout")
	}
	if _, ok := s.answeredReads[context]; ok {
		t.Fatal("the read completed without a quorum")
	}
	s.proposeAndCommit(s.electLeader(), "on the other side")
	clear(s.partitioned)
	s.runTicks(40)
	if _, ok := s.answeredReads[context]; ok {
		t.Fatal("the read completed after the term ended")
	}
}

// Guards against a member that raises its term while it is partitioned and deposes the leader when it returns.
func TestRejoiningMemberDoesNotDisrupt(t *testing.T) {
	s, leader := newLedSimulation(t, 3)
	term := leader.node.term
	isolated := s.followers(leader)[0]
	s.partitioned[isolated.id.Name] = true
	for i := range 20 {
		s.proposeAndCommit(leader, fmt.Sprint("proposal ", i))
		s.runTicks(10)
	}
	delete(s.partitioned, isolated.id.Name)
	for range 40 {
		s.runTicks(1)
		if leader.node.Status().Role != Leader || leader.node.term != term {
			t.Fatal("the returning member deposed the leader")
		}
	}
	s.requireCaughtUp(isolated, leader)
}

// Guards against a second membership change before the first is committed, a change by a leader that has not committed
// an entry of its term, and the promotion of a learner that is far behind: each can lead to two disjoint quorums or to
// no quorum.
func TestMembershipChangeRules(t *testing.T) {
	s, leader := newLedSimulation(t, 3)
	a, b := ID{Name: "x", Disk: "0"}, ID{Name: "y", Disk: "0"}
	requireNoError(t, leader.node.ProposeConfChange(ConfChange{Type: AddLearner, ID: a}))
	requireError(t, leader.node.ProposeConfChange(ConfChange{Type: AddLearner, ID: b}), ErrChangePending)
	s.runTicks(2)
	for i := range 2 * DefaultPromoteLag {
		s.proposeAndCommit(leader, fmt.Sprint(i))
	}
	requireError(t, leader.node.ProposeConfChange(ConfChange{Type: Promote, ID: a}), ErrLearnerLagging)
	requireError(t, leader.node.ProposeConfChange(ConfChange{Type: Remove, ID: b}), ErrInvalidChange)
	n := startNode(t, threeVoters, HardState{})
	campaignUntilLeader(t, n)
	requireError(t, n.ProposeConfChange(ConfChange{Type: AddLearner, ID: b}), ErrNotReady)
}

// Guards against a planned stop or a removal of the leader that leaves the group without a leader for an election
// timeout, and against a leadership transfer to a dead member that blocks proposals for ever.
func TestTransferLeavesNoGap(t *testing.T) {
	s, leader := newLedSimulation(t, 3)
	to, err := leader.node.TransferLeadership(ID{})
	requireNoError(t, err)
	requireError(t, leader.node.Propose(nil), ErrTransferInProgress)
	s.runTicks(1)
	successor := s.leader()
	if successor == nil || successor.id != to {
		t.Fatalf("%s did not take over", to)
	}
	s.changeMembers(successor, ConfChange{Type: Remove, ID: successor.id})
	next := s.leader()
	if next == nil || next == successor {
		t.Fatal("no leader after the removal of the leader")
	}
	dead := s.peerByName(next.node.mostUpToDateVoter())
	dead.paused = true
	_, err = next.node.TransferLeadership(dead.id)
	requireNoError(t, err)
	s.runTicks(DefaultElectionTicks - 1)
	dead.paused = false
	s.runTicks(2)
	s.proposeAndCommit(s.electLeader(), "after the transfer expired")
}

// Guards against forwarded proposals that are lost without a fault or appended twice when the network duplicates them,
// and against a NotLeaderError that does not name the leader.
func TestForwardedProposals(t *testing.T) {
	s, leader := newLedSimulation(t, 3)
	follower := s.followers(leader)[0]
	for i := range 5 {
		requireNoError(t, follower.node.Propose(fmt.Appendf(nil, "forwarded %d", i)))
	}
	r := follower.node.Ready()
	follower.node.Advance()
	s.send(r.MessagesBeforeSync)
	s.send(r.MessagesBeforeSync)
	s.runTicks(3)
	if n := len(s.committed); n != 1+5 {
		t.Fatalf("the log holds %d entries, want the leader's first and 5 proposals", n)
	}
	m := Message{Type: MsgPropose, From: follower.id, To: follower.id, Term: leader.node.term}
	m.Entries = []Entry{{Data: []byte("refused")}}
	requireNoError(t, follower.node.Step(m))
	for _, reply := range drainReady(follower.node) {
		requireNoError(t, follower.node.Step(reply))
	}
	if r = follower.node.Ready(); len(r.RefusedProposals) != 1 || string(r.RefusedProposals[0]) != "refused" {
		t.Fatalf("a member that does not lead refused %q", r.RefusedProposals)
	}
	follower.node.Advance()
	follower.node.Forward = false
	if id, ok := IsNotLeader(follower.node.Propose(nil)); !ok || id != leader.id {
		t.Fatalf("the refusal names %s, want %s", id, leader.id)
	}
}
