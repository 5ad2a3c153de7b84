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
	// groupName is the name of the replicated log.
	groupName = "state"
	// heartbeatTicks lets five heartbeats fit into an election timeout.
	heartbeatTicks = 2
	// snapshotEvery and keepEntries bound the log: a state of several hundred routes has about 100 KB.
	snapshotEvery = 64
	keepEntries   = 64
	// restartPause is the time before a replica whose disk failed is started again.
	restartPause = 500 * time.Millisecond
	// joinInterval is the time between two requests of a process that is not a voter.
	joinInterval = 250 * time.Millisecond
	// joinTimeout bounds one request to another keeper.
	joinTimeout = 2 * time.Second
	// tidyInterval is the time between two looks for voters that are gone.
	tidyInterval = time.Second
	// handOverTimeout bounds the time for which a planned stop waits for a new leader.
	handOverTimeout = time.Second
)

// group is this process's member of the replicated log.
type group struct {
	keeper  *Keeper
	replica atomic.Pointer[repl.Replica]
	inbound mesh.Receiver
}

// current returns the running replica, which is another one after its disk failed.
func (g *group) current() *repl.Replica { return g.replica.Load() }

// prepare sets a replica that is not started, so that requests that arrive first have one to wait for.
func (g *group) prepare() {
	g.keeper.folder = &store.Folder{Path: g.keeper.DataDir}
	g.replica.Store(g.newReplica())
}

func (g *group) newReplica() *repl.Replica {
	k := g.keeper
	r := &repl.Replica{
		Name:           k.Peer,
		Store:          &store.Store{Folder: k.folder, Group: groupName},
		Machine:        &k.machine,
		Transport:      &mesh.Sender{Group: groupName, Peer: k.peers.link},
		HeartbeatTicks: heartbeatTicks,
		SnapshotEvery:  snapshotEvery,
		Keep:           keepEntries,
		Log:            k.Log,
	}
	if k.First {
		r.Bootstrap = form.Founders(k.Peer, k.Seeds())
	}
	if k.Metrics != nil {
		r.Metrics = k.Metrics
	}
	return r
}

// loop runs the replica, and a new one after each failure of the disk: a disk that is full or refuses writes for some
// time costs the process only its membership for that time.
func (g *group) loop(ctx context.Context) error {
	for {
		err := g.runOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		g.keeper.Log.Error("replica-failed", zap.Error(err), zap.Duration("restart-in", restartPause))
		if !serve.Pause(ctx, restartPause) {
			return ctx.Err()
		}
		g.replica.Store(g.newReplica())
	}
}

// runOnce opens the folder and runs the replica until it fails. Damaged state is given up: the folder gets a new disk
// id, under which this process joins as a learner.
func (g *group) runOnce(ctx context.Context) error {
	f := g.keeper.folder
	f.FirstID = ""
	if g.keeper.First {
		f.FirstID = form.FirstDisk
	}
	err := f.Open()
	if isDamage(err) {
		if err = g.renew(err); err == nil {
			err = f.Open()
		}
	}
	if err != nil {
		return fmt.Errorf("open %s: %w", g.keeper.DataDir, err)
	}
	g.keeper.Log.Info("folder-opened", zap.String("disk", f.DiskID()))
	r := g.current()
	err = r.Run(ctx)
	if isDamage(err) {
		err = errors.Join(err, g.renew(err))
	}
	return errors.Join(err, f.Close())
}

func isDamage(err error) bool {
	var corrupt *store.CorruptError
	return errors.As(err, &corrupt)
}

func (g *group) renew(cause error) error {
	g.keeper.Log.Error("stored-state-damaged", zap.Error(cause), zap.String("action", "join as a learner with a new disk id"))
	if err := g.keeper.folder.Renew(); err != nil {
		return fmt.Errorf("renew the disk id: %w", err)
	}
	return nil
}

// step hands the log messages of a frame to the replica.
func (g *group) step(l *wire.Link, f wire.Frame) {
	messages, err := g.inbound.Messages(l, f)
	if err != nil {
		g.keeper.Log.Warn("raft-message-refused", zap.Error(err))
		return
	}
	// A process that joins knows only seeds, and the leader that writes to it needs not be one.
	g.keeper.peers.learn(l.Name)
	r := g.current()
	for _, m := range messages {
		r.Step(m)
	}
}

// joinRequest asks the leader to make the process a voter.
type joinRequest struct {
	ID raft.ID `cbor:"id"`
	// Forwarded says that another keeper has passed the request on.
	Forwarded bool `cbor:"forwarded,omitempty"`
}

// joinReply names the members, so that a process which knows only seeds can reach the leader.
type joinReply struct {
	Members []string `cbor:"members"`
	// Refused is why the process is not a voter yet; empty if the step was made.
	Refused string `cbor:"refused,omitempty"`
}

// join makes the step on the leader, or passes the request on to it.
func (g *group) join(ctx context.Context, req joinRequest) joinReply {
	reply := joinReply{Members: g.members()}
	r := g.current()
	err := r.Admit(ctx, req.ID, true)
	if leader, is := raft.IsNotLeader(err); is {
		l := g.keeper.peers.link(leader.Name)
		if l != nil && !req.Forwarded {
			req.Forwarded = true
			var further joinReply
			if err = l.Call(ctx, wire.KindJoin, groupName, req, &further); err == nil {
				return further
			}
		}
	}
	if err != nil {
		reply.Refused = err.Error()
	}
	return reply
}

// loopJoin asks for membership while this process does not vote or hears no leader, which is also how a process learns
// that it was removed while it was cut off.
func (g *group) loopJoin(ctx context.Context) error {
	for serve.Pause(ctx, joinInterval) {
		s := g.current().Status()
		if s.ID.IsZero() || s.Members.IsVoter(s.ID) && !s.Leader.IsZero() {
			continue
		}
		g.askJoin(ctx, s.ID)
	}
	return ctx.Err()
}

func (g *group) askJoin(ctx context.Context, id raft.ID) {
	for _, l := range g.keeper.peers.links() {
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		var reply joinReply
		err := l.Call(call, wire.KindJoin, groupName, joinRequest{ID: id}, &reply)
		cancel()
		g.keeper.peers.learn(reply.Members...)
		if err == nil && reply.Refused == "" {
			return
		}
		g.keeper.Log.Debug("join-refused", zap.String("member", l.Name), zap.String("reason", reply.Refused), zap.Error(err))
	}
}

// loopTidy removes voters that are gone, on the leader.
func (g *group) loopTidy(ctx context.Context) error {
	for serve.Pause(ctx, tidyInterval) {
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		if err := g.current().RemoveGone(call); err != nil {
			g.keeper.Log.Warn("member-not-removed", zap.Error(err))
		}
		cancel()
	}
	return ctx.Err()
}

// handOver gives the leadership to another member, so that a planned stop does not cost an election timeout.
func (g *group) handOver() {
	r := g.current()
	if s := r.Status(); s.Role != raft.Leader || len(s.Members.Voters) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := r.Transfer(ctx, raft.ID{}); err != nil {
		g.keeper.Log.Warn("leadership-not-handed-over", zap.Error(err))
		return
	}
	g.keeper.Log.Info("leadership-handed-over")
}
