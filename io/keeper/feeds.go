package keeper

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"wasabiweir/io/wire"
)

// feeds publishes states, lists of endpoints and the keepers' addresses to the relays that are connected.
type feeds struct {
	keeper *Keeper
	wake   chan struct{}

	mu    sync.Mutex
	links map[*wire.Link]*feed
}

// feed is the feed to one relay.
type feed struct {
	// version is the state that the relay has or was sent.
	version uint64
	keepers wire.Keepers
}

func (s *feeds) prepare(k *Keeper) {
	s.keeper = k
	s.wake = make(chan struct{}, 1)
	s.links = map[*wire.Link]*feed{}
}

// notify lets the loop push the present state.
func (s *feeds) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// answer confirms with a quorum, after the relay's question arrived, which state is in force.
func (s *feeds) answer(ctx context.Context, l *wire.Link, p wire.Position) (wire.State, error) {
	s.mu.Lock()
	_, known := s.links[l]
	if !known {
		s.links[l] = &feed{version: p.Revision}
	}
	s.mu.Unlock()
	if !known {
		s.keeper.Log.Info("relay-connected", zap.String("relay", l.Name), zap.Uint64("version", p.Revision))
		if err := s.keeper.lists.sendTo(l); err != nil {
			return wire.State{}, err
		}
	}
	if err := s.keeper.confirm(ctx); err != nil {
		return wire.State{}, err
	}
	u := s.keeper.machine.update(p.Revision)
	s.mu.Lock()
	if f := s.links[l]; f != nil {
		f.version = max(f.version, u.Version)
	}
	s.mu.Unlock()
	return u, nil
}

// loop pushes new states as they come into force.
func (s *feeds) loop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
			s.push()
		}
	}
}

func (s *feeds) push() {
	s.each(func(l *wire.Link, f *feed) error {
		u := s.keeper.machine.update(f.version)
		if len(u.Document) == 0 {
			return nil
		}
		f.version = u.Version
		return l.Post(wire.KindState, "", u)
	})
}

// sendKeepers tells the relays of changed keepers.
func (s *feeds) sendKeepers(now wire.Keepers) {
	s.each(func(l *wire.Link, f *feed) error {
		if sameKeepers(f.keepers, now) {
			return nil
		}
		f.keepers = now
		return l.Post(wire.KindKeepers, "", now)
	})
}

// each calls f for each open feed and closes those to which it can not send.
func (s *feeds) each(f func(l *wire.Link, f *feed) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l, x := range s.links {
		select {
		case <-l.Done():
			delete(s.links, l)
			s.keeper.Log.Info("relay-disconnected", zap.String("relay", l.Name))
			continue
		default:
		}
		if err := f(l, x); err != nil {
			s.keeper.Log.Warn("feed-lost", zap.String("relay", l.Name), zap.Error(err))
			l.Close()
			delete(s.links, l)
		}
	}
}
