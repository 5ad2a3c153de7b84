package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/reach"
	"wasabiweir/core/state"
	"wasabiweir/io/serve"
)

const (
	// callerHeaderTimeout and callerIdleTimeout are the limits for the header of a caller's request and for idle
	// connections of callers before a configuration is known.
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 60 * time.Second
	// maxBufferedBody is the size in bytes up to which a request body is buffered, so that it can be sent again in a
	// retry.
	maxBufferedBody = 128 << 10
	// retrySoon is the Retry-After time of a request that the relay refused before it tried any endpoint.
	retrySoon = 200 * time.Millisecond
	// retryElsewhere is the Retry-After time of a request that another relay would accept at once.
	retryElsewhere = 20 * time.Millisecond
	// retryAfterCrash is the Retry-After time if no endpoint of the service accepts requests: crashed ones restart
	// within about a second.
	retryAfterCrash = 700 * time.Millisecond
	// writeGrace is the time after the request's deadline within which the caller must have taken the response. It covers
	// the relay's own response to a request that has reached its deadline.
	writeGrace = 300 * time.Millisecond
)

// request is the state of one caller's request while it is being served.
type request struct {
	relay *Relay
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	// cancel ends ctx with a cause.
	cancel context.CancelCauseFunc
	log    *zap.Logger

	// id is the request id that the caller sent.
	id string
	// index is the configuration state that applies to the request.
	index   *state.ConfigIndex
	route   *state.Route
	service string
	// account is the name of the client account; empty if the request has none.
	account string
	// startedAt is when the request arrived; deadline is the earlier of the caller's deadline and the route's timeout.
	startedAt time.Time
	deadline  time.Time

	// header is the request header for endpoints, before attempt-specific headers are added.
	header http.Header
	// body is the whole body if it was buffered; otherwise bodyReader supplies it.
	body          []byte
	bodyReader    io.Reader
	contentLength int64
	// bufferBytes is the memory that the request has taken from the relay's budget for large buffers.
	bufferBytes int64
	// bodyStreamed is true once the relay has started to send an unbuffered body, after which no other endpoint can get
	// it whole.
	bodyStreamed bool

	// parts are the ids of the parts of the prompt, if the request goes to model engines. The last one belongs to the request
	// itself.
	parts []string
	// fingerprint stands for a request without prompt parts; it is empty until crashParts computes it.
	fingerprint string
	// isTrial is true if the request may be sent once although a part of it is in quarantine.
	isTrial bool
	// hasPaidRetry is true if the retry budget has paid for an extra attempt that was not needed then.
	hasPaidRetry atomic.Bool
	// tried holds the ids of the endpoints that may have run the request or refused it.
	tried map[string]bool
	// reserved is the endpoint that was chosen for the next attempt before the last one was given up; nil if none was.
	reserved *place.Endpoint
	// silentSince is when the request began to wait for endpoints that are silent; zero if it did not.
	silentSince time.Time
	// carrier is the peer address of the relay or keeper that passes on the connection of the current attempt; empty if none does.
	carrier string
	// cutOffSince is when the latest attempts began to fail because the relay is cut off from the endpoints; zero if the last one did not.
	cutOffSince time.Time
	// unreached holds the ids of the endpoints that these attempts did not reach.
	unreached []string
	// sentOnKept is true if the current attempt was sent on a connection that was kept from another request, and avoidsKept once one that
	// was has got no response: what made the connection silent may have done so to others.
	sentOnKept, avoidsKept bool
	// sentAt is when the current attempt was sent.
	sentAt time.Time
	// timeToFirstSend is the time from arrival to the first attempt.
	timeToFirstSend time.Duration
	// attempts counts the attempts in which the request may have run.
	attempts int
	// mayHaveRun is true if an endpoint may have run the request, so that the caller must not be told that it did not
	// run.
	mayHaveRun bool
}

// isCutOff reports whether the latest attempt failed because the relay is cut off from the endpoints.
func (q *request) isCutOff() bool { return !q.cutOffSince.IsZero() }

