package relay

import (
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/poison"
	"wasabiweir/io/guard"
)

// passesQuarantine reports whether the stream may be sent to an engine, given the quarantined parts. It may once if it
// is the trial of a part.
func (s *streamRequest) passesQuarantine() bool {
	s.relay.mu.Lock()
	index, relays := s.relay.relayIndex, s.relay.relayCount
	s.relay.mu.Unlock()
	return s.relay.crashes.Permit(s.id, s.parts, index, relays, s.attempts > 0) != guard.Refused
}

// recordCrash records that the stream has crashed an engine: the engine began to answer and is lost just after that.
func (s *streamRequest) recordCrash(a streamAttempt, result attemptResult) {
	if len(s.parts) == 0 || result.outcome == completed || !result.run.began || result.run.lasted >= poison.BeginWindow ||
		s.r.Context().Err() != nil {
		return
	}
	if s.relay.prober.isLostSince(s.ctx, a.endpoint, s.relay.Clock.Now()) {
		s.relay.crashes.Record(poison.NewCrash(s.id, a.endpoint.ID, s.parts))
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

// retryAfter returns the Retry-After time of a stream that is refused for the reason.
func (s *streamRequest) retryAfter(reason common.Reason) time.Duration {
	switch reason {
	case common.ReasonCrashesEngines:
		return max(retryAfterCrash, s.relay.crashes.RetryAfter(s.parts))
	case common.ReasonEndpointLimit:
		turn, _ := s.nextTurn(s.requirements())
		return max(retryElsewhere, turn)
	}
	return retryAfterCrash
}
