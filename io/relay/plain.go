package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/core/state"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is buffered, so that the request can be retried
	// if the response is cut off.
	maxBufferedResponse = 128 << 10
	// maxForwardedResponse bounds the size in bytes of a response that is forwarded while it arrives.
	maxForwardedResponse = 1 << 30
	// refusalBackoff is the pause before a request that an endpoint refused is sent to another; it doubles with each
	// refusal.
	refusalBackoff = 5 * time.Millisecond
	// maxRefusals is the number of refusals by endpoints after which the relay gives a request up.
	maxRefusals = 6
	// fullEndpointPause is how long an endpoint that reported itself as full gets no requests.
	fullEndpointPause = 100 * time.Millisecond
)

// attemptOutcome states whether an attempt ran the request, as far as the relay can know.
type attemptOutcome int

const (
	// completed means that the endpoint's response is complete.
	completed attemptOutcome = iota
	// notExecuted means that the request certainly did not run at the endpoint.
	notExecuted
	// outcomeUnknown means that there is no complete response and the request may have run.
	outcomeUnknown
)

// attemptResult is the result of one attempt to run a request at an endpoint.
type attemptResult struct {
	outcome attemptOutcome
	// cause is why the endpoint has sent no complete response.
	cause common.Reason
	err   error
	res   *http.Response
	body  []byte
	// unreadConn is the connection with the rest of a large response; nil if body holds all of it.
	unreadConn *endpointConn
	// run is how far the endpoint got with a stream.
	run runProgress
	// mayHaveHung is true if nothing arrived and that may come from a cut between the relay and the endpoint.
	mayHaveHung bool
	// retrySpent is true if the next attempt was taken from the retry budget before this one was given up.
	retrySpent bool
}

// isCutOff reports whether the attempt has failed because this relay is cut off from the endpoints, which shows nothing about its endpoint.
func (r *attemptResult) isCutOff() bool { return errors.Is(r.err, tunnel.ErrCutOff) }

// hasNoCarrier reports whether that is so and attempts at other endpoints would fail too.
func (r *attemptResult) hasNoCarrier() bool { return errors.Is(r.err, tunnel.ErrNoCarrier) }

// runProgress is how far an endpoint got with a stream in one attempt.
type runProgress struct {
	poison.Loss
	// events is the number of events that arrived.
	events int64
}

// servePlain forwards a request whose response is one complete message, not a stream, and retries it at other
// endpoints.
func (q *request) servePlain() {
	defer q.recordRunTime()
	defer q.releaseReserved()
	refusals := 0
	for {
		if reason, retryAfter := q.reasonToEnd(); reason != "" {
			q.failRequest(reason, retryAfter)
			return
		}
		e, ok := q.chooseEndpoint()
		if !ok && (q.awaitTurn() || q.awaitSilent() || q.awaitCarrier()) {
			continue
		}
		if !ok {
			q.failWithoutEndpoint(q.plainRequirements())
			return
		}
		result := q.sendAndReceive(e)
		q.recordResult(e, result)
		q.recordPlainOutcome(e, result)
		if reason, retryAfter := q.finalReason(result); reason != "" {
			q.failRequest(reason, retryAfter)
			return
		}
		switch {
		case result.outcome == completed && !q.isRetryableFailure(result):
			q.writeResponse(e, result)
			return
		case result.hasNoCarrier():
			if !q.awaitCarrier() {
				q.failRequest(common.ReasonCutOff, retryElsewhere)
				return
			}
		case result.cause == common.RetryConnect && result.outcome == notExecuted:
			// Nothing has reached an endpoint, so the next attempt does not count against the retry budget.
		case result.cause == common.RetryLeaving && q.mayRetryAfter(result):
		case result.outcome == notExecuted:
			refusals++
			if refusals > maxRefusals || !q.sleep(refusalBackoff<<refusals) || !q.mayRetryAfter(result) {
				q.failRequest(common.ReasonOverloaded, retrySoon)
				return
			}
		case !q.canRetry() || !q.mayRetryAfter(result):
			if result.outcome == completed {
				q.writeResponse(e, result)
				return
			}
			q.failRequest(common.ReasonEndpointFailed, 0)
			return
		}
		if result.unreadConn != nil {
			_ = result.unreadConn.Close()
		}
		q.relay.meter.countReason("retries", string(result.cause))
	}
}

