package intake

import "time"

// Waiting is a connection on which the server waits for a request.
type Waiting struct {
	// Since is when the wait began, and HadRequest whether the connection has had a request before.
	Since      time.Time
	HadRequest bool
}

// YieldsBefore reports whether the connection, rather than the other one, makes room for a new connection: first those that never had a
// request, then those that have waited longest.
func (w Waiting) YieldsBefore(other Waiting) bool {
	if w.HadRequest != other.HadRequest {
		return other.HadRequest
	}
	return w.Since.Before(other.Since)
}
