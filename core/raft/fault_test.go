package raft

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// violation runs f and returns the first failed check, or "".
func violation(f func(t failer)) (text string) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case violated:
			text = string(v)
		default:
			panic(v)
		}
	}()
	f(panicker{})
	return ""
}

type violated string

type panicker struct{}

func (panicker) Fatalf(format string, args ...any) { panic(violated(fmt.Sprintf(format, args...))) }

// Guards against a member that lost its disk and helps to elect a leader without a committed entry. The second part
// shows that this happens when the member keeps its old identity.
func TestLostDiskUnderOldIdentity(t *testing.T) {
	run := func(keep bool) func(t failer) {
		return func(t failer) {
			s := newSim(t, 3)
			leader := s.elect()
			others := s.followers(leader)
			s.cut[others[1].id.Name] = true
			s.commit(leader, "acknowledged")
			s.cut[leader.id.Name] = true
			s.lose(others[0], keep)
			delete(s.cut, others[1].id.Name)
			s.run(100)
			if p := s.leader(); p != nil {
				s.commit(p, "after")
			}
			clear(s.cut)
			s.elect()
			if !s.has("acknowledged") {
				t.Fatalf("an acknowledged proposal was lost")
			}
		}
	}
	if text := violation(run(false)); text != "" {
		t.Fatalf("with a new identity: %s", text)
	}
	if text := violation(run(true)); !strings.Contains(text, "committed entry") {
		t.Fatalf("with the old identity, no committed entry changed: %q; the test has no power", text)
	}
}

// Guards against a repair that is reported complete while a second loss would still stop the group or lose data.
// The second part shows that a group stops if the dead voter is not removed before the report.
func TestSecondLossAfterReplacement(t *testing.T) {
	run := func(remove bool) func(t failer) {
		return func(t failer) {
			s := newSim(t, 3)
			leader := s.elect()
			dead := s.followers(leader)[0]
			fresh := s.lose(dead, false)
			s.commit(leader, "before")
			s.change(leader, ConfChange{Type: AddLearner, ID: fresh.id})
			if st := leader.node.Status(); st.Repaired(dead.id, fresh.id) {
				t.Fatalf("the repair is reported while the new member is a learner")
			}
			if remove {
				s.change(leader, ConfChange{Type: Remove, ID: dead.id})
			}
			s.change(leader, ConfChange{Type: Promote, ID: fresh.id})
			if st := leader.node.Status(); st.Repaired(dead.id, fresh.id) != remove {
				t.Fatalf("the repair is reported: %v, want %v", !remove, remove)
			}
			s.crash(leader)
			s.commit(s.elect(), "after")
			if !s.has("before") {
				t.Fatalf("an acknowledged proposal was lost")
			}
		}
	}
	if text := violation(run(true)); text != "" {
		t.Fatal(text)
	}
	if text := violation(run(false)); !strings.Contains(text, "no leader") {
		t.Fatalf("the group survived without the removal: %q; the test has no power", text)
	}
}

// Guards against a repair that is reported before the new voter has synced what is committed, or before the removal
// and the promotion are both committed.
func TestRepairWaitsForSync(t *testing.T) {
	a, old, fresh := threeVoters.Voters[0], threeVoters.Voters[1], threeVoters.Voters[2]
	done := Status{
		ID: a, Role: Leader, Commit: 9, Match: map[ID]uint64{fresh: 9},
		Members: Members{Voters: []ID{a, fresh}}, Committed: true,
	}
	late, uncommitted, removed, learner, follower := done, done, done, done, done
	late.Match = map[ID]uint64{fresh: 8}
	uncommitted.Committed = false
	removed.Members = threeVoters
	learner.Members = Members{Voters: []ID{a}, Learners: []ID{fresh}}
	follower.Role = Follower
	for i, s := range []Status{done, late, uncommitted, removed, learner, follower} {
		if s.Repaired(old, fresh) != (i == 0) {
			t.Fatalf("case %d is reported as %v", i, i != 0)
		}
	}
}

// Guards against a removal that a leader appends although the remaining voters that still answer are no quorum: the voter
// that it removes comes back, but the others no longer count it, and the group never recovers.
func TestNoChangeWithoutQuorumOfTheNewMembers(t *testing.T) {
	s := newSim(t, 5)
	leader := s.elect()
	others := s.followers(leader)
	for _, p := range others[:3] {
		s.crash(p)
	}
	s.run(6)
	back := others[2]
	if err := leader.node.ProposeConfChange(ConfChange{Type: Remove, ID: back.id}); !errors.Is(err, ErrQuorum) {
		t.Errorf("the removal of %s with two of four remaining voters returned %v, want %v", back.id, err, ErrQuorum)
	}
	s.run(2 * DefaultElectionTicks)
	s.start(back)
	s.commit(s.elect(), "after")
}

// Guards against a paused leader that continues after a successor was elected and answers a read from its old
// state, or commits a proposal under its old term.
func TestPausedLeaderContinues(t *testing.T) {
	s := newSim(t, 3)
	old := s.elect()
	stale := s.read(old)
	check(t, old.node.Propose([]byte("of the old term")))
	old.paused = true
	s.commit(s.elect(), "of the new term")
	if old.node.Status().Commit >= s.high || old.node.Status().Role != Leader {
		t.Fatal("the paused leader knows of its successor; the test has no power")
	}
	old.paused = false
	fresh := s.read(old)
	s.work(old, 0)
	s.flush()
	if old.node.Status().Role == Leader {
		t.Fatal("the old leader did not step down on the first answer")
	}
	s.run(30)
	for _, context := range []string{stale, fresh} {
		if index, ok := s.done[context]; ok {
			t.Fatalf("the old leader answered %s with %d", context, index)
		}
	}
	if s.has("of the old term") {
		t.Fatal("a proposal of the old leader was committed in a later term")
	}
}

