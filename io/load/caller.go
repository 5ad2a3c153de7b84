package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/io/engine"

	"github.com/rotisserie/eris"
)

// Default time limits, and limits of the attempts, of a simulated caller.
const (
	defaultStallTimeout = 10 * time.Second
	defaultResumeLimit  = 15 * time.Second
	defaultAttempts     = 3
	// retryDelay is the delay between a simulated caller's attempts to send a request; without it, a caller would
	// retry in a busy loop while routers are down.
	retryDelay = 50 * time.Millisecond
	// maxRefusalBytes is the largest error reply of a router that is read, in bytes.
	maxRefusalBytes = 64 << 10
)

// errNotRefusal is wrapped by the error for a router's error reply that is not a valid refusal.
var errNotRefusal = eris.New("reply is no refusal")

// Caller is a simulated client of the routers. It sends generations and service calls, reconnects after broken
// connections and verifies every reply. Its fields must be set before the first use. It is safe for concurrent use.
type Caller struct {
	// Addresses provides the addresses of the routers.
	Addresses *Addresses
	// Transport holds the connections to the routers.
	Transport *engine.Transport
	// CheckModel is the model's name at the engines, which determines the expected output; empty means the model's
	// name in the request.
	CheckModel string
	// StallTimeout is the time without an event after which an output stream is abandoned and resumed, and the time
	// limit of sending a service call once; zero means 10 s.
	StallTimeout time.Duration
	// ResumeLimit is the time without progress of a request after which the caller gives up; zero means 15 s.
	ResumeLimit time.Duration
	// MaxAttempts is the largest number of attempts to send a request before the first event of a reply; zero means 3.
	MaxAttempts int
}

// Status is the way in which a generation ended for its caller.
type Status string

// Statuses of a generation.
const (
	// StatusComplete means that the whole output was received and every token is correct.
	StatusComplete Status = "complete"
	// StatusRefused means that a router refused the request or ended the stream with a refusal.
	StatusRefused Status = "refused"
	// StatusBroken means that the caller gave up without a complete output or a refusal.
	StatusBroken Status = "broken"
	// StatusWrong means that the output had a missing, repeated or unexpected token.
	StatusWrong Status = "wrong"
	// StatusCanceled means that the caller's context ended.
	StatusCanceled Status = "canceled"
)

// refusalBody is the JSON encoding of a router's refusal of a request.
type refusalBody struct {
	Error *struct {
		Reason       common.Reason  `json:"reason"`
		Outcome      common.Outcome `json:"outcome"`
		Field        string         `json:"field"`
		Message      string         `json:"message"`
		RetryAfterMS int64          `json:"retry-after-ms"`
		Address      string         `json:"address"`
	} `json:"error"`
}

// validOutcomes lists the execution outcomes that a router's refusal may report.
var validOutcomes = []common.Outcome{common.OutcomeNotRun, common.OutcomeRan, common.OutcomeUnknown, common.OutcomeDone}

// parseRefusal decodes a router's refusal from JSON. A refusal with an unknown reason or outcome is an error.
func parseRefusal(b []byte) (*common.Refusal, error) {
	var body refusalBody
	if err := json.Unmarshal(b, &body); err != nil {
		return nil, fmt.Errorf("decode refusal: %w", err)
	}
	e := body.Error
	if e == nil || !slices.Contains(common.RefusalReasons, e.Reason) || !slices.Contains(validOutcomes, e.Outcome) {
		return nil, fmt.Errorf("%.200q: %w", b, errNotRefusal)
	}
	return &common.Refusal{
		Reason: e.Reason, Outcome: e.Outcome, Field: e.Field, Message: e.Message, Address: e.Address,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond,
	}, nil
}

// readRefusal reads the refusal from a router's reply with an error status.
func readRefusal(r *http.Response) (*common.Refusal, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxRefusalBytes))
	if err != nil {
		return nil, fmt.Errorf("read refusal: %w", err)
	}
	refusal, err := parseRefusal(b)
	if err != nil {
		return nil, fmt.Errorf("status %d: %w", r.StatusCode, err)
	}
	return refusal, nil
}

// retryState tracks the failed attempts to send a request since the request last made progress.
type retryState struct {
	caller          *Caller
	attempts        int       // failed attempts since the last progress
	stalledSince    time.Time // first failure since the last progress
	failedAddresses []string  // routers that failed since the last progress
}

// recordFailure records a failed attempt to send a request to the router at the address. It returns false if the
// request has made no progress for the caller's ResumeLimit.
func (p *retryState) recordFailure(address string) bool {
	p.failedAddresses = append(p.failedAddresses, address)
	p.attempts++
	if p.stalledSince.IsZero() {
		p.stalledSince = time.Now()
	}
	return time.Since(p.stalledSince) < orDefault(p.caller.ResumeLimit, defaultResumeLimit)
}

// resetFailures clears the recorded failures of a request after it has made progress.
func (p *retryState) resetFailures() {
	p.attempts = 0
	p.stalledSince = time.Time{}
	p.failedAddresses = nil
}

// hasAttemptsLeft reports whether a request that has produced no output yet may be sent again.
func (p *retryState) hasAttemptsLeft() bool {
	return p.attempts < orDefault(p.caller.MaxAttempts, defaultAttempts)
}

// orDefault returns the setting's value v, or its default d if v is zero.
func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// asRefusal returns the refusal that err wraps, or nil if there is none.
func asRefusal(err error) *common.Refusal {
	var r *common.Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
