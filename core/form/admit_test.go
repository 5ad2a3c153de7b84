package form

import (
	"testing"

	"wasabiweir/core/raft"
)

// Guards against removing a voter in favour of a learner that never answered, which is possible because in a short log
// the learner's lag is small.
func TestNoRemovalForSilentLearner(t *testing.T) {
	oldID, newID := raft.ID{Name: "b", Disk: "1"}, raft.ID{Name: "b", Disk: "2"}
	var s raft.Status
	s.Commit = 20
	s.Members = raft.Members{Voters: []raft.ID{{Name: "a", Disk: "1"}, oldID}, Learners: []raft.ID{newID}}
	s.MatchIndex = map[raft.ID]uint64{newID: 0}
	if c, due := NextReplacementChange(s, oldID, newID); due {
		t.Fatalf("next change is %+v, want none before the learner has answered", c)
	}
	s.MatchIndex[newID] = 20
	if c, due := NextReplacementChange(s, oldID, newID); !due || c.Type != raft.Remove || c.ID != oldID {
		t.Fatalf("next change is %+v, want the removal of %s", c, oldID)
	}
}