// reasonToEnd returns why no attempt may begin, wherever it would be sent, or an empty reason.
func (q *request) reasonToEnd() (reason common.Reason, retryAfter time.Duration) {
	switch {
	case !q.endsBeforeRelay():
		return common.ReasonDraining, retryElsewhere
	case !q.passesQuarantine():
		return common.ReasonCrashesEngines, q.quarantineRetryAfter()
	}
	return "", 0
}

// mayRetryAfter reports whether the retry budget pays for another attempt after one that has failed; it may have been asked before.
func (q *request) mayRetryAfter(result attemptResult) bool {
	return result.retrySpent || q.spendRetry(place.AfterRefusal)
}

// finalReason returns why no attempt may follow one that has failed, whatever the retry budget has left, or an empty reason.
func (q *request) finalReason(result attemptResult) (reason common.Reason, retryAfter time.Duration) {
	switch {
	case result.outcome == outcomeUnknown && !q.relay.crashes.MayRetry(q.id):
		return common.ReasonCrashesEngines, 0
	case result.outcome == notExecuted && q.bodyStreamed:
		return common.ReasonOverloaded, retrySoon
	}
	return "", 0
}

// chooseEndpoint picks an endpoint that was not tried for this request yet; it returns false if there is none.
func (q *request) chooseEndpoint() (e place.Endpoint, ok bool) {
	if q.ctx.Err() != nil {
		return e, false
	}
	if e, ok = q.takeReserved(); ok {
		return e, true
	}
	q.relay.withTable(func(t *place.EndpointTable, now time.Time) {
		if e, ok = t.ChooseEndpoint(q.plainRequirements(), now); ok {
			t.RequestStarted(e.ID, false, now)
			q.tried[e.ID] = true
		}
	})
	return e, ok
}

// plainRequirements returns which endpoints are suitable for a request whose response is one message.
func (q *request) plainRequirements() place.EndpointRequirements {
	return place.EndpointRequirements{Service: q.service, Exclude: q.tried}
}

// isRetryableFailure reports whether an endpoint's 5xx response should be followed by a retry at another endpoint.
func (q *request) isRetryableFailure(result attemptResult) bool {
	return result.res.StatusCode >= 500 && q.canRetry()
}

// canRetry reports whether the request may run once more at an endpoint.
func (q *request) canRetry() bool {
	return q.route.Repeatable() && q.bodyReader == nil && q.attempts < max(1, q.route.MaxAttempts) && q.ctx.Err() == nil
}

