package serve

import (
	"net"
	"sync/atomic"
	"syscall"
)

// ResetConn is a connection that ends with a reset if it is closed while a write is in progress or after one has failed. The end
// of the connection would otherwise wait in this instance's kernel behind data for which the peer has no room, unseen by the peer
// for as long as it does not read.
type ResetConn struct {
	net.Conn
	// unsent is true from the beginning of a write until it has succeeded.
	unsent atomic.Bool
}

// Write writes to the connection.
func (c *ResetConn) Write(p []byte) (int, error) {
	c.unsent.Store(true)
	n, err := c.Conn.Write(p)
	if err == nil {
		c.unsent.Store(false)
	}
	return n, err //nolint:wrapcheck // net/http wraps the errors of writes
}

// HasUnsent reports whether a write is in progress or has failed.
func (c *ResetConn) HasUnsent() bool { return c.unsent.Load() }

// Close closes the connection.
func (c *ResetConn) Close() error {
	if c.unsent.Load() {
		// Without the reset, the connection still closes.
		_ = ResetOnClose(c.Conn)
	}
	return c.Conn.Close() //nolint:wrapcheck // net/http compares the error with net.ErrClosed
}

// SyscallConn returns the raw connection, or an error if the connection is no socket of the operating system.
func (c *ResetConn) SyscallConn() (syscall.RawConn, error) { return RawConn(c.Conn) }
