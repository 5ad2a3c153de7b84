package repl

import (
	"context"
	"fmt"
	"time"

	"wasabiweir/core/raft"
)

// Transfer transfers the leadership of the Raft group to the given voter, or to the one that has synced most entries if
// the ID is zero. It returns once this member is no longer the leader, or with the context's error. A planned stop
// calls it first, so that the group does not have to wait for an election timeout. Proposals are queued during the
// transfer and then go to the new leader.
func (r *Replica) Transfer(ctx context.Context, to raft.ID) error {
	for {
		o := r.queueAndWait(ctx, &proposal{transfer: &to, done: make(chan requestOutcome, 1)})
		if _, moved := raft.IsNotLeader(o.err); moved {
			return nil
		}
		if o.err != nil {
			return fmt.Errorf("transfer the leadership: %w", o.err)
		}
		// The raft node gives up a transfer of the leadership after an election timeout; it is then requested again.
		for range 4 * r.ElectionTicks {
			if r.Status().Role != raft.Leader {
				return nil
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("transfer the leadership: %w", ctx.Err())
			case <-time.After(r.Interval / 4):
			}
		}
	}
}