// sleep waits for the duration d and returns false if the request ends before that.
func (q *request) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-q.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// recordResult updates the table of endpoints and the request's state after an attempt to run the request.
func (q *request) recordResult(e place.Endpoint, result attemptResult) {
	q.tried[e.ID] = true
	if result.outcome != notExecuted {
		q.attempts++
		q.mayHaveRun = true
	}
	q.avoidsKept = q.avoidsKept || q.sentOnKept && result.cause == common.RetrySilent
	isStillCutOff := result.isCutOff() && q.isCutOff()
	q.recordCutOff(e, result)
	abandoned := q.isAbandoned()
	var suspended time.Duration
	q.relay.withTable(func(t *place.EndpointTable, now time.Time) {
		t.RequestEnded(e.ID, now)
		if result.cause == common.RetrySilent || abandoned {
			t.RequestAbandoned(e.ID, q.runsUntil(now), now)
		}
		switch {
		case result.outcome == completed:
			t.RecordSuccess(e.ID)
		case result.cause == common.RetryLeaving:
			t.RecordAddressReuse(e.ID, now)
		case result.cause == common.RetryRefused:
			if t.RecordFull(e.ID, fullEndpointPause, now) {
				q.relay.meter.brittleRejections.Inc(1)
			}
		case result.isCutOff():
			// It shows nothing about the endpoint.
		case !abandoned && result.cause == common.RetryConnect:
			suspended = t.RecordFailure(e.ID, q.route.Kind == state.Stream, now)
		case !abandoned && (result.cause == common.RetryOversized || result.cause == common.RetryForeign):
			suspended = t.RecordFailure(e.ID, false, now)
		case !abandoned && result.cause == common.RetryReset && q.route.Kind != state.Stream:
			suspended = t.RecordFailure(e.ID, false, now)
		}
	})
	if !abandoned && result.cause == common.RetryReset && q.route.Kind == state.Stream {
		// A reset connection can mean that the engine crashed or that just this response was lost, so the engine is
		// probed.
		q.relay.prober.startProbe(e)
	}
	if result.outcome != completed && !isStillCutOff {
		q.log.Info("attempt-failed", zap.String("endpoint", e.ID), zap.String("address", e.Address),
			zap.String("domain", e.Domain), zap.String("cause", string(result.cause)),
			zap.Bool("may-have-run", result.outcome == outcomeUnknown),
			zap.Duration("after", q.relay.Clock.Now().Sub(q.startedAt)),
			zap.Bool("began", result.run.HasBegun()), zap.Duration("lasted", result.run.Lasted()), zap.Int64("events", result.run.events),
			zap.String("parts", q.loggedParts()), zap.Duration("suspended", suspended), q.carrierField(), zap.Error(result.err))
	}
}

// maxLoggedParts bounds the size in bytes of a list of prompt parts in a log line.
const maxLoggedParts = 256

// loggedParts returns the list of the request's prompt parts, cut to maxLoggedParts, or the fingerprint of one that has none.
func (q *request) loggedParts() string {
	if len(q.parts) == 0 {
		return strings.Join(q.crashParts(), "")
	}
	parts := q.header.Get(q.relay.Names.PromptParts)
	return parts[:min(len(parts), maxLoggedParts)]
}

// sendAndReceive makes one attempt to run the request at the endpoint and waits for the response.
func (q *request) sendAndReceive(e place.Endpoint) (result attemptResult) {
	ctx, w := q.watchFailover(e)
	defer func() { w.end(&result) }()
	idle := defaultIdleTimeout
	if !q.route.Repeatable() {
		idle = maxUnsafeIdle
	}
	c, stop, failed := q.sendRequest(ctx, e, idle, func(http.Header) bool { return w.markSent() })
	if failed != nil {
		return *failed
	}
	defer stop()
	result = q.receiveResponse(c)
	switch {
	case result.unreadConn != nil && !q.watchForwarding(c, stop):
		result = attemptResult{outcome: outcomeUnknown, cause: common.RetrySilent, err: context.Cause(ctx)}
	case result.outcome == completed && result.unreadConn == nil:
		if err := q.confirmEnd(ctx, e, c, result.res); err != nil {
			result = attemptResult{outcome: outcomeUnknown, cause: common.RetryReset, err: err}
		}
	}
	if result.outcome != completed {
		c.abort()
		if result.outcome == outcomeUnknown && ctx.Err() != nil {
			result.cause = common.RetrySilent
			result.mayHaveHung = q.relay.pool.dialer.MayHaveHung(c.Conn, q.sentAt)
		}
	}
	return result
}

// watchForwarding replaces the watch over an attempt, which stop ends, by one over the request: the connection with the
// rest of a large response closes at the request's deadline, when its caller leaves, and at the end of the request. It
// returns false if the attempt has ended and the connection is closed already.
func (q *request) watchForwarding(c *endpointConn, stop func() bool) bool {
	use := c.use()
	if !stop() {
		return false
	}
	context.AfterFunc(q.ctx, func() { c.closeUse(use) })
	return true
}

