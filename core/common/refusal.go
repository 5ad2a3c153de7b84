package common

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome says whether an endpoint has executed a request.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun means that no byte of the request reached an endpoint and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRan means that the request ran, but its complete answer cannot be returned.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that it is not known whether the request ran.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone means that the request ran and its answer is recorded.
	OutcomeDone Outcome = "done"
)

// Refusal is the error that a caller receives when its request is refused or cannot be completed.
type Refusal struct {
	// Reason is the cause of the refusal.
	Reason Reason
	// Outcome says whether the request ran.
	Outcome Outcome
	// Field is the name of the request's header or body field at fault, or empty.
	Field string
	// Message describes the refusal for a person.
	Message string
	// RetryAfter is the delay after which a retry may succeed, or 0 if none is suggested.
	RetryAfter time.Duration
	// Address is the address of another router that may accept the request, or empty.
	Address string
}

// Error returns the reason, the request's outcome, the field if any, and the message as one line.
func (r *Refusal) Error() string {
	if r.Field == "" {
		return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
	}
	return fmt.Sprintf("%s (%s): %s: %s", r.Reason, r.Outcome, r.Field, r.Message)
}

// NewNotRunRefusal returns a Refusal of a request that did not run, that is, with OutcomeNotRun.
func NewNotRunRefusal(reason Reason, field, message string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Field: field, Message: message}
}

// AsRefusal returns the Refusal that err wraps, or otherwise one with ReasonInternal, OutcomeUnknown and the message of
// err.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{Reason: ReasonInternal, Outcome: OutcomeUnknown, Message: err.Error()}
}

// statusByReason maps each refusal reason to the HTTP status code of its response.
var statusByReason = map[Reason]int{
	ReasonBadRequest:         http.StatusBadRequest,
	ReasonBodyTooLarge:       http.StatusRequestEntityTooLarge,
	ReasonUnknownAccount:     http.StatusUnauthorized,
	ReasonUnknownModel:       http.StatusNotFound,
	ReasonUnknownService:     http.StatusNotFound,
	ReasonNotAllowed:         http.StatusForbidden,
	ReasonOverloaded:         http.StatusTooManyRequests,
	ReasonAccountLimit:       http.StatusTooManyRequests,
	ReasonRetryBudget:        http.StatusTooManyRequests,
	ReasonDeadline:           http.StatusGatewayTimeout,
	ReasonEndpointFailed:     http.StatusBadGateway,
	ReasonCrashesEngines:     http.StatusServiceUnavailable,
	ReasonEndpointLimit:      http.StatusServiceUnavailable,
	ReasonSoftwareGone:       http.StatusGone,
	ReasonJournalLost:        http.StatusGone,
	ReasonSuperseded:         http.StatusConflict,
	ReasonBadCursor:          http.StatusBadRequest,
	ReasonKeyMissing:         http.StatusBadRequest,
	ReasonKeyInvalid:         http.StatusBadRequest,
	ReasonKeyExpired:         http.StatusGone,
	ReasonKeyReused:          http.StatusUnprocessableEntity,
	ReasonOutcomeUnknown:     http.StatusBadGateway,
	ReasonAnswerTooLarge:     http.StatusBadGateway,
	ReasonInternal:           http.StatusInternalServerError,
	ReasonNoConfiguration:    http.StatusServiceUnavailable,
	ReasonDraining:           http.StatusServiceUnavailable,
	ReasonNoEndpoint:         http.StatusServiceUnavailable,
	ReasonCutOff:             http.StatusServiceUnavailable,
	ReasonJournalUnavailable: http.StatusServiceUnavailable,
	ReasonLedgerUnavailable:  http.StatusServiceUnavailable,
}

// Status returns the HTTP status code for the refused request, 500 if the refusal's reason has none. It is 502 instead of 503 if
// the request may have run, since callers may take 503 for a promise that it has not.
func (r *Refusal) Status() int {
	code, ok := statusByReason[r.Reason]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case code == http.StatusServiceUnavailable && r.Outcome != OutcomeNotRun:
		return http.StatusBadGateway
	}
	return code
}
