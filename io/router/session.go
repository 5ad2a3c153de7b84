package router

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/poison"
	"wasabiweir/core/route"
	"wasabiweir/core/stream"
	"wasabiweir/io/engine"
	"wasabiweir/io/tunnel"
)

const (
	// batchDelay is how long an engine's output is collected into one batch for the journal holders.
	batchDelay = 5 * time.Millisecond
	// sessionCheckInterval is the interval at which a session checks for stalled engines and lost journal holders, and
	// repeats unanswered journal messages.
	sessionCheckInterval = 50 * time.Millisecond
	// attemptEventQueueSize is the number of chunks from engines that are buffered for the session.
	attemptEventQueueSize = 256
	// replyQueueSize is the number of replies of journal holders that are buffered for a generation; further ones are
	// dropped, and the holders reply again when the messages are repeated.
	replyQueueSize = 256
	// resumeEndpointTimeout is how long a generation with output waits for an available engine before it fails.
	resumeEndpointTimeout = 20 * time.Second
	// firstEndpointTimeout is how long a generation without output waits for an available engine before it fails,
	// since its caller waits a few seconds at most.
	firstEndpointTimeout = 3 * time.Second
	// firstOutputTimeout is how long an attempt of a generation without output may return nothing. Losing such an
	// attempt means starting over, which the retry budget limits, so that waiting in an engine's queue at peak load
	// must not count as a stall.
	firstOutputTimeout = 2 * time.Second
	// maxRejections is the number of engines that reject a generation with output as invalid before it is given up.
	maxRejections = 2
	// endpointRetryDelay is the pause before an engine is selected again when none was available.
	endpointRetryDelay = 100 * time.Millisecond
)

// session runs one generation that this router owns: it sends attempts to engines, journals their output and releases
// it to the callers. Its loop is the only goroutine that uses owner.
type session struct {
	router *Router
	// id is the request id, which identifies the generation in the journal and in cursors.
	id      string
	account string
	service string
	// params are the request parameters that another router would need to continue the generation.
	params resumeParameters
	log    *zap.Logger

	// owner journals the output at the generation's journal holders and decides which of it may be released to
	// callers.
	owner *stream.Owner
	job   *job
	// current is the attempt in progress to run the generation on an engine, or nil.
	current *streamAttempt
	// failedEndpoints are the engines on which attempts of the generation failed; they are excluded from the next
	// attempt.
	failedEndpoints route.NameSet
	lastProgress    time.Time // last output, or loss of an attempt on an engine, or start of the session
	startedAt       time.Time
	// retryAt is when to look for an engine again, or zero.
	retryAt    time.Time
	lastTick   time.Time
	mayHaveRun bool // whether the generation request may have reached an engine
	rejections int  // engines that rejected the generation request as invalid
	// stallDetector detects that the current attempt returns no more output.
	stallDetector stream.StallDetector
	// resumeTurn receives a value when the resume queue lets this session continue.
	resumeTurn chan struct{}
	// crashChecked receives a value after the check whether a lost attempt has crashed its engine.
	crashChecked chan struct{}
	// heldSince is the last activity of the lost attempt whose successor waits for such checks; zero if none waits.
	heldSince     time.Time
	attemptEvents chan attemptEvent
	replies       chan stream.Reply
	stop          context.CancelFunc

	mu sync.Mutex // guards the fields below
	// batches is the output that callers may read; changed is closed and replaced whenever batches or refusal change.
	batches []cursorBatch
	changed chan struct{}
	// refusal is why the generation failed, or nil.
	refusal *common.Refusal
	// readers counts the callers that read the generation; unreadSince is when the last of them left.
	readers     int
	unreadSince time.Time
}

// cursorBatch is a batch of output that callers may read, with the cursor to resume after it.
type cursorBatch struct {
	stream.ReleasedBatch
	cursor string
}

// resumeParameters are the request parameters, besides those in the open record of the generation's journal, that
// another router needs to continue the generation.
type resumeParameters struct {
	Intent  string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	// Text is the prompt, if it was given as text; the engine returns its token ids with the first output.
	Text     string `cbor:"3,keyasint,omitempty"`
	Priority int    `cbor:"4,keyasint,omitempty"`
}

