package ctrl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/object"
	"wasabiweir/core/orders"
	"wasabiweir/core/raft"
	"wasabiweir/core/table"
	"wasabiweir/io/engine"
)

const (
	// planInterval is the time between two runs of the planner, which decides which models and adapters each engine
	// should load or unload.
	planInterval = 250 * time.Millisecond
	// engineReadInterval is the time between two reads of an engine's state; the planner relies on what a read returned
	// for 2 s.
	engineReadInterval = time.Second
	// engineTimeout bounds one request to an engine, which reads its state or sends an order.
	engineTimeout = 2 * time.Second
)

// orderDispatcher sends orders to engines to load or unload models and adapters, while this process leads the Raft
// group config.
type orderDispatcher struct {
	control      *Control
	transport    engine.Transport
	pendingCalls sync.WaitGroup // counts the running calls of runReadEngine and runOrder
	// requests is the context of the requests to engines, which cancel ends.
	requests context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// stopped is set once no further requests may start.
	stopped bool
	planner orders.Planner
	// fencing is the fencing number of orders under the current leadership, or of the last one if leading is false.
	fencing orders.Fencing
	leading bool
	// reads are the latest reads of the engines' states by endpoint name.
	reads map[string]*engineRead
	// blocked are the loads and unloads of models and adapters that the latest plan holds back.
	blocked []orders.BlockedOperation
}

// engineRead is the latest read of an engine's state and its result.
type engineRead struct {
	endpoint object.Endpoint
	// startedAt is when the latest read of the engine's state was sent; the zero time makes the next read due at once.
	startedAt  time.Time
	inProgress bool
	// failed is set if the engine did not answer; state is then that of the last answer.
	failed bool
	state  engine.OrderState
	// lastOrder describes the latest order to the engine and its reply.
	lastOrder string
}

// initPlanner initialises the dispatcher, and sets the planner's leadership lease and its limit for loads of model
// weights.
func (s *orderDispatcher) initPlanner(c *Control) {
	s.control = c
	s.requests, s.cancel = context.WithCancel(c.ctx)
	s.reads = map[string]*engineRead{}
	tick := cmp.Or(c.Tick, defaultTick)
	s.planner.Lease = raft.DefaultElectionTicks * tick
	s.planner.WeightStoreLimit = table.Bucket{Rate: c.WeightStoreRate, Burst: c.WeightStoreRate}
	if c.WeightStoreRate == 0 {
		// Zero means no limit: the bucket is so large that no load empties it.
		s.planner.WeightStoreLimit = table.Bucket{Rate: math.MaxFloat32, Burst: math.MaxFloat32}
	}
}

// loop plans and sends orders to engines every planInterval until ctx ends, and then waits for the requests that are
// running.
func (s *orderDispatcher) loop(ctx context.Context) error {
	defer s.stop()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.dispatchOrders(s.requests)
		}
	}
}

// stop ends the requests to engines and starts no further ones. It comes before a planned transfer of the leadership: the successor
// orders engines that check fencing numbers at once, while the lease of this process still runs.
func (s *orderDispatcher) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.pendingCalls.Wait()
}

// dispatchOrders starts the engine reads that are due, runs the planner and starts to send the orders of the new plan
// to the engines. It does nothing unless this process leads the Raft group config.
func (s *orderDispatcher) dispatchOrders(ctx context.Context) {
	graph := s.declaredGraph()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.control.Clock.Now()
	if s.stopped || !s.updateLeadership(now) {
		return
	}
	s.startEngineReads(ctx, graph, now)
	plan := s.planner.Plan(graph, now)
	s.blocked = plan.Blocked
	for i := range plan.Orders {
		s.pendingCalls.Add(1)
		go s.runOrder(ctx, &plan.Orders[i])
	}
}

// declaredGraph returns the objects that the configuration declares, in which the endpoints of leaving instances are
// marked as leaving.
func (s *orderDispatcher) declaredGraph() *object.Graph {
	graph, _, _ := s.control.config.currentGraph()
	leaving := s.control.routers.leavingEndpoints()
	if len(leaving) == 0 {
		return graph
	}
	graph = graph.Clone()
	for _, name := range leaving {
		e := graph.Endpoints[name]
		e.Leaving = true
		graph.Endpoints[name] = e
	}
	return graph
}

