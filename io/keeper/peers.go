package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

// peersInterval is the time between two looks for keepers to dial.
const peersInterval = 200 * time.Millisecond

// peers holds a link to each other keeper that this one knows: seeds, members of the group and those that dialled.
type peers struct {
	keeper *Keeper

	mu     sync.Mutex
	ctx    context.Context
	byName map[string]*wire.Peer
	// told are keepers of which this one learned from others, until the group's log names it as a member.
	told map[string]bool
}

// learn takes the addresses of keepers that another one named, or that have sent messages of the log.
func (p *peers) learn(names ...string) {
	p.mu.Lock()
	fresh := false
	for _, name := range names {
		if name != p.keeper.Peer && p.byName[name] == nil {
			p.told[name] = true
			fresh = true
		}
	}
	p.mu.Unlock()
	if fresh {
		p.dial()
	}
}

func (p *peers) prepare(ctx context.Context) {
	p.ctx = ctx
	p.byName = map[string]*wire.Peer{}
	p.told = map[string]bool{}
	p.dial()
}

// known returns the peer addresses of the seeds and of the group's members.
func (p *peers) known() []string {
	members := p.keeper.group.members()
	p.mu.Lock()
	if slices.Contains(members, p.keeper.Peer) {
		clear(p.told)
	}
	for name := range p.told {
		members = append(members, name)
	}
	p.mu.Unlock()
	names := slices.Concat(p.keeper.Seeds(), members)
	slices.Sort(names)
	return slices.Compact(names)
}

// loop dials keepers that become known and drops those that are neither seeds nor members any more.
func (p *peers) loop(ctx context.Context) error {
	for serve.Pause(ctx, peersInterval) {
		p.dial()
	}
	return ctx.Err()
}

func (p *peers) dial() {
	known := p.known()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range known {
		if name == p.keeper.Peer || p.byName[name] != nil {
			continue
		}
		peer := &wire.Peer{
			Self: p.keeper.Peer, Address: name, Key: p.keeper.PeerKey, Handler: p.keeper,
			DialTimeout: wire.ShortDial, Log: p.keeper.Log,
		}
		p.byName[name] = peer
		peer.Start(p.ctx)
		p.keeper.Log.Info("peer-known", zap.String("peer", name))
	}
	for name, peer := range p.byName {
		if slices.Contains(known, name) {
			continue
		}
		peer.Stop()
		delete(p.byName, name)
		p.keeper.Log.Info("peer-forgotten", zap.String("peer", name))
	}
}

// link returns the link to a keeper, or nil.
func (p *peers) link(name string) *wire.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byName[name]; peer != nil {
		return peer.Link()
	}
	return nil
}

// links returns the links to all other keepers that can be reached.
func (p *peers) links() []*wire.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*wire.Link
	for _, peer := range p.byName {
		if l := peer.Link(); l != nil {
			out = append(out, l)
		}
	}
	return out
}

// post sends a message to all other keepers; one without a link misses it.
func (p *peers) post(kind wire.Kind, body any) {
	for _, l := range p.links() {
		if err := l.Post(kind, "", body); err != nil {
			p.keeper.Log.Debug("message-to-keeper-lost", zap.String("peer", l.Name), zap.Error(err))
		}
	}
}
