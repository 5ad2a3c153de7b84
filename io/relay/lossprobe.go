package relay

import (
	"context"
	"errors"
	"net"
	"time"

	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

// lossProbe is one liveness request to an engine that may have crashed, which waits longer than a sound engine is silent. Its
// results are valid once done is closed.
type lossProbe struct {
	startedAt, endedAt time.Time
	done               chan struct{}
	result             poison.ProbeResult
}

// probeLoss returns the engine's loss probe in flight if it started at the given time or later, and starts one otherwise.
func (p *prober) probeLoss(e place.Endpoint, l poison.Loss, since time.Time) *lossProbe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pr := p.lossProbes[e.ID]; pr != nil && !pr.startedAt.Before(since) {
		return pr
	}
	now := p.relay.Clock.Now()
	pr := &lossProbe{startedAt: now, done: make(chan struct{})}
	p.lossProbes[e.ID] = pr
	go p.runLossProbe(pr, e, l.ProbeTimeout(now))
	return pr
}

// runLossProbe sends a loss probe to an engine. The engine is suspended as soon as it would be by a liveness probe.
func (p *prober) runLossProbe(pr *lossProbe, e place.Endpoint, timeout time.Duration) {
	defer p.relay.guard.Recover("loss-probe")
	defer close(pr.done)
	ctx, cancel := context.WithTimeout(p.relay.ctx, timeout)
	defer cancel()
	startedAt := p.relay.uptime()
	early := time.AfterFunc(probeTimeout, func() {
		if !p.wasLate(startedAt) {
			p.recordFailure(e, startedAt, aliveLabel(false), context.DeadlineExceeded)
		}
	})
	_, err := p.relay.Engines.Report(p.relay.withControlCall(ctx, e), e.Address)
	pr.result = lossProbeResult(p.relay.ctx, err)
	p.relay.meter.countReason("engine-questions", aliveLabel(pr.result == poison.ProbeAnswered))
	if early.Stop() && pr.result != poison.ProbeAnswered {
		p.recordFailure(e, startedAt, aliveLabel(false), err)
	}
	if err == nil || errors.Is(err, ErrCallRefused) {
		p.recordResponse(e.ID, p.relay.uptime())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pr.endedAt = p.relay.Clock.Now()
	if p.lossProbes[e.ID] == pr {
		delete(p.lossProbes, e.ID)
	}
}

// lossProbeResult returns what the error of a loss probe shows. The end of ctx, the relay's context, and a cut between this relay and all
// endpoints show nothing.
func lossProbeResult(ctx context.Context, err error) poison.ProbeResult {
	var timeout net.Error
	switch {
	case err == nil, errors.Is(err, ErrCallRefused), errors.Is(err, tunnel.ErrCutOff), ctx.Err() != nil:
		return poison.ProbeAnswered
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return poison.ProbeSilent
	}
	return poison.ProbeFailed
}

// streamCrashCheck finds out whether the engine of a stream that was lost at its beginning has crashed, and records it if it has.
type streamCrashCheck struct {
	relay    *Relay
	endpoint place.Endpoint
	crash    poison.Crash
	loss     poison.Loss
	done     chan struct{}
}

// run makes the check in the background. Until it is over, the loss is a suspected crash.
func (c *streamCrashCheck) run() {
	defer c.relay.guard.Recover("crash-check")
	defer close(c.done)
	crashed := false
	defer func() { c.relay.crashes.Resolve(c.crash, crashed, c.loss.LastSign) }()
	crashed = c.hasCrashed()
}

// hasCrashed probes the engine, and a second time unless it has ended, and reports whether it has crashed. The second probe also
// tells a silent engine from a relay that was paused itself.
func (c *streamCrashCheck) hasCrashed() bool {
	first := c.relay.prober.probeLoss(c.endpoint, c.loss, c.loss.LastSign)
	<-first.done
	if first.result == poison.ProbeFailed || !serve.Sleep(c.relay.ctx, lossRecheckDelay) {
		return first.result == poison.ProbeFailed
	}
	second := c.relay.prober.probeLoss(c.endpoint, c.loss, first.endedAt)
	<-second.done
	return c.loss.IsCrash(second.result)
}
