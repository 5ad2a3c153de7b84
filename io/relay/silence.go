package relay

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/io/serve"
)

const (
	// maxEventSilence is the time without an event of a running stream after which its engine is probed. Events arrive
	// every 30 ms, or every 200 ms while the engine prefills a prompt.
	maxEventSilence = 300 * time.Millisecond
	// maxStartSilence is the time without a first event after which the engine is probed. Prefilling a prompt takes a
	// second or more; the latency objective leaves time for a second prefill at another engine.
	maxStartSilence = time.Second
	// startCheckInterval is the time between two checks, before maxStartSilence, whether another stream of the engine
	// has found it dead.
	startCheckInterval = 100 * time.Millisecond
	// probeTimeout bounds a liveness probe of an engine; the engine responds within a few milliseconds even if all its
	// slots are busy.
	probeTimeout = 120 * time.Millisecond
	// activityLifetime is how long an event of any stream proves that its engine is alive.
	activityLifetime = 200 * time.Millisecond
	// probeInterval is the time after which an engine that responded is probed again.
	probeInterval = 150 * time.Millisecond
	// startProbeInterval is the time after which an engine that responded is probed again for a stream that has no
	// event yet.
	startProbeInterval = 600 * time.Millisecond
	// copyResumeTime is the time that a stream needs to resume from the copy of its KV cache. If an engine responds to
	// probes but sends no events, the stream moves to the holder of the copy when just this time is left of the longest
	// pause that the route allows.
	copyResumeTime = 250 * time.Millisecond
	// defaultMaxPause is the longest pause between events for a route that sets none.
	defaultMaxPause = 700 * time.Millisecond
	// minEventLead is the number of events by which an engine's report on a stream must be ahead of the events that
	// arrived to prove that the connection is dead. Reports are some hundred milliseconds old, and one event may be in
	// transit.
	minEventLead = 2
	// reservedAttempts is the number of attempts that must be left of a stream after it has left an engine which is only
	// slow: the one that follows, and two more for engines that fail.
	reservedAttempts = 3
	// minStallTimeout, stallPauses and stallObjectives bound the time without progress after which a stream leaves an
	// engine that responds to liveness probes, even if no other engine has a copy of its KV cache: the longest of the
	// time itself, the multiple of the route's longest pause, and the multiple of its latency objective. Callers wait
	// no longer.
	minStallTimeout = 2 * time.Second
	stallPauses     = 8
	stallObjectives = 4
)

// silenceWatch detects that an endpoint has stopped sending the events of a stream and closes its connection, which
// ends the attempt.
type silenceWatch struct {
	stream  *streamRequest
	attempt streamAttempt
	conn    *endpointConn
	// use identifies the attempt's use of the connection.
	use int
	// lastActivity is when data last arrived that continues the stream: the response header or the next event. It is a
	// time since the start of the process in nanoseconds.
	lastActivity atomic.Int64
	// forwardingSince is when the write to the caller that is in progress began, in the same unit; 0 if there is none.
	forwardingSince atomic.Int64
	// mayLeaveSlow is true if enough attempts are left to leave an engine that is only slow.
	mayLeaveSlow bool
	// move is what may follow if the watch gives the attempt up.
	move place.Move
	// keptFor is why the watch last kept an attempt whose endpoint is silent: the reason that no other may follow.
	keptFor atomic.Pointer[common.Reason]
	// unresponsiveAt is one more than the number of received items at the last probe without a response; 0 if there was none. An
	// engine that responds again without data may have been restarted. Only the goroutine of the watch uses it.
	unresponsiveAt int64
	// closeCause is why the watch closed the connection; nil if it did not.
	closeCause atomic.Pointer[closeCause]
	// firstEventSeen is true once the first event has arrived; only the goroutine that reads the stream uses it.
	firstEventSeen bool
	// beganAt is when the response header arrived; only the goroutine that reads the stream uses it.
	beganAt time.Time
	// soundMarked is true once the attempt has shown that the request's prompt does not crash engines; only the
	// goroutine that reads the stream uses it.
	soundMarked bool
	// received counts the response header and the events that arrived; lastEventID is the id of the last event.
	received    atomic.Int64
	lastEventID atomic.Int64
}

// closeCause is why a watch closed the connection to an engine.
type closeCause struct {
	reason common.Reason
	text   string
}

// recordActivity records that data from the endpoint arrived, which proves that the endpoint is alive.
func (w *silenceWatch) recordActivity() {
	w.stream.relay.prober.recordActivity(w.attempt.endpoint.ID, w.stream.relay.uptime())
}

// recordProgress records that data arrived that continues the stream.
func (w *silenceWatch) recordProgress() {
	w.recordActivity()
	if w.keptFor.Swap(nil) != nil {
		w.stream.log.Info("attempt-goes-on", zap.String("endpoint", w.attempt.endpoint.ID), zap.Duration("silence", w.silentFor()))
	}
	w.lastActivity.Store(int64(w.stream.relay.uptime()))
	w.received.Add(1)
}

