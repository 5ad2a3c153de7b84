package orders

import (
	"maps"
	"slices"
	"testing"
	"time"

	"wasabiweir/core/prop"

	"wasabiweir/core/object"
)

// Guards against an order of an earlier leader that arrives late at an engine without fencing checks and whose effect
// is neither reported nor corrected.
func TestStaleOrderToEngineThatIgnoresFencing(t *testing.T) {
	f := newFleet(3, ignoresFencing)
	f.declareModel("a", "1", 10, 2)
	f.startLeader(1)
	f.runTicks(20)
	c := modelCopy("a", "1")
	names := slices.Sorted(maps.Keys(f.engines))
	holder := names[slices.IndexFunc(names, func(name string) bool { return f.engines[name].loaded[c] })]
	stale := Order{ID: 99, Endpoint: holder, Action: ActionUnloadModel, Copy: c, Fencing: Fencing{Term: 1, Index: 10}}
	f.startLeader(2)
	f.runTicks(5)
	f.drifts = nil
	f.deliver(&stale)
	undeclared := Order{Endpoint: holder, Action: ActionLoadModel, Copy: modelCopy("old", "1"), Fencing: stale.Fencing}
	f.deliver(&undeclared)
	f.runTicks(4)
	want := []Drift{{Endpoint: holder, Copy: c}, {Endpoint: holder, Copy: undeclared.Copy, Appeared: true}}
	prop.FailIf(t, !slices.Equal(f.drifts, want) || !f.engines[holder].loaded[c], "drifts %v, want %v and the copy loaded again", f.drifts, want)
	f.runTicks(int(DefaultUnloadAfter/(500*time.Millisecond)) + 4)
	prop.FailIf(t, f.engines[holder].loaded[undeclared.Copy], "a copy that no object declares stays loaded")
}

// Guards against a replaced leader that continues to send orders after an engine has rejected one because of a newer
// fencing number, and against an engine that then rejects the orders of the next leader.
func TestFencingEngineStopsAnOlderLeader(t *testing.T) {
	f := newFleet(1, func(int) bool { return true })
	f.declareModel("a", "1", 10, 1)
	f.engines["e00"].fencing = Fencing{Term: 5}
	f.startLeader(4)
	if orders := f.runTicks(10); len(orders) != 1 || f.countCopies(modelCopy("a", "1")) != 0 {
		t.Fatalf("orders %v after a newer leader was seen", orders)
	}
	f.startLeader(6)
	if f.runTicks(10); f.countCopies(modelCopy("a", "1")) != 1 {
		t.Fatal("the newer leader's order is not carried out")
	}
}

// Guards against an unload of the last copy because another copy is counted whose engine is leaving, was not read
// recently, did not answer, or has lost the copy.
func TestLastCopyIsKeptOnAnUnverifiedView(t *testing.T) {
	a, b := modelCopy("a", "1"), modelCopy("b", "1")
	for name, disturb := range map[string]func(*fleet){
		"read fails":     func(f *fleet) { f.engines["e01"].down = true },
		"copy vanished":  func(f *fleet) { delete(f.engines["e01"].loaded, a) },
		"engine leaving": func(f *fleet) { f.graph.Endpoints["e01"] = markLeaving(f.graph.Endpoints["e01"]) },
		"not read":       nil,
		"undisturbed":    func(*fleet) {},
	} {
		f := fullFleet(2, ignoresFencing, a)
		var skip []string
		if disturb != nil {
			disturb(f)
		} else {
			skip = []string{"e01"}
			for range 5 {
				f.tick(skip...)
			}
		}
		f.declareModel("b", "1", 10, 1)
		var unloads []Order
		for range 20 {
			for _, o := range f.tick(skip...).Orders {
				if o.Action.isUnload() && o.Copy == a {
					unloads = append(unloads, o)
				}
				f.deliver(&o)
			}
		}
		if ok := name == "undisturbed"; (len(unloads) > 0) != ok || (f.countCopies(b) > 0) != (ok || name == "copy vanished") {
			t.Errorf("%s: unloads %v, %d copies of b", name, unloads, f.countCopies(b))
		}
	}
}

