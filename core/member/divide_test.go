package member

import (
	"fmt"
	"testing"
	"time"

	"wasabiweir/core/codec"
	"wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// t0 is the true time at which the simulations begin.
var t0 = time.UnixMilli(1_800_000_000_000)

// testRouter is a simulated router whose clock has its own offset and speed.
type testRouter struct {
	name        string
	clockOffset time.Duration
	clockSpeed  float64
	holder      ShareHolder
}

// localTime returns what the router's clock shows at the true time now.
func (n *testRouter) localTime(now time.Time) time.Time {
	return t0.Add(n.clockOffset + time.Duration(float64(now.Sub(t0))*n.clockSpeed))
}

// newReport returns a report that the router sends at the true time now.
func (n *testRouter) newReport(now time.Time, demand map[string]float64) *RouterReport {
	r := &RouterReport{Name: n.name, SentMS: n.localTime(now).UnixMilli(), Demand: demand}
	n.holder.FillReport(r)
	return r
}

// simulation is a set of routers, the leader, and the former leader, which may not know yet that it was replaced. It
// keeps all messages, so that they can arrive late, twice, out of order or never.
type simulation struct {
	now          time.Time
	routers      []*testRouter
	names        []string
	leader       *Divider
	formerLeader *Divider
	electedAt    time.Time
	sentReports  []*RouterReport
	sentShares   []RouterShares
}

// newSimulation returns a simulation of n routers with exact clocks and a leader of term 1.
func newSimulation(n, minRouters int) *simulation {
	r := &simulation{now: t0, leader: &Divider{MinRouters: minRouters}, formerLeader: &Divider{}}
	r.leader.StartLeadership(1, t0)
	for i := range n {
		name := fmt.Sprint("r", i)
		r.names = append(r.names, name)
		r.routers = append(r.routers, &testRouter{name: name, clockSpeed: 1, holder: ShareHolder{Incarnation: 1}})
	}
	return r
}

// electLeader starts a new leader; the previous one becomes the former leader.
func (r *simulation) electLeader(term uint64) {
	r.formerLeader, r.leader = r.leader, &Divider{MinRouters: r.leader.MinRouters}
	r.electedAt = r.now
	r.leader.StartLeadership(term, r.now)
}

// shareSum returns the sum of all routers' shares of the account.
func (r *simulation) shareSum(account string) int64 {
	var sum int64
	for _, n := range r.routers {
		sum += n.holder.ShareOf(account, n.localTime(r.now))
	}
	return sum
}

// deliver hands the shares to the router for which they are meant.
func (r *simulation) deliver(s *RouterShares) {
	for _, n := range r.routers {
		if n.name == s.Router {
			n.holder.Apply(s, n.localTime(r.now))
		}
	}
}

// advanceSecond advances the time by a second, in which each router but the isolated one reports and gets its shares.
func (r *simulation) advanceSecond(demand map[string]map[string]float64, isolated string) {
	r.now = r.now.Add(time.Second)
	for _, n := range r.routers {
		if n.name != isolated {
			r.leader.AddReport(n.newReport(r.now, demand[n.name]), r.now)
		}
	}
	r.leader.ConfirmLeadership(r.now.Add(time.Millisecond))
	for _, s := range r.leader.Divide(r.names, r.now) {
		r.deliver(&s)
	}
}

// Guards against shares that add up to more than an account's limit. Routers start late, restart, stop reporting and
// have wrong clocks; messages are lost, delayed, repeated and reordered; and two processes act as leader at the same
// time.
func TestSumOfSharesNeverAboveTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "routers")
		r := newSimulation(n, n)
		for _, x := range r.routers {
			x.clockOffset = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second
			x.clockSpeed = rapid.Float64Range(0.95, 1.05).Draw(t, "speed")
			x.holder.Routers = rapid.SampledFrom([]int{0, n}).Draw(t, "expected")
		}
		r.now = r.now.Add(10 * time.Second)
		x := &randomRun{simulation: r, t: t, term: 1}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			x.step()
			for _, a := range []string{"a", "b"} {
				if sum := r.shareSum(a); sum > FullLimit {
					t.Fatalf("the shares of account %s add up to %d of %d after %v", a, sum, FullLimit, r.now.Sub(t0))
				}
			}
		}
	})
}

