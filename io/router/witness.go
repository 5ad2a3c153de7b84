package router

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"wasabiweir/io/tunnel"
)

const (
	// witnessDialTimeout bounds the time to establish a witness.
	witnessDialTimeout = 250 * time.Millisecond
	// witnessWait is how long a witness must stay open after the end of a response: a process that is killed closes its
	// connections one after the other.
	witnessWait = 50 * time.Millisecond
)

// witness is an unused connection to an endpoint, opened while the endpoint sends a response without a length. If it outlives
// the response, so has the process that sent it; a process started at the address since does not have the connection.
type witness struct{ conn net.Conn }

// newWitness opens a witness; it is not open if the endpoint accepts no connection.
func newWitness(ctx context.Context, dial tunnel.DialFunc, address string) *witness {
	ctx, cancel := context.WithTimeout(ctx, witnessDialTimeout)
	defer cancel()
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return &witness{}
	}
	return &witness{conn: c}
}

// isOpen reports whether the endpoint still has the connection open after witnessWait.
func (w *witness) isOpen(ctx context.Context) bool {
	if w.conn == nil || ctx.Err() != nil || w.conn.SetReadDeadline(time.Now().Add(witnessWait)) != nil {
		return false
	}
	_, err := w.conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil
}

// close closes the connection.
func (w *witness) close() {
	if w.conn != nil {
		_ = w.conn.Close()
	}
}