// Guards against a second unload that is planned on a state from before the first one, and against an unload that
// relies on a copy that a late order of the previous leader could still unload.
func TestUnloadCountsOnlyCopiesThatAreSafe(t *testing.T) {
	for _, checks := range []bool{true, false} {
		a := modelCopy("a", "1")
		f := fullFleet(3, func(int) bool { return checks }, a)
		f.startLeader(2)
		f.runTicks(10)
		f.declareModel("b", "1", 10, 2)
		for range 40 {
			for _, o := range f.tick().Orders {
				for _, name := range []string{"e00", "e01", "e02"} {
					if o.Action.isUnload() && checks && name != o.Endpoint {
						f.deliver(&Order{Endpoint: name, Action: ActionUnloadModel, Copy: a, Fencing: Fencing{1, 10}})
					}
				}
				f.deliver(&o)
			}
			// Plans again without reading the engines, on states from before these orders.
			for _, o := range f.planner.Plan(f.graph, f.now).Orders {
				f.deliver(&o)
			}
			prop.FailIf(t, f.countCopies(a) == 0, "checks fencing %v: no copy is left", checks)
		}
		if f.countCopies(modelCopy("b", "1")) != 2 {
			t.Fatalf("checks fencing %v: b is not loaded, plan %+v", checks, f.tick())
		}
	}
}

// Guards against an unload that relies on another copy whose own unload got no reply and may still be executed.
func TestCopyIsUncertainAfterAFailedUnload(t *testing.T) {
	a := modelCopy("a", "1")
	f := fullFleet(2, ignoresFencing, a)
	counted := func() int {
		f.tick()
		b := &planBuilder{Planner: f.planner, graph: f.graph, now: f.now, requirements: listCopyRequirements(f.graph)}
		b.buildPlan()
		return b.countVerifiedCopies(nil, func(e *engine) (VersionCopy, bool) { return a, e.hasCopy(a) })
	}
	if n := counted(); n != 2 {
		t.Fatalf("%d copies count before the unload", n)
	}
	f.declareModel("b", "1", 10, 1)
	first := f.tick().Orders
	prop.FailIf(t, len(first) != 1 || first[0].Action != ActionUnloadModel, "orders %v, want one unload", first)
	f.planner.HandleReply(&first[0], ReplyFailed, Fencing{}, f.now)
	if n := counted(); n != 1 {
		t.Fatalf("%d copies count after the unload failed", n)
	}
}

// Guards against a new leader that loads models again because it has not read the engines that have them, an order that
// is never repeated after its reply was lost, and a role that is not set.
func TestNewLeaderReadsBeforeItPlans(t *testing.T) {
	f := newFleet(3, func(int) bool { return true })
	f.declareModel("a", "1", 10, 2)
	f.setLoaded("e00", modelCopy("a", "1"))
	f.setLoaded("e01", modelCopy("a", "1"))
	e := f.graph.Endpoints["e01"]
	e.Role = "prefill"
	f.graph.Endpoints["e01"] = e
	f.startLeader(1)
	requireNoOrders(t, f.tick("e00", "e01"), "before the engines were read")
	// The third engine, which no minimum needs, is ordered to load the only model, and e01 to take its role. Neither
	// order gets a reply.
	first := f.tick().Orders
	prop.FailIf(t, len(first) != 2 || first[0].Action != ActionLoadModel || first[1].Role != "prefill", "orders %v", first)
	requireNoOrders(t, f.tick(), "while the first ones are pending")
	f.now = f.now.Add(DefaultOrderTimeout)
	f.tick()
	f.now = f.now.Add(firstRetry)
	if again := f.tick().Orders; len(again) != 2 || again[0].Endpoint != first[0].Endpoint {
		t.Fatalf("orders %v after the timeout, want those of %v", again, first)
	}
	f.planner.Observe(EngineState{Endpoint: "e00", SentAt: f.now, Fencing: Fencing{Term: 2}})
	prop.FailIf(t, f.planner.leadership.active, "orders go on after an engine has accepted a newer leader")
}

