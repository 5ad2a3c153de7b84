package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/token"
	"wasabiweir/io/engine"

	"github.com/rotisserie/eris"

	"wasabiweir/io/serve"
)

// Type of the server-sent event that reports an error in an output stream, and data of the event that ends the stream.
const (
	eventError = "error"
	eventDone  = "[DONE]"
)

// Request is a generation that a simulated caller requests and verifies.
type Request struct {
	// Token is the account's access token.
	Token     string
	Model     string
	Prompt    string
	MaxTokens int
	// Seed is the seed of the generation, which determines its output tokens. It may also set the length of the
	// output; see token.SeedEndingAt.
	Seed uint64
	// Due is the scheduled time of the request, from which latencies are measured; zero means the time at which the
	// request is made.
	Due time.Time
}

// Result is the result of one generation for its simulated caller. FirstToken and Completion are measured from the
// request's due time.
type Result struct {
	Status Status
	// Refusal is the refusal that ended the generation if Status is StatusRefused.
	Refusal *common.Refusal
	// Refusals are all refusals of the generation, including those after which the request was tried again.
	Refusals []*common.Refusal
	// RefusalTimes are the times from sending the request to each refusal that was received instead of an output
	// stream.
	RefusalTimes []time.Duration
	// Err is the error that ended the generation, or nil if Status is StatusComplete.
	Err error
	// IDs are the verified output token ids.
	IDs        []uint32
	FirstToken time.Duration
	Completion time.Duration
	// TokenGaps are the times between consecutive events with output tokens, including those during which the caller
	// reconnected.
	TokenGaps []time.Duration
	// ResumeGaps are those TokenGaps during which the caller reconnected.
	ResumeGaps []time.Duration
	// Reconnects is the number of requests that the caller sent to resume the output stream.
	Reconnects int
	// ToldNotRun means that the generation was refused and every attempt ended with a refusal whose outcome is
	// not-run, so no engine should have run it.
	ToldNotRun bool
}

// generation is the state of one call of Caller.Complete.
type generation struct {
	*Caller
	req            Request
	checker        token.Checker // verifies the output
	cursor         string        // id of the last event, sent to resume the stream
	finished       bool          // a finish reason was received
	reconnected    bool          // a resume request was sent since the last token
	lastTokenAt    time.Time     // when the last event with tokens arrived
	retry          retryState
	unknownOutcome bool // an attempt ended without a refusal with the outcome not-run
	result         Result
}

// errStreamInterrupted is wrapped by the errors after which an output stream can be resumed at another router.
var errStreamInterrupted = eris.New("stream broke")

// Complete requests a generation and verifies each output token. It resumes the output stream after broken connections
// and retries refused requests where that is allowed.
func (c *Caller) Complete(ctx context.Context, req Request) Result {
	if req.Due.IsZero() {
		req.Due = time.Now()
	}
	g := &generation{Caller: c, req: req, retry: retryState{caller: c}}
	g.checker = token.Checker{Model: c.CheckModel, Seed: req.Seed, Prompt: token.Tokenize(req.Prompt)}
	if c.CheckModel == "" {
		g.checker.Model = req.Model
	}
	err := g.runAttempts(ctx)
	g.result.IDs = g.checker.IDs()
	g.result.Completion = time.Since(req.Due)
	g.result.Status = g.resultStatus(ctx, err)
	g.result.Err = err
	g.result.ToldNotRun = g.result.Status == StatusRefused && !g.unknownOutcome
	return g.result
}

// resultStatus returns the status of a generation for the error that ended it.
func (g *generation) resultStatus(ctx context.Context, err error) Status {
	var fault *token.TokenFault
	switch {
	case err == nil:
		return StatusComplete
	case errors.As(err, &fault):
		return StatusWrong
	case ctx.Err() != nil:
		return StatusCanceled
	}
	if g.result.Refusal = asRefusal(err); g.result.Refusal != nil {
		return StatusRefused
	}
	return StatusBroken
}

// runAttempts sends the generation request, or requests to resume it, until the output is complete or no further
// attempt can succeed.
func (g *generation) runAttempts(ctx context.Context) error {
	address := g.Addresses.Pick(ctx)
	for {
		err := g.runAttempt(ctx, address)
		var fault *token.TokenFault
		if err == nil || ctx.Err() != nil || errors.As(err, &fault) {
			return err
		}
		g.recordAttemptError(err)
		if !g.retry.recordFailure(address) || !g.mayRetryAfter(err) {
			return err
		}
		address = g.nextAddress(ctx, err)
		if !serve.Sleep(ctx, retryDelay) {
			return err
		}
	}
}

// recordAttemptError records the refusal that ended an attempt to send the generation, or that the outcome of the
// attempt is unknown.
func (g *generation) recordAttemptError(err error) {
	r := asRefusal(err)
	if r != nil {
		g.result.Refusals = append(g.result.Refusals, r)
	}
	if r == nil || r.Outcome != common.OutcomeNotRun {
		g.unknownOutcome = true
	}
}

// finalRefusalReasons are the reasons for refusing a resume request that are the same at every router, so that a retry
// is pointless.
var finalRefusalReasons = []common.Reason{
	common.ReasonBadCursor, common.ReasonBadRequest, common.ReasonUnknownAccount, common.ReasonNotAllowed,
	common.ReasonJournalLost, common.ReasonSoftwareGone,
}

