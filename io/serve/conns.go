package serve

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wasabiweir/core/clock"
	"wasabiweir/core/intake"
)

// ConnLimits bounds what a client may do on a connection, in time; zero values set no bound.
type ConnLimits struct {
	// Idle is the time for which a connection may stay without a request. A lower limit applies to a connection that
	// has had a request only after its next one, since its client goes by the limit of the time of its last response.
	Idle time.Duration
	// Header is the time within which a client must send the header of a request, from its first byte on.
	Header time.Duration
}

// ClosedConn describes a connection that was closed because it exceeded a limit.
type ClosedConn struct {
	Remote net.Addr
	// Reason names the limit that was exceeded.
	Reason string
	// Limit is that limit, and After the time that the connection had spent in its phase.
	Limit, After time.Duration
}

// The reasons for which connections are closed.
const (
	reasonIdle   = "idle"
	reasonHeader = "header"
)

// ConnTable holds the open connections of an HTTP server and closes those that exceed a time limit. The state that
// net/http reports leaves idle only when a whole header has been read, so the table goes by the reads: a connection is
// closed only while the server waits for more bytes, and bytes that arrive after that never reach the server. The
// exported fields are set before use.
type ConnTable struct {
	Clock clock.Clock
	// Limits returns the limits in force.
	Limits func() ConnLimits

	// intake bounds the memory of request heads; nil means that this table does not.
	intake *Intake

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// Listener returns a listener whose connections the table holds. The HTTP server must serve this listener itself, and
// have TrackState as its ConnState hook.
func (t *ConnTable) Listener(l net.Listener) net.Listener {
	t.conns = map[*clientConn]struct{}{}
	return &trackedListener{Listener: l, table: t}
}

// TrackState is the HTTP server's ConnState hook.
func (t *ConnTable) TrackState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*clientConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.early.reset()
		c.setPhase(phaseServing, 0)
		c.admitUnread()
	case http.StateIdle:
		c.setPhase(phaseIdle, t.Limits().Idle)
	case http.StateHijacked:
		c.endHead()
		c.hijacked.Store(true)
		t.remove(c)
	case http.StateClosed:
		// The connection has left the table.
		c.endHead()
	case http.StateNew:
		// The connection is in its first phase already.
	}
}

// CloseExpired closes the connections that exceed a limit, and returns them and the number of those that stay open.
func (t *ConnTable) CloseExpired() (closed []ClosedConn, open int) {
	limits := t.Limits()
	conns := t.openConns()
	for _, c := range conns {
		if expired, ok := c.closeIfExpired(limits); ok {
			closed = append(closed, expired)
		}
	}
	return closed, len(conns) - len(closed)
}

// Expired reports whether the table has closed the connection because it exceeded a limit, and which.
func (t *ConnTable) Expired(nc net.Conn) (ClosedConn, bool) {
	c, ok := nc.(*clientConn)
	if !ok {
		return ClosedConn{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expiry, c.expired
}

// PromiseIdle returns the limit on idle connections that is in force, for a response that announces it. The connection is
// not held to a lower one after that response.
func (t *ConnTable) PromiseIdle(nc net.Conn) time.Duration {
	c, ok := nc.(*clientConn)
	if !ok {
		return 0
	}
	limit := t.Limits().Idle
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promisedIdle = limit
	return limit
}

// openCount returns the number of connections in the table.
func (t *ConnTable) openCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// closeIdle closes the connections on which the server waits for a request.
func (t *ConnTable) closeIdle() {
	for _, c := range t.openConns() {
		c.closeIfIdle()
	}
}

// openConns returns the connections in the table.
func (t *ConnTable) openConns() []*clientConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*clientConn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns
}

// remove takes a connection out of the table.
func (t *ConnTable) remove(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// trackedListener is a listener whose connections a table holds.
type trackedListener struct {
	net.Listener
	table *ConnTable
}

// Accept returns the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http looks for temporary errors by their type
	}
	c := &clientConn{Conn: nc, table: l.table, since: l.table.Clock.Now()}
	l.table.mu.Lock()
	l.table.conns[c] = struct{}{}
	l.table.mu.Unlock()
	return c, nil
}

