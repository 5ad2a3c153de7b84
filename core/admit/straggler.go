package admit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stragglerFactor is the multiple of the mean output length at which a running request becomes a straggler.
	stragglerFactor = 4
	// maxSuspension is how long a straggler stays suspended while other requests are queued; its caller receives no
	// tokens in that time.
	maxSuspension = 2 * time.Second
	// minSuspendInterval is the least time between two suspensions of one request.
	minSuspendInterval = 20 * time.Second
)

// runningRequests holds the tickets of the running requests and the smoothed mean output length, in tokens, of
// completed requests.
type runningRequests struct {
	tickets    map[*Ticket]struct{}
	meanOutput float64
}

// addTicket registers the ticket of a request as running.
func (r *runningRequests) addTicket(t *Ticket) {
	if r.tickets == nil {
		r.tickets = make(map[*Ticket]struct{})
	}
	r.tickets[t] = struct{}{}
}

// removeTicket unregisters the ticket of a running request that has ended or is suspended.
func (r *runningRequests) removeTicket(t *Ticket) { delete(r.tickets, t) }

// recordOutput adds the output length of a completed request to the mean.
func (r *runningRequests) recordOutput(tokens int) {
	if r.meanOutput == 0 {
		r.meanOutput = float64(tokens)
	}
	r.meanOutput += outputSmoothing * (float64(tokens) - r.meanOutput)
}

// Demote lowers the engine priority of running requests that have become stragglers and returns those whose priority
// has changed, sorted by ID. The new priority applies from the request's next attempt.
func (a *Admission) Demote() []*Ticket {
	var out []*Ticket
	for t := range a.running.tickets {
		if d := a.currentDemotion(t); d > t.demotionLevel {
			t.demotionLevel = d
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(x, y *Ticket) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// currentDemotion returns how far the engine priority of a running request is to be lowered for its number of generated
// tokens; short requests are never demoted.
func (a *Admission) currentDemotion(t *Ticket) int {
	if t.Short || a.running.meanOutput <= 0 {
		return 0
	}
	return min(maxDemotionLevel, int(float64(t.generatedTokens)/(stragglerFactor*a.running.meanOutput)))
}

// Suspend marks up to n stragglers as suspended, those with the longest output first, and returns them. It does so only
// if requests are queued, which could otherwise miss their deadline. The caller must cancel each attempt; StartRequests
// returns the ticket again when the request is to be resumed after the output that its caller has already received.
func (a *Admission) Suspend(n int, now time.Time) []*Ticket {
	if a.queuedRequests == 0 {
		return nil
	}
	var out []*Ticket
	for t := range a.running.tickets {
		if a.currentDemotion(t) > 0 && (t.suspendedAt.IsZero() || now.Sub(t.suspendedAt) >= minSuspendInterval) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(x, y *Ticket) int {
		if c := cmp.Compare(y.generatedTokens, x.generatedTokens); c != 0 {
			return c
		}
		return cmp.Compare(x.ID, y.ID)
	})
	out = out[:min(n, len(out))]
	for _, t := range out {
		t.state = StateSuspended
		t.suspendedAt = now
		t.demotionLevel = max(t.demotionLevel, 1)
		a.running.removeTicket(t)
		a.suspended = append(a.suspended, t)
	}
	return out
}

// resumeNextSuspended marks the first suspended request as running and returns it, or nil. A request is resumed as soon
// as there is capacity and no other request is queued, or after maxSuspension.
func (a *Admission) resumeNextSuspended(now time.Time) *Ticket {
	if len(a.suspended) == 0 || a.capacity.FreeReserved <= 0 {
		return nil
	}
	t := a.suspended[0]
	if a.queuedRequests > 0 && now.Sub(t.suspendedAt) < maxSuspension {
		return nil
	}
	a.removeSuspended(t)
	t.state = StateRunning
	a.running.addTicket(t)
	return t
}

// removeSuspended removes the request's ticket from the list of suspended requests.
func (a *Admission) removeSuspended(t *Ticket) {
	if i := slices.Index(a.suspended, t); i >= 0 {
		a.suspended = slices.Delete(a.suspended, i, i+1)
	}
}
