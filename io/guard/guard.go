package guard

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/poison"
)

// Guard holds the crashes of engines that one process knows, and those that it has seen itself go to the others. Its
// exported fields are set before its first use.
type Guard struct {
	Clock clock.Clock
	Log   *zap.Logger
	// Metrics is where the guard counts crashes and trials.
	Metrics tally.Scope
	// Send sends crashes to the other processes; it may drop them.
	Send func(list []poison.Crash)

	mu       sync.Mutex
	table    poison.Table
	silences poison.Silences
	// logged holds the quarantines that were logged last, by part.
	logged map[string]poison.Quarantine
}

// Merge adds the crashes that another process has sent. It sends those on of which this process knows that the request was
// answered, and the other one did not.
func (g *Guard) Merge(list []poison.Crash) {
	g.mu.Lock()
	now := g.Clock.Now()
	received := map[string]uint32{}
	for i := range list {
		received[list[i].Key()] |= list[i].Sound
	}
	news := slices.DeleteFunc(g.table.Merge(list, now), func(c poison.Crash) bool { return c.Sound&^received[c.Key()] == 0 })
	g.logChanges(now)
	g.mu.Unlock()
	g.send(news)
}

// Record adds a crash that this process has seen; it happened at the given time.
func (g *Guard) Record(c poison.Crash, at time.Time) {
	g.mu.Lock()
	now := g.Clock.Now()
	c.Age = max(0, now.Sub(at))
	g.recordCrash(&c)
	news := g.table.Merge([]poison.Crash{c}, now)
	g.logChanges(now)
	g.mu.Unlock()
	g.send(news)
}

// recordCrash logs and counts a crash.
func (g *Guard) recordCrash(c *poison.Crash) {
	g.Log.Info("engine-crashed", zap.String("request", c.Request), zap.String("endpoint", c.Endpoint), zap.String("domain", c.Domain),
		zap.Duration("age", c.Age), zap.Bool("doubtful", c.Doubtful), zap.Strings("parts", c.Parts))
	g.Metrics.Counter("engine-crashes").Inc(1)
}

// Suspect adds the loss of an engine at the given time that this process checks. Resolve must be called for it.
func (g *Guard) Suspect(c poison.Crash, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Suspect(c, at)
}

// Resolve ends the check of a suspected loss, which happened at the given time, and records it if it was a crash.
func (g *Guard) Resolve(c poison.Crash, crashed bool, at time.Time) {
	g.mu.Lock()
	now := g.Clock.Now()
	c.Age = max(0, now.Sub(at))
	if crashed {
		g.recordCrash(&c)
	} else {
		g.Log.Info("engine-not-crashed", zap.String("request", c.Request), zap.String("endpoint", c.Endpoint), zap.Duration("age", c.Age))
	}
	news := g.table.Resolve(c, crashed, now)
	g.logChanges(now)
	g.mu.Unlock()
	g.send(news)
}

// MustWait reports whether a request has to wait for the checks of the engines that it may have crashed before it is sent to a
// further one.
func (g *Guard) MustWait(request string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.MustWait(request)
}

// RecordSign records that an endpoint sent a response.
func (g *Guard) RecordSign(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silences.RecordSign(endpoint, g.Clock.Now())
}

// RecordUnanswered records that the request of the crash, which was sent at the given time, has ended without an answer. If its
// endpoint is lost before it sends a response, the request may have crashed it.
func (g *Guard) RecordUnanswered(c poison.Crash, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.silences.RecordUnanswered(c, sent, now) {
		g.Log.Info("endpoint-silent", zap.String("endpoint", c.Endpoint), zap.String("domain", c.Domain), zap.String("request", c.Request),
			zap.Duration("sent", now.Sub(sent)))
		g.Metrics.Counter("endpoint-silences").Inc(1)
	}
}