// runProgress returns how far the endpoint got with the stream until now, or until it fell silent if the watch has closed
// the connection.
func (w *silenceWatch) runProgress() runProgress {
	if w.beganAt.IsZero() {
		return runProgress{}
	}
	lastSign := w.stream.relay.Clock.Now()
	if w.closeCause.Load() != nil {
		lastSign = lastSign.Add(-w.silentFor())
	}
	return runProgress{Loss: poison.Loss{Began: w.beganAt, LastSign: lastSign}, events: w.received.Load() - 1}
}

// run checks how long the endpoint of a stream attempt has sent nothing, and probes its engine, until ctx ends or the
// connection is closed.
func (w *silenceWatch) run(ctx context.Context) {
	defer w.stream.relay.guard.Recover("silence-watch")
	for {
		silence := w.silentFor()
		limit, checkPause, probePause := maxStartSilence, startCheckInterval, startProbeInterval
		switch {
		case w.received.Load() > 1:
			limit, checkPause, probePause = maxEventSilence, maxEventSilence, probeInterval
		case silence >= maxEventSilence && (!w.stream.relay.isEndpointUp(w.attempt.endpoint.ID) || w.isConnDead()):
			limit = maxEventSilence
		}
		if silence < limit {
			if !serve.Sleep(ctx, min(limit-silence, checkPause)) {
				return
			}
			continue
		}
		if silence < w.stallTimeout() && w.stream.relay.prober.wasRecentlyActive(w.attempt.endpoint.ID) {
			if !serve.Sleep(ctx, probeInterval/2) {
				return
			}
			continue
		}
		p := w.stream.relay.prober.awaitProbe(ctx, w.attempt.endpoint)
		if ctx.Err() != nil {
			return
		}
		if cause := w.closeReason(ctx, p); cause != nil && w.takeRetry(ctx, p.alive) {
			w.closeCause.Store(cause)
			w.conn.closeUse(w.use)
			return
		}
		if !serve.Sleep(ctx, probePause) {
			return
		}
	}
}

// silentFor returns the time since the endpoint last sent data of the stream, without the time for which the relay read
// nothing because the caller did not read.
func (w *silenceWatch) silentFor() time.Duration {
	until := w.stream.relay.uptime()
	if since := w.forwardingSince.Load(); since != 0 {
		until = time.Duration(since)
	}
	return until - time.Duration(w.lastActivity.Load())
}

// beginForwarding records that a write to the caller begins.
func (w *silenceWatch) beginForwarding() { w.forwardingSince.Store(int64(w.stream.relay.uptime())) }

// endForwarding records that the write to the caller has ended.
func (w *silenceWatch) endForwarding() {
	w.lastActivity.Add(int64(w.stream.relay.uptime()) - w.forwardingSince.Load())
	w.forwardingSince.Store(0)
}

// stallTimeout returns the time without an event after which a stream leaves an engine that responds to liveness
// probes.
func (w *silenceWatch) stallTimeout() time.Duration {
	longest := w.stream.route.MaxPause
	if longest == 0 {
		longest = defaultMaxPause
	}
	return max(longest-copyResumeTime, maxEventSilence+probeInterval)
}

// noProgressTimeout returns the time without progress after which a stream leaves an engine that responds to liveness
// probes, whether or not a copy of its KV cache exists.
func (w *silenceWatch) noProgressTimeout() time.Duration {
	route := w.stream.route
	return max(minStallTimeout, stallPauses*route.MaxPause, stallObjectives*route.LatencyObjective)
}

// closeReason returns why the stream should leave its engine after a liveness probe, or nil if it should not.
func (w *silenceWatch) closeReason(ctx context.Context, p *livenessProbe) *closeCause {
	silence := w.silentFor()
	if silence < maxEventSilence {
		return nil
	}
	if !p.alive {
		w.unresponsiveAt = w.received.Load() + 1
		return &closeCause{common.RetrySilent, "the engine does not respond"}
	}
	if _, runs := p.report.Events[w.stream.id]; !runs && p.err == nil && w.unresponsiveAt == w.received.Load()+1 &&
		silence > maxEventSilence+probeInterval {
		return &closeCause{common.RetrySilent, "the engine responds again but does not run the stream"}
	}
	if w.isConnDead() {
		return &closeCause{common.RetrySilent, "the relay is cut off from the engine"}
	}
	if silence >= w.noProgressTimeout() {
		return &closeCause{common.RetryStalled, "the engine responds but the stream makes no progress"}
	}
	// The count of received items includes the response header.
	events := w.received.Load() - 1
	if events < 1 {
		return nil
	}
	if reported, ok := p.report.Events[w.stream.id]; ok && int64(reported) >= w.lastEventID.Load()+minEventLead &&
		silence > maxEventSilence+probeInterval {
		return &closeCause{common.RetrySilent, "the engine reports events that did not arrive"}
	}
	if w.mayLeaveSlow && silence >= w.stallTimeout() && w.holderResponds(ctx) {
		return &closeCause{common.RetrySilent, "the engine responds but sends no events"}
	}
	return nil
}

