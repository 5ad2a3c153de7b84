package orders

import (
	"slices"
	"time"

	"wasabiweir/core/object"
)

// EngineState is the state of a model engine as returned by one read, or the failure of the read.
type EngineState struct {
	Endpoint string
	// SentAt is the time at which the read was sent; later changes may be missing in the state.
	SentAt time.Time
	// Failed says that the engine did not answer the read; Loaded, Role and Fencing are then empty.
	Failed bool
	Loaded []VersionCopy
	Role   string
	// Fencing is the highest fencing number that the engine has accepted, or zero if it does not report one.
	Fencing Fencing
}

// engine is the planner's state of one model engine.
type engine struct {
	endpoint object.Endpoint
	state    EngineState
	// hasState says whether state holds the result of a read of the engine that succeeded since this leader started;
	// readFailed says whether the last read failed.
	hasState   bool
	readFailed bool
	// lastOrderAt is the time at which the last order was sent to the engine or completed there. pendingOrder is the
	// order, sent at sentAt, that the engine has neither completed nor failed yet; it is nil if there is none.
	lastOrderAt  time.Time
	pendingOrder *Order
	sentAt       time.Time
	// acceptedFencing says whether the engine has accepted an order of this leader. An engine that checks fencing
	// numbers rejects orders of earlier leaders from then on.
	acceptedFencing bool
	// expectedCopies holds the copies that the engine had loaded at the last read, updated by the orders completed since
	// then; it is nil if they are not known.
	expectedCopies map[VersionCopy]bool
	// unassignedSince holds, for each loaded copy that is not assigned to the engine, the time since which that is so.
	unassignedSince map[VersionCopy]time.Time
	// uncertainUntil holds, for each copy of which an unload failed or got no reply, the time until which the engine may
	// still execute that unload.
	uncertainUntil map[VersionCopy]time.Time
	// consecutiveFailures is the number of orders to the engine that failed in a row; the next order is not sent before
	// retryAt.
	consecutiveFailures int
	retryAt             time.Time
}

// hasCopy reports whether the engine had loaded this version of the model or adapter at the last read.
func (e *engine) hasCopy(c VersionCopy) bool { return e.hasState && slices.Contains(e.state.Loaded, c) }

// hasOtherVersion reports whether the engine has loaded another version of the same model or adapter than c.
func (e *engine) hasOtherVersion(c VersionCopy) bool {
	return e.hasState && slices.ContainsFunc(e.state.Loaded, func(l VersionCopy) bool {
		return l.Kind == c.Kind && l.Name == c.Name && l.Version != c.Version
	})
}

// countLoadedModels returns the number of models that the engine had loaded at the last read, without adapters.
func (e *engine) countLoadedModels() int {
	n := 0
	for _, c := range e.state.Loaded {
		if c.Kind == object.KindModel {
			n++
		}
	}
	return n
}

// recordOrderEffect updates expectedCopies with the copy that a completed order has loaded on the engine or unloaded
// from it.
func (e *engine) recordOrderEffect(o *Order) {
	if e.expectedCopies == nil {
		return
	}
	switch {
	case o.Action.isLoad():
		e.expectedCopies[o.Copy] = true
	case o.Action.isUnload():
		delete(e.expectedCopies, o.Copy)
	}
}

// showsOrderEffect reports whether the state that was read from the engine shows the effect of the order: the copy is
// loaded or unloaded, or the role is set.
func (s *EngineState) showsOrderEffect(o *Order) bool {
	has := slices.Contains(s.Loaded, o.Copy)
	switch {
	case o.Action.isLoad():
		return has
	case o.Action.isUnload():
		return !has
	default:
		return s.Role == o.Role
	}
}

// findDrifts returns the differences between the copies that a read of the engine shows and expectedCopies, sorted by
// copy.
func (e *engine) findDrifts(s *EngineState) []Drift {
	if e.expectedCopies == nil {
		return nil
	}
	var out []Drift
	loaded := make(map[VersionCopy]bool, len(s.Loaded))
	for _, c := range s.Loaded {
		loaded[c] = true
		if !e.expectedCopies[c] {
			out = append(out, Drift{Endpoint: s.Endpoint, Copy: c, Appeared: true})
		}
	}
	for c := range e.expectedCopies {
		if !loaded[c] {
			out = append(out, Drift{Endpoint: s.Endpoint, Copy: c})
		}
	}
	slices.SortFunc(out, func(a, b Drift) int { return a.Copy.compare(b.Copy) })
	return out
}

// setExpectedCopies replaces expectedCopies by the copies that a read of the engine shows as loaded.
func (e *engine) setExpectedCopies(loaded []VersionCopy) {
	e.expectedCopies = make(map[VersionCopy]bool, len(loaded))
	for _, c := range loaded {
		e.expectedCopies[c] = true
	}
}