// RecordLoss records the loss of an endpoint at the given time, noticed by the request of the crash, which was sent at the time sent.
// It counts as a crash by the request, and by those that may have stopped the endpoint before.
func (g *Guard) RecordLoss(c poison.Crash, sent, at time.Time) {
	g.mu.Lock()
	list := g.silences.CrashesOf(c, sent, at)
	g.mu.Unlock()
	for _, crash := range list {
		g.Record(crash, at)
	}
}

// MarkSound records that an engine survived the beginning of its answer to a prompt with the parts.
func (g *Guard) MarkSound(parts []string, began time.Time) {
	g.mu.Lock()
	now := g.Clock.Now()
	news := g.table.MarkSound(parts, began, now)
	g.logChanges(now)
	g.mu.Unlock()
	g.send(news)
}

// Outlived reports whether a response with the status shows that the endpoint has outlived the request. One that fails or is
// full, or a gateway in front of a lost one, may have answered without running it.
func Outlived(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}

// send sends crashes to the other processes if there are any.
func (g *Guard) send(list []poison.Crash) {
	if len(list) > 0 {
		g.Send(list)
	}
}

// All returns all known crashes.
func (g *Guard) All() []poison.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.All(g.Clock.Now())
}

// HasCrashes reports whether any crash is known. While there is none, callers need not compute a fingerprint.
func (g *Guard) HasCrashes() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.HasCrashes()
}

// SendAll sends all known crashes, for processes that may have missed some.
func (g *Guard) SendAll() { g.send(g.All()) }

// MayRetry reports whether a request may be sent to a further engine, given those that it has crashed.
func (g *Guard) MayRetry(request string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.MayRetry(request)
}

// RetryAfter returns the time until a request with one of the parts may be tried again; 0 if none is in quarantine.
func (g *Guard) RetryAfter(parts []string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	q, ok := g.table.Quarantined(parts, now)
	if !ok {
		return 0
	}
	return max(0, q.TrialDelay()-now.Sub(q.LastCrash))
}

// Permission states whether a request may be sent to an engine.
type Permission int

const (
	// Allowed means that no part of the request's prompt is in quarantine.
	Allowed Permission = iota
	// Refused means that a part is in quarantine.
	Refused
	// Trial means that a part is in quarantine, but the request may be sent once to find out whether it still crashes
	// engines.
	Trial
)

// Permit returns whether the request may be sent to an engine. The process has the index among all processes. The
// request can be a trial unless it was sent before.
func (g *Guard) Permit(request string, parts []string, index, processes int, sent bool) Permission {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	q, ok := g.table.Quarantined(parts, now)
	if !ok {
		return Allowed
	}
	g.logChanges(now)
	fields := []zap.Field{
		zap.String("request", request), zap.String("part", q.Part), zap.Int("crashes", q.Crashes), zap.Duration("last-crash", now.Sub(q.LastCrash)),
	}
	if sent || !g.table.AllowTrial(q, index, processes, now) {
		g.Log.Info("part-refused", fields...)
		return Refused
	}
	g.Log.Info("part-trial-started", fields...)
	g.Metrics.Counter("part-trials").Inc(1)
	return Trial
}

// logChanges logs the quarantines that have begun, grown or ended since the last call. The caller must hold mu.
func (g *Guard) logChanges(now time.Time) {
	current := map[string]poison.Quarantine{}
	for _, q := range g.table.Quarantines(now) {
		current[q.Part] = q
		if g.logged[q.Part].Crashes != q.Crashes {
			g.Log.Warn("part-quarantined", zap.String("part", q.Part), zap.Int("crashes", q.Crashes),
				zap.Duration("last-crash", now.Sub(q.LastCrash)), zap.Duration("trial-after", q.TrialDelay()), zap.Bool("ambiguous", q.Ambiguous))
		}
	}
	for part := range g.logged {
		if _, ok := current[part]; !ok {
			g.Log.Info("part-released", zap.String("part", part))
		}
	}
	if len(current) > 0 || len(g.logged) > 0 {
		g.Metrics.Gauge("quarantined-parts").Update(float64(len(current)))
	}
	g.logged = current
}
