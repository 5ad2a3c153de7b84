package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/reach"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// carriedDialTimeout bounds the connection of a carrier to an endpoint. It is shorter than that of a direct connection, so that the
	// answer comes while the process that asked still waits for its own.
	carriedDialTimeout = 150 * time.Millisecond
	// DefaultMaxConnections is the number of connections that a carrier passes on at the same time; each takes two file descriptors.
	DefaultMaxConnections = 500
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a process that asked and is gone without a reset, after 8 s without
	// unacknowledged data: no TCP_USER_TIMEOUT is set, so the count of probes decides. With such data, writes fail after several minutes.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Server is the HTTP handler with which a carrier connects others to endpoints. Its exported fields are set before it is used.
type Server struct {
	// Dialer opens the connections to endpoints; those that are carried do not go through a further carrier.
	Dialer *Dialer
	// IsListed reports whether the address is that of an endpoint.
	IsListed func(address string) bool
	// IsClosed reports whether this process takes no further connections because it stops.
	IsClosed func() bool
	// MaxConnections bounds the connections that are passed on; 0 means DefaultMaxConnections.
	MaxConnections int64

	open   atomic.Int64
	askers askerTable
}

// Or returns a handler that leaves all requests but those for connections to another one.
func (s *Server) Or(other http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			s.ServeHTTP(w, r)
			return
		}
		other.ServeHTTP(w, r)
	})
}

// Open returns the number of connections that are passed on now.
func (s *Server) Open() int { return int(s.open.Load()) }

// ServeHTTP connects to the endpoint that a CONNECT request names and passes bytes on in both directions until either side ends, or watches
// the process that asks for connections.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case !wire.IsAuthorised(s.Dialer.Key, r.Header.Get("Authorization")):
		s.Dialer.Log.Warn("peer-refused", zap.String("remote", r.RemoteAddr), zap.String("reason", "wrong peer key"))
		http.Error(w, "wrong peer key", http.StatusUnauthorized)
	case r.Host == presenceAddress:
		s.watchAsker(w, r)
	default:
		s.connect(w, r)
	}
}

// connect connects to the endpoint that the request names and passes bytes on in both directions until either side ends.
func (s *Server) connect(w http.ResponseWriter, r *http.Request) {
	address, d := r.Host, s.Dialer
	limit := s.MaxConnections
	if limit == 0 {
		limit = DefaultMaxConnections
	}
	n := s.open.Add(1)
	defer s.open.Add(-1)
	switch {
	case s.IsClosed() || n > limit:
		s.refuse(w, http.StatusServiceUnavailable, resultBusy)
		return
	case !s.IsListed(address):
		s.refuse(w, http.StatusForbidden, resultUnlisted)
		return
	case d.IsCutOff():
		s.refuse(w, http.StatusServiceUnavailable, resultCutOff)
		return
	}
	endpoint, err := d.dialDirect(r.Context(), "tcp", address, carriedDialTimeout)
	result := resultOf(r.Context(), err)
	d.recordDirect(address, result)
	if err != nil {
		s.refuseResult(w, result)
		return
	}
	defer func() { _ = endpoint.Close() }()
	peer := s.takeOver(w)
	if peer == nil {
		return
	}
	defer func() { _ = peer.Close() }()
	s.count("carried")
	keepAlive(peer)
	p := &pipe{peer: peer, endpoint: endpoint, ended: make(chan struct{}, 2)}
	if asker := r.Header.Get(askerHeader); asker != "" {
		s.askers.add(asker, p)
		defer s.askers.remove(asker, p)
	}
	defer context.AfterFunc(r.Context(), p.close)()
	p.run()
}

// takeOver answers that a connection is there and returns the one on which the request came, which is not that of the HTTP server any more,
// or nil if that fails.
func (s *Server) takeOver(w http.ResponseWriter) net.Conn {
	peer, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.Dialer.Log.Warn("connection-not-taken-over", zap.Error(err))
		return nil
	}
	if rw.Reader.Buffered() == 0 && peer.SetDeadline(time.Time{}) == nil {
		if _, err := peer.Write([]byte("HTTP/1.1 200 Connected\r\n\r\n")); err == nil {
			return peer
		}
	}
	_ = peer.Close()
	return nil
}