// randomRun applies random events to a simulation.
type randomRun struct {
	*simulation
	t    *rapid.T
	term uint64
}

// oneIn returns true with a probability of 1/n.
func (x *randomRun) oneIn(n int, label string) bool {
	return rapid.IntRange(1, n).Draw(x.t, label) == 1
}

// step advances the time and applies random restarts, reports, elections and deliveries.
func (x *randomRun) step() {
	x.now = x.now.Add(time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 1000, 2500}).Draw(x.t, "ms")) * time.Millisecond)
	for _, n := range x.routers {
		if x.oneIn(25, "restart") {
			n.holder = ShareHolder{Incarnation: n.holder.Incarnation + 1, Routers: n.holder.Routers}
		}
		if !x.oneIn(4, "silent") {
			x.sendReport(n)
		}
	}
	if x.oneIn(20, "elected") {
		x.term++
		x.electLeader(x.term)
	}
	if n := len(x.sentReports); n > 0 && x.oneIn(2, "late report") {
		x.randomLeader().AddReport(x.sentReports[n-1-rapid.IntRange(0, min(n-1, 15)).Draw(x.t, "back")], x.now)
	}
	x.leader.ConfirmLeadership(x.now)
	// A quorum cannot confirm the former leader in rounds that start after it was replaced.
	x.formerLeader.ConfirmLeadership(x.electedAt)
	for _, d := range []*Divider{x.leader, x.formerLeader} {
		for _, s := range d.Divide(x.names, x.now) {
			x.sentShares = append(x.sentShares, s)
			if !x.oneIn(3, "late") {
				x.deliver(&s)
			}
		}
	}
	for n := len(x.sentShares); n > 0 && !x.oneIn(5, "no late shares"); {
		x.deliver(&x.sentShares[n-1-rapid.IntRange(0, min(n-1, 25)).Draw(x.t, "back")])
	}
}

// randomLeader returns the leader or, less often, the former leader.
func (x *randomRun) randomLeader() *Divider {
	if x.oneIn(4, "former") {
		return x.formerLeader
	}
	return x.leader
}

// sendReport makes a router send a report with random demand, which may be delayed.
func (x *randomRun) sendReport(n *testRouter) {
	demand := map[string]float64{}
	for _, a := range []string{"a", "b"} {
		demand[a] = float64(rapid.SampledFrom([]int{0, 0, 1, 9}).Draw(x.t, "demand"))
	}
	r := n.newReport(x.now, demand)
	x.sentReports = append(x.sentReports, r)
	if !x.oneIn(4, "late") {
		x.randomLeader().AddReport(r, x.now)
	}
}

// Guards against a partitioned router that keeps its extra share beyond the lease, against that share remaining
// unusable for other routers, and against shares that do not follow demand.
func TestPartitionedRouterFallsBack(t *testing.T) {
	r := newSimulation(4, 4)
	demand := map[string]map[string]float64{"r0": {"vets": 30}, "r1": {"vets": 10}}
	for range 12 {
		r.advanceSecond(demand, "")
	}
	const floor = FullLimit / 8
	parts := func() (out [4]int64) {
		for i, n := range r.routers {
			out[i] = n.holder.ShareOf("vets", n.localTime(r.now))
		}
		return out
	}
	if want := [4]int64{floor + FullLimit*3/8, floor + FullLimit/8, floor, floor}; parts() != want {
		t.Fatalf("parts %v, want %v", parts(), want)
	}
	if rate := r.routers[0].holder.ScaleLimit("vets", 800, r.routers[0].localTime(r.now)); rate != 400 {
		t.Fatalf("rate %v of 800", rate)
	}
	for i := range 9 {
		r.advanceSecond(demand, "r0")
		if isFloor := parts()[0] == floor; isFloor != (i >= 4) {
			t.Fatalf("the isolated router has %d after %d s", parts()[0], i+1)
		}
		prop.FailIf(t, r.shareSum("vets") > FullLimit, "the parts %v are above the limit", parts())
	}
	if want := [4]int64{floor, floor + FullLimit/2, floor, floor}; parts() != want {
		t.Fatalf("parts %v after the lease, want %v", parts(), want)
	}
	prop.FailIf(t, r.leader.Divide(r.names, r.now.Add(999*time.Millisecond)) != nil, "shares move more than once a second")
}

