package orders

import (
	"time"

	"wasabiweir/core/object"
	"wasabiweir/core/table"
)

// Defaults for the fields of a Planner that are zero.
const (
	// DefaultModelsPerEngine is two, so that an engine can load a new version of a model before it unloads the old one.
	DefaultModelsPerEngine = 2
	// DefaultMaxStateAge is the maximum age of an engine state that new orders rely on, twice the interval of one second
	// at which the leader reads the engines.
	DefaultMaxStateAge = 2 * time.Second
	// DefaultLiveFor is the time after a successful read of an engine during which the engine counts as live.
	DefaultLiveFor = 5 * time.Second
	// DefaultUnloadAfter is the time for which a model or adapter version that is no longer in use stays loaded, so that
	// routers can stop sending requests to it.
	DefaultUnloadAfter = time.Minute
	// DefaultOrderTimeout is the time after which an order to an engine that has neither completed nor failed counts as
	// failed and is planned again.
	DefaultOrderTimeout = 10 * time.Minute
	// firstRetry and maxRetry are the bounds of the exponential backoff after failed orders to an engine.
	firstRetry = time.Second
	maxRetry   = time.Minute
)

// Planner plans the orders to the engines on the leader of the Raft group named config. It is not safe for concurrent
// use. Its exported fields are set before the first call; a zero duration or number means the default of that name.
type Planner struct {
	// Lease is the length of the lease of the leader that plans the orders.
	Lease time.Duration
	// ClockDrift is the fraction by which the rates of two processes' clocks may differ.
	ClockDrift float64
	// ModelsPerEngine is the maximum number of models that one engine has loaded.
	ModelsPerEngine int
	// MaxStateAge is the maximum age of an engine's last read state for unloads and new orders to rely on it.
	MaxStateAge time.Duration
	// LiveFor is the time after a successful read of an engine during which the engine counts as live.
	LiveFor time.Duration
	// UnloadAfter is the time after which an engine unloads a model or adapter version that is not assigned to it.
	UnloadAfter time.Duration
	// OrderTimeout is the time after which an order that has neither completed nor failed counts as failed.
	OrderTimeout time.Duration
	// WeightStoreLimit limits the rate of loads from the weight store, in bytes of weights; a load that is larger than
	// the burst takes the bucket's level below zero.
	WeightStoreLimit table.Bucket

	leadership leadership
	engines    table.Table[string, engine]
	nextID     uint64
}

// StartLeadership starts planning as the leader with the given fencing number. It drops the engine states that were
// read and the orders that were planned before.
func (p *Planner) StartLeadership(f Fencing, now time.Time) {
	p.setDefaults()
	p.leadership = leadership{fencing: f, startedAt: now, confirmedAt: now, active: true}
	p.engines = table.Table[string, engine]{}
}

// ConfirmLeadership extends the leader's lease: a quorum of the Raft group confirmed the leadership in a round that was
// started at the given time.
func (p *Planner) ConfirmLeadership(started time.Time) {
	if started.After(p.leadership.confirmedAt) {
		p.leadership.confirmedAt = started
	}
}

// EndLeadership ends the planning as the leader; Plan returns no orders until StartLeadership is called again.
func (p *Planner) EndLeadership() { p.leadership.active = false }

// Observe processes the state that was read from an engine and returns the copies that appeared or disappeared there
// without an order of this leader.
func (p *Planner) Observe(s EngineState) []Drift {
	if !p.leadership.active || s.SentAt.Before(p.leadership.startedAt) {
		return nil
	}
	e := p.engines.Ensure(s.Endpoint)
	if e.hasState && s.SentAt.Before(e.state.SentAt) {
		return nil
	}
	e.readFailed = s.Failed
	if s.Failed {
		return nil
	}
	if s.Fencing.Compare(p.leadership.fencing) > 0 {
		p.EndLeadership()
		return nil
	}
	var drifts []Drift
	if e.pendingOrder != nil && s.SentAt.After(e.sentAt) && s.showsOrderEffect(e.pendingOrder) {
		p.completeOrder(e, s.SentAt)
	}
	if e.pendingOrder == nil && s.SentAt.After(e.lastOrderAt) {
		drifts = e.findDrifts(&s)
		e.setExpectedCopies(s.Loaded)
	}
	e.state, e.hasState = s, true
	return drifts
}

// HandleReply processes an engine's reply to an order, which was received at the time now. For ReplyFenced, newer is
// the higher fencing number that the engine returned.
func (p *Planner) HandleReply(o *Order, reply Reply, newer Fencing, now time.Time) {
	if o.Fencing != p.leadership.fencing {
		return
	}
	if reply == ReplyFenced && newer.Compare(p.leadership.fencing) > 0 {
		p.EndLeadership()
		return
	}
	e := p.engines.Get(o.Endpoint)
	if e == nil || e.pendingOrder == nil || e.pendingOrder.ID != o.ID {
		return
	}
	switch reply {
	case ReplyAccepted:
		e.acceptedFencing = true
	case ReplyDone:
		e.acceptedFencing = true
		p.completeOrder(e, now)
	default:
		p.failOrder(e, now)
	}
}