// markLeaving returns the endpoint with Leaving set.
func markLeaving(e object.Endpoint) object.Endpoint {
	e.Leaving = true
	return e
}

// Guards against orders to an engine without fencing checks before the previous leader's lease and the margin for clock
// drift have passed, and against orders after this leader's own lease.
func TestNewLeaderWaitsForTheLease(t *testing.T) {
	f := newFleet(2, func(i int) bool { return i == 0 })
	f.declareModel("a", "1", 10, 2)
	f.startLeader(3)
	first := map[string]time.Duration{}
	for range 10 {
		for _, o := range f.tick().Orders {
			first[o.Endpoint] = f.now.Sub(t0)
			prop.FailIf(t, !o.NotAfter.After(f.now) || o.Fencing != (Fencing{3, 30}), "order %+v", o)
			f.deliver(&o)
		}
	}
	prop.FailIf(t, first["e00"] > time.Second || first["e01"] < 1200*time.Millisecond, "first orders at %v", first)
	f.startLeader(4)
	f.now = f.now.Add(1100 * time.Millisecond)
	f.planner.ConfirmLeadership(f.now)
	f.engines["e01"].loaded = map[VersionCopy]bool{}
	f.readEngine("e00")
	f.readEngine("e01")
	f.now = f.now.Add(101 * time.Millisecond)
	requireNoOrders(t, f.planner.Plan(f.graph, f.now), "on a state from before the end of the earlier lease")
	f.engines["e00"].loaded = map[VersionCopy]bool{}
	f.readEngine("e00")
	f.now = f.now.Add(DefaultLease)
	f.readEngine("e00")
	requireNoOrders(t, f.planner.Plan(f.graph, f.now), "after the lease")
}

// Guards against loads that exceed the rate limit of the weight store, and against loads of additional copies before
// the first copies of models that no engine has.
func TestLoadsThatRestoreServiceGoFirst(t *testing.T) {
	f := newFleet(6, ignoresFencing)
	f.declareModel("big", "1", 100, 2, "big-adapter")
	f.declareModel("small", "1", 20, 2)
	f.declareModel("served", "1", 5, 3)
	f.setLoaded("e00", modelCopy("served", "1"))
	f.limitLoadRate(10, 20)
	f.startLeader(1)
	var order []string
	for range 100 {
		for _, o := range f.runTicks(1) {
			order = append(order, o.Copy.Name)
		}
		if limit := 20 + 10*f.now.Sub(t0).Seconds() + 100; float64(f.loadedBytes) > limit {
			t.Fatalf("%d bytes loaded, limit %v", f.loadedBytes, limit)
		}
	}
	want := []string{"small", "big", "big-adapter"}
	prop.FailIf(t, len(order) < 8 || !slices.Equal(order[:3], want), "loads %v, want %v first", order, want)
	prop.FailIf(t, f.countCopies(modelCopy("served", "1")) < 3 || f.countCopies(modelCopy("big", "1")) < 2, "loads %v do not reach the minimum", order)
}

// Guards against a change of a model's version that gets stuck or unloads too many copies when each engine has room for
// only one model.
func TestVersionChangeOnFullEngines(t *testing.T) {
	f := newFleet(3, ignoresFencing)
	f.planner.ModelsPerEngine = 1
	f.declareModel("a", "1", 10, 1, "ad")
	f.graph.Intents["all"] = object.Intent{Name: "all", Service: "llm", Model: "a", MinEngines: 3}
	f.startLeader(1)
	f.runTicks(30)
	f.declareModel("a", "2", 10, 1, "ad")
	for range 100 {
		f.runTicks(1)
		if n := f.countCopies(modelCopy("a", "1")) + f.countCopies(modelCopy("a", "2")); n < 2 || f.countCopies(VersionCopy{object.KindAdapter, "ad", "1"}) == 0 {
			t.Fatalf("%d copies during the change", n)
		}
	}
	if n := f.countCopies(modelCopy("a", "2")); n != 3 {
		t.Fatalf("%d engines have the new version, plan %+v", n, f.tick())
	}
}
