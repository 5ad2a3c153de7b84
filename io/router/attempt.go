package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"wasabiweir/core/common"
	"wasabiweir/core/route"
	"wasabiweir/core/stream"
	"wasabiweir/io/engine"
)

// streamAttempt is one streaming request of a generation to one engine.
type streamAttempt struct {
	*attempt
	// number is the number of this attempt among those of its generation, from 1.
	number  int
	request engine.Request
	client  *engine.Client
	ctx     context.Context
	cancel  context.CancelFunc
	// startedAt is when the attempt began; firstOutput and lastOutput are zero until the engine has returned output
	// for it.
	startedAt   time.Time
	firstOutput time.Time
	lastOutput  time.Time
	// soundMarked is true once the attempt has shown that the prompt does not crash engines.
	soundMarked bool
	// restartPaid is true once the retry budget was charged for the attempt that follows this one.
	restartPaid bool
	// silenceLogged is true once it was logged that the attempt goes on although its engine is silent.
	silenceLogged bool
	router        *Router
}

// attemptEvent is a chunk of an engine's output for a streaming attempt, or the attempt's failure if err is set.
type attemptEvent struct {
	from *streamAttempt
	// number is the number of the streaming attempt among those of its generation, from 1.
	number int
	chunk  engine.Chunk
	// software is the software version that the engine reported with the output; empty if it reported none.
	software string
	err      error
}

// newStreamAttempt returns the next attempt of the session's generation with its engine request. The request is sent
// when the attempt's loop runs.
func (s *session) newStreamAttempt(ctx context.Context, a *attempt, req stream.AttemptRequest) *streamAttempt {
	t := &streamAttempt{attempt: a, number: req.Attempt, router: s.router, startedAt: s.now()}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.client = &engine.Client{Address: a.address, Transport: &s.router.engines}
	t.request = engine.Request{
		Model:     s.owner.Record.Model,
		Adapter:   s.params.Adapter,
		PromptIDs: req.Prompt,
		MaxTokens: req.MaxTokens,
		Seed:      req.Seed,
		Priority:  s.enginePriority(),
		RequestID: s.id,
	}
	if len(req.Prompt) == 0 {
		t.request.Text = s.params.Text
	}
	return t
}

// restartWork returns the work, in tokens, that starting the generation over after this attempt repeats.
func (t *streamAttempt) restartWork() float64 {
	return float64(t.stream.PrefillTokens) * route.PrefillWeight
}

// hasOutput reports whether the engine has returned output for this attempt.
func (t *streamAttempt) hasOutput() bool { return !t.firstOutput.IsZero() }

// recordOutput records that the engine returned output for this attempt at the time now. For the first output, it
// returns the time since the start of the attempt, and zero afterwards.
func (t *streamAttempt) recordOutput(now time.Time) (first time.Duration) {
	if t.firstOutput.IsZero() {
		t.firstOutput = now
		first = now.Sub(t.startedAt)
	}
	t.lastOutput = now
	return first
}

// lastActivity returns the time of the attempt's last output, or of the attempt's start if it has none.
func (t *streamAttempt) lastActivity() time.Time {
	if t.firstOutput.IsZero() {
		return t.startedAt
	}
	return t.lastOutput
}

// loop runs the attempt: it sends the engine's output and then the attempt's failure, if any, to the session of the
// generation.
func (t *streamAttempt) loop(out chan<- attemptEvent) {
	err := t.receiveOutput(out)
	if err == nil {
		return
	}
	select {
	case out <- attemptEvent{from: t, number: t.number, err: err}:
	case <-t.ctx.Done():
	}
}

// receiveOutput sends the generation request to the engine and passes the chunks of its output to out until the last
// one. A panic is returned as an error, so that the generation continues on another engine.
func (t *streamAttempt) receiveOutput(out chan<- attemptEvent) (err error) {
	defer func() {
		if p := recover(); p != nil {
			t.router.guard.Record("engine-output", p)
			err = errAttemptPanic
		}
	}()
	s, err := t.client.StartGeneration(t.ctx, t.request)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		chunk, err := s.Recv()
		if err != nil {
			return err
		}
		select {
		case out <- attemptEvent{from: t, number: t.number, chunk: chunk, software: s.Software}:
		case <-t.ctx.Done():
			return t.ctx.Err()
		}
		if chunk.FinishReason != "" {
			return nil
		}
	}
}

// errAttemptPanic means that the handling of an engine's output panicked.
var errAttemptPanic = eris.New("the handling of the engine's output panicked")

// engineDraining reports whether the error is an engine's refusal because it is shutting down.
func engineDraining(err error) bool {
	var e *engine.Error
	return errors.As(err, &e) && e.Draining()
}

// invalidRequestRefusal returns the refusal for a request that the engine rejected as invalid, which no other engine
// would accept. It returns nil for any other error.
func invalidRequestRefusal(err error) *common.Refusal {
	var e *engine.Error
	if !errors.As(err, &e) || e.Kind != engine.KindRefused {
		return nil
	}
	if e.Status != http.StatusBadRequest && e.Status != http.StatusUnprocessableEntity {
		return nil
	}
	return common.NewNotRunRefusal(common.ReasonBadRequest, "", "the engine refused the request: "+e.Message)
}

// enginePriority returns the scheduling priority that the engine gives the next attempt of the generation. A resumed
// generation precedes new requests, because its caller is in the middle of a stream.
func (s *session) enginePriority() int {
	if n := s.owner.Tokens(); n > 0 {
		return route.ResumePriority(len(s.owner.Record.Prompt) + n)
	}
	return s.job.ticket.EnginePriority()
}
