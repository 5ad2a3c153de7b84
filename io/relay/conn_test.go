package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/wall"
)

// A lost SYN must not delay a request by the whole dial timeout: a second connection is dialled after secondDialDelay,
// and the slower of the two is closed.
func TestSecondConnection(t *testing.T) {
	var dials, closed atomic.Int32
	p := &connPool{dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			// The first connection is established late, as if its SYN had been resent.
			select {
			case <-ctx.Done():
			case <-time.After(4 * secondDialDelay):
			}
		}
		return &countedClose{closed: &closed}, nil
	}}
	began := time.Now()
	c, err := p.dialEndpoint(t.Context(), "x")
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
	p := &connPool{dial: func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		return nil, refused
	}}
	if _, err := p.dialEndpoint(t.Context(), "x"); !errors.Is(err, refused) || dials.Load() != 1 {
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

// Guards against a request that gets a connection from the pool which another one is about to close, after a refusal.
func TestConnectionIsNotPooledAfterRefusal(t *testing.T) {
	for _, text := range []string{"503 Full\r\nX-Not: 1", "421 Gone", "429 Later\r\nX-Not: 1", "400 Bad\r\nX-Not: 1"} {
		r := &Relay{Clock: wall.Clock{}, Log: zap.NewNop(), Names: HeaderNames{
			RequestID: "X-Id", NotExecuted: "X-Not", Limit: "X-Limit", Load: "X-Load",
			ParseLimit: func(string) (float64, bool) { return 0, false }, ParseLoad: func(string) (place.EndpointLoad, bool) { return place.EndpointLoad{}, false },
			ParseAnnouncement: func(int, http.Header) place.Announcement { return place.Announcement{} },
		}}
		r.pool.initPool(r)
		q := &request{relay: r, r: httptest.NewRequest(http.MethodPost, "/", http.NoBody), id: "7", log: r.Log}
		conn := &openConn{scriptedConn{r: strings.NewReader("HTTP/1.1 " + text + "\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n")}}
		if got := q.receiveResponse(newEndpointConn(conn, place.Endpoint{ID: "e"})); got.outcome != notExecuted || len(r.pool.idleConns["e"]) != 0 {
			t.Errorf("%s: outcome %d, %d connections in the pool", text, got.outcome, len(r.pool.idleConns["e"]))
		}
	}
}

// openConn is a scripted connection without deadlines.
type openConn struct{ scriptedConn }

func (*openConn) SetDeadline(time.Time) error { return nil }
