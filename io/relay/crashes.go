package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/poison"
)

// crashGuard keeps requests whose prompt crashes engines away from them. It shares its knowledge with the other relays
// through the keepers.
type crashGuard struct {
	relay *Relay

	mu    sync.Mutex
	table poison.Table
	// logged holds the quarantines that were logged last, by part.
	logged map[string]poison.Quarantine
}

// merge adds the crashes that a keeper has sent.
func (g *crashGuard) merge(list []poison.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.relay.Clock.Now()
	g.table.Merge(list, now)
	g.logChanges(now)
}

// record adds a crash that this relay has seen, and sends it to the other relays.
func (g *crashGuard) record(c poison.Crash) {
	g.mu.Lock()
	now := g.relay.Clock.Now()
	news := g.table.Merge([]poison.Crash{c}, now)
	g.logChanges(now)
	g.mu.Unlock()
	g.relay.feed.sendCrashes(news)
}

// markSound records that an engine survived the beginning of its answer to a prompt with the parts.
func (g *crashGuard) markSound(parts []string, began time.Time) {
	g.mu.Lock()
	now := g.relay.Clock.Now()
	news := g.table.MarkSound(parts, began, now)
	g.logChanges(now)
	g.mu.Unlock()
	g.relay.feed.sendCrashes(news)
}

// all returns all known crashes.
func (g *crashGuard) all() []poison.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Crashes(g.relay.Clock.Now())
}

// mayRetry reports whether a request may be sent to a further engine, given those that it has crashed.
func (g *crashGuard) mayRetry(request string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.MayRetry(request)
}

// quarantined returns the quarantine of one of the parts, or false if none is in quarantine.
func (g *crashGuard) quarantined(parts []string) (poison.Quarantine, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.relay.Clock.Now()
	q, ok := g.table.Quarantined(parts, now)
	if ok {
		g.logChanges(now)
	}
	return q, ok
}

// allowTrial reports whether this relay may send one request with the quarantined part to an engine.
func (g *crashGuard) allowTrial(q poison.Quarantine) bool {
	g.relay.mu.Lock()
	index, relays := g.relay.relayIndex, g.relay.relayCount
	g.relay.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.AllowTrial(q, index, relays, g.relay.Clock.Now())
}

// logChanges logs the quarantines that have begun, grown or ended since the last call. The caller must hold mu.
func (g *crashGuard) logChanges(now time.Time) {
	current := map[string]poison.Quarantine{}
	for _, q := range g.table.Quarantines(now) {
		current[q.Part] = q
		if g.logged[q.Part].Crashes != q.Crashes {
			g.relay.Log.Warn("part-quarantined", zap.String("part", q.Part), zap.Int("crashes", q.Crashes),
				zap.Duration("last-crash", now.Sub(q.LastCrash)), zap.Duration("trial-after", q.TrialDelay()))
		}
	}
	for part := range g.logged {
		if _, ok := current[part]; !ok {
			g.relay.Log.Info("part-released", zap.String("part", part))
		}
	}
	g.logged = current
	g.relay.meter.quarantinedParts.Update(float64(len(current)))
}

// passesQuarantine reports whether the stream may be sent to an engine, given the quarantined parts. It may once if it
// is the trial of a part.
func (s *streamRequest) passesQuarantine() bool {
	q, ok := s.relay.crashes.quarantined(s.parts)
	if !ok {
		return true
	}
	if s.isTrial || s.attempts > 0 || !s.relay.crashes.allowTrial(q) {
		s.log.Info("part-refused", zap.String("part", q.Part), zap.Int("crashes", q.Crashes),
			zap.Duration("last-crash", s.relay.Clock.Now().Sub(q.LastCrash)))
		return false
	}
	s.isTrial = true
	s.relay.meter.trials.Inc(1)
	s.log.Info("part-trial-started", zap.String("part", q.Part), zap.Int("crashes", q.Crashes))
	return true
}

// recordCrash records that the stream has crashed an engine: the engine began to answer and is lost just after that.
func (s *streamRequest) recordCrash(a streamAttempt, result attemptResult) {
	if len(s.parts) == 0 || result.outcome == completed || !result.run.began || result.run.lasted >= poison.BeginWindow ||
		s.r.Context().Err() != nil {
		return
	}
	if !s.relay.prober.isLostSince(s.ctx, a.endpoint, s.relay.Clock.Now()) {
		return
	}
	s.log.Info("engine-crashed", zap.String("endpoint", a.endpoint.ID), zap.Duration("lasted", result.run.lasted),
		zap.String("parts", s.loggedParts()))
	s.relay.meter.crashes.Inc(1)
	s.relay.crashes.record(poison.NewCrash(s.id, a.endpoint.ID, s.parts))
}

// markSound records that the engine of an attempt survived the beginning of its answer.
func (s *streamRequest) markSound(w *silenceWatch) {
	if w.soundMarked {
		return
	}
	w.soundMarked = true
	s.relay.crashes.markSound(s.parts, w.beganAt)
}

// retryAfter returns the Retry-After time of a stream that is refused for the reason.
func (s *streamRequest) retryAfter(reason common.Reason) time.Duration {
	if reason != common.ReasonCrashesEngines {
		return retryAfterCrash
	}
	q, _ := s.relay.crashes.quarantined(s.parts)
	return max(retryAfterCrash, q.TrialDelay()-s.relay.Clock.Now().Sub(q.LastCrash))
}
