package member

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"wasabiweir/core/table"
)

// DefaultDivisionPeriod is the default minimum time between two divisions of the account limits among the routers.
const DefaultDivisionPeriod = time.Second

// DefaultClockDrift is the default relative difference in speed that is allowed between the clocks of a router and of
// the leader.
const DefaultClockDrift = 0.2

// floorShare returns the floor of each router, the share of each account limit that it holds without a lease. It is
// 1/(2 x routers) of the limit in the unit of FullLimit, with the number of routers rounded up to a power of two.
func floorShare(routers int) int64 {
	n := int64(1) << bits.Len(uint(max(routers, 1)-1))
	return FullLimit / (2 * n)
}

// Divider runs on the leader and divides the account limits among the routers. It is not safe for concurrent use.
// Exported fields are set before the first call; zero durations and a zero ClockDrift stand for the defaults above.
type Divider struct {
	// MinRouters is the number of instances that may run a router; the floors are computed for at least this many
	// routers.
	MinRouters int
	// Lease is the duration of the extra shares of account limits.
	Lease time.Duration
	// Period is the minimum time between two divisions of the account limits.
	Period time.Duration
	// ClockDrift is the relative difference in speed that is allowed between the clocks of a router and of the leader.
	ClockDrift float64

	isLeader     bool
	lastID       AccountShareID
	termStart    time.Time
	lastDivision time.Time
	routers      table.Table[string, routerShareGrants]
}

// routerShareGrants holds the last report of a router and the shares of the account limits that the router may hold.
type routerShareGrants struct {
	report   RouterReport
	received time.Time
	// confirmed means that a quorum confirmed the leadership in a round that started after the router's report
	// arrived. answeredMS is SentMS of the newest report that was answered with shares.
	confirmed  bool
	answeredMS int64
	// grants are the shares of the account limits sent that the router may hold besides those in its report, oldest
	// first.
	grants []shareGrant
}

// shareGrant holds shares of the account limits that were sent to a router, and the time at which their lease has
// ended on any clock within the allowed drift.
type shareGrant struct {
	shares  RouterShares
	expires time.Time
}

// StartLeadership starts a term of this process as leader and discards all reports and share grants of earlier terms.
func (d *Divider) StartLeadership(term uint64, now time.Time) {
	d.isLeader = true
	d.lastID = AccountShareID{Term: term}
	d.termStart, d.lastDivision = now, time.Time{}
	d.routers = table.Table[string, routerShareGrants]{}
}

// EndLeadership ends the process's term as leader.
func (d *Divider) EndLeadership() { d.isLeader = false }

// AddReport records a router's status report, unless it is older than the router's last one or this process is not the
// leader.
func (d *Divider) AddReport(r *RouterReport, now time.Time) {
	rg := d.routers.Get(r.Name)
	switch {
	case !d.isLeader:
		return
	case rg == nil:
		rg = d.routers.Put(r.Name, routerShareGrants{answeredMS: math.MinInt64})
	case !r.isNewerThan(&rg.report):
		return
	case rg.report.Incarnation != r.Incarnation:
		// The router process that held the earlier shares has ended.
		*rg = routerShareGrants{answeredMS: math.MinInt64}
	}
	rg.report, rg.received, rg.confirmed = *r, now, false
	rg.grants = slices.DeleteFunc(rg.grants, func(g shareGrant) bool { return g.shares.ID.Compare(r.ShareID) < 0 })
}

// ConfirmLeadership records that a quorum confirmed this process as leader in a round that started at the given time.
func (d *Divider) ConfirmLeadership(started time.Time) {
	d.routers.Each(func(_ string, rg *routerShareGrants) bool {
		rg.confirmed = rg.confirmed || rg.received.Before(started)
		return true
	})
}

// Divide divides the account limits among the routers and returns the shares to send to each. It returns nil if this
// process is not the leader, it last divided them less than Period ago, or the leases of an earlier leader may still
// run. The parameter routers holds the names of the routers that may run.
func (d *Divider) Divide(routers []string, now time.Time) []RouterShares {
	if !d.isLeader || now.Before(d.termStart.Add(d.maxLease())) || now.Sub(d.lastDivision) < orDefault(d.Period, DefaultDivisionPeriod) {
		return nil
	}
	d.lastDivision = now
	d.removeExpiredShareGrants(routers, now)
	a := d.newShareAllocation(now)
	var out []RouterShares
	d.routers.Each(func(name string, rg *routerShareGrants) bool {
		if rg.confirmed && rg.report.SentMS > rg.answeredMS && rg.hasRecentReport(now) {
			out = append(out, d.grantShares(name, rg, a, now))
		}
		return true
	})
	return out
}

// maxLease returns the longest time for which the lease of an extra share can last on a router's clock, as measured on
// the leader's clock.
func (d *Divider) maxLease() time.Duration {
	lease := orDefault(d.Lease, DefaultLease)
	return lease + time.Duration(float64(lease)*orDefault(d.ClockDrift, DefaultClockDrift))
}

// removeExpiredShareGrants takes back the extra shares of account limits whose lease has ended, by merging each
// router's expired grants into one that keeps only the floor. It removes routers that hold no lease and cannot run any
// more.
func (d *Divider) removeExpiredShareGrants(routers []string, now time.Time) {
	d.routers.Each(func(name string, rg *routerShareGrants) bool {
		rg.mergeExpiredGrants(now)
		leased := len(rg.grants) > 0 && now.Before(rg.grants[len(rg.grants)-1].expires)
		if !leased && !slices.Contains(routers, name) {
			d.routers.Delete(name)
		}
		return true
	})
}

