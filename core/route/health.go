package route

import (
	"math"
	"slices"
	"time"
)

// Parameters of the health score, which compares the time between tokens (the token gap) of an endpoint with the median
// of all endpoints.
const (
	// gapTolerance is the ratio to the median up to which a token gap is normal: larger batches and prefills of other
	// requests lengthen it by about that much.
	gapTolerance    = 1.6
	minHealth       = 0.05
	defaultTokenGap = 0.035 // seconds, assumed until a gap has been measured
	// gapTimeConstant is the time constant of the smoothed token gap; it covers several tokens at the usual gaps.
	gapTimeConstant = 200 * time.Millisecond
	// recoveryTimeConstant is the time constant with which the score rises.
	recoveryTimeConstant = 2 * time.Second
	// minTickInterval is the least time between two evaluations of the endpoints' health.
	minTickInterval = 50 * time.Millisecond
	// maxTickInterval is the time between two evaluations above which this router itself did not run meanwhile.
	maxTickInterval = 300 * time.Millisecond
)

// Hysteresis for marking endpoints as slowed: an endpoint is marked when its health score stays below slowedBelow for
// slowedDelay, and unmarked when the score stays above recoveredAbove for recoveredDelay.
const (
	slowedBelow    = 0.5
	slowedDelay    = 200 * time.Millisecond
	recoveredAbove = 0.8
	recoveredDelay = time.Second
)

// healthTracker derives the health score of one endpoint from its token gaps.
type healthTracker struct {
	score       float64   // health score, above 0 and at most 1
	smoothedGap float64   // smoothed time between tokens, in seconds
	gapSum      float64   // seconds, sum of the gaps since the last evaluation
	gapTokens   int       // tokens that arrived after these gaps
	lastToken   time.Time // when a token of any stream, other than its first one, last arrived
	slowed      bool
	crossedAt   time.Time // since when the score has been beyond the threshold that changes slowed; zero if it is not
}

// addSample records that a number of tokens arrived together after a gap without any.
func (h *healthTracker) addSample(gap time.Duration, tokens int, now time.Time) {
	h.gapSum += gap.Seconds()
	h.gapTokens += tokens
	h.lastToken = now
}

// discardSamples drops what was measured since the last evaluation, and forgets that the score has crossed a threshold.
func (h *healthTracker) discardSamples() {
	h.gapSum, h.gapTokens, h.crossedAt = 0, 0, time.Time{}
}

// updateSmoothedGap updates the smoothed time between tokens with the gaps since the last evaluation, which was one
// step ago. pending is the shortest time that any stream has been waiting for its next token, which is a lower bound of
// the current gap.
func (h *healthTracker) updateSmoothedGap(step, pending time.Duration) {
	gap := 0.0
	if h.gapTokens > 0 {
		gap = h.gapSum / float64(h.gapTokens)
		h.gapSum, h.gapTokens = 0, 0
	}
	if p := pending.Seconds(); p > gap && p > h.smoothedGap {
		gap = p
	}
	switch {
	case gap == 0:
	case h.smoothedGap == 0:
		h.smoothedGap = gap
	default:
		weight := 1 - math.Exp(-step.Seconds()/gapTimeConstant.Seconds())
		h.smoothedGap += weight * (gap - h.smoothedGap)
	}
}

// updateHealthScore computes the endpoint's health score from the ratio of the smoothed gap to the median gap, in
// seconds. The score falls immediately and rises gradually.
func (h *healthTracker) updateHealthScore(median float64, step time.Duration, now time.Time) {
	target := 1.0
	if h.smoothedGap > 0 && median > 0 && h.smoothedGap > gapTolerance*median {
		target = max(minHealth, median/h.smoothedGap)
	}
	if target <= h.score {
		h.score = target
	} else {
		h.score += (1 - math.Exp(-step.Seconds()/recoveryTimeConstant.Seconds())) * (target - h.score)
	}
	h.updateSlowedMark(now)
}