// recordCutOff records whether an attempt has failed because the relay is cut off, which says nothing about the endpoint.
func (q *request) recordCutOff(e place.Endpoint, result attemptResult) {
	if !result.isCutOff() {
		q.cutOffSince, q.unreached = time.Time{}, nil
		return
	}
	q.unreached = append(q.unreached, e.ID)
	if q.cutOffSince.IsZero() {
		q.cutOffSince = q.relay.Clock.Now()
	}
}

// awaitCarrier waits before the next attempt while the relay is cut off and nobody can carry the connection, and allows the endpoints that
// were not reached again. It returns false if that takes too long, and at once for a request that another relay can serve as well.
func (q *request) awaitCarrier() bool {
	if !q.isCutOff() || !reach.ShouldAwaitCarrier(q.mayHaveRun, q.relay.Clock.Now().Sub(q.cutOffSince)) {
		return false
	}
	for _, id := range q.unreached {
		delete(q.tried, id)
	}
	q.unreached = nil
	return q.sleep(resumeRetryInterval)
}

// ServeHTTP forwards a request or refuses it.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	q := &request{
		relay: r, w: w, r: req, ctx: req.Context(), startedAt: r.Clock.Now(), id: req.Header.Get(r.Names.RequestID),
		tried: map[string]bool{},
	}
	q.log = r.Log.With(zap.String("request", q.id))
	q.ctx, q.cancel = r.drain.requestContext(q.ctx)
	defer q.cancel(nil)
	r.drain.requestStarted()
	defer r.drain.requestEnded()
	defer q.giveBuffers()
	defer r.callers.reportClosedInUse(q)
	if r.drain.hasStarted() {
		w.Header().Set("Connection", "close")
	}
	if !q.admitRequest() {
		return
	}
	r.meter.requests[q.route.Kind].Inc(1)
	r.countRequest(q.service)
	ctx, cancelDeadline := context.WithDeadline(q.ctx, q.deadline)
	defer cancelDeadline()
	q.ctx = ctx
	q.parts = q.promptParts()
	if q.route.Kind == state.Stream {
		q.serveStream()
		return
	}
	q.servePlain()
}

// promptParts returns the ids of the parts of the request's prompt, or none if it goes to a plain service.
func (q *request) promptParts() []string {
	service := q.index.Service(q.service)
	if q.route.Kind != state.Stream && (service == nil || service.Model == nil) {
		return nil
	}
	return q.relay.Names.ParsePromptParts(q.r.Header.Get(q.relay.Names.PromptParts))
}

