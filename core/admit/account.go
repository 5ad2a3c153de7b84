package admit

import (
	"time"

	"wasabiweir/core/table"
)

// AccountLimit holds the configured limits of a client account, which apply to all routers together.
type AccountLimit struct {
	// Weight is the account's weight in fair queueing; zero means 1.
	Weight float64
	// TokensPerSecond limits the account's rate of generated tokens; zero means no limit.
	TokensPerSecond float64
	// MaxInFlight limits the number of the account's concurrent requests; zero means no limit.
	MaxInFlight int
}

const (
	// accountShareLease is how long a router may use the share of an account's limits that a control node has granted
	// it.
	accountShareLease = 5 * time.Second
	// burstDuration sets an account's burst over all routers: the tokens that its rate yields in this time. The burst
	// is split evenly among the routers regardless of their shares, because shares lag behind the demand by up to a
	// second. The clients of a small account use only a few routers at a time and can therefore use about half of the
	// burst.
	burstDuration = 20 * time.Second
)

// account holds the queued requests, the limits and the usage of one client account on this router.
type account struct {
	name  string
	limit AccountLimit

	share        float64 // fraction of the account's limits granted to this router, 0 to 1
	shareExpires time.Time
	bucket       table.Bucket

	reservedQueue, regularQueue ticketQueue // those that may use capacity reserved for short requests, and others
	queuedTokens                float64     // predicted output tokens of the requests in both queues
	virtualStart                float64     // virtual time (fair queueing) at which the next request starts
	inFlight                    int
	meanDuration                float64 // seconds from start to end of a request, exponentially smoothed
	demand                      decayingTokenSum
}

// effectiveWeight returns the account's fair-queueing weight on this router: the declared weight scaled by the router's
// share of the account's limits relative to an even split. Without the scaling, an account that uses only two of eight
// routers would get a quarter of the service that its weight entitles it to.
func (a *account) effectiveWeight(routers int, now time.Time) float64 {
	return a.declaredWeight() * max(minWeightFactor, a.effectiveShare(routers, now)*float64(max(1, routers)))
}

// declaredWeight returns the account's configured weight in fair queueing, or 1 if none is configured.
func (a *account) declaredWeight() float64 {
	if a.limit.Weight <= 0 {
		return 1
	}
	return a.limit.Weight
}

// minWeightFactor is the least factor by which a router's share of an account's limits scales the account's weight in
// fair queueing; it keeps requests on a router with a tiny share from starving.
const minWeightFactor = 0.1

// queueLength returns the number of the account's requests that are queued on this router.
func (a *account) queueLength() int { return a.reservedQueue.len() + a.regularQueue.len() }

// effectiveShare returns the share of the account's limits that this router may use: the granted one, or half of an
// even share once the lease on it has expired. If a control node has granted the whole limit to the other routers by
// then, all routers together still use less than 1.5 times the limit.
func (a *account) effectiveShare(routers int, now time.Time) float64 {
	if now.Before(a.shareExpires) {
		return a.share
	}
	return 1 / float64(2*max(1, routers))
}

// updateTokenBucket sets the rate and the burst of the account's token bucket according to this router's current share
// of the account's limits.
func (a *account) updateTokenBucket(routers int, now time.Time) {
	if a.limit.TokensPerSecond <= 0 {
		return
	}
	rate := a.limit.TokensPerSecond * a.effectiveShare(routers, now)
	if rate == a.bucket.Rate {
		return
	}
	if a.bucket.Rate > 0 {
		a.bucket.Level(now)
	}
	a.bucket.Rate = rate
	a.bucket.Burst = a.limit.TokensPerSecond * burstDuration.Seconds() / float64(max(1, routers))
}

// maxInFlight returns this router's share of the account's limit on concurrent requests, or 0 if there is no limit. The
// share is at least 1, because an account whose limit is smaller than the number of routers could otherwise start
// nothing here.
func (a *account) maxInFlight(routers int, now time.Time) int {
	if a.limit.MaxInFlight <= 0 {
		return 0
	}
	return max(1, int(float64(a.limit.MaxInFlight)*a.effectiveShare(routers, now)))
}

// isAtMaxInFlight reports whether the account has used up this router's share of its concurrent requests.
func (a *account) isAtMaxInFlight(routers int, now time.Time) bool {
	n := a.maxInFlight(routers, now)
	return n > 0 && a.inFlight >= n
}

// nextReadyTicket returns the account's next request that its token rate allows to start, or nil. Requests that may use
// the capacity reserved for short requests come first.
func (a *account) nextReadyTicket(now time.Time) *Ticket {
	if t := a.reservedQueue.firstQueued(); t != nil && !now.Before(t.readyAt) {
		return t
	}
	if t := a.regularQueue.firstQueued(); t != nil && !now.Before(t.readyAt) {
		return t
	}
	return nil
}

// queueFor returns the one of the account's two queues in which the ticket waits.
func (a *account) queueFor(t *Ticket) *ticketQueue {
	if t.MayUseReserved {
		return &a.reservedQueue
	}
	return &a.regularQueue
}

// ticketQueue is a FIFO queue of the tickets of admitted requests. A ticket that leaves from the middle stays in the
// slice and is skipped when it reaches the front.
type ticketQueue struct {
	tickets      []*Ticket
	head         int
	removedCount int
}

// push appends a request's ticket to the queue.
func (q *ticketQueue) push(t *Ticket) { q.tickets = append(q.tickets, t) }

// len returns the number of tickets that are still queued.
func (q *ticketQueue) len() int { return len(q.tickets) - q.head - q.removedCount }

// firstQueued returns the first ticket that is still queued, or nil; it discards removed tickets before it.
func (q *ticketQueue) firstQueued() *Ticket {
	for q.head < len(q.tickets) {
		t := q.tickets[q.head]
		if t.state == StateQueued {
			return t
		}
		q.tickets[q.head] = nil
		q.head++
		q.removedCount--
	}
	q.tickets, q.head = q.tickets[:0], 0
	return nil
}

// countRemoved records that one ticket in the slice is no longer queued. It compacts the slice when the unused part at
// the front has at least 64 places and makes up half of the slice.
func (q *ticketQueue) countRemoved() {
	q.removedCount++
	if q.head < 64 || q.head*2 < len(q.tickets) {
		return
	}
	n := copy(q.tickets, q.tickets[q.head:])
	clear(q.tickets[n:])
	q.tickets, q.head = q.tickets[:n], 0
}
