package poison

import (
	"slices"
	"time"
)

const (
	// minSilence is the time in which an endpoint has sent nothing, at the end of a request that it left unanswered, from which on
	// it may have stopped responding. A shorter one shows only that the request was slow.
	minSilence = 500 * time.Millisecond
	// silenceLifetime is how long after the last unanswered request an endpoint that has sent nothing since counts as one that
	// has stopped responding.
	silenceLifetime = 5 * time.Second
	// maxUnanswered bounds the unanswered requests that are kept of an endpoint. The first ones are: the request that stopped
	// the endpoint is among them.
	maxUnanswered = 8
	// signLifetime is the age at which what is known of an endpoint is given up.
	signLifetime = time.Minute
)

// Silences holds the endpoints that have left requests unanswered and sent nothing since. The loss of such an endpoint is no
// evidence against the requests that were sent to it in its silence. The zero value is ready for use; it is not safe for
// concurrent use.
type Silences struct {
	endpoints map[string]*silence
}

// silence is what is known of one endpoint.
type silence struct {
	// lastSign is when the endpoint last sent something.
	lastSign time.Time
	// start is when the silence began; zero if the endpoint is not known to be silent.
	start time.Time
	// lastEnd is when the latest unanswered request ended.
	lastEnd time.Time
	// lostAt is when the endpoint was lost in its silence; zero if it was not. A later loss is that of its next incarnation, which
	// may have the same id.
	lostAt time.Time
	// unanswered are the requests that the endpoint left unanswered, as crashes by them.
	unanswered []Crash
}

// RecordSign records that the endpoint sent something at the time now.
func (s *Silences) RecordSign(endpoint string, now time.Time) {
	*s.silenceOf(limitID(endpoint), now) = silence{lastSign: now}
}

// RecordUnanswered records that the request of the crash was sent at the given time to the crash's endpoint, and ended at the time
// now without an answer.
func (s *Silences) RecordUnanswered(c Crash, sent, now time.Time) {
	e := s.silenceOf(c.Endpoint, now)
	start := sent
	if e.lastSign.After(start) {
		start = e.lastSign
	}
	if now.Sub(start) < minSilence {
		return
	}
	if e.start.IsZero() || start.Before(e.start) {
		e.start = start
	}
	e.lastEnd = now
	if len(e.unanswered) < maxUnanswered {
		e.unanswered = append(e.unanswered, c)
	}
}

// CrashesOf returns the crashes that the loss of an endpoint at the time now counts as. It was noticed by the request of the
// crash, which was sent at the given time. If the endpoint had stopped responding before, the requests that it left unanswered
// may have crashed it, and those that were sent to it later have not.
func (s *Silences) CrashesOf(c Crash, sent, now time.Time) []Crash {
	e := s.endpoints[c.Endpoint]
	if e == nil || e.start.IsZero() || now.Sub(e.lastEnd) >= silenceLifetime || !e.lostAt.IsZero() && now.Sub(e.lostAt) >= sameCrash {
		return []Crash{c}
	}
	out := e.unanswered
	e.unanswered = nil
	if e.lostAt.IsZero() {
		e.lostAt = now
	}
	isKnown := slices.ContainsFunc(out, func(o Crash) bool { return o.Request == c.Request })
	if !sent.After(e.start) && !isKnown {
		out = append(out, c)
	}
	return out
}

// silenceOf returns what is known of the endpoint. When it is new, what is known of endpoints for long is given up: an endpoint
// has a new id after each restart.
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
