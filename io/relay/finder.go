package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
)

const (
	// sweepLife is how long the answers of a sweep are used; the streams of a lost relay are resumed together.
	sweepLife = 1500 * time.Millisecond
	// sweepTimeout bounds the questions of a sweep; an engine that answers later is not worth the wait.
	sweepTimeout = 80 * time.Millisecond
)

// finder finds the engine that still has the prompt of a stream which a caller resumes after it lost another relay. A
// sweep asks all engines of the service; it costs far less than reading one prompt again.
type finder struct {
	relay *Relay

	mu     sync.Mutex
	sweeps map[string]*sweep
}

// sweep is one round of questions to the engines of a service.
type sweep struct {
	began time.Time
	done  chan struct{}

	mu    sync.Mutex
	left  int
	kept  map[string][]string // ids of endpoints by the part that they keep
	asked int
}

func (f *finder) prepare(r *Relay) {
	f.relay = r
	f.sweeps = map[string]*sweep{}
}

// find returns the ids of the endpoints of the service that keep the part of a prompt.
func (f *finder) find(ctx context.Context, service, part string) []string {
	if part == "" {
		return nil
	}
	s := f.sweep(service)
	t := time.NewTimer(sweepTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kept[part]
}

// sweep returns the present round of questions to a service, or begins one.
func (f *finder) sweep(service string) *sweep {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.relay.Clock.Now()
	if s := f.sweeps[service]; s != nil && now.Sub(s.began) < sweepLife {
		return s
	}
	var list []place.Endpoint
	f.relay.placed(func(t *place.Table, now time.Time) { list = t.Takers(service, now) })
	s := &sweep{began: now, done: make(chan struct{}), left: len(list), kept: map[string][]string{}, asked: len(list)}
	f.sweeps[service] = s
	if len(list) == 0 {
		close(s.done)
	}
	for _, e := range list {
		q := &partQuestion{sweep: s, endpoint: e, relay: f.relay}
		go q.run()
	}
	f.relay.Log.Info("prompts-searched", zap.String("service", service), zap.Int("engines", len(list)))
	return s
}

// partQuestion asks one engine which parts it keeps.
type partQuestion struct {
	relay    *Relay
	sweep    *sweep
	endpoint place.Endpoint
}

func (q *partQuestion) run() {
	ctx, cancel := context.WithTimeout(q.relay.ctx, sweepTimeout)
	defer cancel()
	parts, err := q.relay.Engines.Kept(ctx, q.endpoint.Address)
	if err != nil {
		q.relay.Log.Debug("prompts-not-told", zap.String("endpoint", q.endpoint.ID), zap.Error(err))
	}
	s := q.sweep
	s.mu.Lock()
	defer s.mu.Unlock()
	for part := range parts {
		s.kept[part] = append(s.kept[part], q.endpoint.ID)
	}
	if s.left--; s.left == 0 {
		close(s.done)
	}
}
