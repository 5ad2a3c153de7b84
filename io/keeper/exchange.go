package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

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

// changeCount returns the number of changes of what is known.
func (s *exchange[T]) changeCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// sendAllTo sends everything that is known to a process that has just connected.
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

// sendKnown sends what relays have learnt to another keeper on a new link. It goes before the Raft messages on the link:
// a leader knows what a quorum knew when it was elected, and a keeper that confirms a state knows what its leader
// does, also if it has lost its disk.
func (k *Keeper) sendKnown(l *wire.Link) {
	if err := k.sendExchanges(l); err != nil {
		k.Log.Debug("peer-message-lost", zap.String("peer", l.Name), zap.Error(err))
	}
}

// sendExchanges sends everything that relays have learnt on a link to a relay or a keeper.
func (k *Keeper) sendExchanges(l *wire.Link) error {
	return errors.Join(k.crashes.sendAllTo(l), k.limits.sendAllTo(l))
}
