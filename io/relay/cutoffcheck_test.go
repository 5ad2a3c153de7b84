package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/place"
	"wasabiweir/core/reach"
	"wasabiweir/io/tunnel"
)

// Guards against requests that count as having crashed an endpoint that a relay cannot reach because it is cut off.
func TestCutOffRelayFindsNoEndpointLost(t *testing.T) {
	var declines atomic.Bool
	carrier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if declines.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(carrier.Close)
	r := newTestRelay(t)
	r.pool.dialer.DialDirect = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	r.pool.dialer.SetCarriers([]reach.Carrier{{Address: carrier.Listener.Addr().String()}})
	var e place.Endpoint
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
