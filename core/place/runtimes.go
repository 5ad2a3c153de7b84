package place

import (
	"math"
	"math/bits"
	"time"
)

const (
	// runTimeWindow is the length of the two periods of which run times are kept, the current one and the one before.
	runTimeWindow = 30 * time.Second
	// minRunTimes is the number of run times below which a route's run time counts as unknown.
	minRunTimes = 20
	// repeatableQuantile is the part of the requests of a route that an estimate covers if they may be repeated. The rest may be
	// cut, which costs a caller a retry after the time that the request ran, where a refusal costs it a retry at once.
	repeatableQuantile = 0.98
	// unrepeatableMargin is the factor by which an estimate exceeds all kept run times if requests may not be repeated: for
	// them, a cut can't be made good.
	unrepeatableMargin = 1.5
	// runTimeBuckets is the number of buckets of run times. Each power of two in milliseconds has four, so that the last ones
	// are for about a minute.
	runTimeBuckets = 64
	// maxRunTimeKeys bounds the number of keys of which run times are kept.
	maxRunTimeKeys = 1024
)

// RunTimeKey identifies requests that take about the same time.
type RunTimeKey struct {
	Route   string
	Service string
}

// RunTimes holds the recent run times of requests, from which it estimates how long another one takes.
type RunTimes struct {
	byKey map[RunTimeKey]*runTimeHistory
}

// runTimeHistory is the distribution of run times in the current window and in the one before.
type runTimeHistory struct {
	// windowStart is when the current window began.
	windowStart     time.Time
	current, before runTimeCounts
}

// runTimeCounts counts run times by their buckets.
type runTimeCounts [runTimeBuckets]uint32

// Record adds the run time of a request that has ended.
func (r *RunTimes) Record(k RunTimeKey, took time.Duration, now time.Time) {
	h := r.byKey[k]
	if h == nil {
		r.makeRoom(now)
		h = &runTimeHistory{windowStart: now}
		r.byKey[k] = h
	}
	h.advance(now)
	h.current[runTimeBucket(took)]++
}

// Estimate returns the time that a request may be expected to take at most, and the limit if too few run times are known or it
// is lower.
func (r *RunTimes) Estimate(k RunTimeKey, repeatable bool, limit time.Duration, now time.Time) time.Duration {
	h := r.byKey[k]
	if h == nil {
		return limit
	}
	h.advance(now)
	counts, total := h.merged()
	if total < minRunTimes {
		return limit
	}
	quantile, margin := 1.0, unrepeatableMargin
	if repeatable {
		quantile, margin = repeatableQuantile, 1
	}
	wanted, seen := uint32(math.Ceil(quantile*float64(total))), uint32(0)
	for i, n := range counts {
		if seen += n; seen >= wanted && i < runTimeBuckets-1 {
			return min(limit, time.Duration(margin*float64(runTimeBound(i))))
		}
	}
	return limit
}

// makeRoom makes sure that a further key can be kept: it forgets the keys without recent run times if there are too many, or any.
func (r *RunTimes) makeRoom(now time.Time) {
	if r.byKey == nil {
		r.byKey = map[RunTimeKey]*runTimeHistory{}
	}
	if len(r.byKey) < maxRunTimeKeys {
		return
	}
	for k, h := range r.byKey {
		if now.Sub(h.windowStart) >= 2*runTimeWindow {
			delete(r.byKey, k)
		}
	}
	for k := range r.byKey {
		if len(r.byKey) < maxRunTimeKeys {
			return
		}
		delete(r.byKey, k)
	}
}

// advance starts a new window if the current one has ended.
func (h *runTimeHistory) advance(now time.Time) {
	switch passed := now.Sub(h.windowStart); {
	case passed >= 2*runTimeWindow:
		*h = runTimeHistory{windowStart: now}
	case passed >= runTimeWindow:
		h.before, h.current, h.windowStart = h.current, runTimeCounts{}, h.windowStart.Add(runTimeWindow)
	}
}

// merged returns the counts of both windows and their sum.
func (h *runTimeHistory) merged() (counts runTimeCounts, total uint32) {
	for i := range counts {
		counts[i] = h.current[i] + h.before[i]
		total += counts[i]
	}
	return counts, total
}

// runTimeBucket returns the bucket of a run time.
func runTimeBucket(d time.Duration) int {
	ms := uint64(max(0, d.Milliseconds())) + 4
	octave := bits.Len64(ms) - 3
	return min(4*octave+int(ms>>octave)-4, runTimeBuckets-1)
}

// runTimeBound returns the upper bound of the run times in a bucket.
func runTimeBound(bucket int) time.Duration {
	octave, quarter := bucket/4, bucket%4
	return time.Duration((quarter+5)<<octave-4) * time.Millisecond
}
