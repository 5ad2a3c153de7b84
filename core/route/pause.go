package route

import "time"

// maxEndpointPause bounds the time for which an endpoint gets no requests because it asked for that. An endpoint that restarts keeps
// its name, so that the pause of the process before it still holds.
const maxEndpointPause = time.Minute

// PauseEndpoint records that the endpoint wants no requests for the given time. A shorter pause doesn't shorten one that holds.
func (t *Table) PauseEndpoint(name string, d time.Duration, now time.Time) {
	e := t.byName.Get(name)
	if e == nil || d <= 0 {
		return
	}
	if until := now.Add(min(d, maxEndpointPause)); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// acceptsRequest reports whether the endpoint may receive a request now, given its failures and the pause it has asked for.
func (e *Endpoint) acceptsRequest(now time.Time) bool {
	return !now.Before(e.pausedUntil) && e.backoff.acceptsRequest(now)
}

// waitLeft returns the time until the endpoint may receive a request again.
func (e *Endpoint) waitLeft(now time.Time) time.Duration {
	return max(minBackoff, e.backoff.retryAt.Sub(now), e.pausedUntil.Sub(now))
}
