package stream

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// typicalPrefill is the 95th percentile of the time to the first token in the design.
	typicalPrefill = 390 * time.Millisecond
	// slowPrefill is the longest predicted prefill for which output has to continue within 4 s after two failed
	// attempts.
	slowPrefill = 600 * time.Millisecond
)

// Guards against timeouts that are too long for output to continue within 4 s after a silence and two failed attempts.
func TestStallBoundsFitTwoFailedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s StallDetector
		now := time.Unix(1000, 0)
		s.Start(now, typicalPrefill)
		for range rapid.IntRange(1, 60).Draw(t, "outputs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap")) * time.Millisecond)
			s.Output(now)
		}
		lost, prefill := now, time.Duration(rapid.Int64Range(0, int64(slowPrefill)).Draw(t, "prefill"))
		for range 3 {
			now = s.Deadline()
			if !s.Stalled(now) || s.Stalled(now.Add(-1)) {
				t.Fatal("Stalled does not change to true at the deadline")
			}
			s.Start(now, prefill)
		}
		now = now.Add(prefill)
		if total := now.Sub(lost); s.Stalled(now) || total > ResumeWithin {
			t.Fatalf("an attempt with the predicted prefill returns output %v after the loss or counts as lost", total)
		}
	})
}

// Guards against a timeout that, at the 99th percentile, is too long for output to continue within 1 s. Guards also
// against a five times slower engine, or an engine whose router was paused, that counts as silent.
func TestStallTimeoutForTypicalGaps(t *testing.T) {
	const outputs = 10_000
	var s StallDetector
	now := time.Unix(1000, 0)
	s.Start(now, typicalPrefill)
	late := 0
	for i := range outputs {
		// The gaps are quantiles of an exponential distribution that starts at 25 ms and has its 95th percentile at 73
		// ms.
		q := (float64(i*7919%outputs) + 0.5) / outputs
		now = now.Add(25*time.Millisecond - time.Duration(math.Log(1-q)/math.Log(20)*float64(48*time.Millisecond)))
		s.Output(now)
		if s.Timeout()+typicalPrefill >= time.Second {
			late++
		}
		if s.Timeout() < 5*73*time.Millisecond {
			t.Fatalf("timeout %v would end attempts on an engine that is five times slower", s.Timeout())
		}
	}
	s.PostponeDeadline(2 * time.Second)
	if late > outputs/100 || s.Stalled(now.Add(2*time.Second)) {
		t.Fatalf("%d of %d silences would last 1 s or longer, or a pause of the router counts as silence", late, outputs)
	}
}

// Guards against a prediction that does not converge to the speed of the engine, because the timeout of the first
// output is computed from it, and against one slow prefill that distorts it.
func TestPrefillRateFollowsTheEngine(t *testing.T) {
	var r PrefillEstimator
	took := func(tokens int) time.Duration { return 30*time.Millisecond + prefillTime(tokens, 20_000) }
	for i := range 200 {
		r.Observe(100+i%2*3000, took(100+i%2*3000))
	}
	r.Observe(3000, time.Minute)
	if got, want := r.Predict(6000), took(6000); got < want/firstTimeoutFactor || got > want*firstTimeoutFactor {
		t.Fatalf("predicted %v, the engine takes %v", got, want)
	}
}
