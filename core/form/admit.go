package form

import (
	"time"

	"wasabiweir/core/raft"

	"github.com/rotisserie/eris"
)

// Errors of NextAdmissionChange, after which the process that joins the Raft group tries again.
var (
	// ErrLearnerNotSynced means that the learner has not yet synced a log entry. If a learner that never
	// answers were promoted, it would count towards the quorum, however short the log is.
	ErrLearnerNotSynced = eris.New("the learner has not synced any entry yet")
	// ErrVoterUncertain means that a voter of the Raft group may have failed. Promoting another voter now would raise
	// the quorum, and the loss of one more member could stop the group.
	ErrVoterUncertain = eris.New("a voter may be gone; the newcomer waits until it answers or counts as gone")
)

// NextAdmissionChange returns the next membership change of the Raft group by which the process with the id becomes a
// voter, or a zero change if it is one. It takes the leader's status and a function that returns the time since each
// member last answered the leader; with a nil function, a learner is promoted even while a voter may have failed. A
// failed voter of another name is replaced in two steps: the new voter is promoted here, and then MemberToRemove
// removes the failed one. In the other order, the loss of one more of three voters would stop the group for good, even
// if the removed voter came back.
func NextAdmissionChange(s raft.Status, id raft.ID, silence func(raft.ID) time.Duration) (raft.ConfChange, error) {
	if s.Members.IsVoter(id) {
		return raft.ConfChange{}, nil
	}
	for _, l := range s.Members.Learners {
		if l.Name == id.Name && l != id {
			// The disk of the joining process was lost again before it became a voter.
			return raft.ConfChange{Type: raft.Remove, ID: l}, nil
		}
	}
	old, replaces := VoterWithLostDisk(s.Members, id)
	if replaces {
		c, due := NextReplacementChange(s, old, id)
		if !due {
			return raft.ConfChange{}, ErrLearnerNotSynced
		}
		return c, nil
	}
	switch {
	case !s.Members.IsLearner(id):
		return raft.ConfChange{Type: raft.AddLearner, ID: id}, nil
	case s.MatchIndex[id] == 0:
		return raft.ConfChange{}, ErrLearnerNotSynced
	}
	if silence != nil && hasUncertainVoter(s.Members, s.ID, silence) {
		return raft.ConfChange{}, ErrVoterUncertain
	}
	return raft.ConfChange{Type: raft.Promote, ID: id}, nil
}

// VoterWithLostDisk returns the voter of the Raft group that has the process's name but another disk id, which means
// that the voter's disk was lost.
func VoterWithLostDisk(m raft.Members, id raft.ID) (raft.ID, bool) {
	for _, v := range m.Voters {
		if v.Name == id.Name && v != id {
			return v, true
		}
	}
	return raft.ID{}, false
}

// NextReplacementChange returns the next membership change of the Raft group by which the voter newID takes the place
// of oldID, whose disk is lost: add newID as a learner, remove oldID once the learner has caught up, promote the
// learner. It returns false while no change is due.
func NextReplacementChange(s raft.Status, oldID, newID raft.ID) (raft.ConfChange, bool) {
	m := s.Members
	switch {
	case !m.Has(newID):
		return raft.ConfChange{Type: raft.AddLearner, ID: newID}, true
	case s.MatchIndex[newID] == 0 || s.MatchIndex[newID]+raft.DefaultPromoteLag < s.Commit:
		// The old voter must not be removed for a learner that has never answered, which in a short log lags only a
		// few entries.
		return raft.ConfChange{}, false
	case m.Has(oldID):
		return raft.ConfChange{Type: raft.Remove, ID: oldID}, true
	case m.IsLearner(newID):
		return raft.ConfChange{Type: raft.Promote, ID: newID}, true
	}
	return raft.ConfChange{}, false
}
