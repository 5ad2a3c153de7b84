package ctrl

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/config"
	"wasabiweir/core/member"
	"wasabiweir/core/object"
	"wasabiweir/io/wire"
)

const (
	// proofInterval is the time between two proofs to the routers that their configuration is fresh; each proof is a
	// confirmation by a control quorum. A router connects to another control process after 2 s without a proof.
	proofInterval = 500 * time.Millisecond
	// proofTimeout bounds the wait for a control quorum to confirm that the configuration is current.
	proofTimeout = 2 * time.Second
)

// routerFeeds sends the configuration, the list of routers and the shares of account limits to the routers that are
// connected to this process.
type routerFeeds struct {
	control *Control
	// wake tells loop that there is a new revision of the configuration to send.
	wake chan struct{}

	mu    sync.Mutex
	links map[*wire.Link]*routerFeed
	// proof is the latest confirmation by a control quorum that this process's configuration is current.
	proof config.FreshnessProof
}

// routerFeed holds the name of one connected router and the revision and digest of the configuration that it was last
// sent.
type routerFeed struct {
	router   string
	revision uint64
	digest   object.Digest
	// positionKnown is set once the router has reported the revision of its configuration; updates are sent only after
	// that.
	positionKnown bool
	// hasRouterList is set if the current list of live routers was sent to this router.
	hasRouterList bool
}

// initFeeds initialises the feeds, to which no router is connected yet.
func (s *routerFeeds) initFeeds(c *Control) {
	s.control = c
	s.wake = make(chan struct{}, 1)
	s.links = map[*wire.Link]*routerFeed{}
}

// notifyNewRevision wakes loop to send the current revision of the configuration to the routers; it does not block.
func (s *routerFeeds) notifyNewRevision() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// setRouterPosition records the revision of the configuration that a router reports to have, and sends the updates
// that are due.
func (s *routerFeeds) setRouterPosition(l *wire.Link, p wire.ConfigUpdateRequest) {
	s.mu.Lock()
	f := s.links[l]
	if f == nil {
		f = &routerFeed{router: l.Name}
		s.links[l] = f
	}
	f.revision, f.digest, f.positionKnown = p.Revision, p.Digest, true
	s.mu.Unlock()
	s.sendConfigUpdates()
}

// loop sends each new revision of the configuration to the routers until ctx ends. It also starts loopRenewProof,
// which sends them a new proof every proofInterval that their configuration is fresh.
func (s *routerFeeds) loop(ctx context.Context) error {
	go s.loopRenewProof(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
			s.sendConfigUpdates()
		}
	}
}

// loopRenewProof renews the proof from a control quorum that the configuration is fresh, every proofInterval. Without a
// quorum the proof is not renewed, and the routers connect to another control process.
func (s *routerFeeds) loopRenewProof(ctx context.Context) {
	ticker := time.NewTicker(proofInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.renewProof(ctx)
		}
	}
}

// renewProof asks a control quorum to confirm that this process's configuration is current, and sends the proof to the
// routers.
func (s *routerFeeds) renewProof(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	replica := s.control.groups[ConfigGroup].replica
	index, err := replica.ReadIndex(ctx)
	if err != nil {
		s.control.Log.Debug("freshness-not-confirmed", zap.Error(err))
		return
	}
	s.mu.Lock()
	s.proof.Term = replica.Status().Term
	s.proof.Index = index
	s.proof.Confirmed++
	s.mu.Unlock()
	s.sendConfigUpdates()
}

// sendConfigUpdates sends each router the changes of the configuration since the revision that it has, with the latest
// proof that the configuration is fresh.
func (s *routerFeeds) sendConfigUpdates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l, f := range s.links {
		select {
		case <-l.Done():
			delete(s.links, l)
			continue
		default:
		}
		if f.positionKnown {
			s.sendConfigUpdate(l, f)
		}
	}
}

// sendConfigUpdate sends one router the changes since its revision. It closes the link if the update cannot be queued.
// The caller holds mu.
func (s *routerFeeds) sendConfigUpdate(l *wire.Link, f *routerFeed) {
	var u config.Update
	s.control.config.withMachine(func(m *config.Machine) { u = m.Update(f.revision, f.digest, s.proof) })
	if err := l.Post(wire.KindUpdate, "", u); err != nil {
		s.control.Log.Warn("feed-disconnected", zap.String("router", f.router), zap.Error(err))
		l.Close()
		delete(s.links, l)
		return
	}
	f.revision, f.digest = u.Revision, u.Digest
}

// sendRouterList sends the list of live routers to each connected router if the list changed, and otherwise to those
// that have not received it.
func (s *routerFeeds) sendRouterList(list wire.Routers, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l, f := range s.links {
		if f.hasRouterList && !changed {
			continue
		}
		f.hasRouterList = l.Post(wire.KindRouters, "", list) == nil
	}
}

// sendAccountShares sends the routers' shares of account limits to the connected routers. It returns those that could
// not be sent, because their router is not connected to this process.
func (s *routerFeeds) sendAccountShares(list []member.RouterShares) (unsent []member.RouterShares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	links := make(map[string]*wire.Link, len(s.links))
	for l, f := range s.links {
		links[f.router] = l
	}
	for i := range list {
		l := links[list[i].Router]
		if l == nil || l.Post(wire.KindShares, "", &list[i]) != nil {
			unsent = append(unsent, list[i])
		}
	}
	return unsent
}
