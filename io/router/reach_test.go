package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/clock"
	"wasabiweir/core/common"
	"wasabiweir/core/reach"
	"wasabiweir/core/route"
	"wasabiweir/io/tunnel"
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
