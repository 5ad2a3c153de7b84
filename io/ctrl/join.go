package ctrl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/raft"
	"wasabiweir/io/repl"
	"wasabiweir/io/wire"
)

const (
	// joinInterval is the time between two requests of a process that is not yet a voter.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one request to another member.
	joinTimeout = 2 * time.Second
)

// errNotOpen is returned for a group whose stored state has not been read yet.
var errNotOpen = eris.New("the group's stored state has not been read yet")

// identity is a member's answer to the question whether it holds state of a group.
type identity struct {
	ID     raft.ID `cbor:"id"`
	Member bool    `cbor:"member"`
}

// joinRequest asks the leader of a group to make the process a voter.
type joinRequest struct {
	ID raft.ID `cbor:"id"`
}

// founders returns the first members of a group of which this process has no state, or none if it joins an existing
// group. Only the member with the lowest name founds a group, and only after each other configured member has answered
// that it has no state: a member whose disk was lost must not found the system a second time.
func (g *group) founders(ctx context.Context) (raft.Members, error) {
	for name := range g.control.Members {
		if name < g.control.Name {
			return raft.Members{}, nil
		}
	}
	if g.control.renewed {
		g.control.Log.Error("group-not-founded", zap.String("group", g.name),
			zap.String("reason", "the data folder holds damaged state; another member must have a copy"))
		return raft.Members{}, nil
	}
	for {
		exists, certain := g.existsElsewhere(ctx)
		if exists {
			return raft.Members{}, nil
		}
		if certain {
			g.control.Log.Info("group-founded", zap.String("group", g.name))
			return raft.Members{Voters: []raft.ID{g.control.id()}}, nil
		}
		select {
		case <-ctx.Done():
			return raft.Members{}, fmt.Errorf("found group %s: %w", g.name, ctx.Err())
		case <-time.After(joinInterval):
		}
	}
}

// existsElsewhere reports whether another member has state of the group, and whether each one has answered.
func (g *group) existsElsewhere(ctx context.Context) (exists, certain bool) {
	certain = true
	for name, p := range g.control.members {
		if name == g.control.Name {
			continue
		}
		id, err := g.askIdentity(ctx, p)
		if err != nil {
			certain = false
			continue
		}
		if id.Member {
			return true, true
		}
	}
	return false, certain
}

func (g *group) askIdentity(ctx context.Context, p *wire.Peer) (identity, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var id identity
	err := p.Call(ctx, wire.KindIdentity, g.name, struct{}{}, &id)
	return id, err
}

func (c *Control) id() raft.ID { return raft.ID{Name: c.Name, Disk: c.folder.DiskID()} }

// identity answers whether this process holds state of the group. It returns errNotOpen until the state has been read:
// the answer "no state" from a member that is starting would let another one found the group a second time.
func (g *group) identity() (identity, error) {
	s := g.replica.Status()
	if s.ID.IsZero() {
		return identity{}, errNotOpen
	}
	return identity{ID: s.ID, Member: len(s.Members.Voters) > 0}, nil
}

// loopJoin asks for membership while this process does not vote.
func (g *group) loopJoin(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !g.replica.Status().Members.IsVoter(g.control.id()) {
			g.askJoin(ctx)
		}
	}
}

func (g *group) askJoin(ctx context.Context) {
	for name, p := range g.control.members {
		if name == g.control.Name {
			continue
		}
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		err := p.Call(call, wire.KindJoin, g.name, joinRequest{ID: g.control.id()}, &struct{}{})
		cancel()
		if err == nil {
			return
		}
		g.control.Log.Debug("join-refused", zap.String("group", g.name), zap.String("member", name), zap.Error(err))
	}
}

// join makes a process a voter, one step a call; the process repeats its request until it votes.
func (g *group) join(ctx context.Context, req joinRequest) error {
	return g.replica.Admit(ctx, req.ID, false)
}

// founded waits until most of the configured members vote: until then the loss of one disk could lose what a smaller
// group has acknowledged. It returns repl.ErrNotRun if ctx ends first.
func (g *group) founded(ctx context.Context) error {
	ticker := time.NewTicker(g.replica.Interval)
	defer ticker.Stop()
	for {
		if 2*len(g.replica.Status().Members.Voters) > len(g.control.Members) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the members of group %s: %w", g.name, errors.Join(repl.ErrNotRun, ctx.Err()))
		case <-ticker.C:
		}
	}
}
