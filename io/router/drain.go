package router

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/io/serve"
)

const (
	// drainPropagation is the time until every other router knows through the control process that this router drains:
	// two report intervals of 500 ms and a margin. Until then, the other routers still return this router's address to
	// callers, who may keep it for AddressTTL from there on.
	drainPropagation = 1500 * time.Millisecond
	// abortTimeout bounds the time for which a router that stops before its drain is complete answers the requests in progress.
	abortTimeout = 500 * time.Millisecond
)

// errDrained makes Router.Run return after a completed drain.
var errDrained = eris.New("drained")

// Drain begins a graceful shutdown: the router is no longer listed for callers, still serves those that have its
// address, and Run returns after the last request has ended.
func (r *Router) Drain() {
	r.drainStart.CompareAndSwap(0, r.Clock.Now().UnixNano())
	if r.draining.Swap(true) {
		return
	}
	r.Log.Info("drain-started", zap.Int("in-flight", r.dispatcher.jobCount()))
	r.feed.requestReport()
}

// InFlight returns the work that an immediate stop would interrupt: the number of generations and of other requests in
// flight.
func (r *Router) InFlight() (generations, requests int) {
	generations = r.sessions.sessionCount()
	return generations, max(0, int(r.openRequests.Load())-generations) + int(r.calls.unrecorded.Load())
}

// addressInUse reports whether callers may still hold this router's address from an earlier addresses response.
func (r *Router) addressInUse() bool {
	if !r.draining.Load() {
		return true
	}
	since := r.Clock.Now().Sub(time.Unix(0, r.drainStart.Load()))
	return since < r.AddressTTL+drainPropagation
}

// drained reports whether this router's drain is complete: callers no longer hold its address, no request is in
// flight, the call ledger has recorded the outcome of every sent call, also where the caller has disconnected, and the
// connections of other routers have ended or have had carryTimeout to do so.
func (r *Router) drained() bool {
	return !r.addressInUse() && r.sessions.sessionCount() == 0 && r.openRequests.Load() == 0 && r.calls.unrecorded.Load() == 0 && !r.mustCarryOn()
}

// answerTime returns the time for which the server for callers must answer requests before it closes. Requests that arrive
// after that are refused at once. If the drain is not complete, the requests in progress end, and are answered with an error.
func (r *Router) answerTime() time.Duration {
	if r.drainComplete.Load() || r.drained() {
		return serve.ShutdownTimeout
	}
	r.abort()
	return abortTimeout
}

// initRequests returns the context of the router's work, which ends with the parent or as soon as the router stops before its
// drain is complete.
func (r *Router) initRequests(parent context.Context) context.Context {
	r.ctx, r.abort = context.WithCancel(parent)
	return r.ctx
}

// requestContext returns a context for a caller's request that also ends when the router stops before its drain is complete.
// The output of a generation is read without it, since the generation itself ends then and tells its readers why.
func (r *Router) requestContext(req *http.Request) (ctx context.Context, cancel func()) {
	ctx, end := context.WithCancel(req.Context())
	stop := context.AfterFunc(r.ctx, end)
	return ctx, func() { stop(); end() }
}

// stopRefusal replaces the refusal of a request that has ended because the router stops; others it returns as they are.
func (r *Router) stopRefusal(req *http.Request, err error) error {
	if err == nil || r.ctx.Err() == nil || req.Context().Err() != nil {
		return err
	}
	f := *common.AsRefusal(err)
	if f.Outcome == common.OutcomeDone || f.Outcome == common.OutcomeRan {
		return err
	}
	f.Reason, f.Message, f.Address = common.ReasonDraining, "the router stopped", r.otherRouterAddress()
	return &f
}

// drainRefusal returns the refusal for new requests once a draining router's address has expired at callers or the router
// stops, and nil before.
func (r *Router) drainRefusal() *common.Refusal {
	if r.addressInUse() && r.ctx.Err() == nil {
		return nil
	}
	f := common.NewNotRunRefusal(common.ReasonDraining, "", "this router is leaving")
	f.Address = r.otherRouterAddress()
	f.RetryAfter = time.Second
	return f
}

// closeConnOnDrain closes the caller's connection after the response during a drain, so that no further request
// arrives on a connection that the exit of the process would break.
func (r *Router) closeConnOnDrain(w http.ResponseWriter) {
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}
