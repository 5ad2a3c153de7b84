package member

import (
	"math"
	"net/netip"
	"time"

	"wasabiweir/core/object"
	"wasabiweir/core/table"
)

// Default durations for tracking routers in a RouterTable.
const (
	// DefaultLiveFor is how long a router counts as live after a report. It spans six reports at two a second, and is
	// longer than the two seconds after which a lost connection is dialled again.
	DefaultLiveFor = 3 * time.Second
	// DefaultFreshFor is how long a router's configuration counts as fresh after a report that says so.
	DefaultFreshFor = 4 * time.Second
	// DefaultForgetAfter is how long after its last report a router that is not in the instance list may still run.
	DefaultForgetAfter = 30 * time.Second
	// AddressTTL is how long callers cache the router addresses that they were given.
	AddressTTL = 10 * time.Second
)

// MaxWeight and MinWeight bound the weight of a router's address. A fully loaded router still gets a tenth of the
// callers of an idle one, because its load may change within AddressTTL.
const (
	MaxWeight = 100
	MinWeight = 10
)

// RouterTable tracks the routers by name from their reports and the platform's instance list. It is not safe for
// concurrent use. Exported fields are set before the first call; zero values stand for the defaults above.
type RouterTable struct {
	LiveFor     time.Duration
	FreshFor    time.Duration
	ForgetAfter time.Duration

	routers table.Table[string, trackedRouter]
	// listed holds the entries of the platform's instance list by name.
	listed map[string]ListedInstance
	// leaving holds the addresses of the instances that are leaving, as the instance list gives them.
	leaving  map[string]bool
	lastPoll time.Time
}

// trackedRouter is the last report of a router and when it arrived, with the router's smoothed load.
type trackedRouter struct {
	report RouterReport
	// received is when the newest report arrived, and lastFresh when the newest report with Fresh set arrived.
	received  time.Time
	lastFresh time.Time
	// smoothedLoad is an exponential moving average of the reported load over AddressTTL. Without it, callers that
	// follow the same weights would all move from one router to another and back.
	smoothedLoad float64
}

// AddReport records a router's status report and reports whether it is newer than the router's last one.
func (t *RouterTable) AddReport(r *RouterReport, now time.Time) bool {
	known := t.routers.Get(r.Name)
	if known != nil && !r.isNewerThan(&known.report) {
		return false
	}
	next := trackedRouter{report: *r, received: now, smoothedLoad: r.Load}
	if known != nil && known.report.Incarnation == r.Incarnation {
		next.lastFresh = known.lastFresh
		next.smoothedLoad = smoothLoad(known.smoothedLoad, r.Load, now.Sub(known.received))
	}
	if r.Fresh {
		next.lastFresh = now
	}
	t.routers.Put(r.Name, next)
	return true
}

// smoothLoad returns the exponential moving average of a router's load after a new sample, with the time constant
// AddressTTL.
func smoothLoad(old, sample float64, elapsed time.Duration) float64 {
	oldWeight := math.Exp(-elapsed.Seconds() / AddressTTL.Seconds())
	return sample + (old-sample)*oldWeight
}

// SetInstances replaces the platform's instance list by the entries polled at the given time, unless they are older
// than the current ones.
func (t *RouterTable) SetInstances(entries []ListedInstance, polled time.Time) {
	if !polled.After(t.lastPoll) {
		return
	}
	t.lastPoll = polled
	t.listed = make(map[string]ListedInstance, len(entries))
	t.leaving = make(map[string]bool)
	for _, e := range entries {
		t.listed[e.Name] = e
		if e.State == StateLeaving {
			t.leaving[e.Address] = true
		}
	}
}

