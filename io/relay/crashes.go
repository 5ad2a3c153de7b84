package relay

import (
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/io/guard"
)

// passesQuarantine reports whether the request may be sent to an engine, given the quarantined parts. It may once if it is
// the trial of a part.
func (q *request) passesQuarantine() bool {
	if len(q.parts) == 0 {
		return true
	}
	q.relay.mu.Lock()
	index, relays := q.relay.relayIndex, q.relay.relayCount
	q.relay.mu.Unlock()
	return q.relay.crashes.Permit(q.id, q.parts, index, relays, q.attempts > 0) != guard.Refused
}

// recordCrash records that the request has crashed an engine at the given time if the engine is lost.
func (q *request) recordCrash(e place.Endpoint, at time.Time) {
	if q.relay.prober.isLostSince(q.ctx, e, q.relay.Clock.Now()) {
		q.relay.crashes.Record(poison.NewCrash(q.id, e.ID, e.Domain, q.parts), at)
	}
}

// recordStreamCrash records a crash if the engine of a failed attempt is lost just after it began to answer.
func (s *streamRequest) recordStreamCrash(a streamAttempt, result attemptResult) {
	if len(s.parts) == 0 || result.outcome == completed || !result.run.IsEarly() || s.r.Context().Err() != nil {
		return
	}
	s.recordCrash(a.endpoint, result.run.LastSign)
}

// recordPlainOutcome records what an attempt whose response is one message says about the request's parts. Nothing shows
// when the engine began to answer, so each loss by a reset counts as a crash, and only a response as sound.
func (q *request) recordPlainOutcome(e place.Endpoint, result attemptResult) {
	switch {
	case len(q.parts) == 0 || q.r.Context().Err() != nil:
	case result.outcome == completed:
		q.relay.crashes.MarkSound(q.parts, q.sentAt)
	case result.outcome == outcomeUnknown && result.cause == common.RetryReset:
		q.recordCrash(e, q.relay.Clock.Now())
	}
}

// markSound records that the engine of an attempt survived the beginning of its answer.
func (s *streamRequest) markSound(w *silenceWatch) {
	if w.soundMarked {
		return
	}
	w.soundMarked = true
	s.relay.crashes.MarkSound(s.parts, w.beganAt)
}

// quarantineRetryAfter returns the Retry-After time of a request that is refused because its prompt crashes engines.
func (q *request) quarantineRetryAfter() time.Duration {
	return max(retryAfterCrash, q.relay.crashes.RetryAfter(q.parts))
}

// retryAfter returns the Retry-After time of a stream that is refused for the reason.
func (s *streamRequest) retryAfter(reason common.Reason) time.Duration {
	switch reason {
	case common.ReasonCrashesEngines:
		return s.quarantineRetryAfter()
	case common.ReasonEndpointLimit:
		turn, _ := s.nextTurn(s.requirements())
		return max(retryElsewhere, turn)
	}
	return retryAfterCrash
}
