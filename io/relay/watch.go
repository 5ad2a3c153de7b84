package relay

import (
	"context"
	"sync/atomic"
	"time"

	"wasabiweir/io/serve"
)

const (
	// eventSilence is the silence of a running stream after which its engine is asked. Events come every 30 ms, and every
	// 200 ms while the engine reads a prompt.
	eventSilence = 300 * time.Millisecond
	// startSilence is the silence of a stream without an event after which its engine is asked; a prompt takes a second or
	// more, and the objective leaves time for a second one elsewhere.
	startSilence = time.Second
	// startTick is the time between two looks, until then, whether others have lost the engine.
	startTick = 100 * time.Millisecond
	// askTimeout bounds a question to an engine; it answers without a slot, within a few milliseconds.
	askTimeout = 120 * time.Millisecond
	// sharedSilence is the time for which an event of any stream proves that its engine lives.
	sharedSilence = 200 * time.Millisecond
	// askAgain is the time after which an engine that answered is asked again.
	askAgain = 150 * time.Millisecond
	// startAgain is the same for a stream without an event.
	startAgain = 600 * time.Millisecond
	// copyStart is the time that a stream needs to go on from its copy. An engine that answers but makes no event is left
	// for the holder when no more than that is left of the longest pause that the route allows.
	copyStart = 250 * time.Millisecond
	// usualPause stands for a route that states no longest pause.
	usualPause = 700 * time.Millisecond
	// aheadBy is the number of events by which an engine must be ahead of the stream to prove that its connection is dead;
	// reports are some hundred milliseconds old, so that one event may be on its way.
	aheadBy = 2
)

// watch notices that an endpoint has fallen silent; it closes the connection then, which ends the leg.
type watch struct {
	gen  *generation
	leg  leg
	conn *conn
	// last is when bytes arrived last, as time since the start of the process.
	last atomic.Int64
	// cause is why the connection was closed.
	cause atomic.Pointer[string]
	// read says that the first event has arrived; only the reader uses it.
	read bool
	// got counts the header of the answer and the events that arrived, and at is the id of the last event.
	got atomic.Int64
	at  atomic.Int64
}

// heard records that bytes arrived.
func (w *watch) heard() {
	now := w.gen.relay.since()
	w.last.Store(int64(now))
	w.got.Add(1)
	w.gen.relay.prober.heard(w.leg.endpoint.ID, now)
}

// run watches a leg until it ends.
func (w *watch) run(ctx context.Context) {
	for {
		silence := w.silence()
		limit, tick, again := startSilence, startTick, startAgain
		switch {
		case w.got.Load() > 1:
			limit, tick, again = eventSilence, eventSilence, askAgain
		case silence >= eventSilence && !w.gen.relay.lives(w.leg.endpoint.ID):
			limit = eventSilence
		}
		if silence < limit {
			if !serve.Pause(ctx, min(limit-silence, tick)) {
				return
			}
			continue
		}
		if silence < w.patience() && w.gen.relay.prober.lately(w.leg.endpoint.ID) {
			if !serve.Pause(ctx, askAgain/2) {
				return
			}
			continue
		}
		q := w.gen.relay.prober.ask(ctx, w.leg.endpoint)
		if ctx.Err() != nil {
			return
		}
		if cause := w.judge(ctx, q); cause != "" {
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

// patience is the silence after which the stream leaves an engine that answers.
func (w *watch) patience() time.Duration {
	longest := w.gen.route.MaxPause
	if longest == 0 {
		longest = usualPause
	}
	return max(longest-copyStart, eventSilence+askAgain)
}

// judge returns why the leg is to end, or nothing.
func (w *watch) judge(ctx context.Context, q *question) string {
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
	if silence >= w.patience() && w.copyAnswers(ctx) {
		return "no event although the engine answers"
	}
	return ""
}

// copyAnswers reports whether the holder of the copy answers and has copies: one that crashed lately may be listed still,
// or may have started again without them.
func (w *watch) copyAnswers(ctx context.Context) bool {
	b := w.gen.copies.get()
	if !b.any || !w.gen.relay.lives(b.holder.ID) {
		return false
	}
	q := w.gen.relay.prober.ask(ctx, b.holder)
	return ctx.Err() == nil && q.alive && q.report.Copies > 0
}
