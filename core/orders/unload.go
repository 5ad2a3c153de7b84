package orders

import (
	"slices"

	"wasabiweir/core/object"
)

// unloadUnusedCopies adds orders to unload the copies that have not been assigned to the engine for UnloadAfter, except
// copies of the current version of a model or adapter that intents refer to.
func (b *planBuilder) unloadUnusedCopies(e *engine) {
	for _, c := range slices.SortedFunc(slices.Values(e.state.Loaded), VersionCopy.compare) {
		since, unwanted := e.unassignedSince[c]
		if !b.canSendOrder(e) || !unwanted || b.now.Sub(since) < b.UnloadAfter {
			continue
		}
		if req, used := b.requirementOfAnyVersion(c); used && req.copy == c {
			// An additional copy of the current version of a model or adapter does no harm.
			continue
		}
		b.tryUnloadCopy(e, c, nil)
	}
}

// evictModel adds an order to unload a model that is not assigned to the engine, so that a later plan can load the next
// one in its place.
func (b *planBuilder) evictModel(e *engine, next copyRequirement) {
	var models []VersionCopy
	for _, c := range e.state.Loaded {
		if _, unwanted := e.unassignedSince[c]; unwanted && c.Kind == object.KindModel {
			models = append(models, c)
		}
	}
	slices.SortFunc(models, VersionCopy.compare)
	for _, c := range models {
		if b.tryUnloadCopy(e, c, &next) {
			return
		}
	}
}

// tryUnloadCopy adds an order to unload a copy of a model or adapter version from the engine if enough other engines
// have a verified copy, and reports whether it did; next is the version that shall be loaded in its place, or nil.
func (b *planBuilder) tryUnloadCopy(e *engine, c VersionCopy, next *copyRequirement) bool {
	if !b.mayUnloadCopy(e, c, next) || !b.hasAdaptersElsewhere(e, c) {
		b.plan.Blocked = append(b.plan.Blocked, BlockedOperation{Endpoint: e.endpoint.Name, Copy: c, Reason: BlockLastCopy})
		return false
	}
	b.addOrder(e, Order{Action: unloadAction(c), Copy: c})
	return true
}

// requirementOfAnyVersion returns the requirement for the current version of the model or adapter of which c is any
// version, or false if no intent refers to that model or adapter.
func (b *planBuilder) requirementOfAnyVersion(c VersionCopy) (copyRequirement, bool) {
	i := slices.IndexFunc(b.requirements, func(req copyRequirement) bool { return req.copy.ref() == c.ref() })
	if i < 0 {
		return copyRequirement{}, false
	}
	return b.requirements[i], true
}

// mayUnloadCopy reports whether enough other engines have a verified copy, one that a recent read of the engine shows,
// for the engine to unload its copy c. For a copy of the current version of a model or adapter, the other copies of
// that version count. For a copy of an older version, those of the current version count, or those of any version if
// the copy is unloaded to make room for the version next. The number of copies that the intents ask for is enough, less
// the copies for which no live engine has room, and less one if the engine is about to load the current version
// instead.
func (b *planBuilder) mayUnloadCopy(e *engine, c VersionCopy, next *copyRequirement) bool {
	req, used := b.requirementOfAnyVersion(c)
	if !used {
		return true
	}
	tolerated := 0
	if next != nil && next.copy.ref() == c.ref() {
		tolerated = 1
	}
	target := max(1, req.count-b.placement.missing[req.copy]-tolerated)
	if req.copy == c {
		return next != nil && b.countVerifiedCopies(e, func(o *engine) (VersionCopy, bool) { return c, o.hasCopy(c) }) >= target
	}
	if next != nil {
		return b.countVerifiedCopies(e, func(o *engine) (VersionCopy, bool) { return loadedVersion(o, c) }) >= target
	}
	// This engine counts too: if it has the current version, it keeps it.
	return b.countVerifiedCopies(nil, func(o *engine) (VersionCopy, bool) { return req.copy, o.hasCopy(req.copy) }) >= target
}

// loadedVersion returns the version of the model or adapter of c that the engine has loaded, or false if it has loaded
// none.
func loadedVersion(e *engine, c VersionCopy) (VersionCopy, bool) {
	for _, l := range e.state.Loaded {
		if l.ref() == c.ref() {
			return l, true
		}
	}
	return VersionCopy{}, false
}

// hasAdaptersElsewhere reports whether each adapter in use that the engine would lose with the model c has a verified
// copy on another engine, that is, one that a recent read shows. An engine unloads a model's adapters together with the
// last version of the model.
func (b *planBuilder) hasAdaptersElsewhere(e *engine, c VersionCopy) bool {
	if c.Kind != object.KindModel || e.hasOtherVersion(c) {
		return true
	}
	for _, l := range e.state.Loaded {
		if l.Kind != object.KindAdapter || b.graph.Adapters[l.Name].Model != c.Name {
			continue
		}
		if req, used := b.requirementOfAnyVersion(l); !used || req.copy != l {
			continue
		}
		if b.countVerifiedCopies(e, func(o *engine) (VersionCopy, bool) { return l, o.hasCopy(l) }) == 0 {
			return false
		}
	}
	return true
}

// countVerifiedCopies returns the number of engines other than e that have a verified copy of a model or adapter
// version, that is, one that a recent read of the engine shows. heldCopy returns the copy to look for on an engine and
// whether the engine has loaded it. Engines that have yet to accept this leader's fencing number are added to
// fencingOrders and not counted.
func (b *planBuilder) countVerifiedCopies(e *engine, heldCopy func(*engine) (VersionCopy, bool)) int {
	n := 0
	for _, o := range b.live {
		c, ok := heldCopy(o)
		if o == e || !ok || !b.isVerified(o, b.now) || b.now.Before(o.uncertainUntil[c]) {
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
