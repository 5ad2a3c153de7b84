package member

import (
	"fmt"
	"testing"
	"time"

	"wasabiweir/core/codec"
	"wasabiweir/core/prop"

	"pgregory.net/rapid"
)

var t0 = time.UnixMilli(1_800_000_000_000)

// node is a router with a clock of its own offset and speed.
type node struct {
	name   string
	offset time.Duration
	speed  float64
	holder Holder
}

func (n *node) clock(now time.Time) time.Time {
	return t0.Add(n.offset + time.Duration(float64(now.Sub(t0))*n.speed))
}

func (n *node) report(now time.Time, demand map[string]float64) *Report {
	r := &Report{Name: n.name, SentMS: n.clock(now).UnixMilli(), Demand: demand}
	n.holder.Fill(r)
	return r
}

// shareRun is a set of routers, a leader, the leader before it, which may not know that it was replaced, and messages
// that arrive late, twice, out of order or never.
type shareRun struct {
	now     time.Time
	nodes   []*node
	names   []string
	current *Divider
	former  *Divider
	began   time.Time
	reports []*Report
	shares  []Shares
}

func newShareRun(n, minRouters int) *shareRun {
	r := &shareRun{now: t0, current: &Divider{MinRouters: minRouters}, former: &Divider{}}
	r.current.Lead(1, t0)
	for i := range n {
		name := fmt.Sprint("r", i)
		r.names = append(r.names, name)
		r.nodes = append(r.nodes, &node{name: name, speed: 1, holder: Holder{Incarnation: 1}})
	}
	return r
}

func (r *shareRun) lead(term uint64) {
	r.former, r.current = r.current, &Divider{MinRouters: r.current.MinRouters}
	r.began = r.now
	r.current.Lead(term, r.now)
}

func (r *shareRun) sum(account string) int64 {
	var sum int64
	for _, n := range r.nodes {
		sum += n.holder.Part(account, n.clock(r.now))
	}
	return sum
}

func (r *shareRun) deliver(s *Shares) {
	for _, n := range r.nodes {
		if n.name == s.Router {
			n.holder.Apply(s, n.clock(r.now))
		}
	}
}

// second passes a second in which each node that cut does not name reports and gets its shares.
func (r *shareRun) second(demand map[string]map[string]float64, cut string) {
	r.now = r.now.Add(time.Second)
	for _, n := range r.nodes {
		if n.name != cut {
			r.current.Report(n.report(r.now, demand[n.name]), r.now)
		}
	}
	r.current.Confirm(r.now.Add(time.Millisecond))
	for _, s := range r.current.Divide(r.names, r.now) {
		r.deliver(&s)
	}
}

// Guards against shares whose sum is above an account's limit, with routers that come late, restart, pause or are cut
// off, with messages that are lost, late, repeated or out of order, and with two leaders at once.
func TestSumOfSharesNeverAboveTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "routers")
		r := newShareRun(n, n)
		for _, x := range r.nodes {
			x.offset = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second
			x.speed = rapid.Float64Range(0.95, 1.05).Draw(t, "speed")
			x.holder.Routers = rapid.SampledFrom([]int{0, n}).Draw(t, "expected")
		}
		r.now = r.now.Add(10 * time.Second)
		x := &interleaving{shareRun: r, t: t, term: 1}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			x.step()
			for _, a := range []string{"a", "b"} {
				if sum := r.sum(a); sum > Whole {
					t.Fatalf("the shares of account %s sum to %d of %d after %v", a, sum, Whole, r.now.Sub(t0))
				}
			}
		}
	})
}

// interleaving draws what happens to a shareRun.
type interleaving struct {
	*shareRun
	t    *rapid.T
	term uint64
}

func (x *interleaving) once(in int, what string) bool {
	return rapid.IntRange(1, in).Draw(x.t, what) == 1
}

func (x *interleaving) step() {
	x.now = x.now.Add(time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 1000, 2500}).Draw(x.t, "ms")) * time.Millisecond)
	for _, n := range x.nodes {
		if x.once(25, "restart") {
			n.holder = Holder{Incarnation: n.holder.Incarnation + 1, Routers: n.holder.Routers}
		}
		if !x.once(4, "silent") {
			x.report(n)
		}
	}
	if x.once(20, "elected") {
		x.term++
		x.lead(x.term)
	}
	if n := len(x.reports); n > 0 && x.once(2, "late report") {
		x.leader().Report(x.reports[n-1-rapid.IntRange(0, min(n-1, 15)).Draw(x.t, "back")], x.now)
	}
	x.current.Confirm(x.now)
	// The former leader can not be confirmed by rounds that it starts after it was replaced.
	x.former.Confirm(x.began)
	for _, d := range []*Divider{x.current, x.former} {
		for _, s := range d.Divide(x.names, x.now) {
			x.shares = append(x.shares, s)
			if !x.once(3, "late") {
				x.deliver(&s)
			}
		}
	}
	for n := len(x.shares); n > 0 && !x.once(5, "no late shares"); {
		x.deliver(&x.shares[n-1-rapid.IntRange(0, min(n-1, 25)).Draw(x.t, "back")])
	}
}

func (x *interleaving) leader() *Divider {
	if x.once(4, "former") {
		return x.former
	}
	return x.current
}

