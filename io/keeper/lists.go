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

	mu     sync.Mutex
	list   place.List
	began  time.Time // when the reading of list began
	number uint64
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
	s.mu.Lock()
	s.number++
	list := place.List{Endpoints: endpoints, Reader: s.keeper.Peer, Number: s.number, Age: s.keeper.Clock.Now().Sub(began)}
	s.mu.Unlock()
	s.take(list)
	s.keeper.peers.post(wire.KindEndpoints, list)
	return nil
}

// take keeps a list if its reading began later than that of the present one, and sends it to the relays.
func (s *lists) take(list place.List) {
	began := s.keeper.Clock.Now().Add(-list.Age)
	s.mu.Lock()
	newer := began.After(s.began)
	if newer {
		s.list, s.began = list, began
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	s.keeper.feeds.each(func(l *wire.Link, _ *feed) error { return l.Post(wire.KindEndpoints, "", list) })
}

// sendTo sends the present list to a relay that has just connected.
func (s *lists) sendTo(l *wire.Link) {
	s.mu.Lock()
	list, began := s.list, s.began
	s.mu.Unlock()
	if began.IsZero() {
		return
	}
	list.Age = s.keeper.Clock.Now().Sub(began)
	if err := l.Post(wire.KindEndpoints, "", list); err != nil {
		s.keeper.Log.Debug("list-not-sent", zap.String("relay", l.Name), zap.Error(err))
	}
}
