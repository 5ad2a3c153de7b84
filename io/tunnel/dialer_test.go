package tunnel

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/io/wall"
)

// newTestDialer returns a dialer whose direct connections dial opens.
func newTestDialer(dial DialFunc) *Dialer {
	d := &Dialer{Key: "k", DialDirect: dial, Clock: wall.Clock{}, Log: zap.NewNop()}
	d.Init()
	return d
}

// A lost SYN must not delay a request by the whole dial timeout: a second connection is dialled after secondDialDelay,
// and the slower of the two is closed.
func TestSecondConnection(t *testing.T) {
	var dials, closed atomic.Int32
	d := newTestDialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			// The first connection is established late, as if its SYN had been resent.
			select {
			case <-ctx.Done():
			case <-time.After(4 * secondDialDelay):
			}
		}
		return &countedClose{closed: &closed}, nil
	})
	began := time.Now()
	c, err := d.DialContext(t.Context(), "tcp", "x")
	if took := time.Since(began); err != nil || took < secondDialDelay || took > 3*secondDialDelay {
		t.Fatalf("connect returned error %v after %s", err, took)
	}
	for wait := time.Now(); closed.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Since(wait) > time.Second {
			t.Fatal("the slower connection is still open")
		}
	}
	if c.(*countedClose).own.Load() {
		t.Error("the returned connection is closed")
	}
}

// A refused connection must not cause a second dial, and its error must be returned.
func TestRefusedConnection(t *testing.T) {
	var dials atomic.Int32
	refused := errors.New("refused")
	d := newTestDialer(func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		return nil, refused
	})
	if _, err := d.DialContext(t.Context(), "tcp", "x"); !errors.Is(err, refused) || dials.Load() != 1 {
		t.Errorf("connect returned error %v after %d dials", err, dials.Load())
	}
}

// countedClose is a connection that counts how often it is closed.
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
