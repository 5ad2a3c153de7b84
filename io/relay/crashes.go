package relay

import (
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/io/guard"
)

// crashParts returns what the relay knows the request by when it comes again and crashes engines: the parts of its prompt, or
// its fingerprint if it has none. A request whose body was not buffered has none.
func (q *request) crashParts() []string {
	if len(q.parts) > 0 {
		return q.parts
	}
	if q.bodyReader != nil {
		return nil
	}
	if q.fingerprint == "" {
		q.fingerprint = poison.Fingerprint(q.body, q.account, q.r.Method, strings.ToLower(q.r.Host), q.r.RequestURI)
	}
	return []string{q.fingerprint}
}

// goesToModelEngine reports whether the request's service has model engines, which have liveness requests.
func (q *request) goesToModelEngine() bool {
	service := q.index.Service(q.service)
	return service != nil && service.Model != nil
}

// passesQuarantine reports whether the request may be sent to an engine, given the quarantined parts. It may once if it is
// the trial of a part.
func (q *request) passesQuarantine() bool {
	if !q.relay.crashes.HasCrashes() || q.isTrial && q.attempts == 0 {
		return true
	}
	q.relay.mu.Lock()
	index, relays := q.relay.relayIndex, q.relay.relayCount
	q.relay.mu.Unlock()
	permission := q.relay.crashes.Permit(q.id, q.crashParts(), index, relays, q.attempts > 0)
	q.isTrial = permission == guard.Trial
	return permission != guard.Refused
}

// recordCrash records that the request has crashed an engine at the given time if the engine is lost.
func (q *request) recordCrash(e place.Endpoint, at time.Time) {
	if q.relay.prober.isLostSince(q.ctx, e, q.relay.Clock.Now()) {
		q.relay.crashes.Record(poison.NewCrash(q.id, e.ID, e.Domain, q.crashParts()), at)
	}
}

// recordStreamCrash starts to find out whether the engine of a failed attempt has crashed just after it began to answer. The stream
// waits for the result for a moment after a reset, which a new connection explains at once, and until there is one if it may have
// crashed as many engines as it may.
func (s *streamRequest) recordStreamCrash(a streamAttempt, result attemptResult) {
	if result.outcome == completed || !result.run.IsEarly() || s.isAbandoned() || len(s.crashParts()) == 0 {
		return
	}
	c := &streamCrashCheck{
		relay: s.relay, endpoint: a.endpoint, crash: poison.NewCrash(s.id, a.endpoint.ID, a.endpoint.Domain, s.crashParts()),
		loss: result.run.Loss, done: make(chan struct{}),
	}
	s.relay.crashes.Suspect(c.crash, c.loss.LastSign)
	go c.run()
	if result.cause != common.RetrySilent {
		t := time.NewTimer(poison.MinProbeTime)
		defer t.Stop()
		select {
		case <-c.done:
		case <-t.C:
		case <-s.ctx.Done():
		}
	}
	if s.canRetry() && s.relay.crashes.MustWait(s.id) {
		s.log.Info("attempt-held", zap.String("endpoint", a.endpoint.ID), zap.Time("last-activity", c.loss.LastSign))
	}
	for s.canRetry() && s.relay.crashes.MustWait(s.id) && s.sleep(resumeRetryInterval) {
		continue
	}
}

// hasResponded reports whether the endpoint of an attempt has sent a response, be it a refusal or one that the relay rejects.
func (r *attemptResult) hasResponded() bool {
	switch r.cause {
	case common.RetryConnect, common.RetryReset, common.RetrySilent:
		return false
	}
	return true
}

// recordPlainOutcome records what an attempt whose response is one message says about the request. Nothing shows
// when the engine began to answer, so each loss by a reset may be a crash, and only a response counts as sound.
func (q *request) recordPlainOutcome(e place.Endpoint, result attemptResult) {
	if result.hasResponded() {
		q.relay.crashes.RecordSign(e.ID)
	}
	switch {
	case q.isAbandoned() || result.mayHaveHung || len(q.parts) == 0 && q.bodyReader != nil:
	case result.outcome == completed:
		q.recordAnswer(result.res.StatusCode)
	case result.outcome != outcomeUnknown || result.cause != common.RetryReset && result.cause != common.RetrySilent:
	case !q.goesToModelEngine():
		q.startCrashCheck(e, result.cause == common.RetrySilent)
	case result.cause == common.RetryReset:
		q.recordCrash(e, q.relay.Clock.Now())
	}
}

// recordAnswer records that an engine has outlived the request, if its response with the status shows that.
func (q *request) recordAnswer(status int) {
	if guard.Outlived(status) && q.relay.crashes.HasCrashes() {
		q.relay.crashes.MarkSound(q.crashParts(), q.sentAt)
	}
}

// startCrashCheck starts to find out whether an endpoint of a plain service is lost, and records it as a crash if it is. Only
// a request that could be sent to a third endpoint waits for the result.
func (q *request) startCrashCheck(e place.Endpoint, silent bool) {
	c := &crashCheck{
		relay: q.relay, endpoint: e, crash: poison.NewCrash(q.id, e.ID, e.Domain, q.crashParts()), sent: q.sentAt, at: q.relay.Clock.Now(),
		silent: silent, done: make(chan struct{}),
	}
	if silent {
		q.relay.crashes.RecordUnanswered(c.crash, c.sent)
	}
	go c.run()
	if q.attempts < poison.MaxRequestCrashes || !q.canRetry() {
		return
	}
	t := time.NewTimer(lossCheckWait)
	defer t.Stop()
	select {
	case <-c.done:
	case <-t.C:
	case <-q.ctx.Done():
	}
}

// markSound records that the engine of an attempt survived the beginning of its answer.
func (s *streamRequest) markSound(w *silenceWatch) {
	if w.soundMarked {
		return
	}
	w.soundMarked = true
	if s.relay.crashes.HasCrashes() {
		s.relay.crashes.MarkSound(s.crashParts(), w.beganAt)
	}
}

// quarantineRetryAfter returns the Retry-After time of a request that is refused because its prompt crashes engines.
func (q *request) quarantineRetryAfter() time.Duration {
	return max(retryAfterCrash, q.relay.crashes.RetryAfter(q.crashParts()))
}

// retryAfter returns the Retry-After time of a stream that is refused for the reason.
func (s *streamRequest) retryAfter(reason common.Reason) time.Duration {
	switch reason {
	case common.ReasonCrashesEngines:
		return s.quarantineRetryAfter()
	case common.ReasonEndpointLimit:
		if wait, paused := s.firstReturn(); paused {
			return place.SpreadRetry(wait, rand.Float64())
		}
		turn, _ := s.nextTurn(s.requirements())
		return max(retryElsewhere, s.spreadForRoom(s.requirements(), turn))
	case common.ReasonOriginUnknown, common.ReasonSoftwareGone:
		// The caller can only begin anew, which it may do at once.
		return 0
	case common.ReasonCutOff:
		return retryElsewhere
	}
	return retryAfterCrash
}
