package ctrl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wasabiweir/core/object"
	"wasabiweir/core/raft"
	"wasabiweir/io/engine"
	"wasabiweir/io/stand"
)

// testSystem is one control process with simulated engines and the objects that declare them.
type testSystem struct {
	*testControl
	t           *testing.T
	logs        *observer.ObservedLogs
	engines     []*engine.Client
	graph       object.Graph
	changeCount int
}

// newTestSystem starts a control process and engines without a model. With checksFencing the engines check fencing
// numbers; configure, if not nil, changes the fields of the control process before it starts.
func newTestSystem(t *testing.T, engines int, checksFencing bool, configure func(*Control)) *testSystem {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	f := &testSystem{t: t, logs: logs, testControl: newTestControl(t, 20*time.Millisecond, zap.New(core))}
	if configure != nil {
		configure(f.Control)
	}
	f.graph = object.Graph{
		Services:  map[string]object.Service{"llm": {Name: "llm", Type: object.ServiceModel}},
		Models:    map[string]object.Model{"dente": {Name: "dente", Service: "llm", Version: "1", Bytes: 1000}},
		Intents:   map[string]object.Intent{"plans": {Name: "plans", Service: "llm", Model: "dente", MinEngines: engines}},
		Endpoints: map[string]object.Endpoint{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i := range engines {
		f.addEngine(ctx, i, checksFencing)
	}
	f.start(ctx, t, cancel)
	f.eventually("leader", func() bool {
		return f.started.Load() && f.groups[ConfigGroup].replica.Status().Role == raft.Leader
	})
	return f
}

// addEngine starts engine i, in a failure domain of its own, and adds it to the declared endpoints.
func (f *testSystem) addEngine(ctx context.Context, i int, checksFencing bool) {
	f.t.Helper()
	l := stand.Listen(f.t)
	e := &stand.Engine{ChecksFencing: checksFencing, OrderLatency: 100 * time.Millisecond}
	e.Listener, e.Log = l, zap.NewNop()
	r := &runningEngine{engine: e}
	go r.run(ctx)
	f.engines = append(f.engines, &engine.Client{Address: l.Addr().String()})
	name := fmt.Sprintf("engine-%d", i)
	f.graph.Endpoints[name] = object.Endpoint{
		Name: name, Service: "llm", Address: l.Addr().String(), Domain: fmt.Sprintf("domain-%d", i), ChecksFencing: checksFencing,
	}
}

// runningEngine runs a simulated engine until the context of run ends.
type runningEngine struct{ engine *stand.Engine }

// run serves the engine's requests until ctx ends.
func (r *runningEngine) run(ctx context.Context) { _ = r.engine.Run(ctx) }

// publishObjects replaces the declared objects by those of the test's graph.
func (f *testSystem) publishObjects() {
	f.t.Helper()
	f.changeCount++
	c := &object.Change{RequestID: fmt.Sprint(f.changeCount), BaseRevision: uint64(f.changeCount) - 1, Put: f.graph}
	f.eventually("change", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		out, err := f.proposeChange(ctx, c, "ops")
		if err == nil && out.Revision == 0 {
			f.t.Fatalf("change: %+v", out)
		}
		return err == nil
	})
}

// eventually polls ok until it is true, and fails the test after 15 s.
func (f *testSystem) eventually(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !ok(); {
		if time.Now().After(deadline) {
			f.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// allReady reports whether each engine has the version of the model ready.
func (f *testSystem) allReady(version string) bool {
	return !slices.ContainsFunc(f.engines, func(e *engine.Client) bool { return !hasReady(e, version) })
}

// hasReady reports whether the engine has the version of the model ready.
func hasReady(e *engine.Client, version string) bool {
	s, err := e.ReadOrders(context.Background())
	return err == nil && slices.Contains(s.Models, engine.OrderItem{Name: "dente", Version: version, State: engine.StateReady})
}

// Guards against engines that keep a version or role after another one is declared, and against a status that does not
// show the models that they have loaded.
func TestOrdersFollowDeclaredVersions(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		f := newTestSystem(t, 2, checksFencing, nil)
		for _, version := range []string{"1", "2"} {
			m := f.graph.Models["dente"]
			m.Version = version
			f.graph.Models["dente"] = m
			f.publishObjects()
			f.eventually("version "+version, func() bool { return f.allReady(version) })
			f.eventually("status", func() bool {
				s := f.systemStatus(context.Background(), true)
				return len(s.Engines) == 2 && s.Engines[0].Models == "dente@"+version && s.Engines[1].Models == "dente@"+version
			})
		}
		e := f.graph.Endpoints["engine-0"]
		e.Role = "prefill"
		f.graph.Endpoints["engine-0"] = e
		f.publishObjects()
		f.eventually("role", func() bool {
			s, err := f.engines[0].ReadOrders(context.Background())
			return err == nil && s.Role == "prefill"
		})
	}
}

// Guards against a stale order of an earlier leader that stays in effect. An engine that checks fencing numbers must
// refuse it. An engine that ignores them executes it; the next read of its state must show that, and the next plan
// correct it.
func TestStaleOrderIsCorrected(t *testing.T) {
	for _, checksFencing := range []bool{false, true} {
		f := newTestSystem(t, 2, checksFencing, nil)
		f.publishObjects()
		f.eventually("load", func() bool { return f.allReady("1") })
		f.eventually("read-back", func() bool {
			s := f.systemStatus(context.Background(), true)
			return s.Engines[0].Models == "dente@1" && s.Engines[1].Models == "dente@1"
		})
		time.Sleep(2 * engineReadInterval) // the leader detects the loss only of a model that it has read before
		_, err := f.engines[0].SendOrder(context.Background(), engine.Order{Action: engine.ActionUnloadModel, Model: "dente"})
		if refused := err != nil; refused != checksFencing {
			t.Fatalf("stale order: %v, want it refused: %t", err, checksFencing)
		}
		if checksFencing {
			continue
		}
		if hasReady(f.engines[0], "1") {
			t.Fatal("the stale order had no effect")
		}
		f.eventually("correction", func() bool { return f.allReady("1") })
		if f.logs.FilterMessage("engine-state-drifted").Len() == 0 {
			t.Error("the difference is not logged")
		}
	}
}

// Guards against a new leader that sends orders to an engine that ignores fencing numbers before the lease of the
// previous leader has ended.
func TestLeaseWaitBeforeFirstOrder(t *testing.T) {
	f := newTestSystem(t, 1, false, nil)
	f.publishObjects()
	f.eventually("load", func() bool { return f.allReady("1") })
	started := f.logs.FilterMessage("order-planning-started").All()
	sent := f.logs.FilterMessage("order-sent").All()
	if len(started) != 1 || len(sent) == 0 {
		t.Fatalf("planning started %d times, %d orders", len(started), len(sent))
	}
	lease := time.Duration(raft.DefaultElectionTicks) * f.Tick
	if waited := sent[0].Time.Sub(started[0].Time); waited < lease+lease/5 {
		t.Errorf("first order %s after planning started, want at least %s", waited, lease+lease/5)
	}
}

// Guards against loads that exceed the rate of the weight store.
func TestWeightStoreRate(t *testing.T) {
	f := newTestSystem(t, 2, true, func(c *Control) { c.WeightStoreRate = 500 })
	start := time.Now()
	f.publishObjects()
	f.eventually("a load that waits", func() bool {
		s := f.systemStatus(context.Background(), true)
		return slices.ContainsFunc(s.Problems, func(p string) bool { return strings.Contains(p, "weight store") })
	})
	f.eventually("load", func() bool { return f.allReady("1") })
	// Two loads of 1000 bytes: the burst of 500 bytes and the rate allow the second one only after 1 s at the earliest.
	if took := time.Since(start); took < time.Second {
		t.Errorf("both loads took %s, the weight store allows them in 1s at the earliest", took)
	}
}