// Guards against a partitioned leader that goes on leading, and against a read that it answers.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	s := newSim(t, 3)
	leader := s.elect()
	s.cut[leader.id.Name] = true
	context := s.read(leader)
	s.run(DefaultElectionTicks / 2)
	if age := leader.node.Status().LeaseAge; age < DefaultElectionTicks/2-1 {
		t.Fatalf("the lease is %d ticks old after %d ticks without an answer", age, DefaultElectionTicks/2)
	}
	s.run(DefaultElectionTicks/2 + 1)
	if leader.node.Status().Role == Leader {
		t.Fatal("the leader did not step down within an election timeout")
	}
	if _, ok := s.done[context]; ok {
		t.Fatal("the read completed without a quorum")
	}
	s.commit(s.elect(), "on the other side")
	clear(s.cut)
	s.run(40)
	if _, ok := s.done[context]; ok {
		t.Fatal("the read completed after the term ended")
	}
}

// Guards against a member that raises its term while it is cut off and deposes the leader when it returns.
func TestRejoiningMemberDoesNotDisrupt(t *testing.T) {
	s := newSim(t, 3)
	leader := s.elect()
	term := leader.node.term
	away := s.followers(leader)[0]
	s.cut[away.id.Name] = true
	for i := range 20 {
		s.commit(leader, fmt.Sprint("proposal ", i))
		s.run(10)
	}
	delete(s.cut, away.id.Name)
	for range 40 {
		s.run(1)
		if leader.node.Status().Role != Leader || leader.node.term != term {
			t.Fatal("the returning member deposed the leader")
		}
	}
	s.caughtUp(away, leader)
}

// Guards against a second membership change before the first is committed, a change by a leader that has not
// committed in its term, and the promotion of a learner that lags: each can leave two disjoint quorums or no quorum.
func TestMembershipChangeRules(t *testing.T) {
	s := newSim(t, 3)
	leader := s.elect()
	a, b := ID{Name: "x", Disk: "0"}, ID{Name: "y", Disk: "0"}
	check(t, leader.node.ProposeConfChange(ConfChange{Type: AddLearner, ID: a}))
	wants(t, leader.node.ProposeConfChange(ConfChange{Type: AddLearner, ID: b}), ErrPending)
	s.run(2)
	for i := range 2 * DefaultPromoteLag {
		s.commit(leader, fmt.Sprint(i))
	}
	wants(t, leader.node.ProposeConfChange(ConfChange{Type: Promote, ID: a}), ErrLagging)
	wants(t, leader.node.ProposeConfChange(ConfChange{Type: Remove, ID: b}), ErrMember)
	n := startNode(t, threeVoters, HardState{})
	campaign(t, n)
	wants(t, n.ProposeConfChange(ConfChange{Type: AddLearner, ID: b}), ErrNotReady)
}

// Guards against a planned stop of the leader, or its removal, that leaves the group without a leader for an election
// timeout, and against a transfer to a dead member that blocks proposals for good.
func TestTransferLeavesNoGap(t *testing.T) {
	s := newSim(t, 3)
	leader := s.elect()
	to, err := leader.node.Transfer(ID{})
	check(t, err)
	wants(t, leader.node.Propose(nil), ErrTransfer)
	s.run(1)
	successor := s.leader()
	if successor == nil || successor.id != to {
		t.Fatalf("%s did not take over", to)
	}
	s.change(successor, ConfChange{Type: Remove, ID: successor.id})
	next := s.leader()
	if next == nil || next == successor {
		t.Fatal("no leader after the removal of the leader")
	}
	dead := s.peer(next.node.bestVoter())
	dead.paused = true
	_, err = next.node.Transfer(dead.id)
	check(t, err)
	s.run(DefaultElectionTicks - 1)
	dead.paused = false
	s.run(2)
	s.commit(s.elect(), "after the transfer expired")
}

// Guards against forwarded proposals that are lost without a fault, or appended twice when the network repeats them,
// and against a refusal that does not name the leader.
func TestForwardedProposals(t *testing.T) {
	s := newSim(t, 3)
	leader := s.elect()
	follower := s.followers(leader)[0]
	for i := range 5 {
		check(t, follower.node.Propose(fmt.Appendf(nil, "forwarded %d", i)))
	}
	r := follower.node.Ready()
	follower.node.Advance()
	s.send(r.Early)
	s.send(r.Early)
	s.run(3)
	if n := len(s.log); n != 1+5 {
		t.Fatalf("the log holds %d entries, want the leader's first and 5 proposals", n)
	}
	m := Message{Type: MsgPropose, From: follower.id, To: follower.id, Term: leader.node.term}
	m.Entries = []Entry{{Data: []byte("refused")}}
	check(t, follower.node.Step(m))
	for _, reply := range settle(follower.node) {
		check(t, follower.node.Step(reply))
	}
	if r = follower.node.Ready(); len(r.Refused) != 1 || string(r.Refused[0]) != "refused" {
		t.Fatalf("a member that does not lead refused %q", r.Refused)
	}
	follower.node.Advance()
	follower.node.Forward = false
	if id, ok := IsNotLeader(follower.node.Propose(nil)); !ok || id != leader.id {
		t.Fatalf("the refusal names %s, want %s", id, leader.id)
	}
}