// getConn returns a connection to the endpoint for the next attempt.
func (q *request) getConn(ctx context.Context, e place.Endpoint, idle time.Duration) (*endpointConn, error) {
	if q.avoidsKept {
		return q.relay.pool.dialEndpoint(ctx, e)
	}
	c, err := q.relay.pool.getConn(ctx, e, idle)
	q.sentOnKept = err == nil && !c.idleSince.IsZero()
	return c, err
}

// sendRequest sends the request to the endpoint, with the headers that addHeaders sets if it is not nil, unless that
// returns false because the attempt was given up. The connection is closed when ctx ends unless stop is called before.
// If the request could not be sent, failed is the result.
func (q *request) sendRequest(
	ctx context.Context, e place.Endpoint, idle time.Duration, addHeaders func(http.Header) bool,
) (c *endpointConn, stop func() bool, failed *attemptResult) {
	c, err := q.getConn(ctx, e, idle)
	q.carrier = c.carrier()
	if err != nil {
		return nil, nil, &attemptResult{outcome: notExecuted, cause: common.RetryConnect, err: err}
	}
	if q.relay.isPaused(e.ID) {
		q.relay.pool.returnUnused(c)
		return nil, nil, &attemptResult{outcome: notExecuted, cause: common.RetryRefused, err: errPaused}
	}
	if q.relay.hasLeft(e.ID) {
		// The connection took a while, or this relay is late.
		q.relay.pool.returnUnused(c)
		return nil, nil, &attemptResult{outcome: notExecuted, cause: common.RetryConnect, err: errLeft}
	}
	if q.endIfCallerLeft(serve.ConnOf(q.r.Context())) {
		// A relay that is late may not have come to notice it.
		q.relay.pool.returnUnused(c)
		return nil, nil, &attemptResult{outcome: notExecuted, cause: common.RetryConnect, err: errCallerDisconnected}
	}
	q.sentAt = q.relay.Clock.Now()
	o := q.buildOutgoing(e, q.sentAt)
	if addHeaders != nil && !addHeaders(o.header) {
		q.relay.pool.returnUnused(c)
		return nil, nil, &attemptResult{outcome: notExecuted, cause: common.RetryConnect, err: errLateResponse}
	}
	use := c.use()
	stop = context.AfterFunc(ctx, func() { c.closeUse(use) })
	if sent, err := c.writeRequest(o); err != nil {
		stop()
		_ = c.Close()
		if !sent {
			return nil, nil, &attemptResult{outcome: notExecuted, cause: common.RetryConnect, err: err}
		}
		return nil, nil, &attemptResult{outcome: outcomeUnknown, cause: common.RetryReset, err: err}
	}
	q.startUpload(c, o)
	return c, stop, nil
}

// receiveResponse reads the endpoint's response from the connection and buffers its body up to maxBufferedResponse.
func (q *request) receiveResponse(c *endpointConn) attemptResult {
	res, err := c.readResponse(q.r.Method, q.relay.Names.RequestID, q.id)
	if err != nil {
		return attemptResult{outcome: outcomeUnknown, cause: failureCause(err), err: err}
	}
	q.recordLoad(c.endpoint.ID, res)
	if res.Header.Get(q.relay.Names.NotExecuted) != "" || res.StatusCode == http.StatusMisdirectedRequest {
		cause := common.RetryRefused
		if res.StatusCode == http.StatusMisdirectedRequest {
			cause = common.RetryLeaving
		}
		// The caller closes the connection: a copy of this refusal must not be read in another attempt at the request.
		return attemptResult{outcome: notExecuted, cause: cause}
	}
	if err := q.validateResponse(res); err != nil {
		return attemptResult{outcome: outcomeUnknown, cause: failureCause(err), err: err}
	}
	body, complete, err := q.readBuffered(res.Body, maxBufferedResponse)
	if err != nil {
		return attemptResult{outcome: outcomeUnknown, cause: failureCause(err), err: err}
	}
	if !complete {
		return attemptResult{outcome: completed, res: res, body: body, unreadConn: c}
	}
	q.relay.pool.releaseConn(c, res)
	return attemptResult{outcome: completed, res: res, body: body}
}

