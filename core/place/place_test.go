package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// newTable returns a table of n model engines in three failure domains.
func newTable(n int) *Table {
	t := &Table{Rand: rand.New(rand.NewPCG(1, 1)), index: -1}
	t.Update(engines(n))
	return t
}

func engines(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{
			ID: fmt.Sprintf("e%02d", i), Service: "m", Domain: fmt.Sprintf("d%d", i%3), Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 64,
		})
	}
	return list
}

// Guards against two prompts on one engine while another one is idle.
func TestPromptsAreSpread(t *testing.T) {
	x := newTable(12)
	seen := map[string]bool{}
	for range 12 {
		e, ok := x.Choose(Want{Service: "m", Model: true}, start)
		if !ok || seen[e.ID] {
			t.Fatalf("engine %q is chosen twice (or none: %v)", e.ID, !ok)
		}
		seen[e.ID] = true
		x.Began(e.ID, true)
	}
}

// Replays the load of the calm day's peak: eight relays that see only their own prompts, eleven prompts a second that
// take a second each, before 36 engines. Guards against more than three prompts on one engine, which pause its streams
// for over 0.7 s.
func TestRelaysDoNotCollide(t *testing.T) {
	const relays, rate, seconds = 8, 11, 60
	tables := make([]*Table, relays)
	for i := range tables {
		tables[i] = newTable(36)
		tables[i].Rand = rand.New(rand.NewPCG(uint64(i), 7))
		tables[i].Divide(i, relays)
	}
	rng := rand.New(rand.NewPCG(3, 3))
	type prompt struct {
		relay int
		id    string
		ends  int
	}
	var reading []prompt
	most, over := 0, 0
	for tick := range seconds * rate {
		kept := reading[:0]
		for _, p := range reading {
			if p.ends > tick {
				kept = append(kept, p)
				continue
			}
			tables[p.relay].Read(p.id)
			tables[p.relay].Ended(p.id)
		}
		reading = kept
		r := rng.IntN(relays)
		e, _ := tables[r].Choose(Want{Service: "m", Model: true}, start)
		tables[r].Began(e.ID, true)
		reading = append(reading, prompt{r, e.ID, tick + rate})
		count := map[string]int{}
		for _, p := range reading {
			count[p.id]++
			most = max(most, count[p.id])
		}
		for _, n := range count {
			if n > 1 {
				over++
			}
		}
	}
	if most > 3 {
		t.Errorf("%d prompts met on one engine, want at most 3", most)
	}
	t.Logf("%d of %d ticks saw two prompts on an engine", over, seconds*rate)
}

// Guards against a division that gives an engine to no relay or to two, and one that leaves a relay without engines of
// a failure domain.
func TestDivision(t *testing.T) {
	const relays = 8
	owners := map[string]int{}
	for i := range relays {
		x := newTable(24)
		x.Divide(i, relays)
		domains := map[string]int{}
		x.rows.Each(func(id string, r *row) bool {
			if r.bias == 0 {
				owners[id]++
				domains[r.Domain]++
			}
			return true
		})
		if len(domains) != 3 {
			t.Errorf("relay %d prefers engines of %v only", i, domains)
		}
	}
	for id, n := range owners {
		if n != 1 {
			t.Errorf("engine %s is preferred by %d relays", id, n)
		}
	}
	if len(owners) != 24 {
		t.Errorf("%d engines have a relay, want 24", len(owners))
	}
}

// Guards against prompts that are sent to the rest of a failure domain which is just crashing.
func TestCrashingDomainIsSuspect(t *testing.T) {
	x := newTable(24)
	for _, id := range []string{"e00", "e03"} {
		x.Failed(id, true, start)
	}
	for range 16 {
		e, _ := x.Choose(Want{Service: "m", Model: true}, start.Add(time.Second))
		x.Began(e.ID, true)
		if e.Domain == "d0" {
			t.Fatalf("%s of the suspect domain is chosen while others are idle", e.ID)
		}
	}
	e, ok := x.Choose(Want{Service: "m", Model: true, Not: ids(x, "d1", "d2")}, start.Add(time.Second))
	if !ok || e.Domain != "d0" {
		t.Error("the rest of a suspect domain must serve when there is nothing else")
	}
}

func ids(x *Table, domains ...string) map[string]bool {
	out := map[string]bool{}
	x.rows.Each(func(id string, r *row) bool {
		for _, d := range domains {
			out[id] = out[id] || r.Domain == d
		}
		return true
	})
	return out
}

