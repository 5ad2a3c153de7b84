package serve

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// errNoSocket is returned for a connection or a listener that is no socket of the operating system.
var errNoSocket = errors.New("no socket of the operating system")

// limitedListener is a listener with a limit on its open connections. It accepts connections beyond the limit and
// closes them at once, so that the client notices and can connect to another process.
type limitedListener struct {
	net.Listener
	// openConns has one element for each open connection of the listener; its capacity is the limit.
	openConns chan struct{}
}

// LimitListener returns a listener that keeps at most maxOpen connections open; it closes further ones as soon as they
// arrive.
func LimitListener(l net.Listener, maxOpen int) net.Listener {
	return &limitedListener{Listener: l, openConns: make(chan struct{}, maxOpen)}
}

// Accept returns the next connection that fits within the listener's limit on open connections, and closes those that
// do not.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http looks for temporary errors by their type
		}
		select {
		case l.openConns <- struct{}{}:
			return &limitedConn{Conn: c, openConns: l.openConns}, nil
		default:
			_ = c.Close()
		}
	}
}

// SyscallConn returns the raw connection, or an error if the listener is no socket of the operating system.
func (l *limitedListener) SyscallConn() (syscall.RawConn, error) { return RawConn(l.Listener) }

// limitedConn is a connection that counts towards the limit of its listener until it is closed.
type limitedConn struct {
	net.Conn
	once      sync.Once
	openConns chan struct{}
}

// Close closes the connection; only the first call frees the connection's place within the listener's limit.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.releaseSlot)
	if err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// SyscallConn returns the raw connection, or an error if the connection is no socket of the operating system.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) { return RawConn(c.Conn) }

// RawConn returns the raw connection of a connection or a listener, or an error if it is no socket of the operating
// system.
func RawConn(c any) (syscall.RawConn, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("get the socket: %w", err)
	}
	return raw, nil
}

// releaseSlot removes this connection from the open connections that count towards the listener's limit.
func (c *limitedConn) releaseSlot() { <-c.openConns }
