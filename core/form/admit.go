package form

import (
	"time"

	"wasabiweir/core/raft"

	"github.com/rotisserie/eris"
)

// Errors of Admission, after which the process asks again.
var (
	// ErrSilent means that the learner has not synced an entry yet. One that never answered would count towards the
	// quorum, however short the log is.
	ErrSilent = eris.New("the learner has not synced any entry yet")
	// ErrWaits means that a voter may be gone. A newcomer beside it would raise the quorum, and the loss of one more
	// member could stop the group.
	ErrWaits = eris.New("a voter may be gone; the newcomer waits until it answers or counts as gone")
)

// Admission returns the next change by which the process becomes a voter, or a zero change if it is one. It takes the
// status of the leader, and how long each member has not answered it; nil means that newcomers do not wait while a voter
// may be gone. The place of a voter that is gone is taken in two steps, the promotion here and then its removal by Gone: the
// other way round, the loss of one more of three would stop the group for good, even if the removed voter came back.
func Admission(s raft.Status, id raft.ID, silent func(raft.ID) time.Duration) (raft.ConfChange, error) {
	if s.Members.IsVoter(id) {
		return raft.ConfChange{}, nil
	}
	for _, l := range s.Members.Learners {
		if l.Name == id.Name && l != id {
			// Its disk was lost again before it became a voter.
			return raft.ConfChange{Type: raft.Remove, ID: l}, nil
		}
	}
	old, replaces := Namesake(s.Members, id)
	if replaces {
		c, due := Replacement(s, old, id)
		if !due {
			return raft.ConfChange{}, ErrSilent
		}
		return c, nil
	}
	switch {
	case !s.Members.IsLearner(id):
		return raft.ConfChange{Type: raft.AddLearner, ID: id}, nil
	case s.Match[id] == 0:
		return raft.ConfChange{}, ErrSilent
	}
	if silent != nil && uncertain(s.Members, s.ID, silent) {
		return raft.ConfChange{}, ErrWaits
	}
	return raft.ConfChange{Type: raft.Promote, ID: id}, nil
}

// Namesake returns the voter that has the process's name under another disk id.
func Namesake(m raft.Members, id raft.ID) (raft.ID, bool) {
	for _, v := range m.Voters {
		if v.Name == id.Name && v != id {
			return v, true
		}
	}
	return raft.ID{}, false
}

// Replacement returns the next step by which fresh takes the place of old, whose disk is lost: add the learner, remove
// the lost voter once the learner has caught up, promote the learner. It reports false while none is due.
func Replacement(s raft.Status, old, fresh raft.ID) (raft.ConfChange, bool) {
	m := s.Members
	switch {
	case !m.Has(fresh):
		return raft.ConfChange{Type: raft.AddLearner, ID: fresh}, true
	case s.Match[fresh] == 0 || s.Match[fresh]+raft.DefaultPromoteLag < s.Commit:
		// A learner that never answered must not cost the group its old voter, however short the log is.
		return raft.ConfChange{}, false
	case m.Has(old):
		return raft.ConfChange{Type: raft.Remove, ID: old}, true
	case m.IsLearner(fresh):
		return raft.ConfChange{Type: raft.Promote, ID: fresh}, true
	}
	return raft.ConfChange{}, false
}
