package poison

import "time"

const (
	// answerLifetime is how long an answer to a whole request speaks for further ones. A request that crashes engines is never
	// answered, and one that is sent so often that it is on most engines that are lost is answered in between.
	answerLifetime = 10 * time.Second
	// maxAnswers bounds the whole requests in one of the two generations of recentAnswers.
	maxAnswers = 1024
)

// recentAnswers holds when whole requests were answered last, in two generations, so that old answers are given up without a
// search.
type recentAnswers struct {
	current, former map[string]time.Time
}

// record records that a request with the fingerprint was answered; the answer began at the given time.
func (a *recentAnswers) record(fingerprint string, began time.Time) {
	if a.current == nil || len(a.current) >= maxAnswers {
		a.former, a.current = a.current, make(map[string]time.Time, maxAnswers)
	}
	if began.After(a.current[fingerprint]) {
		a.current[fingerprint] = began
	}
}

// speakFor reports whether an answer to a request with the fingerprint shows that it did not crash an engine at the given time.
func (a *recentAnswers) speakFor(fingerprint string, at time.Time) bool {
	last := a.current[fingerprint]
	if former := a.former[fingerprint]; former.After(last) {
		last = former
	}
	return !last.IsZero() && at.Sub(last) < answerLifetime
}
