package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"wasabiweir/io/serve"
)

// Default timeouts and limits of the connections to engines, for Transport fields that are zero.
const (
	defaultConnectTimeout = time.Second
	defaultWriteTimeout   = 2 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxIdle        = 16
	maxReplyBytes         = 1 << 20  // largest body of a reply that is not a stream
	maxReplyHeaderBytes   = 64 << 10 // largest header of a reply
)

// Dialer opens connections to engines.
type Dialer interface {
	// DialContext opens a connection to the address.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	// IsUsable reports whether a connection that was opened to the address at the given time may be used for another request.
	IsUsable(c net.Conn, address string, opened time.Time) bool
}

// Transport holds the pools of HTTP connections to all engines. Its fields must be set before the first use.
type Transport struct {
	// Dialer opens the connections; nil means directly.
	Dialer Dialer
	// ConnectTimeout bounds the time to establish a connection without a Dialer; zero means 1 s.
	ConnectTimeout time.Duration
	// WriteTimeout bounds each write to a connection; zero means 2 s.
	WriteTimeout time.Duration
	// HeaderTimeout bounds the time from the end of a request to an engine until the reply's headers arrive; zero
	// means no limit.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed; zero means 30 s.
	IdleTimeout time.Duration
	// MaxIdle is the largest number of idle connections kept for each engine; zero means 16.
	MaxIdle int

	once     sync.Once
	pooled   *http.Transport // reuses connections
	unpooled *http.Transport // opens a connection for each request
}

// sharedTransport holds the connections of all engine clients that have no Transport of their own.
var sharedTransport Transport

// createTransports creates the HTTP transports to the engines, one that reuses connections and one that does not.
func (t *Transport) createTransports() {
	t.pooled = t.newHTTPTransport()
	t.unpooled = t.newHTTPTransport()
	t.unpooled.DisableKeepAlives = true
}

// newHTTPTransport returns an HTTP/1.1 transport for requests to engines with the configured timeouts.
func (t *Transport) newHTTPTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // with HTTP/2, one stalled connection would stall all streams that share it
	return &http.Transport{
		DialContext:           t.dialEngine,
		Protocols:             protocols,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   orDefault(t.MaxIdle, defaultMaxIdle),
		IdleConnTimeout:       orDefault(t.IdleTimeout, defaultIdleTimeout),
		ResponseHeaderTimeout: t.HeaderTimeout,

		MaxResponseHeaderBytes: maxReplyHeaderBytes,
	}
}

// RoundTripper returns the HTTP transport for requests to engines. If fresh is set, each request opens a connection of
// its own.
func (t *Transport) RoundTripper(fresh bool) http.RoundTripper {
	t.once.Do(t.createTransports)
	if fresh {
		return t.unpooled
	}
	return t.pooled
}

// CloseIdle closes all idle connections to engines.
func (t *Transport) CloseIdle() {
	t.once.Do(t.createTransports)
	t.pooled.CloseIdleConnections()
}

// dialEngine connects to an engine and applies the write timeout to the connection. A failure is returned as a
// connectError.
func (t *Transport) dialEngine(ctx context.Context, network, address string) (net.Conn, error) {
	dial := (&net.Dialer{Timeout: orDefault(t.ConnectTimeout, defaultConnectTimeout)}).DialContext
	if t.Dialer != nil {
		dial = t.Dialer.DialContext
	}
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, &connectError{err: err}
	}
	out := &deadlineConn{Conn: &serve.ResetConn{Conn: c}, timeout: orDefault(t.WriteTimeout, defaultWriteTimeout)}
	if opened := time.Now(); t.Dialer != nil {
		out.isUsable = func() bool { return t.Dialer.IsUsable(c, address, opened) }
	}
	return out, nil
}

// orDefault returns the setting's value v, or its default d if v is zero.
func orDefault[T int | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// deadlineConn is a connection that sets a write deadline before each write.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
	// notAfter is that of the request's client.
	notAfter time.Time
	// isUsable reports whether the connection may be used for another request; nil means always. It is asked if reused is true.
	isUsable func() bool
	reused   bool
}

// errNotUsable is returned for a write to an idle connection that may not be used for another request. Nothing was written, so that
// net/http sends a request without a body on another connection.
var errNotUsable = eris.New("the connection may not be used again")

