package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/object"
	"wasabiweir/core/reach"
	"wasabiweir/core/route"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

const (
	// idempotencyKeyHeader is the request header whose key identifies a non-idempotent call, so that a resend does
	// not run it twice.
	idempotencyKeyHeader = "Idempotency-Key"
	// defaultCallTimeout is the deadline of a call to a service that configures no timeout.
	defaultCallTimeout = 10 * time.Second
	// maxResponseBytes is the largest response body of a plain service in bytes.
	maxResponseBytes = 8 << 20
	// carrierRetryInterval is the pause between two attempts of a call while nobody can carry its connection.
	carrierRetryInterval = 25 * time.Millisecond
	// maxCallAttempts is the largest number of endpoints that one call may reach.
	maxCallAttempts = 3
	// maxRefusedConnections is the largest number of endpoints that are tried for one call and accept no connection.
	maxRefusedConnections = 10
	// maxEndpointWait is how long a call waits while every endpoint of its service is in its backoff after a failure.
	maxEndpointWait = 2 * time.Second
	// callRetryCost is the work of one plain call in tokens: repeating it takes that from the retry budget, and an answer adds a
	// fraction of it.
	callRetryCost = 10
)

// defaultIdempotentMethods are the HTTP methods that may be repeated on a service that configures no idempotent
// methods.
var defaultIdempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// forwardedHeaders are the headers that are copied from a caller's request to the endpoint and from the endpoint's
// response to the caller; all others are dropped.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Content-Language", "Etag", "If-Match", "If-None-Match", idempotencyKeyHeader}

// callSender forwards calls of plain HTTP services to their endpoints.
type callSender struct {
	router *Router
	// claimAttempts numbers this process's claims of idempotency keys in the call ledger.
	claimAttempts atomic.Uint64
	// unrecorded counts the calls, and the abandoned claims of an idempotency key, whose outcome is not yet recorded
	// in the call ledger.
	unrecorded atomic.Int64
}

// connectError means that no connection was established, so that no byte of the call was sent.
type connectError struct{ err error }

// Error returns the text of the dial error.
func (e *connectError) Error() string { return "connect: " + e.err.Error() }

// Unwrap returns the dial error.
func (e *connectError) Unwrap() error { return e.err }

// serviceCall is a caller's request to a plain HTTP service.
type serviceCall struct {
	account object.Account
	service object.Service
	method  string
	path    string
	query   string
	header  http.Header
	body    []byte
	// key is the caller's idempotency key, or empty.
	key string
	// dial opens a connection to an endpoint.
	dial tunnel.DialFunc
	// deadline is the longest time the call may take.
	deadline time.Duration
	// sent counts the attempts that may have reached an endpoint, and unconnected the others that failed.
	sent, unconnected int
	// cutOffSince is when the latest attempts began to fail because the router is cut off from the endpoints; zero if the last one did not.
	cutOffSince time.Time
	crashRecord
}

// endpointResponse is the complete HTTP response of an endpoint to a call of a plain service.
type endpointResponse struct {
	status int
	header http.Header
	body   []byte
}

// serveCall handles a call to a plain service: it forwards the request to an endpoint and copies the response to the
// caller.
func (r *Router) serveCall(w http.ResponseWriter, req *http.Request) {
	c, err := r.parseCall(w, req)
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	ctx, cancel := r.requestContext(req)
	defer cancel()
	var out *endpointResponse
	if c.idempotent() {
		out, err = r.calls.sendIdempotent(ctx, c)
	} else {
		out, err = r.calls.sendOnce(ctx, c)
	}
	if err != nil {
		r.refuse(w, req, r.stopRefusal(req, err))
		return
	}
	writeResponse(w, out, c.deadline)
}

// writeResponse copies an endpoint's response to the caller of a call with the given time limit. The caller has as much
// time again to read it, and callerWriteDeadline at least.
func writeResponse(w http.ResponseWriter, out *endpointResponse, timeout time.Duration) {
	// A response writer without write deadlines is that of a test.
	_ = serve.LimitWriting(w, max(timeout, callerWriteDeadline))
	for name, values := range out.header {
		w.Header()[name] = values
	}
	w.WriteHeader(out.status)
	_, _ = w.Write(out.body)
}

// parseCall authenticates a call, checks that a routing intent allows it and reads its body; its errors are refusals.
func (r *Router) parseCall(w http.ResponseWriter, req *http.Request) (*serviceCall, error) {
	v, account, err := r.authenticate(req)
	if err != nil {
		return nil, err
	}
	name := req.PathValue("service")
	service, ok := v.Graph.Services[name]
	if !ok || service.Type != object.ServicePlain {
		return nil, common.NewNotRunRefusal(common.ReasonUnknownService, "service", "there is no plain service "+name)
	}
	if _, err := v.intentFor(account.Name, name, ""); err != nil {
		return nil, err
	}
	body, err := r.readBody(w, req)
	if err != nil {
		return nil, err
	}
	c := &serviceCall{
		account: account, service: service, method: req.Method, path: "/" + req.PathValue("path"),
		query: req.URL.RawQuery, dial: r.dialer.DialContext, header: copyForwardedHeaders(req.Header), body: body, key: req.Header.Get(idempotencyKeyHeader),
		deadline: time.Duration(service.TimeoutMS) * time.Millisecond,
	}
	if c.deadline <= 0 {
		c.deadline = defaultCallTimeout
	}
	c.crashRecord = c.newCrashRecord()
	return c, nil
}

