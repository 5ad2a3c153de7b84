package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
)

// prober asks silent engines whether they live, once for all streams of an engine.
type prober struct {
	relay *Relay

	mu      sync.Mutex
	engines map[string]*question
	// events is when each engine's last event arrived on any stream, as time since the start of the process.
	events map[string]time.Duration
}

// question is the latest question to one engine.
type question struct {
	asked  time.Time
	done   chan struct{}
	alive  bool
	report Report
	err    error
}

func (w *prober) prepare(r *Relay) {
	w.relay = r
	w.engines = map[string]*question{}
	w.events = map[string]time.Duration{}
}

// heard records that bytes of the engine arrived.
func (w *prober) heard(id string, now time.Duration) {
	w.mu.Lock()
	w.events[id] = now
	w.mu.Unlock()
}

// lately reports whether the engine was heard on any stream lately.
func (w *prober) lately(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.events[id]
	return ok && w.relay.since()-at < sharedSilence
}

// ask returns the answer of an engine; one that is at most askAgain old is shared.
func (w *prober) ask(ctx context.Context, e place.Endpoint) *question {
	q := w.check(e)
	select {
	case <-q.done:
	case <-ctx.Done():
	}
	return q
}

// check asks an engine and does not wait; an engine that does not answer is suspended.
func (w *prober) check(e place.Endpoint) *question {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.relay.Clock.Now()
	q := w.engines[e.ID]
	if q != nil && now.Sub(q.asked) <= askAgain {
		return q
	}
	w.forget(now)
	q = &question{asked: now, done: make(chan struct{})}
	w.engines[e.ID] = q
	go w.run(q, e)
	return q
}

// forgetAfter is the age of a question after which it is dropped; ids of engines change with each of their restarts.
const forgetAfter = time.Minute

// forget drops old questions; mu is held.
func (w *prober) forget(now time.Time) {
	for id, old := range w.engines {
		if now.Sub(old.asked) > forgetAfter {
			delete(w.engines, id)
			delete(w.events, id)
		}
	}
}

func (w *prober) run(q *question, e place.Endpoint) {
	defer close(q.done)
	ctx, cancel := context.WithTimeout(w.relay.ctx, askTimeout)
	defer cancel()
	q.report, q.err = w.relay.Engines.Inspect(ctx, e.Address)
	q.alive = q.err == nil
	w.relay.meter.count("engine-questions", answer(q.alive))
	if q.alive {
		return
	}
	var suspended time.Duration
	w.relay.placed(func(t *place.Table, now time.Time) { suspended = t.Failed(e.ID, true, now) })
	w.relay.pool.drop(e.ID)
	w.relay.Log.Info("engine-silent", zap.String("endpoint", e.ID), zap.String("domain", e.Domain),
		zap.Duration("suspended", suspended), zap.Error(q.err))
}

func answer(alive bool) string {
	if alive {
		return "alive"
	}
	return "dead"
}
