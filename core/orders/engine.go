package orders

import (
	"slices"
	"time"

	"wasabiweir/core/object"
)

// EngineState is the state of an engine as returned by one read, or the failure of the read.
type EngineState struct {
	Endpoint string
	// SentAt is the time at which the read was sent; later changes may be missing in the state.
	SentAt time.Time
	// Failed says that the engine did not answer; the fields below are then empty.
	Failed bool
	Loaded []Copy
	Role   string
	// Fencing is the highest fencing number that the engine has accepted, or zero if it does not report one.
	Fencing Fencing
}

// engine is the planner's state of one engine.
type engine struct {
	endpoint object.Endpoint
	state    EngineState
	// hasState says whether state holds a read that succeeded since this leader started; readFailed says whether the
	// last read failed.
	hasState   bool
	readFailed bool
	// lastOrderAt is the time at which the last order was sent to the engine or completed there.
	// pendingOrder is the order without an outcome, or nil; it was sent at sentAt.
	lastOrderAt  time.Time
	pendingOrder *Order
	sentAt       time.Time
	// acceptedFencing says whether the engine has accepted an order of this leader. An engine that checks fencing
	// numbers rejects orders of earlier leaders from then on.
	acceptedFencing bool
	// expectedCopies is what the engine had at the last read, updated by the orders completed since; nil if not known.
	expectedCopies map[Copy]bool
	// unwantedSince is the time since which a loaded copy has not been assigned to the engine.
	unwantedSince map[Copy]time.Time
	// uncertainUntil is the time until which the engine may still execute an unload that failed or got no reply.
	uncertainUntil map[Copy]time.Time
	// consecutiveFailures is the number of orders that failed in a row; the next one is not sent before retryAt.
	consecutiveFailures int
	retryAt             time.Time
}

// has reports whether the copy is loaded according to the last read.
func (e *engine) has(c Copy) bool { return e.hasState && slices.Contains(e.state.Loaded, c) }

// hasOtherVersion reports whether the engine has another version of the same model or adapter.
func (e *engine) hasOtherVersion(c Copy) bool {
	return e.hasState && slices.ContainsFunc(e.state.Loaded, func(l Copy) bool {
		return l.Kind == c.Kind && l.Name == c.Name && l.Version != c.Version
	})
}

// modelCount returns the number of loaded models.
func (e *engine) modelCount() int {
	n := 0
	for _, c := range e.state.Loaded {
		if c.Kind == object.KindModel {
			n++
		}
	}
	return n
}

// recordEffect updates expectedCopies with the effect of a completed order.
func (e *engine) recordEffect(o *Order) {
	if e.expectedCopies == nil {
		return
	}
	switch {
	case o.Action.loads():
		e.expectedCopies[o.Copy] = true
	case o.Action.unloads():
		delete(e.expectedCopies, o.Copy)
	}
}

// showsEffect reports whether an order is completed according to the state.
func (s *EngineState) showsEffect(o *Order) bool {
	has := slices.Contains(s.Loaded, o.Copy)
	switch {
	case o.Action.loads():
		return has
	case o.Action.unloads():
		return !has
	default:
		return s.Role == o.Role
	}
}

// drifts returns the differences between the state and expectedCopies, sorted by copy.
func (e *engine) drifts(s *EngineState) []Drift {
	if e.expectedCopies == nil {
		return nil
	}
	var out []Drift
	loaded := make(map[Copy]bool, len(s.Loaded))
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

// setExpected replaces expectedCopies by the loaded copies.
func (e *engine) setExpected(loaded []Copy) {
	e.expectedCopies = make(map[Copy]bool, len(loaded))
	for _, c := range loaded {
		e.expectedCopies[c] = true
	}
}
