package relay

import (
	"context"
	"errors"
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
		Handler: c.announceLimits(h), MaxHeaderBytes: maxHeaderBytes,
		ConnState: c.table.TrackState, ConnContext: serve.ContextWithConn,
	}, c.table.Listener(serve.LimitListener(l, c.relay.Resources.Connections(callerShare, maxCallerConnections)))
}

// announceLimits returns a handler that calls h with a response writer which announces the limit on idle connections.
func (c *callerConns) announceLimits(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nc := serve.ConnOf(r.Context())
		h.ServeHTTP(serve.AnnounceIdleLimit(w, func() time.Duration { return c.table.PromiseIdle(nc) }), r)
	})
}

// reportClosedInUse logs and counts the end of a request on whose connection the relay enforced a time limit, so that its
// caller got no answer.
func (c *callerConns) reportClosedInUse(q *request) {
	closed, ok := c.table.Expired(serve.ConnOf(q.r.Context()))
	if !ok {
		return
	}
	c.relay.meter.countReason("requests-cut", closed.Reason)
	q.log.Warn("request-cut", zap.String("reason", closed.Reason), zap.Duration("limit", closed.Limit),
		zap.Duration("after", closed.After), zap.Int("attempts", q.attempts), zap.Bool("may-have-run", q.mayHaveRun))
}

// resetCaller makes the caller's connection end with a reset instead of the rest of what it has not read yet, so that an
// incomplete response ends at once, and is seen as incomplete by a caller whose response has no length.
func (q *request) resetCaller() {
	if err := serve.ResetOnClose(serve.ConnOf(q.r.Context())); err != nil && !errors.Is(err, net.ErrClosed) {
		q.log.Warn("caller-not-reset", zap.Error(err))
	}
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
