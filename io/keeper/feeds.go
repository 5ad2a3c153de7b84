package keeper

import (
	"context"
	"errors"
	"sync"

	"go.uber.org/zap"

	"wasabiweir/io/wire"
)

// relayFeeds sends configuration states, lists of endpoints and the keepers' addresses to the connected relays.
type relayFeeds struct {
	keeper *Keeper
	// wake makes the loop send the current configuration state to the relays.
	wake chan struct{}

	mu    sync.Mutex
	links map[*wire.Link]*relayFeed
}

// relayFeed records what this keeper has sent to one connected relay.
type relayFeed struct {
	// version is the version of the configuration state that the relay has or was sent, if hasState is true.
	version  uint64
	hasState bool
	// keepers is the last message with the addresses of keepers and relays that the relay was sent.
	keepers wire.Keepers
}

// initFeeds initialises the feeds from a keeper to the relays.
func (s *relayFeeds) initFeeds(k *Keeper) {
	s.keeper = k
	s.wake = make(chan struct{}, 1)
	s.links = map[*wire.Link]*relayFeed{}
}

// notifyStateChanged makes the loop send the current configuration state to the relays.
func (s *relayFeeds) notifyStateChanged() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// confirmState answers a relay's request for the current configuration state after a quorum has confirmed it. The
// first request on a link also subscribes the relay to new states and lists of endpoints, unless the relay only asks for
// the confirmation because it may follow another keeper.
func (s *relayFeeds) confirmState(ctx context.Context, l *wire.Link, p wire.ConfigUpdateRequest) (wire.ConfigState, error) {
	if p.OnlyConfirm {
		return wire.ConfigState{}, s.keeper.confirmApplied(ctx)
	}
	s.mu.Lock()
	_, known := s.links[l]
	if !known {
		s.links[l] = &relayFeed{version: p.Revision, hasState: p.HasState}
	}
	s.mu.Unlock()
	if !known {
		s.keeper.Log.Info("relay-connected", zap.String("relay", l.Name), zap.Uint64("version", p.Revision))
		// The relay serves requests once it has a list of endpoints and a state.
		if err := errors.Join(s.keeper.sendExchanges(l), s.keeper.lists.sendListTo(l)); err != nil {
			return wire.ConfigState{}, err
		}
	}
	if err := s.keeper.confirmApplied(ctx); err != nil {
		return wire.ConfigState{}, err
	}
	u := s.keeper.machine.stateSince(p.Revision, p.HasState)
	s.mu.Lock()
	if f := s.links[l]; f != nil {
		f.version, f.hasState = max(f.version, u.Version), f.hasState || u.Exists
	}
	s.mu.Unlock()
	return u, nil
}

// loop sends each new configuration state to the relays until ctx ends.
func (s *relayFeeds) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
			s.pushStates()
		}
	}
}

// pushStates sends the current configuration state to each relay that has an older one.
func (s *relayFeeds) pushStates() {
	s.forEachRelay(func(l *wire.Link, f *relayFeed) error {
		u := s.keeper.machine.stateSince(f.version, f.hasState)
		if !u.HasState() {
			return nil
		}
		f.version, f.hasState = u.Version, true
		return l.Post(wire.KindConfigState, "", u)
	})
}

// sendKeepers sends the addresses of all keepers and relays to each connected relay if they have changed.
func (s *relayFeeds) sendKeepers(current wire.Keepers) {
	s.forEachRelay(func(l *wire.Link, f *relayFeed) error {
		if equalKeepers(f.keepers, current) {
			return nil
		}
		f.keepers = current
		return l.Post(wire.KindKeepers, "", current)
	})
}

// forEachRelay calls f for each connected relay and disconnects those for which f fails. It removes closed links.
func (s *relayFeeds) forEachRelay(f func(l *wire.Link, f *relayFeed) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l, feed := range s.links {
		select {
		case <-l.Done():
			delete(s.links, l)
			s.keeper.Log.Info("relay-disconnected", zap.String("relay", l.Name))
			continue
		default:
		}
		if err := f(l, feed); err != nil {
			s.keeper.Log.Warn("feed-disconnected", zap.String("relay", l.Name), zap.Error(err))
			l.Close()
			delete(s.links, l)
		}
	}
}