// Write writes p to the connection and fails if the write takes longer than the connection's write timeout, or if the request has
// expired.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := serve.CheckExpiry(c.notAfter); err != nil {
		return 0, err //nolint:wrapcheck // net/http wraps the errors of writes
	}
	if c.reused && c.isUsable != nil && !c.isUsable() {
		return 0, errNotUsable
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	return c.Conn.Write(p)
}

// connTrace records whether an HTTP request got a connection and whether that connection had been used before, and passes the
// request's expiry to the connection.
type connTrace struct {
	notAfter time.Time

	mu        sync.Mutex // guards the fields below
	connected bool
	reused    bool
}

// gotConn is the httptrace hook that is called when the request has got a connection.
func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connected = true
	if c, ok := info.Conn.(*deadlineConn); ok {
		c.notAfter, c.reused = t.notAfter, info.Reused
	}
	t.reused = t.reused || info.Reused
}

// connectionUse returns whether the traced request got a connection, so that bytes may have been sent, and whether
// that connection had been used before.
func (t *connTrace) connectionUse() (sent, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connected, t.reused
}

// Client sends requests to one engine.
type Client struct {
	// Address is the engine's IP address and port.
	Address string
	// Transport holds the connections to the engine. If it is nil, the client uses one shared by all clients without a
	// Transport.
	Transport *Transport
	// Fresh makes each request open a connection of its own.
	Fresh bool
	// NotAfter is the time from which no byte of a request is written any more; zero means no limit. It is checked at each write: a
	// process that is paused while it connects would otherwise send a request that it no longer may send.
	NotAfter time.Time
}

// sendRequest sends an HTTP request to the engine and returns the reply, whatever its status. A request other than GET
// uses a new connection: on one that is used again, a second copy of an earlier reply could be taken for the reply to
// an order or to a generation. The error is an *Error.
func (c *Client) sendRequest(ctx context.Context, method, path string, body []byte) (*http.Response, *connTrace, error) {
	tr := c.Transport
	if tr == nil {
		tr = &sharedTransport
	}
	t := &connTrace{notAfter: c.NotAfter}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	req, err := http.NewRequestWithContext(traced, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, t, &Error{Kind: KindConnect, Err: fmt.Errorf("make request: %w", err)}
	}
	req.GetBody = nil // keeps net/http from silently resending the request
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	r, err := tr.RoundTripper(c.Fresh || method != http.MethodGet).RoundTrip(req)
	if err != nil {
		return nil, t, classifyError(ctx, err, t)
	}
	if err := serve.CheckFinal(r); err != nil {
		_ = r.Body.Close()
		return nil, t, &Error{Kind: KindProtocol, Sent: true, Err: err}
	}
	return r, t, nil
}

// callJSON sends an HTTP request to the engine, with in as its JSON body unless in is nil, and decodes the reply into
// out unless out is nil. The error is an *Error.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return &Error{Kind: KindProtocol, Err: fmt.Errorf("encode request: %w", err)}
		}
		body = b
	}
	b, _, err := c.readReply(ctx, method, path, body)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return &Error{Kind: KindProtocol, Sent: true, Err: fmt.Errorf("decode reply: %w", err)}
	}
	return nil
}

// readReply sends an HTTP request to the engine and returns the body and the header of the reply. A status other
// than 200 is an error. The error is an *Error.
func (c *Client) readReply(ctx context.Context, method, path string, body []byte) ([]byte, http.Header, error) {
	r, t, err := c.sendRequest(ctx, method, path, body)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return nil, nil, refusalError(r)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxReplyBytes+1))
	if err != nil {
		return nil, nil, classifyError(ctx, err, t)
	}
	if len(b) > maxReplyBytes {
		return nil, nil, &Error{Kind: KindProtocol, Sent: true, Err: eris.Errorf("reply above %d bytes", maxReplyBytes)}
	}
	// A JSON object shows its own end; the first lines of a metrics page look like a page.
	if err := serve.ConfirmEnd(r, func() bool { return json.Valid(b) }); err != nil {
		return nil, nil, &Error{Kind: KindReset, Sent: true, Err: err}
	}
	return b, r.Header, nil
}