func (x *interleaving) report(n *node) {
	demand := map[string]float64{}
	for _, a := range []string{"a", "b"} {
		demand[a] = float64(rapid.SampledFrom([]int{0, 0, 1, 9}).Draw(x.t, "demand"))
	}
	r := n.report(x.now, demand)
	x.reports = append(x.reports, r)
	if !x.once(4, "late") {
		x.leader().Report(r, x.now)
	}
}

// Guards against a partitioned router that keeps its share, or whose share nobody else can use afterwards, and against
// shares that do not follow the demand.
func TestPartitionedRouterFallsBack(t *testing.T) {
	r := newShareRun(4, 4)
	demand := map[string]map[string]float64{"r0": {"vets": 30}, "r1": {"vets": 10}}
	for range 12 {
		r.second(demand, "")
	}
	const floor = Whole / 8
	parts := func() (out [4]int64) {
		for i, n := range r.nodes {
			out[i] = n.holder.Part("vets", n.clock(r.now))
		}
		return out
	}
	if want := [4]int64{floor + Whole*3/8, floor + Whole/8, floor, floor}; parts() != want {
		t.Fatalf("parts %v, want %v", parts(), want)
	}
	if rate := r.nodes[0].holder.Of("vets", 800, r.nodes[0].clock(r.now)); rate != 400 {
		t.Fatalf("rate %v of 800", rate)
	}
	for i := range 9 {
		r.second(demand, "r0")
		if cut := parts()[0] == floor; cut != (i >= 4) {
			t.Fatalf("the router that is cut off has %d after %d s", parts()[0], i+1)
		}
		prop.FailIf(t, r.sum("vets") > Whole, "the parts %v are above the limit", parts())
	}
	if want := [4]int64{floor, floor + Whole/2, floor, floor}; parts() != want {
		t.Fatalf("parts %v after the lease, want %v", parts(), want)
	}
	prop.FailIf(t, r.current.Divide(r.names, r.now.Add(999*time.Millisecond)) != nil, "shares move more than once a second")
}

// Guards against floors that stay too high or too low when routers are added and removed, or that are raised before the
// extras that are granted leave room for them, while the router with the extras is cut off at times.
func TestFloorsFollowTheNumberOfRouters(t *testing.T) {
	r := newShareRun(5, 4)
	all, names := r.nodes, r.names
	demand := map[string]map[string]float64{"r0": {"vets": 1}}
	for _, step := range []struct{ routers, floor int }{{4, Whole / 8}, {5, Whole / 16}, {4, Whole / 8}} {
		r.nodes, r.names = all[:step.routers], names[:step.routers]
		for i := range 28 {
			cut := ""
			if i%8 >= 4 {
				cut = "r0"
			}
			r.second(demand, cut)
			prop.FailIf(t, r.sum("vets") > Whole, "the parts are above the limit: %d", r.sum("vets"))
		}
		for _, n := range r.nodes {
			prop.FailIf(t, n.holder.Floor() != int64(step.floor), "floor %d of %s, want %d", n.holder.Floor(), n.name, step.floor)
		}
	}
}

// Guards against floors that sum to more than the limit when each router is cut off soon after it was added.
func TestFloorsOfRoutersThatAreCutOff(t *testing.T) {
	r := newShareRun(16, 1)
	all := r.nodes
	r.now = r.now.Add(10 * time.Second)
	for i := range all {
		r.nodes = all[i : i+1]
		for range 3 {
			r.second(nil, "")
		}
		r.nodes = all
		if sum := r.sum("vets"); sum > Whole {
			t.Fatalf("the floors of %d routers sum to %d of %d", i+1, sum, Whole)
		}
	}
}

// Guards against shares that come into effect after their lease, and against a leader that forgets the larger of two
// floors that a router may hold.
func TestEndedLeases(t *testing.T) {
	h := Holder{Incarnation: 1, Routers: 4}
	s := Shares{Incarnation: 1, ID: ShareID{1, 1}, EchoMS: t0.UnixMilli(), Floor: Whole}
	prop.FailIf(t, h.Apply(&s, t0.Add(DefaultLease)) || h.Floor() != Whole/8, "floor %d from shares whose lease has ended", h.Floor())
	g := grantee{sent: []grant{{Shares{Floor: 5, Extra: map[string]int64{"vets": 9}}, t0}, {Shares{Floor: 3}, t0}}}
	g.lapse(t0)
	prop.FailIf(t, g.mayHoldFloor() != 5 || g.mayHoldExtra("vets") != 0 || len(g.sent) != 1, "grants %+v after their lease", g.sent)
}

// BenchmarkDivideAtTargetSize measures one division over 320 routers, each with requests of 100 of 830 accounts.
func BenchmarkDivideAtTargetSize(b *testing.B) {
	r := newShareRun(320, 320)
	demand := map[string]map[string]float64{}
	for i, n := range r.nodes {
		demand[n.name] = map[string]float64{}
		for k := range 100 {
			demand[n.name][fmt.Sprint("account-", (i*7+k)%830)] = float64(1 + k%9)
		}
	}
	r.now = r.now.Add(10 * time.Second)
	var bytes int
	for b.Loop() {
		r.second(demand, "")
	}
	for _, n := range r.nodes {
		data, err := codec.Encode(&n.holder.shares)
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(data)
	}
	b.ReportMetric(float64(bytes)/float64(len(r.nodes)), "bytes/router")
}