// completeOrder marks the engine's pending order as executed; the engine must be read again before the next order is
// sent to it.
func (p *Planner) completeOrder(e *engine, now time.Time) {
	e.recordOrderEffect(e.pendingOrder)
	p.clearPendingOrder(e, now)
	e.consecutiveFailures = 0
}

// failOrder marks the engine's pending order as failed and sets the time from which the next order may be sent to the
// engine.
func (p *Planner) failOrder(e *engine, now time.Time) {
	// The engine may have executed the order in part, so what it has loaded is not known until the next read.
	e.expectedCopies = nil
	if e.pendingOrder.Action.isUnload() {
		if e.uncertainUntil == nil {
			e.uncertainUntil = make(map[VersionCopy]time.Time)
		}
		e.uncertainUntil[e.pendingOrder.Copy] = now.Add(p.OrderTimeout)
	}
	p.clearPendingOrder(e, now)
	delay := min(maxRetry, firstRetry<<min(e.consecutiveFailures, 10))
	e.consecutiveFailures++
	e.retryAt = now.Add(delay)
}

// clearPendingOrder removes the engine's pending order. Engine states that were read before now no longer count as
// verified.
func (p *Planner) clearPendingOrder(e *engine, now time.Time) {
	if now.After(e.lastOrderAt) {
		e.lastOrderAt = now
	}
	e.pendingOrder = nil
}

// Plan returns the orders to send to the engines now, so that they load what the configuration graph declares. The
// caller sends each order once, before its NotAfter, and then calls HandleReply.
func (p *Planner) Plan(g *object.Graph, now time.Time) Plan {
	p.setDefaults()
	if !p.leadership.active || !now.Before(p.leadership.leaseEnd(p.Lease)) {
		return Plan{}
	}
	p.syncEndpoints(g, now)
	b := &planBuilder{Planner: p, graph: g, now: now, requirements: listCopyRequirements(g)}
	b.buildPlan()
	return b.plan
}

// syncEndpoints updates the planner's engines from the endpoints of model services in the configuration graph. It also
// fails the orders that have neither completed nor failed within OrderTimeout.
func (p *Planner) syncEndpoints(g *object.Graph, now time.Time) {
	for _, name := range p.engines.Keys() {
		if _, ok := g.Endpoints[name]; !ok {
			p.engines.Delete(name)
		}
	}
	for name, ep := range g.Endpoints {
		if g.Services[ep.Service].Type != object.ServiceModel {
			continue
		}
		e := p.engines.Ensure(name)
		if e.hasState && e.endpoint.Address != "" && e.endpoint.Address != ep.Address {
			*e = engine{}
		}
		e.endpoint = ep
		if e.pendingOrder != nil && now.Sub(e.sentAt) >= p.OrderTimeout {
			p.failOrder(e, now)
		}
	}
}

// live reports whether the engine answered a read within the last LiveFor and is not being drained.
func (p *Planner) live(e *engine, now time.Time) bool {
	return e.hasState && !e.endpoint.Leaving && now.Sub(e.state.SentAt) < p.LiveFor
}

// isVerified reports whether the engine's state is reliable: it was read recently, and since then neither an order of
// this leader nor one that an earlier leader sent within its lease can have changed the engine.
func (p *Planner) isVerified(e *engine, now time.Time) bool {
	if !e.hasState || e.readFailed || e.pendingOrder != nil {
		return false
	}
	sentAt := e.state.SentAt
	allowedFrom := p.leadership.sendAllowedFrom(e.endpoint.ChecksFencing, p.Lease, p.ClockDrift)
	return sentAt.After(e.lastOrderAt) && !sentAt.Before(allowedFrom) && now.Sub(sentAt) <= p.MaxStateAge
}

// hasReadEngines reports whether this leader has tried to read each engine of the service, or has been the leader for
// LiveFor. Before that, a new leader would treat engines that it has not read yet as dead and load their models on
// other engines.
func (p *Planner) hasReadEngines(service string, now time.Time) bool {
	if now.Sub(p.leadership.startedAt) >= p.LiveFor {
		return true
	}
	ok := true
	p.engines.Each(func(_ string, e *engine) bool {
		ok = ok && (e.endpoint.Service != service || e.endpoint.Leaving || e.hasState || e.readFailed)
		return ok
	})
	return ok
}

// setDefaults replaces the zero fields of the Planner by their defaults.
func (p *Planner) setDefaults() {
	p.Lease = orDefault(p.Lease, DefaultLease)
	p.ClockDrift = orDefault(p.ClockDrift, DefaultClockDrift)
	p.ModelsPerEngine = orDefault(p.ModelsPerEngine, DefaultModelsPerEngine)
	p.MaxStateAge = orDefault(p.MaxStateAge, DefaultMaxStateAge)
	p.LiveFor = orDefault(p.LiveFor, DefaultLiveFor)
	p.UnloadAfter = orDefault(p.UnloadAfter, DefaultUnloadAfter)
	p.OrderTimeout = orDefault(p.OrderTimeout, DefaultOrderTimeout)
}

// orDefault returns v if it is not zero, else fallback.
func orDefault[V comparable](v, fallback V) V {
	var zero V
	if v == zero {
		return fallback
	}
	return v
}
