package orders

import (
	"slices"

	"wasabiweir/core/object"
)

// unloadUnused unloads a copy that has not been assigned to the engine for UnloadAfter, unless it is of the current
// version of a required model or adapter.
func (b *planBuilder) unloadUnused(e *engine) {
	for _, c := range slices.SortedFunc(slices.Values(e.state.Loaded), Copy.compare) {
		since, unwanted := e.unwantedSince[c]
		if !b.canSend(e) || !unwanted || b.now.Sub(since) < b.UnloadAfter {
			continue
		}
		if req, used := b.requirementFor(c); used && req.copy == c {
			// An additional copy of the current version does no harm.
			continue
		}
		b.tryUnload(e, c, nil)
	}
}

// evictModel unloads a model that is not assigned to the engine, so that the next plan has room for another one.
func (b *planBuilder) evictModel(e *engine, next requirement) {
	var models []Copy
	for _, c := range e.state.Loaded {
		if _, unwanted := e.unwantedSince[c]; unwanted && c.Kind == object.KindModel {
			models = append(models, c)
		}
	}
	slices.SortFunc(models, Copy.compare)
	for _, c := range models {
		if b.tryUnload(e, c, &next) {
			return
		}
	}
}

// tryUnload adds an order to unload a copy if that is safe, and reports whether it did; next is the version that needs
// the room, or nil.
func (b *planBuilder) tryUnload(e *engine, c Copy, next *requirement) bool {
	if !b.mayUnload(e, c, next) || !b.adaptersElsewhere(e, c) {
		b.plan.Blocked = append(b.plan.Blocked, BlockedOperation{Endpoint: e.endpoint.Name, Copy: c, Reason: BlockLastCopy})
		return false
	}
	b.addOrder(e, Order{Action: unloadAction(c), Copy: c})
	return true
}

// requirementFor returns the requirement for any version of the copy's model or adapter, or false if there is none.
func (b *planBuilder) requirementFor(c Copy) (requirement, bool) {
	i := slices.IndexFunc(b.requirements, func(req requirement) bool { return req.copy.ref() == c.ref() })
	if i < 0 {
		return requirement{}, false
	}
	return b.requirements[i], true
}

// mayUnload reports whether enough other copies are verified for the copy to be unloaded. For a copy of the current
// version, the other copies of that version count. For a copy of an older version, those of the current version count,
// or those of any version if the copy is unloaded to make room. The number that the intents ask for is enough, less the
// copies for which no live engine has room, and less one if the engine is about to load the current version instead.
func (b *planBuilder) mayUnload(e *engine, c Copy, next *requirement) bool {
	req, used := b.requirementFor(c)
	if !used {
		return true
	}
	tolerated := 0
	if next != nil && next.copy.ref() == c.ref() {
		tolerated = 1
	}
	target := max(1, req.count-b.placement.missing[req.copy]-tolerated)
	if req.copy == c {
		return next != nil && b.countVerifiedCopies(e, func(o *engine) (Copy, bool) { return c, o.has(c) }) >= target
	}
	if next != nil {
		return b.countVerifiedCopies(e, func(o *engine) (Copy, bool) { return loadedVersion(o, c) }) >= target
	}
	// This engine counts too: if it has the current version, it keeps it.
	return b.countVerifiedCopies(nil, func(o *engine) (Copy, bool) { return req.copy, o.has(req.copy) }) >= target
}

// loadedVersion returns the version of the copy's model or adapter that the engine has loaded, or false if it has none.
func loadedVersion(e *engine, c Copy) (Copy, bool) {
	for _, l := range e.state.Loaded {
		if l.ref() == c.ref() {
			return l, true
		}
	}
	return Copy{}, false
}

// adaptersElsewhere reports whether the model's adapters, which are unloaded with the last version of the model on the
// engine, also have a verified copy on another engine if they are in use.
func (b *planBuilder) adaptersElsewhere(e *engine, c Copy) bool {
	if c.Kind != object.KindModel || e.hasOtherVersion(c) {
		return true
	}
	for _, l := range e.state.Loaded {
		if l.Kind != object.KindAdapter || b.graph.Adapters[l.Name].Model != c.Name {
			continue
		}
		if req, used := b.requirementFor(l); !used || req.copy != l {
			continue
		}
		if b.countVerifiedCopies(e, func(o *engine) (Copy, bool) { return l, o.has(l) }) == 0 {
			return false
		}
	}
	return true
}

// countVerifiedCopies returns the number of engines other than e that have a verified copy; heldCopy returns the copy
// to look for on an engine and whether the engine has it. Engines that have yet to accept this leader's fencing number
// are added to fencingOrders and not counted.
func (b *planBuilder) countVerifiedCopies(e *engine, heldCopy func(*engine) (Copy, bool)) int {
	n := 0
	for _, o := range b.live {
		c, ok := heldCopy(o)
		if o == e || !ok || !b.verified(o, b.now) || b.now.Before(o.uncertainUntil[c]) {
			continue
		}
		if o.endpoint.ChecksFencing && !o.acceptedFencing {
			b.fencingOrders[o] = c
			continue
		}
		n++
	}
	return n
}
