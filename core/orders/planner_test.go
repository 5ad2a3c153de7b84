package orders

import (
	"maps"
	"slices"
	"testing"
	"time"

	"wasabiweir/core/prop"

	"wasabiweir/core/object"
)

// Guards against a stale order of an earlier leader that stays in effect because the engine ignores its fencing number.
func TestStaleOrderToEngineThatIgnoresFencing(t *testing.T) {
	f := newFleet(3, ignores)
	f.model("a", "1", 10, 2)
	f.lead(1)
	f.run(20)
	c := modelCopy("a", "1")
	names := slices.Sorted(maps.Keys(f.engines))
	holder := names[slices.IndexFunc(names, func(name string) bool { return f.engines[name].loaded[c] })]
	stale := Order{ID: 99, Endpoint: holder, Action: ActionUnloadModel, Copy: c, Fencing: Fencing{Term: 1, Index: 10}}
	f.lead(2)
	f.run(5)
	f.drifts = nil
	f.deliver(&stale)
	foreign := Order{Endpoint: holder, Action: ActionLoadModel, Copy: modelCopy("old", "1"), Fencing: stale.Fencing}
	f.deliver(&foreign)
	f.run(4)
	want := []Drift{{Endpoint: holder, Copy: c}, {Endpoint: holder, Copy: foreign.Copy, Gained: true}}
	prop.FailIf(t, !slices.Equal(f.drifts, want) || !f.engines[holder].loaded[c], "drifts %v, want %v and the copy loaded again", f.drifts, want)
	f.run(int(DefaultUnloadAfter/(500*time.Millisecond)) + 4)
	prop.FailIf(t, f.engines[holder].loaded[foreign.Copy], "a copy that no object declares stays loaded")
}

// Guards against an engine that refuses this leader's orders for ever, or a deposed leader that goes on.
func TestCheckingEngineEndsTheTenureOfAnOlderLeader(t *testing.T) {
	f := newFleet(1, func(int) bool { return true })
	f.model("a", "1", 10, 1)
	f.engines["e00"].fencing = Fencing{Term: 5}
	f.lead(4)
	if orders := f.run(10); len(orders) != 1 || f.copies(modelCopy("a", "1")) != 0 {
		t.Fatalf("orders %v after a newer leader was seen", orders)
	}
	f.lead(6)
	if f.run(10); f.copies(modelCopy("a", "1")) != 1 {
		t.Fatal("the newer leader's order is not carried out")
	}
}

// Guards against an unload of the last copy while the view of the other copy is old, failed, or older than the last
// order to it.
func TestLastCopyIsKeptOnAnUnverifiedView(t *testing.T) {
	a, b := modelCopy("a", "1"), modelCopy("b", "1")
	for name, disturb := range map[string]func(*fleet){
		"read fails":     func(f *fleet) { f.engines["e01"].down = true },
		"copy vanished":  func(f *fleet) { delete(f.engines["e01"].loaded, a) },
		"engine leaving": func(f *fleet) { f.graph.Endpoints["e01"] = leaving(f.graph.Endpoints["e01"]) },
		"not read":       nil,
		"undisturbed":    func(*fleet) {},
	} {
		f := fullFleet(2, ignores, a)
		var skip []string
		if disturb != nil {
			disturb(f)
		} else {
			skip = []string{"e01"}
			for range 5 {
				f.tick(skip...)
			}
		}
		f.model("b", "1", 10, 1)
		var unloads []Order
		for range 20 {
			for _, o := range f.tick(skip...).Orders {
				if o.Action.unloads() && o.Copy == a {
					unloads = append(unloads, o)
				}
				f.deliver(&o)
			}
		}
		if ok := name == "undisturbed"; (len(unloads) > 0) != ok || (f.copies(b) > 0) != (ok || name == "copy vanished") {
			t.Errorf("%s: unloads %v, %d copies of b", name, unloads, f.copies(b))
		}
	}
}

// Guards against a second unload on a view that is older than the first, and against an unload that counts on a copy
// that an order of the leader before could still unload.
func TestUnloadCountsOnlyCopiesThatAreSafe(t *testing.T) {
	for _, checks := range []bool{true, false} {
		a := modelCopy("a", "1")
		f := fullFleet(3, func(int) bool { return checks }, a)
		f.lead(2)
		f.run(10)
		f.model("b", "1", 10, 2)
		for range 40 {
			for _, o := range f.tick().Orders {
				for _, name := range []string{"e00", "e01", "e02"} {
					if o.Action.unloads() && checks && name != o.Endpoint {
						f.deliver(&Order{Endpoint: name, Action: ActionUnloadModel, Copy: a, Fencing: Fencing{1, 10}})
					}
				}
				f.deliver(&o)
			}
			// The next plan has the views from before these orders.
			for _, o := range f.planner.Plan(f.graph, f.now).Orders {
				f.deliver(&o)
			}
			prop.FailIf(t, f.copies(a) == 0, "checks fencing %v: no copy is left", checks)
		}
		if f.copies(modelCopy("b", "1")) != 2 {
			t.Fatalf("checks fencing %v: b is not loaded, plan %+v", checks, f.tick())
		}
	}
}

// Guards against an unload that counts on a copy whose own unload got no reply and may still be carried out.
func TestCopyIsInDoubtAfterAFailedUnload(t *testing.T) {
	a := modelCopy("a", "1")
	f := fullFleet(2, ignores, a)
	counted := func() int {
		f.tick()
		s := &step{Planner: f.planner, graph: f.graph, now: f.now, needs: needs(f.graph)}
		s.run()
		return s.others(nil, func(e *engine) (Copy, bool) { return a, e.has(a) })
	}
	if n := counted(); n != 2 {
		t.Fatalf("%d copies count before the unload", n)
	}
	f.model("b", "1", 10, 1)
	first := f.tick().Orders
	prop.FailIf(t, len(first) != 1 || first[0].Action != ActionUnloadModel, "orders %v, want one unload", first)
	f.planner.Finish(&first[0], ReplyFailed, Fencing{}, f.now)
	if n := counted(); n != 1 {
		t.Fatalf("%d copies count after the unload failed", n)
	}
}

