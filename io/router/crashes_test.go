package router

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/poison"
	"wasabiweir/io/guard"
	"wasabiweir/io/serve"
	"wasabiweir/io/stand"
	"wasabiweir/io/wall"
)

// An engine that still accepts connections for a moment after it has reset them must count as crashed.
func TestEndingEngineIsCrashed(t *testing.T) {
	l := stand.Listen(t)
	recorded := runCrashCheck(t, l.Addr().String(), poison.Loss{LastSign: time.Now()}, func() {
		time.AfterFunc(lossRecheckDelay/4, func() { _ = l.Close() })
	})
	if recorded != 1 {
		t.Errorf("%d crashes are recorded, want one", recorded)
	}
}

// runCrashCheck checks the engine at the address, begins what start does at the same time, and returns the number of recorded crashes.
func runCrashCheck(t *testing.T, address string, loss poison.Loss, start func()) (recorded int) {
	r := &Router{Clock: wall.Clock{}, crashes: guard.Guard{
		Clock: wall.Clock{}, Log: zap.NewNop(), Metrics: tally.NoopScope, Send: func(list []poison.Crash) { recorded += len(list) },
	}}
	r.initReach()
	c := r.newCrashCheck("r", &attempt{name: "e", address: address}, []string{"own"}, loss)
	done := make(chan struct{}, 2)
	c.done = done
	start()
	c.run(t.Context())
	<-done
	return recorded
}

// An engine that had begun to answer must count as crashed if it stays silent or ends, and not if it goes on after a second.
func TestSilentEngineIsCrashed(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct {
		until time.Duration // when the engine responds again, or ends
		ends  bool
		want  int
	}{"goes-on": {until: time.Second}, "stays-silent": {until: time.Minute, want: 1}, "ends": {until: time.Second, ends: true, want: 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			until := time.Now().Add(x.until)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !serve.Sleep(r.Context(), time.Until(until)) || x.ends {
					panic(http.ErrAbortHandler)
				}
				_, _ = w.Write([]byte("vllm:num_requests_running 1\n"))
			}))
			defer srv.Close()
			sign := time.Now().Add(-400 * time.Millisecond)
			loss := poison.Loss{Began: sign.Add(-100 * time.Millisecond), LastSign: sign}
			if got := runCrashCheck(t, srv.Listener.Addr().String(), loss, func() {}); got != x.want {
				t.Errorf("%d crashes are recorded, want %d", got, x.want)
			}
		})
	}
}
