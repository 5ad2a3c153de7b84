package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/serve"
)

const (
	// addressTTLs is the number of address TTLs for which some callers keep using a relay address from the
	// directory.
	addressTTLs = 3
	// drainMargin is added to the address TTLs of a graceful shutdown, so that the relay's report that it is draining
	// can reach the directory.
	drainMargin = 300 * time.Millisecond
	// killMargin is how long before the platform kills the process a relay that is shutting down ends the requests that still
	// run, so that they can be answered before their connections close, and exits by itself.
	killMargin = 300 * time.Millisecond
	// exitMargin is the part of killMargin that remains for the exit after the server for callers has closed.
	exitMargin = 100 * time.Millisecond
	// drainCheckInterval is the time between two checks during a graceful shutdown whether all requests have ended.
	drainCheckInterval = 50 * time.Millisecond
)

// errDrained ends the relay's run group of goroutines after a graceful shutdown.
var errDrained = eris.New("the graceful shutdown is complete")

// errRequestCut is the cause with which the contexts of requests end that outlast a graceful shutdown.
var errRequestCut = eris.New("the graceful shutdown ended before the request")

// drain performs a graceful shutdown. The relay reports itself as draining, accepts requests until callers no longer
// use its address from the directory, and exits when the last request has ended.
type drain struct {
	relay *Relay

	mu sync.Mutex
	// startedAt is when the shutdown started; zero before.
	startedAt time.Time
	// inFlight is the number of requests that are being served.
	inFlight int
	// finished is true once the shutdown has ended, because no request was left, by the grace period, or because a part of the
	// relay has failed.
	finished bool
	// runTimes are the times that requests with one message as the response have recently taken.
	runTimes place.RunTimes
	// requests ends, by cutRequests, when the requests that still run must be answered.
	requests    context.Context
	cutRequests context.CancelFunc
}

// setRelay sets the relay that the graceful shutdown ends.
func (d *drain) setRelay(r *Relay) {
	d.relay = r
	d.requests, d.cutRequests = context.WithCancel(context.Background())
}

// requestContext returns a context for a request that also ends, with errRequestCut as its cause, when the request must be
// answered because the relay exits.
func (d *drain) requestContext(parent context.Context) (ctx context.Context, cancel context.CancelCauseFunc) {
	ctx, end := context.WithCancelCause(parent)
	stop := context.AfterFunc(d.requests, func() { end(errRequestCut) })
	return ctx, func(cause error) { stop(); end(cause) }
}

// requestStarted counts a caller's request that is being served.
func (d *drain) requestStarted() {
	d.mu.Lock()
	d.inFlight++
	d.mu.Unlock()
}

// requestEnded counts the end of a caller's request.
func (d *drain) requestEnded() {
	d.mu.Lock()
	d.inFlight--
	d.mu.Unlock()
}

// inFlightCount returns the number of requests that are being served.
func (d *drain) inFlightCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// answerTime returns the time for which the server for callers must answer requests before it closes. Requests that arrive
// after that are refused at once, and those that still run are answered. If the shutdown has not ended, a part of the relay has
// failed, and the requests may still end within the answer time.
func (d *drain) answerTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	timeout := serve.ShutdownTimeout
	if !d.startedAt.IsZero() {
		timeout = min(timeout, d.relay.StopGrace-exitMargin-d.relay.Clock.Now().Sub(d.startedAt))
	}
	if d.finished {
		return timeout
	}
	d.finished = true
	d.relay.Log.Error("drain-skipped", zap.Int("running", d.inFlight))
	return serve.EndRequests(timeout, d.cutRequests)()
}

// hasStarted reports whether the relay's graceful shutdown has started, or was skipped because a part of the relay has failed.
func (d *drain) hasStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.finished || !d.startedAt.IsZero()
}

// acceptWindow returns the time after the stop signal in which a relay still accepts new requests.
func (d *drain) acceptWindow() time.Duration {
	return min(addressTTLs*d.relay.AddressTTL+drainMargin, d.relay.StopGrace/2)
}

// refusesNewRequest reports whether a relay that is shutting down refuses a new request. Streams are refused as soon
// as the shutdown starts: one lasts about as long as the whole shutdown and would be cut off, and its caller can start
// it at another relay at once.
func (d *drain) refusesNewRequest(stream bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.finished || !d.startedAt.IsZero() && (stream || d.relay.Clock.Now().Sub(d.startedAt) > d.acceptWindow())
}