// setCloseWaiting sets what makes room on a limited listener.
func (l *trackedListener) setCloseWaiting(f func() bool) {
	if limited, ok := l.Listener.(interface{ setCloseWaiting(f func() bool) }); ok {
		limited.setCloseWaiting(f)
	}
}

// SyscallConn returns the raw connection, or an error if the listener is no socket of the operating system.
func (l *trackedListener) SyscallConn() (syscall.RawConn, error) { return RawConn(l.Listener) }

// connPhase is what a connection is used for at the moment.
type connPhase int

const (
	// phaseIdle means that the server has got no byte of a request since the last one, or since the connection opened.
	phaseIdle connPhase = iota
	// phaseReceiving means that the server has got bytes of a request, but not yet its whole header.
	phaseReceiving
	// phaseServing means that a request is served.
	phaseServing
)

// clientConn is a connection of a client in a table.
type clientConn struct {
	net.Conn
	table *ConnTable

	mu    sync.Mutex
	phase connPhase
	// since is when the phase began, and idleLimit the limit on idle connections at that time; zero if the connection has
	// had no request.
	since     time.Time
	idleLimit time.Duration
	// hadRequest is true once the connection has had a request.
	hadRequest bool
	// promisedIdle is the limit on idle connections that the response of the current request has announced.
	promisedIdle time.Duration
	// early holds what was sent ahead of the response of the current request.
	early earlyStart
	// lateWriteUsed is true once a write was tried again after the present write deadline.
	lateWriteUsed atomic.Bool
	// hasWriteDeadline is true while a deadline is set for the writes, and hijacked once net/http has given the connection away.
	hasWriteDeadline, hijacked atomic.Bool
	// readAhead is true if a byte of the next request was read while the current one is served.
	readAhead bool
	// head counts the head of the current request, which has taken headBytes from the intake's budget.
	head      headMeter
	headBytes int64
	// bufferSize is the size in bytes of net/http's empty read buffer, and deadlines the number of read deadlines that were set
	// in the phase.
	bufferSize, deadlines int
	// waiting is true while a read waits for bytes. As long as the header of a request is being read, the bytes that the
	// server has got are then no whole header.
	waiting bool
	// expired is true once the connection was closed because it exceeded a limit; expiry says which.
	expired bool
	expiry  ClosedConn
}

// Read reads from the connection. Bytes that arrive when the connection has been closed for a limit are dropped, so that
// no request of which the client gets no response is served.
func (c *clientConn) Read(p []byte) (int, error) {
	c.beginRead(len(p))
	n, err := c.Conn.Read(p)
	if verdict := c.endRead(p[:n], len(p)); verdict != intake.Admitted {
		return 0, c.refuseHead(verdict)
	}
	if c.isExpired() {
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // net/http compares the error with io.EOF
}

// endRead records what a read for at most the given number of bytes has got, and decides on the head that it belongs to.
func (c *clientConn) endRead(p []byte, most int) intake.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.expired || len(p) == 0 {
		return intake.Admitted
	}
	if c.phase == phaseIdle {
		c.phase, c.since = phaseReceiving, c.table.Clock.Now()
	}
	// While net/http serves a request whose body is complete, it reads one byte to notice the end of the connection.
	if c.phase == phaseServing && most == 1 {
		c.readAhead = true
	}
	return c.meterHead(p)
}

// lateWriteTime is the time for a write whose deadline has passed before it began.
const lateWriteTime = 50 * time.Millisecond

// writeStallTime is the time within which a client must take what one write sends, if no deadline is set for the writes.
const writeStallTime = 5 * time.Second

// SetWriteDeadline sets the time at which writes fail.
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	c.lateWriteUsed.Store(false)
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t) //nolint:wrapcheck // the caller adds the context
}

