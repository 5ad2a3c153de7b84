package poison

import "time"

const (
	// MaxSoundSilence is the time after the last sign of life within which an engine that does not respond may still be sound:
	// a sound engine may be silent for a second or so.
	MaxSoundSilence = 2 * time.Second
	// MinProbeTime is the least time that an engine gets to respond to a probe.
	MinProbeTime = 250 * time.Millisecond
)

// Loss says how far an engine had got with a request when it was lost.
type Loss struct {
	// Began is when the engine began to answer; zero if it had not.
	Began time.Time
	// LastSign is when the engine last gave a sign of life: its last output, or the end of the connection.
	LastSign time.Time
}

// HasBegun reports whether the engine had begun to answer.
func (l Loss) HasBegun() bool { return !l.Began.IsZero() }

// Lasted returns the time from the beginning of the answer to the last sign of life; zero if the engine had not begun.
func (l Loss) Lasted() time.Duration {
	if !l.HasBegun() {
		return 0
	}
	return l.LastSign.Sub(l.Began)
}

// IsEarly reports whether the engine was lost so soon after it began to answer that the request may have crashed it. The
// silence in which the loss was noticed does not count.
func (l Loss) IsEarly() bool { return l.HasBegun() && l.Lasted() < BeginWindow }

// ProbeTimeout returns how long a probe of the engine that starts at the time now waits for the response. An engine that responds
// late on the connection of the probe is sound; one that was restarted meanwhile resets that connection.
func (l Loss) ProbeTimeout(now time.Time) time.Duration {
	if !l.HasBegun() {
		// The silence of the engine counts for nothing, so only the connection is waited for.
		return MinProbeTime
	}
	return max(MinProbeTime, l.LastSign.Add(MaxSoundSilence).Sub(now))
}

// ProbeResult is what a probe of an engine has shown.
type ProbeResult int

const (
	// ProbeAnswered means that the engine responded.
	ProbeAnswered ProbeResult = iota
	// ProbeFailed means that the engine accepted no connection, or ended that of the probe.
	ProbeFailed
	// ProbeSilent means that the engine accepted the connection and did not respond within ProbeTimeout.
	ProbeSilent
)

// IsCrash reports whether the request may have crashed the engine, by the result of a probe that started after the loss. An engine
// that had sent nothing may have hung before the request came.
func (l Loss) IsCrash(p ProbeResult) bool {
	return p == ProbeFailed || p == ProbeSilent && l.HasBegun()
}
