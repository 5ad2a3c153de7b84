package keeper

import (
	"context"
	"sync"
	"time"

	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

// resendInterval is the time between two messages with everything that a keeper knows to the other keepers, which
// replace those that a lost connection has dropped.
const resendInterval = 2 * time.Second

// mergeTable holds what is known of one matter; the tables of all processes are merged in any order.
type mergeTable[T any] interface {
	// Merge adds what another process has sent, and returns what further ones should be told.
	Merge(list []T, now time.Time) (news []T)
	// All returns everything that is known.
	All(now time.Time) []T
}

// exchange passes what one relay has learnt of one matter on to all relays.
type exchange[T any] struct {
	keeper *Keeper
	kind   wire.Kind

	mu    sync.Mutex
	known mergeTable[T]
	// changes counts the changes of what is known.
	changes uint64
}

// merge adds what a relay or another keeper has sent, and passes on what is new.
func (s *exchange[T]) merge(list []T) {
	s.mu.Lock()
	news := s.known.Merge(list, s.keeper.Clock.Now())
	if len(news) > 0 {
		s.changes++
	}
	s.mu.Unlock()
	if len(news) == 0 {
		return
	}
	s.keeper.peers.broadcast(s.kind, news)
	s.keeper.feeds.forEachRelay(func(l *wire.Link, _ *relayFeed) error { return l.Post(s.kind, "", news) })
}

// all returns everything that is known, and the number of changes that it includes.
func (s *exchange[T]) all() (list []T, changes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.All(s.keeper.Clock.Now()), s.changes
}

// sendAllTo sends everything that is known to a relay that has just connected.
func (s *exchange[T]) sendAllTo(l *wire.Link) error {
	if list, _ := s.all(); len(list) > 0 {
		return l.Post(s.kind, "", list)
	}
	return nil
}

// loop sends everything that is known to the other keepers from time to time until ctx ends.
func (s *exchange[T]) loop(ctx context.Context) error {
	for serve.Sleep(ctx, resendInterval) {
		if list, _ := s.all(); len(list) > 0 {
			s.keeper.peers.broadcast(s.kind, list)
		}
	}
	return ctx.Err()
}
