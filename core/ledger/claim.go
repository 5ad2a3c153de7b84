package ledger

import (
	"fmt"
	"time"

	"wasabiweir/core/common"
)

// claimCall grants a router's claim to send a call, so that the claiming attempt may send it, or returns the recorded
// state of the call if it must not be sent.
func (m *Machine) claimCall(c *Command) Result {
	id, created, err := parseCallID(c.Account, c.Key)
	if err != nil {
		return refusedResult(common.ReasonKeyInvalid, common.OutcomeNotRun, "idempotency-key", err.Error())
	}
	if field := m.invalidClaimField(c); field != "" {
		return refusedResult(common.ReasonBadRequest, common.OutcomeNotRun, field, "the value is out of range")
	}
	r := m.records[id]
	if r == nil {
		return m.claimNewKey(c, id, created)
	}
	if r.Digest != c.Digest {
		return refusedResult(common.ReasonKeyReused, common.OutcomeNotRun, "idempotency-key", "the key belongs to another request")
	}
	switch {
	case r.State == StateClaimed && r.Claimant == c.Claimant:
		return Result{Verdict: VerdictGranted, Claim: r.Claim}
	case r.State == StateNotRun && r.Claimant != c.Claimant:
		if out, ok := m.checkKeyTime(created); ok {
			// The call's record still exists and proves that the call did not run.
			out.Outcome = common.OutcomeNotRun
			return out
		}
		return m.grantClaim(r, c)
	default:
		return r.claimResult()
	}
}

// invalidClaimField returns the name of the first field of a claim command that is out of range, or an empty string.
func (m *Machine) invalidClaimField(c *Command) string {
	switch {
	case c.Account == "" || len(c.Account) > MaxNameBytes:
		return "account"
	case c.Claimant.Router == "" || len(c.Claimant.Router) > MaxNameBytes:
		return "router"
	case c.TimeoutMS < 0 || c.TimeoutMS > m.Limits.MaxTimeout.Milliseconds():
		return "timeout-ms"
	}
	return ""
}

// claimNewKey creates the record of a call whose idempotency key has none and grants the first claim to send it, unless
// the key's age or the ledger's memory bound forbids it.
func (m *Machine) claimNewKey(c *Command, id CallID, created time.Time) Result {
	if out, ok := m.checkKeyTime(created); ok {
		return out
	}
	if m.usedBytes+RecordBytes > m.Limits.MaxBytes {
		return refusedResult(common.ReasonOverloaded, common.OutcomeNotRun, "", fmt.Sprintf("the ledger holds %d records", len(m.records)))
	}
	r := &CallRecord{ID: id, Digest: c.Digest}
	m.insertRecord(r)
	return m.grantClaim(r, c)
}

// checkKeyTime returns a refusal and true if the idempotency key was created too long ago or too far in the future. The
// record of an old key may have been deleted, so the outcome of its call is unknown. A key that is too far in the
// future now was so at every earlier claim too, so none was granted and the call did not run.
func (m *Machine) checkKeyTime(created time.Time) (Result, bool) {
	switch {
	case m.isKeyExpired(created):
		return refusedResult(common.ReasonKeyExpired, common.OutcomeUnknown, "idempotency-key",
			fmt.Sprintf("the key is older than %s", m.Limits.Retention)), true
	case created.Sub(m.Now()) > m.Limits.MaxFuture:
		return refusedResult(common.ReasonKeyInvalid, common.OutcomeNotRun, "idempotency-key",
			fmt.Sprintf("the key is more than %s in the future", m.Limits.MaxFuture)), true
	}
	return Result{}, false
}

// isKeyExpired reports whether an idempotency key is older than the retention. Refusals of claims and deletions of
// records both use this rule, and the ledger's time never decreases, so an expired key stays expired.
func (m *Machine) isKeyExpired(created time.Time) bool {
	return m.Now().Sub(created) > m.Limits.Retention
}

// grantClaim marks the call's record as claimed by the router attempt in the command, under a new claim number, and
// schedules the claim's expiry.
func (m *Machine) grantClaim(r *CallRecord, c *Command) Result {
	r.State = StateClaimed
	r.Claim++
	r.Claimant = c.Claimant
	r.ExpiresMS = m.nowMS + c.TimeoutMS + m.Limits.ExpiryGrace.Milliseconds()
	m.claimExpiries.addExpiry(expiry{atMS: r.ExpiresMS, id: r.ID})
	return Result{Verdict: VerdictGranted, Claim: r.Claim}
}

// recordOutcome records the outcome of a call that an attempt of a router reports; only the attempt that holds the
// claim to the call may do so.
func (m *Machine) recordOutcome(c *Command) Result {
	id, _, err := parseCallID(c.Account, c.Key)
	if err != nil {
		return refusedResult(common.ReasonKeyInvalid, common.OutcomeUnknown, "idempotency-key", err.Error())
	}
	r := m.records[id]
	if r == nil || r.Claim != c.Claim || r.Claimant != c.Claimant {
		return refusedResult(common.ReasonSuperseded, common.OutcomeUnknown, "claim", "the claim is not held by this attempt")
	}
	switch c.Op {
	case OpDone:
		return m.recordDone(r, c)
	case OpUnknown:
		return r.recordUnknown()
	default:
		return m.recordNotRun(r)
	}
}

// recordUnknown records that the call was sent and may have run. It does not overwrite a recorded response, or a record
// that the call was not run.
func (r *CallRecord) recordUnknown() Result {
	if r.State == StateClaimed {
		r.State = StateUnknown
	}
	if r.State != StateUnknown {
		return refusedResult(common.ReasonSuperseded, common.OutcomeUnknown, "claim", "the call is recorded as "+string(r.State))
	}
	return Result{Verdict: VerdictRecorded, Claim: r.Claim}
}

// recordDone records the response of a call; later responses to the same call do not replace it. If the ledger's memory
// is used up, only the status of the response is kept, so that the call is still known to have run.
func (m *Machine) recordDone(r *CallRecord, c *Command) Result {
	switch {
	case c.Response == nil:
		return refusedResult(common.ReasonBadRequest, common.OutcomeUnknown, "response", "the response is missing")
	case r.State == StateNotRun:
		return refusedResult(common.ReasonSuperseded, common.OutcomeNotRun, "claim", "the call is recorded as not run")
	case r.State != StateDone:
		m.usedBytes -= r.size()
		r.State = StateDone
		r.Response = c.Response.LimitSize(min(m.Limits.MaxResponseBytes, m.Limits.MaxBytes-m.usedBytes-RecordBytes))
		m.usedBytes += r.size()
	}
	return Result{Verdict: VerdictRecorded, Claim: r.Claim}
}

// recordNotRun records that the claimed call was not sent. It is refused once the outcome of the call is recorded as
// unknown, because callers may already have been told that the call may have run.
func (m *Machine) recordNotRun(r *CallRecord) Result {
	switch r.State {
	case StateClaimed, StateNotRun:
		r.State = StateNotRun
		return Result{Verdict: VerdictRecorded, Claim: r.Claim}
	default:
		return refusedResult(common.ReasonSuperseded, common.OutcomeUnknown, "claim", "the call is recorded as "+string(r.State))
	}
}

// insertRecord adds the record of a call to the ledger, counts its memory and schedules its deletion for the end of the
// retention.
func (m *Machine) insertRecord(r *CallRecord) {
	m.records[r.ID] = r
	m.usedBytes += r.size()
	m.keyExpiries.addExpiry(expiry{atMS: createdAt(r.ID.Key).UnixMilli() + m.Limits.Retention.Milliseconds(), id: r.ID})
}
