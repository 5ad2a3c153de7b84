package ledger

import "wasabiweir/core/common"

// Verdict says what the ledger decided on a command.
type Verdict string

// Verdicts on claims to calls, on reported outcomes of calls and on sweeps over the records.
const (
	// VerdictGranted means that the router's attempt that claimed the call may send it once, under the number Claim.
	VerdictGranted Verdict = "granted"
	// VerdictInProgress means that another attempt holds the claim to the call; the caller must wait for the call's
	// outcome.
	VerdictInProgress Verdict = "in-progress"
	// VerdictDone means that the call ran and Response is its recorded response.
	VerdictDone Verdict = "done"
	// VerdictNotRun means that the call did not run; a claim to it by another attempt will be granted.
	VerdictNotRun Verdict = "not-run"
	// VerdictUnknown means that the call may have run; it is never sent again.
	VerdictUnknown Verdict = "unknown"
	// VerdictRecorded means that the ledger recorded the outcome of the call that was reported.
	VerdictRecorded Verdict = "recorded"
	// VerdictSwept is the result of a sweep: IDs lists the calls whose claims expired or whose records were deleted.
	VerdictSwept Verdict = "swept"
	// VerdictRefused means that the ledger refused the command, which had no effect; Reason says why.
	VerdictRefused Verdict = "refused"
)

// Result is the result of a command that the ledger applied.
type Result struct {
	Verdict Verdict `cbor:"verdict"`
	// Claim is the number of the latest granted claim to the call.
	Claim uint64 `cbor:"claim,omitempty"`
	// Response is the recorded response of a call that ran.
	Response *Response `cbor:"response,omitempty"`
	// Reason, Field and Message say why the ledger refused a command.
	Reason  common.Reason `cbor:"reason,omitempty"`
	Field   string        `cbor:"field,omitempty"`
	Message string        `cbor:"message,omitempty"`
	// Outcome says whether the call of a refused command ran, did not run or may have run.
	Outcome common.Outcome `cbor:"outcome,omitempty"`
	// IDs are the calls whose records a sweep changed or deleted; callers that wait for the outcome of such a call are
	// notified.
	IDs []CallID `cbor:"ids,omitempty"`
	// More is set if a sweep reached Limits.SweepBatch records, so that further claims or keys may have expired.
	More bool `cbor:"more,omitempty"`
}

// Refusal returns the error for the caller of a call after a claim or lookup. It returns nil if the claim was granted,
// or the call has a recorded response or is still in progress.
func (r *Result) Refusal() *common.Refusal {
	switch {
	case r.Verdict == VerdictRefused:
		return &common.Refusal{Reason: r.Reason, Outcome: r.Outcome, Field: r.Field, Message: r.Message}
	case r.Verdict == VerdictUnknown:
		return &common.Refusal{Reason: common.ReasonOutcomeUnknown, Outcome: common.OutcomeUnknown, Message: "the call may have run and is not sent again"}
	case r.Verdict == VerdictDone && r.Response.StatusOnly:
		return &common.Refusal{Reason: common.ReasonAnswerTooLarge, Outcome: common.OutcomeRan, Message: "the call ran and its answer was too large to be recorded"}
	case r.Verdict == VerdictNotRun:
		return common.NewNotRunRefusal(common.ReasonSuperseded, "", "the attempt ended without sending the call")
	}
	return nil
}

// refusedResult returns the result of a command that the ledger refused and that had no effect.
func refusedResult(reason common.Reason, outcome common.Outcome, field, message string) Result {
	return Result{Verdict: VerdictRefused, Reason: reason, Outcome: outcome, Field: field, Message: message}
}
