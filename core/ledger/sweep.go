package ledger

import (
	"container/heap"
	"time"
)

// DueSweeps returns the operations OpExpireClaims and OpDeleteExpired as far as they would change records at the
// leader's time now, so that the leader proposes no others. Deletions are not urgent: a leader that checks for them
// once a minute adds little to the log.
func (m *Machine) DueSweeps(now time.Time) []Op {
	ms := max(m.nowMS, now.UnixMilli())
	var out []Op
	if len(m.claimExpiries) > 0 && m.claimExpiries[0].atMS <= ms {
		out = append(out, OpExpireClaims)
	}
	if len(m.keyExpiries) > 0 && m.keyExpiries[0].atMS < ms {
		out = append(out, OpDeleteExpired)
	}
	return out
}

// isObsoleteExpiry reports whether the expiry of a claim to a call no longer has an effect: the call has an outcome,
// its record is deleted, or a later claim expires at another time.
func (m *Machine) isObsoleteExpiry(e expiry) bool {
	r := m.records[e.id]
	return r == nil || r.State != StateClaimed || r.ExpiresMS != e.atMS
}

// dropObsoleteExpiries removes obsolete expiries of claims from the front of the heap, which would otherwise keep each
// one until its time is reached.
func (m *Machine) dropObsoleteExpiries() {
	for len(m.claimExpiries) > 0 && m.isObsoleteExpiry(m.claimExpiries[0]) {
		heap.Pop(&m.claimExpiries)
	}
}

// expireClaims records the outcome of calls whose claims have timed out as unknown, up to SweepBatch of them.
func (m *Machine) expireClaims() Result {
	out := Result{Verdict: VerdictSwept}
	for len(out.IDs) < m.Limits.SweepBatch {
		e, ok := m.claimExpiries.popDueExpiry(m.nowMS)
		if !ok {
			return out
		}
		if m.isObsoleteExpiry(e) {
			continue
		}
		m.records[e.id].State = StateUnknown
		out.IDs = append(out.IDs, e.id)
	}
	out.More = true
	return out
}

// deleteExpired deletes the records of calls whose idempotency keys are older than the retention, up to SweepBatch of
// them.
func (m *Machine) deleteExpired() Result {
	out := Result{Verdict: VerdictSwept}
	for len(out.IDs) < m.Limits.SweepBatch {
		// An idempotency key whose age is exactly the retention is still valid, so the record of its call stays.
		e, ok := m.keyExpiries.popDueExpiry(m.nowMS - 1)
		if !ok {
			return out
		}
		m.usedBytes -= m.records[e.id].size()
		delete(m.records, e.id)
		out.IDs = append(out.IDs, e.id)
	}
	out.More = true
	return out
}