// initChannels creates the session's channels and starts its timeouts.
func (s *session) initChannels() {
	s.attemptEvents = make(chan attemptEvent, attemptEventQueueSize)
	s.replies = make(chan stream.Reply, replyQueueSize)
	s.resumeTurn = make(chan struct{}, 1)
	s.crashChecked = make(chan struct{}, 1)
	s.changed = make(chan struct{})
	s.failedEndpoints = route.NameSet{}
	s.lastProgress = s.router.Clock.Now()
	s.lastTick, s.startedAt = s.lastProgress, s.lastProgress
}

// deliverReply passes a journal holder's reply to the session; it drops the reply if the queue is full.
func (s *session) deliverReply(r stream.Reply) {
	select {
	case s.replies <- r:
	default:
	}
}

// loop runs the generation until it ends, fails or ctx ends.
func (s *session) loop(ctx context.Context) {
	defer s.stop()
	defer s.cleanUp()
	tick := time.NewTicker(sessionCheckInterval)
	defer tick.Stop()
	batch := time.NewTimer(time.Hour)
	defer batch.Stop()
	pending := false
	s.sendMessages(s.owner.Open(s.now()))
	s.scheduleAttempt(ctx, s.lastProgress)
	for !s.generationEnded() {
		select {
		case <-ctx.Done():
			s.failGeneration(&common.Refusal{Reason: common.ReasonDraining, Outcome: s.outcome(), Message: "the router stopped"})
		case e := <-s.attemptEvents:
			s.handleAttemptEvent(ctx, e)
			if !pending {
				pending = true
				batch.Reset(batchDelay)
			}
		case <-batch.C:
			pending = false
			s.sendMessages(s.owner.Flush(s.now()))
		case r := <-s.replies:
			s.sendMessages(s.owner.Handle(s.now(), r))
		case reason := <-s.interruptChan():
			s.loseAttempt(ctx, reason, nil)
		case <-s.crashChecked:
			s.releaseHeld(ctx)
		case <-s.resumeTurn:
			s.startAttempt(ctx)
		case <-tick.C:
			s.tick(ctx)
		}
		s.publishReleased()
	}
}

// now returns the time of the router's clock.
func (s *session) now() time.Time { return s.router.Clock.Now() }

