package form

import (
	"errors"
	"testing"
	"time"

	"wasabiweir/core/raft"
)

// Guards against two groups: each seed must derive the same first voters, in whatever order its settings list them.
func TestFoundersAreTheSameOnEachSeed(t *testing.T) {
	seeds := []string{"c:1", "a:1", "b:1"}
	want := Founders("a:1", seeds)
	if len(want.Voters) != 3 || len(want.Learners) != 0 {
		t.Fatalf("founders are %+v, want three voters", want)
	}
	for i, self := range seeds {
		order := append(append([]string{}, seeds[i:]...), seeds[:i]...)
		got := Founders(self, append(order, self))
		for j := range got.Voters {
			if len(got.Voters) != 3 || got.Voters[j] != want.Voters[j] {
				t.Errorf("founders on %s are %+v, want %+v", self, got, want)
			}
		}
	}
	if m := Founders("d:1", seeds); len(m.Voters) != 0 {
		t.Errorf("a process that is no seed founds %+v", m)
	}
}

// Guards against the removal of voters that a group needs to bear losses, and against voters that are kept although
// they only raise the quorum.
func TestGone(t *testing.T) {
	id := func(name string) raft.ID { return raft.ID{Name: name, Disk: "1"} }
	voters := func(n int) (m raft.Members) {
		for i := range n {
			m.Voters = append(m.Voters, id(string(rune('a'+i))))
		}
		return m
	}
	silent := func(names ...string) func(raft.ID) time.Duration {
		return func(x raft.ID) time.Duration {
			for _, n := range names {
				if x.Name == n {
					return KeptFor
				}
			}
			return 0
		}
	}
	for _, c := range []struct {
		name    string
		members raft.Members
		silent  func(raft.ID) time.Duration
		want    string
	}{
		{"three voters keep a silent one", voters(3), silent("b"), ""},
		{"five voters keep silent ones", voters(5), silent("b", "c"), ""},
		{"two voters keep a silent one", voters(2), silent("b"), ""},
		{"four voters give up a silent one", voters(4), silent("b"), "b"},
		{"six voters give up a silent one", voters(6), silent("f"), "f"},
		{"seven voters give up a silent one", voters(7), silent("g"), "g"},
		{"the leader is never given up", voters(6), silent("a"), ""},
		{"six voters wait before they give one up", voters(6), func(raft.ID) time.Duration { return GoneAfter - time.Millisecond }, ""},
		{"seven voters wait for longer", voters(7), func(raft.ID) time.Duration { return KeptFor - time.Millisecond }, ""},
		{"nobody is silent", voters(6), silent(), ""},
		{"a silent learner is given up", raft.Members{Voters: voters(3).Voters, Learners: []raft.ID{id("x")}}, silent("x"), "x"},
	} {
		got, due := Gone(c.members, id("a"), c.silent)
		if due != (c.want != "") || got.Name != c.want {
			t.Errorf("%s: %q, want %q", c.name, got.Name, c.want)
		}
	}
}

// Guards against a group that a newcomer makes larger while a voter is gone: with four voters of which one is gone, the
// loss of another one stops it.
func TestPlaceOfGoneVoter(t *testing.T) {
	id := func(name string) raft.ID { return raft.ID{Name: name, Disk: "1"} }
	n := id("n")
	s := raft.Status{ID: id("a"), Match: map[raft.ID]uint64{n: 5}}
	s.Members = raft.Members{Voters: []raft.ID{id("a"), id("b"), id("c")}, Learners: []raft.ID{n}}
	for _, c := range []struct {
		name   string
		silent time.Duration
		want   error
		gone   string
	}{
		{"all answer", 200 * time.Millisecond, nil, ""},
		{"one may be gone", time.Second, ErrWaits, ""},
		{"one is gone", GoneAfter, nil, "b"},
	} {
		silent := func(x raft.ID) time.Duration {
			if x == id("b") || x == id("a") {
				return c.silent
			}
			return 0
		}
		change, err := Admission(s, n, silent)
		if !errors.Is(err, c.want) || err == nil && (change.Type != raft.Promote || change.ID != n) {
			t.Errorf("%s: %s of %s, %v; want the promotion or %v", c.name, change.Type, change.ID, err, c.want)
		}
		if err != nil {
			continue
		}
		after, err := s.Members.Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		// The removal needs no further wait.
		if gone, _ := Gone(after, s.ID, silent); gone.Name != c.gone {
			t.Errorf("%s: %q is removed after the promotion, want %q", c.name, gone.Name, c.gone)
		}
	}
}
