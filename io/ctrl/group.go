package ctrl

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/raft"
	"wasabiweir/io/mesh"
	"wasabiweir/io/repl"
	"wasabiweir/io/store"
	"wasabiweir/io/wire"
)

// ConfigGroup is the name of the replicated log that holds the configuration.
const ConfigGroup = "config"

// heartbeatTicks is the number of ticks between two heartbeats of a leader.
const heartbeatTicks = 2

// group is this process's member of one replicated log.
type group struct {
	name    string
	replica *repl.Replica
	control *Control
	sender  mesh.Sender
	inbound mesh.Receiver
}

func (c *Control) newGroup(name string, m repl.Machine) *group {
	g := &group{name: name, control: c}
	g.sender = mesh.Sender{Group: name, Peer: c.link}
	g.replica = &repl.Replica{
		Name:      c.Name,
		Store:     &store.Store{Folder: c.folder, Group: name},
		Machine:   m,
		Transport: &g.sender,
		Interval:  c.Tick,
		// Five heartbeats fit into an election timeout; with one in each tick the heartbeats of an idle system were most
		// of what control processes sent each other.
		HeartbeatTicks: heartbeatTicks,
		Found:          g.founders,
		Log:            c.Log,
	}
	if c.Metrics != nil {
		g.replica.Metrics = c.Metrics
	}
	return g
}

// link returns the link to another control process, or nil if it can not be reached.
func (c *Control) link(name string) *wire.Link {
	if p := c.members[name]; p != nil {
		return p.Link()
	}
	return nil
}

// step hands the log messages of a frame to the replica.
func (g *group) step(l *wire.Link, f wire.Frame) {
	messages, err := g.inbound.Messages(l, f)
	if err != nil {
		g.control.Log.Warn("raft-message-refused", zap.Error(err))
		return
	}
	for _, m := range messages {
		g.replica.Step(m)
	}
}

// loop runs the replica until ctx ends or the stored state turns out to be damaged.
func (g *group) loop(ctx context.Context) error {
	if err := g.replica.Run(ctx); err != nil {
		return fmt.Errorf("replicated log %s: %w", g.name, err)
	}
	return ctx.Err()
}

// handOver gives the leadership of each group that this process leads to another member, so that a planned stop does not
// cost an election timeout.
func (c *Control) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	for _, name := range c.groupNames() {
		g := c.groups[name]
		if s := g.replica.Status(); s.Role != raft.Leader || len(s.Members.Voters) < 2 {
			continue
		}
		if err := g.replica.Transfer(ctx, raft.ID{}); err != nil {
			c.Log.Warn("leadership-not-handed-over", zap.String("group", name), zap.Error(err))
			continue
		}
		c.Log.Info("leadership-handed-over", zap.String("group", name))
	}
}

// handOverTimeout bounds the time for which a planned stop waits for new leaders.
const handOverTimeout = time.Second
