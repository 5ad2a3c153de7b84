package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sends no Keep-Alive timeout;
	// idleTimeoutMargin is subtracted from a timeout that it sends.
	defaultIdleTimeout = 3 * time.Second
	idleTimeoutMargin  = time.Second
	// maxUnsafeIdle is the longest idle time of a connection that is reused for a request that must not be repeated. If
	// the endpoint closed the connection at the same moment, it would be unknown whether the request ran.
	maxUnsafeIdle = 1500 * time.Millisecond
	// poolSweepInterval is the time between two searches for expired idle connections.
	poolSweepInterval = 500 * time.Millisecond
	// readBufferSize is the size in bytes of a read buffer; it holds a response of the usual size.
	readBufferSize = 4 << 10
	// maxResponseHeader bounds the size in bytes of a response header from an endpoint, together with the informational
	// (1xx) responses before it.
	maxResponseHeader = 64 << 10
	// maxDiscardedBody bounds the size in bytes of a response body that is read only so that the connection can be
	// reused.
	maxDiscardedBody = 64 << 10
	// maxMismatchedResponses is the number of responses to earlier requests that are skipped on a connection to an
	// endpoint.
	maxMismatchedResponses = 2
)

// errMismatchedResponse is returned when a connection to an endpoint delivers only responses to other requests.
var errMismatchedResponse = eris.New("the response belongs to another request")

// endpointConn is one connection to an endpoint. It carries one request at a time.
type endpointConn struct {
	net.Conn
	endpoint place.Endpoint
	// br reads from the connection through source.
	br     *bufio.Reader
	source *limitedSource
	// openedAt is when the connection was established.
	openedAt time.Time
	// idleSince is when the connection was put into the pool.
	idleSince time.Time
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// hasForeign is true once a response to another request was skipped.
	hasForeign bool
	// bodyStreamed is true if a request body is sent while the response is being read.
	bodyStreamed atomic.Bool
	// uploadFailed is true once a part of such a body could not be sent. The kernel reports a reset connection only once: after
	// a failed write, a read finds what looks like the end of the response.
	uploadFailed atomic.Bool

	mu sync.Mutex
	// uses counts how often the connection was put into the pool. It identifies the request that has the connection.
	uses int
}

// carrier returns the peer address of the process that passes the connection on, or an empty string if it is a direct one or nil.
func (c *endpointConn) carrier() string {
	if c == nil {
		return ""
	}
	if carried, ok := c.Conn.(*tunnel.Conn); ok {
		return carried.Carrier
	}
	return ""
}

// use returns the number that identifies the request that has the connection.
func (c *endpointConn) use() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uses
}

// closeUse closes the connection if the request that the number identifies still has it. What ends a request, such as its
// deadline, can come when the connection already carries the next one.
func (c *endpointConn) closeUse(use int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == use {
		c.abort()
	}
}

// abort closes the connection in the middle of a request. If a body is being sent, the endpoint may not read, and the end of the
// connection would wait in this instance's kernel behind megabytes of it, for as long as the endpoint's kernel answers; a reset
// drops them and reaches the endpoint at once.
func (c *endpointConn) abort() {
	if c.bodyStreamed.Load() {
		// Without the reset, the connection still closes.
		_ = serve.ResetOnClose(c.Conn)
	}
	_ = c.Close()
}

// endUse takes the connection from the request that has it.
func (c *endpointConn) endUse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
}

// newEndpointConn returns an endpoint connection over a network connection on which nothing was sent yet.
func newEndpointConn(nc net.Conn, e place.Endpoint) *endpointConn {
	source := &limitedSource{r: nc, left: unlimitedBytes}
	return &endpointConn{Conn: nc, endpoint: e, br: bufio.NewReaderSize(source, readBufferSize), source: source, idleTimeout: defaultIdleTimeout}
}

// unlimitedBytes is the value of limitedSource.left that sets no bound.
const unlimitedBytes = -1

// limitedSource reads from a connection and fails once a bound in bytes is exceeded. net/http sets no bound on the
// response header that http.ReadResponse reads.
type limitedSource struct {
	r io.Reader
	// left is the number of bytes that may still be read, or unlimitedBytes.
	left int64
}

