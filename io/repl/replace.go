package repl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabiweir/core/form"
	"wasabiweir/core/raft"
)

// Replace replaces the voter old of the Raft group, whose disk is lost, by the member replacement. It returns once the
// removal and the promotion are committed and the replacement has synced everything that was committed by then. It runs
// on the leader, skips the steps that are already done, and may be called again after an error. Elsewhere it returns a
// raft.NotLeaderError.
func (r *Replica) Replace(ctx context.Context, old, replacement raft.ID) error {
	for {
		s := r.Status()
		if s.Role != raft.Leader {
			return fmt.Errorf("replace %s: %w", old, &raft.NotLeaderError{Leader: s.Leader})
		}
		if s.ReplacementComplete(old, replacement) {
			return nil
		}
		c, due := form.NextReplacementChange(s.Status, old, replacement)
		var err error
		if due {
			err = r.ConfChange(ctx, c)
		}
		if err != nil && !isRetryableChangeError(err) {
			return fmt.Errorf("replace %s by %s: %w", old, replacement, err)
		}
		if due && err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("replace %s by %s: %w", old, replacement, ctx.Err())
		case <-time.After(r.Interval):
		}
	}
}

// isRetryableChangeError reports whether a membership change failed for a reason that passes, such as another change in
// progress.
func isRetryableChangeError(err error) bool {
	return errors.Is(err, raft.ErrChangePending) || errors.Is(err, raft.ErrNotReady) || errors.Is(err, raft.ErrLearnerLagging) ||
		errors.Is(err, raft.ErrTransferInProgress) || errors.Is(err, raft.ErrNoQuorum)
}