// copyForwardedHeaders returns a copy of the headers that are listed in forwardedHeaders.
func copyForwardedHeaders(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range forwardedHeaders {
		if v := h.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	return out
}

// idempotent reports whether the plain service allows the call's HTTP method to be repeated.
func (c *serviceCall) idempotent() bool {
	methods := c.service.IdempotentMethods
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	return slices.Contains(methods, c.method)
}

// digest hashes the contents of the call, so that a reused idempotency key with other contents is detected.
func (c *serviceCall) digest() [sha256.Size]byte {
	parts := []string{c.service.Name, c.method, c.path, c.query, c.header.Get("Content-Type"), string(c.body)}
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, "%d:%s", len(p), p)
	}
	return sha256.Sum256([]byte(b.String()))
}

// sendIdempotent sends an idempotent call and, after a failure, repeats it on another endpoint while the retry budget
// allows.
func (c *callSender) sendIdempotent(ctx context.Context, x *serviceCall) (*endpointResponse, error) {
	notAfter := time.Now().Add(x.deadline)
	ctx, cancel := context.WithDeadline(ctx, notAfter)
	defer cancel()
	failed := route.NameSet{}
	var lastErr error
	for {
		if serve.HasPeerClosed(serve.ConnOf(ctx)) {
			// A router that is late may not have come to notice it.
			return nil, &common.Refusal{Reason: common.ReasonDeadline, Outcome: x.outcome(), Message: "the caller has disconnected"}
		}
		a, err := c.pickEndpoint(ctx, x, failed)
		if err != nil && errors.Is(lastErr, tunnel.ErrCutOff) {
			return nil, newCutOffRefusal(x.outcome())
		}
		if err != nil {
			f := *common.AsRefusal(err)
			f.Outcome = x.outcome()
			return nil, &f
		}
		client, _ := newSingleUseClient(c.router.dialer.DialContext, notAfter)
		out, err := c.sendAttempt(ctx, x, a, client)
		if err == nil {
			return out, nil
		}
		failed[a.name] = struct{}{}
		lastErr = err
		if errors.Is(err, tunnel.ErrNoCarrier) && c.awaitCarrier(ctx, x) {
			delete(failed, a.name)
			continue
		}
		if errors.Is(err, tunnel.ErrNoCarrier) || errors.Is(err, tunnel.ErrCutOff) && !x.hasAttemptsLeft() {
			return nil, newCutOffRefusal(x.outcome())
		}
		if ctx.Err() != nil {
			return nil, &common.Refusal{Reason: common.ReasonDeadline, Outcome: x.outcome(), Message: "the service did not answer in time"}
		}
		if !x.hasAttemptsLeft() {
			return nil, &common.Refusal{Reason: common.ReasonEndpointFailed, Outcome: x.outcome(), Message: callErrorMessage(err)}
		}
		// An endpoint that accepts no connection has done no work, so the next attempt is free.
		if callRetryReason(err) != common.RetryConnect && !c.router.dispatcher.spendRetryBudget(x.extraWork(c.router.Log, err)) {
			return nil, &common.Refusal{Reason: common.ReasonRetryBudget, Outcome: x.outcome(), Message: callErrorMessage(err)}
		}
		c.router.Metrics.CountRetry(callRetryReason(err))
	}
}

// awaitCarrier waits before the next attempt of a call while the router is cut off and nobody can carry the call's connection. It returns
// false if that takes too long, and at once for a call that another router can serve as well.
func (c *callSender) awaitCarrier(ctx context.Context, x *serviceCall) bool {
	now := c.router.Clock.Now()
	if x.cutOffSince.IsZero() {
		x.cutOffSince = now
	}
	if !reach.ShouldAwaitCarrier(x.sent > 0, now.Sub(x.cutOffSince)) {
		return false
	}
	x.unconnected = 0
	return serve.Sleep(ctx, carrierRetryInterval)
}

// extraWork returns the work of repeating the call after the error of an attempt.
func (c *serviceCall) extraWork(log *zap.Logger, err error) extraWork {
	return extraWork{log: log.With(zap.String("request", c.request), zap.String("service", c.service.Name)), reason: callRetryReason(err), tokens: callRetryCost}
}

// countFailure counts a failed attempt.
func (c *serviceCall) countFailure(err error) {
	if !errors.Is(err, tunnel.ErrCutOff) {
		c.cutOffSince = time.Time{}
	}
	if callRetryReason(err) == common.RetryConnect {
		c.unconnected++
	} else {
		c.sent++
	}
}