// mergeExpiredGrants merges a router's share grants whose lease has ended into one without extra shares. It keeps the
// largest floor, because the router may still hold the floor of any of them.
func (rg *routerShareGrants) mergeExpiredGrants(now time.Time) {
	n := 0
	for n < len(rg.grants) && !now.Before(rg.grants[n].expires) {
		n++
	}
	if n == 0 {
		return
	}
	merged := rg.grants[n-1]
	merged.shares.Extra = nil
	for _, g := range rg.grants[:n] {
		merged.shares.Floor = max(merged.shares.Floor, g.shares.Floor)
	}
	rg.grants = append([]shareGrant{merged}, rg.grants[n:]...)
}

// shareAllocation is the sum of all routers' floors, share grants and demand in one division of the account limits.
type shareAllocation struct {
	// floor is the floor to be given to each router. raiseFloors means that the shares granted so far leave room to
	// raise lower floors to it.
	floor       int64
	raiseFloors bool
	// extraPool is the part of each account limit that is left for extra shares after all routers' floors. ungranted
	// is the part of the pool that is not granted yet, by account. demand is the total wanted tokens per second, by
	// account.
	extraPool int64
	ungranted map[string]int64
	demand    map[string]float64
}

// newShareAllocation computes the pool for extra shares of the account limits from the floors and grants of all
// routers.
func (d *Divider) newShareAllocation(now time.Time) *shareAllocation {
	reported := d.routers.Len()
	a := &shareAllocation{floor: floorShare(max(reported, d.MinRouters)), ungranted: make(map[string]int64), demand: make(map[string]float64)}
	a.extraPool = FullLimit - int64(max(0, d.MinRouters-reported))*a.floor
	granted := make(map[string]int64)
	d.routers.Each(func(_ string, rg *routerShareGrants) bool {
		a.extraPool -= max(rg.maxFloor(), a.floor)
		for account := range rg.grantedAccounts() {
			granted[account] += rg.maxExtra(account)
		}
		for account, want := range rg.report.Demand {
			if isValidDemand(want) && rg.hasRecentReport(now) {
				a.demand[account] += want
			}
		}
		return true
	})
	a.raiseFloors = a.extraPool >= 0
	a.extraPool = max(0, a.extraPool)
	for account, n := range granted {
		// Floors are raised only when the extra shares already granted still fit into the smaller pool.
		a.raiseFloors = a.raiseFloors && n <= a.extraPool
		a.ungranted[account] = a.extraPool - n
	}
	return a
}

// hasRecentReport reports whether the router's last report is recent enough for its demand to be used.
func (rg *routerShareGrants) hasRecentReport(now time.Time) bool {
	return now.Sub(rg.received) < DefaultLiveFor
}

// isValidDemand reports whether a router's demand for an account, in tokens per second, is a positive number; its upper
// bound keeps the sum over all routers finite.
func isValidDemand(want float64) bool { return want > 0 && want < 1e15 }

// maxFloor returns the largest floor, the share of each account limit without a lease, that the router may hold.
func (rg *routerShareGrants) maxFloor() int64 {
	largest := rg.report.ShareFloor
	for _, g := range rg.grants {
		largest = max(largest, g.shares.Floor)
	}
	return largest
}

// maxExtra returns the largest extra share of the account that the router may hold.
func (rg *routerShareGrants) maxExtra(account string) int64 {
	var largest int64
	for _, g := range rg.grants {
		largest = max(largest, g.shares.Extra[account])
	}
	return largest
}

// grantedAccounts returns the accounts of which the router may hold an extra share.
func (rg *routerShareGrants) grantedAccounts() map[string]bool {
	out := make(map[string]bool)
	for _, g := range rg.grants {
		for account := range g.shares.Extra {
			out[account] = true
		}
	}
	return out
}

// grantShares returns the shares of the account limits that answer a router's report, and records them as granted.
// Extra shares shrink immediately, but grow only as far as the pool for extra shares allows.
func (d *Divider) grantShares(name string, rg *routerShareGrants, a *shareAllocation, now time.Time) RouterShares {
	d.lastID.Sequence++
	s := RouterShares{Router: name, Incarnation: rg.report.Incarnation, ID: d.lastID, EchoMS: rg.report.SentMS, Floor: a.floor}
	if current := rg.maxFloor(); !a.raiseFloors && current < a.floor {
		s.Floor = current
	}
	for account, want := range rg.report.Demand {
		if !isValidDemand(want) {
			continue
		}
		extra := a.extraShare(account, want, rg.maxExtra(account))
		if extra <= 0 {
			continue
		}
		if s.Extra == nil {
			s.Extra = make(map[string]int64)
		}
		s.Extra[account] = extra
	}
	rg.answeredMS = rg.report.SentMS
	rg.grants = append(rg.grants, shareGrant{shares: s, expires: now.Add(d.maxLease())})
	return s
}

// extraShare returns a router's part of the pool for extra shares of an account's limit, in proportion to its demand.
// An increase over its current extra share is limited to what is not granted yet, and is deducted from that.
func (a *shareAllocation) extraShare(account string, want float64, current int64) int64 {
	target := min(a.extraPool, int64(float64(a.extraPool)*(want/a.demand[account])))
	if target <= current {
		return target
	}
	ungranted, ok := a.ungranted[account]
	if !ok {
		ungranted = a.extraPool
	}
	increase := max(0, min(target-current, ungranted))
	a.ungranted[account] = ungranted - increase
	return current + increase
}
