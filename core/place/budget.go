package place

import "time"

const (
	// budgetBuckets is the number of equal time buckets in a retry budget's window.
	budgetBuckets = 20
	// ownPart is the part of a retry budget that is divided among the relays in advance. The rest is granted where it is needed, see
	// RetryPool.
	ownPart = 0.5
	// refusalPart is the part of both that attempts after refusals may use. Refusals hit all relays at the same time and nothing else
	// bounds them; attempts after losses are bounded by the number of running streams.
	refusalPart = 0.5
	// startingPart is the part of its share of the slack that a relay has until SlackFrom, since the process before it may have spent that
	// share, or the other relays may have spent theirs while they were fewer. Attempts after refusals may use all of it.
	startingPart = 0.25
)

// RetryLimit is the platform's limit on the extra attempts (those after the first attempt of each request) at one service, of all relays
// together.
type RetryLimit struct {
	// Ratio is the number of extra attempts allowed for each request. Slack is the number allowed in each window in addition.
	Ratio float64
	Slack float64
	// Window is the length of the sliding window in which requests and extra attempts are counted.
	Window time.Duration
}

// RetryCause is why a request needs an extra attempt.
type RetryCause string

// The causes of extra attempts: the endpoint was lost, or it refused or failed the request.
const (
	AfterLoss    RetryCause = "loss"
	AfterRefusal RetryCause = "refusal"
)

// RetryBudget is one relay's part of a service's RetryLimit, so that most extra attempts need no message: a part of Ratio times its own
// requests, and an equal part of Slack. Times are measured from the start of the process, so that changes of the system clock don't
// matter.
type RetryBudget struct {
	RetryLimit
	// Relays is the number of relays among which Slack is divided; 0 counts as 1.
	Relays int
	// SlackFrom is when the relay has its whole part of Slack. Until then, an earlier process of it may have spent that in the current window.
	SlackFrom time.Duration

	own     retryWindow
	granted retryWindow
}

// BudgetStatus is what a relay may spend of a service's retry budget in the window that ends now, and what it has spent, in extra attempts.
type BudgetStatus struct {
	// Share is the relay's own part, and Losses and Refusals what was spent of it by cause.
	Share, Losses, Refusals float64
	// Granted is the number of further attempts that the relay was granted.
	Granted float64
}

// CountRequest counts a caller's request to the service.
func (b *RetryBudget) CountRequest(now time.Duration) { b.own.at(b.Window, now).requests++ }

// Spend takes one extra attempt for the cause from the relay's own part, or returns false if that is used up.
func (b *RetryBudget) Spend(cause RetryCause, now time.Duration) bool {
	spent, bound := b.own.sum(b.Window, now), cause
	if now < b.SlackFrom {
		bound = AfterLoss
	}
	if spent.free(b.share(spent.requests, now), bound) < 1 {
		return false
	}
	b.own.at(b.Window, now).add(cause, 1)
	return true
}

// AddGranted counts n extra attempts for the cause that the relay was granted beyond its own part.
func (b *RetryBudget) AddGranted(cause RetryCause, n int, now time.Duration) {
	b.granted.at(b.Window, now).add(cause, n)
}

// Status returns the state of the budget.
func (b *RetryBudget) Status(now time.Duration) BudgetStatus {
	own, granted := b.own.sum(b.Window, now), b.granted.sum(b.Window, now)
	return BudgetStatus{Share: b.share(own.requests, now), Losses: own.losses, Refusals: own.refusals, Granted: granted.extra()}
}

// Use returns what the pool needs to know of this relay.
func (b *RetryBudget) Use(service string, now time.Duration) RetryUse {
	granted := b.granted.sum(b.Window, now)
	return RetryUse{
		Service: service, Requests: int(b.own.sum(b.Window, now).requests),
		GrantedAfterLoss: int(granted.losses), GrantedAfterRefusal: int(granted.refusals),
	}
}

// share returns the relay's own part in extra attempts per window, with the requests in the window.
func (b *RetryBudget) share(requests float64, now time.Duration) float64 {
	share := b.Ratio * requests
	slack := b.Slack / float64(max(1, b.Relays))
	if now < b.SlackFrom {
		slack *= startingPart
	}
	return ownPart * (share + slack)
}

// RelayCount is the number of relays that share a limit. It falls a window late, since what the relays that have gone spent still counts.
type RelayCount struct {
	// Window is the length of the limit's window.
	Window time.Duration

	largest, current int
	// fewerSince is when the number last fell.
	fewerSince time.Duration
}

// Set records the number of relays at the time now since the start of the process.
func (c *RelayCount) Set(n int, now time.Duration) {
	c.Largest(now)
	if n < c.current {
		c.fewerSince = now
	}
	c.current, c.largest = n, max(c.largest, n)
}

// Largest returns the largest number of relays in the window that ends now.
func (c *RelayCount) Largest(now time.Duration) int {
	if now-c.fewerSince >= c.Window {
		c.largest = c.current
	}
	return c.largest
}

// retryCounts are numbers of requests and of extra attempts, by cause.
type retryCounts struct {
	requests, losses, refusals float64
}

// extra returns the number of extra attempts.
func (c *retryCounts) extra() float64 { return c.losses + c.refusals }

// add counts n extra attempts for the cause.
func (c *retryCounts) add(cause RetryCause, n int) {
	if cause == AfterRefusal {
		c.refusals += float64(n)
	} else {
		c.losses += float64(n)
	}
}

// free returns how many extra attempts for the cause are left of the allowed number.
func (c *retryCounts) free(allowed float64, cause RetryCause) float64 {
	left := allowed - c.extra()
	if cause == AfterRefusal {
		left = min(left, refusalPart*allowed-c.refusals)
	}
	return left
}

// retryWindow counts requests and extra attempts in a sliding window.
type retryWindow struct {
	buckets [budgetBuckets + 1]struct {
		// index is the number of bucket lengths from time zero to this bucket.
		index int64
		retryCounts
	}
}

// at returns the counts of the bucket for the given time, cleared if it last held an earlier part of the window.
func (w *retryWindow) at(length, now time.Duration) *retryCounts {
	index := int64(now / (length / budgetBuckets))
	b := &w.buckets[index%int64(len(w.buckets))]
	if b.index != index {
		b.index, b.retryCounts = index, retryCounts{}
	}
	return &b.retryCounts
}

// sum returns the requests of at most one window that ends now, and the extra attempts of at least one.
func (w *retryWindow) sum(length, now time.Duration) (s retryCounts) {
	current := int64(now / (length / budgetBuckets))
	for _, b := range w.buckets {
		age := current - b.index
		if age < budgetBuckets {
			s.requests += b.requests
		}
		if age <= budgetBuckets {
			s.losses += b.losses
			s.refusals += b.refusals
		}
	}
	return s
}