// Guards against a copy in the failure domain of its run, and on an engine that is down.
func TestHolderIsInAnotherDomain(t *testing.T) {
	x := newTable(6)
	x.Failed("e01", true, start)
	for range 50 {
		h, ok := x.Holder(Endpoint{ID: "e00", Service: "m", Domain: "d0"}, "", start)
		if !ok || h.Domain == "d0" || h.ID == "e01" {
			t.Fatalf("holder is %+v (%v)", h, ok)
		}
		x.Copied(h.ID, 1)
	}
	for id, in := range ids(x, "d1", "d2") {
		if in {
			x.Gone(id, start)
		}
	}
	if _, ok := x.Holder(Endpoint{ID: "e00", Service: "m", Domain: "d0"}, "", start); ok {
		t.Error("a holder in the run's own domain is chosen")
	}
}

// Guards against a copy in the domain whose crash has just cost the stream its engine, when no other loss is known yet.
func TestHolderIsNotInTheLostDomain(t *testing.T) {
	x := newTable(9)
	for range 50 {
		h, ok := x.Holder(Endpoint{ID: "e00", Service: "m", Domain: "d0"}, "d1", start)
		if !ok || h.Domain != "d2" {
			t.Fatalf("holder is %+v (%v), want one in d2", h, ok)
		}
		x.Copied(h.ID, 1)
	}
	for id, in := range ids(x, "d2") {
		if in {
			x.Gone(id, start)
		}
	}
	if h, ok := x.Holder(Endpoint{ID: "e00", Service: "m", Domain: "d0"}, "d1", start); !ok || h.Domain != "d1" {
		t.Errorf("holder is %+v (%v), want one in d1 if there is no other", h, ok)
	}
}

// Guards against a holder that is passed over because it refused something for lack of room, or because it leaves.
func TestFullHolderLives(t *testing.T) {
	x := newTable(3)
	x.Full("e00", time.Second, start)
	if !x.Lives("e00", start) {
		t.Error("a full endpoint counts as down")
	}
	if e, _ := x.Choose(Want{Service: "m", Model: true}, start); e.ID == "e00" {
		t.Error("a full endpoint is chosen")
	}
	list := engines(3)
	list[1].Draining = true
	x.Update(list)
	if !x.Lives("e01", start) {
		t.Error("a draining endpoint counts as down")
	}
	if e, ok := x.Choose(Want{Service: "m", Model: true, Not: map[string]bool{"e02": true}}, start); ok {
		t.Errorf("%s is chosen, want none", e.ID)
	}
}

func TestSuspension(t *testing.T) {
	x := newTable(3)
	if d := x.Failed("e00", false, start); d != firstSuspension {
		t.Errorf("first suspension is %s", d)
	}
	if d := x.Failed("e00", false, start.Add(100*time.Millisecond)); d != firstSuspension-100*time.Millisecond {
		t.Errorf("a failure during the suspension extends it to %s", d)
	}
	if d := x.Failed("e00", false, start.Add(time.Second)); d != 2*firstSuspension {
		t.Errorf("second suspension is %s", d)
	}
	if x.Lives("e00", start.Add(time.Second)) {
		t.Error("a suspended endpoint counts as alive")
	}
	x.Served("e00")
	if !x.Lives("e00", start.Add(time.Second)) {
		t.Error("an endpoint that served counts as down")
	}
	x.Gone("e00", start)
	if x.Lives("e00", start.Add(goneFor-1)) {
		t.Error("an endpoint whose address another one has counts as alive")
	}
	if !x.Lives("e00", start.Add(goneFor)) {
		t.Error("an endpoint that started again under its id never gets anything")
	}
}

// Guards against rows of endpoints that restarted under other ids, which would pile up.
func TestUnlistedRowsGo(t *testing.T) {
	x := newTable(3)
	x.Began("e00", true)
	x.Update([]Endpoint{{ID: "new", Service: "m", Domain: "d0"}})
	if x.rows.Len() != 2 {
		t.Errorf("%d rows, want the new one and the one that runs a request", x.rows.Len())
	}
	if _, ok := x.Get("e00"); ok {
		t.Error("an unlisted endpoint is returned")
	}
	x.Ended("e00")
	x.Update([]Endpoint{{ID: "new", Service: "m", Domain: "d0"}})
	if x.rows.Len() != 1 {
		t.Errorf("%d rows, want one", x.rows.Len())
	}
}

// Guards against plain requests that go to an endpoint which says that it is loaded or slow.
func TestPlainRequestsFollowReportedLoad(t *testing.T) {
	x := &Table{Rand: rand.New(rand.NewPCG(1, 1))}
	x.Update([]Endpoint{{ID: "a", Service: "p", Slots: 6}, {ID: "b", Service: "p", Slots: 6}, {ID: "c", Service: "p", Slots: 6}})
	x.Loaded("a", Load{Running: 6, Waiting: 4, Slots: 6, Slowness: 1}, start)
	x.Loaded("b", Load{Running: 1, Slots: 6, Slowness: 4}, start)
	for range 20 {
		if e, _ := x.Choose(Want{Service: "p"}, start); e.ID != "c" {
			t.Fatalf("%s is chosen, want c", e.ID)
		}
	}
	if e, ok := x.Choose(Want{Service: "p", Not: map[string]bool{"b": true, "c": true}}, start.Add(time.Second)); !ok || e.ID != "a" {
		t.Errorf("%q is chosen, want a", e.ID)
	}
}

