package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/core/state"
	"wasabiweir/io/serve"
	"wasabiweir/io/wall"
)

// endingEngine responds to one request for its report and then no more, like a process that ends.
type endingEngine struct {
	EngineClient
	requests atomic.Int64
}

// Report fails after the first request.
func (e *endingEngine) Report(context.Context, string) (EngineReport, error) {
	if e.requests.Add(1) > 1 {
		return EngineReport{}, errors.New("connection refused")
	}
	return EngineReport{}, nil
}

// An engine that still responds for a moment after it has reset its connections must count as lost.
func TestEndingEngineIsLost(t *testing.T) {
	r := &Relay{Clock: wall.Clock{}, Log: zap.NewNop(), Engines: &endingEngine{}, ctx: t.Context()}
	r.meter.initMetrics(nil)
	r.pool.initPool(r)
	r.prober.initProber(r)
	if !r.prober.isLostSince(t.Context(), place.Endpoint{ID: "e"}, time.Now()) {
		t.Error("the engine counts as sound")
	}
}

// pausedEngine responds to a request for its report after a pause, or with an error.
type pausedEngine struct {
	EngineClient
	until time.Time
	err   error
}

// Report waits for the end of the pause.
func (e *pausedEngine) Report(ctx context.Context, _ string) (EngineReport, error) {
	if !serve.Sleep(ctx, time.Until(e.until)) {
		return EngineReport{}, ctx.Err()
	}
	return EngineReport{}, e.err
}

// A silent engine that had begun to answer a stream must count as crashed if it stays silent or ends, and not if it goes on after a
// second; no case may keep the stream from its next engine.
func TestSilentEngineOfStreamIsCrashed(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct {
		pause time.Duration
		err   error
		want  bool
	}{"goes-on": {pause: time.Second}, "stays-silent": {pause: time.Minute, want: true}, "ends": {time.Second, syscall.ECONNRESET, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestRelay(t)
			r.Engines = &pausedEngine{until: time.Now().Add(x.pause), err: x.err}
			sign := time.Now().Add(-400 * time.Millisecond)
			s := &streamRequest{request: &request{relay: r, id: "r", ctx: t.Context(), parts: []string{"own"}, r: &http.Request{}, route: &state.Route{}}}
			s.recordStreamCrash(streamAttempt{endpoint: place.Endpoint{ID: "e"}}, attemptResult{
				outcome: outcomeUnknown, cause: common.RetrySilent, run: runProgress{Loss: poison.Loss{Began: sign.Add(-100 * time.Millisecond), LastSign: sign}},
			})
			if d := time.Since(sign); d > 600*time.Millisecond {
				t.Errorf("the stream waited %s for the check", d-400*time.Millisecond)
			}
			time.Sleep(time.Until(sign.Add(3 * time.Second)))
			if got := len(r.crashes.All()) == 1; got != x.want {
				t.Errorf("the engine has crashed: %t", got)
			}
		})
	}
}

// An engine that has refused a connection since a silence began must be asked again: it may have restarted under its id.
func TestFailedProbeIsNotReusedForever(t *testing.T) {
	r := newTestRelay(t)
	x := &pausedEngine{err: syscall.ECONNREFUSED}
	r.Engines = x
	e, since := []place.Endpoint{{ID: "e"}}, time.Now()
	if r.prober.hasRespondedSince(t.Context(), e, since) {
		t.Error("an engine that refuses connections counts as sound")
	}
	x.err = nil
	time.Sleep(probeInterval)
	if !r.prober.hasRespondedSince(t.Context(), e, since) {
		t.Error("an engine that responds again counts as silent")
	}
}

// lateEngine is an engine whose response this relay comes to read only after the probe's timeout, for the given number of requests.
type lateEngine struct {
	EngineClient
	late     int64
	requests atomic.Int64
}

// Report fails after the end of ctx and a further moment, or succeeds.
func (e *lateEngine) Report(ctx context.Context, _ string) (EngineReport, error) {
	if e.requests.Add(1) > e.late {
		return EngineReport{}, nil
	}
	<-ctx.Done()
	time.Sleep(2 * maxProbeDelay)
	return EngineReport{}, ctx.Err()
}

// Guards against sound engines that are suspended, and left by their streams, because this relay had no processor time to read their
// responses to probes; and against engines that are silent and never found so because the relay is always late.
func TestLateRelayTakesNoEngineForSilent(t *testing.T) {
	for late, alive := range map[int64]bool{0: true, 1: true, maxLateProbes: true, 1 << 30: false} {
		r := newTestRelay(t)
		r.Engines = &lateEngine{late: late}
		e := place.Endpoint{ID: "e", Service: "m", Address: "x"}
		r.table.Update([]place.Endpoint{e}, time.Now())
		if p := r.prober.awaitProbe(t.Context(), e); p.alive != alive || r.isEndpointUp("e") != alive {
			t.Errorf("late %d times: alive %v, up %v, want %v", late, p.alive, r.isEndpointUp("e"), alive)
		}
	}
}

// crowdedEngines counts the requests for reports that have no response yet. None gets one before the given time.
type crowdedEngines struct {
	EngineClient
	until         time.Time
	running, most atomic.Int64
}

// Report waits until the engines respond.
func (e *crowdedEngines) Report(ctx context.Context, _ string) (EngineReport, error) {
	n := e.running.Add(1)
	defer e.running.Add(-1)
	for most := e.most.Load(); n > most && !e.most.CompareAndSwap(most, n); {
		most = e.most.Load()
	}
	if !serve.Sleep(ctx, max(time.Millisecond, time.Until(e.until))) {
		return EngineReport{}, ctx.Err()
	}
	return EngineReport{}, nil
}

// Guards against a relay that probes hundreds of engines at once, many times a second, since it has taken all of them for silent, and
// against engines that it uses again late.
func TestProbesOfSilentEnginesAreFew(t *testing.T) {
	const engines, streams = 300, 50
	r := newTestRelay(t)
	var list []place.Endpoint
	for n := range engines {
		list = append(list, place.Endpoint{ID: fmt.Sprint("e", n), Service: "m", Address: fmt.Sprintf("10.0.0.%d:1", n), Domain: "a", Slots: 4})
	}
	x := &crowdedEngines{until: time.Now().Add(600 * time.Millisecond)}
	r.Engines = x
	r.table.Update(list, time.Now())
	for _, e := range list {
		r.prober.suspend(e, aliveLabel(false), context.DeadlineExceeded)
	}
	var wg sync.WaitGroup
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for r.probeSilent("m", nil) && time.Since(x.until) < 2*time.Second {
				time.Sleep(resumeRetryInterval)
			}
		}()
	}
	wg.Wait()
	if late := time.Since(x.until); late > time.Second {
		t.Errorf("all engines are used again %s after they respond", late)
	}
	if most := x.most.Load(); most > 50 {
		t.Errorf("%d probes ran at the same time", most)
	}
}
