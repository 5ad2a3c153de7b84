package repl

import (
	"context"
	"fmt"

	"wasabiweir/core/raft"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// errSilent is returned for a learner that asks to be promoted before it has synced an entry.
var errSilent = eris.New("the learner has not synced any entry yet")

// Admit makes a process a voter, one step a call, on the leader; the process repeats its request until it votes. A voter
// of the same name under another disk id is replaced.
func (r *Replica) Admit(ctx context.Context, id raft.ID) error {
	s := r.Status()
	if s.Role != raft.Leader {
		return &raft.NotLeaderError{Leader: s.Leader}
	}
	if s.Members.IsVoter(id) {
		return nil
	}
	if err := r.removeStale(ctx, s.Members, id); err != nil {
		return err
	}
	for _, old := range s.Members.Voters {
		if old.Name == id.Name {
			return r.swap(ctx, old, id)
		}
	}
	step := raft.ConfChange{Type: raft.AddLearner, ID: id}
	if s.Members.IsLearner(id) {
		step.Type = raft.Promote
		if s.Match[id] == 0 {
			// A learner that never answered would count towards the quorum, however short the log is.
			return errSilent
		}
	}
	return r.ConfChange(ctx, step)
}

// removeStale removes learners under earlier identities of the same member, whose disk was lost again before they
// became voters.
func (r *Replica) removeStale(ctx context.Context, members raft.Members, id raft.ID) error {
	for _, learner := range members.Learners {
		if learner.Name != id.Name || learner == id {
			continue
		}
		if err := r.ConfChange(ctx, raft.ConfChange{Type: raft.Remove, ID: learner}); err != nil {
			return fmt.Errorf("remove learner %s: %w", learner, err)
		}
	}
	return nil
}

// swap replaces a voter and logs both ends of the replacement.
func (r *Replica) swap(ctx context.Context, old, fresh raft.ID) error {
	log := r.Log.With(zap.String("old", old.String()), zap.String("new", fresh.String()))
	log.Warn("member-replacement-started")
	if err := r.Replace(ctx, old, fresh); err != nil {
		return fmt.Errorf("replace the member: %w", err)
	}
	log.Info("member-replaced")
	return nil
}
