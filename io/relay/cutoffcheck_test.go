package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/core/reach"
	"wasabiweir/io/tunnel"
)

// cutOff cuts the relay off from all endpoints, so that only the carrier connects it, and returns one of these.
func cutOff(t *testing.T, r *Relay, carrier http.Handler) (e place.Endpoint) {
	t.Helper()
	s := httptest.NewServer(carrier)
	t.Cleanup(s.Close)
	r.pool.dialer.DialDirect = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	r.pool.dialer.SetCarriers([]reach.Carrier{{Address: s.Listener.Addr().String()}})
	for n := range 3 {
		e = place.Endpoint{ID: fmt.Sprint("e", n), Address: fmt.Sprintf("10.0.0.%d:1", n)}
		c, err := r.pool.dialEndpoint(t.Context(), e)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	if !r.pool.dialer.IsCutOff() {
		t.Fatal("the relay does not know that it is cut off")
	}
	return e
}

// newCutOffRelay returns a relay that is cut off from all endpoints, one of these, and a switch that makes its only carrier decline.
func newCutOffRelay(t *testing.T) (r *Relay, e place.Endpoint, declines *atomic.Bool) {
	t.Helper()
	declines = &atomic.Bool{}
	r = newTestRelay(t)
	return r, cutOff(t, r, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if declines.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})), declines
}

// Guards against requests that count as having crashed an endpoint that a relay cannot reach because it is cut off.
func TestCutOffRelayFindsNoEndpointLost(t *testing.T) {
	r, e, declines := newCutOffRelay(t)
	declines.Store(true)
	c := r.losses.check(e, time.Now())
	<-c.done
	if c.lost || c.refused {
		t.Errorf("the endpoint counts as lost %v, as refusing connections %v", c.lost, c.refused)
	}
}

// failingEngine is an engine client whose calls fail with the error.
type failingEngine struct {
	EngineClient
	err error
}

// Report fails.
func (e *failingEngine) Report(context.Context, string) (EngineReport, error) {
	return EngineReport{}, e.err
}

// Guards against requests that count as having crashed a model engine whose connection a cut has reset: that the probe of a relay that is
// cut off fails shows nothing.
func TestCutOffRelayRecordsNoCrashOfModelEngine(t *testing.T) {
	for _, x := range []struct {
		err     error
		crashes bool
	}{
		{syscall.ECONNREFUSED, true},
		{fmt.Errorf("%w: %w", tunnel.ErrCutOff, syscall.ECONNREFUSED), false},
	} {
		r := newTestRelay(t)
		r.Engines = &failingEngine{err: x.err}
		q := &request{relay: r, ctx: t.Context(), id: "1", parts: []string{"p"}}
		q.recordCrash(place.Endpoint{ID: "e", Address: "10.0.0.1:1"}, time.Now())
		if got := r.crashes.HasCrashes(); got != x.crashes {
			t.Errorf("probe fails with %v: a crash is recorded: %t", x.err, got)
		}
	}
}

// Guards against engines that are suspended since a probe of a relay that is cut off from them is late: the time for it may not be enough to
// find a way to the engine. An engine in reach that does not respond is suspended.
func TestLateProbeOfCutOffRelaySuspendsNoEngine(t *testing.T) {
	t.Parallel()
	for name, start := range map[string]func(p *prober, e place.Endpoint){
		"liveness": func(p *prober, e place.Endpoint) { p.startProbe(e) },
		"loss": func(p *prober, e place.Endpoint) {
			p.probeLoss(e, poison.Loss{Began: time.Now(), LastSign: time.Now()}, time.Now())
		},
	} {
		for _, cutOff := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s cut-off=%t", name, cutOff), func(t *testing.T) {
				t.Parallel()
				r, e := newTestRelay(t), place.Endpoint{ID: "e", Address: "10.0.0.1:1"}
				if cutOff {
					r, e, _ = newCutOffRelay(t)
				}
				r.table.Update([]place.Endpoint{e}, time.Now())
				r.Engines = &pausedEngine{until: time.Now().Add(time.Minute)}
				start(&r.prober, e)
				time.Sleep(2 * probeTimeout)
				var up bool
				r.withTable(func(t *place.EndpointTable, now time.Time) { up = t.IsUp(e.ID, now) })
				if up != cutOff {
					t.Errorf("the engine is up: %t", up)
				}
			})
		}
	}
}

// busyCarrier is a carrier that passes its first connection on to one endpoint, declines for a while, and passes all others on to another.
type busyCarrier struct {
	first, second *cutEndpoint
	busyFor       time.Duration

	mu        sync.Mutex
	busyUntil time.Time
}

// ServeHTTP passes a connection on or declines; those to endpoints that do not exist it only accepts.
func (c *busyCarrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.Host, "10.0.0."):
		return
	case !strings.Contains(r.Host, ":"):
		// It is no endpoint that is asked for.
		w.WriteHeader(http.StatusForbidden)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.busyUntil) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(nc, "HTTP/1.1 200 Connected\r\n\r\n")
	e := c.second
	if c.busyUntil.IsZero() {
		e, c.busyUntil = c.first, time.Now().Add(c.busyFor)
	}
	go e.serve(nc)
}

// Guards against requests that end with 502 because nobody can carry a connection at the moment of their second attempt.
func TestRequestAwaitsCarrierAfterLoss(t *testing.T) {
	text, head := wholeAnswer(formLength, "", []byte("history of 7"))
	for _, route := range []string{"safe", "message"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			broken := startCutEndpoint(t, &cutEndpoint{id: "b", text: text[:head+3]})
			sound := startCutEndpoint(t, &cutEndpoint{id: "s", text: text})
			r := newEndingRelay(t, 3, broken, sound)
			cutOff(t, r, &busyCarrier{first: broken, second: sound, busyFor: 300 * time.Millisecond})
			res, whole := callRelay(t, r, route)
			if !whole || res.Code != http.StatusOK || broken.runs.Load() != 1 || sound.runs.Load() != 1 {
				t.Errorf("status %d %q, whole %t, after %d and %d runs", res.Code, res.Body, whole, broken.runs.Load(), sound.runs.Load())
			}
		})
	}
}

// Guards against callers that wait while nobody can carry the connection of a request that has not run, which another relay could serve.
func TestRequestThatHasNotRunAwaitsNoCarrier(t *testing.T) {
	r := newEndingRelay(t, 3, startCutEndpoint(t, &cutEndpoint{id: "e"}))
	cutOff(t, r, &busyCarrier{busyUntil: time.Now().Add(time.Minute)})
	for _, route := range []string{"safe", "unsafe", "message", "stream"} {
		began := time.Now()
		res, _ := callRelay(t, r, route)
		if took := time.Since(began); res.Code != http.StatusServiceUnavailable || took > time.Second {
			t.Errorf("%s: status %d after %s", route, res.Code, took)
		}
	}
}
