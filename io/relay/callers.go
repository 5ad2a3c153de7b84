package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/state"
	"wasabiweir/io/serve"
)

// callerTick is the time between two looks for callers that take too long.
const callerTick = 500 * time.Millisecond

// callers holds callers' connections to the time limits of the configuration in force, which change while they are open.
type callers struct {
	relay *Relay

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is one connection of a caller.
type callerConn struct {
	state http.ConnState
	since time.Time
	// serving says that the header of a request has arrived.
	serving bool
}

// callerKey is the key of a connection in the context of its requests.
type callerKey struct{}

func (c *callers) prepare(r *Relay) {
	c.relay = r
	c.conns = map[net.Conn]*callerConn{}
}

// accepted keeps the connection in the context of its requests.
func (c *callers) accepted(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, conn)
}

// track records a change of a connection's state.
func (c *callers) track(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = &callerConn{state: s, since: c.relay.Clock.Now()}
}

// arrived records that the header of a request has arrived.
func (c *callers) arrived(ctx context.Context) {
	conn, ok := ctx.Value(callerKey{}).(net.Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.conns[conn]; x != nil {
		x.serving = true
	}
}

// loop closes the connections that are over a limit.
func (c *callers) loop(ctx context.Context) error {
	for serve.Pause(ctx, callerTick) {
		if index := c.relay.index.Load(); index != nil {
			c.enforce(index.State.Limits)
		}
	}
	return ctx.Err()
}

func (c *callers) enforce(l state.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.relay.Clock.Now()
	for conn, x := range c.conns {
		limit, reason := l.HeaderTimeout, "header"
		if x.state == http.StateIdle || x.state == http.StateNew {
			limit, reason = l.IdleTimeout, "idle"
		}
		if x.serving || limit <= 0 || now.Sub(x.since) <= limit {
			continue
		}
		c.relay.meter.count("caller-connections-closed", reason)
		c.relay.Log.Debug("caller-connection-closed", zap.String("reason", reason), zap.Stringer("remote", conn.RemoteAddr()))
		_ = conn.Close()
	}
}
