package route

import "time"

// Bounds of the exponential backoff after failures of an endpoint. The minimum is short because most failures affect
// only one connection; the maximum bounds how long a restarted endpoint stays idle.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// failureBackoff is the state of an endpoint's backoff after a connect failure, a reset or silence.
type failureBackoff struct {
	failures int       // consecutive failures of the endpoint
	retryAt  time.Time // end of the backoff, during which the endpoint receives no request
	// probes is the number of streams started after the backoff that have not generated a token yet.
	probes int
}

// recordFailure starts a new backoff of the endpoint, twice as long as the last one up to the maximum. Failures during
// a backoff are not counted.
func (f *failureBackoff) recordFailure(now time.Time) {
	if now.Before(f.retryAt) {
		return
	}
	backoff := maxBackoff
	if f.failures < 5 {
		backoff = min(maxBackoff, minBackoff<<f.failures)
	}
	f.failures++
	f.retryAt = now.Add(backoff)
}

// acceptsRequest reports whether an endpoint with recent failures may receive a request: none during its backoff, and
// after it only one at a time until a token has arrived, because an endpoint that is still silent would otherwise delay
// many requests.
func (f *failureBackoff) acceptsRequest(now time.Time) bool {
	if f.failures == 0 {
		return true
	}
	return !now.Before(f.retryAt) && f.probes == 0
}

// clearFailures clears the recorded failures of an endpoint that has proved to work or has a new address.
func (f *failureBackoff) clearFailures() { *f = failureBackoff{} }
