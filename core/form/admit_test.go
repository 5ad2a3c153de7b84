package form

import (
	"testing"

	"wasabiweir/core/raft"
)

// Guards against the removal of a voter in favour of a learner that never answered; in a short log its lag is small.
func TestNoRemovalForSilentLearner(t *testing.T) {
	old, fresh := raft.ID{Name: "b", Disk: "1"}, raft.ID{Name: "b", Disk: "2"}
	var s raft.Status
	s.Commit = 20
	s.Members = raft.Members{Voters: []raft.ID{{Name: "a", Disk: "1"}, old}, Learners: []raft.ID{fresh}}
	s.Match = map[raft.ID]uint64{fresh: 0}
	if c, due := Replacement(s, old, fresh); due {
		t.Fatalf("next change is %+v, want none before the learner has answered", c)
	}
	s.Match[fresh] = 20
	if c, due := Replacement(s, old, fresh); !due || c.Type != raft.Remove || c.ID != old {
		t.Fatalf("next change is %+v, want the removal of %s", c, old)
	}
}
