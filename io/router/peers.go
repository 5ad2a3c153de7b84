package router

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/poison"
	"wasabiweir/core/stream"
	"wasabiweir/io/wire"
)

// countsInterval is the time between two exchanges of in-flight counts with the other routers.
const countsInterval = 250 * time.Millisecond

// peers maintains a connection to each live router, and to other routers that hold journals.
type peers struct {
	router *Router

	mu sync.Mutex
	// ctx ends the connections to other routers.
	ctx context.Context
	// routers are the live routers, this one included, as the control process listed them last.
	routers []wire.Report
	// peerByAddress holds the connections to other routers by their peer address.
	peerByAddress map[string]*wire.Peer
	// unreachableSince is when each unreachable journal holder was first found so.
	unreachableSince map[stream.HolderID]time.Time
}

// initConnections sets the router and the context of all connections to other routers.
func (s *peers) initConnections(ctx context.Context, r *Router) {
	s.router = r
	s.ctx = ctx
	s.peerByAddress = map[string]*wire.Peer{}
	s.unreachableSince = map[stream.HolderID]time.Time{}
}

// setLiveRouters replaces the list of live routers, connects to new ones and drops failed connections to unlisted ones.
func (s *peers) setLiveRouters(list []wire.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = list
	wanted := map[string]bool{}
	for _, r := range list {
		if r.Name == s.router.Name {
			continue
		}
		wanted[r.PeerAddress] = true
		s.ensurePeer(r.PeerAddress)
	}
	s.router.setCarriers(list)
	for address, p := range s.peerByAddress {
		if !wanted[address] && p.Link() == nil {
			p.Stop()
			delete(s.peerByAddress, address)
		}
	}
}

// ensurePeer returns the connection to the router at the peer address and starts to connect if there is none; mu must
// be held.
func (s *peers) ensurePeer(address string) *wire.Peer {
	p := s.peerByAddress[address]
	if p == nil {
		p = &wire.Peer{
			SelfName: s.router.Name, Address: address, Key: s.router.PeerKey, Handler: s.router, Log: s.router.Log,
			OnConnect: s.router.sendKnownCrashes,
		}
		s.peerByAddress[address] = p
		p.Start(s.ctx)
	}
	return p
}

// postToRouter sends a message to the router at the peer address; the message is dropped if there is no connection.
func (s *peers) postToRouter(address string, kind wire.Kind, body any) {
	s.mu.Lock()
	p := s.ensurePeer(address)
	s.mu.Unlock()
	_ = p.Post(kind, "", body)
}

// liveRouters returns the routers that the control process listed last, this one included.
func (s *peers) liveRouters() []wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers
}

// holderGoneDelay is the time without a sign of life after which the journals of an unreachable router count as lost. A
// router that was paused or cut off for less comes back with its journals.
const holderGoneDelay = 30 * time.Second

// holderState is what this router knows of a journal holder.
type holderState int

const (
	// holderAvailable means that the router of the journal holder is connected, or is listed as live.
	holderAvailable holderState = iota
	// holderUnreachable means that the router is neither connected nor listed; it may be paused or cut off and have its
	// journals still.
	holderUnreachable
	// holderGone means that the journals are lost: the router has restarted, which shows as another incarnation, its
	// process has ended, or it has been unreachable for holderGoneDelay.
	holderGone
)

// holderState returns the state of a journal holder.
func (s *peers) holderState(m stream.HolderID) holderState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Router == s.router.Name {
		if m.Incarnation != s.router.incarnation {
			return holderGone
		}
		return holderAvailable
	}
	for _, r := range s.routers {
		if r.Name != m.Router {
			continue
		}
		delete(s.unreachableSince, m)
		if r.Incarnation != m.Incarnation {
			return holderGone
		}
		return holderAvailable
	}
	p := s.peerByAddress[m.Address]
	if len(s.routers) == 0 || p != nil && p.Link() != nil {
		delete(s.unreachableSince, m)
		return holderAvailable
	}
	if p != nil && p.Refused() {
		return holderGone
	}
	now := s.router.Clock.Now()
	since, known := s.unreachableSince[m]
	if !known {
		s.unreachableSince[m] = now
		return holderUnreachable
	}
	if now.Sub(since) < holderGoneDelay {
		return holderUnreachable
	}
	return holderGone
}

