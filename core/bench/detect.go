package bench

import "time"

// StallDetector decides how long one stream may wait for its next token before its engine is considered silent.
type StallDetector interface {
	// ObserveGap records the time between two consecutive tokens of the stream.
	ObserveGap(gap time.Duration)
	// Timeout returns the longest time to wait for the stream's next token.
	Timeout() time.Duration
}

// Parameters of adaptiveDetector, which limits the wait for a stream's next token. A step with a full prefill chunk on
// an engine that is slowed five times takes about 310 ms, so a shorter minimum timeout would mistake a slow engine for
// a silent one.
const (
	minStallTimeout    = 350 * time.Millisecond
	maxStallTimeout    = 1500 * time.Millisecond
	stallTimeoutFactor = 8   // multiple of the average gap
	gapSmoothing       = 0.1 // weight of a new gap in the moving average
)

// adaptiveDetector is a StallDetector whose timeout is a multiple of the stream's moving average of token gaps.
type adaptiveDetector struct{ smoothedGap time.Duration }

// ObserveGap adds the time between two consecutive tokens to the stream's moving average.
func (d *adaptiveDetector) ObserveGap(gap time.Duration) {
	if d.smoothedGap == 0 {
		d.smoothedGap = gap
		return
	}
	d.smoothedGap += time.Duration(gapSmoothing * float64(gap-d.smoothedGap))
}

// Timeout returns a multiple of the stream's average gap between tokens, between minStallTimeout and maxStallTimeout.
func (d *adaptiveDetector) Timeout() time.Duration {
	return min(maxStallTimeout, max(minStallTimeout, stallTimeoutFactor*d.smoothedGap))
}

// fixedDetector is a StallDetector with the same timeout for all streams, which the baseline policies use.
type fixedDetector struct{ timeout time.Duration }

// ObserveGap does nothing, as the timeout is fixed.
func (fixedDetector) ObserveGap(time.Duration) {}

// Timeout returns the fixed timeout.
func (d fixedDetector) Timeout() time.Duration { return d.timeout }

// proxyReadTimeout is the usual read timeout of a simple proxy, which the baseline policies use as stall timeout.
const proxyReadTimeout = 10 * time.Second
