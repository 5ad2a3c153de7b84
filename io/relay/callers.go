package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/io/serve"
)

// callerCheckInterval is the time between two checks of the callers' connections for exceeded time limits.
const callerCheckInterval = 500 * time.Millisecond

// callerConns enforces the configuration's time limits on callers' connections. The limits can change while a
// connection is open, so net/http's own fixed timeouts do not suffice.
type callerConns struct {
	relay *Relay

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is the HTTP state of one connection of a caller, and since when it has been in that state.
type callerConn struct {
	state http.ConnState
	// stateSince is when the connection entered its state.
	stateSince time.Time
	// headerReceived is true once the header of a request has arrived in this state; no limit applies from then on.
	headerReceived bool
	// closing is set once the relay has closed the connection because it exceeded a time limit.
	closing *connClosing
}

// connClosing states why the relay has closed a caller's connection.
type connClosing struct {
	// reason is the limit that was exceeded: idle or header.
	reason string
	// limit is that limit, and after the time that the connection had spent in its state.
	limit, after time.Duration
}

// connContextKey is the context key under which a request finds the network connection on which its caller sent it.
type connContextKey struct{}

// initConnTable initialises the table of callers' connections for a relay.
func (c *callerConns) initConnTable(r *Relay) {
	c.relay = r
	c.conns = map[net.Conn]*callerConn{}
}

// newServer returns the HTTP server for callers and the listener on which it serves them.
func (c *callerConns) newServer(h http.Handler, l net.Listener) (*http.Server, net.Listener) {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
		ConnState: c.trackState, ConnContext: c.withConn,
	}, serve.LimitListener(l, maxCallerConnections)
}

// withConn is the HTTP server's ConnContext hook: it stores a caller's connection in the context of its requests.
func (c *callerConns) withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// trackState is the HTTP server's ConnState hook: it records a change of the state of a caller's connection.
func (c *callerConns) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	cc := &callerConn{state: s, stateSince: c.relay.Clock.Now()}
	if before := c.conns[conn]; before != nil {
		cc.closing = before.closing
	}
	c.conns[conn] = cc
}

// reportClosedInUse logs and counts the end of a request on whose connection the relay enforced a time limit, so that its
// caller got no answer.
func (c *callerConns) reportClosedInUse(q *request) {
	conn, _ := q.r.Context().Value(connContextKey{}).(net.Conn)
	c.mu.Lock()
	var closing *connClosing
	if cc := c.conns[conn]; cc != nil {
		closing = cc.closing
	}
	c.mu.Unlock()
	if closing == nil {
		return
	}
	c.relay.meter.countReason("requests-cut", closing.reason)
	q.log.Warn("request-cut", zap.String("reason", closing.reason), zap.Duration("limit", closing.limit),
		zap.Duration("after", closing.after), zap.Int("attempts", q.attempts), zap.Bool("may-have-run", q.mayHaveRun))
}

// markHeaderReceived records that the header of a request has arrived on the caller's connection that ctx holds.
func (c *callerConns) markHeaderReceived(ctx context.Context) {
	conn, ok := ctx.Value(connContextKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cc := c.conns[conn]; cc != nil {
		cc.headerReceived = true
	}
}

// loop closes callers' connections that exceed a time limit of the configuration, until ctx ends.
func (c *callerConns) loop(ctx context.Context) error {
	for serve.Sleep(ctx, callerCheckInterval) {
		c.closeExpired()
	}
	return ctx.Err()
}

// closeExpired closes the callers' connections that are idle, or that send a header, for longer than the configuration
// allows.
func (c *callerConns) closeExpired() {
	index := c.relay.index.Load()
	if index == nil {
		return
	}
	l := index.State.Limits
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.relay.Clock.Now()
	closed := 0
	for conn, cc := range c.conns {
		limit, reason := l.HeaderTimeout, "header"
		if cc.state == http.StateIdle || cc.state == http.StateNew {
			limit, reason = l.IdleTimeout, "idle"
		}
		after := now.Sub(cc.stateSince)
		if cc.headerReceived || cc.closing != nil || limit <= 0 || after <= limit {
			continue
		}
		cc.closing = &connClosing{reason: reason, limit: limit, after: after}
		closed++
		c.relay.meter.countReason("caller-connections-closed", reason)
		c.relay.Log.Debug("caller-connection-closed", zap.String("reason", reason), zap.Duration("limit", limit),
			zap.Duration("after", after), zap.Stringer("remote", conn.RemoteAddr()))
		_ = conn.Close()
	}
	if closed > 0 {
		c.relay.Log.Info("caller-connections-closed", zap.Int("closed", closed), zap.Int("open", len(c.conns)-closed),
			zap.Duration("idle-limit", l.IdleTimeout), zap.Duration("header-limit", l.HeaderTimeout))
	}
}