// linkedRouters returns the connected routers that are not draining.
func (s *peers) linkedRouters() []wire.Report {
	return slices.DeleteFunc(s.connectedRouters(), func(r wire.Report) bool { return r.Draining })
}

// connectedRouters returns the other routers to which there is a connection.
func (s *peers) connectedRouters() []wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.Report
	for _, r := range s.routers {
		if r.Name == s.router.Name {
			continue
		}
		if p := s.peerByAddress[r.PeerAddress]; p != nil && p.Link() != nil {
			out = append(out, r)
		}
	}
	return out
}

// holderCandidates returns the other routers that can become journal holders.
func (s *peers) holderCandidates() []stream.Candidate {
	var out []stream.Candidate
	for _, r := range s.linkedRouters() {
		m := stream.HolderID{Router: r.Name, Incarnation: r.Incarnation, Address: r.PeerAddress}
		out = append(out, stream.Candidate{HolderID: m, Domain: r.Domain})
	}
	return out
}

// loop sends the numbers of this router's queued and running requests to the other routers regularly, because each
// router sees only its own work.
func (s *peers) loop(ctx context.Context) error {
	ticker := time.NewTicker(countsInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if round%crashResendRounds == 0 {
			s.router.crashes.SendAll()
		}
		v := s.router.view.Load()
		if v == nil {
			continue
		}
		counts := v.packCounts(s.router.dispatcher.inFlightCounts(s.router.Name))
		for _, r := range s.linkedRouters() {
			s.postToRouter(r.PeerAddress, wire.KindCounts, counts)
		}
	}
}

// newPeerServer returns the HTTP server that accepts connections from other routers.
func (r *Router) newPeerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(wire.Path, &wire.Server{Key: r.PeerKey, HandlerFor: r.handlerFor, Log: r.Log})
	return &http.Server{Handler: r.carried.Or(mux), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// handlerFor returns the handler for messages on a connection that another router opened. A router that has just started
// connects to the others before they find it.
func (r *Router) handlerFor(l *wire.Link) wire.Handler {
	r.sendKnownCrashes(l)
	return r
}

// HandleFrame processes one message from another router.
func (r *Router) HandleFrame(l *wire.Link, f wire.Frame) {
	switch f.Kind {
	case wire.KindJournal:
		if list, err := wire.Decode[[]stream.Message](f); err == nil {
			r.journal.handleMessages(l, list)
		}
	case wire.KindJournalReply:
		if list, err := wire.Decode[[]stream.Reply](f); err == nil {
			r.journal.deliverReplies(list)
		}
	case wire.KindCounts:
		if p, err := wire.Decode[packedCounts](f); err == nil {
			r.applyPeerCounts(p)
		}
	case wire.KindCrashes:
		if list, err := wire.Decode[[]poison.Crash](f); err == nil {
			r.crashes.Merge(list)
		}
	default:
		r.Log.Warn("frame-rejected", zap.String("peer", l.Name), zap.String("kind", string(f.Kind)))
	}
}

// otherRouterAddress returns the caller address of another router that has a fresh configuration and is not draining,
// or an empty string.
func (r *Router) otherRouterAddress() string {
	for _, o := range r.peers.liveRouters() {
		if o.Name != r.Name && o.Fresh && !o.Draining {
			return o.Address
		}
	}
	return ""
}

// applyPeerCounts records another router's in-flight counts, unless they refer to another configuration revision.
func (r *Router) applyPeerCounts(p packedCounts) {
	v := r.view.Load()
	if v == nil {
		return
	}
	if c, ok := v.unpackCounts(p); ok {
		r.dispatcher.recordPeerCounts(c)
	}
}
