package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/raft"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// listInterval is the time between two readings of the platform's list by the leader.
	listInterval = 400 * time.Millisecond
	// listTimeout bounds one reading.
	listTimeout = 900 * time.Millisecond
	// listSilence is the age of the list after which a keeper that does not lead reads it itself.
	listSilence = 1500 * time.Millisecond
)

// lists reads the platform's list of endpoints for all processes: the leader does, and others when none reaches them.
type lists struct {
	keeper *Keeper

	mu    sync.Mutex
	list  place.List
	began time.Time // when the reading of list began
	// sent is the content that each link was sent last.
	sent map[*wire.Link]uint64
}

func (s *lists) loop(ctx context.Context) error {
	failing := false
	for next := time.Duration(0); serve.Pause(ctx, next); next = listInterval {
		if !s.due() {
			continue
		}
		err := s.read(ctx)
		if err != nil && !failing {
			s.keeper.Log.Warn("list-not-read", zap.Error(err))
		}
		if err == nil && failing {
			s.keeper.Log.Info("list-read-again")
		}
		failing = err != nil
	}
	return ctx.Err()
}

func (s *lists) due() bool {
	if s.keeper.group.current().Status().Role == raft.Leader {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Clock.Now().Sub(s.began) > listSilence
}

func (s *lists) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := s.keeper.Clock.Now()
	endpoints, err := s.keeper.List.Read(ctx)
	if err != nil {
		return err
	}
	s.take(place.NewList(endpoints, s.keeper.Clock.Now().Sub(began)))
	for _, l := range s.keeper.peers.links() {
		if err := s.sendTo(l); err != nil {
			s.keeper.Log.Debug("list-not-sent", zap.String("peer", l.Name), zap.Error(err))
		}
	}
	return nil
}

// take keeps a list if its reading began later than that of the present one, and sends it to the relays.
func (s *lists) take(list place.List) {
	began := s.keeper.Clock.Now().Add(-list.Age)
	s.mu.Lock()
	newer := began.After(s.began)
	if len(list.Endpoints) == 0 && list.Content == s.list.Content {
		list.Endpoints = s.list.Endpoints
	}
	// A list without endpoints whose content is not the present one followed another reader's; the next one has them.
	newer = newer && (len(list.Endpoints) > 0 || list.Content == place.NewList(nil, 0).Content)
	if newer {
		s.list, s.began = list, began
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	s.keeper.feeds.each(func(l *wire.Link, _ *feed) error { return s.sendTo(l) })
}

// sendTo sends the present list over a link, without the endpoints if it has carried the same content before.
func (s *lists) sendTo(l *wire.Link) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		return nil
	}
	if s.sent == nil {
		s.sent = map[*wire.Link]uint64{}
	}
	list := s.list
	list.Age = s.keeper.Clock.Now().Sub(s.began)
	if content, ok := s.sent[l]; ok && content == list.Content {
		return l.Post(wire.KindEndpoints, "", list.Without())
	}
	for other := range s.sent {
		select {
		case <-other.Done():
			delete(s.sent, other)
		default:
		}
	}
	s.sent[l] = list.Content
	return l.Post(wire.KindEndpoints, "", list)
}