// Read reads from the connection; it returns serve.ErrOversized if the bound is exceeded.
func (s *limitedSource) Read(p []byte) (int, error) {
	if s.left == unlimitedBytes {
		return s.r.Read(p) //nolint:wrapcheck // readers compare the error with io.EOF
	}
	if s.left == 0 {
		return 0, serve.ErrOversized
	}
	n, err := s.r.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, err //nolint:wrapcheck // as above
}

// connPool keeps idle connections to endpoints. They are stored by the endpoint's id because an address can be
// reassigned to another endpoint.
type connPool struct {
	relay *Relay
	// dialer opens the connections, if necessary through another relay.
	dialer tunnel.Dialer

	mu        sync.Mutex
	idleConns map[string][]*endpointConn
	// idle is the number of connections in idleConns, and maxIdle its bound.
	idle, maxIdle int
	// closed is true once the relay has stopped, so that no connection is kept any more.
	closed bool
}

// initPool initialises the pool of idle connections to endpoints for a relay.
func (p *connPool) initPool(r *Relay) {
	p.relay = r
	p.idleConns = map[string][]*endpointConn{}
	p.maxIdle = r.Resources.Connections(keptShare, maxKeptConnections)
	p.dialer = tunnel.Dialer{
		Key: r.PeerKey, Domain: r.Domain, DialDirect: r.DialDirect, Clock: r.Clock, Log: r.Log, Metrics: r.meter.scope,
		OnCutOff: r.recordCutOff,
		OnOutOfReach: func(address string) {
			r.withTable(func(t *place.EndpointTable, _ time.Time) { t.ForgetFailures(address) })
		},
	}
	p.dialer.Init()
}

// getConn returns a pooled connection to the endpoint that was idle for at most maxIdle, or dials a new one.
func (p *connPool) getConn(ctx context.Context, e place.Endpoint, maxIdle time.Duration) (*endpointConn, error) {
	for {
		c := p.takeIdle(e.ID, maxIdle)
		if c == nil {
			break
		}
		if c.isReusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dialEndpoint(ctx, e)
}

// dialEndpoint opens a new connection to an endpoint.
func (p *connPool) dialEndpoint(ctx context.Context, e place.Endpoint) (*endpointConn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", e.Address, err)
	}
	c := newEndpointConn(nc, e)
	c.openedAt = p.relay.Clock.Now()
	return c, nil
}

// takeIdle removes from the pool and returns the most recently used connection to an endpoint, or returns nil if all
// connections to it have been idle for too long.
func (p *connPool) takeIdle(id string, maxIdle time.Duration) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.relay.Clock.Now()
	for list := p.idleConns[id]; len(list) > 0; {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idleConns[id] = list
		p.idle--
		if now.Sub(c.idleSince) <= min(maxIdle, c.idleTimeout) && p.mayReuse(c) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// putIdle puts an endpoint connection whose response was read completely back into the pool.
func (p *connPool) putIdle(c *endpointConn) {
	c.idleSince = p.relay.Clock.Now()
	p.store(c)
}

// returnUnused puts an endpoint connection on which nothing was sent back into the pool. To the endpoint it has been idle
// all the while.
func (p *connPool) returnUnused(c *endpointConn) {
	if c.idleSince.IsZero() {
		c.idleSince = p.relay.Clock.Now()
	}
	p.store(c)
}

// mayReuse reports whether an idle connection still is a way to its endpoint.
func (p *connPool) mayReuse(c *endpointConn) bool {
	return p.dialer.IsUsable(c.Conn, c.endpoint.Address, c.openedAt)
}

// store puts a connection into the pool.
func (p *connPool) store(c *endpointConn) {
	if c.br.Buffered() > 0 || !p.mayReuse(c) {
		_ = c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	c.endUse()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.idle >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle++
	p.idleConns[c.endpoint.ID] = append(p.idleConns[c.endpoint.ID], c)
}

// close closes the idle connections; those that are given back later are closed at once.
func (p *connPool) close() {
	p.dialer.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idleConns {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idleConns)
	p.idle = 0
}

// closeIdle closes all idle pooled connections to an endpoint.
func (p *connPool) closeIdle(id string) {
	p.mu.Lock()
	list := p.idleConns[id]
	delete(p.idleConns, id)
	p.idle -= len(list)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// loop closes pooled connections that have exceeded their idle timeout, until ctx ends.
func (p *connPool) loop(ctx context.Context) error {
	for serve.Sleep(ctx, poolSweepInterval) {
		p.closeExpired()
	}
	return ctx.Err()
}

// closeExpired closes the pooled connections that have been idle for longer than their idle timeout.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.relay.Clock.Now()
	for id, list := range p.idleConns {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) <= c.idleTimeout && p.mayReuse(c) {
				kept = append(kept, c)
				continue
			}
			p.idle--
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idleConns, id)
			continue
		}
		p.idleConns[id] = kept
	}
}

