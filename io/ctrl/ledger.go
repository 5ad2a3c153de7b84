package ctrl

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/ledger"
	"wasabiweir/core/raft"
	"wasabiweir/io/repl"
	"wasabiweir/io/wire"
)

const (
	// sweepInterval is the time between two sweeps of the call ledger for expired claims and idempotency keys. A claim
	// is a router's right to send a call.
	sweepInterval = time.Second
	// ledgerPrefix begins the name of each Raft group of the call ledger; the number of the partition follows.
	ledgerPrefix = "ledger-"
)

// errNoLeader is returned for a command to the call ledger if its Raft group has no known leader, which would set the
// command's time.
var errNoLeader = eris.New("the group has no leader")

// LedgerGroup returns the name of the Raft group that replicates partition i of the call ledger.
func LedgerGroup(i int) string { return ledgerPrefix + strconv.Itoa(i) }

// ledgerMachine is this process's copy of one partition of the call ledger, as the state machine of the partition's
// Raft group. The goroutine of the group's replica changes it and others read it, so that mu guards it.
type ledgerMachine struct {
	mu      sync.Mutex // guards machine, which the replica changes and others read
	machine ledger.Machine
}

// Apply applies a committed command to the call ledger and returns its ledger.Result.
func (m *ledgerMachine) Apply(_ uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Apply(data)
}

// Snapshot returns the encoded records of the partition of the call ledger.
func (m *ledgerMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Snapshot()
}

// CopyState returns a copy of the partition of the call ledger, which is encoded outside the replica's loop, so that a
// snapshot of many records does not delay heartbeats.
func (m *ledgerMachine) CopyState() repl.StateCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.CopyState()
}

// Restore replaces the records of the partition of the call ledger by those of a snapshot.
func (m *ledgerMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Restore(data)
}

// hasExpiredEntries reports whether the partition of the call ledger has claims whose time is over, and whether it has
// idempotency keys that are older than the retention.
func (m *ledgerMachine) hasExpiredEntries(now time.Time) (claims, keys bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.HasExpiredClaims(now), m.machine.HasExpiredKeys(now)
}

// handleLedgerCommand executes a router's command on the call ledger. A follower forwards it to the leader of the Raft
// group, whose clock sets the command's time; a command that was forwarded once is not forwarded again.
func (c *Control) handleLedgerCommand(ctx context.Context, g *raftGroup, f wire.Frame) (any, error) {
	cmd, err := wire.Decode[ledger.Command](f)
	if err != nil {
		return nil, err
	}
	s := g.replica.Status()
	if s.Role == raft.Leader {
		return c.proposeLedgerCommand(ctx, g, cmd)
	}
	p := c.peers[s.Leader.Name]
	if p == nil || f.Kind == wire.KindForward {
		return nil, errNoLeader
	}
	var out ledger.Result
	if err := p.Call(ctx, wire.KindForward, g.name, cmd, &out); err != nil {
		return nil, fmt.Errorf("forward to the leader: %w", err)
	}
	return out, nil
}

// proposeLedgerCommand sets the time of a command to the call ledger, replicates it and returns its result. The caller
// has checked that this process leads the Raft group of the ledger partition.
func (c *Control) proposeLedgerCommand(ctx context.Context, g *raftGroup, cmd ledger.Command) (ledger.Result, error) {
	if err := g.awaitVoterMajority(ctx); err != nil {
		return ledger.Result{}, err
	}
	cmd.TimeMS = c.Clock.Now().UnixMilli()
	data, err := cmd.Encode()
	if err != nil {
		return ledger.Result{}, fmt.Errorf("encode command: %w", err)
	}
	result, _, err := g.replica.Propose(ctx, data)
	if err != nil {
		return ledger.Result{}, fmt.Errorf("replicate command: %w", err)
	}
	return result.(ledger.Result), nil
}

// loopSweepLedger removes expired entries from the partitions of the call ledger that this process leads, every
// sweepInterval.
func (c *Control) loopSweepLedger(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for i, m := range c.ledgers {
			g := c.groups[LedgerGroup(i)]
			if g.replica.Status().Role == raft.Leader {
				c.sweepLedger(ctx, g, m)
			}
		}
	}
}

// sweepLedger ends the expired claims and deletes the expired idempotency keys of one partition of the call ledger.
func (c *Control) sweepLedger(ctx context.Context, g *raftGroup, m *ledgerMachine) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	claims, keys := m.hasExpiredEntries(c.Clock.Now())
	if claims {
		c.proposeExpiry(ctx, g, ledger.OpExpireClaims)
	}
	if keys {
		c.proposeExpiry(ctx, g, ledger.OpDeleteExpired)
	}
}

// proposeExpiry replicates the ledger command op, which ends expired claims or deletes expired idempotency keys, and
// logs how many claims it ended.
func (c *Control) proposeExpiry(ctx context.Context, g *raftGroup, op ledger.Op) {
	out, err := c.proposeLedgerCommand(ctx, g, ledger.Command{Op: op})
	if err != nil {
		c.Log.Warn("ledger-sweep-failed", zap.String("group", g.name), zap.Error(err))
		return
	}
	if op == ledger.OpExpireClaims && len(out.IDs) > 0 {
		c.Log.Warn("claims-expired", zap.String("group", g.name), zap.Int("count", len(out.IDs)))
	}
}
