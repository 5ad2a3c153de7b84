package ledger

import "time"

// ClaimsDue reports whether an OpExpireClaims command at time now would find a claim that has timed out.
func (m *Machine) ClaimsDue(now time.Time) bool { return m.claimExpiries.hasDue(now.UnixMilli()) }

// KeysDue reports whether an OpForget command at time now would delete a record.
func (m *Machine) KeysDue(now time.Time) bool { return m.keyExpiries.hasDue(now.UnixMilli() - 1) }

// hasDue reports whether any expiry is at or before the given time.
func (h expiryHeap) hasDue(nowMS int64) bool { return len(h) > 0 && h[0].atMS <= nowMS }
