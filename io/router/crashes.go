package router

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/poison"
	"wasabiweir/core/prefix"
	"wasabiweir/io/engine"
	"wasabiweir/io/guard"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
	"wasabiweir/io/wire"
)

const (
	// crashResendRounds is the number of exchanges of in-flight counts after which all known crashes are sent once more.
	crashResendRounds = 20
	// lossRecheckDelay is the pause before an engine that has reset a connection and still responds is asked again: an
	// engine that ends may respond for a moment after that.
	lossRecheckDelay = 50 * time.Millisecond
	// maxBeginnings bounds the beginnings of a prompt that count as its parts.
	maxBeginnings = 30
	// textBlockBytes is the step in bytes between two beginnings of a prompt that is given as text.
	textBlockBytes = 64
)

// initCrashes initialises what the router knows of the prompts that crash engines.
func (r *Router) initCrashes() {
	r.crashes = guard.Guard{Clock: r.Clock, Log: r.Log, Metrics: tally.NoopScope, Send: r.peers.sendCrashes}
	if r.Metrics != nil {
		r.crashes.Metrics = r.Metrics
	}
}

// sendCrashes sends crashes of engines to all other routers. Draining ones still serve callers.
func (s *peers) sendCrashes(list []poison.Crash) {
	for _, r := range s.connectedRouters() {
		s.postToRouter(r.PeerAddress, wire.KindCrashes, list)
	}
}

// sendKnownCrashes sends all known crashes to another router on a new link, since it may have just started.
func (r *Router) sendKnownCrashes(l *wire.Link) {
	list := r.crashes.All()
	if len(list) == 0 {
		return
	}
	if err := l.Post(wire.KindCrashes, "", list); err != nil {
		r.Log.Debug("crashes-not-sent", zap.String("peer", l.Name), zap.Error(err))
	}
}

// position returns the index of this router among all live ones, in order of their names, and their number. The index
// is -1 if this router is not listed.
func (s *peers) position() (index, routers int) {
	var names []string
	for _, r := range s.liveRouters() {
		names = append(names, r.Name)
	}
	slices.Sort(names)
	return slices.Index(names, s.router.Name), len(names)
}

// promptParts returns the parts of the generation's prompt for the search for prompts that crash engines: some of its
// beginnings, each about a quarter longer than the one before, and the whole prompt.
func (s *session) promptParts() []string {
	var parts []string
	model, text := s.owner.Record.Model, s.params.Text
	blocks := prefix.BlockHashes(model, s.owner.Record.Prompt)
	if text != "" {
		blocks = textHashes(model, text)
	}
	for n := 1; n <= len(blocks) && len(parts) < maxBeginnings; n = max(n+1, n*5/4) {
		parts = append(parts, strconv.FormatUint(blocks[n-1], 16))
	}
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %v %s", model, s.owner.Record.Prompt, text)
	return append(parts, "prompt-"+strconv.FormatUint(h.Sum64(), 16))
}

// textHashes returns the hash of each beginning of a prompt's text that ends with a full block of textBlockBytes.
func textHashes(model, text string) []uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	var out []uint64
	for len(text) >= textBlockBytes {
		_, _ = h.Write([]byte(text[:textBlockBytes]))
		text = text[textBlockBytes:]
		out = append(out, h.Sum64())
	}
	return out
}

// refuseCrashing fails the generation and returns true if it must not be sent to an engine because its prompt crashes
// engines.
func (s *session) refuseCrashing() bool {
	index, routers := s.router.peers.position()
	parts := s.promptParts()
	allowed := s.router.crashes.MayRetry(s.id)
	if allowed && s.router.crashes.Permit(s.id, parts, index, routers, s.mayHaveRun) != guard.Refused {
		return false
	}
	s.failGeneration(&common.Refusal{
		Reason: common.ReasonCrashesEngines, Outcome: s.outcome(), Message: "the prompt, or a part of it, crashes engines",
		RetryAfter: s.router.crashes.RetryAfter(parts),
	})
	return true
}

// lostAtBeginning reports whether an attempt was lost so soon that its request may have crashed the engine. The engine
// does not say when it begins, so an attempt without output may have begun.
func (s *session) lostAtBeginning(t *streamAttempt, reason common.Reason) bool {
	if reason != common.RetryReset && reason != common.RetrySilent {
		return false
	}
	return !t.hasOutput() || t.loss(reason, s.now()).IsEarly()
}

// loss returns how far the engine had got when the attempt was lost at the time now for the reason.
func (t *streamAttempt) loss(reason common.Reason, now time.Time) poison.Loss {
	l := poison.Loss{Began: t.firstOutput, LastSign: now}
	if reason == common.RetrySilent {
		l.LastSign = t.lastActivity()
	}
	return l
}