// hasAttemptsLeft reports whether a further endpoint may be tried after the failed attempts.
func (c *serviceCall) hasAttemptsLeft() bool {
	return c.sent < maxCallAttempts && c.unconnected < maxRefusedConnections
}

// outcome returns the outcome of the call if all its attempts so far have failed.
func (c *serviceCall) outcome() common.Outcome {
	if c.sent > 0 {
		return common.OutcomeUnknown
	}
	return common.OutcomeNotRun
}

// pickEndpoint selects an endpoint of the plain service for the call, unless the call crashes endpoints. If all endpoints
// failed recently, it waits for the first backoff to end, up to maxEndpointWait: a service with one endpoint would
// otherwise refuse each call for a quarter of a second after one connection reset.
func (c *callSender) pickEndpoint(ctx context.Context, x *serviceCall, failed route.NameSet) (*attempt, error) {
	end := c.router.Clock.Now().Add(maxEndpointWait)
	for {
		if err := c.refuseCrashing(x); err != nil {
			return nil, err
		}
		a, err := c.router.dispatcher.pickEndpoint(x.routeRequest(), failed)
		if err == nil {
			return a, nil
		}
		retry := common.AsRefusal(err).RetryAfter
		if retry <= 0 || c.router.Clock.Now().Add(retry).After(end) || !serve.Sleep(ctx, retry) {
			return nil, err
		}
	}
}

// routeRequest returns the request with which an endpoint is selected for the call.
func (c *serviceCall) routeRequest() *route.Request {
	return &route.Request{ID: c.key, Service: c.service.Name, OutputTokens: 1, Short: true, Idempotent: c.idempotent()}
}

// sendAttempt sends the call to one endpoint and records whether the endpoint failed.
func (c *callSender) sendAttempt(ctx context.Context, x *serviceCall, a *attempt, client *http.Client) (*endpointResponse, error) {
	sentAt := c.router.Clock.Now()
	out, err := x.roundTrip(ctx, client, a.address)
	if err != nil {
		x.countFailure(err)
		c.router.recordAttemptFailure(a, callRetryReason(err), err)
		c.router.Log.Info("call-failed", zap.String("request", x.request), zap.String("service", x.service.Name), zap.String("endpoint", a.name),
			zap.String("account", x.account.Name), zap.Error(err))
		c.recordFailure(ctx, x, a, sentAt, err)
		return nil, err
	}
	c.router.dispatcher.attemptFinished(a)
	c.router.dispatcher.earnRetryBudget(callRetryCost)
	c.markSound(x, a, out, sentAt)
	return out, nil
}

// roundTrip sends the call to the endpoint at the address and reads the whole response.
func (c *serviceCall) roundTrip(ctx context.Context, client *http.Client, address string) (*endpointResponse, error) {
	u := url.URL{Scheme: "http", Host: address, Path: c.path, RawQuery: c.query}
	var conn net.Conn
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }})
	req, err := http.NewRequestWithContext(traced, c.method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	req.Header = c.header.Clone()
	disableTransportRetry(req)
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send call: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := serve.CheckFinal(res); err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	var w *witness
	if !serve.HasFraming(res) {
		w = newWitness(ctx, c.dial, address)
		defer w.close()
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("read response: %w", errResponseTooLarge)
	}
	if err := serve.ConfirmEnd(res, func() bool { return w.isOpen(ctx) && !hasUnsent(conn) }); err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	return &endpointResponse{status: res.StatusCode, header: copyForwardedHeaders(res.Header), body: body}, nil
}

// hasUnsent reports whether a part of the request could not be sent on the connection. The kernel reports a reset only once: after a
// failed write, a read finds what looks like the end of the response.
func hasUnsent(nc net.Conn) bool {
	c, ok := nc.(interface{ HasUnsent() bool })
	return ok && c.HasUnsent()
}

// disableTransportRetry keeps net/http from resending a request by itself after a failure, which it does for idempotent
// methods and for requests with an idempotency key. The router decides on each resend, charges it to the retry budget
// and counts it.
func disableTransportRetry(req *http.Request) {
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(strings.NewReader(""))
	}
}

// callErrorMessage describes a failed call to the caller. It leaves out the endpoint's address, which is only logged.
func callErrorMessage(err error) string {
	if errors.Is(err, errResponseTooLarge) {
		return errResponseTooLarge.Error()
	}
	switch callRetryReason(err) {
	case common.RetryConnect:
		return "no connection to an endpoint could be made"
	case common.RetrySilent:
		return "the endpoint did not answer in time"
	default:
		return "the connection broke before the endpoint's whole answer"
	}
}

// callRetryReason returns the reason under which a failed call is counted in the retry metrics.
func callRetryReason(err error) common.Reason {
	var e *connectError
	switch {
	case errors.As(err, &e):
		return common.RetryConnect
	case errors.Is(err, context.DeadlineExceeded):
		return common.RetrySilent
	default:
		return common.RetryReset
	}
}