// Write writes to the connection. A write that its deadline ends is tried once more for a moment, since the process may have
// stood still until then. If that fails too, the connection ends with a reset: net/http closes it as soon as a write has failed,
// before a handler can ask for that.
func (c *clientConn) Write(p []byte) (int, error) {
	early, err := c.early.begin(p)
	if err != nil {
		return 0, err
	}
	if c.limitsWrites() {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeStallTime)); err != nil {
			return 0, fmt.Errorf("bound the time for a write: %w", err)
		}
		c.lateWriteUsed.Store(false)
	}
	n, err := c.Conn.Write(p[early:])
	n += early
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.lateWriteUsed.Swap(true) && c.Conn.SetWriteDeadline(time.Now().Add(lateWriteTime)) == nil {
		var more int
		more, err = c.Conn.Write(p[n:])
		n += more
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = ResetOnClose(c)
	}
	return n, err //nolint:wrapcheck // net/http looks for timeouts by their type
}

// limitsWrites reports whether the connection bounds the time of each write by itself.
func (c *clientConn) limitsWrites() bool {
	return c.table.intake != nil && !c.hasWriteDeadline.Load() && !c.hijacked.Load()
}

// Close closes the connection and takes it out of its table.
func (c *clientConn) Close() error {
	c.table.remove(c)
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// SyscallConn returns the raw connection, or an error if the connection is no socket of the operating system.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) { return RawConn(c.Conn) }

// beginRead records that a read of at most n bytes waits for bytes. A read for less than an empty buffer means that net/http
// has read the first bytes of the request together with the request before.
func (c *clientConn) beginRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	if c.bufferSize == 0 {
		c.bufferSize = n
	}
	if c.phase == phaseIdle && n < c.bufferSize {
		c.phase = phaseReceiving
	}
	if c.phase != phaseServing {
		c.head.startWith(c.bufferSize - n)
	}
}

// isExpired reports whether the connection was closed because it exceeded a limit.
func (c *clientConn) isExpired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

// SetReadDeadline sets the time at which reads fail. net/http sets one as a connection becomes idle, and the next one when it
// has bytes of a request, which it may have read together with the request before.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadlines++
	if c.phase == phaseIdle && c.deadlines > 1 {
		c.phase = phaseReceiving
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // the caller adds the context
}

// setPhase records the beginning of a phase and the limit on idle connections, which is not below the announced one.
func (c *clientConn) setPhase(p connPhase, idleLimit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p == phaseIdle && c.readAhead {
		p = phaseReceiving
	}
	c.readAhead, c.deadlines = false, 0
	c.hadRequest = c.hadRequest || p == phaseServing
	c.phase, c.since, c.idleLimit = p, c.table.Clock.Now(), max(idleLimit, c.promisedIdle)
	c.promisedIdle = 0
	if p != phaseServing {
		c.releaseHead()
		c.head.next()
	}
}

// closeIfExpired closes the connection if it exceeds a limit.
func (c *clientConn) closeIfExpired(l ConnLimits) (ClosedConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, reason := l.Idle, reasonIdle
	if limit > 0 {
		limit = max(limit, c.idleLimit)
	}
	if c.phase == phaseReceiving {
		limit, reason = l.Header, reasonHeader
	}
	after := c.table.Clock.Now().Sub(c.since)
	if c.expired || !c.waiting || c.phase == phaseServing || limit <= 0 || after <= limit || c.hasUnread() {
		return ClosedConn{}, false
	}
	c.expired = true
	c.expiry = ClosedConn{Remote: c.RemoteAddr(), Reason: reason, Limit: limit, After: after}
	_ = c.Close()
	return c.expiry, true
}

// closeIfIdle closes the connection if the server waits for a request and has got no byte of one.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired || !c.waiting || c.phase != phaseIdle || c.hasUnread() {
		return
	}
	c.expired = true
	_ = c.Close()
}

// hasUnread reports whether bytes have arrived that no read has got yet, as after a pause of the process. It peeks at the
// socket without blocking.
func (c *clientConn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var buf [1]byte
	n := 0
	// Control, unlike Read, does not wait for the read that is in progress.
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
