package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

// prober checks by liveness requests (probes) whether engines that send no events are alive. All streams of an engine
// share one probe.
type prober struct {
	relay *Relay

	mu sync.Mutex
	// probes holds the latest probe of each engine by its id.
	probes map[string]*livenessProbe
	// running is the number of liveness probes that have no result yet.
	running int
	// lossProbes holds the loss probes in flight by the engine's id.
	lossProbes map[string]*lossProbe
	// lastActivity is when each engine last sent data on any stream, as time since the start of the process.
	lastActivity map[string]time.Duration
	// suspendedAt is when each engine that has not responded since was suspended, as time since the start of the process.
	suspendedAt map[string]time.Duration
}

// livenessProbe is one liveness request to an engine. Its results are valid once done is closed.
type livenessProbe struct {
	startedAt time.Time
	done      chan struct{}
	alive     bool
	report    EngineReport
	err       error
}

// initProber initialises the liveness probes of engines for a relay.
func (p *prober) initProber(r *Relay) {
	p.relay = r
	p.probes = map[string]*livenessProbe{}
	p.lossProbes = map[string]*lossProbe{}
	p.lastActivity = map[string]time.Duration{}
	p.suspendedAt = map[string]time.Duration{}
}

// recordActivity records that data of a stream arrived from an engine; now is the time since the start of the process.
func (p *prober) recordActivity(id string, now time.Duration) {
	p.mu.Lock()
	p.lastActivity[id] = now
	_, suspended := p.suspendedAt[id]
	p.mu.Unlock()
	if suspended {
		p.recordResponse(id, now)
	}
}

// recordResponse records that an engine has responded to a probe or sent data, which ends the silence for which it was suspended.
func (p *prober) recordResponse(id string, now time.Duration) {
	p.mu.Lock()
	since, suspended := p.suspendedAt[id]
	delete(p.suspendedAt, id)
	p.mu.Unlock()
	if !suspended {
		return
	}
	p.relay.withTable(func(t *place.EndpointTable, _ time.Time) { t.RecordResponse(id) })
	p.relay.meter.scope.Counter("engine-silences-ended").Inc(1)
	p.relay.Log.Info("engine-responds-again", zap.String("endpoint", id), zap.Duration("after", now-since))
}

// wasRecentlyActive reports whether the engine sent data on any stream within activityLifetime.
func (p *prober) wasRecentlyActive(id string) bool {
	return p.wasActiveSince(id, p.relay.uptime()-activityLifetime)
}

// wasActiveSince reports whether the engine sent data on any stream after the given time since the start of the process.
func (p *prober) wasActiveSince(id string, since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastActivity[id]
	return ok && at > since
}

// awaitProbe returns a liveness probe of the engine after the probe has completed or ctx has ended.
func (p *prober) awaitProbe(ctx context.Context, e place.Endpoint) *livenessProbe {
	pr := p.startProbe(e)
	select {
	case <-pr.done:
	case <-ctx.Done():
	}
	return pr
}

// startProbe returns the engine's latest liveness probe if it is at most probeInterval old, and starts a new one
// otherwise. An engine that does not respond is suspended.
func (p *prober) startProbe(e place.Endpoint) *livenessProbe {
	return p.startProbeSince(e, p.relay.Clock.Now().Add(-probeInterval))
}

const (
	// maxProbeDelay is the time after its timeout within which a probe must have ended to show that an engine is silent.
	maxProbeDelay = 30 * time.Millisecond
	// maxLateProbes is how often a probe is repeated that does not show that.
	maxLateProbes = 2
)

// lossRecheckDelay is the pause before an engine that has closed a connection and still responds is probed again: an
// engine that ends may respond for a moment after that.
const lossRecheckDelay = 50 * time.Millisecond

// isLostSince reports whether the engine does not respond to a liveness probe that started at the given time or later,
// or to another one a moment after it.
func (p *prober) isLostSince(ctx context.Context, e place.Endpoint, since time.Time) bool {
	return p.isUnresponsive(ctx, e, since) ||
		serve.Sleep(ctx, lossRecheckDelay) && p.isUnresponsive(ctx, e, since.Add(lossRecheckDelay))
}

