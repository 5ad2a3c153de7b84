package relay

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
)

const (
	// resumeTick is the pause between two tries of a stream that waits for an endpoint.
	resumeTick = 25 * time.Millisecond
	// startWait bounds how long a stream without an event waits for an endpoint before it is refused: an eighth of the
	// usual objective, within which nothing is lost to the caller.
	startWait = 500 * time.Millisecond
	// resetPause is the pause before a holder whose answer was reset is sent the stream again; it doubles each time.
	resetPause = 10 * time.Millisecond
	// maxResets is the number of resets after which a holder is given up; the pauses until then take a fifth of the usual
	// bound on a pause between events.
	maxResets = 4
	// resumeWait bounds how long a stream that was interrupted waits for an endpoint: crashed ones come back within it.
	resumeWait = 3 * time.Second
)

// generation is a stream on its way.
type generation struct {
	*request
	// last is the id of the last event that the caller has; 0 before the first.
	last int64
	// fromCaller says that the caller itself resumes.
	fromCaller bool
	// wrote says that the answer's header has left.
	wrote bool
	// copies knows where a copy of the run's memory is.
	copies copies
	// over says that the stream has ended or its caller has left, so that no copy is needed any more.
	over atomic.Bool
	// kept are the ids of endpoints that still have the prompt of a stream that the caller resumes.
	kept []string
	// resets counts the answers of holders that were reset before their first event.
	resets int
	// lost is the failure domain of the last endpoint that failed.
	lost string
	// refused counts the endpoints that refused the stream.
	refused int
	// events counts the events that were passed on, and resumes the sends after an interruption.
	events  int
	resumes int
	// firstIn is the time to the first event, and lastAt is when the last one was passed on.
	firstIn time.Duration
	lastAt  time.Time
	// longest is the longest pause between two events.
	longest time.Duration
}

// keeper returns an endpoint that still has the prompt, also if an answer of it was lost. Each one is used once.
func (g *generation) keeper(t *place.Table, now time.Time) (place.Endpoint, bool) {
	for len(g.kept) > 0 {
		id := g.kept[0]
		g.kept = g.kept[1:]
		if t.Lives(id, now) {
			return t.Get(id)
		}
	}
	return place.Endpoint{}, false
}

// serveStream forwards a stream, event by event, and goes on at another endpoint when one fails.
func (q *request) serveStream() {
	g := &generation{request: q}
	if id, err := strconv.ParseInt(q.r.Header.Get(q.relay.Names.LastEvent), 10, 64); err == nil {
		g.last, g.fromCaller = id, true
		g.findPrompt()
		q.log.Info("stream-resumed-by-caller", zap.Int64("last-event", id), zap.Strings("prompt-at", g.kept))
	}
	for {
		l, ok := g.next()
		if !ok {
			g.giveUp(common.ReasonNoEndpoint)
			return
		}
		out := g.run(l)
		g.note(l.endpoint, out)
		g.keepCopy(l, out)
		if out.verdict == unknown {
			g.lost = l.endpoint.Domain
		}
		if out.verdict == answered {
			g.done(l, out)
			return
		}
		q.relay.meter.count("retries", string(out.cause))
		if reason, ok := g.mayGoOn(out); !ok {
			g.giveUp(reason)
			return
		}
	}
}

// keepCopy leaves a holder to be sent the stream again if its answer was reset before the first event: it has the copy
// still. The last send that the route allows goes elsewhere.
func (g *generation) keepCopy(l leg, out result) {
	if l.from == "" || out.cause != common.RetryReset || g.copies.get().holder.ID != l.endpoint.ID {
		return
	}
	if g.resets >= maxResets || g.sends+1 >= g.route.Attempts {
		return
	}
	delete(g.tried, l.endpoint.ID)
	g.pause(resetPause << g.resets)
	g.resets++
}

// mayGoOn reports whether another send may follow one without a whole answer, or why not.
func (g *generation) mayGoOn(out result) (common.Reason, bool) {
	switch {
	case g.ctx.Err() != nil:
		return common.ReasonDeadline, false
	case g.uploaded:
		return common.ReasonEndpointFailed, false
	case out.verdict == unknown:
		if !g.route.Repeatable() || g.stream != nil || g.sends >= max(1, g.route.Attempts) {
			return common.ReasonEndpointFailed, false
		}
		if out.cause != common.RetryRefused {
			return common.ReasonRetryBudget, g.relay.spendLoss(g.service)
		}
	case out.cause == common.RetryConnect:
		// Nothing has arrived anywhere, so that the next send is no extra one.
		return "", true
	case out.cause != common.RetryLeaving:
		// An endpoint that is full, or has no copy; one that has restarted costs no pause.
		g.refused++
		if !g.wrote && g.refused > maxRefused || !g.pause(refusedPause<<min(g.refused, maxRefused)) {
			return common.ReasonOverloaded, false
		}
	}
	return common.ReasonRetryBudget, g.relay.spendRefusal(g.service)
}