// IsLeaving reports whether the platform's instance list marks the address as leaving. The list may give an instance's
// IP address with or without a port.
func (t *RouterTable) IsLeaving(address string) bool {
	if t.leaving[address] {
		return true
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && t.leaving[a.Addr().String()]
}

// RemoveGoneRouters removes the routers that cannot run any more: those that are not in the platform's instance list
// and have not reported for ForgetAfter.
func (t *RouterTable) RemoveGoneRouters(now time.Time) {
	t.routers.Each(func(name string, r *trackedRouter) bool {
		if _, ok := t.listed[name]; !ok && now.Sub(r.received) >= orDefault(t.ForgetAfter, DefaultForgetAfter) {
			t.routers.Delete(name)
		}
		return true
	})
}

// Instance is the state of a router in a RouterTable.
type Instance struct {
	Report RouterReport
	// Live means that the router reported recently; a router that is not live may still run.
	Live bool
	// Fresh means that the router is live and its configuration was recently confirmed as the current one.
	Fresh bool
	// Leaving means that the router is draining or its instance is leaving.
	Leaving bool
}

// Instances returns the routers that may run, in the order of their names.
func (t *RouterTable) Instances(now time.Time) []Instance {
	t.RemoveGoneRouters(now)
	out := make([]Instance, 0, t.routers.Len())
	t.routers.Each(func(name string, r *trackedRouter) bool {
		live := now.Sub(r.received) < orDefault(t.LiveFor, DefaultLiveFor)
		out = append(out, Instance{
			Report: r.report, Live: live,
			Fresh:   live && !r.lastFresh.IsZero() && now.Sub(r.lastFresh) < orDefault(t.FreshFor, DefaultFreshFor),
			Leaving: r.report.Draining || t.listed[name].State == StateLeaving || t.IsLeaving(r.report.Address),
		})
		return true
	})
	return out
}

// Names returns the names of the routers that may run, in ascending order.
func (t *RouterTable) Names(now time.Time) []string {
	t.RemoveGoneRouters(now)
	return t.routers.Keys()
}

// RouterAddress is one entry of the list of router addresses that callers get.
type RouterAddress struct {
	Address string `json:"address"`
	// Weight divided by the sum of all entries' weights is the part of new connections that the address should get.
	Weight int    `json:"weight"`
	Domain string `json:"domain"`
}

// Addresses returns the router addresses that callers should use: those of live routers that are not leaving, limited
// to routers with a fresh configuration if there are any.
func (t *RouterTable) Addresses(now time.Time) []RouterAddress {
	var all, fresh []RouterAddress
	for _, i := range t.Instances(now) {
		if !i.Live || i.Leaving {
			continue
		}
		a := RouterAddress{Address: i.Report.Address, Weight: addressWeight(t.routers.Get(i.Report.Name).smoothedLoad), Domain: i.Report.Domain}
		all = append(all, a)
		if i.Fresh {
			fresh = append(fresh, a)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return all
}

// addressWeight returns the weight of a router's address in callers' choice, from MinWeight to MaxWeight, for the load
// of the router.
func addressWeight(load float64) int {
	// The negated comparison also gives NaN the lowest weight.
	if !(load >= 0) {
		return MinWeight
	}
	return max(MinWeight, int(MaxWeight*(1-min(load, 1))))
}

// UnconfirmedRouter is a router that has not yet confirmed a revision of the configuration.
type UnconfirmedRouter struct {
	Name string `json:"name"`
	// Revision is the configuration revision in the router's last report.
	Revision uint64 `json:"revision"`
	// Live means that the router reported recently.
	Live bool `json:"live"`
	// OtherDigest means that the router has this configuration revision with a different digest.
	OtherDigest bool `json:"other-digest,omitempty"`
}

// UnconfirmedRouters returns the routers that may run and have applied neither the configuration revision with the
// digest nor a later one.
func (t *RouterTable) UnconfirmedRouters(revision uint64, digest object.Digest, now time.Time) []UnconfirmedRouter {
	var out []UnconfirmedRouter
	for _, i := range t.Instances(now) {
		r := &i.Report
		if r.Revision > revision || r.Revision == revision && r.Digest == digest {
			continue
		}
		out = append(out, UnconfirmedRouter{Name: r.Name, Revision: r.Revision, Live: i.Live, OtherDigest: r.Revision == revision})
	}
	return out
}

// orDefault returns v, or the fallback if v is the zero value.
func orDefault[V comparable](v, fallback V) V {
	var zero V
	if v == zero {
		return fallback
	}
	return v
}
