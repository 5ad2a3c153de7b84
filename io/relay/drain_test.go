package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/state"
	"wasabiweir/io/serve"
)

// jumpingClock returns a time once, and one later by a duration from then on.
type jumpingClock struct {
	read  bool
	later time.Duration
}

// Now returns the current time.
func (c *jumpingClock) Now() time.Time {
	if !c.read {
		c.read = true
		return time.Unix(0, 0)
	}
	return time.Unix(0, 0).Add(c.later)
}

// Guards against a request that gets neither a response nor a refusal, because it arrives after the relay has seen the end
// of the last request or the end of the grace period and the relay then cuts off what is in progress; and against a relay that
// is killed while it answers.
func TestRequestAtEndOfDrainIsAnswered(t *testing.T) {
	const grace = 4 * time.Second
	for name, c := range map[string]struct {
		took    time.Duration
		running bool
	}{
		"no request runs": {took: time.Second}, "the end is late": {took: 3650 * time.Millisecond},
		"one outlasts the grace period": {took: 3750 * time.Millisecond, running: true},
	} {
		r := &Relay{Clock: &jumpingClock{later: c.took}, Log: zap.NewNop(), StopGrace: grace, ctx: t.Context()}
		r.feed.initFeed(r)
		r.drain.setRelay(r)
		stopped, cancel := context.WithCancel(t.Context())
		cancel()
		if c.running {
			r.drain.requestStarted()
		}
		if err := r.drain.run(t.Context(), stopped); !errors.Is(err, errDrained) {
			t.Fatal(err)
		}
		if !c.running {
			r.drain.requestStarted()
		}
		got := r.drain.answerTime()
		if left := grace - c.took; got <= 0 || got >= left {
			t.Errorf("%s: the server answers for %v of %v", name, got, left)
		}
	}
}

// Guards against requests that are cut without an answer, or accepted by a relay that exits, because a part of it fails before or
// during a planned stop.
func TestRequestsAreAnsweredWithoutDrain(t *testing.T) {
	const grace = 4 * time.Second
	for name, c := range map[string]struct {
		draining bool
		want     time.Duration
	}{"in service": {false, serve.ShutdownTimeout}, "late in a drain": {true, 150 * time.Millisecond}} {
		clk := &clock.Manual{}
		clk.Set(time.Unix(1e9, 0))
		r := &Relay{Clock: clk, Log: zap.NewNop(), StopGrace: grace}
		r.drain.setRelay(r)
		if c.draining {
			r.drain.startedAt = clk.Now()
			clk.Advance(3750 * time.Millisecond)
		}
		ctx, cancel := r.drain.requestContext(t.Context())
		defer cancel(nil)
		if got := r.drain.answerTime(); got != c.want {
			t.Errorf("%s: the server answers for %v, want %v", name, got, c.want)
		}
		time.Sleep(100 * time.Millisecond)
		if !c.draining && ctx.Err() != nil {
			t.Errorf("%s: a request ends at once, though it may be served within the answer time", name)
		}
		if !r.drain.hasStarted() {
			t.Errorf("%s: the relay still counts as ready", name)
		}
		// The cause is set by another goroutine.
		for began := time.Now(); ctx.Err() == nil && time.Since(began) < 10*time.Second; {
			time.Sleep(time.Millisecond)
		}
		if cause := context.Cause(ctx); !errors.Is(cause, errRequestCut) || !r.drain.refusesNewRequest(false) {
			t.Errorf("%s: the request ends with %v, new ones are refused: %t", name, cause, r.drain.refusesNewRequest(false))
		}
	}
}

// Guards against a request that is sent to an endpoint during a planned stop of the relay although it may be expected to be cut at
// its end, and against one that is refused although it would end in time.
func TestRequestThatOutlastsDrainIsRefused(t *testing.T) {
	const timeout = 8 * time.Second
	for name, c := range map[string]struct {
		kind state.RouteKind
		// took is what such requests took lately; zero if that is not known.
		took time.Duration
		// elapsed is the time since the stop began; negative if it has not.
		elapsed, timeout time.Duration
		taken            bool
	}{
		"before the stop":             {state.Unsafe, 0, -1, timeout, true},
		"unknown, long timeout":       {state.Safe, 0, 0, timeout, false},
		"unknown, short timeout":      {state.Unsafe, 0, time.Second, 2 * time.Second, true},
		"unknown, timeout too long":   {state.Unsafe, 0, 2 * time.Second, 2 * time.Second, false},
		"short, safe":                 {state.Safe, time.Second, 2 * time.Second, timeout, true},
		"short, unsafe":               {state.Unsafe, time.Second, 2 * time.Second, timeout, true},
		"just fits, safe":             {state.Safe, 3 * time.Second, 0, timeout, true},
		"just fits, unsafe":           {state.Unsafe, 3 * time.Second, 0, timeout, false},
		"as in the report, at once":   {state.Safe, 3500 * time.Millisecond, 0, timeout, true},
		"as in the report, at 500 ms": {state.Unsafe, 3500 * time.Millisecond, 500 * time.Millisecond, timeout, false},
	} {
		clk := &clock.Manual{}
		clk.Set(time.Unix(1e9, 0))
		q := &request{relay: &Relay{Clock: clk, StopGrace: 4 * time.Second}, route: &state.Route{Name: "r", Kind: c.kind}, service: "s"}
		q.relay.drain.setRelay(q.relay)
		for range 100 {
			if c.took > 0 {
				q.relay.drain.recordRunTime(q.runTimeKey(), c.took)
			}
		}
		if c.elapsed >= 0 {
			q.relay.drain.startedAt = clk.Now()
			clk.Advance(c.elapsed)
		}
		q.startedAt, q.deadline = clk.Now(), clk.Now().Add(c.timeout)
		if taken := q.endsBeforeRelay(); taken != c.taken {
			t.Errorf("%s: taken %t", name, taken)
		}
	}
}
