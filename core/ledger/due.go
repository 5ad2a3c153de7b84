package ledger

import "time"

// HasExpiredClaims reports whether an OpExpireClaims command at time now would find a claim to a call that has timed
// out.
func (m *Machine) HasExpiredClaims(now time.Time) bool {
	return m.claimExpiries.hasDueExpiry(now.UnixMilli())
}

// HasExpiredKeys reports whether an OpDeleteExpired command at time now would delete the record of a call.
func (m *Machine) HasExpiredKeys(now time.Time) bool {
	return m.keyExpiries.hasDueExpiry(now.UnixMilli() - 1)
}

// hasDueExpiry reports whether the expiry of any claim or key in the heap is at or before the given time.
func (h expiryHeap) hasDueExpiry(nowMS int64) bool { return len(h) > 0 && h[0].atMS <= nowMS }
