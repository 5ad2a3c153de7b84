package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/state"
)

const (
	// callerHeaderTimeout and callerIdleTimeout bound callers until a configuration says less.
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 60 * time.Second
	// collectBytes is the size up to which a body is collected, so that the request can be sent a second time.
	collectBytes = 128 << 10
	// soon is when a caller should come back that was refused before any endpoint was tried.
	soon = 200 * time.Millisecond
	// elsewhere is when a caller should come back that another relay would serve now.
	elsewhere = 20 * time.Millisecond
	// afterCrash is when a caller should come back if no endpoint of the service takes requests: crashed ones restart in
	// about a second.
	afterCrash = 700 * time.Millisecond
)

// request is one request of a caller on its way.
type request struct {
	relay *Relay
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	log   *zap.Logger

	id      string
	index   *state.Index
	route   *state.Route
	service string
	account string
	// began is when the request arrived, and deadline when its caller, or its route, gives up.
	began    time.Time
	deadline time.Time

	header http.Header
	body   []byte
	stream io.Reader
	length int64
	// uploaded says that the body which was not collected was sent, so that no other endpoint can get it whole.
	uploaded bool

	// tried are the endpoints that may have run the request or refused it, by id.
	tried map[string]bool
	// waited is the time to the first send.
	waited time.Duration
	// sends counts the sends after which the request may have run.
	sends int
	// ran says that an endpoint may have run the request, so that no answer may say that it has not.
	ran bool
}

// ServeHTTP forwards a request or refuses it.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	q := &request{
		relay: r, w: w, r: req, ctx: req.Context(), began: r.Clock.Now(), id: req.Header.Get(r.Names.RequestID),
		tried: map[string]bool{},
	}
	q.log = r.Log.With(zap.String("request", q.id))
	r.callers.arrived(req.Context())
	r.drain.enter()
	defer r.drain.leave()
	if r.drain.begun() {
		w.Header().Set("Connection", "close")
	}
	if !q.admit() {
		return
	}
	r.meter.requests[q.route.Kind].Inc(1)
	r.arrived(q.service)
	ctx, cancel := context.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	q.ctx = ctx
	if q.route.Kind == state.Stream {
		q.serveStream()
		return
	}
	q.servePlain()
}