// Guards against more extra arrivals after refusals, in any window, than all relays together may cause, when all of them
// are refused all the time.
func TestBudgetOfRefusals(t *testing.T) {
	const relays, window = 8, 10 * time.Second
	b := Budget{Ratio: 0.8, Slack: 150, Window: window, Relays: relays}
	var spent, asked []time.Duration
	rng := rand.New(rand.NewPCG(5, 5))
	for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
		if rng.IntN(10) == 0 {
			b.Request(now)
			asked = append(asked, now)
		}
		if b.SpendRefusal(now) {
			spent = append(spent, now)
		}
	}
	for _, end := range spent {
		var extra, requests float64
		for _, at := range spent {
			if at > end-window && at <= end {
				extra++
			}
		}
		for _, at := range asked {
			if at > end-window-window/budgetSlots && at <= end {
				requests++
			}
		}
		if extra > 0.8*requests+150.0/relays+1 {
			t.Fatalf("%.0f extra arrivals up to %s with %.0f requests", extra, end, requests)
		}
	}
	if len(spent) < 100 {
		t.Errorf("%d extra arrivals in all, want the budget to refill", len(spent))
	}
}

// Replays waves of crashes at the grown size: 73 relays with 62 streams a second of 7 s, and a third of all engines lost
// each 6 s. Guards against streams that are not resumed because the losses of one relay exceed its share by chance, and
// against a sum beyond what the platform allows for all relays, of which half may be refusals.
func TestBudgetOfLossesAtGrownSize(t *testing.T) {
	const (
		relays, rate, life = 73, 62, 7 * time.Second
		window             = 10 * time.Second
		ratio, slack, part = 0.8, 150.0, 0.8
	)
	budgets := make([]Budget, relays)
	for i := range budgets {
		budgets[i] = Budget{Ratio: part * ratio, Slack: part * slack, Window: window, Relays: relays}
	}
	rng := rand.New(rand.NewPCG(9, 9))
	type stream struct {
		relay int
		ends  time.Duration
	}
	var running []stream
	var spent []time.Duration
	lost, denied := 0, 0
	for tick := range 60 * rate {
		now := time.Duration(tick) * time.Second / rate
		r := rng.IntN(relays)
		budgets[r].Request(now)
		running = append(running, stream{r, now + life})
		if tick%(6*rate) != 6*rate-1 {
			continue
		}
		kept := running[:0]
		for _, s := range running {
			if s.ends <= now {
				continue
			}
			kept = append(kept, s)
			if rng.IntN(3) > 0 {
				continue
			}
			lost++
			if budgets[s.relay].SpendLoss(now) {
				spent = append(spent, now)
			} else {
				denied++
			}
		}
		running = kept
	}
	if denied*200 > lost {
		t.Errorf("%d of %d lost streams were not resumed, want at most one in 200", denied, lost)
	}
	allowed := ratio*rate*window.Seconds() + slack
	for _, end := range spent {
		sum := 0
		for _, at := range spent {
			if at > end-window && at <= end {
				sum++
			}
		}
		if refusals := refusalPart * part * allowed; float64(sum)+refusals > allowed {
			t.Fatalf("%d resumes in a window, and up to %.0f refusals, of %.0f", sum, refusals, allowed)
		}
	}
	t.Logf("%d lost, %d denied, %d in all windows", lost, denied, len(spent))
}

// Guards against an answer that differs from whether an endpoint can be chosen.
func TestAnyAgreesWithChoose(t *testing.T) {
	x := newTable(3)
	for _, c := range []struct {
		want Want
		any  bool
	}{
		{Want{Service: "m"}, true},
		{Want{Service: "m", Not: map[string]bool{"e00": true, "e01": true}}, true},
		{Want{Service: "m", Not: map[string]bool{"e00": true, "e01": true, "e02": true}}, false},
		{Want{Service: "other"}, false},
	} {
		if _, ok := x.Choose(c.want, start); ok != c.any || x.Any(c.want, start) != c.any {
			t.Errorf("%+v: chosen %v, any %v, want %v", c.want, ok, x.Any(c.want, start), c.any)
		}
	}
	x.Failed("e00", true, start)
	if x.Any(Want{Service: "m", Not: map[string]bool{"e01": true, "e02": true}}, start) {
		t.Error("an endpoint that is down counts")
	}
}
