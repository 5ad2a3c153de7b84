package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"wasabiweir/core/clock"
	"wasabiweir/core/common"
	"wasabiweir/core/poison"
	"wasabiweir/io/serve"
	"wasabiweir/io/stand"
)

// callServer answers each call with a status, or breaks the connection if the status is zero, and counts the calls.
type callServer struct{ status, calls atomic.Int32 }

// ServeHTTP handles a call.
func (s *callServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.calls.Add(1)
	if s.status.Load() == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(int(s.status.Load()))
}

// newCallServer starts a server and returns it with a callSender that uses it as the only endpoint.
func newCallServer(t *testing.T) (*callServer, *callSender) {
	s := &callServer{}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, newCalls(t, server.Listener.Addr().String())
}

// advance moves the router's clock.
func advance(c *callSender, d time.Duration) { c.router.Clock.(*clock.Manual).Advance(d) }

// An endpoint that loses the responses of a call and still accepts connections must not count as crashed.
func TestLostResponseIsNoCrash(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		s, c := newCallServer(t)
		for range 4 {
			sendAnyCall(t, c, method)
			advance(c, time.Second)
		}
		if list := c.router.crashes.All(); len(list) > 0 || s.calls.Load() < 4 {
			t.Errorf("%s: %d crashes are recorded after %d calls, want none", method, len(list), s.calls.Load())
		}
	}
}

// A gateway's error for a call that is in quarantine must not end the quarantine, and the endpoint's own answer must.
func TestServerErrorDoesNotEndQuarantine(t *testing.T) {
	s, c := newCallServer(t)
	x := newCall(http.MethodGet, "")
	for i := range 3 {
		crash := poison.NewCrash(fmt.Sprint("r", i), fmt.Sprint("rondas-", i), fmt.Sprint("domain-", i), x.crashParts())
		c.router.crashes.Merge([]poison.Crash{crash})
		advance(c, time.Second)
	}
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		c.markSound(x, &attempt{name: "rondas"}, &endpointResponse{status: status}, c.router.Clock.Now())
		if f := sendAnyCall(t, c, http.MethodGet); f == nil || f.Reason != common.ReasonCrashesEngines || s.calls.Load() > 0 {
			t.Fatalf("after status %d the call is refused with %v and sent %d times, want it in quarantine", status, f, s.calls.Load())
		}
	}
	s.status.Store(http.StatusNotFound)
	c.markSound(x, &attempt{name: "rondas"}, &endpointResponse{status: http.StatusNotFound}, c.router.Clock.Now())
	if f := sendAnyCall(t, c, http.MethodGet); f != nil || s.calls.Load() != 1 {
		t.Errorf("after an answer the call is refused with %v and sent %d times", f, s.calls.Load())
	}
}

// Guards against calls that are sent to an endpoint after their caller has closed its connection, at a router that is too late to have
// noticed that.
func TestCallOfCallerThatLeftIsNotSent(t *testing.T) {
	s, c := newCallServer(t)
	s.status.Store(http.StatusOK)
	caller, accepted, err := stand.ConnPair()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	ctx := serve.ContextWithConn(t.Context(), accepted)
	if _, err := c.sendIdempotent(ctx, newCall(http.MethodGet, "")); err != nil {
		t.Fatal(err)
	}
	_ = caller.Close()
	time.Sleep(10 * time.Millisecond)
	if _, err = c.sendIdempotent(ctx, newCall(http.MethodGet, "")); err == nil || s.calls.Load() != 1 {
		t.Fatalf("%v; the endpoint got %d calls, want 1", err, s.calls.Load())
	}
	if f := common.AsRefusal(err); f.Outcome != common.OutcomeNotRun {
		t.Errorf("the outcome is %s", f.Outcome)
	}
}