// admitRequest finds the route and the client account of a request and reads its body. It refuses the request and
// returns false if any of that fails.
func (q *request) admitRequest() bool {
	if q.relay.drain.refusesNewRequest(false) {
		q.sendRefusal(http.StatusServiceUnavailable, common.ReasonDraining, retrySoon)
		return false
	}
	q.relay.feed.awaitInitialState(q.ctx)
	q.index = q.relay.index.Load()
	if q.index == nil {
		q.sendRefusal(http.StatusServiceUnavailable, common.ReasonNoConfiguration, retrySoon)
		return false
	}
	limits := q.index.State.Limits
	if headerSize(q.r) > limits.HeaderBytes {
		q.sendRefusal(http.StatusRequestHeaderFieldsTooLarge, common.ReasonBadRequest, 0)
		return false
	}
	if q.r.ContentLength > limits.BodyBytes {
		q.sendRefusal(http.StatusRequestEntityTooLarge, common.ReasonBodyTooLarge, 0)
		return false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	if q.route = q.index.Route(q.r.Host, path); q.route == nil {
		q.sendRefusal(http.StatusNotFound, common.ReasonUnknownService, 0)
		return false
	}
	if q.relay.drain.refusesNewRequest(q.route.Kind == state.Stream) {
		q.sendRefusal(http.StatusServiceUnavailable, common.ReasonDraining, retryElsewhere)
		return false
	}
	key := q.r.Header.Get(q.relay.Names.Key)
	if q.index.NeedsKey(q.route) {
		a := q.index.Account(key)
		if a == nil {
			q.sendRefusal(http.StatusUnauthorized, common.ReasonUnknownAccount, 0)
			return false
		}
		q.account = a.Name
	} else if a := q.index.Account(key); a != nil {
		q.account = a.Name
	}
	q.service = q.route.PickService(rand.Float64())
	q.deadline = q.startedAt.Add(q.route.Timeout)
	if remaining, err := strconv.ParseFloat(q.r.Header.Get(q.relay.Names.Deadline), 64); err == nil && remaining >= 0 {
		if d := q.startedAt.Add(time.Duration(remaining * float64(time.Millisecond))); d.Before(q.deadline) {
			q.deadline = d
		}
	}
	if !q.endsBeforeRelay() {
		q.sendRefusal(http.StatusServiceUnavailable, common.ReasonDraining, retryElsewhere)
		return false
	}
	q.header = q.relay.forwardedHeaders(q.r.Header)
	if q.account != "" {
		q.header.Set(q.relay.Names.Account, q.account)
	}
	return q.readBody(limits.BodyBytes)
}

// readBody buffers a small request body, so that it can be sent again, and leaves a large one to be streamed to the
// endpoint. It returns false if the body is over the limit in bytes.
func (q *request) readBody(limit int64) bool {
	q.contentLength = q.r.ContentLength
	if q.r.Body == http.NoBody {
		// net/http reads on to notice that the caller leaves; a deadline that passes would look like that.
		return true
	}
	body := http.MaxBytesReader(q.w, q.r.Body, limit)
	if q.contentLength > maxBufferedBody {
		q.bodyReader = body
		return true
	}
	data, complete, err := q.readUntilDeadline(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.sendRefusal(http.StatusRequestEntityTooLarge, common.ReasonBodyTooLarge, 0)
		return false
	case err != nil && q.isCut():
		q.answerCut()
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.sendRefusal(http.StatusRequestTimeout, common.ReasonDeadline, 0)
		return false
	case err != nil:
		q.log.Info("request-body-not-read", zap.Error(err))
		q.relay.meter.countReason("callers-gone", "body")
		panic(http.ErrAbortHandler)
	}
	if !complete {
		q.bodyReader = io.MultiReader(bytes.NewReader(data), body)
		return true
	}
	q.body, q.contentLength = data, int64(len(data))
	return true
}

// readUntilDeadline reads up to maxBufferedBody of the caller's request body, and reports whether that is all of it. It
// fails with os.ErrDeadlineExceeded if the request's deadline passes first.
func (q *request) readUntilDeadline(body io.Reader) (data []byte, complete bool, err error) {
	rc := http.NewResponseController(q.w)
	if err := rc.SetReadDeadline(q.deadline); err != nil {
		return nil, false, fmt.Errorf("bound the time for the body: %w", err)
	}
	stop := context.AfterFunc(q.ctx, func() { _ = rc.SetReadDeadline(time.Now()) })
	data, complete, err = q.readBuffered(body, maxBufferedBody)
	if stop(); err != nil {
		return nil, false, err
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, false, fmt.Errorf("lift the bound on the time for the body: %w", err)
	}
	return data, complete, nil
}

// buildOutgoing returns the request as it is sent to an endpoint, with the remaining time until the deadline in a
// header.
func (q *request) buildOutgoing(e place.Endpoint, now time.Time) *outgoingRequest {
	if q.timeToFirstSend == 0 {
		q.timeToFirstSend = now.Sub(q.startedAt)
	}
	h := q.header.Clone()
	h.Set(q.relay.Names.ExpectedEndpoint, e.ID)
	h.Set(q.relay.Names.Deadline, strconv.FormatInt(max(1, q.deadline.Sub(now).Milliseconds()), 10))
	return &outgoingRequest{
		method: q.r.Method, requestURI: q.r.RequestURI, host: q.r.Host, header: h,
		body: q.body, bodyReader: q.bodyReader, contentLength: q.contentLength,
	}
}

// carrierField returns the log field that names the carrier of the current attempt, if it has one.
func (q *request) carrierField() zap.Field {
	if q.carrier == "" {
		return zap.Skip()
	}
	return zap.String("carrier", q.carrier)
}

// refusalContentType is the content type of the relay's own response to a refused request, whose body is the reason.
const refusalContentType = "text/plain; charset=utf-8"

// sendRefusal answers a caller's request with a response of the relay itself. Status 429 or 503 guarantees that the
// request did not run. A positive retryAfter is sent as Retry-After.
func (q *request) sendRefusal(status int, reason common.Reason, retryAfter time.Duration) {
	q.relay.meter.countReason("refusals", string(reason))
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	q.log.Info("request-refused", zap.Int("status", status), zap.String("reason", string(reason)), zap.String("route", route),
		zap.String("service", q.service), zap.Int("attempts", q.attempts), zap.Bool("may-have-run", q.mayHaveRun),
		zap.Duration("after", q.relay.Clock.Now().Sub(q.startedAt)), zap.Duration("retry-after", retryAfter))
	h := q.w.Header()
	h.Set("Content-Type", refusalContentType)
	if q.id != "" {
		h.Set(q.relay.Names.RequestID, q.id)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	q.limitWriting()
	text := string(reason) + "\n"
	// With a length, the response is complete for a caller that still sends its body.
	h.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, text)
}

// limitWriting bounds the time for writing the response, so that a caller that does not read holds neither its handler nor
// the endpoint's connection. The bound begins when the response does: a relay that was paused still answers.
func (q *request) limitWriting() {
	left := max(0, q.deadline.Sub(q.relay.Clock.Now())) + writeGrace
	if err := serve.LimitWriting(q.w, left); err != nil {
		q.log.Warn("writing-not-limited", zap.Error(err))
	}
}

// hasCallerLeft reports whether the caller has disconnected before its deadline. After it, the end of the request's context
// shows nothing: the bound on the time for the body can look like a disconnection to net/http, and the caller still waits.
func (q *request) hasCallerLeft() bool {
	return q.hasCallerDisconnected() && q.relay.Clock.Now().Before(q.deadline)
}

// errCallerDisconnected is the cause with which a request ends whose caller has closed its connection in the middle of the body.
var errCallerDisconnected = errors.New("the caller has closed its connection")

// endIfCallerLeft ends the request if its caller has closed the connection nc, and reports whether it has.
func (q *request) endIfCallerLeft(nc net.Conn) bool {
	if !serve.HasPeerClosed(nc) {
		return false
	}
	q.cancel(errCallerDisconnected)
	return true
}

// hasCallerDisconnected reports whether the caller has closed its connection, or the server has ended the request.
func (q *request) hasCallerDisconnected() bool {
	return q.r.Context().Err() != nil || errors.Is(context.Cause(q.ctx), errCallerDisconnected)
}

// failRequest ends a request for which no further attempt is possible. The status depends on whether the request may
// have run.
func (q *request) failRequest(reason common.Reason, retryAfter time.Duration) {
	switch {
	case q.isCut():
		q.answerCut()
	case q.hasCallerLeft():
		q.log.Info("caller-disconnected", zap.Duration("after", q.relay.Clock.Now().Sub(q.startedAt)),
			zap.Int("attempts", q.attempts))
		q.relay.meter.countReason("callers-gone", "waiting")
		panic(http.ErrAbortHandler)
	case !q.mayHaveRun:
		q.sendRefusal(http.StatusServiceUnavailable, reason, retryAfter)
	case q.ctx.Err() != nil:
		q.sendRefusal(http.StatusGatewayTimeout, common.ReasonDeadline, 0)
	default:
		q.sendRefusal(http.StatusBadGateway, reason, 0)
	}
}
