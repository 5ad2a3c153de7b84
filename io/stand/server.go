package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wasabiweir/core/clock"
	"wasabiweir/io/wall"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// maxBodyBytes is the largest accepted body of a request to a stand-in, in bytes.
const maxBodyBytes = 16 << 20

// headerTimeout bounds the time in which a stand-in must have received a request's headers.
const headerTimeout = 10 * time.Second

// ErrDied is returned by a stand-in's Run when an injected fault killed the stand-in.
var ErrDied = eris.New("stand-in died by an injected fault")

// Server is the HTTP server that each stand-in (a simulated engine, service or list of instances) embeds. It tracks
// the open connections so that faults can reset or silence them.
type Server struct {
	// Listen is the address on which the stand-in listens. It is ignored if Listener is set.
	Listen string
	// Listener is an open listener to use instead of opening one at the address Listen.
	Listener net.Listener
	// Log receives a line for each injected fault; nil disables logging.
	Log *zap.Logger
	// Clock provides the time for faults, load reports and cache events; nil means the wall clock.
	Clock clock.Clock

	mu    sync.Mutex                // guards conns
	conns map[*trackedConn]struct{} // open connections
}

// connContextKey is the context key under which a request's trackedConn is stored.
type connContextKey struct{}

// openListener sets the server's default log and clock and opens its listener.
func (s *Server) openListener() error {
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.Clock == nil {
		s.Clock = wall.Clock{}
	}
	s.conns = make(map[*trackedConn]struct{})
	if s.Listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.Listener = l
	return nil
}

// addHTTPServer adds two actors to the run group: the HTTP server, and one that ends the group when ctx ends.
func (s *Server) addHTTPServer(ctx context.Context, g *run.Group, h http.Handler) {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          zap.NewStdLog(s.Log),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	l := &trackingListener{Listener: s.Listener, server: s}
	g.Add(func() error { return srv.Serve(l) }, func(error) { _ = srv.Close() })
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-ctx.Done()
		return ctx.Err()
	}, func(error) { cancel() })
}

// runResult converts the error of a stand-in's run group into the result of its method Run. The end of the context is
// not an error.
func runResult(err error) error {
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return fmt.Errorf("serve: %w", err)
}

// silenceOtherConnections silences all open connections of the stand-in except the one that carries the request.
func (s *Server) silenceOtherConnections(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own, _ := r.Context().Value(connContextKey{}).(*trackedConn)
	for c := range s.conns {
		if c != own {
			c.silent.Store(true)
		}
	}
}

// resetConnections closes the stand-in's listener and resets all its connections.
func (s *Server) resetConnections() {
	_ = s.Listener.Close()
	s.mu.Lock()
	conns := s.conns
	s.conns = make(map[*trackedConn]struct{})
	s.mu.Unlock()
	for c := range conns {
		c.resetConn()
	}
}

// resetConnectionOf resets the connection that carries the request.
func resetConnectionOf(r *http.Request) {
	if c, ok := r.Context().Value(connContextKey{}).(*trackedConn); ok {
		c.resetConn()
	}
}

// trackingListener is a listener that registers each accepted connection with its stand-in's server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection as a trackedConn.
func (l *trackingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	c := &trackedConn{Conn: nc, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// trackedConn is a stand-in's connection that can be silenced. A silent connection stays open, but drops all sent and
// received bytes until the peer closes it.
type trackedConn struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

// Read reads from the connection. A silent connection discards the received bytes and returns only errors.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write writes to the connection. A silent connection discards the bytes and reports success.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and unregisters it from the stand-in's server.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// resetConn closes the connection with a TCP RST instead of an orderly shutdown.
func (c *trackedConn) resetConn() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// apiError is an error reply in the format of the completions API.
type apiError struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
}

// writeError sends an error reply in the format of the completions API.
func writeError(w http.ResponseWriter, status int, code, message string) {
	var e apiError
	e.Error.Message = message
	e.Error.Code = code
	e.Error.Type = "invalid_request_error"
	if status >= http.StatusInternalServerError {
		e.Error.Type = "server_error"
	}
	writeJSON(w, status, e)
}

// writeJSON sends a reply with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// decodeBody decodes a JSON request body. If the body is invalid, it sends an error reply and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(body)
	if err == nil {
		return true
	}
	writeError(w, http.StatusBadRequest, "bad_request", err.Error())
	return false
}