// updateLeadership tells the planner whether this process leads the Raft group config, and reports whether it may plan.
// A new leader waits until it has applied an entry of its own term, because only then has it all changes of earlier
// leaders.
func (s *orderDispatcher) updateLeadership(now time.Time) bool {
	st := s.control.groups[ConfigGroup].replica.Status()
	if st.Role != raft.Leader || st.FirstIndexOfTerm == 0 || st.Applied < st.FirstIndexOfTerm {
		if s.leading {
			s.leading = false
			s.planner.EndLeadership()
			s.reads = map[string]*engineRead{}
			s.control.Log.Info("order-planning-stopped", zap.Uint64("term", s.fencing.Term))
		}
		return false
	}
	f := orders.Fencing{Term: st.Term, Index: st.FirstIndexOfTerm}
	if !s.leading || f != s.fencing {
		s.leading, s.fencing = true, f
		s.planner.StartLeadership(f, now)
		s.control.Log.Info("order-planning-started", zap.Uint64("term", f.Term), zap.Uint64("index", f.Index))
	}
	s.planner.ConfirmLeadership(now.Add(-st.Lease))
	return true
}

// startEngineReads starts a read of the state of each declared engine whose last read began at least
// engineReadInterval ago, and drops the reads of engines that are no longer declared. The caller holds mu.
func (s *orderDispatcher) startEngineReads(ctx context.Context, g *object.Graph, now time.Time) {
	for name := range s.reads {
		if _, ok := g.Endpoints[name]; !ok {
			delete(s.reads, name)
		}
	}
	for name, e := range g.Endpoints {
		if g.Services[e.Service].Type != object.ServiceModel {
			continue
		}
		r := s.reads[name]
		if r == nil || r.endpoint.Address != e.Address {
			r = &engineRead{}
			s.reads[name] = r
		}
		r.endpoint = e
		if r.inProgress || now.Sub(r.startedAt) < engineReadInterval {
			continue
		}
		r.inProgress, r.startedAt = true, now
		s.pendingCalls.Add(1)
		go s.runReadEngine(ctx, r, now, g)
	}
}

// engineClient returns a client of the engine at the address.
func (s *orderDispatcher) engineClient(address string) *engine.Client {
	return &engine.Client{Address: address, Transport: &s.transport}
}