// hasRespondedSince reports whether any of the engines responds to a liveness probe that started at the given time or later, or has
// just sent data of a stream.
func (p *prober) hasRespondedSince(ctx context.Context, engines []place.Endpoint, since time.Time) bool {
	if slices.ContainsFunc(engines, func(e place.Endpoint) bool { return p.wasRecentlyActive(e.ID) }) {
		return true
	}
	probes := make([]*livenessProbe, 0, len(engines))
	for _, e := range engines {
		pr := p.startProbeSince(e, since)
		if pr.hasFailed() {
			// An engine may have restarted under its id.
			pr = p.startProbe(e)
		}
		probes = append(probes, pr)
	}
	for _, pr := range probes {
		select {
		case <-pr.done:
			if pr.alive {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// isUnresponsive reports whether the engine does not respond to a liveness probe that started at the given time or
// later. That the probe of a relay that is cut off fails shows nothing.
func (p *prober) isUnresponsive(ctx context.Context, e place.Endpoint, since time.Time) bool {
	pr := p.startProbeSince(e, since)
	select {
	case <-pr.done:
		return !pr.alive && !errors.Is(pr.err, tunnel.ErrCutOff)
	case <-ctx.Done():
		return false
	}
}

// startProbeSince returns the engine's latest liveness probe if it started at the given time or later, and starts a
// new one otherwise.
func (p *prober) startProbeSince(e place.Endpoint, since time.Time) *livenessProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, _ := p.startLocked(e, since)
	return pr
}

// startProbes starts probes of engines that were not probed for probeInterval, in random order, as long as not too many have no result yet.
func (p *prober) startProbes(engines []place.Endpoint) {
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	since := p.relay.Clock.Now().Add(-probeInterval)
	p.mu.Lock()
	defer p.mu.Unlock()
	room := place.ProbeRoom(p.running)
	for _, e := range engines {
		if room == 0 {
			return
		}
		if _, started := p.startLocked(e, since); started {
			room--
		}
	}
}

// startLocked does what startProbeSince does, and reports whether it has started a probe. The caller must hold mu.
func (p *prober) startLocked(e place.Endpoint, since time.Time) (pr *livenessProbe, started bool) {
	now := p.relay.Clock.Now()
	pr = p.probes[e.ID]
	if pr != nil && !pr.startedAt.Before(since) {
		return pr, false
	}
	p.dropOldProbes(now)
	pr = &livenessProbe{startedAt: now, done: make(chan struct{})}
	p.probes[e.ID] = pr
	p.running++
	go p.run(pr, e)
	return pr, true
}

// end records that a liveness probe has its result.
func (p *prober) end(pr *livenessProbe) {
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	close(pr.done)
}

// probeLifetime is the age after which the result of an engine's liveness probe is deleted. An engine gets a new id
// with each restart, so old entries would pile up.
const probeLifetime = time.Minute

// dropOldProbes deletes the results of old liveness probes. The caller must hold mu.
func (p *prober) dropOldProbes(now time.Time) {
	for id, old := range p.probes {
		if now.Sub(old.startedAt) > probeLifetime {
			delete(p.probes, id)
			delete(p.lastActivity, id)
			delete(p.suspendedAt, id)
		}
	}
}

// run sends a liveness probe to an engine and suspends the engine if it does not respond. A probe without a response is repeated if this
// relay was late itself.
func (p *prober) run(pr *livenessProbe, e place.Endpoint) {
	defer p.relay.guard.Recover("liveness-probe")
	defer p.end(pr)
	startedAt := p.relay.uptime()
	p.ask(pr, e)
	for n := 0; n < maxLateProbes && !pr.alive && p.wasLate(startedAt); n++ {
		p.relay.meter.scope.Counter("late-probes").Inc(1)
		startedAt = p.relay.uptime()
		p.ask(pr, e)
	}
	p.relay.meter.countReason("engine-questions", pr.result())
	if pr.alive {
		p.recordResponse(e.ID, p.relay.uptime())
		return
	}
	p.recordFailure(e, startedAt, pr.result(), pr.err)
}

// ask sends a liveness request to an engine and stores the result in the probe.
func (p *prober) ask(pr *livenessProbe, e place.Endpoint) {
	ctx, cancel := context.WithTimeout(p.relay.ctx, probeTimeout)
	defer cancel()
	pr.report, pr.err = p.relay.Engines.Report(p.relay.withControlCall(ctx, e), e.Address)
	pr.alive = pr.err == nil || errors.Is(pr.err, ErrCallRefused)
}

// wasLate reports whether a probe that began at the given time since the start of the process ends so long after its timeout that the
// response may have arrived meanwhile: this relay had no processor time.
func (p *prober) wasLate(startedAt time.Duration) bool {
	return p.relay.uptime()-startedAt > probeTimeout+maxProbeDelay
}

// recordFailure suspends an engine that did not respond to a probe which began at the given time since the start of the process, unless
// that shows nothing about the engine.
func (p *prober) recordFailure(e place.Endpoint, startedAt time.Duration, result string, err error) {
	late := lossProbeResult(p.relay.ctx, err) == poison.ProbeSilent
	if late && p.wasActiveSince(e.ID, startedAt) {
		// The engine goes on; only its response to the probe is late.
		return
	}
	d := &p.relay.pool.dialer
	if errors.Is(err, tunnel.ErrCutOff) || late && (d.IsCutOff() || d.IsOutOfReach(e.Address)) {
		// The time for a probe may not be enough to find a way to the engine.
		return
	}
	p.suspend(e, result, err)
}

// suspend suspends an engine that did not respond to a probe.
func (p *prober) suspend(e place.Endpoint, result string, err error) {
	var suspended time.Duration
	silent := lossProbeResult(p.relay.ctx, err) == poison.ProbeSilent
	p.relay.withTable(func(t *place.EndpointTable, now time.Time) {
		if silent {
			suspended = t.RecordSilence(e.ID, now)
		} else {
			suspended = t.RecordFailure(e.ID, true, now)
		}
	})
	p.relay.pool.closeIdle(e.ID)
	p.mu.Lock()
	_, known := p.suspendedAt[e.ID]
	if !known {
		p.suspendedAt[e.ID] = p.relay.uptime()
	}
	p.mu.Unlock()
	if known {
		// A silent engine is probed several times a second while streams wait for it.
		return
	}
	p.relay.Log.Info("engine-unresponsive", zap.String("endpoint", e.ID), zap.String("domain", e.Domain),
		zap.String("result", result), zap.Duration("suspended", suspended), zap.Error(err))
}

// hasFailed reports whether the probe has ended without a response.
func (p *livenessProbe) hasFailed() bool {
	select {
	case <-p.done:
		return !p.alive
	default:
		return false
	}
}

// result returns the metric label of the result of an engine's liveness probe.
func (p *livenessProbe) result() string {
	if !p.alive && serve.FailureReason(p.err) == serve.ReadOversized {
		return serve.ReadOversized
	}
	return aliveLabel(p.alive)
}

// aliveLabel returns the metric label of a check whether an endpoint is alive.
func aliveLabel(alive bool) string {
	if alive {
		return "alive"
	}
	return "dead"
}
