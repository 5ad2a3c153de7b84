package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// flushMargin is the time that net/http has to flush a response whose handler has ended just before its write limit.
	flushMargin = 50 * time.Millisecond
	// deadlineMargin is the time by which the write deadline is later than the limit while the handler runs. net/http closes a
	// connection whose deadline has passed, after which the limit can no longer make that a reset; timers fire late under load.
	deadlineMargin = time.Second
)

// connContextKey is the context key under which a request finds the network connection on which its client sent it.
type connContextKey struct{}

// ContextWithConn is a ConnContext hook for HTTP servers: it stores the connection in the context of its requests.
func ContextWithConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, nc)
}

// ConnOf returns the connection on which the request of the context was sent, or nil if it is not known.
func ConnOf(ctx context.Context) net.Conn {
	nc, _ := ctx.Value(connContextKey{}).(net.Conn)
	return nc
}

// WriteLimit bounds the time for writing a response to a client that may not read.
type WriteLimit struct {
	w       http.ResponseWriter
	request *http.Request
	timer   *time.Timer
	// until is when the limit is enforced.
	until time.Time
	// fired is closed once the limit has been enforced.
	fired chan struct{}
}

// LimitWriting makes writes of the response fail after the duration d, and resets the connection then. Stop must be
// called before the handler returns.
func LimitWriting(w http.ResponseWriter, r *http.Request, d time.Duration) (*WriteLimit, error) {
	l := &WriteLimit{w: w, request: r, until: time.Now().Add(d), fired: make(chan struct{})}
	if err := l.setDeadline(l.until.Add(deadlineMargin)); err != nil {
		return nil, err
	}
	l.timer = time.AfterFunc(d, l.run)
	return l, nil
}

// run enforces the limit.
func (l *WriteLimit) run() {
	defer close(l.fired)
	_ = ResetOnClose(ConnOf(l.request.Context()))
	_ = l.setDeadline(time.Now())
}

// Stop ends the watch over a response, whose rest may still be flushed within the limit. It may be called on nil.
func (l *WriteLimit) Stop() {
	if l == nil {
		return
	}
	if !l.timer.Stop() {
		<-l.fired
		return
	}
	_ = l.setDeadline(l.until.Add(flushMargin))
}

// setDeadline sets the time at which writes of the response fail.
func (l *WriteLimit) setDeadline(t time.Time) error {
	if err := http.NewResponseController(l.w).SetWriteDeadline(t); err != nil {
		return fmt.Errorf("set a write deadline: %w", err)
	}
	return nil
}

// ResetOnClose makes the end of the connection a reset, which drops what the peer has not read yet. The kernel otherwise
// goes on sending megabytes of an incomplete response to a peer that reads slowly.
func ResetOnClose(nc net.Conn) error {
	raw, err := rawConn(nc)
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}); err != nil {
		return fmt.Errorf("access the socket of a connection: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set the linger time of a connection: %w", failed)
	}
	return nil
}
