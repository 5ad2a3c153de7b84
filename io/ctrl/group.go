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

// ConfigGroup is the name of the Raft group that replicates the configuration.
const ConfigGroup = "config"

// heartbeatTicks is the number of ticks between two heartbeats that a Raft leader sends.
const heartbeatTicks = 2

// raftGroup is this process's member of one Raft group, which replicates the configuration or a partition of the call
// ledger.
type raftGroup struct {
	name     string
	replica  *repl.Replica
	control  *Control
	sender   mesh.Sender
	receiver mesh.Receiver
}

// newGroup returns this process's member of the named Raft group, which applies committed entries to m; its replica is
// not started.
func (c *Control) newGroup(name string, m repl.Machine) *raftGroup {
	g := &raftGroup{name: name, control: c}
	g.sender = mesh.Sender{Group: name, LinkTo: c.linkTo}
	g.replica = &repl.Replica{
		Name:      c.Name,
		Store:     &store.Store{Folder: c.folder, Group: name},
		Machine:   m,
		Transport: &g.sender,
		Interval:  c.Tick,
		// Five heartbeats still fit into an election timeout. With one per tick, heartbeats made up most of the traffic
		// between the control processes of an idle system.
		HeartbeatTicks: heartbeatTicks,
		FindBootstrap:  g.bootstrapMembers,
		Log:            c.Log,
	}
	if c.Metrics != nil {
		g.replica.Metrics = c.Metrics
	}
	return g
}

// linkTo returns the link to the named control process, or nil if it is not connected.
func (c *Control) linkTo(name string) *wire.Link {
	if p := c.peers[name]; p != nil {
		return p.Link()
	}
	return nil
}

// stepRaftMessages passes the Raft messages of a frame from another control process to the group's replica.
func (g *raftGroup) stepRaftMessages(l *wire.Link, f wire.Frame) {
	messages, err := g.receiver.Messages(l, f)
	if err != nil {
		g.control.Log.Warn("raft-message-rejected", zap.Error(err))
		return
	}
	for _, m := range messages {
		g.replica.Step(m)
	}
}

// loop runs this process's replica of the Raft group until ctx ends or the replica fails, for example because its
// stored state is damaged.
func (g *raftGroup) loop(ctx context.Context) error {
	if err := g.replica.Run(ctx); err != nil {
		return fmt.Errorf("replicated log %s: %w", g.name, err)
	}
	return ctx.Err()
}

// transferLeadership transfers the leadership of each Raft group that this process leads to another voter, so that the
// groups need not wait for an election timeout after a planned stop.
func (c *Control) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	for _, name := range c.groupNames() {
		g := c.groups[name]
		if s := g.replica.Status(); s.Role != raft.Leader || len(s.Members.Voters) < 2 {
			continue
		}
		if err := g.replica.Transfer(ctx, raft.ID{}); err != nil {
			c.Log.Warn("leadership-transfer-failed", zap.String("group", name), zap.Error(err))
			continue
		}
		c.Log.Info("leadership-transferred", zap.String("group", name))
	}
}

// transferTimeout bounds the time for which a planned stop waits until other members have taken over the leadership of
// a Raft group.
const transferTimeout = time.Second