// admit finds the route and the client account, or refuses the request.
func (q *request) admit() bool {
	if q.relay.drain.refuses(false) {
		q.refuse(http.StatusServiceUnavailable, common.ReasonDraining, soon)
		return false
	}
	q.relay.feed.awaitStart(q.ctx)
	q.index = q.relay.index.Load()
	if q.index == nil {
		q.refuse(http.StatusServiceUnavailable, common.ReasonNoConfiguration, soon)
		return false
	}
	limits := q.index.State.Limits
	if headerBytes(q.r) > limits.HeaderBytes {
		q.refuse(http.StatusRequestHeaderFieldsTooLarge, common.ReasonBadRequest, 0)
		return false
	}
	if q.r.ContentLength > limits.BodyBytes {
		q.refuseBody(limits.BodyBytes)
		return false
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	if q.route = q.index.Route(q.r.Host, path); q.route == nil {
		q.refuse(http.StatusNotFound, common.ReasonUnknownService, 0)
		return false
	}
	if q.relay.drain.refuses(q.route.Kind == state.Stream) {
		q.refuse(http.StatusServiceUnavailable, common.ReasonDraining, elsewhere)
		return false
	}
	key := q.r.Header.Get(q.relay.Names.Key)
	if q.index.NeedsKey(q.route) {
		a := q.index.Account(key)
		if a == nil {
			q.refuse(http.StatusUnauthorized, common.ReasonUnknownAccount, 0)
			return false
		}
		q.account = a.Name
	} else if a := q.index.Account(key); a != nil {
		q.account = a.Name
	}
	q.service = q.route.Pick(rand.Float64())
	q.deadline = q.began.Add(q.route.Timeout)
	if left, err := strconv.ParseFloat(q.r.Header.Get(q.relay.Names.Deadline), 64); err == nil && left >= 0 {
		if d := q.began.Add(time.Duration(left * float64(time.Millisecond))); d.Before(q.deadline) {
			q.deadline = d
		}
	}
	q.header = q.relay.forwarded(q.r.Header)
	if q.account != "" {
		q.header.Set(q.relay.Names.Account, q.account)
	}
	return q.collect(limits.BodyBytes)
}

// collect reads a small body whole, so that it can be sent again, and leaves a large one to be forwarded as it comes.
func (q *request) collect(limit int64) bool {
	q.length = q.r.ContentLength
	body := http.MaxBytesReader(q.w, q.r.Body, limit)
	if q.length > collectBytes {
		q.stream = body
		return true
	}
	data, err := io.ReadAll(io.LimitReader(body, collectBytes+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		q.refuseBody(limit)
		return false
	}
	if err != nil {
		q.log.Info("request-not-read", zap.Error(err))
		q.relay.meter.count("callers-gone", "body")
		panic(http.ErrAbortHandler)
	}
	if len(data) > collectBytes {
		q.stream = io.MultiReader(strings.NewReader(string(data)), body)
		return true
	}
	q.body, q.length = data, int64(len(data))
	return true
}

// outbound returns the request as it goes to the endpoint now, with the time that is left.
func (q *request) outbound(e place.Endpoint, now time.Time) *outbound {
	if q.waited == 0 {
		q.waited = now.Sub(q.began)
	}
	h := q.header.Clone()
	h.Set(q.relay.Names.Expect, e.ID)
	h.Set(q.relay.Names.Deadline, strconv.FormatInt(max(1, q.deadline.Sub(now).Milliseconds()), 10))
	return &outbound{
		method: q.r.Method, target: q.r.RequestURI, host: q.r.Host, header: h, body: q.body, stream: q.stream, length: q.length,
	}
}

// refusalType is the type of a refusal's body, which names the reason.
const refusalType = "text/plain; charset=utf-8"

// refuse answers for the system itself; 429 and 503 promise that the request has not run. A positive time says when the
// caller should come back.
func (q *request) refuse(status int, reason common.Reason, again time.Duration) {
	q.relay.meter.count("refusals", string(reason))
	route := ""
	if q.route != nil {
		route = q.route.Name
	}
	q.log.Info("request-refused", zap.Int("status", status), zap.String("reason", string(reason)), zap.String("route", route),
		zap.String("service", q.service), zap.Int("sends", q.sends), zap.Bool("may-have-run", q.ran),
		zap.Duration("after", q.relay.Clock.Now().Sub(q.began)), zap.Duration("come-back-in", again))
	h := q.w.Header()
	h.Set("Content-Type", refusalType)
	if q.id != "" {
		h.Set(q.relay.Names.RequestID, q.id)
	}
	if again > 0 {
		h.Set("Retry-After", strconv.FormatFloat(again.Seconds(), 'f', 2, 64))
	}
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, string(reason)+"\n")
}

// refuseBody refuses a body over the limit and takes in as much again, because a connection that is closed with unread
// bytes is reset and the caller may lose the answer.
func (q *request) refuseBody(limit int64) {
	q.w.Header().Set("Connection", "close")
	q.refuse(http.StatusRequestEntityTooLarge, common.ReasonBodyTooLarge, 0)
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, q.r.Body, limit); err != nil && !errors.Is(err, io.EOF) {
		q.log.Debug("refused-body-not-read", zap.Error(err))
	}
}

// fail ends a request for which nothing more can be tried.
func (q *request) fail(reason common.Reason, again time.Duration) {
	switch {
	case q.r.Context().Err() != nil:
		q.log.Info("caller-gone", zap.Duration("after", q.relay.Clock.Now().Sub(q.began)), zap.Int("sends", q.sends))
		q.relay.meter.count("callers-gone", "waiting")
		panic(http.ErrAbortHandler)
	case !q.ran:
		q.refuse(http.StatusServiceUnavailable, reason, again)
	case q.ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, common.ReasonDeadline, 0)
	default:
		q.refuse(http.StatusBadGateway, reason, 0)
	}
}