// runReadEngine reads an engine's state, passes it to the planner and logs how it differs from what the planner
// expected.
func (s *orderDispatcher) runReadEngine(ctx context.Context, r *engineRead, startedAt time.Time, g *object.Graph) {
	defer s.control.guard.Recover("engine-read")
	defer s.pendingCalls.Done()
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	s.mu.Lock()
	e := r.endpoint
	s.mu.Unlock()
	state, err := s.engineClient(e.Address).ReadOrders(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.inProgress = false
	r.failed = err != nil
	engineState := orders.EngineState{Endpoint: e.Name, SentAt: startedAt, Failed: r.failed}
	if err == nil {
		r.state = state
		engineState.Loaded, engineState.Role, engineState.Fencing = readyCopies(&state, g), state.Role, orders.Fencing(state.Highest)
	}
	for _, d := range s.planner.Observe(engineState) {
		s.control.Log.Warn("engine-state-drifted", zap.String("endpoint", d.Endpoint), zap.Stringer("copy", d.Copy),
			zap.Bool("gained", d.Appeared))
	}
}

// readyCopies returns the models and adapters that an engine has ready, with their versions. An engine names no version
// for a model that it loaded without an order. That counts as the declared version, because loading the model again
// would interrupt its work.
func readyCopies(state *engine.OrderState, g *object.Graph) []orders.VersionCopy {
	var out []orders.VersionCopy
	for _, m := range state.Models {
		if m.State == engine.StateReady {
			out = append(out, orders.VersionCopy{Kind: object.KindModel, Name: m.Name, Version: cmp.Or(m.Version, g.Models[m.Name].Version)})
		}
	}
	for _, a := range state.Adapters {
		if a.State == engine.StateReady {
			out = append(out, orders.VersionCopy{Kind: object.KindAdapter, Name: a.Name, Version: cmp.Or(a.Version, g.Adapters[a.Name].Version)})
		}
	}
	return out
}

// runOrder sends one order to an engine and passes the reply to the planner. If the lease of this process as the
// leader ends before the order is written, the order is not sent and counts as failed.
func (s *orderDispatcher) runOrder(ctx context.Context, o *orders.Order) {
	defer s.control.guard.Recover("order")
	defer s.pendingCalls.Done()
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	client := s.engineClient(o.Address)
	client.NotAfter = o.NotAfter
	state, err := client.SendOrder(ctx, s.engineOrder(o))
	reply := classifyReply(o, &state, err)
	s.control.Log.Info("order-sent", zap.String("endpoint", o.Endpoint), zap.String("action", string(o.Action)),
		zap.Stringer("copy", o.Copy), zap.String("reply", string(reply)), zap.Error(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.reads[o.Endpoint]; r != nil {
		r.lastOrder = fmt.Sprintf("%s %s: %s", o.Action, o.Copy, reply)
		// The planner needs a read of the engine's state that starts after the order; the zero time makes one due.
		r.startedAt = time.Time{}
	}
	s.planner.HandleReply(o, reply, orders.Fencing{}, s.control.Clock.Now())
}

// engineOrder converts an order of the planner to the request that is sent to the engine.
func (s *orderDispatcher) engineOrder(o *orders.Order) engine.Order {
	out := engine.Order{Fencing: engine.Fencing(o.Fencing), Action: string(o.Action), Version: o.Copy.Version, Role: o.Role}
	switch o.Copy.Kind {
	case object.KindModel:
		out.Model = o.Copy.Name
	case object.KindAdapter:
		graph, _, _ := s.control.config.currentGraph()
		out.Adapter, out.Model = o.Copy.Name, graph.Adapters[o.Copy.Name].Model
	}
	return out
}

// classifyReply returns the reply that the planner gets for the result of sending an order to an engine. A load counts
// as accepted until the engine shows the model or adapter as ready.
func classifyReply(o *orders.Order, state *engine.OrderState, err error) orders.Reply {
	var refused *engine.Error
	switch {
	case errors.As(err, &refused) && refused.Code == engine.CodeStaleFencing:
		return orders.ReplyFenced
	case err != nil:
		return orders.ReplyFailed
	case isLoad(o) && !hasReadyCopy(state, o.Copy):
		return orders.ReplyAccepted
	default:
		return orders.ReplyDone
	}
}

// isLoad reports whether the order loads a model or an adapter.
func isLoad(o *orders.Order) bool {
	return o.Action == orders.ActionLoadModel || o.Action == orders.ActionLoadAdapter
}

// hasReadyCopy reports whether the engine has the model or adapter of c ready, in the version of c.
func hasReadyCopy(state *engine.OrderState, c orders.VersionCopy) bool {
	return slices.ContainsFunc(slices.Concat(state.Models, state.Adapters), func(i engine.OrderItem) bool {
		return i.Name == c.Name && i.Version == c.Version && i.State == engine.StateReady
	})
}

// EngineStatus is the state of one engine as the leader of the Raft group config last read it.
type EngineStatus struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Answers bool   `json:"answers"`
	// Health is the lowest health between 0 and 1 that a router observes; an engine as fast as its peers has 1.
	Health   float64 `json:"health"`
	Leaving  bool    `json:"leaving"`
	Models   string  `json:"models"`
	Adapters string  `json:"adapters"`
	// Order describes the latest order to the engine and its reply.
	Order string `json:"order,omitempty"`
}

// engineStatus returns the state of the engines in the order of their names, and why the planner holds back loads or
// unloads of models and adapters. It returns nothing unless this process leads the Raft group config.
func (s *orderDispatcher) engineStatus() (engines []EngineStatus, blocked []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leading {
		return nil, nil
	}
	for name, r := range s.reads {
		engines = append(engines, EngineStatus{
			Health: 1,
			Name:   name, Address: r.endpoint.Address, Domain: r.endpoint.Domain, Answers: !r.failed, Leaving: r.endpoint.Leaving,
			Models: describeModels(r.state.Models), Adapters: describeModels(r.state.Adapters), Order: r.lastOrder,
		})
	}
	slices.SortFunc(engines, func(a, b EngineStatus) int { return cmp.Compare(a.Name, b.Name) })
	for _, b := range s.blocked {
		blocked = append(blocked, describeBlockedOperation(b))
	}
	return engines, blocked
}
