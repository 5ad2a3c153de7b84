package stream

import "time"

// Default limits of the timeouts of a StallDetector. Output has to continue within 4 s even if two attempts in a row
// fail after a silence: the silence and the first outputs of three attempts take 3.6 s if all four reach the maximum
// timeout. In a stream with typical gaps, a silence is detected after the minimum timeout, which leaves 0.6 s of the
// target of 1 s for the prefill of the next attempt.
const (
	// DefaultMinTimeout is the default of StallDetector.MinTimeout. It is longer than the gap of an engine that is five
	// times slower than 73 ms per token: requests leave a slow engine by migration, which has a budget, and not by
	// resumes.
	DefaultMinTimeout = 400 * time.Millisecond
	// DefaultMaxTimeout is the default of StallDetector.MaxTimeout.
	DefaultMaxTimeout = 900 * time.Millisecond

	// DefaultMinFirstTimeout is the default of StallDetector.MinFirstTimeout.
	DefaultMinFirstTimeout = 300 * time.Millisecond
	// DefaultMaxFirstTimeout is the default of StallDetector.MaxFirstTimeout.
	DefaultMaxFirstTimeout = 900 * time.Millisecond

	// maxSoundSilence is the longest silence of a sound engine, which goes on afterwards. With the maximum timeout before it and
	// the first output of the next attempt, output still continues within 4 s if the engine was lost.
	maxSoundSilence = 1600 * time.Millisecond
)

const (
	// initialGap and initialDeviation are the estimates of the mean gap and of its deviation before a gap is measured.
	initialGap       = 73 * time.Millisecond
	initialDeviation = 37 * time.Millisecond
	// gapGain and deviationGain are the weights of one gap in the moving averages, the same as in the round-trip time
	// estimator of TCP.
	gapGain       = 0.125
	deviationGain = 0.25
	// deviationFactor is the number of deviations by which the timeout exceeds the mean gap.
	deviationFactor = 6

	// firstTimeoutFactor is the ratio of the timeout of the first output to its predicted time. It allows for
	// predictions that are too short by up to this factor.
	firstTimeoutFactor = 2
	// minFirstTimeoutFactor is the factor below which StallDetector.MaxFirstTimeout does not reduce the timeout.
	// Otherwise each attempt with a long prompt would time out during the prefill.
	minFirstTimeoutFactor = 1.25
	// firstTimeoutSlack is added to the predicted time after it is multiplied by either factor.
	firstTimeoutSlack = 100 * time.Millisecond
)

// StallDetector detects that an attempt has stopped returning output. Its timeout adapts to the gaps between the
// outputs so far. The zero value has the default limits; call Start at the beginning of each attempt.
type StallDetector struct {
	// MinTimeout and MaxTimeout are the minimum and the maximum timeout between two outputs.
	MinTimeout time.Duration
	MaxTimeout time.Duration
	// MinFirstTimeout and MaxFirstTimeout are the minimum and the maximum timeout of the first output of an attempt.
	MinFirstTimeout time.Duration
	MaxFirstTimeout time.Duration

	// lastOutput is the time of the last output of the attempt, or of Start before the first output.
	lastOutput time.Time
	// firstTimeout is the timeout of the first output, or zero after it.
	firstTimeout time.Duration
	// meanGap is the moving average of the gaps between two outputs, gapDeviation that of their distance from it.
	meanGap      time.Duration
	gapDeviation time.Duration
}

// Start begins to observe an attempt that was started at the time now and whose first output is expected after the
// duration prefill.
func (s *StallDetector) Start(now time.Time, prefill time.Duration) {
	if s.meanGap == 0 {
		s.meanGap = initialGap
		s.gapDeviation = initialDeviation
	}
	timeout := max(firstTimeoutFactor*prefill+firstTimeoutSlack, durationOr(s.MinFirstTimeout, DefaultMinFirstTimeout))
	timeout = min(timeout, durationOr(s.MaxFirstTimeout, DefaultMaxFirstTimeout))
	s.firstTimeout = max(timeout, scaleDuration(prefill, minFirstTimeoutFactor)+firstTimeoutSlack)
	s.lastOutput = now
}

// Output records that the attempt returned output at the time now.
func (s *StallDetector) Output(now time.Time) {
	gap := min(now.Sub(s.lastOutput), durationOr(s.MaxTimeout, DefaultMaxTimeout))
	s.lastOutput = now
	if s.firstTimeout > 0 {
		s.firstTimeout = 0
		return
	}
	distance := gap - s.meanGap
	s.meanGap += scaleDuration(distance, gapGain)
	s.gapDeviation += scaleDuration(max(distance, -distance)-s.gapDeviation, deviationGain)
}

// PostponeDeadline postpones the deadline by d, a time for which the router itself did not run. Output that arrived
// meanwhile waits in the socket buffers and has to be read before the attempt counts as lost.
func (s *StallDetector) PostponeDeadline(d time.Duration) { s.lastOutput = s.lastOutput.Add(d) }

// Timeout returns how long the attempt may at present stay silent until its next output.
func (s *StallDetector) Timeout() time.Duration {
	if s.firstTimeout > 0 {
		return s.firstTimeout
	}
	timeout := max(s.meanGap+deviationFactor*s.gapDeviation, durationOr(s.MinTimeout, DefaultMinTimeout))
	return min(timeout, durationOr(s.MaxTimeout, DefaultMaxTimeout))
}

// Deadline returns the time at which the attempt counts as stalled if there is no further output.
func (s *StallDetector) Deadline() time.Time { return s.lastOutput.Add(s.Timeout()) }

// Stalled reports whether the attempt counts as stalled at the time now. It is given up if another one may follow at once.
func (s *StallDetector) Stalled(now time.Time) bool { return !now.Before(s.Deadline()) }

// Lost reports whether the attempt counts as lost at the time now, even if no other one may follow: a silence of a sound engine
// that began when the output was due would be over.
func (s *StallDetector) Lost(now time.Time) bool { return s.Stalled(now.Add(-maxSoundSilence)) }

// Silence returns the time since the last output, or since the start of the attempt before the first one.
func (s *StallDetector) Silence(now time.Time) time.Duration { return now.Sub(s.lastOutput) }

// MeanGap returns the moving average of the time between two outputs.
func (s *StallDetector) MeanGap() time.Duration { return s.meanGap }

// scaleDuration returns the duration d multiplied by the factor.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
