package keeper

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// crashResendInterval and limitResendInterval are the times between two messages with everything that a keeper knows
	// to the other keepers, which replace those that a full queue has dropped. There may be many limits.
	crashResendInterval = 2 * time.Second
	limitResendInterval = 10 * time.Second
	// newsInterval is the least time between two messages with news to the same process.
	newsInterval = 200 * time.Millisecond
)

// mergeTable holds what is known of one matter; the tables of all processes are merged in any order.
type mergeTable[T any] interface {
	// Merge adds what another process has sent, and returns what further ones should be told.
	Merge(list []T, now time.Time) (news []T)
	// All returns everything that is known.
	All(now time.Time) []T
}

// exchange passes what one relay has learnt of one matter on to all relays.
type exchange[T common.Record[T]] struct {
	keeper *Keeper
	kind   wire.Kind
	// resendInterval is the time between two messages with everything that is known to the other keepers.
	resendInterval time.Duration

	mu    sync.Mutex
	known mergeTable[T]
	// news is what has not been passed on yet.
	news common.Batch[T]
	// changes counts the changes of what is known.
	changes uint64
}

// newExchange returns an exchange of which nothing is known but the table.
func newExchange[T common.Record[T]](k *Keeper, kind wire.Kind, known mergeTable[T], resendInterval time.Duration) *exchange[T] {
	return &exchange[T]{
		keeper: k, kind: kind, known: known, resendInterval: resendInterval, news: common.Batch[T]{Interval: newsInterval},
	}
}

// merge adds what a relay or another keeper has sent, and passes on what is new.
func (s *exchange[T]) merge(list []T) {
	s.mu.Lock()
	now := s.keeper.Clock.Now()
	news := s.known.Merge(list, now)
	if len(news) > 0 {
		s.changes++
	}
	due := s.news.Add(news, now)
	s.mu.Unlock()
	s.passOn(due)
}

// passOn sends news to all other keepers and to the relays that follow this one.
func (s *exchange[T]) passOn(news []T) {
	if len(news) == 0 {
		return
	}
	body, err := wire.Marshal(news)
	if err != nil {
		s.keeper.Log.Warn("news-not-encoded", zap.String("kind", string(s.kind)), zap.Error(err))
		return
	}
	f := wire.Frame{Kind: s.kind, Body: body}
	s.keeper.peers.send(f)
	s.keeper.feeds.forEachRelay(func(l *wire.Link, _ *relayFeed) error { return l.Send(f) })
	if s.keeper.Metrics != nil {
		s.keeper.Metrics.Tagged(map[string]string{"kind": string(s.kind)}).Counter("news-messages").Inc(1)
	}
}

// takeDue returns the news that are due.
func (s *exchange[T]) takeDue() []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news.Take(s.keeper.Clock.Now())
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

// loop passes on the news that are due, and sends everything that is known to the other keepers from time to time, until
// ctx ends.
func (s *exchange[T]) loop(ctx context.Context) error {
	resentAt := s.keeper.Clock.Now()
	for serve.Sleep(ctx, newsInterval) {
		s.passOn(s.takeDue())
		now := s.keeper.Clock.Now()
		if now.Sub(resentAt) < s.resendInterval {
			continue
		}
		resentAt = now
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
	if err := errors.Join(k.sendExchanges(l), k.origins.sendAllTo(l)); err != nil {
		k.Log.Debug("peer-message-lost", zap.String("peer", l.Name), zap.Error(err))
	}
}

// sendExchanges sends everything that relays have learnt on a link to a relay or a keeper.
func (k *Keeper) sendExchanges(l *wire.Link) error {
	return errors.Join(k.crashes.sendAllTo(l), k.limits.sendAllTo(l))
}