// Guards against floors that stay too high or too low when routers are added and removed, and against floors that are
// raised while the extra shares granted leave no room for it. The router with the extra shares is isolated at times.
func TestFloorsFollowTheNumberOfRouters(t *testing.T) {
	r := newSimulation(5, 4)
	all, names := r.routers, r.names
	demand := map[string]map[string]float64{"r0": {"vets": 1}}
	for _, step := range []struct{ routers, floor int }{{4, FullLimit / 8}, {5, FullLimit / 16}, {4, FullLimit / 8}} {
		r.routers, r.names = all[:step.routers], names[:step.routers]
		for i := range 28 {
			isolated := ""
			if i%8 >= 4 {
				isolated = "r0"
			}
			r.advanceSecond(demand, isolated)
			prop.FailIf(t, r.shareSum("vets") > FullLimit, "the parts are above the limit: %d", r.shareSum("vets"))
		}
		for _, n := range r.routers {
			prop.FailIf(t, n.holder.Floor() != int64(step.floor), "floor %d of %s, want %d", n.holder.Floor(), n.name, step.floor)
		}
	}
}

// Guards against floors that add up to more than the limit when each router is isolated soon after it was added.
func TestFloorsOfRoutersThatAreCutOff(t *testing.T) {
	r := newSimulation(16, 1)
	all := r.routers
	r.now = r.now.Add(10 * time.Second)
	for i := range all {
		r.routers = all[i : i+1]
		for range 3 {
			r.advanceSecond(nil, "")
		}
		r.routers = all
		if sum := r.shareSum("vets"); sum > FullLimit {
			t.Fatalf("the floors of %d routers add up to %d of %d", i+1, sum, FullLimit)
		}
	}
}

// Guards against applying shares whose lease has already ended, and against a leader that forgets the larger of two
// floors that a router may hold.
func TestExpiredLeases(t *testing.T) {
	h := ShareHolder{Incarnation: 1, Routers: 4}
	s := RouterShares{Incarnation: 1, ID: AccountShareID{1, 1}, EchoMS: t0.UnixMilli(), Floor: FullLimit}
	prop.FailIf(t, h.Apply(&s, t0.Add(DefaultLease)) || h.Floor() != FullLimit/8, "floor %d from shares whose lease has ended", h.Floor())
	rg := routerShareGrants{grants: []shareGrant{{RouterShares{Floor: 5, Extra: map[string]int64{"vets": 9}}, t0}, {RouterShares{Floor: 3}, t0}}}
	rg.mergeExpiredGrants(t0)
	prop.FailIf(t, rg.maxFloor() != 5 || rg.maxExtra("vets") != 0 || len(rg.grants) != 1, "grants %+v after their lease", rg.grants)
}

// BenchmarkDivideAtTargetSize measures one division among 320 routers, each with requests of 100 of 830 accounts.
func BenchmarkDivideAtTargetSize(b *testing.B) {
	r := newSimulation(320, 320)
	demand := map[string]map[string]float64{}
	for i, n := range r.routers {
		demand[n.name] = map[string]float64{}
		for k := range 100 {
			demand[n.name][fmt.Sprint("account-", (i*7+k)%830)] = float64(1 + k%9)
		}
	}
	r.now = r.now.Add(10 * time.Second)
	var bytes int
	for b.Loop() {
		r.advanceSecond(demand, "")
	}
	for _, n := range r.routers {
		data, err := codec.Encode(&n.holder.shares)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(data)
	}
	b.ReportMetric(float64(bytes)/float64(len(r.routers)), "bytes/router")
}
