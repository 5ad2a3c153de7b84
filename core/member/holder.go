package member

import (
	"cmp"
	"time"
)

// FullLimit is the share that stands for an account's whole limit; a router's shares are measured in millionths of a
// limit.
const FullLimit = 1_000_000

// DefaultLease is how long a router's extra share of an account limit is valid after the router sent the report that
// the share answers.
const DefaultLease = 5 * time.Second

// AccountShareID orders the messages in which leaders send a router its shares of the account limits: by the leader's
// term, then by sequence number.
type AccountShareID struct {
	Term     uint64 `cbor:"term"`
	Sequence uint64 `cbor:"sequence"`
}

// Compare returns -1, 0 or 1 if the message of s is older than, the same as or newer than that of other.
func (s AccountShareID) Compare(other AccountShareID) int {
	return cmp.Or(cmp.Compare(s.Term, other.Term), cmp.Compare(s.Sequence, other.Sequence))
}

// RouterShares is a message of the leader with a router's shares of the account limits.
type RouterShares struct {
	Router      string         `cbor:"router"`
	Incarnation uint64         `cbor:"incarnation"`
	ID          AccountShareID `cbor:"id"`
	// EchoMS is SentMS of the report that the shares answer, in Unix milliseconds of the router's clock.
	EchoMS int64 `cbor:"echo-ms"`
	// Floor is the router's share of each account limit that needs no lease, in millionths.
	Floor int64 `cbor:"floor"`
	// Extra holds the leased shares of account limits, in millionths, of the accounts that have requests at the
	// router.
	Extra map[string]int64 `cbor:"extra,omitempty"`
}

// ShareHolder runs on a router and keeps its current shares of the account limits. It is not safe for concurrent use.
// Exported fields are set before the first call.
type ShareHolder struct {
	Incarnation uint64
	// Routers is the number of instances that may run a router. It determines the router's floor, its share without a
	// lease, until the first shares arrive; if it is zero, that floor is zero.
	Routers int
	// Lease is the duration of the extra shares of account limits; zero means DefaultLease.
	Lease time.Duration

	shares    RouterShares
	hasShares bool
}

// Apply puts a router's shares of the account limits into effect and reports whether it did. Shares that are older
// than the current ones, whose lease has already ended or that are meant for another incarnation of the router are
// dropped.
func (h *ShareHolder) Apply(s *RouterShares, now time.Time) bool {
	if s.Incarnation != h.Incarnation || h.hasShares && s.ID.Compare(h.shares.ID) <= 0 || !now.Before(h.leaseEnd(s)) {
		return false
	}
	h.shares, h.hasShares = *s, true
	return true
}

// leaseEnd returns the time on the router's clock at which the lease of its extra shares ends.
func (h *ShareHolder) leaseEnd(s *RouterShares) time.Time {
	return time.UnixMilli(s.EchoMS).Add(orDefault(h.Lease, DefaultLease))
}

// Floor returns the router's share of each account limit that needs no lease, in millionths.
func (h *ShareHolder) Floor() int64 {
	switch {
	case h.hasShares:
		return h.shares.Floor
	case h.Routers > 0:
		return floorShare(h.Routers)
	default:
		return 0
	}
}

// ShareOf returns the router's current share of an account's limit, from 0 to FullLimit.
func (h *ShareHolder) ShareOf(account string, now time.Time) int64 {
	if h.hasShares && now.Before(h.leaseEnd(&h.shares)) {
		return h.Floor() + h.shares.Extra[account]
	}
	return h.Floor()
}

// ScaleLimit returns the router's share of the given limit of an account, in the unit of the limit.
func (h *ShareHolder) ScaleLimit(account string, limit float64, now time.Time) float64 {
	return limit * float64(h.ShareOf(account, now)) / FullLimit
}

// FillReport sets the fields of a router's report that tell the leader which shares of the account limits it holds.
func (h *ShareHolder) FillReport(r *RouterReport) {
	r.Incarnation = h.Incarnation
	r.ShareID = h.shares.ID
	r.ShareFloor = h.Floor()
}
