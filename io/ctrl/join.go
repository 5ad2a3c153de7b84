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
	// joinInterval is the time between two requests of a process to become a voter of a Raft group, and between two
	// attempts to bootstrap one.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one identity or join request to another control process.
	joinTimeout = 2 * time.Second
)

// errStateNotRead is returned for an identity request that arrives before the stored state of the Raft group has been
// read.
var errStateNotRead = eris.New("the group's stored state has not been read yet")

// memberIdentity is the reply to an identity request among control processes: the Raft id of the process, and whether
// it holds state of the Raft group.
type memberIdentity struct {
	ID raft.ID `cbor:"id"`
	// Member is true if the process holds state of the Raft group.
	Member bool `cbor:"member"`
}

// joinRequest asks the leader of a Raft group to make the process with the id a voter.
type joinRequest struct {
	ID raft.ID `cbor:"id"`
}

// bootstrapMembers returns the initial members of a Raft group of which this process has no state, or none if this
// process is to join an existing group. Only the member with the lowest name bootstraps a group, and only after each
// other configured member has answered that it has no state: a member whose disk was lost must not bootstrap the group
// again, because that would lose the replicated state.
func (g *raftGroup) bootstrapMembers(ctx context.Context) (raft.Members, error) {
	for name := range g.control.Members {
		if name < g.control.Name {
			return raft.Members{}, nil
		}
	}
	if g.control.hasEarlierState {
		g.control.Log.Error("group-not-bootstrapped", zap.String("group", g.name),
			zap.String("reason", "the data folder holds damaged state; another member must have a copy"))
		return raft.Members{}, nil
	}
	for {
		exists, allAnswered := g.existsOnOtherMember(ctx)
		if exists {
			return raft.Members{}, nil
		}
		if allAnswered {
			g.control.Log.Info("group-bootstrapped", zap.String("group", g.name))
			return raft.Members{Voters: []raft.ID{g.control.raftID()}}, nil
		}
		select {
		case <-ctx.Done():
			return raft.Members{}, fmt.Errorf("bootstrap group %s: %w", g.name, ctx.Err())
		case <-time.After(joinInterval):
		}
	}
}

// existsOnOtherMember reports whether another control process holds state of the Raft group. If none does, allAnswered
// says whether each one has answered the question.
func (g *raftGroup) existsOnOtherMember(ctx context.Context) (exists, allAnswered bool) {
	allAnswered = true
	for name, p := range g.control.peers {
		if name == g.control.Name {
			continue
		}
		id, err := g.requestIdentity(ctx, p)
		if err != nil {
			allAnswered = false
			continue
		}
		if id.Member {
			return true, true
		}
	}
	return false, allAnswered
}

// requestIdentity asks the control process at the other end of p for its Raft id, and whether it holds state of the
// Raft group.
func (g *raftGroup) requestIdentity(ctx context.Context, p *wire.Peer) (memberIdentity, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var id memberIdentity
	err := p.Call(ctx, wire.KindIdentity, g.name, struct{}{}, &id)
	return id, err
}

// raftID returns the id of this process in all Raft groups: its name and disk id.
func (c *Control) raftID() raft.ID { return raft.ID{Name: c.Name, Disk: c.folder.DiskID()} }

// localIdentity returns this process's Raft id and whether it holds state of the Raft group. It returns
// errStateNotRead until the state has been read: if a member answered "no state" while it starts, another one could
// bootstrap the group a second time.
func (g *raftGroup) localIdentity() (memberIdentity, error) {
	s := g.replica.Status()
	if s.ID.IsZero() {
		return memberIdentity{}, errStateNotRead
	}
	return memberIdentity{ID: s.ID, Member: len(s.Members.Voters) > 0}, nil
}

// loopJoin requests that this process becomes a voter of the Raft group, every joinInterval while it is not one.
func (g *raftGroup) loopJoin(ctx context.Context) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !g.replica.Status().Members.IsVoter(g.control.raftID()) {
			g.requestJoin(ctx)
		}
	}
}

// requestJoin asks the other control processes in turn to make this process a voter of the Raft group, until one, the
// leader, accepts.
func (g *raftGroup) requestJoin(ctx context.Context) {
	for name, p := range g.control.peers {
		if name == g.control.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := p.Call(callCtx, wire.KindJoin, g.name, joinRequest{ID: g.control.raftID()}, &struct{}{})
		cancel()
		if err == nil {
			return
		}
		g.control.Log.Debug("join-request-failed", zap.String("group", g.name), zap.String("member", name), zap.Error(err))
	}
}

// admitVoter takes the next step to make a process a voter of the Raft group. One request may not be enough: the
// process repeats it until it votes.
func (g *raftGroup) admitVoter(ctx context.Context, req joinRequest) error {
	return g.replica.Admit(ctx, req.ID, false)
}

// awaitVoterMajority waits until a majority of the configured control processes are voters of the Raft group. With
// fewer voters, the loss of one disk could lose acknowledged entries. It returns repl.ErrNotRun if ctx ends first.
func (g *raftGroup) awaitVoterMajority(ctx context.Context) error {
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
