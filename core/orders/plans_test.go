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

// inFlightOrder is an order that was sent and has not arrived, with the planner that sent it. Since the sender checks
// NotAfter, an order of an earlier leader reaches an engine without fencing checks only within that leader's lease.
type inFlightOrder struct {
	order   Order
	planner *Planner
}

// Guards against the loss of a model's last copy, against copies in too few failure domains and against required
// numbers of copies that are never reached, while orders are lost or late, reads are skipped, and the leader, the
// versions and the required numbers change.
func TestPlansKeepAndReachTheDeclaredCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Five engines are enough to place each of two models in two failure domains, wherever the first one is placed.
		f := newFleet(rapid.IntRange(5, 8).Draw(t, "engines"), func(i int) bool { return i%2 == 0 })
		f.planner.ModelsPerEngine = rapid.IntRange(1, 2).Draw(t, "models per engine")
		versions := map[string]int{"a": 1, "b": 1}
		declare := func(name string) {
			f.declareModel(name, fmt.Sprint(versions[name]), int64(len(name)*10), rapid.IntRange(1, 2).Draw(t, "min"))
		}
		declare("a")
		declare("b")
		for _, name := range slices.Sorted(maps.Keys(f.engines)) {
			f.setLoaded(name, modelCopy(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "loaded"), "1"))
		}
		term := uint64(1)
		f.startLeader(term)
		var inFlight []inFlightOrder
		// unanswered holds orders that got no reply and that the engine may still execute.
		var unanswered []Order
		arrive := func(x inFlightOrder) {
			lost := rapid.IntRange(0, 5).Draw(t, "lost") == 0
			if f.now.After(x.order.NotAfter) && !f.engines[x.order.Endpoint].checksFencing {
				lost = true
			}
			reply, newer := ReplyFailed, Fencing{}
			if !lost {
				reply, newer = f.deliverChecked(t, &x.order)
			} else if x.planner == f.planner {
				unanswered = append(unanswered, x.order)
			}
			x.planner.HandleReply(&x.order, reply, newer, f.now)
		}
		for range rapid.IntRange(0, 60).Draw(t, "ticks") {
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 0:
				term++
				f.startLeader(term)
				unanswered = nil
			case 1:
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")
				versions[name]++
				declare(name)
			case 2:
				f.now = f.now.Add(time.Minute)
			case 3, 4:
				if n := len(unanswered); n > 0 {
					f.deliverChecked(t, &unanswered[n-1])
					unanswered = unanswered[:n-1]
				}
			}
			var skip []string
			if rapid.Bool().Draw(t, "unread") {
				skip = []string{fmt.Sprintf("e%02d", rapid.IntRange(0, 7).Draw(t, "skip"))}
			}
			for _, o := range f.tick(skip...).Orders {
				inFlight = append(inFlight, inFlightOrder{o, f.planner})
			}
			for len(inFlight) > 0 && rapid.IntRange(0, 2).Draw(t, "arrive") > 0 {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "flight")
				x := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				arrive(x)
			}
		}
		for _, x := range inFlight {
			x.planner.HandleReply(&x.order, ReplyFailed, Fencing{}, f.now)
		}
		f.now = f.now.Add(2 * DefaultOrderTimeout)
		f.runTicks(300)
		f.requireMinimums(t)
	})
}

// deliverChecked executes an order on its engine and fails the test if that unloads the last copy of a model.
func (f *fleet) deliverChecked(t *rapid.T, o *Order) (Reply, Fencing) {
	before := f.countCopies(o.Copy)
	reply, newer := f.engines[o.Endpoint].apply(o)
	m := f.graph.Models[o.Copy.Name]
	if after := f.countCopies(o.Copy); after == 0 && before > 0 && m.Version == o.Copy.Version {
		t.Fatalf("%+v unloaded the last copy", o)
	}
	prop.FailIf(t, o.Action.isUnload() && m.Version != "" && f.countAllVersions(m.Name) == 0, "%+v left no version of the model", o)
	return reply, newer
}

// requireMinimums fails the test if a model has fewer copies or fewer failure domains than declared, or if an engine
// still has another version.
func (f *fleet) requireMinimums(t *rapid.T) {
	for _, name := range slices.Sorted(maps.Keys(f.graph.Models)) {
		m := f.graph.Models[name]
		c, domains := modelCopy(name, m.Version), map[string]bool{}
		for e, fake := range f.engines {
			if fake.loaded[c] {
				domains[f.graph.Endpoints[e].Domain] = true
			}
		}
		if n := f.graph.Intents[name].MinEngines; f.countCopies(c) < n || len(domains) < n {
			t.Fatalf("%s is on %d engines in %d domains, want %d; plan %+v", c, f.countCopies(c), len(domains), n, f.tick())
		}
	}
	for name, fake := range f.engines {
		for c := range fake.loaded {
			prop.FailIf(t, f.graph.Models[c.Name].Version != c.Version, "%s still has %s", name, c)
		}
	}
}

// BenchmarkPlanAtTargetSize measures a plan without orders for the target size of 940 engines, 10 models and 40
// adapters.
func BenchmarkPlanAtTargetSize(b *testing.B) {
	f := newFleet(940, func(i int) bool { return i%2 == 0 })
	for i := range 10 {
		name := fmt.Sprint("m", i)
		f.declareModel(name, "1", 1000, 80, name+"-a", name+"-b", name+"-c", name+"-d")
	}
	f.startLeader(1)
	f.runTicks(20)
	for b.Loop() {
		f.planner.ConfirmLeadership(f.now)
		if plan := f.planner.Plan(f.graph, f.now); len(plan.Orders) > 0 {
			b.Fatalf("%d orders, first %+v", len(plan.Orders), plan.Orders[0])
		}
	}
}
