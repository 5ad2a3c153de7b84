package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"wasabiweir/io/wall"
)

// ShutdownTimeout is the time for which the graceful shutdown of an HTTP server waits for the requests in progress, unless
// the process is killed earlier.
const ShutdownTimeout = time.Second

const (
	// idleShutdownTimeout bounds the time for which connections without a request stay open after the listener has
	// closed, since the request of a client that has just connected may be on its way.
	idleShutdownTimeout = 100 * time.Millisecond
	// shutdownCheckInterval is the time between two checks during a graceful shutdown whether all connections have ended.
	shutdownCheckInterval = 5 * time.Millisecond
	// acceptCheckInterval is the time between two checks whether the server has accepted all connections.
	acceptCheckInterval = time.Millisecond
)

// httpServer is an HTTP server that can end without dropping a request that it has read. Shutdown of net/http drops each
// request whose header is complete only after the shutdown has begun, and closes connections as idle while it reads a
// request from them.
type httpServer struct {
	*http.Server
	listener net.Listener
	conns    ConnTable
	// handler, connState and connContext are the server's own handler and hooks.
	handler     http.Handler
	connState   func(net.Conn, http.ConnState)
	connContext func(context.Context, net.Conn) context.Context
	// stopping is true once the graceful shutdown has begun.
	stopping atomic.Bool
	// served is closed once the server accepts no more connections.
	served chan struct{}
}

// newHTTPServer returns a server that tracks the connections of the listener. It replaces the handler and the hooks of
// the HTTP server by its own, which call them.
func newHTTPServer(server *http.Server, l net.Listener) *httpServer {
	s := &httpServer{
		Server: server, handler: server.Handler, connState: server.ConnState, connContext: server.ConnContext,
		conns:  ConnTable{Clock: wall.Clock{}, Limits: func() ConnLimits { return ConnLimits{} }},
		served: make(chan struct{}),
	}
	s.listener = s.conns.Listener(l)
	server.Handler, server.ConnState, server.ConnContext = http.HandlerFunc(s.serveRequest), s.trackState, s.withConn
	return s
}

// run serves the listener until the server closes.
func (s *httpServer) run() error {
	defer close(s.served)
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
}

// serveRequest serves a request. The response announces the server's limit on idle connections, if it has one; during the
// graceful shutdown, it ends the connection.
func (s *httpServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.IdleTimeout > 0 {
		w = AnnounceIdleLimit(w, func() time.Duration { return s.IdleTimeout })
	}
	s.handler.ServeHTTP(w, r)
}

// trackState is the HTTP server's ConnState hook.
func (s *httpServer) trackState(nc net.Conn, state http.ConnState) {
	s.conns.TrackState(nc, state)
	if s.connState != nil {
		s.connState(innerConn(nc), state)
	}
}

// withConn is the HTTP server's ConnContext hook.
func (s *httpServer) withConn(ctx context.Context, nc net.Conn) context.Context {
	if s.connContext == nil {
		return ContextWithConn(ctx, innerConn(nc))
	}
	return s.connContext(ctx, innerConn(nc))
}

// innerConn returns the connection of the listener that the server was given.
func innerConn(nc net.Conn) net.Conn {
	if c, ok := nc.(*clientConn); ok {
		return c.Conn
	}
	return nc
}

// shutdown accepts the connections that are established, closes the listener and answers the requests on the open
// connections until none is left or the timeout has passed. Without a positive timeout it does nothing.
func (s *httpServer) shutdown(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	s.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.acceptPending(ctx, min(idleShutdownTimeout, timeout/2))
	_ = s.listener.Close()
	// A connection that has just been accepted is in the table by then.
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	idleUntil := time.Now().Add(min(idleShutdownTimeout, timeout/2))
	for s.conns.openCount() > 0 && Sleep(ctx, shutdownCheckInterval) {
		if time.Now().After(idleUntil) {
			s.conns.closeIdle()
		}
	}
}

// acceptPending waits until the server has accepted the connections that the operating system has established, for at
// most the timeout: they are reset when the listener closes, and their clients may have sent whole requests.
func (s *httpServer) acceptPending(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for hasSocketEvent(s.listener, syscall.EPOLLIN) && Sleep(ctx, acceptCheckInterval) {
	}
}