// crashCheck finds out whether the engine of a lost attempt has crashed, and records it as a crash by the request if it has.
type crashCheck struct {
	router  *Router
	attempt *attempt
	crash   poison.Crash
	// loss is how far the engine had got.
	loss poison.Loss
	// done receives a value when the check is over, and when it takes long, unless the channel is full.
	done chan<- struct{}
}

// newCrashCheck returns the check of the attempt's engine, which the request with the parts may have crashed.
func (r *Router) newCrashCheck(request string, a *attempt, parts []string, loss poison.Loss) *crashCheck {
	return &crashCheck{router: r, attempt: a, crash: poison.NewCrash(request, a.name, a.domain, parts), loss: loss}
}

// run makes the check in the background. Until it is over, the loss is a suspected crash.
func (c *crashCheck) run(ctx context.Context) {
	defer c.router.guard.Recover("crash-check")
	crashed := false
	defer func() {
		c.router.crashes.Resolve(c.crash, crashed, c.loss.LastSign)
		c.notify()
	}()
	defer time.AfterFunc(poison.MinProbeTime, c.notify).Stop()
	crashed = c.hasCrashed(ctx)
}

// notify lets the session look at what is known.
func (c *crashCheck) notify() {
	select {
	case c.done <- struct{}{}:
	default:
	}
}

// hasCrashed probes the engine, and a second time unless it has ended, and reports whether it has crashed. The second probe also
// tells a silent engine from a router that was paused itself.
func (c *crashCheck) hasCrashed(ctx context.Context) bool {
	return c.probe(ctx) == poison.ProbeFailed || serve.Sleep(ctx, lossRecheckDelay) && c.loss.IsCrash(c.probe(ctx))
}

// probe connects to the engine, and asks for its load if it had begun to answer.
func (c *crashCheck) probe(ctx context.Context) poison.ProbeResult {
	probeCtx, cancel := context.WithTimeout(ctx, c.loss.ProbeTimeout(c.router.Clock.Now()))
	defer cancel()
	conn, err := c.router.dialer.DialContext(probeCtx, "tcp", c.attempt.address)
	if err != nil {
		if ctx.Err() != nil || errors.Is(err, tunnel.ErrCutOff) {
			return poison.ProbeAnswered
		}
		return poison.ProbeFailed
	}
	_ = conn.Close()
	if !c.loss.HasBegun() {
		return poison.ProbeAnswered
	}
	_, err = (&engine.Client{Address: c.attempt.address, Transport: &c.router.engines, Fresh: true}).Metrics(probeCtx)
	if err == nil || ctx.Err() != nil || errors.Is(err, tunnel.ErrCutOff) {
		return poison.ProbeAnswered
	}
	switch engine.KindOf(err) {
	case engine.KindRefused, engine.KindProtocol:
		return poison.ProbeAnswered
	case engine.KindCanceled, engine.KindTimeout:
		return poison.ProbeSilent
	}
	return poison.ProbeFailed
}

// startCrashCheck starts the check whether the attempt, which was lost at its beginning, has crashed its engine, and schedules the
// next attempt. That one waits for the check only after a reset, which a new connection explains at once, or if the generation may
// have crashed as many engines as it may.
func (s *session) startCrashCheck(ctx context.Context, t *streamAttempt, reason common.Reason) {
	c := s.router.newCrashCheck(s.id, t.attempt, s.promptParts(), t.loss(reason, s.now()))
	c.done = s.crashChecked
	s.router.crashes.Suspect(c.crash, c.loss.LastSign)
	go c.run(s.router.ctx)
	s.heldSince = t.lastActivity()
	if reason == common.RetrySilent {
		s.releaseHeld(ctx)
	}
	if !s.heldSince.IsZero() && s.router.crashes.MustWait(s.id) {
		s.log.Info("attempt-held", zap.Int("attempt", t.number), zap.String("endpoint", t.name), zap.Time("last-activity", s.heldSince))
	}
}

// releaseHeld schedules the attempt that waits for the checks of lost engines, unless it must wait on.
func (s *session) releaseHeld(ctx context.Context) {
	if s.heldSince.IsZero() || s.router.crashes.MustWait(s.id) {
		return
	}
	due := s.heldSince
	s.heldSince = time.Time{}
	s.scheduleAttempt(ctx, due)
}

// markSound records that the engine of the attempt survived the beginning of its answer.
func (s *session) markSound(t *streamAttempt) {
	if !t.soundMarked {
		t.soundMarked = true
		s.router.crashes.MarkSound(s.promptParts(), t.firstOutput)
	}
}
