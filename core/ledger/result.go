package ledger

import "wasabiweir/core/common"

// Verdict is the kind of a command's result.
type Verdict string

// Verdicts of claims, reported outcomes and sweeps.
const (
	// VerdictGranted means that the claimant may send the call once, under the number Claim.
	VerdictGranted Verdict = "granted"
	// VerdictInProgress means that another attempt holds the claim; the caller must wait for its outcome.
	VerdictInProgress Verdict = "in-progress"
	// VerdictDone means that the call ran and Response is its recorded response.
	VerdictDone Verdict = "done"
	// VerdictNotRun means that the call did not run; a claim by another attempt will be granted.
	VerdictNotRun Verdict = "not-run"
	// VerdictUnknown means that the call may have run; it is never sent again.
	VerdictUnknown Verdict = "unknown"
	// VerdictRecorded means that the ledger recorded the reported outcome.
	VerdictRecorded Verdict = "recorded"
	// VerdictSwept is the result of a sweep: IDs lists the claims that expired or the records that were deleted.
	VerdictSwept Verdict = "swept"
	// VerdictRefused means that the command had no effect; Reason says why.
	VerdictRefused Verdict = "refused"
)

// Result is the result of an applied command.
type Result struct {
	Verdict Verdict `cbor:"verdict"`
	// Claim is the number of the latest granted claim of the call.
	Claim uint64 `cbor:"claim,omitempty"`
	// Response is the recorded response of a call that ran.
	Response *Response `cbor:"response,omitempty"`
	// Reason, Field and Message say why a command was refused.
	Reason  common.Reason `cbor:"reason,omitempty"`
	Field   string        `cbor:"field,omitempty"`
	Message string        `cbor:"message,omitempty"`
	// Outcome says whether the call of a refused command ran, did not run or may have run.
	Outcome common.Outcome `cbor:"outcome,omitempty"`
	// IDs are the calls whose records a sweep changed or deleted; callers that wait for them are notified.
	IDs []ID `cbor:"ids,omitempty"`
	// More is set if the sweep reached SweepBatch records, so that more may be due.
	More bool `cbor:"more,omitempty"`
}

// Refusal returns the error for the caller of a claim or lookup. It returns nil if the call was granted, has a recorded
// response or is still in progress.
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

// refusedResult returns the result of a command that had no effect.
func refusedResult(reason common.Reason, outcome common.Outcome, field, message string) Result {
	return Result{Verdict: VerdictRefused, Reason: reason, Outcome: outcome, Field: field, Message: message}
}
