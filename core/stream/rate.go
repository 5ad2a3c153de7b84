package stream

import "time"

// ResumeWithin is the time after the loss of an attempt within which the output to the caller has to continue.
const ResumeWithin = 4 * time.Second

const (
	// DefaultPrefillRate is the initial estimate of the prefill rate of an engine in tokens per second.
	DefaultPrefillRate = 5000.0
	// DefaultPrefillOverhead is the initial estimate of the time to connect and to generate the first token.
	DefaultPrefillOverhead = 50 * time.Millisecond

	// smoothingGain is the weight of one observation in the moving averages. They cover about ten prefills, so that one
	// with a cached prefix or a wait in a queue changes them little.
	smoothingGain = 0.1
	// minRateSampleTokens is the number of prompt tokens from which on an observation updates the rate; the time of a
	// shorter prefill is mostly overhead, so that it updates the overhead.
	minRateSampleTokens = 512
	// maxRateStep is the maximum factor between an observation and the present estimate; larger ones are clipped.
	maxRateStep = 4.0
)

// PrefillEstimator estimates the time from a request to an engine to its first output, as an overhead and a time per
// prompt token. The zero value is ready to use and has the default estimates.
type PrefillEstimator struct {
	rate     float64
	overhead time.Duration
}

// Rate returns the estimated prefill rate in tokens per second.
func (e *PrefillEstimator) Rate() float64 {
	if e.rate == 0 {
		return DefaultPrefillRate
	}
	return e.rate
}

// Overhead returns the estimated part of the time to the first output that does not depend on the prompt.
func (e *PrefillEstimator) Overhead() time.Duration {
	return durationOr(e.overhead, DefaultPrefillOverhead)
}

// Predict returns the estimated time to the first output for a prompt with the given number of tokens that are not in
// the prefix cache of the engine.
func (e *PrefillEstimator) Predict(tokens int) time.Duration {
	return e.Overhead() + prefillTime(tokens, e.Rate())
}

// Observe updates the estimated prefill rate or overhead with the measured time to the first output for a prompt with
// the given number of uncached tokens.
func (e *PrefillEstimator) Observe(tokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	if tokens < minRateSampleTokens {
		overhead := took - prefillTime(tokens, e.Rate())
		overhead = min(max(overhead, 0), scaleDuration(e.Overhead(), maxRateStep))
		e.overhead = e.Overhead() + scaleDuration(overhead-e.Overhead(), smoothingGain)
		return
	}
	prefill := max(took-e.Overhead(), time.Millisecond)
	observed := float64(tokens) / prefill.Seconds()
	observed = min(max(observed, e.Rate()/maxRateStep), e.Rate()*maxRateStep)
	e.rate = e.Rate() + (observed-e.Rate())*smoothingGain
}

// prefillTime returns the time to process the prompt tokens at the rate in tokens per second.
func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
