package repl

import (
	"context"
	"fmt"
	"time"

	"wasabiweir/core/form"
	"wasabiweir/core/raft"

	"go.uber.org/zap"
)

// Admit makes the next steps by which a process becomes a voter, on the leader; the process repeats its request until it
// votes. A voter of the same name under another disk id is replaced. With displace, the newcomer waits while a voter may be
// gone, and then takes its place.
func (r *Replica) Admit(ctx context.Context, id raft.ID, displace bool) error {
	for {
		s := r.Status()
		if s.Role != raft.Leader {
			return &raft.NotLeaderError{Leader: s.Leader}
		}
		var silent func(raft.ID) time.Duration
		if displace {
			silent = r.silence(s)
		}
		c, err := form.Admission(s.Status, id, silent)
		if err != nil || c.Type == 0 {
			return err
		}
		if old, ok := form.Namesake(s.Members, id); ok && (c.ID == id || c.ID == old) {
			return r.swap(ctx, old, id)
		}
		r.Log.Info("member-changed", zap.Stringer("change", c.Type), zap.Stringer("member", c.ID), zap.Stringer("newcomer", id))
		if err := r.ConfChange(ctx, c); err != nil {
			return fmt.Errorf("%s %s: %w", c.Type, c.ID, err)
		}
		if displace && c.Type == raft.Promote {
			return r.RemoveGone(ctx)
		}
		if c.ID == id {
			return nil
		}
	}
}

// RemoveGone removes the member that the leader should give up, if there is one.
func (r *Replica) RemoveGone(ctx context.Context) error {
	s := r.Status()
	if s.Role != raft.Leader {
		return nil
	}
	id, due := form.Gone(s.Members, s.ID, r.silence(s))
	if !due {
		return nil
	}
	r.Log.Warn("member-removed", zap.Stringer("member", id), zap.Int("voters", len(s.Members.Voters)))
	if err := r.ConfChange(ctx, raft.ConfChange{Type: raft.Remove, ID: id}); err != nil {
		return fmt.Errorf("remove %s: %w", id, err)
	}
	return nil
}

// silence returns how long members have not answered the leader with the status.
func (r *Replica) silence(s Status) func(raft.ID) time.Duration {
	return func(id raft.ID) time.Duration { return time.Duration(s.Silent[id]) * r.Interval }
}

// swap replaces a voter and logs both ends of the replacement.
func (r *Replica) swap(ctx context.Context, old, fresh raft.ID) error {
	log := r.Log.With(zap.Stringer("old", old), zap.Stringer("new", fresh))
	log.Warn("member-replacement-started")
	if err := r.Replace(ctx, old, fresh); err != nil {
		return fmt.Errorf("replace the member: %w", err)
	}
	log.Info("member-replaced")
	return nil
}
