package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
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

// LimitWriting bounds the time for writing the response to a client that may not read: writes fail after the duration d, and the
// connection is reset then. net/http lifts the bound when the response is complete.
func LimitWriting(w http.ResponseWriter, d time.Duration) error {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d)); err != nil {
		return fmt.Errorf("set a write deadline: %w", err)
	}
	return nil
}

// ResetOnClose makes the end of the connection a reset, which drops what the peer has not read yet. The kernel otherwise
// goes on sending megabytes of an incomplete response to a peer that reads slowly.
func ResetOnClose(nc net.Conn) error { return setLinger(nc, &syscall.Linger{Onoff: 1}) }

// EndOnClose undoes ResetOnClose: the end of the connection is a regular one, after all data that were sent.
func EndOnClose(nc net.Conn) error { return setLinger(nc, &syscall.Linger{}) }

// LimitUnacknowledged makes the connection fail once the kernel of the other side has not acknowledged sent data for the given time.
func LimitUnacknowledged(nc net.Conn, limit time.Duration) error {
	raw, err := RawConn(nc)
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	}); err != nil {
		return fmt.Errorf("access the socket of a connection: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("limit the time of unacknowledged data: %w", failed)
	}
	return nil
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which the package syscall lacks.
const tcpUserTimeout = 0x12

// setLinger sets what the kernel does at the end of the connection.
func setLinger(nc net.Conn, l *syscall.Linger) error {
	raw, err := RawConn(nc)
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, l)
	}); err != nil {
		return fmt.Errorf("access the socket of a connection: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set the linger time of a connection: %w", failed)
	}
	return nil
}

// HasPeerClosed reports whether the peer has closed its end of the connection, even if data that it sent before is unread. It
// returns false if that is not known.
func HasPeerClosed(nc net.Conn) bool { return hasSocketEvent(nc, syscall.EPOLLRDHUP) }

// HasPeerReset reports whether the peer has reset the connection, which drops what it sent before. It returns false if that is not known.
func HasPeerReset(nc net.Conn) bool { return hasSocketEvent(nc, 0) }