// Guards against loads elsewhere for engines that a new leader has not read yet, an order that waits for a lost reply
// for ever, and a role that is not corrected.
func TestNewLeaderReadsBeforeItPlans(t *testing.T) {
	f := newFleet(3, func(int) bool { return true })
	f.model("a", "1", 10, 2)
	f.load("e00", modelCopy("a", "1"))
	f.load("e01", modelCopy("a", "1"))
	e := f.graph.Endpoints["e01"]
	e.Role = "prefill"
	f.graph.Endpoints["e01"] = e
	f.lead(1)
	noOrders(t, f.tick("e00", "e01"), "before the engines were read")
	// The spare engine is given the only model, and the role is set; neither order gets a reply.
	first := f.tick().Orders
	prop.FailIf(t, len(first) != 2 || first[0].Action != ActionLoadModel || first[1].Role != "prefill", "orders %v", first)
	noOrders(t, f.tick(), "while the first ones are pending")
	f.now = f.now.Add(DefaultOrderTimeout)
	f.tick()
	f.now = f.now.Add(firstRetry)
	if again := f.tick().Orders; len(again) != 2 || again[0].Endpoint != first[0].Endpoint {
		t.Fatalf("orders %v after the timeout, want those of %v", again, first)
	}
	f.planner.Observe(View{Endpoint: "e00", Began: f.now, Fencing: Fencing{Term: 2}})
	prop.FailIf(t, f.planner.tenure.active, "orders go on after an engine has accepted a newer leader")
}

func leaving(e object.Endpoint) object.Endpoint {
	e.Leaving = true
	return e
}

// Guards against orders to an engine that ignores fencing numbers before the lease of the leader before has ended with
// its margin, and against orders after this leader's own lease.
func TestNewLeaderWaitsForTheLease(t *testing.T) {
	f := newFleet(2, func(i int) bool { return i == 0 })
	f.model("a", "1", 10, 2)
	f.lead(3)
	first := map[string]time.Duration{}
	for range 10 {
		for _, o := range f.tick().Orders {
			first[o.Endpoint] = f.now.Sub(t0)
			prop.FailIf(t, !o.NotAfter.After(f.now) || o.Fencing != (Fencing{3, 30}), "order %+v", o)
			f.deliver(&o)
		}
	}
	prop.FailIf(t, first["e00"] > time.Second || first["e01"] < 1200*time.Millisecond, "first orders at %v", first)
	f.lead(4)
	f.now = f.now.Add(1100 * time.Millisecond)
	f.planner.Confirm(f.now)
	f.engines["e01"].loaded = map[Copy]bool{}
	f.read("e00")
	f.read("e01")
	f.now = f.now.Add(101 * time.Millisecond)
	noOrders(t, f.planner.Plan(f.graph, f.now), "on a view from before the end of the earlier lease")
	f.engines["e00"].loaded = map[Copy]bool{}
	f.read("e00")
	f.now = f.now.Add(DefaultLease)
	f.read("e00")
	noOrders(t, f.planner.Plan(f.graph, f.now), "after the lease")
}

// Guards against loads beyond the weight store's rate, and against small or unneeded loads ahead of those that restore
// service.
func TestLoadsThatRestoreServiceGoFirst(t *testing.T) {
	f := newFleet(6, ignores)
	f.model("big", "1", 100, 2, "big-adapter")
	f.model("small", "1", 20, 2)
	f.model("served", "1", 5, 3)
	f.load("e00", modelCopy("served", "1"))
	f.limit(10, 20)
	f.lead(1)
	var order []string
	for range 100 {
		for _, o := range f.run(1) {
			order = append(order, o.Copy.Name)
		}
		if limit := 20 + 10*f.now.Sub(t0).Seconds() + 100; float64(f.loadedBytes) > limit {
			t.Fatalf("%d bytes loaded, limit %v", f.loadedBytes, limit)
		}
	}
	want := []string{"small", "big", "big-adapter"}
	prop.FailIf(t, len(order) < 8 || !slices.Equal(order[:3], want), "loads %v, want %v first", order, want)
	prop.FailIf(t, f.copies(modelCopy("served", "1")) < 3 || f.copies(modelCopy("big", "1")) < 2, "loads %v do not reach the minimum", order)
}

// Guards against a version change on engines without room for two models that gets stuck or interrupts service.
func TestVersionChangeOnFullEngines(t *testing.T) {
	f := newFleet(3, ignores)
	f.planner.ModelsPerEngine = 1
	f.model("a", "1", 10, 1, "ad")
	f.graph.Intents["all"] = object.Intent{Name: "all", Service: "llm", Model: "a", MinEngines: 3}
	f.lead(1)
	f.run(30)
	f.model("a", "2", 10, 1, "ad")
	for range 100 {
		f.run(1)
		if n := f.copies(modelCopy("a", "1")) + f.copies(modelCopy("a", "2")); n < 2 || f.copies(Copy{object.KindAdapter, "ad", "1"}) == 0 {
			t.Fatalf("%d copies during the change", n)
		}
	}
	if n := f.copies(modelCopy("a", "2")); n != 3 {
		t.Fatalf("%d engines have the new version, plan %+v", n, f.tick())
	}
}