// generationEnded reports whether the generation is complete or has failed. It fails when another router has taken
// over.
func (s *session) generationEnded() bool {
	if s.owner.Superseded() {
		s.failGeneration(&common.Refusal{
			Reason: common.ReasonSuperseded, Outcome: common.OutcomeRan,
			Message: "another router continues this generation; resume it there with the last event id",
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusal != nil || s.owner.Done()
}

// sendMessages sends journal messages of the generation, including those that the local journal holder's replies
// cause.
func (s *session) sendMessages(messages []stream.Message) {
	for len(messages) > 0 {
		var more []stream.Message
		for _, r := range s.router.journal.sendMessages(messages) {
			more = append(more, s.owner.Handle(s.now(), r)...)
		}
		messages = more
	}
}

// handleAttemptEvent processes a chunk of output from an engine, or the failure of the attempt that ran on it.
func (s *session) handleAttemptEvent(ctx context.Context, e attemptEvent) {
	if e.err != nil {
		s.handleAttemptFailure(ctx, e)
		return
	}
	out := stream.Output{
		IDs: e.chunk.TokenIDs, Text: e.chunk.Text, Prompt: e.chunk.PromptIDs, Finish: e.chunk.FinishReason,
		Software: cmp.Or(e.software, e.from.declaredSoftware),
	}
	if len(e.chunk.PromptIDs) > 0 && s.params.Text != "" {
		s.router.prefixes.recordTokenIDs(s.owner.Record.Model, s.params.Text, e.chunk.PromptIDs)
	}
	action := s.owner.Output(e.number, out)
	if action == stream.AttemptCancel {
		e.from.cancel()
		return
	}
	if len(e.chunk.TokenIDs) > 0 && action != stream.AttemptLost && action != stream.AttemptMismatch {
		s.lastProgress = s.now()
		s.stallDetector.Output(s.now())
		if first := e.from.recordOutput(s.now()); first > 0 {
			s.router.dispatcher.recordFirstToken(e.from.attempt, first)
		}
		s.router.dispatcher.recordTokens(s.job, e.from.attempt, len(e.chunk.TokenIDs))
		if action == stream.AttemptComplete || s.now().Sub(e.from.firstOutput) >= poison.BeginWindow {
			s.markSound(e.from)
		}
	}
	switch action {
	case stream.AttemptComplete:
		s.finishAttempt()
	case stream.AttemptLost:
		s.loseAttempt(ctx, common.RetryRefused, nil)
	case stream.AttemptMismatch:
		s.log.Warn("software-mismatch", zap.String("endpoint", e.from.name), zap.String("began", s.owner.Software()), zap.String("engine", out.Software))
		s.router.dispatcher.setSoftware(e.from.name, e.software)
		s.loseAttempt(ctx, common.RetrySoftware, nil)
	case stream.AttemptContinue, stream.AttemptCancel:
	}
}

// handleAttemptFailure ends a failed attempt: the generation fails if the engine rejected the request as invalid and no
// other one had accepted it, and otherwise continues on another engine.
func (s *session) handleAttemptFailure(ctx context.Context, e attemptEvent) {
	if e.from != s.current {
		return
	}
	s.log.Info("attempt-failed", zap.Int("attempt", e.number), zap.String("endpoint", e.from.name), zap.Error(e.err))
	reason := engineRetryReason(e.err)
	s.router.dispatcher.pauseEngine(e.from.name, e.err)
	if reason == common.RetryLeaving {
		s.router.dispatcher.markLeaving(e.from.name)
	}
	if f := invalidRequestRefusal(e.err); f != nil && !e.from.hasOutput() {
		s.rejections++
		// An engine that has returned output had accepted the request, so the engine that rejects it may be at fault.
		if s.owner.Tokens() == 0 || s.rejections >= maxRejections {
			s.finishAttempt()
			s.failGeneration(s.withGenerationOutcome(f))
			return
		}
	}
	s.loseAttempt(ctx, reason, e.err)
}

// withGenerationOutcome sets the refusal's outcome to that of the whole generation. An engine that refuses a resume
// says nothing about earlier attempts, which may have run.
func (s *session) withGenerationOutcome(f *common.Refusal) *common.Refusal {
	if s.mayHaveRun || s.owner.Tokens() > 0 {
		f.Outcome = s.outcome()
	}
	return f
}

// loseAttempt gives up the current attempt on an engine for the reason and schedules another one. err is the error of the connection to
// the engine, if there was one. The generation fails if it has no output yet and the retry budget is exhausted.
func (s *session) loseAttempt(ctx context.Context, reason common.Reason, err error) {
	t := s.current
	if t == nil {
		return
	}
	s.current = nil
	t.cancel()
	s.mayHaveRun = s.mayHaveRun || reason != common.RetryConnect
	s.owner.EndAttempt(t.number)
	s.router.recordAttemptFailure(t.attempt, reason, err)
	s.router.Metrics.CountRetry(reason)
	s.failedEndpoints[t.name] = struct{}{}
	s.log.Info("attempt-lost", zap.Int("attempt", t.number), zap.String("endpoint", t.name),
		zap.String("reason", string(reason)), zap.Int("tokens", s.owner.Tokens()))
	if errors.Is(err, tunnel.ErrCutOff) {
		s.awaitCarrier()
		return
	}
	s.lastProgress = s.now()
	if s.owner.Tokens() == 0 && !s.chargeRestart(t, reason) {
		s.failGeneration(&common.Refusal{Reason: common.ReasonRetryBudget, Outcome: s.outcome(), Message: "the engine was lost before the first token"})
		return
	}
	if s.lostAtBeginning(t, reason) {
		s.startCrashCheck(ctx, t, reason)
		return
	}
	s.scheduleAttempt(ctx, t.lastActivity())
}

// awaitCarrier fails a generation that has not run when this router reaches no engine, neither itself nor through another router. One
// that has begun, or may have run, tries again after a while.
func (s *session) awaitCarrier() {
	if s.owner.Tokens() == 0 && !s.mayHaveRun {
		s.failGeneration(newCutOffRefusal(s.outcome()))
		return
	}
	s.failedEndpoints = route.NameSet{}
	s.retryAt = s.now().Add(endpointRetryDelay)
	if s.endpointWaitExpired() {
		s.failGeneration(newCutOffRefusal(s.outcome()))
	}
}

// chargeRestart charges the retry budget for starting the generation over and reports whether it is allowed, so that
// lost engines cause no retry storm at peak load. Engines that can't be reached or refuse work have done none, so
// retrying after them is free.
func (s *session) chargeRestart(t *streamAttempt, reason common.Reason) bool {
	if reason != common.RetryReset && reason != common.RetrySilent || t.restartPaid {
		return true
	}
	return s.router.dispatcher.spendRetryBudget(extraWork{log: s.log, reason: reason, tokens: t.restartWork()})
}

// mustLeaveSilent reports whether the current attempt, whose engine is silent, is to be given up: another one may follow at once,
// or the silence has been too long for a sound engine and the retry budget allows a restart. Otherwise the attempt goes on by itself when
// the engine does.
func (s *session) mustLeaveSilent(now time.Time) bool {
	t := s.current
	work := extraWork{log: s.log, reason: common.RetrySilent}
	if s.owner.Tokens() == 0 {
		work.tokens = t.restartWork()
	}
	if s.router.dispatcher.reserveReplacement(t.attempt, work) {
		t.restartPaid = work.tokens > 0
		return true
	}
	if s.stallDetector.Lost(now) && s.router.dispatcher.allowsRepeat(work.tokens) {
		return true
	}
	if !t.silenceLogged {
		t.silenceLogged = true
		s.router.Metrics.Counter("attempts-kept").Inc(1)
		s.log.Info("attempt-kept", zap.Int("attempt", t.number), zap.String("endpoint", t.name),
			zap.Duration("silence", s.stallDetector.Silence(now)), zap.Int("tokens", s.owner.Tokens()))
	}
	return false
}

// scheduleAttempt starts the next attempt of the generation. Without output, it starts at once, because the prefill
// was allowed for at admission. With output, it waits in the resume queue, in order of due.
func (s *session) scheduleAttempt(ctx context.Context, due time.Time) {
	n := s.owner.Tokens()
	if n == 0 || s.owner.Complete() {
		s.startAttempt(ctx)
		return
	}
	s.router.dispatcher.queueResume(s, due, len(s.owner.Record.Prompt)+n)
}

// finishAttempt ends the generation's current attempt, if any, without counting it as a failure of the engine.
func (s *session) finishAttempt() {
	t := s.current
	if t == nil {
		return
	}
	s.current = nil
	t.cancel()
	s.router.dispatcher.attemptFinished(t.attempt)
}

// startAttempt selects an engine and starts an attempt of the generation on it. If no engine is available, it plans a
// retry or fails the generation.
func (s *session) startAttempt(ctx context.Context) {
	if s.current != nil || s.owner.Complete() || s.refuseCrashing() {
		return
	}
	a, err := s.router.dispatcher.pickEndpoint(s.routeRequest(), s.failedEndpoints)
	if err != nil && len(s.failedEndpoints) > 0 {
		// Every available engine has failed once; trying one again is better than giving up.
		s.failedEndpoints = route.NameSet{}
		a, err = s.router.dispatcher.pickEndpoint(s.routeRequest(), s.failedEndpoints)
	}
	if err != nil {
		s.retryAt = s.now().Add(endpointRetryDelay)
		if f := *common.AsRefusal(err); f.Reason == common.ReasonSoftwareGone || s.endpointWaitExpired() {
			f.Outcome = s.outcome()
			s.log.Info("generation-refused", zap.String("reason", string(f.Reason)), zap.String("software", s.owner.Software()), zap.Int("tokens", s.owner.Tokens()))
			s.failGeneration(&f)
		}
		return
	}
	req, ok := s.owner.StartAttempt()
	if !ok {
		s.router.dispatcher.attemptFinished(a)
		return
	}
	s.retryAt = time.Time{}
	s.current = s.newStreamAttempt(ctx, a, req)
	s.stallDetector.MinFirstTimeout, s.stallDetector.MaxFirstTimeout = 0, 0
	if req.Prefix == 0 {
		s.stallDetector.MinFirstTimeout, s.stallDetector.MaxFirstTimeout = firstOutputTimeout, firstOutputTimeout
	}
	s.stallDetector.Start(s.now(), s.router.dispatcher.predictFirstToken(a))
	go s.current.loop(s.attemptEvents)
}

// endpointWaitExpired reports whether the generation has waited too long for an available engine.
func (s *session) endpointWaitExpired() bool {
	if s.owner.Tokens() == 0 {
		return s.now().Sub(s.startedAt) > firstEndpointTimeout
	}
	return s.now().Sub(s.lastProgress) > resumeEndpointTimeout
}

// routeRequest returns the request with which an engine is selected for the next attempt.
func (s *session) routeRequest() *route.Request {
	done := s.owner.Tokens()
	return &route.Request{
		ID:             s.id,
		Service:        s.service,
		Model:          cmp.Or(s.params.Adapter, s.owner.Record.Model),
		Blocks:         s.router.prefixes.promptBlocks(s.owner.Record.Model, s.owner.Record.Prompt, s.params.Text),
		PrefillTokens:  max(len(s.owner.Record.Prompt), len(s.params.Text)/bytesPerToken) + done,
		OutputTokens:   max(1, s.job.ticket.PredictedTokens-done),
		Short:          s.job.ticket.Short,
		MayUseReserved: s.job.ticket.MayUseReserved,
		Resume:         done > 0,
		Idempotent:     true,
		Software:       s.owner.Software(),
	}
}

// bytesPerToken is the assumed average length of a token, by which the tokens of a text prompt are estimated.
const bytesPerToken = 4

// interruptChan returns the channel on which the dispatcher asks to move the current attempt to another engine, or nil
// without an attempt.
func (s *session) interruptChan() <-chan common.Reason {
	if s.current == nil {
		return nil
	}
	return s.current.interrupt
}

// tick detects stalled engines, lost journal holders and missing readers, sends due journal messages, and retries the
// selection of an engine.
func (s *session) tick(ctx context.Context) {
	now := s.now()
	late := now.Sub(s.lastTick) - sessionCheckInterval
	s.lastTick = now
	s.sendMessages(s.owner.Flush(now))
	s.replaceLostHolders(now)
	if s.current != nil && late > sessionCheckInterval {
		// This process was paused for the duration late, so missing output says nothing about the engine.
		s.stallDetector.PostponeDeadline(late)
	}
	if s.current != nil && s.stallDetector.Stalled(now) && s.mustLeaveSilent(now) {
		s.loseAttempt(ctx, common.RetrySilent, nil)
	}
	if s.current == nil && !s.retryAt.IsZero() && !now.Before(s.retryAt) {
		s.startAttempt(ctx)
	}
	if s.orphaned(now) {
		s.log.Info("generation-abandoned", zap.Int("tokens", s.owner.Tokens()))
		s.failGeneration(&common.Refusal{Reason: common.ReasonDeadline, Outcome: common.OutcomeRan, Message: "no caller read the generation"})
	}
}

// orphaned reports whether the generation should end because its last caller disconnected longer than OrphanGrace
// ago.
func (s *session) orphaned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers > 0 || s.unreadSince.IsZero() {
		return false
	}
	// A drain does not wait for OrphanGrace, because any other router can continue the generation from the journal.
	return s.router.draining.Load() || now.Sub(s.unreadSince) > s.router.OrphanGrace
}

// publishReleased makes the output batches that a quorum of journal holders has stored available to the generation's
// readers.
func (s *session) publishReleased() {
	list := s.owner.Release()
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range list {
		s.batches = append(s.batches, cursorBatch{ReleasedBatch: e, cursor: s.owner.Cursor(e).String()})
	}
	s.notifyReaders()
}

// notifyReaders wakes all waiting readers; mu must be held.
func (s *session) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// failGeneration ends the generation with the refusal, unless it has failed already.
func (s *session) failGeneration(f *common.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusal == nil {
		s.refusal = f
		s.notifyReaders()
	}
}

// outcome returns whether a generation that fails now has run, may have run, or has not run.
func (s *session) outcome() common.Outcome {
	switch {
	case s.owner.Tokens() > 0:
		return common.OutcomeRan
	case s.mayHaveRun || s.current != nil:
		return common.OutcomeUnknown
	default:
		return common.OutcomeNotRun
	}
}

// cleanUp ends the session's attempt and admission, wakes its readers, and removes it from the session table.
func (s *session) cleanUp() {
	s.finishAttempt()
	s.router.dispatcher.finishJob(s.job, s.owner.Done())
	s.mu.Lock()
	s.notifyReaders()
	s.mu.Unlock()
	s.router.sessions.removeSession(s)
	s.log.Info("generation-ended", zap.Bool("complete", s.owner.Done()), zap.Int("tokens", s.owner.Tokens()),
		zap.Int("attempts", s.owner.Stats().Attempts))
}

// engineRetryReason returns the reason under which an attempt's failure is counted in the retry metrics.
func engineRetryReason(err error) common.Reason {
	switch engine.KindOf(err) {
	case engine.KindConnect:
		return common.RetryConnect
	case engine.KindTimeout:
		return common.RetrySilent
	case engine.KindRefused:
		if engineDraining(err) {
			return common.RetryLeaving
		}
		return common.RetryRefused
	default:
		return common.RetryReset
	}
}
