package orders

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// flight is an order on its way; an earlier leader's order reaches an engine that ignores fencing numbers only within
// that leader's lease, as its sender checks NotAfter.
type flight struct {
	order   Order
	planner *Planner
}

// Guards against the loss of the last copy, copies in too few domains and minimums that are not reached, with lost and
// late orders, changes of the leader, of versions and of minimums, and reads that fail.
func TestPlansKeepAndReachTheDeclaredCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// With five engines, two models fit in two domains each whatever engines the first one is on.
		f := newFleet(rapid.IntRange(5, 8).Draw(t, "engines"), func(i int) bool { return i%2 == 0 })
		f.planner.ModelsPerEngine = rapid.IntRange(1, 2).Draw(t, "models per engine")
		versions := map[string]int{"a": 1, "b": 1}
		declare := func(name string) {
			f.model(name, fmt.Sprint(versions[name]), int64(len(name)*10), rapid.IntRange(1, 2).Draw(t, "min"))
		}
		declare("a")
		declare("b")
		for _, name := range slices.Sorted(maps.Keys(f.engines)) {
			f.load(name, modelCopy(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "loaded"), "1"))
		}
		term := uint64(1)
		f.lead(term)
		var flights []flight
		// late are orders without a reply that the engine may still carry out.
		var late []Order
		arrive := func(x flight) {
			lost := rapid.IntRange(0, 5).Draw(t, "lost") == 0
			if f.now.After(x.order.NotAfter) && !f.engines[x.order.Endpoint].checks {
				lost = true
			}
			reply, newer := ReplyFailed, Fencing{}
			if !lost {
				reply, newer = f.checked(t, &x.order)
			} else if x.planner == f.planner {
				late = append(late, x.order)
			}
			x.planner.Finish(&x.order, reply, newer, f.now)
		}
		for range rapid.IntRange(0, 60).Draw(t, "ticks") {
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 0:
				term++
				f.lead(term)
				late = nil
			case 1:
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")
				versions[name]++
				declare(name)
			case 2:
				f.now = f.now.Add(time.Minute)
			case 3, 4:
				if n := len(late); n > 0 {
					f.checked(t, &late[n-1])
					late = late[:n-1]
				}
			}
			var skip []string
			if rapid.Bool().Draw(t, "unread") {
				skip = []string{fmt.Sprintf("e%02d", rapid.IntRange(0, 7).Draw(t, "skip"))}
			}
			for _, o := range f.tick(skip...).Orders {
				flights = append(flights, flight{o, f.planner})
			}
			for len(flights) > 0 && rapid.IntRange(0, 2).Draw(t, "arrive") > 0 {
				i := rapid.IntRange(0, len(flights)-1).Draw(t, "flight")
				x := flights[i]
				flights = slices.Delete(flights, i, i+1)
				arrive(x)
			}
		}
		for _, x := range flights {
			x.planner.Finish(&x.order, ReplyFailed, Fencing{}, f.now)
		}
		f.now = f.now.Add(2 * DefaultOrderTimeout)
		f.run(300)
		f.checkReached(t)
	})
}

// checked carries out an order and checks that it does not unload the last copy.
func (f *fleet) checked(t *rapid.T, o *Order) (Reply, Fencing) {
	before := f.copies(o.Copy)
	reply, newer := f.engines[o.Endpoint].order(o)
	m := f.graph.Models[o.Copy.Name]
	if after := f.copies(o.Copy); after == 0 && before > 0 && m.Version == o.Copy.Version {
		t.Fatalf("%+v unloaded the last copy", o)
	}
	prop.FailIf(t, o.Action.unloads() && m.Version != "" && f.versions(m.Name) == 0, "%+v left no version of the model", o)
	return reply, newer
}

func (f *fleet) checkReached(t *rapid.T) {
	for _, name := range slices.Sorted(maps.Keys(f.graph.Models)) {
		m := f.graph.Models[name]
		c, domains := modelCopy(name, m.Version), map[string]bool{}
		for e, fake := range f.engines {
			if fake.loaded[c] {
				domains[f.graph.Endpoints[e].Domain] = true
			}
		}
		if n := f.graph.Intents[name].MinEngines; f.copies(c) < n || len(domains) < n {
			t.Fatalf("%s is on %d engines in %d domains, want %d; plan %+v", c, f.copies(c), len(domains), n, f.tick())
		}
	}
	for name, fake := range f.engines {
		for c := range fake.loaded {
			prop.FailIf(t, f.graph.Models[c.Name].Version != c.Version, "%s still has %s", name, c)
		}
	}
}

// BenchmarkPlanAtTargetSize measures one plan for 940 engines, 10 models and 40 adapters in which nothing is to do.
func BenchmarkPlanAtTargetSize(b *testing.B) {
	f := newFleet(940, func(i int) bool { return i%2 == 0 })
	for i := range 10 {
		name := fmt.Sprint("m", i)
		f.model(name, "1", 1000, 80, name+"-a", name+"-b", name+"-c", name+"-d")
	}
	f.lead(1)
	f.run(20)
	for b.Loop() {
		f.planner.Confirm(f.now)
		if plan := f.planner.Plan(f.graph, f.now); len(plan.Orders) > 0 {
			b.Fatalf("%d orders, first %+v", len(plan.Orders), plan.Orders[0])
		}
	}
}
