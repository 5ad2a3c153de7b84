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

// limitedListener is a listener with a limit on its open connections. For a connection beyond the limit it closes one that waits
// for a request, or else the new one, so that the client notices and can connect to another process.
type limitedListener struct {
	net.Listener
	// closeWaiting closes a connection on which the server waits for a request, and reports whether there was one; it may be nil.
	closeWaiting func() bool
	// openConns has one element for each open connection of the listener; its capacity is the limit.
	openConns chan struct{}
}

// LimitListener returns a listener that keeps at most maxOpen connections open. If the server is one of an Intake, those that
// have waited longest for a request make room for further ones.
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
		if l.takeSlot() {
			return &limitedConn{Conn: c, openConns: l.openConns}, nil
		}
		_ = c.Close()
	}
}

// takeSlot counts a new connection towards the limit, if necessary instead of one that waits for a request. It returns false if
// there is no room.
func (l *limitedListener) takeSlot() bool {
	for {
		select {
		case l.openConns <- struct{}{}:
			return true
		default:
			if l.closeWaiting == nil || !l.closeWaiting() {
				return false
			}
		}
	}
}

// setCloseWaiting sets what makes room for further connections.
func (l *limitedListener) setCloseWaiting(f func() bool) { l.closeWaiting = f }

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
