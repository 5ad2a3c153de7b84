package relay

import (
	"context"
	"net"
	"net/http"
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
	table serve.ConnTable
}

// connContextKey is the context key under which a request finds the network connection on which its caller sent it.
type connContextKey struct{}

// initConnTable initialises the table of callers' connections for a relay.
func (c *callerConns) initConnTable(r *Relay) {
	c.relay = r
	c.table.Clock, c.table.Limits = r.Clock, c.limits
}

// limits returns the time limits of the configuration in force, or those of the relay itself before the first one.
func (c *callerConns) limits() serve.ConnLimits {
	index := c.relay.index.Load()
	if index == nil {
		return serve.ConnLimits{Idle: callerIdleTimeout, Header: callerHeaderTimeout}
	}
	l := index.State.Limits
	return serve.ConnLimits{Idle: l.IdleTimeout, Header: l.HeaderTimeout}
}

// newServer returns the HTTP server for callers and the listener on which it serves them.
func (c *callerConns) newServer(h http.Handler, l net.Listener) (*http.Server, net.Listener) {
	return &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: callerHeaderTimeout,
		ConnState: c.table.TrackState, ConnContext: c.withConn,
	}, c.table.Listener(serve.LimitListener(l, maxCallerConnections))
}

// withConn is the HTTP server's ConnContext hook: it stores a caller's connection in the context of its requests.
func (c *callerConns) withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// reportClosedInUse logs and counts the end of a request on whose connection the relay enforced a time limit, so that its
// caller got no answer.
func (c *callerConns) reportClosedInUse(q *request) {
	conn, _ := q.r.Context().Value(connContextKey{}).(net.Conn)
	closed, ok := c.table.Expired(conn)
	if !ok {
		return
	}
	c.relay.meter.countReason("requests-cut", closed.Reason)
	q.log.Warn("request-cut", zap.String("reason", closed.Reason), zap.Duration("limit", closed.Limit),
		zap.Duration("after", closed.After), zap.Int("attempts", q.attempts), zap.Bool("may-have-run", q.mayHaveRun))
}

// loop closes callers' connections that exceed a time limit of the configuration, until ctx ends.
func (c *callerConns) loop(ctx context.Context) error {
	for serve.Sleep(ctx, callerCheckInterval) {
		c.closeExpired()
	}
	return ctx.Err()
}

// closeExpired closes the callers' connections that exceed a time limit of the configuration.
func (c *callerConns) closeExpired() {
	closed, open := c.table.CloseExpired()
	for _, conn := range closed {
		c.relay.meter.countReason("caller-connections-closed", conn.Reason)
		c.relay.Log.Debug("caller-connection-closed", zap.String("reason", conn.Reason), zap.Duration("limit", conn.Limit),
			zap.Duration("after", conn.After), zap.Stringer("remote", conn.Remote))
	}
	if len(closed) > 0 {
		c.relay.Log.Info("caller-connections-closed", zap.Int("closed", len(closed)), zap.Int("open", open),
			zap.Duration("idle-limit", c.limits().Idle), zap.Duration("header-limit", c.limits().Header))
	}
}