// refuseResult refuses a connection that could not be opened.
func (s *Server) refuseResult(w http.ResponseWriter, r reach.Result) {
	switch {
	case s.Dialer.IsCutOff():
		s.refuse(w, http.StatusServiceUnavailable, resultCutOff)
	case (r == reach.Refused || r == reach.Silent) && s.Dialer.mayJudge():
		s.refuse(w, http.StatusBadGateway, resultLabel(r))
	default:
		s.refuse(w, http.StatusBadGateway, resultUnsure)
	}
}

// refuse answers a request for a connection that is not opened.
func (s *Server) refuse(w http.ResponseWriter, status int, result string) {
	s.count(result)
	w.Header().Set(resultHeader, result)
	w.WriteHeader(status)
}

// count increments the counter of connections that others asked for.
func (s *Server) count(result string) {
	s.Dialer.Metrics.Tagged(map[string]string{"result": result}).Counter("carrier-requests").Inc(1)
}

// keepAlive makes the kernel probe the process that asked for a connection.
func keepAlive(nc net.Conn) {
	type keepAliver interface {
		SetKeepAliveConfig(config net.KeepAliveConfig) error
	}
	if c, ok := nc.(keepAliver); ok {
		// Without the probes, the connection ends with the next write.
		_ = c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	}
}

// pipeBufferSize is the size in bytes of the buffer for each direction of a carried connection.
const pipeBufferSize = 8 << 10

// writeCheckInterval is the time for which a write may be blocked before the other side is looked at.
const writeCheckInterval = 100 * time.Millisecond

// pipe passes bytes on between the process that asked and the endpoint.
type pipe struct {
	peer, endpoint net.Conn
	// ended receives one item from each direction.
	ended chan struct{}
}

// run passes bytes on until either side ends. HTTP needs no half-closed connections, so that the end of one side ends both. Each side
// ends with a reset unless the other has ended regularly: what was cut off, also by the end of this process, must not look complete.
func (p *pipe) run() {
	if serve.ResetOnClose(p.peer) != nil || serve.ResetOnClose(p.endpoint) != nil {
		return
	}
	fromPeer := &pipeDirection{pipe: p, from: p.peer, to: p.endpoint}
	fromEndpoint := &pipeDirection{pipe: p, from: p.endpoint, to: p.peer}
	go fromPeer.run()
	go fromEndpoint.run()
	<-p.ended
	p.close()
	<-p.ended
}

// close closes both sides.
func (p *pipe) close() {
	_ = p.peer.Close()
	_ = p.endpoint.Close()
}

// pipeDirection passes bytes on in one direction.
type pipeDirection struct {
	pipe     *pipe
	from, to net.Conn
}

// run passes bytes on until a read or a write fails.
func (d *pipeDirection) run() {
	defer func() { d.pipe.ended <- struct{}{} }()
	buf := make([]byte, pipeBufferSize)
	for {
		n, err := d.from.Read(buf)
		if n > 0 && !d.write(buf[:n]) {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = serve.EndOnClose(d.to)
		}
		if err != nil {
			return
		}
	}
}

// write writes to the other side. While that does not read, it is noticed all the same that the process that asked has left, and that the
// endpoint has reset its connection. A regular end of the endpoint's leaves what it sent before still to be written.
func (d *pipeDirection) write(b []byte) bool {
	for {
		if d.to.SetWriteDeadline(time.Now().Add(writeCheckInterval)) != nil {
			return false
		}
		n, err := d.to.Write(b)
		if err == nil {
			return true
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || d.hasLeft() {
			return false
		}
		b = b[n:]
	}
}

// hasLeft reports whether the side that sends has ended the connection so that nothing needs to be written any more.
func (d *pipeDirection) hasLeft() bool {
	if d.from == d.pipe.peer {
		return serve.HasPeerClosed(d.from)
	}
	return serve.HasPeerReset(d.from)
}
