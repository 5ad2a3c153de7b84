package repl

import (
	"context"
	"fmt"
	"time"

	"wasabiweir/core/form"
	"wasabiweir/core/raft"

	"go.uber.org/zap"
)

// Admit commits the next membership changes of the Raft group by which the member id becomes a voter. It runs on the
// leader and returns a raft.NotLeaderError elsewhere; the joining process repeats its request until it is a voter. A
// voter with the same name and another disk id is replaced. With replaceUnreachable, the member is not promoted while a
// voter may be unreachable; after the promotion, an unreachable voter is removed.
func (r *Replica) Admit(ctx context.Context, id raft.ID, replaceUnreachable bool) error {
	for {
		s := r.Status()
		if s.Role != raft.Leader {
			return &raft.NotLeaderError{Leader: s.Leader}
		}
		var silent func(raft.ID) time.Duration
		if replaceUnreachable {
			silent = r.silenceOf(s)
		}
		c, err := form.NextAdmissionChange(s.Status, id, silent)
		if err != nil || c.Type == 0 {
			return err
		}
		if old, ok := form.VoterWithLostDisk(s.Members, id); ok && (c.ID == id || c.ID == old) {
			return r.replaceMember(ctx, old, id)
		}
		r.Log.Info("member-changed", zap.Stringer("change", c.Type), zap.Stringer("member", c.ID), zap.Stringer("new-member", id))
		if err := r.ConfChange(ctx, c); err != nil {
			return fmt.Errorf("%s %s: %w", c.Type, c.ID, err)
		}
		if replaceUnreachable && c.Type == raft.Promote {
			return r.RemoveUnreachable(ctx)
		}
		if c.ID == id {
			return nil
		}
	}
}

// RemoveUnreachable removes one member of the Raft group that has been unreachable for too long, if there is one. It
// has no effect on a member that is not the leader.
func (r *Replica) RemoveUnreachable(ctx context.Context) error {
	s := r.Status()
	if s.Role != raft.Leader {
		return nil
	}
	id, due := form.MemberToRemove(s.Members, s.ID, r.silenceOf(s))
	if !due {
		return nil
	}
	r.Log.Warn("member-removed", zap.Stringer("member", id), zap.Int("voters", len(s.Members.Voters)))
	if err := r.ConfChange(ctx, raft.ConfChange{Type: raft.Remove, ID: id}); err != nil {
		return fmt.Errorf("remove %s: %w", id, err)
	}
	return nil
}

// silenceOf returns a function that tells for how long the leader with the status s has had no reply from a member of
// the Raft group.
func (r *Replica) silenceOf(s Status) func(raft.ID) time.Duration {
	return func(id raft.ID) time.Duration { return time.Duration(s.TicksSinceReply[id]) * r.Interval }
}

// replaceMember replaces a voter of the Raft group, whose disk is lost, by the member with its new disk, and logs the
// start and the completion.
func (r *Replica) replaceMember(ctx context.Context, old, replacement raft.ID) error {
	log := r.Log.With(zap.Stringer("old", old), zap.Stringer("new", replacement))
	log.Warn("member-replacement-started")
	if err := r.Replace(ctx, old, replacement); err != nil {
		return fmt.Errorf("replace the member: %w", err)
	}
	log.Info("member-replaced")
	return nil
}
