package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wasabiweir/core/object"
)

// planBuilder holds the intermediate results of one call of Planner.Plan.
type planBuilder struct {
	*Planner
	graph *object.Graph
	now   time.Time
	// requirements holds the copy requirements of all services; plannable holds only those of the services whose engines
	// this leader has tried to read, so that their loads can be planned.
	requirements []copyRequirement
	plannable    []copyRequirement
	// live holds the live engines of the services whose engines this leader has tried to read, sorted by endpoint name.
	live      []*engine
	placement *placement
	// fencingOrders holds the engines that must accept an order of this leader before their loaded copies count as
	// verified for an unload elsewhere, each with the loaded copy that this order names.
	fencingOrders map[*engine]VersionCopy
	plan          Plan
}

// buildPlan computes the orders to the engines and the blocked operations. An engine gets at most one order in a plan,
// so the steps run in the order of their priority.
func (b *planBuilder) buildPlan() {
	allRead := make(map[string]bool)
	for name := range b.graph.Services {
		allRead[name] = b.hasReadEngines(name, b.now)
	}
	b.engines.Each(func(_ string, e *engine) bool {
		if allRead[e.endpoint.Service] && b.Planner.live(e, b.now) {
			b.live = append(b.live, e)
		}
		return true
	})
	b.plannable = slices.DeleteFunc(slices.Clone(b.requirements), func(req copyRequirement) bool { return !allRead[req.service] })
	b.placement = placeVersions(b.plannable, b.live, b.ModelsPerEngine)
	b.fencingOrders = make(map[*engine]VersionCopy)
	b.reportMissingEngines()
	for _, e := range b.live {
		b.trackUnassignedCopies(e)
	}
	b.addLoadOrders(b.listWeightLoads())
	for _, e := range b.live {
		b.unloadUnusedCopies(e)
		b.addRoleOrder(e)
	}
	for _, e := range b.live {
		if c, ok := b.fencingOrders[e]; ok && b.canSendOrder(e) {
			b.addOrder(e, Order{Action: loadAction(c), Copy: c})
		}
	}
}

// reportMissingEngines adds to Plan.Blocked the versions of models and adapters for which there are fewer live engines
// with room than the intents ask for.
func (b *planBuilder) reportMissingEngines() {
	for _, c := range slices.SortedFunc(maps.Keys(b.placement.missing), VersionCopy.compare) {
		b.plan.Blocked = append(b.plan.Blocked, BlockedOperation{Copy: c, Reason: BlockNoEngine, MissingEngines: b.placement.missing[c]})
	}
}

// trackUnassignedCopies updates unassignedSince, the times since which the copies that an engine has loaded are not
// assigned to that engine.
func (b *planBuilder) trackUnassignedCopies(e *engine) {
	previous := e.unassignedSince
	e.unassignedSince = make(map[VersionCopy]time.Time)
	for _, c := range e.state.Loaded {
		if b.placement.assigned[e.endpoint.Name][c] {
			continue
		}
		since, ok := previous[c]
		if !ok {
			since = b.now
		}
		e.unassignedSince[c] = since
	}
}

// canSendOrder reports whether an order may be sent to the engine now: the engine's state is verified, this leader may
// already send orders to the engine, and the backoff after failed orders is over.
func (b *planBuilder) canSendOrder(e *engine) bool {
	allowedFrom := b.leadership.sendAllowedFrom(e.endpoint.ChecksFencing, b.Lease, b.ClockDrift)
	return b.isVerified(e, b.now) && !b.now.Before(allowedFrom) && !b.now.Before(e.retryAt)
}

// addOrder sets the ID, the endpoint, the fencing number and the expiry of an order, adds it to the plan and makes it
// the engine's pending order.
func (b *planBuilder) addOrder(e *engine, o Order) {
	b.nextID++
	o.ID = b.nextID
	o.Endpoint, o.Address = e.endpoint.Name, e.endpoint.Address
	o.Fencing = b.leadership.fencing
	o.NotAfter = b.leadership.leaseEnd(b.Lease)
	e.pendingOrder, e.sentAt, e.lastOrderAt = &o, b.now, b.now
	b.plan.Orders = append(b.plan.Orders, o)
}

