package admit

import (
	"math"
	"time"
)

// decayingTokenSum is an exponentially decaying sum of the tokens that an account has requested on this router.
type decayingTokenSum struct {
	sum       float64
	updatedAt time.Time
}

// demandTimeConstant is the time constant with which an account's measured demand decays. It covers several updates of
// the routers' shares of account limits and is shorter than the time for which a client caches a router's address.
const demandTimeConstant = 3 * time.Second

// value returns the decayed sum of tokens at the time now, or 0 if nothing was added.
func (d *decayingTokenSum) value(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.updatedAt).Seconds()/demandTimeConstant.Seconds())
}

// addTokens adds n requested tokens to the sum at the time now.
func (d *decayingTokenSum) addTokens(n float64, now time.Time) {
	d.sum = d.value(now) + n
	d.updatedAt = now
}

// Demand returns the predicted output tokens of the account's recent requests on this router, admitted or not, plus the
// overdraft of its token bucket. Routers report the demand, and control nodes set each router's share of the account's
// limits from it.
func (a *Admission) Demand(name string, now time.Time) float64 {
	acct := a.accounts.Get(name)
	if acct == nil {
		return 0
	}
	d := acct.demand.value(now)
	if acct.limit.TokensPerSecond > 0 {
		d += max(0, -acct.bucket.Level(now))
	}
	return d
}

// evenFraction is the fraction of an account's limit that is split evenly among the routers, so that an account whose
// clients switch to another router is not refused there before the control nodes next update the routers' shares.
const evenFraction = 0.25

// Shares returns each router's share of an account's limits, given the account's demand on each router in tokens. The
// shares add up to 1.
func Shares(demands []float64) []float64 {
	total := 0.0
	for _, d := range demands {
		total += d
	}
	shares := make([]float64, len(demands))
	for i, d := range demands {
		even := 1 / float64(len(demands))
		if total <= 0 {
			shares[i] = even
			continue
		}
		shares[i] = evenFraction*even + (1-evenFraction)*d/total
	}
	return shares
}

// belowFairShareFraction is the fraction of its fair share of the running requests below which an account's long
// requests may use the capacity reserved for short requests. After a sudden rise in demand nearly all running requests
// are new and no slot becomes free for seconds; an account with few running requests would then wait as long as the
// accounts that hold all slots.
const belowFairShareFraction = 0.5

// isBelowFairShare reports whether there is not enough free capacity for all queued requests and the account has far
// fewer running requests than its weight entitles it to.
func (a *Admission) isBelowFairShare(acct *account, now time.Time) bool {
	if a.capacity.FreeLong > a.queuedRequests {
		return false
	}
	// This router's share of the account's limits lags when the account's clients switch routers.
	weight := max(acct.declaredWeight(), acct.effectiveWeight(a.Routers, now))
	totalWeight := weight
	a.accounts.Each(func(_ string, other *account) bool {
		if other.inFlight > 0 && other != acct {
			totalWeight += other.effectiveWeight(a.Routers, now)
		}
		return true
	})
	fair := float64(len(a.running.tickets)) * weight / totalWeight
	return float64(acct.inFlight+acct.reservedQueue.len()) < belowFairShareFraction*fair
}