// updateSlowedMark sets or clears the mark that an endpoint is slowed, according to its health score and the
// hysteresis.
func (h *healthTracker) updateSlowedMark(now time.Time) {
	crossed, delay := h.score < slowedBelow, slowedDelay
	if h.slowed {
		crossed, delay = h.score > recoveredAbove, recoveredDelay
	}
	if !crossed {
		h.crossedAt = time.Time{}
		return
	}
	if h.crossedAt.IsZero() {
		h.crossedAt = now
	}
	if now.Sub(h.crossedAt) >= delay {
		h.slowed = !h.slowed
		h.crossedAt = time.Time{}
	}
}

// gapTTL is how long after its last token an endpoint's smoothed gap is used. Without this limit, an endpoint that
// receives no requests because it was slow could never show that it has recovered.
const gapTTL = 2 * time.Second

// Tick updates the health scores of all endpoints, the history of this router's streams and the load of the other
// routers, and drops state that has expired. The router calls it about every 50 ms.
func (t *Table) Tick(now time.Time) {
	if t.lastTick.IsZero() {
		t.lastTick = now
	}
	step := now.Sub(t.lastTick)
	if step < minTickInterval {
		return
	}
	t.lastTick = now
	if step > maxTickInterval {
		t.resumedAt = now
		for _, e := range t.ordered {
			e.health.discardSamples()
		}
	} else {
		t.updateHealth(step, now)
	}
	for now.Sub(t.lastHistoryStep) >= historyStep {
		if now.Sub(t.lastHistoryStep) > historyStep*historyLength {
			t.lastHistoryStep = now.Add(-historyStep)
		}
		t.lastHistoryStep = t.lastHistoryStep.Add(historyStep)
		for _, e := range t.ordered {
			e.peerLoad.recordOwnStreams(e.Own.Streams)
		}
	}
	t.shortWorkActive = now.Before(t.shortWorkUntil)
	t.removeSilentPeers(now)
	t.updatePeerLoads(now)
	t.deleteRemovedEndpoints()
}

// updateHealth updates the token gaps and health scores of all endpoints; the last evaluation was one step ago.
func (t *Table) updateHealth(step time.Duration, now time.Time) {
	for _, e := range t.ordered {
		t.measureTokenGap(e, step, now)
	}
	t.medianGap = t.medianTokenGap()
	for _, e := range t.ordered {
		e.health.updateHealthScore(t.medianGap, step, now)
	}
}

// tokenGap returns the time since the stream's last token in which this router ran.
func (t *Table) tokenGap(s *Stream, now time.Time) time.Duration {
	if t.resumedAt.After(s.lastToken) {
		return now.Sub(t.resumedAt)
	}
	return now.Sub(s.lastToken)
}

// PausedSince reports whether this router was paused between the two times, so that what it measured from one to the other says nothing
// about an endpoint.
func (t *Table) PausedSince(start, now time.Time) bool {
	return t.resumedAt.After(start) || !t.lastTick.IsZero() && now.Sub(t.lastTick) > maxTickInterval
}

// measureTokenGap updates the smoothed token gap of the endpoint, or clears it if no token has arrived for gapTTL and
// none is awaited.
func (t *Table) measureTokenGap(e *Endpoint, step time.Duration, now time.Time) {
	pending := time.Duration(math.MaxInt64)
	for _, s := range e.streams {
		if s.generatedTokens > 0 {
			pending = min(pending, t.tokenGap(s, now))
		}
	}
	if pending == math.MaxInt64 {
		pending = 0
	}
	e.health.updateSmoothedGap(step, pending)
	if pending == 0 && now.Sub(e.health.lastToken) > gapTTL {
		e.health.smoothedGap = 0
	}
}

// medianTokenGap returns the median of the endpoints' smoothed gaps in seconds, or the last median if no gap is known.
func (t *Table) medianTokenGap() float64 {
	t.sortedGaps = t.sortedGaps[:0]
	for _, e := range t.ordered {
		if e.health.smoothedGap > 0 && !e.Unavailable() {
			t.sortedGaps = append(t.sortedGaps, e.health.smoothedGap)
		}
	}
	if len(t.sortedGaps) == 0 {
		return t.medianGap
	}
	slices.Sort(t.sortedGaps)
	return t.sortedGaps[(len(t.sortedGaps)-1)/2]
}
