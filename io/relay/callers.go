package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiweir/io/serve"
)

// callerCheckInterval is the time between two checks of the callers' connections for exceeded time limits.
const callerCheckInterval = 500 * time.Millisecond

// idleMarginShare is the part, as a divisor, of the limit on idle connections that callers are not told of.
const idleMarginShare = 5

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
	}, c.table.Listener(serve.LimitListener(l, maxCallerConnections))
}

// announceLimits returns a handler that calls h with a response writer which announces the limit on idle connections.
func (c *callerConns) announceLimits(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&limitWriter{ResponseWriter: w, table: &c.table, conn: serve.ConnOf(r.Context())}, r)
	})
}

// limitWriter is a response writer that tells the caller in the response header how long its connection may stay idle.
type limitWriter struct {
	http.ResponseWriter
	table *serve.ConnTable
	conn  net.Conn
	// headerSent is true once the header of the final response was sent.
	headerSent bool
}

// Unwrap returns the underlying response writer to http.ResponseController.
func (w *limitWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the response header. Without an announcement that the connection closes, it announces the limit less
// a margin for a request that is on its way, in whole seconds, unless that is less than a second.
func (w *limitWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.headerSent {
		w.headerSent = true
		if h := w.Header(); h.Get("Connection") == "" {
			limit := w.table.PromiseIdle(w.conn)
			if seconds := int64((limit - limit/idleMarginShare) / time.Second); seconds > 0 {
				h.Set("Connection", "keep-alive")
				h.Set("Keep-Alive", "timeout="+strconv.FormatInt(seconds, 10))
			}
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response body.
func (w *limitWriter) Write(p []byte) (int, error) {
	if !w.headerSent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // the caller of the writer wraps the error
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
