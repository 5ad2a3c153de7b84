package poison

import (
	"slices"
	"time"
)

const (
	// minSilence is the time in which an endpoint has sent no response, at the end of a request that it left unanswered, from which
	// on it may have stopped responding. A shorter one shows only that the request was slow.
	minSilence = 500 * time.Millisecond
	// silenceLifetime is how long after the last unanswered request an endpoint that has sent no response since counts as one
	// that may have stopped responding.
	silenceLifetime = 5 * time.Second
	// maxUnanswered bounds the unanswered requests that are kept of an endpoint.
	maxUnanswered = 8
	// signLifetime is the age at which what is known of an endpoint is given up when another one becomes known.
	signLifetime = time.Minute
)

// Silences holds the endpoints that have left requests unanswered and sent no response since. The loss of such an endpoint says
// little about the requests that were sent to it in its silence. The zero value is ready for use; it is not safe for concurrent use.
type Silences struct {
	endpoints map[string]*silence
}

// silence is what is known of one endpoint.
type silence struct {
	// lastSign is when the endpoint last sent a response.
	lastSign time.Time
	// start is when the silence began; zero if the endpoint is not known to be silent.
	start time.Time
	// lastEnd is when the latest unanswered request ended.
	lastEnd time.Time
	// lostAt is when the endpoint was lost in its silence; zero if it was not. What is sent to it later reaches its next
	// incarnation, which may have the same id.
	lostAt time.Time
	// unanswered are the unanswered requests that were running when the silence began, as crashes by them.
	unanswered []Crash
}

// RecordSign records that the endpoint sent a response at the time now.
func (s *Silences) RecordSign(endpoint string, now time.Time) {
	*s.silenceOf(limitID(endpoint), now) = silence{lastSign: now}
}

// RecordUnanswered records that the request of the crash was sent at the given time to the crash's endpoint, and ended at the time
// now without an answer. It reports whether the endpoint is silent from now on.
func (s *Silences) RecordUnanswered(c Crash, sent, now time.Time) (begins bool) {
	e := s.silenceOf(c.Endpoint, now)
	if e.isOver(sent, now) {
		*e = silence{lastSign: e.lastSign}
	}
	start := sent
	if e.lastSign.After(start) {
		start = e.lastSign
	}
	if now.Sub(start) < minSilence {
		return false
	}
	e.lastEnd = now
	begins = e.start.IsZero()
	if begins || start.Before(e.start) {
		// A request that was sent later can't have been the one that stopped the endpoint.
		e.start, e.unanswered = start, nil
	}
	if !sent.After(e.start) && len(e.unanswered) < maxUnanswered {
		e.unanswered = append(e.unanswered, c)
	}
	return begins
}

// CrashesOf returns the crashes that the loss of an endpoint at the time now counts as. It was noticed by the request of the
// crash, which was sent at the given time. If the endpoint may have stopped responding before, the unanswered requests that were
// running then may have crashed it, and it is doubtful whether one did that was sent in the silence.
func (s *Silences) CrashesOf(c Crash, sent, now time.Time) []Crash {
	e := s.endpoints[c.Endpoint]
	if e == nil || e.start.IsZero() || e.isOver(sent, now) {
		return []Crash{c}
	}
	c.Doubtful = sent.Sub(e.start) >= minSilence
	out := slices.Concat(e.unanswered, []Crash{c})
	e.unanswered = nil
	if e.lostAt.IsZero() {
		e.lostAt = now
	}
	return out
}

// isOver reports whether the silence says nothing about a request that was sent at the given time.
func (e *silence) isOver(sent, now time.Time) bool {
	return now.Sub(e.lastEnd) >= silenceLifetime || !e.lostAt.IsZero() && sent.After(e.lostAt)
}

// silenceOf returns what is known of the endpoint. When it is new, what is known of endpoints for long is given up: an endpoint
// may have a new id after each restart.
func (s *Silences) silenceOf(endpoint string, now time.Time) *silence {
	if e := s.endpoints[endpoint]; e != nil {
		return e
	}
	if s.endpoints == nil {
		s.endpoints = map[string]*silence{}
	}
	for id, e := range s.endpoints {
		if now.Sub(e.lastSign) > signLifetime && now.Sub(e.lastEnd) > signLifetime {
			delete(s.endpoints, id)
		}
	}
	e := &silence{}
	s.endpoints[endpoint] = e
	return e
}