// isConnDead reports whether the relay has lost the way to the engine on which the attempt's connection was opened.
func (w *silenceWatch) isConnDead() bool {
	return w.stream.relay.pool.dialer.Hangs(w.conn.Conn, w.attempt.endpoint.Address, w.conn.openedAt)
}

// holderResponds reports whether the holder of the stream's KV cache copy responds and holds any copies. A holder that
// crashed may still be in the list of endpoints, or may have restarted without its copies.
func (w *silenceWatch) holderResponds(ctx context.Context) bool {
	c := w.stream.copies.get()
	if !c.exists || !w.stream.acceptsResumed(c.holder.ID) {
		return false
	}
	p := w.stream.relay.prober.awaitProbe(ctx, c.holder)
	return ctx.Err() == nil && p.alive && p.report.Copies > 0
}

// moveFrom returns what may follow if the stream leaves the endpoint. The move must not change any more: the watch of the attempt
// reads it while the stream goes on.
func (s *streamRequest) moveFrom(e place.Endpoint) place.Move {
	m := place.Move{
		Requirements: s.requirements(), From: e.ID, Arrived: s.startedAt, Begun: s.headerSent,
		Repeatable:   s.route.Repeatable() && s.bodyReader == nil,
		AttemptsLeft: max(1, s.route.MaxAttempts) - s.attempts - 1,
	}
	m.Requirements.Exclude, m.Requirements.LostDomain = maps.Clone(s.tried), e.Domain
	return m
}

// takeRetry reports whether the attempt may be given up because another one may follow at once, and takes that one from the retry
// budget. fromResponds is true if the stream's own engine responds to probes.
func (w *silenceWatch) takeRetry(ctx context.Context, fromResponds bool) bool {
	s := w.stream
	reason := w.findTarget(ctx, fromResponds)
	if ctx.Err() != nil || w.silentFor() < maxEventSilence {
		return false
	}
	if reason == "" && s.spendRetryWithin(ctx, place.AfterLoss) {
		// The grant of a keeper takes some time, in which the stream may have gone on or ended.
		if ctx.Err() == nil && w.silentFor() >= maxEventSilence {
			return true
		}
		s.hasPaidRetry.Store(true)
		return false
	}
	if reason == "" {
		reason = common.ReasonRetryBudget
	}
	if old := w.keptFor.Swap(&reason); old == nil || *old != reason {
		s.relay.meter.countReason("attempts-kept", string(reason))
		s.log.Info("attempt-kept", zap.String("endpoint", w.attempt.endpoint.ID), zap.String("reason", string(reason)),
			zap.Bool("responds", fromResponds), zap.Duration("silence", w.silentFor()))
	}
	return false
}

// findTarget looks for an endpoint that could take the stream, and returns the reason if there is none. The endpoint must have
// responded since the silence began, so that the stream does not pass through engines that are all silent.
func (w *silenceWatch) findTarget(ctx context.Context, fromResponds bool) common.Reason {
	s := w.stream
	if !s.relay.crashes.MayRetry(s.id) || s.relay.crashes.RetryAfter(s.parts) > 0 {
		return common.ReasonCrashesEngines
	}
	m := w.move
	m.FromResponds = fromResponds
	if w.received.Load() > 1 {
		m.Begun, m.Requirements.Version = true, w.attempt.endpoint.Version
	}
	if c := s.copies.get(); c.exists {
		m.Holder = c.holder.ID
	}
	silentSince := s.relay.Clock.Now().Add(-w.silentFor())
	// A holder that does not respond is suspended, so that the second round is about the other engines.
	for range 2 {
		var targets []place.Endpoint
		var reason common.Reason
		s.relay.withTable(func(t *place.EndpointTable, now time.Time) { targets, reason = t.MoveTargets(m, now) })
		if reason == common.ReasonNoEndpoint {
			s.relay.probeSilent(s.service, nil)
		}
		if reason != "" {
			return reason
		}
		if s.relay.prober.hasRespondedSince(ctx, targets, silentSince) {
			return ""
		}
	}
	return common.ReasonNoEndpoint
}

// probeSilent probes silent engines of a service without those in exclude, so that they are used again as soon as they respond, and
// reports whether there are any.
func (r *Relay) probeSilent(service string, exclude map[string]bool) bool {
	var silent []place.Endpoint
	r.withTable(func(t *place.EndpointTable, now time.Time) { silent = t.SilentEndpoints(service, now) })
	silent = slices.DeleteFunc(silent, func(e place.Endpoint) bool { return exclude[e.ID] })
	if len(silent) == 0 {
		return false
	}
	r.prober.startProbes(silent)
	return true
}
