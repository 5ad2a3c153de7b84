package orders

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wasabiweir/core/object"
	"wasabiweir/core/prop"
	"wasabiweir/core/table"
)

// t0 is the start of the simulated time.
var t0 = time.Unix(1_800_000_000, 0)

// fakeEngine is an engine that executes each order immediately. It may check fencing numbers.
type fakeEngine struct {
	checksFencing bool
	fencing       Fencing
	loaded        map[VersionCopy]bool
	role          string
	down          bool
}

// apply executes an order and returns the reply, with the newer fencing number if the order was rejected because of it.
func (e *fakeEngine) apply(o *Order) (Reply, Fencing) {
	switch {
	case e.down:
		return ReplyFailed, Fencing{}
	case e.checksFencing && o.Fencing.Compare(e.fencing) < 0:
		return ReplyFenced, e.fencing
	}
	if o.Fencing.Compare(e.fencing) > 0 {
		e.fencing = o.Fencing
	}
	switch {
	case o.Action.isLoad():
		e.loaded[o.Copy] = true
	case o.Action.isUnload():
		delete(e.loaded, o.Copy)
		// Adapters are unloaded with their model. The tests use adapters only on engines with a single model.
		if !slices.ContainsFunc(slices.Collect(maps.Keys(e.loaded)), func(c VersionCopy) bool { return c.Kind == object.KindModel }) {
			clear(e.loaded)
		}
	default:
		e.role = o.Role
	}
	return ReplyDone, Fencing{}
}

// fleet simulates a planner with the fake engines of one model service.
type fleet struct {
	graph   *object.Graph
	engines map[string]*fakeEngine
	planner *Planner
	now     time.Time
	drifts  []Drift
	// loadedBytes is the total size of the loads that were delivered.
	loadedBytes int64
}

// modelCopy identifies a version of a model.
func modelCopy(name, version string) VersionCopy { return VersionCopy{object.KindModel, name, version} }

// newFleet returns a fleet of n engines in three failure domains; checks tells which engines check fencing numbers.
func newFleet(n int, checks func(int) bool) *fleet {
	f := &fleet{now: t0, engines: map[string]*fakeEngine{}, graph: &object.Graph{
		Services: map[string]object.Service{"llm": {Name: "llm", Type: object.ServiceModel}},
		Models:   map[string]object.Model{}, Adapters: map[string]object.Adapter{}, Intents: map[string]object.Intent{},
		Endpoints: map[string]object.Endpoint{},
	}}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		f.engines[name] = &fakeEngine{checksFencing: checks(i), loaded: map[VersionCopy]bool{}}
		f.graph.Endpoints[name] = object.Endpoint{Name: name, Service: "llm", Address: "10.0.0.1:80", Domain: fmt.Sprint("d", i%3), ChecksFencing: checks(i)}
	}
	f.planner = &Planner{}
	return f
}

// ignoresFencing is passed to newFleet for engines that do not check fencing numbers.
func ignoresFencing(int) bool { return false }

// fullFleet returns a fleet of engines that each have room for one model and all have c loaded, which only one engine
// is required to have.
func fullFleet(n int, checks func(int) bool, c VersionCopy) *fleet {
	f := newFleet(n, checks)
	f.planner.ModelsPerEngine = 1
	for name := range f.engines {
		f.setLoaded(name, c)
	}
	f.declareModel(c.Name, c.Version, 10, 1)
	f.startLeader(1)
	f.runTicks(10)
	return f
}

// requireNoOrders fails the test if the plan has orders.
func requireNoOrders(t prop.TestingT, plan Plan, when string) {
	t.Helper()
	prop.FailIf(t, len(plan.Orders) > 0, "orders %v %s", plan.Orders, when)
}

// declareModel declares a model, its adapters and an intent for them.
func (f *fleet) declareModel(name, version string, bytes int64, minEngines int, adapters ...string) {
	f.graph.Models[name] = object.Model{Name: name, Service: "llm", Version: version, Bytes: bytes}
	for _, a := range adapters {
		f.graph.Adapters[a] = object.Adapter{Name: a, Model: name, Version: "1", Bytes: 1}
	}
	f.graph.Intents[name] = object.Intent{Name: name, Service: "llm", Model: name, MinEngines: minEngines, Adapters: adapters}
}

// setLoaded loads copies on an engine without an order.
func (f *fleet) setLoaded(engine string, copies ...VersionCopy) {
	for _, c := range copies {
		f.engines[engine].loaded[c] = true
	}
}

// startLeader replaces the planner by that of a new leader.
func (f *fleet) startLeader(term uint64) {
	store := f.planner.WeightStoreLimit
	f.planner = &Planner{WeightStoreLimit: store, ModelsPerEngine: f.planner.ModelsPerEngine}
	f.planner.StartLeadership(Fencing{Term: term, Index: term * 10}, f.now)
}

// readEngine reads an engine's state and passes it to the planner.
func (f *fleet) readEngine(name string) {
	e := f.engines[name]
	f.drifts = append(f.drifts, f.planner.Observe(EngineState{
		Endpoint: name, SentAt: f.now, Failed: e.down, Loaded: slices.SortedFunc(maps.Keys(e.loaded), VersionCopy.compare), Role: e.role,
	})...)
}

// tick advances the time by half a second, reads the engines except those in skip, and returns the new plan.
func (f *fleet) tick(skip ...string) Plan {
	f.now = f.now.Add(500 * time.Millisecond)
	f.planner.ConfirmLeadership(f.now)
	for _, name := range slices.Sorted(maps.Keys(f.engines)) {
		if !slices.Contains(skip, name) {
			f.readEngine(name)
		}
	}
	f.now = f.now.Add(time.Millisecond)
	return f.planner.Plan(f.graph, f.now)
}

// deliver delivers an order to its engine and the reply to the planner.
func (f *fleet) deliver(o *Order) {
	if o.Action.isLoad() && !f.engines[o.Endpoint].loaded[o.Copy] {
		f.loadedBytes += o.Bytes
	}
	reply, newer := f.engines[o.Endpoint].apply(o)
	f.planner.HandleReply(o, reply, newer, f.now)
}

// runTicks runs n ticks, delivers each order immediately and returns the orders.
func (f *fleet) runTicks(n int) []Order {
	var out []Order
	for range n {
		for _, o := range f.tick().Orders {
			f.deliver(&o)
			out = append(out, o)
		}
	}
	return out
}

// countCopies returns the number of engines that have a copy loaded and are not down.
func (f *fleet) countCopies(c VersionCopy) int {
	n := 0
	for _, e := range f.engines {
		if e.loaded[c] && !e.down {
			n++
		}
	}
	return n
}

// countAllVersions returns the number of copies of all versions of a model on engines that are not down.
func (f *fleet) countAllVersions(name string) int {
	n := 0
	for _, e := range f.engines {
		for c := range e.loaded {
			if c.Name == name && !e.down {
				n++
			}
		}
	}
	return n
}

// limitLoadRate limits the loads from the weight store, in bytes per second and bytes.
func (f *fleet) limitLoadRate(rate, burst float64) {
	f.planner.WeightStoreLimit = table.Bucket{Rate: rate, Burst: burst}
}
