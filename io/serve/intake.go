package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/intake"
)

const (
	// headRetryAfter is the Retry-After time, in seconds, of a request whose head the process has no memory for.
	headRetryAfter = "1"
	// refusalTimeout bounds the time for writing a refusal, and that in which the client can read it. A connection that is closed
	// with unread bytes is reset, and the client could lose the refusal.
	refusalTimeout = 500 * time.Millisecond
	// maxRefusedBytes bounds the bytes that are read and dropped meanwhile.
	maxRefusedBytes = 1 << 20
	// intakeLogInterval is the least time between two log lines on refused heads.
	intakeLogInterval = time.Second
)

// errHeadRefused is returned to net/http for a request whose head was refused.
var errHeadRefused = eris.New("the head of the request was refused")

// Intake bounds what the clients of all HTTP servers of a process take together. Its exported fields are set before its first use.
type Intake struct {
	// Resources are what the process may use.
	Resources intake.Resources
	// RefusalBody returns the content type and the body of a refusal for the reason; nil means the reason as plain text.
	RefusalBody func(reason common.Reason) (contentType string, body []byte)
	// Log and Metrics may be nil.
	Log     *zap.Logger
	Metrics tally.Scope

	// bodies is the memory in bytes that large bodies take.
	bodies atomic.Int64

	mu    sync.Mutex
	heads intake.HeadBudget
	// refusedHeads, refusedBodies and fullListeners hold back log lines.
	refusedHeads, refusedBodies, fullListeners lineLimit
}

// lineLimit bounds the log lines on one kind of event in time.
type lineLimit struct {
	// events counts the events since the last line, at logged.
	events int
	logged time.Time
}

// next counts an event. It returns the number of events for a log line, or 0 if there must be none now.
func (l *lineLimit) next(now time.Time) (events int) {
	l.events++
	if now.Sub(l.logged) < intakeLogInterval {
		return 0
	}
	events = l.events
	l.events, l.logged = 0, now
	return events
}

// AddHTTPServer adds an HTTP server to the run group. When another member of the run group returns, the server closes;
// it first answers the requests on its open connections for at most the time that answerTime returns, if that is not nil.
func (i *Intake) AddHTTPServer(g *run.Group, server *http.Server, listener net.Listener, answerTime func() time.Duration) {
	s := newHTTPServer(server, listener)
	s.conns.intake = i
	if limited, ok := listener.(interface{ setCloseWaiting(f func() bool) }); ok {
		limited.setCloseWaiting(func() bool {
			closed := s.conns.closeWaiting()
			i.recordFull(listener.Addr(), closed)
			return closed
		})
	}
	g.Add(s.run, func(error) {
		if answerTime != nil {
			s.shutdown(answerTime())
		}
		_ = s.Close()
	})
}

// growHead decides on what has arrived of a head; see intake.HeadBudget.
func (i *Intake) growHead(held int64, h intake.Head) (int64, intake.Verdict) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.heads.Bytes == 0 {
		i.heads.Bytes = i.Resources.HeadBytes()
	}
	return i.heads.Grow(held, h)
}

// releaseHead returns the part of the budget that a request holds.
func (i *Intake) releaseHead(held int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.heads.Release(held)
}

// recordRefusal counts a refused head of a client, and logs the refusals from time to time.
func (i *Intake) recordRefusal(v intake.Verdict, client net.Addr) {
	reason := "busy"
	if v == intake.TooLarge {
		reason = "too-large"
	}
	i.count("heads-refused", reason)
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := i.refusedHeads.next(time.Now()); n > 0 && i.Log != nil {
		i.Log.Warn("heads-refused", zap.Int("refused", n), zap.String("reason", reason), zap.Stringer("client", client),
			zap.Int64("taken-bytes", i.heads.Taken()), zap.Int64("budget-bytes", i.heads.Bytes))
	}
}

// recordFull counts a connection that was closed because the listener at the address has as many as it may: one that waited for a
// request, or else the new one. It logs them from time to time.
func (i *Intake) recordFull(address net.Addr, waited bool) {
	reason := "new"
	if waited {
		reason = "waiting"
	}
	i.count("connections-displaced", reason)
	i.mu.Lock()
	defer i.mu.Unlock()
	if n := i.fullListeners.next(time.Now()); n > 0 && i.Log != nil {
		i.Log.Warn("connections-displaced", zap.Stringer("address", address), zap.Int("closed", n), zap.String("reason", reason))
	}
}

// count adds one to the counter for the reason.
func (i *Intake) count(name, reason string) {
	if i.Metrics != nil {
		i.Metrics.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
	}
}

// meterHead counts the bytes of a read and takes the memory of the head that they belong to; c.mu is held.
func (c *clientConn) meterHead(p []byte) intake.Verdict {
	c.head.add(p)
	if c.table.intake == nil || c.phase == phaseServing {
		return intake.Admitted
	}
	return c.growHead()
}

// growHead takes the memory of the head as far as it was counted; c.mu is held.
func (c *clientConn) growHead() (v intake.Verdict) {
	c.headBytes, v = c.table.intake.growHead(c.headBytes, c.head.Head)
	return v
}

// admitUnread decides on the head of a request that net/http has read together with the request before. Its memory is taken
// already, so that the connection can only be closed.
func (c *clientConn) admitUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.intake == nil || !c.head.unread {
		return
	}
	c.head.startWith(c.bufferSize)
	if v := c.growHead(); v != intake.Admitted {
		c.table.intake.recordRefusal(v, c.RemoteAddr())
		_ = c.Conn.Close()
	}
}

// endHead returns the memory of the current head at the end of the connection.
func (c *clientConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
}

// releaseHead returns the memory of the head of the request that has ended; c.mu is held.
func (c *clientConn) releaseHead() {
	if c.headBytes > 0 {
		c.table.intake.releaseHead(c.headBytes)
		c.headBytes = 0
	}
}

// refuseHead answers a request whose head was not admitted, waits until the client has read that, and returns the error that makes
// net/http close the connection without a further answer.
func (c *clientConn) refuseHead(v intake.Verdict) error {
	c.table.intake.recordRefusal(v, c.RemoteAddr())
	until := time.Now().Add(refusalTimeout)
	if c.SetDeadline(until) == nil {
		_, err := c.Conn.Write(c.table.intake.headRefusal(v))
		if err == nil && c.closeWrite() == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, maxRefusedBytes)
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadRefused}
}

// headRefusal returns the response to a request whose head was not admitted. Its status states that the request has not run.
func (i *Intake) headRefusal(v intake.Verdict) []byte {
	status, reason, lines := http.StatusServiceUnavailable, common.ReasonOverloaded, "Retry-After: "+headRetryAfter+"\r\n"
	if v == intake.TooLarge {
		status, reason, lines = http.StatusRequestHeaderFieldsTooLarge, common.ReasonBadRequest, ""
	}
	contentType, body := "text/plain; charset=utf-8", []byte(string(reason)+"\n")
	if i.RefusalBody != nil {
		contentType, body = i.RefusalBody(reason)
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), contentType, lines, len(body), body)
}

// closeWrite ends the process's side of the connection.
func (c *clientConn) closeWrite() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Shutdown(int(fd), syscall.SHUT_WR) }); err != nil {
		return fmt.Errorf("access the socket of a connection: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("end the writing on a connection: %w", failed)
	}
	return nil
}
