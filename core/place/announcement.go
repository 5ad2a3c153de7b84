package place

import "time"

const (
	// maxPause bounds the time for which an endpoint gets no requests because it asked for that.
	maxPause = time.Hour
	// pauseNewsStep is how much later a pause must end than was known to be reported again.
	pauseNewsStep = time.Second
)

// Announcement is what one answer of an endpoint says about the requests that the endpoint takes.
type Announcement struct {
	// Leaving means that the endpoint is about to end and takes no new requests.
	Leaving bool
	// Unclear means that it can't be read from the answer whether the endpoint is leaving.
	Unclear bool
	// Pause is the time for which the endpoint wants no requests; 0 if it names none.
	Pause time.Duration
	// Control means that the answer is not to a caller's request, but to a call of the relay itself, such as a probe.
	Control bool
	// Endpoint is the id of the endpoint that answered; empty if the answer doesn't name it.
	Endpoint string
	// Brittle is what the answer says of the endpoint's brittleness.
	Brittle Brittleness
}

// AnnouncementChange is what an answer has changed in what is known of its endpoint.
type AnnouncementChange struct {
	LeavingBegan bool
	LeavingEnded bool
	// PausedFor is the time for which the endpoint gets no requests; 0 if the answer has not changed its end by much.
	PausedFor time.Duration
}

// announced is what an endpoint has announced of itself to this relay. It is bound to the endpoint's id, so that it
// doesn't apply to another endpoint at the same address.
type announced struct {
	// leavingSince is when an answer first said that the endpoint is leaving; zero if it is not known to. leavingSaid is
	// when one said so last.
	leavingSince time.Time
	leavingSaid  time.Time
	// saidInControl is true if an answer to a control call said that the endpoint is leaving.
	saidInControl bool
	// pausedUntil is the end of the longest pause that the endpoint has asked for.
	pausedUntil time.Time
}

// isLeaving reports whether the endpoint has said that it is leaving.
func (a *announced) isLeaving() bool { return !a.leavingSince.IsZero() }

// pauseLeft returns the time for which the endpoint still wants no requests, or 0.
func (a *announced) pauseLeft(now time.Time) time.Duration { return max(0, a.pausedUntil.Sub(now)) }

// record adds what an answer says; the request for it was sent at the given time.
func (a *announced) record(n Announcement, sent, now time.Time) (change AnnouncementChange) {
	switch {
	case n.Leaving:
		if !a.isLeaving() {
			a.leavingSince, change.LeavingBegan = now, true
		}
		a.leavingSaid, a.saidInControl = now, a.saidInControl || n.Control
	case n.Unclear || !a.isLeaving() || !sent.After(a.leavingSaid):
	case n.Control && !a.saidInControl:
		// Answers to control calls may lack what answers to requests say.
	default:
		a.leavingSince, a.leavingSaid, a.saidInControl, change.LeavingEnded = time.Time{}, time.Time{}, false, true
	}
	if n.Pause <= 0 {
		return change
	}
	// A later answer with a shorter pause, or a success, doesn't take back what the endpoint has asked for.
	until := now.Add(min(n.Pause, maxPause))
	if until.Sub(a.pausedUntil) >= pauseNewsStep || a.pauseLeft(now) == 0 {
		change.PausedFor = until.Sub(now)
	}
	if until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
	return change
}

// RecordAnnouncement records what an answer of the endpoint says of it; the request for the answer was sent at the given
// time. An answer that names another endpoint is ignored.
func (t *EndpointTable) RecordAnnouncement(id string, n Announcement, sent, now time.Time) AnnouncementChange {
	s := t.endpoints.Get(id)
	if s == nil || n.Endpoint != "" && n.Endpoint != id {
		return AnnouncementChange{}
	}
	t.recordBrittleness(s, n, sent, now)
	return s.announced.record(n, sent, now)
}

// AcceptsCached reports whether the endpoint with the id takes requests whose prompt it has cached; it may be full.
func (t *EndpointTable) AcceptsCached(id string, now time.Time) bool {
	s := t.endpoints.Get(id)
	return s != nil && s.takesResumed(now) && !s.announced.isLeaving() && s.announced.pauseLeft(now) == 0 && t.roomWait(s, now) == 0
}

// AcceptsResumed reports whether the endpoint with the id may be sent a stream to resume from a copy that it holds. A leaving
// endpoint still gets streams whose request arrived before it said so.
func (t *EndpointTable) AcceptsResumed(id string, arrived, now time.Time) bool {
	s := t.endpoints.Get(id)
	return s != nil && s.takesResumed(now) && s.announced.pauseLeft(now) == 0 && t.roomWait(s, now) == 0 &&
		(!s.announced.isLeaving() || arrived.Before(s.announced.leavingSince))
}

// KeepsCopies reports whether the endpoint with the id is up and not about to end with the KV cache copies that it holds.
func (t *EndpointTable) KeepsCopies(id string, now time.Time) bool {
	s := t.endpoints.Get(id)
	return s != nil && s.takesNew(now)
}

// IsPaused reports whether the endpoint with the id has asked for a pause that is not over.
func (t *EndpointTable) IsPaused(id string, now time.Time) bool {
	s := t.endpoints.Get(id)
	return s != nil && s.announced.pauseLeft(now) > 0
}

const (
	// retryMargin is how much later than the end of a pause refused callers are told to come back at the earliest.
	retryMargin = 50 * time.Millisecond
	// minRetrySpread and retrySpread give the span over which they come back: the longer of the time itself and the part of
	// the pause that is left.
	minRetrySpread = time.Second
	retrySpread    = 0.5
)

// FirstReturn returns the time until the first endpoint of the service accepts requests again. It returns false if one does
// now, or if no endpoint has asked for a pause.
func (t *EndpointTable) FirstReturn(service string, now time.Time) (wait time.Duration, paused bool) {
	accepts, first := false, maxPause
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if s.Service != service || !s.listed || s.Draining || s.announced.isLeaving() {
			return true
		}
		left := s.announced.pauseLeft(now)
		paused = paused || left > 0
		for _, until := range []time.Time{s.backoffUntil, s.fullUntil, s.addressReusedUntil} {
			left = max(left, until.Sub(now))
		}
		first, accepts = min(first, left), accepts || left <= 0
		return true
	})
	return first, paused && !accepts
}

// SpreadRetry returns the Retry-After time of a request that is refused until an endpoint returns after the given time; random is
// from 0 to 1. Callers that are refused in the same pause come back over some time, so that they don't fill the endpoints at once.
func SpreadRetry(wait time.Duration, random float64) time.Duration {
	spread := max(minRetrySpread, time.Duration(retrySpread*float64(wait)))
	return wait + retryMargin + time.Duration(random*float64(spread))
}

// SweepAnnouncements returns the ids of the endpoints whose pause has ended since the last call, and the numbers of those that are
// leaving and in a pause.
func (t *EndpointTable) SweepAnnouncements(now time.Time) (ended []string, leaving, paused int) {
	t.endpoints.Each(func(id string, s *endpointState) bool {
		a := &s.announced
		if a.isLeaving() {
			leaving++
		}
		switch {
		case a.pauseLeft(now) > 0:
			paused++
		case !a.pausedUntil.IsZero():
			a.pausedUntil = time.Time{}
			ended = append(ended, id)
		}
		return true
	})
	return ended, leaving, paused
}