// failureCause returns the reason under which an attempt with a read error is counted.
func failureCause(err error) common.Reason {
	if errors.Is(err, serve.ErrOversized) || errors.Is(err, errEventSize) {
		return common.RetryOversized
	}
	if errors.Is(err, errForeign) {
		return common.RetryForeign
	}
	if errors.Is(err, errUnprovenRefusal) {
		return common.RetryRefused
	}
	return common.RetryReset
}

// errInvalidResponse is returned for an endpoint's response without its signature or with a content encoding.
var errInvalidResponse = errors.New("the response lacks the endpoint's signature or has a content encoding")

// errUnprovenRefusal is returned for an endpoint's response whose status tells callers that the request did not run,
// although the endpoint does not state so.
var errUnprovenRefusal = errors.New("the endpoint does not state that the request did not run")

// validateResponse checks that an endpoint's response has its signature header and no content encoding, and that its
// status does not promise more to the caller than the endpoint does.
func (q *request) validateResponse(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("status %d: %w", res.StatusCode, errUnprovenRefusal)
	}
	if res.Header.Get(q.relay.Names.Signature) == "" || res.Header.Get("Content-Encoding") != "" {
		return errInvalidResponse
	}
	return nil
}

// recordLoad stores the load and the limit that an endpoint reports in a response header, and what it announces.
func (q *request) recordLoad(id string, res *http.Response) {
	q.recordLimit(id, res)
	q.recordAnnouncement(id, res)
	if l, ok := q.relay.Names.ParseLoad(res.Header.Get(q.relay.Names.Load)); ok {
		q.relay.withTable(func(t *place.EndpointTable, now time.Time) { t.RecordLoad(id, l, now) })
	}
}

// forwardRest forwards the part of a large response that was not buffered.
func (q *request) forwardRest(res *http.Response) error {
	n, err := io.Copy(q.w, io.LimitReader(res.Body, maxForwardedResponse+1))
	if err != nil {
		return fmt.Errorf("forward the response: %w", err)
	}
	if n > maxForwardedResponse {
		return serve.ErrOversized
	}
	return nil
}

// writeResponse sends an endpoint's complete response to the caller.
func (q *request) writeResponse(e place.Endpoint, result attemptResult) {
	q.limitWriting()
	copyHeader(q.w.Header(), result.res.Header)
	if result.unreadConn == nil {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(result.body)))
	}
	q.w.WriteHeader(result.res.StatusCode)
	_, err := q.w.Write(result.body)
	if result.unreadConn != nil {
		if err == nil {
			err = q.forwardRest(result.res)
		}
		if err == nil {
			err = q.confirmEnd(q.ctx, e, result.unreadConn, result.res)
		}
		_ = result.unreadConn.Close()
		if err != nil {
			q.log.Warn("response-interrupted", zap.String("endpoint", e.ID), zap.Duration("after", q.relay.Clock.Now().Sub(q.startedAt)),
				zap.Bool("deadline", !q.relay.Clock.Now().Before(q.deadline)), zap.Error(err))
			q.resetCaller()
			panic(http.ErrAbortHandler)
		}
	}
	took := q.relay.Clock.Now().Sub(q.startedAt)
	q.relay.meter.firstResponse.RecordDuration(took)
	q.log.Info("request-answered", zap.Int("status", result.res.StatusCode), zap.String("route", q.route.Name),
		zap.String("endpoint", e.ID), zap.Int("attempts", q.attempts),
		zap.Duration("waited", q.timeToFirstSend), zap.Duration("took", took), q.carrierField(), zap.Error(err))
}
