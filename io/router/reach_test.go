package router

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/clock"
	"wasabiweir/core/common"
	"wasabiweir/core/reach"
	"wasabiweir/core/route"
	"wasabiweir/io/tunnel"
	"wasabiweir/io/wall"
)

// Guards against the suspension of endpoints that are up and that only this router does not reach.
func TestEndpointsOutOfReachAreNotSuspended(t *testing.T) {
	addresses := []string{"192.0.2.1:1", "192.0.2.2:1", "192.0.2.3:1"}
	c := newCalls(t, addresses...)
	r := c.router
	r.DialDirect = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	r.initReach()
	now := r.Clock.(*clock.Manual)
	now.Advance(time.Minute)
	carrier := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer carrier.Close()
	r.dialer.SetCarriers([]reach.Carrier{{Address: carrier.Listener.Addr().String()}})
	dial := func(i int) error {
		conn, err := r.dialer.DialContext(t.Context(), "tcp", addresses[i])
		if err == nil {
			_ = conn.Close()
		}
		return err
	}
	pick := func(i int) (*attempt, error) {
		excluded := route.NewNameSet("rondas-1", "rondas-2", "rondas-3")
		delete(excluded, fmt.Sprintf("rondas-%d", i+1))
		return r.dispatcher.pickEndpoint(newCall(http.MethodGet, "").routeRequest(), excluded)
	}
	fail := func(i int, reason common.Reason, err error) {
		t.Helper()
		a, pickErr := pick(i)
		if pickErr != nil {
			t.Fatalf("endpoint %d is suspended: %v", i+1, pickErr)
		}
		r.recordAttemptFailure(a, reason, err)
	}
	// The endpoint is suspended after a failure until it is found out of reach.
	fail(0, common.RetryReset, nil)
	if _, err := pick(0); err == nil {
		t.Fatal("an endpoint that reset a connection is not suspended")
	}
	for i := range addresses {
		if err := dial(i); err != nil {
			t.Fatal(err)
		}
	}
	for i := range addresses {
		fail(i, common.RetrySilent, nil)
		fail(i, common.RetryReset, nil)
	}
	r.dialer.SetCarriers(nil)
	err := dial(0)
	if !errors.Is(err, tunnel.ErrCutOff) {
		t.Fatalf("error %v, want that of a router that is cut off", err)
	}
	fail(0, common.RetryConnect, err)
	if _, err := c.sendIdempotent(t.Context(), newCall(http.MethodGet, "")); common.AsRefusal(err).Reason != common.ReasonCutOff {
		t.Errorf("a call that nobody can send ends with %v", err)
	}
	fail(0, common.RetryConnect, syscall.ECONNREFUSED)
	if _, err := pick(0); err == nil {
		t.Error("an endpoint that is down is not suspended")
	}
}

// busyCarrier is a carrier that passes one connection on to the endpoint, declines for a while, and passes on all others.
type busyCarrier struct {
	endpoint *callServer
	busyFor  time.Duration

	mu        sync.Mutex
	busyUntil time.Time
}

// ServeHTTP handles the request for a connection, on which it answers a call itself.
func (c *busyCarrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case strings.HasPrefix(r.Host, deadNet):
		return
	case !strings.Contains(r.Host, ":"):
		// It is no endpoint that is asked for.
		w.WriteHeader(http.StatusForbidden)
		return
	case time.Now().Before(c.busyUntil):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	_, _ = io.WriteString(nc, "HTTP/1.1 200 Connected\r\n\r\n")
	if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
		return
	}
	if c.endpoint.calls.Add(1) == 1 {
		c.busyUntil = time.Now().Add(c.busyFor)
		return
	}
	_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// deadNet begins the addresses of endpoints to which a busyCarrier passes nothing on.
const deadNet = "198.51.100."

// Guards against calls that end with an unknown outcome because nobody can carry a connection at the moment of their second attempt.
func TestCallAwaitsCarrierAfterLoss(t *testing.T) {
	c := newCalls(t, "192.0.2.1:1", "192.0.2.2:1", "192.0.2.3:1")
	r := c.router
	r.Clock = wall.Clock{}
	r.DialDirect = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	r.initReach()
	endpoint := &callServer{}
	carrier := httptest.NewServer(&busyCarrier{endpoint: endpoint, busyFor: 300 * time.Millisecond})
	defer carrier.Close()
	r.dialer.SetCarriers([]reach.Carrier{{Address: carrier.Listener.Addr().String()}})
	for i := range 3 {
		conn, err := r.dialer.DialContext(t.Context(), "tcp", fmt.Sprintf("%s%d:1", deadNet, i))
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
	x := newCall(http.MethodGet, "")
	x.deadline = 3 * time.Second
	if _, err := c.sendIdempotent(t.Context(), x); err != nil || endpoint.calls.Load() != 2 {
		t.Errorf("%v after %d calls", err, endpoint.calls.Load())
	}
}
