package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/form"
	"wasabiweir/core/raft"
	"wasabiweir/io/mesh"
	"wasabiweir/io/repl"
	"wasabiweir/io/serve"
	"wasabiweir/io/store"
	"wasabiweir/io/wire"
)

const (
	// groupName is the name of the keepers' replicated log.
	groupName = "state"
	// heartbeatTicks is the number of Raft clock ticks between two heartbeats; five heartbeats fit into an election
	// timeout.
	heartbeatTicks = 2
	// snapshotEvery is the number of log entries between two snapshots and keepEntries the number kept after one. They
	// bound the time of a restart; the size of the log is bounded by logBytes.
	snapshotEvery = 64
	keepEntries   = 64
	// restartPause is the pause before a Raft replica whose disk failed is restarted.
	restartPause = 500 * time.Millisecond
	// joinRetryInterval is the time between two requests to join the Raft group by a process that is not a voter.
	joinRetryInterval = 250 * time.Millisecond
	// joinTimeout bounds one membership change of the Raft group, and one request for it to another keeper.
	joinTimeout = 2 * time.Second
	// removalInterval is the time between two searches for unreachable members to remove from the Raft group.
	removalInterval = time.Second
	// transferTimeout bounds how long a graceful shutdown waits until another keeper leads the Raft group.
	transferTimeout = time.Second
)

// raftGroup is this process's membership in the Raft group of the keepers.
type raftGroup struct {
	keeper  *Keeper
	replica atomic.Pointer[groupReplica]
	// earlier is the last status of an earlier replica that had opened its store; nil if there is none.
	earlier atomic.Pointer[repl.Status]
	// receiver decodes the Raft messages from other keepers.
	receiver mesh.Receiver
}

// groupReplica is a Raft replica that runs once.
type groupReplica struct {
	*repl.Replica
	// failed ends, by fail, when the replica has failed, possibly before it ran; requests to it are then answered at once.
	failed context.Context
	fail   context.CancelFunc
}

// propose proposes the data; it returns repl.ErrNotRun if the replica has failed, or fails before it submits them.
func (r *groupReplica) propose(ctx context.Context, data []byte) (any, uint64, error) {
	if r.failed.Err() != nil {
		return nil, 0, fmt.Errorf("the replica has failed: %w", repl.ErrNotRun)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.failed, cancel)()
	return r.Propose(ctx, data)
}

// confirm waits until this member has applied all that was acknowledged; it returns an error at once if the replica has failed.
func (r *groupReplica) confirm(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.failed, cancel)()
	_, err := r.ReadIndex(ctx)
	return err
}

// currentReplica returns the running Raft replica; after a disk failure it is a new one.
func (g *raftGroup) currentReplica() *groupReplica { return g.replica.Load() }

// status returns the status of the running Raft replica. A replica that has not opened its store, or fails at once, knows neither
// itself nor the members; until then, the status is the last one of an earlier replica.
func (g *raftGroup) status() repl.Status {
	s := g.currentReplica().Status()
	if earlier := g.earlier.Load(); s.ID.IsZero() && earlier != nil {
		return *earlier
	}
	return s
}

// initReplica creates a Raft replica without starting it, so that requests that arrive before the start can wait for
// it.
func (g *raftGroup) initReplica() {
	g.keeper.folder = &store.Folder{Path: g.keeper.DataDir, Disk: g.keeper.disk()}
	g.replica.Store(g.newReplica())
}

// newReplica returns a Raft replica that is not started. On the first start of the system it bootstraps the Raft group
// from the seeds.
func (g *raftGroup) newReplica() *groupReplica {
	k := g.keeper
	failed, fail := context.WithCancel(context.Background())
	r := &groupReplica{failed: failed, fail: fail, Replica: &repl.Replica{
		Name:           k.PeerAddress,
		Store:          &store.Store{Folder: k.folder, Group: groupName},
		Machine:        &k.machine,
		Transport:      &mesh.Sender{Group: groupName, LinkTo: k.peers.linkTo},
		HeartbeatTicks: heartbeatTicks,
		SnapshotEvery:  snapshotEvery,
		KeepEntries:    keepEntries,
		LogBytes:       k.logBytes(),
		Log:            k.Log,
	}}
	if k.Bootstrap {
		r.Bootstrap = form.BootstrapMembers(k.PeerAddress, k.Seeds())
	}
	if k.Metrics != nil {
		r.Metrics = k.Metrics
	}
	return r
}

