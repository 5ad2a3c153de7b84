package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/serve"
)

const (
	// eventSilence is the silence of a running stream after which its engine is asked. Events come every 30 ms, and every
	// 200 ms while the engine reads a prompt.
	eventSilence = 300 * time.Millisecond
	// startSilence is the silence of a stream without an event after which its engine is asked; a prompt takes a second.
	startSilence = 400 * time.Millisecond
	// askTimeout bounds a question to an engine; it answers without a slot, within a few milliseconds.
	askTimeout = 120 * time.Millisecond
	// sharedSilence is the time for which an event of any stream proves that its engine lives.
	sharedSilence = 200 * time.Millisecond
	// askAgain is the time after which an engine that answered is asked again.
	askAgain = 150 * time.Millisecond
	// startAgain is the same for a stream without an event: its objective leaves time for a second prompt elsewhere.
	startAgain = 400 * time.Millisecond
	// deafSilence is the silence of a running stream, of an engine that answers, after which the stream goes to the holder
	// of its copy: what is left of the usual pause of 700 ms is enough to resume.
	deafSilence = 520 * time.Millisecond
	// aheadBy is the number of events by which an engine must be ahead of the stream to prove that its connection is dead;
	// reports are some hundred milliseconds old, so that one event may be on its way.
	aheadBy = 2
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

// run watches a leg until it ends.
func (w *watch) run(ctx context.Context) {
	for {
		silence := w.silence()
		limit, again := startSilence, startAgain
		if w.got.Load() > 1 {
			limit, again = eventSilence, askAgain
		}
		if silence < limit {
			if !serve.Pause(ctx, limit-silence) {
				return
			}
			continue
		}
		if silence < deafSilence && w.gen.relay.prober.lately(w.leg.endpoint.ID) {
			if !serve.Pause(ctx, askAgain/2) {
				return
			}
			continue
		}
		q := w.gen.relay.prober.ask(ctx, w.leg.endpoint)
		if ctx.Err() != nil {
			return
		}
		if cause := w.judge(q); cause != "" {
			w.cause.Store(&cause)
			_ = w.conn.Close()
			return
		}
		if !serve.Pause(ctx, again) {
			return
		}
	}
}

func (w *watch) silence() time.Duration { return w.gen.relay.since() - time.Duration(w.last.Load()) }

// judge returns why the leg is to end, or nothing.
func (w *watch) judge(q *question) string {
	silence := w.silence()
	if silence < eventSilence {
		return ""
	}
	if !q.alive {
		return "the engine does not answer"
	}
	// The header of the answer counts as the first thing heard.
	got := w.got.Load() - 1
	if got < 1 {
		return ""
	}
	if made, ok := q.report.Events[w.gen.id]; ok && int64(made) >= w.at.Load()+aheadBy && silence > eventSilence+askAgain {
		return "the engine is ahead of its connection"
	}
	if b := w.gen.copies.get(); silence >= deafSilence && b.any && w.gen.relay.lives(b.holder.ID) {
		return "no event although the engine answers"
	}
	return ""
}