// Priority classes of the loads of models and adapters; a load with a lower value is sent first.
const (
	// urgencyRestore is for the first copy of a model or adapter of which no engine has any version.
	urgencyRestore = iota
	// urgencyMinimum is for a load while fewer engines than the intents ask for have any version of the model or adapter.
	urgencyMinimum
	// urgencyVersion is for a load while fewer engines than the intents ask for have the current version of the model or
	// adapter, but enough have some version.
	urgencyVersion
	// urgencyIdle is for a load of a model or adapter on an engine beyond the number of engines that the intents ask for.
	urgencyIdle
)

// weightLoad is the load of a model's or adapter's weights on an engine to which that version is assigned.
type weightLoad struct {
	engine      *engine
	requirement copyRequirement
	urgency     int
}

// listWeightLoads returns the loads of versions that are assigned to engines and not loaded there, sorted by urgency
// and then by the size of their weights.
func (b *planBuilder) listWeightLoads() []weightLoad {
	var out []weightLoad
	for _, req := range b.plannable {
		current, served := b.countCopies(req.copy)
		restores := served == 0
		for _, e := range b.live {
			if !b.placement.assigned[e.endpoint.Name][req.copy] || e.hasCopy(req.copy) || !b.canSendOrder(e) || req.baseModel != (VersionCopy{}) && !e.hasCopy(req.baseModel) {
				continue
			}
			l := weightLoad{engine: e, requirement: req, urgency: urgencyIdle}
			switch {
			case restores:
				l.urgency = urgencyRestore
			case served < req.count:
				l.urgency = urgencyMinimum
			case current < req.count:
				l.urgency = urgencyVersion
			}
			restores = false
			served++
			current++
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b weightLoad) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.requirement.bytes, b.requirement.bytes), a.requirement.copy.compare(b.requirement.copy))
	})
	return out
}

// countCopies returns the number of live engines that have loaded or are loading version c of a model or adapter, and
// the number of those that have any version of it or are loading c.
func (b *planBuilder) countCopies(c VersionCopy) (current, anyVersion int) {
	for _, e := range b.live {
		loading := e.pendingOrder != nil && e.pendingOrder.Action.isLoad() && e.pendingOrder.Copy.ref() == c.ref()
		if e.hasCopy(c) || loading {
			current++
		}
		if e.hasCopy(c) || e.hasOtherVersion(c) || loading {
			anyVersion++
		}
	}
	return current, anyVersion
}

// addLoadOrders adds an order for each load, in the given order, until the rate limit of the weight store is reached. A
// smaller load does not overtake an earlier one that waits for the limit, because large loads could then be delayed
// forever.
func (b *planBuilder) addLoadOrders(loads []weightLoad) {
	limitReached := false
	for _, l := range loads {
		e := l.engine
		if !b.canSendOrder(e) {
			continue
		}
		if l.requirement.copy.Kind == object.KindModel && e.countLoadedModels() >= b.ModelsPerEngine {
			b.evictModel(e, l.requirement)
			continue
		}
		if limitReached || !b.reserveLoadBytes(l.requirement.bytes) {
			limitReached = true
			b.plan.Blocked = append(b.plan.Blocked, BlockedOperation{Endpoint: e.endpoint.Name, Copy: l.requirement.copy, Reason: BlockWeightStore})
			continue
		}
		b.addOrder(e, Order{Action: loadAction(l.requirement.copy), Copy: l.requirement.copy, Bytes: l.requirement.bytes})
	}
}

// reserveLoadBytes takes a load's bytes from the weight store's token bucket and reports whether the load may start. A
// bucket without rate and burst means that there is no limit.
func (b *planBuilder) reserveLoadBytes(bytes int64) bool {
	if b.WeightStoreLimit.Rate == 0 && b.WeightStoreLimit.Burst == 0 {
		return true
	}
	n := float64(bytes)
	if b.WeightStoreLimit.Level(b.now) < min(n, b.WeightStoreLimit.Burst) {
		return false
	}
	b.WeightStoreLimit.Debit(b.now, n)
	return true
}

// addRoleOrder adds an order to change the engine's role, such as prefill or decode, if it differs from the role that
// the engine's endpoint object declares.
func (b *planBuilder) addRoleOrder(e *engine) {
	role := e.endpoint.Role
	if role != "" && role != e.state.Role && b.canSendOrder(e) {
		b.addOrder(e, Order{Action: ActionSetRole, Role: role})
	}
}
