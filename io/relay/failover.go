package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/serve"
)

const (
	// failoverObjectives is the number of latency objectives after which a repeatable request is sent to another
	// endpoint, if one can take it.
	failoverObjectives = 2.5
	// failoverCheckInterval is the time between two checks whether a request that has waited for so long can be sent to another endpoint.
	failoverCheckInterval = 150 * time.Millisecond
)

// errLateResponse ends an attempt that another one follows because its endpoint has not responded in time.
var errLateResponse = errors.New("the endpoint has not responded in time, and another can take the request")

// failoverWatch gives up an attempt at a repeatable request whose endpoint has not responded in time, once another attempt may follow at
// once. A sound endpoint may be silent for a second or so, so that nothing is gained by ending an attempt that no other can follow.
type failoverWatch struct {
	request *request
	// endpoint is that of the attempt.
	endpoint place.Endpoint
	// ctx is the context of the watch, which stop ends, and cancel ends the attempt.
	ctx    context.Context
	stop   context.CancelFunc
	cancel context.CancelCauseFunc
	// timer starts run when the endpoint is late; done is closed when run has ended.
	timer *time.Timer
	done  chan struct{}
	// mu guards isSent, which is true once the request is being sent, so that another attempt counts against the retry budget, and isLeft,
	// which is true once the attempt is given up, after which the request is not sent in it.
	mu             sync.Mutex
	isSent, isLeft bool
	// keptFor is why the attempt was last kept; empty if it was not.
	keptFor common.Reason
	// retrySpent is true if the next attempt was taken from the retry budget, and next is the endpoint that was chosen for it, which counts
	// the request already; nil if there is none. Both are valid once done is closed.
	retrySpent bool
	next       *place.Endpoint
}

// watchFailover starts a watch over an attempt, which ends with the returned context. The watch is nil if no other attempt may follow.
func (q *request) watchFailover(e place.Endpoint) (context.Context, *failoverWatch) {
	if q.route.Kind != state.Safe || q.route.LatencyObjective <= 0 || q.bodyReader != nil || q.attempts+1 >= max(1, q.route.MaxAttempts) {
		return q.ctx, nil
	}
	w := &failoverWatch{request: q, endpoint: e, done: make(chan struct{})}
	var attempt context.Context
	attempt, w.cancel = context.WithCancelCause(q.ctx)
	w.ctx, w.stop = context.WithCancel(attempt)
	w.timer = time.AfterFunc(time.Duration(failoverObjectives*float64(q.route.LatencyObjective)), w.run)
	return attempt, w
}

// end ends the watch and the context of its attempt, and stores in the result what the watch has decided.
func (w *failoverWatch) end(result *attemptResult) {
	if w == nil {
		return
	}
	w.stop()
	if !w.timer.Stop() {
		<-w.done
	}
	w.cancel(nil)
	result.retrySpent = w.retrySpent
	w.request.reserved = w.next
	if w.keptFor != "" && result.outcome == completed {
		w.request.log.Info("attempt-goes-on", zap.String("endpoint", w.endpoint.ID))
	}
}

// markSent records that the request is being sent. It returns false if the attempt was given up and the request must not be sent.
func (w *failoverWatch) markSent() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isSent = !w.isLeft
	return w.isSent
}

// hasSent reports whether the request is being sent.
func (w *failoverWatch) hasSent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isSent
}

// leave gives the attempt up. It returns false if the request was sent since the next attempt was reserved, which has to be paid for then.
func (w *failoverWatch) leave() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isLeft = !w.isSent || w.retrySpent
	return w.isLeft
}

// run ends the attempt as soon as another may follow. It begins when the endpoint is late.
func (w *failoverWatch) run() {
	defer close(w.done)
	defer w.request.relay.guard.Recover("failover-watch")
	for w.ctx.Err() == nil {
		reason := w.reserveNext()
		if reason == "" && w.leave() {
			w.cancel(errLateResponse)
			return
		}
		if reason == "" {
			w.releaseNext()
			continue
		}
		if reason != w.keptFor && w.ctx.Err() == nil {
			w.keptFor = reason
			w.request.relay.meter.countReason("attempts-kept", string(reason))
			w.request.log.Info("attempt-kept", zap.String("endpoint", w.endpoint.ID), zap.String("reason", string(reason)),
				zap.Bool("sent", w.hasSent()), zap.Duration("after", w.request.relay.Clock.Now().Sub(w.request.startedAt)))
		}
		serve.Sleep(w.ctx, failoverCheckInterval)
	}
}

// reserveNext takes another attempt from the retry budget, at most once, and chooses its endpoint. It returns the reason if no other
// attempt may follow now.
func (w *failoverWatch) reserveNext() common.Reason {
	q := w.request
	r := q.relay
	if r.crashes.HasCrashes() && (!r.crashes.MayRetry(q.id) || r.crashes.RetryAfter(q.crashParts()) > 0) {
		return common.ReasonCrashesEngines
	}
	if !q.endsBeforeRelay() {
		return common.ReasonDraining
	}
	var found bool
	r.withTable(func(t *place.EndpointTable, now time.Time) { found = t.HasEligible(q.plainRequirements(), now) })
	if !found {
		r.probeSilent(q.service, q.tried)
		return common.ReasonNoEndpoint
	}
	if w.hasSent() && !w.retrySpent {
		if !q.spendRetryWithin(w.ctx, place.AfterRefusal) {
			return common.ReasonRetryBudget
		}
		w.retrySpent = true
	}
	// The budget may have been asked for a while.
	r.withTable(func(t *place.EndpointTable, now time.Time) {
		e, ok := t.ChooseEndpoint(q.plainRequirements(), now)
		if found = ok && w.ctx.Err() == nil; found {
			t.RequestStarted(e.ID, false, now)
			w.next = &e
		}
	})
	if !found {
		return common.ReasonNoEndpoint
	}
	return ""
}

// releaseNext gives back the endpoint that was chosen for the next attempt.
func (w *failoverWatch) releaseNext() {
	w.request.relay.withTable(func(t *place.EndpointTable, now time.Time) { t.RequestEnded(w.next.ID, now) })
	w.next = nil
}

// takeReserved returns the endpoint that was chosen for the next attempt before the last one was given up.
func (q *request) takeReserved() (place.Endpoint, bool) {
	next := q.reserved
	if next == nil {
		return place.Endpoint{}, false
	}
	q.reserved = nil
	q.tried[next.ID] = true
	return *next, true
}

// releaseReserved gives back the endpoint that was chosen for an attempt which does not follow.
func (q *request) releaseReserved() {
	if e, ok := q.takeReserved(); ok {
		q.relay.withTable(func(t *place.EndpointTable, now time.Time) { t.RequestEnded(e.ID, now) })
	}
}

// awaitSilent waits a moment if no endpoint accepts the request because some are silent that may go on, as long as a sound one may be
// silent. It returns false if there are none, or after that time.
func (q *request) awaitSilent() bool {
	_, limited := q.nextTurn(q.plainRequirements())
	if _, paused := q.firstReturn(); limited || paused || !q.relay.probeSilent(q.service, q.tried) {
		return false
	}
	now := q.relay.Clock.Now()
	if q.silentSince.IsZero() {
		q.silentSince = now
		q.log.Info("request-awaits-silent-endpoints", zap.String("service", q.service), zap.Int("attempts", q.attempts))
	}
	return now.Sub(q.silentSince) <= maxSilenceWait && q.sleep(resumeRetryInterval)
}