// mayRetryAfter reports whether another attempt to send the generation is allowed and may succeed after the error.
func (g *generation) mayRetryAfter(err error) bool {
	r := asRefusal(err)
	switch {
	case g.cursor == "" && r == nil:
		return g.retry.hasAttemptsLeft()
	case g.cursor == "":
		return g.retry.hasAttemptsLeft() && r.Outcome == common.OutcomeNotRun && r.Address != ""
	case r == nil || errors.Is(err, errStreamInterrupted):
		return true
	}
	if r.Reason == common.ReasonJournalUnavailable {
		// The generation may have run, but a resume runs nothing twice, and a holder of its journal may come back.
		return true
	}
	return r.Outcome == common.OutcomeNotRun && !slices.Contains(finalRefusalReasons, r.Reason)
}

// nextAddress returns the address of the router for the next attempt: the one that the refusal names, or else one
// chosen by weight, if possible one that has not failed since the last progress.
func (g *generation) nextAddress(ctx context.Context, err error) string {
	if r := asRefusal(err); r != nil && r.Address != "" {
		return r.Address
	}
	return g.Addresses.Pick(ctx, g.retry.failedAddresses...)
}

// newHTTPRequest returns the HTTP request for the next attempt: a request to resume the output stream if an event with
// an id was received, otherwise the original generation request.
func (g *generation) newHTTPRequest(ctx context.Context, address string) (*http.Request, error) {
	if g.cursor != "" {
		g.result.Reconnects++
		g.reconnected = true
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/completions/resume", http.NoBody)
		if err != nil {
			return nil, fmt.Errorf("make resume request: %w", err)
		}
		req.Header.Set("Last-Event-ID", g.cursor)
		return req, nil
	}
	body, err := json.Marshal(map[string]any{
		"model": g.req.Model, "prompt": g.req.Prompt, "max_tokens": g.req.MaxTokens, "seed": g.req.Seed,
		"stream": true, "return_token_ids": true,
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.GetBody = nil // keeps net/http from resending the request without it being counted
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// runAttempt sends the original generation request or a resume request to one router and reads the output stream. It
// returns nil if the output is complete.
func (g *generation) runAttempt(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimeout := orDefault(g.StallTimeout, defaultStallTimeout)
	timer := time.AfterFunc(stallTimeout, cancel)
	defer timer.Stop()
	req, err := g.newHTTPRequest(ctx, address)
	if err != nil {
		return err
	}
	if g.req.Token != "" {
		req.Header.Set("Authorization", "Bearer "+g.req.Token)
	}
	sent := time.Now()
	r, err := g.Transport.RoundTripper(g.reconnected).RoundTrip(req)
	if err != nil {
		return fmt.Errorf("send to %s: %w", address, err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		ref, err := readRefusal(r)
		if err != nil {
			return err
		}
		g.result.RefusalTimes = append(g.result.RefusalTimes, time.Since(sent))
		return ref
	}
	events := engine.EventReader{R: r.Body}
	for {
		ev, err := events.Next()
		if err != nil {
			return fmt.Errorf("read stream from %s: %w", address, err)
		}
		timer.Reset(stallTimeout)
		if ev.Data == eventDone {
			return g.checkComplete()
		}
		if err := g.handleEvent(ev); err != nil {
			return err
		}
	}
}

// checkComplete verifies that an output stream that has ended delivered the whole output of the generation.
func (g *generation) checkComplete() error {
	if err := g.checker.Finish(g.req.MaxTokens); err != nil {
		return err
	}
	if !g.finished {
		return fmt.Errorf("last event without a finish reason: %w", errStreamInterrupted)
	}
	return nil
}

// handleEvent verifies the output tokens of one server-sent event and advances the generation's cursor, the event id
// from which the stream can be resumed.
func (g *generation) handleEvent(ev engine.Event) error {
	if ev.Name == eventError {
		return g.errorEventRefusal(ev)
	}
	var data struct {
		Choices []struct {
			Text         string   `json:"text"`
			TokenIDs     []uint32 `json:"token_ids"`
			FinishReason *string  `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(ev.Data), &data); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	for _, c := range data.Choices {
		if err := g.checker.PushText(c.TokenIDs, c.Text); err != nil {
			return err
		}
		g.finished = g.finished || c.FinishReason != nil
		if len(c.TokenIDs) > 0 {
			g.recordTokenTime()
		}
	}
	if ev.ID != "" {
		g.cursor = ev.ID
	}
	g.retry.resetFailures()
	return nil
}

// errorEventRefusal returns the refusal in an error event of an output stream. If another router has taken over the
// stream or the router is draining, the error wraps errStreamInterrupted, because the stream can be resumed at another
// router.
func (g *generation) errorEventRefusal(ev engine.Event) error {
	r, err := parseRefusal([]byte(ev.Data))
	if err != nil {
		return err
	}
	if r.Reason == common.ReasonSuperseded || r.Reason == common.ReasonDraining {
		return fmt.Errorf("%w: %w", errStreamInterrupted, r)
	}
	return r
}

// recordTokenTime records the time to the generation's first token, or the gap since the previous event with tokens.
func (g *generation) recordTokenTime() {
	now := time.Now()
	if g.lastTokenAt.IsZero() {
		g.result.FirstToken = now.Sub(g.req.Due)
	} else {
		g.result.TokenGaps = append(g.result.TokenGaps, now.Sub(g.lastTokenAt))
		if g.reconnected {
			g.result.ResumeGaps = append(g.result.ResumeGaps, now.Sub(g.lastTokenAt))
		}
	}
	g.reconnected = false
	g.lastTokenAt = now
}