// next returns the next send: to the holder of the copy if there may be one, and otherwise to the endpoint with the least
// cost. It waits while no endpoint takes requests.
func (g *generation) next() (leg, bool) {
	wait := startWait
	if g.wrote {
		wait = resumeWait
	}
	until := g.relay.Clock.Now().Add(wait)
	if g.wrote && !g.copyLives() {
		// An engine whose answer was lost has read the prompt all the same.
		g.findPrompt()
	}
	for {
		if l, ok := g.pick(); ok {
			return l, true
		}
		if g.relay.Clock.Now().After(until) || !g.pause(resumeTick) {
			return leg{}, false
		}
	}
}

// findPrompt asks the engines which of them still has the stream's prompt.
func (g *generation) findPrompt() {
	n := &g.relay.Names
	g.kept = g.relay.finder.find(g.ctx, g.service, n.LastPart(g.header.Get(n.Prompt)))
}

// copyLives reports whether there is a copy at a holder that is not known to be down.
func (g *generation) copyLives() bool {
	b := g.copies.get()
	return b.any && !g.tried[b.holder.ID] && g.relay.lives(b.holder.ID)
}

// pick chooses the next send and counts it in the table of endpoints.
func (g *generation) pick() (l leg, ok bool) {
	g.relay.placed(func(t *place.Table, now time.Time) {
		if b := g.copies.get(); b.any && !g.tried[b.holder.ID] && t.Lives(b.holder.ID, now) {
			l.endpoint, l.from, ok = b.holder, b.from, true
		} else if l.endpoint, ok = g.keeper(t, now); ok {
			l.kept = true
		} else if l.endpoint, ok = t.Choose(place.Want{Service: g.service, Model: true, Not: g.tried, Lost: g.lost}, now); !ok && g.wrote {
			// Endpoints that refused may have room by now, and those that crashed may be back.
			clear(g.tried)
			l.endpoint, ok = t.Choose(place.Want{Service: g.service, Model: true, Lost: g.lost}, now)
		}
		if !ok {
			return
		}
		t.Began(l.endpoint.ID, l.reads())
		if s := g.index.Service(g.service); g.route.Resumable && s != nil && s.Model != nil && s.Model.Backups {
			l.holder, l.held = t.Holder(l.endpoint, g.lost, now)
			if l.held {
				t.Copied(l.holder.ID, 1)
			}
		}
	})
	return l, ok
}

// done ends a stream that is complete, or passes an endpoint's own failure on.
func (g *generation) done(l leg, out result) {
	if !g.wrote {
		g.pass(l.endpoint, out)
		return
	}
	g.relay.meter.pause.RecordDuration(g.longest)
	g.log.Info("stream-ended", zap.String("route", g.route.Name), zap.String("endpoint", l.endpoint.ID),
		zap.Int("events", g.events), zap.Int64("last-event", g.last), zap.Int("resumes", g.resumes), zap.Int("sends", g.sends),
		zap.Duration("waited", g.waited), zap.Duration("first", g.firstIn), zap.Duration("longest-pause", g.longest), zap.Duration("took", g.relay.Clock.Now().Sub(g.began)))
}

// giveUp ends a stream for which nothing more can be tried. The connection of one that has begun is reset, so that it
// does not look complete and the caller can resume it elsewhere.
func (g *generation) giveUp(reason common.Reason) {
	if !g.wrote {
		g.fail(reason, afterCrash)
		return
	}
	gone := g.r.Context().Err() != nil
	g.log.Info("stream-broken-off", zap.String("reason", string(reason)), zap.Bool("caller-gone", gone),
		zap.Int64("last-event", g.last), zap.Int("resumes", g.resumes), zap.Int("sends", g.sends),
		zap.Duration("after", g.relay.Clock.Now().Sub(g.began)))
	g.relay.meter.count("streams-broken-off", string(reason))
	panic(http.ErrAbortHandler)
}