// isReusable reports whether an idle connection to an endpoint is still open and no data arrived while it was idle. It
// peeks at the socket without blocking.
func (c *endpointConn) isReusable() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var buf [1]byte
	var n int
	var got error
	err = raw.Read(func(fd uintptr) bool {
		n, _, got = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && errors.Is(got, syscall.EAGAIN)
}

// outgoingRequest is a request in the form in which it is sent to an endpoint.
type outgoingRequest struct {
	method string
	// requestURI is the path and query as the caller sent them.
	requestURI string
	host       string
	header     http.Header
	// body is the whole body if it was buffered.
	body []byte
	// bodyReader supplies the request body if it was not buffered; contentLength is then its size in bytes, or -1 if
	// the caller did not send one.
	bodyReader    io.Reader
	contentLength int64
}

// writeRequest sends the request header and a buffered body to the endpoint. The result sent reports whether any byte
// may have left.
func (c *endpointConn) writeRequest(o *outgoingRequest) (sent bool, err error) {
	var head bytes.Buffer
	head.WriteString(o.method + " " + o.requestURI + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	if err := o.header.Write(&head); err != nil {
		return false, fmt.Errorf("write the header: %w", err)
	}
	switch {
	case o.bodyReader != nil && o.contentLength < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case o.bodyReader != nil:
		head.WriteString("Content-Length: " + strconv.FormatInt(o.contentLength, 10) + "\r\n")
	case len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead:
		head.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(o.body)
	n, err := c.Write(head.Bytes())
	if err != nil {
		return n > 0, fmt.Errorf("send the request: %w", err)
	}
	return true, nil
}

const (
	// uploadCheckInterval is the time between two checks whether the caller of an upload has closed its connection.
	uploadCheckInterval = 100 * time.Millisecond
	// uploadProbeDelay is the time without progress of an upload after which its caller is probed. A sound endpoint may be
	// silent for about a second, and a client that watches for an early response may stop sending when it gets the first byte.
	uploadProbeDelay = 2 * time.Second
	// uploadProbeInterval is the time between two probes.
	uploadProbeInterval = 250 * time.Millisecond
	// uploadProbeWait is the time after a probe within which the caller's kernel refuses it.
	uploadProbeWait = 20 * time.Millisecond
)

// bodyUpload sends an unbuffered request body to the endpoint while the response is being read.
type bodyUpload struct {
	request  *request
	conn     *endpointConn
	outgoing *outgoingRequest
	// blockedSince is when the write to the endpoint that is in progress began, as a time since the start of the process in
	// nanoseconds; 0 if there is none.
	blockedSince atomic.Int64
}

// Write sends a part of the body to the endpoint.
func (u *bodyUpload) Write(p []byte) (int, error) {
	u.blockedSince.Store(int64(u.request.relay.uptime()))
	defer u.blockedSince.Store(0)
	return u.conn.Write(p) //nolint:wrapcheck // the caller adds the context
}

// run sends the request body to the endpoint. A failure is only logged, because it also shows in the endpoint's
// response or in the lack of one.
func (u *bodyUpload) run() {
	defer u.request.relay.guard.Recover("body-upload")
	ctx, cancel := context.WithCancel(u.request.ctx)
	defer cancel()
	go u.loopWatchCaller(ctx)
	if err := u.sendBody(); err != nil {
		u.conn.uploadFailed.Store(true)
		u.request.log.Info("body-not-sent", zap.String("endpoint", u.conn.endpoint.ID), zap.Error(err))
	}
}

// loopWatchCaller ends the request when its caller closes the connection, until ctx ends. net/http notices that only at the end of
// what the caller has sent, which stays unread while the endpoint does not read. If not all of that fits into the socket's buffer,
// the end does not even reach the relay, and only a probe shows it.
func (u *bodyUpload) loopWatchCaller(ctx context.Context) {
	defer u.request.relay.guard.Recover("upload-watch")
	nc := serve.ConnOf(u.request.r.Context())
	var probedAt time.Duration
	for wait := uploadCheckInterval; serve.Sleep(ctx, wait); {
		if u.request.endIfCallerLeft(nc) {
			return
		}
		wait = uploadCheckInterval
		now, since := u.request.relay.uptime(), time.Duration(u.blockedSince.Load())
		if since != 0 && now-since >= uploadProbeDelay && now-probedAt >= uploadProbeInterval {
			if probedAt == 0 {
				u.request.log.Info("upload-stalled", zap.String("endpoint", u.conn.endpoint.ID), zap.Duration("for", now-since))
			}
			serve.ProbeClient(u.request.r)
			probedAt, wait = now, uploadProbeWait
		}
	}
}

// startUpload starts sending an unbuffered request body to the endpoint. Such a body can be sent only once.
func (q *request) startUpload(c *endpointConn, o *outgoingRequest) {
	if o.bodyReader == nil {
		return
	}
	c.bodyStreamed.Store(true)
	q.bodyStreamed = true
	u := &bodyUpload{request: q, conn: c, outgoing: o}
	go u.run()
}

// sendBody copies the request body to the endpoint's connection, with chunked encoding if its length is not known.
func (u *bodyUpload) sendBody() error {
	if u.outgoing.contentLength >= 0 {
		if _, err := io.Copy(u, u.outgoing.bodyReader); err != nil {
			return fmt.Errorf("send the body: %w", err)
		}
		return nil
	}
	w := httputil.NewChunkedWriter(u)
	if _, err := io.Copy(w, u.outgoing.bodyReader); err != nil {
		return fmt.Errorf("send the body: %w", err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("end the body: %w", err)
	}
	if _, err := io.WriteString(u, "\r\n"); err != nil {
		return fmt.Errorf("end the body: %w", err)
	}
	return nil
}

// readResponse reads the header of the response to the request with the given id. Responses with other ids belong to
// earlier requests and are skipped.
func (c *endpointConn) readResponse(method, idName, id string) (*http.Response, error) {
	for range maxMismatchedResponses + 1 {
		res, err := c.readHeader(method)
		if err != nil {
			return nil, err
		}
		if res.Header.Get(idName) == id {
			return res, nil
		}
		c.hasForeign = true
		if err := discardBody(res); err != nil || res.Close {
			return nil, errMismatchedResponse
		}
	}
	return nil, errMismatchedResponse
}

// discardBody reads a response body to its end, which must come within maxDiscardedBody.
func discardBody(res *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardedBody+1))
	if err != nil {
		return fmt.Errorf("discard the response: %w", err)
	}
	if n > maxDiscardedBody {
		return serve.ErrOversized
	}
	return nil
}

// readHeader reads the next final response header from the endpoint; informational (1xx) responses are skipped. All of
// them together may have maxResponseHeader bytes.
func (c *endpointConn) readHeader(method string) (*http.Response, error) {
	c.source.left = maxResponseHeader
	defer func() { c.source.left = unlimitedBytes }()
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read the response: %w", err)
		}
		if res.StatusCode > http.StatusSwitchingProtocols && res.StatusCode < http.StatusOK || res.StatusCode == http.StatusContinue {
			continue
		}
		if err := serve.CheckFinal(res); err != nil {
			return nil, fmt.Errorf("read the response: %w", err)
		}
		c.idleTimeout = parseIdleTimeout(res.Header)
		return res, nil
	}
}

// parseIdleTimeout returns how long a connection to an endpoint may stay idle: the timeout in its Keep-Alive response
// header less idleTimeoutMargin, or defaultIdleTimeout if the header has none.
func parseIdleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(n)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}

// releaseConn returns an endpoint connection to the pool if the response was read completely and no data follows it. A
// connection whose request body was streamed is closed: the endpoint may still be reading that body and would take the
// next request for the rest of it. One that has delivered a response to another request may deliver more of them.
func (p *connPool) releaseConn(c *endpointConn, res *http.Response) {
	if c.hasForeign {
		p.relay.Log.Info("response-skipped", zap.String("endpoint", c.endpoint.ID), zap.String("address", c.endpoint.Address))
	}
	if res.Close || c.bodyStreamed.Load() || c.hasForeign || c.br.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.putIdle(c)
}
