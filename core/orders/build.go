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
	// requirements holds those of all services; plannable holds those of the services whose engines have been read.
	requirements []requirement
	plannable    []requirement
	// live holds the live engines of the services whose engines have been read, sorted by name.
	live      []*engine
	placement *placement
	// fencingOrders holds the engines that must accept an order of this leader before their copies count for unloads,
	// each with the loaded copy that the order names.
	fencingOrders map[*engine]Copy
	plan          Plan
}

// build computes the plan. An engine gets at most one order, so the calls are in the order of priority.
func (b *planBuilder) build() {
	allRead := make(map[string]bool)
	for name := range b.graph.Services {
		allRead[name] = b.enginesRead(name, b.now)
	}
	b.engines.Each(func(_ string, e *engine) bool {
		if allRead[e.endpoint.Service] && b.Planner.live(e, b.now) {
			b.live = append(b.live, e)
		}
		return true
	})
	b.plannable = slices.DeleteFunc(slices.Clone(b.requirements), func(req requirement) bool { return !allRead[req.service] })
	b.placement = placeVersions(b.plannable, b.live, b.ModelsPerEngine)
	b.fencingOrders = make(map[*engine]Copy)
	b.reportMissingEngines()
	for _, e := range b.live {
		b.trackUnwanted(e)
	}
	b.addLoads(b.wantedLoads())
	for _, e := range b.live {
		b.unloadUnused(e)
		b.addRoleOrder(e)
	}
	for _, e := range b.live {
		if c, ok := b.fencingOrders[e]; ok && b.canSend(e) {
			b.addOrder(e, Order{Action: loadAction(c), Copy: c})
		}
	}
}

// reportMissingEngines adds the versions that lack engines to Plan.Blocked.
func (b *planBuilder) reportMissingEngines() {
	for _, c := range slices.SortedFunc(maps.Keys(b.placement.missing), Copy.compare) {
		b.plan.Blocked = append(b.plan.Blocked, BlockedOperation{Copy: c, Reason: BlockNoEngine, MissingEngines: b.placement.missing[c]})
	}
}

// trackUnwanted updates the times since which loaded copies have not been assigned to the engine.
func (b *planBuilder) trackUnwanted(e *engine) {
	previous := e.unwantedSince
	e.unwantedSince = make(map[Copy]time.Time)
	for _, c := range e.state.Loaded {
		if b.placement.assigned[e.endpoint.Name][c] {
			continue
		}
		since, ok := previous[c]
		if !ok {
			since = b.now
		}
		e.unwantedSince[c] = since
	}
}

// canSend reports whether an order may be sent to the engine now.
func (b *planBuilder) canSend(e *engine) bool {
	allowedFrom := b.leadership.sendAllowedFrom(e.endpoint.ChecksFencing, b.Lease, b.ClockDrift)
	return b.verified(e, b.now) && !b.now.Before(allowedFrom) && !b.now.Before(e.retryAt)
}

// addOrder completes an order's fields, adds it to the plan and makes it the engine's pending order.
func (b *planBuilder) addOrder(e *engine, o Order) {
	b.nextID++
	o.ID = b.nextID
	o.Endpoint, o.Address = e.endpoint.Name, e.endpoint.Address
	o.Fencing = b.leadership.fencing
	o.NotAfter = b.leadership.leaseEnd(b.Lease)
	e.pendingOrder, e.sentAt, e.lastOrderAt = &o, b.now, b.now
	b.plan.Orders = append(b.plan.Orders, o)
}

// Priority classes of loads; a load with a lower value comes first.
const (
	// urgencyRestore is for the first copy of a model or adapter of which no engine has any version.
	urgencyRestore = iota
	// urgencyMinimum is for copies that are missing from the required number when all versions are counted.
	urgencyMinimum
	// urgencyVersion is for copies that are missing from the required number when only the current version is counted.
	urgencyVersion
	// urgencyIdle is for copies beyond the required number.
	urgencyIdle
)

// wantedLoad is a load of a version on an engine to which the version is assigned.
type wantedLoad struct {
	engine      *engine
	requirement requirement
	urgency     int
}

// wantedLoads returns the loads of assigned copies that engines lack, sorted by urgency and then by size.
func (b *planBuilder) wantedLoads() []wantedLoad {
	var out []wantedLoad
	for _, req := range b.plannable {
		current, served := b.countCopies(req.copy)
		restores := served == 0
		for _, e := range b.live {
			if !b.placement.assigned[e.endpoint.Name][req.copy] || e.has(req.copy) || !b.canSend(e) || req.baseModel != (Copy{}) && !e.has(req.baseModel) {
				continue
			}
			l := wantedLoad{engine: e, requirement: req, urgency: urgencyIdle}
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
	slices.SortStableFunc(out, func(a, b wantedLoad) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.requirement.bytes, b.requirement.bytes), a.requirement.copy.compare(b.requirement.copy))
	})
	return out
}

// countCopies returns the number of live engines that have or are loading the current version, and of those that have
// or are loading any version.
func (b *planBuilder) countCopies(c Copy) (current, anyVersion int) {
	for _, e := range b.live {
		loading := e.pendingOrder != nil && e.pendingOrder.Action.loads() && e.pendingOrder.Copy.ref() == c.ref()
		if e.has(c) || loading {
			current++
		}
		if e.has(c) || e.hasOtherVersion(c) || loading {
			anyVersion++
		}
	}
	return current, anyVersion
}

// addLoads adds orders for the loads, in the given order, until the rate limit of the weight store is reached. A
// smaller load does not overtake an earlier one that waits for the limit, because large loads could then be delayed
// forever.
func (b *planBuilder) addLoads(loads []wantedLoad) {
	limitReached := false
	for _, l := range loads {
		e := l.engine
		if !b.canSend(e) {
			continue
		}
		if l.requirement.copy.Kind == object.KindModel && e.modelCount() >= b.ModelsPerEngine {
			b.evictModel(e, l.requirement)
			continue
		}
		if limitReached || !b.reserveBytes(l.requirement.bytes) {
			limitReached = true
			b.plan.Blocked = append(b.plan.Blocked, BlockedOperation{Endpoint: e.endpoint.Name, Copy: l.requirement.copy, Reason: BlockWeightStore})
			continue
		}
		b.addOrder(e, Order{Action: loadAction(l.requirement.copy), Copy: l.requirement.copy, Bytes: l.requirement.bytes})
	}
}

// reserveBytes takes a load's bytes from the weight store's token bucket and reports whether the load may start. A
// bucket without rate and burst means that there is no limit.
func (b *planBuilder) reserveBytes(bytes int64) bool {
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

// addRoleOrder adds an order if the engine has another role than its endpoint declares.
func (b *planBuilder) addRoleOrder(e *engine) {
	role := e.endpoint.Role
	if role != "" && role != e.state.Role && b.canSend(e) {
		b.addOrder(e, Order{Action: ActionSetRole, Role: role})
	}
}
