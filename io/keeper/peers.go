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

// peerDialInterval is the time between two updates of the connections to other keepers.
const peerDialInterval = 200 * time.Millisecond

// keeperPeers holds a connection to each other keeper that is known: seeds, members of the Raft group, and keepers
// that sent Raft messages or were named by others.
type keeperPeers struct {
	keeper *Keeper

	mu  sync.Mutex
	ctx context.Context
	// byName holds the connections to other keepers by peer address.
	byName map[string]*wire.Peer
	// learned holds keepers that are neither seeds nor known members of the Raft group yet; it is cleared once this
	// process is a member itself.
	learned map[string]bool
}

// addLearnedKeepers adds keepers that another one named or that have sent Raft messages, and dials new ones.
func (p *keeperPeers) addLearnedKeepers(names ...string) {
	p.mu.Lock()
	added := false
	for _, name := range names {
		if name != p.keeper.PeerAddress && p.byName[name] == nil {
			p.learned[name] = true
			added = true
		}
	}
	p.mu.Unlock()
	if added {
		p.syncPeers()
	}
}

// dialSeeds connects to the seed keepers; the connections end with ctx.
func (p *keeperPeers) dialSeeds(ctx context.Context) {
	p.ctx = ctx
	p.byName = map[string]*wire.Peer{}
	p.learned = map[string]bool{}
	p.syncPeers()
}

// knownAddresses returns the peer addresses of the seeds, the members of the Raft group and the learned keepers,
// sorted.
func (p *keeperPeers) knownAddresses() []string {
	members := p.keeper.group.memberAddresses()
	p.mu.Lock()
	if slices.Contains(members, p.keeper.PeerAddress) {
		clear(p.learned)
	}
	for name := range p.learned {
		members = append(members, name)
	}
	p.mu.Unlock()
	names := slices.Concat(p.keeper.Seeds(), members)
	slices.Sort(names)
	return slices.Compact(names)
}

// loop keeps the connections to other keepers in step with the known keepers until ctx ends.
func (p *keeperPeers) loop(ctx context.Context) error {
	for serve.Sleep(ctx, peerDialInterval) {
		p.syncPeers()
	}
	return ctx.Err()
}

// syncPeers dials keepers that have become known and disconnects those that are no longer known.
func (p *keeperPeers) syncPeers() {
	known := p.knownAddresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range known {
		if name == p.keeper.PeerAddress || p.byName[name] != nil {
			continue
		}
		peer := &wire.Peer{
			SelfName: p.keeper.PeerAddress, Address: name, Key: p.keeper.PeerKey, Handler: p.keeper,
			DialTimeout: wire.RegionalDialTimeout, Log: p.keeper.Log, OnConnect: p.keeper.sendKnown,
		}
		p.byName[name] = peer
		peer.Start(p.ctx)
		p.keeper.Log.Info("peer-added", zap.String("peer", name))
	}
	for name, peer := range p.byName {
		if slices.Contains(known, name) {
			continue
		}
		peer.Stop()
		delete(p.byName, name)
		p.keeper.Log.Info("peer-removed", zap.String("peer", name))
	}
}

// linkTo returns the link to a keeper, or nil if there is none.
func (p *keeperPeers) linkTo(name string) *wire.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer := p.byName[name]; peer != nil {
		return peer.Link()
	}
	return nil
}

// links returns the links to all other keepers that are connected.
func (p *keeperPeers) links() []*wire.Link {
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

// broadcast sends a message to all connected keepers; keepers that are not connected do not receive it.
func (p *keeperPeers) broadcast(kind wire.Kind, body any) {
	encoded, err := wire.Marshal(body)
	if err != nil {
		p.keeper.Log.Warn("peer-message-not-encoded", zap.String("kind", string(kind)), zap.Error(err))
		return
	}
	p.send(wire.Frame{Kind: kind, Body: encoded})
}

// send sends a frame to all other keepers; messages on broken connections are lost.
func (p *keeperPeers) send(f wire.Frame) {
	for _, l := range p.links() {
		if err := l.Send(f); err != nil {
			p.keeper.Log.Debug("peer-message-lost", zap.String("peer", l.Name), zap.Error(err))
		}
	}
}