// recordRunTime records how long a request ran that has ended.
func (d *drain) recordRunTime(k place.RunTimeKey, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runTimes.Record(k, took, d.relay.Clock.Now())
}

// leavesTime reports whether a request that would be sent to an endpoint now may be expected to end before the shutdown does.
func (d *drain) leavesTime(k place.RunTimeKey, kind state.RouteKind, deadline time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startedAt.IsZero() {
		return true
	}
	now := d.relay.Clock.Now()
	left := d.startedAt.Add(d.relay.StopGrace - killMargin).Sub(now)
	return d.runTimes.Estimate(k, kind == state.Safe, deadline.Sub(now), now) <= left
}

// run waits until stop ends with the stop signal, and then until the last caller's request has ended or the platform is about
// to kill the process. It returns early when ctx ends because a part of the relay has failed.
func (d *drain) run(ctx, stop context.Context) error {
	select {
	case <-stop.Done():
	case <-ctx.Done():
		return fmt.Errorf("wait for the stop signal: %w", ctx.Err())
	}
	d.mu.Lock()
	d.startedAt = d.relay.Clock.Now()
	inFlight := d.inFlight
	d.mu.Unlock()
	d.relay.Log.Info("drain-started", zap.Int("running", inFlight))
	d.relay.feed.sendReport()
	for serve.Sleep(ctx, drainCheckInterval) {
		elapsed := d.relay.Clock.Now().Sub(d.startedAt)
		if elapsed > d.acceptWindow() && d.inFlightCount() == 0 && d.relay.carried.Open() == 0 || elapsed > d.relay.StopGrace-killMargin {
			break
		}
	}
	d.mu.Lock()
	running := d.inFlight
	d.finished = true
	d.mu.Unlock()
	d.cutRequests()
	d.relay.Log.Info("drain-finished", zap.Int("running", running),
		zap.Duration("took", d.relay.Clock.Now().Sub(d.startedAt)))
	return errDrained
}

// runTimeKey returns the key under which the request's run time is kept.
func (q *request) runTimeKey() place.RunTimeKey {
	return place.RunTimeKey{Route: q.route.Name, Service: q.service}
}

// recordRunTime records how long the request ran, if it may have run.
func (q *request) recordRunTime() {
	if q.mayHaveRun {
		q.relay.drain.recordRunTime(q.runTimeKey(), q.relay.Clock.Now().Sub(q.startedAt)-q.timeToFirstSend)
	}
}

// endsBeforeRelay reports whether the request may be sent to an endpoint, since it may be expected to end before a planned stop of
// the relay does. Streams are refused as soon as the stop starts.
func (q *request) endsBeforeRelay() bool {
	return q.route.Kind == state.Stream || q.relay.drain.leavesTime(q.runTimeKey(), q.route.Kind, q.deadline)
}

// isCut reports whether the request has ended because the relay exits.
func (q *request) isCut() bool { return errors.Is(context.Cause(q.ctx), errRequestCut) }

// isAbandoned reports whether the request has ended for a reason that says nothing about its endpoint: its caller has disconnected, or
// the relay exits.
func (q *request) isAbandoned() bool { return q.hasCallerDisconnected() || q.isCut() }

// countCut counts and logs a request that ends because the relay exits; outcome is what its caller gets.
func (q *request) countCut(outcome string) {
	q.relay.meter.countReason("requests-cut", "stop")
	q.log.Warn("request-cut", zap.String("reason", "stop"), zap.String("outcome", outcome), zap.String("route", q.route.Name),
		zap.Duration("after", q.relay.Clock.Now().Sub(q.startedAt)), zap.Int("attempts", q.attempts), zap.Bool("may-have-run", q.mayHaveRun))
}

// answerCut answers a request whose response has not begun when the relay exits.
func (q *request) answerCut() {
	q.w.Header().Set("Connection", "close")
	if q.mayHaveRun {
		q.countCut("unknown")
		q.sendRefusal(http.StatusBadGateway, common.ReasonDraining, 0)
		return
	}
	q.countCut("not-run")
	q.sendRefusal(http.StatusServiceUnavailable, common.ReasonDraining, retryElsewhere)
}
