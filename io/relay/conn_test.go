package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that waits for the whole timeout when the first packet of a connection is lost, and against
// connections that stay open behind it.
func TestSecondConnection(t *testing.T) {
	var dials, closed atomic.Int32
	p := &pool{dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			// A connection that is opened late, after the packet was sent again.
			select {
			case <-ctx.Done():
			case <-time.After(4 * dialAgain):
			}
		}
		return &countedClose{closed: &closed}, nil
	}}
	began := time.Now()
	c, err := p.connect(t.Context(), "x")
	if took := time.Since(began); err != nil || took < dialAgain || took > 3*dialAgain {
		t.Fatalf("%v after %s", err, took)
	}
	for wait := time.Now(); closed.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Since(wait) > time.Second {
			t.Fatal("the connection that lost stays open")
		}
	}
	if c.(*countedClose).own.Load() {
		t.Error("the connection that won is closed")
	}
}

// Guards against a second connection to an endpoint that refuses the first, and against a lost error.
func TestRefusedConnection(t *testing.T) {
	var dials atomic.Int32
	refused := errors.New("refused")
	p := &pool{dial: func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		return nil, refused
	}}
	if _, err := p.connect(t.Context(), "x"); !errors.Is(err, refused) || dials.Load() != 1 {
		t.Errorf("%v after %d connections", err, dials.Load())
	}
}

// countedClose is a connection that counts its end.
type countedClose struct {
	net.Conn
	closed *atomic.Int32
	own    atomic.Bool
}

func (c *countedClose) Close() error {
	c.own.Store(true)
	c.closed.Add(1)
	return nil
}
