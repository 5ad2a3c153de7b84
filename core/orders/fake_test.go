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

var t0 = time.Unix(1_800_000_000, 0)

// fakeEngine carries out orders at once; it checks fencing numbers or ignores them.
type fakeEngine struct {
	checks  bool
	fencing Fencing
	loaded  map[Copy]bool
	role    string
	down    bool
}

func (e *fakeEngine) order(o *Order) (Reply, Fencing) {
	switch {
	case e.down:
		return ReplyFailed, Fencing{}
	case e.checks && o.Fencing.Compare(e.fencing) < 0:
		return ReplyFenced, e.fencing
	}
	if o.Fencing.Compare(e.fencing) > 0 {
		e.fencing = o.Fencing
	}
	switch {
	case o.Action.loads():
		e.loaded[o.Copy] = true
	case o.Action.unloads():
		delete(e.loaded, o.Copy)
		// Adapters go with their model; the tests have adapters only on engines with one model.
		if !slices.ContainsFunc(slices.Collect(maps.Keys(e.loaded)), func(c Copy) bool { return c.Kind == object.KindModel }) {
			clear(e.loaded)
		}
	default:
		e.role = o.Role
	}
	return ReplyDone, Fencing{}
}

// fleet is a graph with one model service and its fake engines.
type fleet struct {
	graph   *object.Graph
	engines map[string]*fakeEngine
	planner *Planner
	now     time.Time
	drifts  []Drift
	// loadedBytes sums the bytes of the loads that were sent.
	loadedBytes int64
}

func modelCopy(name, version string) Copy { return Copy{object.KindModel, name, version} }

// newFleet returns a fleet of n engines in three domains; checks says which engines check fencing numbers.
func newFleet(n int, checks func(int) bool) *fleet {
	f := &fleet{now: t0, engines: map[string]*fakeEngine{}, graph: &object.Graph{
		Services: map[string]object.Service{"llm": {Name: "llm", Type: object.ServiceModel}},
		Models:   map[string]object.Model{}, Adapters: map[string]object.Adapter{}, Intents: map[string]object.Intent{},
		Endpoints: map[string]object.Endpoint{},
	}}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		f.engines[name] = &fakeEngine{checks: checks(i), loaded: map[Copy]bool{}}
		f.graph.Endpoints[name] = object.Endpoint{Name: name, Service: "llm", Address: "10.0.0.1:80", Domain: fmt.Sprint("d", i%3), ChecksFencing: checks(i)}
	}
	f.planner = &Planner{}
	return f
}

func ignores(int) bool { return false }

// fullFleet returns a fleet of engines with room for one model, which all have a copy that one of them must have.
func fullFleet(n int, checks func(int) bool, c Copy) *fleet {
	f := newFleet(n, checks)
	f.planner.ModelsPerEngine = 1
	for name := range f.engines {
		f.load(name, c)
	}
	f.model(c.Name, c.Version, 10, 1)
	f.lead(1)
	f.run(10)
	return f
}

func noOrders(t prop.Failer, plan Plan, when string) {
	t.Helper()
	prop.FailIf(t, len(plan.Orders) > 0, "orders %v %s", plan.Orders, when)
}

func (f *fleet) model(name, version string, bytes int64, minEngines int, adapters ...string) {
	f.graph.Models[name] = object.Model{Name: name, Service: "llm", Version: version, Bytes: bytes}
	for _, a := range adapters {
		f.graph.Adapters[a] = object.Adapter{Name: a, Model: name, Version: "1", Bytes: 1}
	}
	f.graph.Intents[name] = object.Intent{Name: name, Service: "llm", Model: name, MinEngines: minEngines, Adapters: adapters}
}

func (f *fleet) load(engine string, copies ...Copy) {
	for _, c := range copies {
		f.engines[engine].loaded[c] = true
	}
}

func (f *fleet) lead(term uint64) {
	store := f.planner.Store
	f.planner = &Planner{Store: store, ModelsPerEngine: f.planner.ModelsPerEngine}
	f.planner.Lead(Fencing{Term: term, Index: term * 10}, f.now)
}

func (f *fleet) read(name string) {
	e := f.engines[name]
	f.drifts = append(f.drifts, f.planner.Observe(View{
		Endpoint: name, Began: f.now, Failed: e.down, Loaded: slices.SortedFunc(maps.Keys(e.loaded), Copy.compare), Role: e.role,
	})...)
}

// tick passes half a second, reads each engine that skip does not name and returns the new plan.
func (f *fleet) tick(skip ...string) Plan {
	f.now = f.now.Add(500 * time.Millisecond)
	f.planner.Confirm(f.now)
	for _, name := range slices.Sorted(maps.Keys(f.engines)) {
		if !slices.Contains(skip, name) {
			f.read(name)
		}
	}
	f.now = f.now.Add(time.Millisecond)
	return f.planner.Plan(f.graph, f.now)
}

func (f *fleet) deliver(o *Order) {
	if o.Action.loads() && !f.engines[o.Endpoint].loaded[o.Copy] {
		f.loadedBytes += o.Bytes
	}
	reply, newer := f.engines[o.Endpoint].order(o)
	f.planner.Finish(o, reply, newer, f.now)
}

// run ticks n times and delivers each order at once; it returns the orders.
func (f *fleet) run(n int) []Order {
	var out []Order
	for range n {
		for _, o := range f.tick().Orders {
			f.deliver(&o)
			out = append(out, o)
		}
	}
	return out
}

func (f *fleet) copies(c Copy) int {
	n := 0
	for _, e := range f.engines {
		if e.loaded[c] && !e.down {
			n++
		}
	}
	return n
}

// versions counts the copies of all versions of a model.
func (f *fleet) versions(name string) int {
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

func (f *fleet) limit(rate, burst float64) { f.planner.Store = table.Bucket{Rate: rate, Burst: burst} }