// loop runs the Raft replica and restarts it after each failure of the disk. If a disk is full or rejects writes for
// some time, the process only stops taking part in the group for that time.
func (g *raftGroup) loop(ctx context.Context) error {
	for {
		err := g.runOnce(ctx)
		g.currentReplica().fail()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		g.keeper.Log.Error("replica-failed", zap.Error(err), zap.Duration("restart-in", restartPause))
		if !serve.Sleep(ctx, restartPause) {
			return ctx.Err()
		}
		g.replica.Store(g.newReplica())
	}
}

// runOnce opens the data folder and runs the Raft replica until it fails. Corrupt data is discarded: the folder gets a
// new disk id, under which this process joins the group again as a learner.
func (g *raftGroup) runOnce(ctx context.Context) error {
	f := g.keeper.folder
	f.InitialDiskID = ""
	if g.keeper.Bootstrap {
		f.InitialDiskID = form.BootstrapDiskID
	}
	err := f.Open()
	if isCorrupt(err) {
		if err = g.renewDiskID(err); err == nil {
			err = f.Open()
		}
	}
	if err != nil {
		return fmt.Errorf("open %s: %w", g.keeper.DataDir, err)
	}
	g.keeper.Log.Info("folder-opened", zap.String("disk", f.DiskID()))
	r := g.currentReplica()
	err = r.Run(ctx)
	s := g.status()
	g.earlier.Store(&s)
	if isCorrupt(err) {
		err = errors.Join(err, g.renewDiskID(err))
	}
	return errors.Join(err, f.Close())
}

// isCorrupt reports whether an error means that stored data is corrupt.
func isCorrupt(err error) bool {
	var corrupt *store.CorruptError
	return errors.As(err, &corrupt)
}

// renewDiskID discards corrupt data by giving the data folder a new disk id.
func (g *raftGroup) renewDiskID(cause error) error {
	g.keeper.Log.Error("stored-state-corrupt", zap.Error(cause), zap.String("action", "join as a learner with a new disk id"))
	if err := g.keeper.folder.RenewDiskID(); err != nil {
		return fmt.Errorf("renew the disk id: %w", err)
	}
	// With another disk, this process is no member, but those that it knows still are.
	s := g.status()
	s.ID = raft.ID{}
	g.earlier.Store(&s)
	return nil
}

// discardEarlierState deletes damaged Raft state under earlier disk ids, which otherwise takes the room of the log. It is
// kept until this process is a voter under its new disk id.
func (g *raftGroup) discardEarlierState() {
	if err := g.keeper.folder.DeleteEarlierState(form.BootstrapDiskID); err != nil {
		g.keeper.Log.Warn("damaged-state-not-deleted", zap.Error(err))
	}
}

// stepMessages passes the Raft messages of a frame to this keeper's Raft replica.
func (g *raftGroup) stepMessages(l *wire.Link, f wire.Frame) {
	messages, err := g.receiver.Messages(l, f)
	if err != nil {
		g.keeper.Log.Warn("raft-message-rejected", zap.Error(err))
		return
	}
	// A joining process knows only the seeds, and the leader that sends to it need not be one of them.
	g.keeper.peers.addLearnedKeepers(l.Name)
	r := g.currentReplica()
	for _, m := range messages {
		r.Step(m)
	}
}

// joinRequest asks the leader of the Raft group to make a process a voter.
type joinRequest struct {
	ID raft.ID `cbor:"id"`
	// Forwarded is true if another keeper forwarded the request to join; it is not forwarded again.
	Forwarded bool `cbor:"forwarded,omitempty"`
}

// joinReply lists the members of the Raft group, so that a process which knows only the seeds can reach the leader.
type joinReply struct {
	Members []string `cbor:"members"`
	// Refused is why the process is not a voter yet; empty if the membership change succeeded.
	Refused string `cbor:"refused,omitempty"`
}

