package place

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Replays the load of a relay whose stop begins: requests of a route whose timeout is far above what they take, with a tail. Of
// those that are taken when just their estimate is left, at most a few that may be repeated are cut, and none of the others unless
// it takes longer than all before; and the estimate is not much above what they take, since each refusal costs a retry.
func TestEstimateCoversLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const timeout = 30 * time.Second
		typical := rapid.IntRange(1, 4000).Draw(t, "typical")
		spread := rapid.IntRange(1, 4000).Draw(t, "spread")
		n := rapid.IntRange(100, 400).Draw(t, "requests")
		var r RunTimes
		k, now := RunTimeKey{Route: "r"}, testStart
		var longest time.Duration
		took := make([]time.Duration, n)
		for i := range took {
			took[i] = time.Duration(typical+rapid.IntRange(0, spread).Draw(t, "tail")) * time.Millisecond
			longest = max(longest, took[i])
			now = now.Add(50 * time.Millisecond)
			r.Record(k, took[i], now)
		}
		safe, unsafe := r.Estimate(k, true, timeout, now), r.Estimate(k, false, timeout, now)
		cut := 0
		for _, d := range took {
			if d > safe {
				cut++
			}
		}
		if cut > n/40 || unsafe < longest*5/4 {
			t.Fatalf("estimates %v and %v, the longest took %v; %d of %d are cut", safe, unsafe, longest, cut, n)
		}
		if bound := longest*5/4 + time.Millisecond; safe > bound || unsafe > bound*3/2 {
			t.Fatalf("estimates %v and %v, the longest took %v", safe, unsafe, longest)
		}
	})
}

// Guards against an estimate from too few, too old or another route's run times, and against one above the request's own limit.
func TestEstimateWithoutRecentRunTimes(t *testing.T) {
	const limit = 8 * time.Second
	k := RunTimeKey{Route: "r", Service: "s"}
	for name, c := range map[string]struct {
		count       int
		took, after time.Duration
		key         RunTimeKey
		want        time.Duration
	}{
		"none":          {0, 0, 0, k, limit},
		"too few":       {minRunTimes - 1, time.Second, 0, k, limit},
		"other service": {100, time.Second, 0, RunTimeKey{Route: "r", Service: "t"}, limit},
		"too old":       {100, time.Second, 2 * runTimeWindow, k, limit},
		"recent":        {100, 100 * time.Millisecond, runTimeWindow, k, 108 * time.Millisecond},
		"long":          {100, 9 * time.Second, 0, k, limit},
		"beyond bounds": {100, time.Hour, 0, k, limit},
	} {
		var r RunTimes
		for range c.count {
			r.Record(k, c.took, testStart)
		}
		if got := r.Estimate(c.key, true, limit, testStart.Add(c.after)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against memory that grows with each route that ever existed.
func TestRunTimesAreBounded(t *testing.T) {
	var r RunTimes
	for i := range 3 * maxRunTimeKeys {
		r.Record(RunTimeKey{Service: string(rune(i))}, time.Second, testStart)
	}
	if n := len(r.byKey); n > maxRunTimeKeys {
		t.Errorf("run times of %d keys are kept", n)
	}
}

// Guards against a run time above its bucket's upper bound.
func TestRunTimeBuckets(t *testing.T) {
	for ms := range 60_000 {
		d := time.Duration(ms) * time.Millisecond
		b := runTimeBucket(d)
		if runTimeBound(b) <= d || b > 0 && runTimeBound(b-1) > d {
			t.Fatalf("%v is in bucket %d up to %v", d, b, runTimeBound(b))
		}
	}
}
