package keeper

import (
	"context"
	"sync"
	"time"

	"wasabiweir/core/poison"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

// crashResendInterval is the time between two messages with all crashes to the other keepers, which replace those that
// a lost connection has dropped.
const crashResendInterval = 2 * time.Second

// crashShare passes the crashes of engines that one relay has seen on to all relays.
type crashShare struct {
	keeper *Keeper

	mu    sync.Mutex
	table poison.Table
}

// merge adds crashes that a relay or another keeper has sent, and passes on those that are new.
func (s *crashShare) merge(list []poison.Crash) {
	s.mu.Lock()
	news := s.table.Merge(list, s.keeper.Clock.Now())
	s.mu.Unlock()
	if len(news) == 0 {
		return
	}
	s.keeper.peers.broadcast(wire.KindCrashes, news)
	s.keeper.feeds.forEachRelay(func(l *wire.Link, _ *relayFeed) error { return l.Post(wire.KindCrashes, "", news) })
}

// all returns all known crashes.
func (s *crashShare) all() []poison.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Crashes(s.keeper.Clock.Now())
}

// sendAllTo sends all known crashes to a relay that has just connected.
func (s *crashShare) sendAllTo(l *wire.Link) error {
	if list := s.all(); len(list) > 0 {
		return l.Post(wire.KindCrashes, "", list)
	}
	return nil
}

// loop sends all known crashes to the other keepers from time to time until ctx ends.
func (s *crashShare) loop(ctx context.Context) error {
	for serve.Sleep(ctx, crashResendInterval) {
		if list := s.all(); len(list) > 0 {
			s.keeper.peers.broadcast(wire.KindCrashes, list)
		}
	}
	return ctx.Err()
}