// admitMember makes the process that asks to join a voter of the Raft group if this process is the leader, and
// forwards the request to the leader otherwise.
func (g *raftGroup) admitMember(ctx context.Context, req joinRequest) joinReply {
	reply := joinReply{Members: g.memberAddresses()}
	r := g.currentReplica()
	err := r.Admit(ctx, req.ID, true)
	if leader, is := raft.IsNotLeader(err); is {
		l := g.keeper.peers.linkTo(leader.Name)
		if l != nil && !req.Forwarded {
			req.Forwarded = true
			var forwardedReply joinReply
			if err = l.Call(ctx, wire.KindJoin, groupName, req, &forwardedReply); err == nil {
				return forwardedReply
			}
		}
	}
	if err != nil {
		reply.Refused = err.Error()
	}
	return reply
}

// loopJoin sends requests to join the Raft group while this process is not a voter or has no leader. That is also how
// a process finds out that it was removed during a partition.
func (g *raftGroup) loopJoin(ctx context.Context) error {
	wasVoter := false
	for serve.Sleep(ctx, joinRetryInterval) {
		s := g.status()
		isVoter := s.Members.IsVoter(s.ID)
		if isVoter != wasVoter {
			g.recordVoter(isVoter, s)
			wasVoter = isVoter
			if isVoter {
				g.discardEarlierState()
			}
		}
		if s.ID.IsZero() || isVoter && !s.Leader.IsZero() {
			continue
		}
		g.requestJoin(ctx, s.ID)
	}
	return ctx.Err()
}

// recordVoter logs that this process has become a voter of the Raft group, or no longer is one.
func (g *raftGroup) recordVoter(isVoter bool, s repl.Status) {
	g.keeper.Log.Info("voter-changed", zap.Bool("voter", isVoter), zap.String("disk", s.ID.Disk), zap.Int("voters", len(s.Members.Voters)))
	if g.keeper.Metrics == nil {
		return
	}
	value := 0.0
	if isVoter {
		value = 1
	}
	g.keeper.Metrics.Gauge("voter").Update(value)
}

// IsVoter reports whether this keeper, with its current disk, is a voter of the Raft group as far as it knows. The
// repair of a keeper that lost its disk is complete only then, and the next keeper must not be replaced before.
func (k *Keeper) IsVoter() bool {
	if k.group.currentReplica() == nil {
		return false
	}
	s := k.group.status()
	return s.Members.IsVoter(s.ID)
}

// requestJoin asks one keeper after another to let this process join the Raft group, until one agrees.
func (g *raftGroup) requestJoin(ctx context.Context, id raft.ID) {
	for _, l := range g.keeper.peers.links() {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		var reply joinReply
		err := l.Call(callCtx, wire.KindJoin, groupName, joinRequest{ID: id}, &reply)
		cancel()
		g.keeper.peers.addLearnedKeepers(reply.Members...)
		if err == nil && reply.Refused == "" {
			return
		}
		g.keeper.Log.Debug("join-request-failed", zap.String("member", l.Name), zap.String("reason", reply.Refused), zap.Error(err))
	}
}

// loopRemoveUnreachable removes members of the Raft group that have been unreachable for too long, while this process
// is the leader.
func (g *raftGroup) loopRemoveUnreachable(ctx context.Context) error {
	for serve.Sleep(ctx, removalInterval) {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		if err := g.currentReplica().RemoveUnreachable(callCtx); err != nil {
			g.keeper.Log.Warn("member-not-removed", zap.Error(err))
		}
		cancel()
	}
	return ctx.Err()
}

// transferLeadership makes another member the leader of the Raft group before a graceful shutdown, which avoids the
// delay of an election timeout.
func (g *raftGroup) transferLeadership() {
	r := g.currentReplica()
	if s := r.Status(); s.Role != raft.Leader || len(s.Members.Voters) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := r.Transfer(ctx, raft.ID{}); err != nil {
		g.keeper.Log.Warn("leadership-transfer-failed", zap.Error(err))
		return
	}
	g.keeper.Log.Info("leadership-transferred")
}
