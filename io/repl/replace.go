package repl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabiweir/core/form"
	"wasabiweir/core/raft"
)

// Replace replaces the voter old, whose disk is lost, by the member fresh, and returns once the repair is complete:
// the removal and the promotion are committed and fresh has synced everything that was committed then. It runs on
// the leader, skips the steps that are already done, and may be called again after an error.
func (r *Replica) Replace(ctx context.Context, old, fresh raft.ID) error {
	for {
		s := r.Status()
		if s.Role != raft.Leader {
			return fmt.Errorf("replace %s: %w", old, &raft.NotLeaderError{Leader: s.Leader})
		}
		if s.Repaired(old, fresh) {
			return nil
		}
		c, due := form.Replacement(s.Status, old, fresh)
		var err error
		if due {
			err = r.ConfChange(ctx, c)
		}
		if err != nil && !retryable(err) {
			return fmt.Errorf("replace %s by %s: %w", old, fresh, err)
		}
		if due && err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("replace %s by %s: %w", old, fresh, ctx.Err())
		case <-time.After(r.Interval):
		}
	}
}

func retryable(err error) bool {
	return errors.Is(err, raft.ErrPending) || errors.Is(err, raft.ErrNotReady) || errors.Is(err, raft.ErrLagging) ||
		errors.Is(err, raft.ErrTransfer) || errors.Is(err, raft.ErrQuorum)
}
