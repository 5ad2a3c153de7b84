package form

import (
	"errors"
	"testing"
	"time"

	"wasabiweir/core/raft"
)

// Guards against two separate groups: each seed must compute the same first voters, whatever the order in its
// settings.
func TestBootstrapMembersAreTheSameOnEachSeed(t *testing.T) {
	seeds := []string{"c:1", "a:1", "b:1"}
	want := BootstrapMembers("a:1", seeds)
	if len(want.Voters) != 3 || len(want.Learners) != 0 {
		t.Fatalf("bootstrap members are %+v, want three voters", want)
	}
	for i, self := range seeds {
		order := append(append([]string{}, seeds[i:]...), seeds[:i]...)
		got := BootstrapMembers(self, append(order, self))
		for j := range got.Voters {
			if len(got.Voters) != 3 || got.Voters[j] != want.Voters[j] {
				t.Errorf("bootstrap members on %s are %+v, want %+v", self, got, want)
			}
		}
	}
	if m := BootstrapMembers("d:1", seeds); len(m.Voters) != 0 {
		t.Errorf("a process that is not a seed has the first voters %+v", m)
	}
}

// Guards against removing voters that a group needs to tolerate losses, and against keeping voters that only raise the
// quorum.
func TestGone(t *testing.T) {
	id := func(name string) raft.ID { return raft.ID{Name: name, Disk: "1"} }
	voters := func(n int) (m raft.Members) {
		for i := range n {
			m.Voters = append(m.Voters, id(string(rune('a'+i))))
		}
		return m
	}
	silentMembers := func(names ...string) func(raft.ID) time.Duration {
		return func(x raft.ID) time.Duration {
			for _, n := range names {
				if x.Name == n {
					return SpareRemovalDelay
				}
			}
			return 0
		}
	}
	for _, c := range []struct {
		name          string
		members       raft.Members
		silentMembers func(raft.ID) time.Duration
		want          string
	}{
		{"three voters keep an unresponsive one", voters(3), silentMembers("b"), ""},
		{"five voters keep unresponsive ones", voters(5), silentMembers("b", "c"), ""},
		{"two voters keep an unresponsive one", voters(2), silentMembers("b"), ""},
		{"four voters lose an unresponsive one", voters(4), silentMembers("b"), "b"},
		{"six voters lose an unresponsive one", voters(6), silentMembers("f"), "f"},
		{"seven voters lose an unresponsive one", voters(7), silentMembers("g"), "g"},
		{"the leader is never removed", voters(6), silentMembers("a"), ""},
		{"six voters wait for VoterRemovalDelay", voters(6), func(raft.ID) time.Duration { return VoterRemovalDelay - time.Millisecond }, ""},
		{"seven voters wait for SpareRemovalDelay", voters(7), func(raft.ID) time.Duration { return SpareRemovalDelay - time.Millisecond }, ""},
		{"all members answer", voters(6), silentMembers(), ""},
		{"an unresponsive learner is removed", raft.Members{Voters: voters(3).Voters, Learners: []raft.ID{id("x")}}, silentMembers("x"), "x"},
	} {
		got, due := MemberToRemove(c.members, id("a"), c.silentMembers)
		if due != (c.want != "") || got.Name != c.want {
			t.Errorf("%s: %q, want %q", c.name, got.Name, c.want)
		}
	}
}

// Guards against promoting a joining process while a voter may have failed: of four voters with one failed, the loss
// of another one stops the group. Once the voter counts as failed, the promotion must be followed by its removal.
func TestReplacementOfUnreachableVoter(t *testing.T) {
	id := func(name string) raft.ID { return raft.ID{Name: name, Disk: "1"} }
	joining := id("n")
	s := raft.Status{ID: id("a"), MatchIndex: map[raft.ID]uint64{joining: 5}}
	s.Members = raft.Members{Voters: []raft.ID{id("a"), id("b"), id("c")}, Learners: []raft.ID{joining}}
	for _, c := range []struct {
		name        string
		silent      time.Duration
		want        error
		wantRemoved string
	}{
		{"all answer", 200 * time.Millisecond, nil, ""},
		{"one may have failed", time.Second, ErrVoterUncertain, ""},
		{"one has failed", VoterRemovalDelay, nil, "b"},
	} {
		silent := func(x raft.ID) time.Duration {
			if x == id("b") || x == id("a") {
				return c.silent
			}
			return 0
		}
		change, err := NextAdmissionChange(s, joining, silent)
		if !errors.Is(err, c.want) || err == nil && (change.Type != raft.Promote || change.ID != joining) {
			t.Errorf("%s: %s of %s, %v; want the promotion or %v", c.name, change.Type, change.ID, err, c.want)
		}
		if err != nil {
			continue
		}
		after, err := s.Members.Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		// The failed voter is removed without a further delay.
		if removed, _ := MemberToRemove(after, s.ID, silent); removed.Name != c.wantRemoved {
			t.Errorf("%s: %q is removed after the promotion, want %q", c.name, removed.Name, c.wantRemoved)
		}
	}
}
