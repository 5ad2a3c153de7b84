package reach

import (
	"math/rand/v2"
	"time"
)

const (
	// evidenceWindow is the longest time between a direct connection that failed and a carried one that was established for the
	// two to show that the endpoint is up and only this process cannot reach it. An endpoint that crashes takes longer to restart.
	evidenceWindow = 600 * time.Millisecond
	// verdictLifetime is the time after the latest evidence for which an endpoint counts as out of reach. Then it is dialled
	// directly first again.
	verdictLifetime = 2 * time.Second
	// cutOffEndpoints is the number of endpoints out of reach from which on the process takes itself to be cut off from all of them,
	// as long as it reaches none.
	cutOffEndpoints = 3
	// directLifetime is how long an established direct connection shows that the process is not cut off from all endpoints.
	directLifetime = time.Second
	// judgeLifetime is how long an established direct connection shows that the process reaches what can be reached. It is shorter, since
	// a verdict that others rely on is wrong for that long after the beginning of a cut.
	judgeLifetime = 200 * time.Millisecond
	// probeInterval is the time between two direct connections that look whether a cut has ended.
	probeInterval = 400 * time.Millisecond
	// downLifetime is how long the answers of carriers that an endpoint is down spare others the same question.
	downLifetime = 300 * time.Millisecond
	// maxPaths bounds the endpoints that are remembered; the oldest records go first.
	maxPaths = 4096
)

// Result is the result of an attempt to open a connection to an endpoint.
type Result int

const (
	// Unknown means that the attempt shows nothing about the endpoint.
	Unknown Result = iota
	// Connected means that the connection was established.
	Connected
	// Refused means that the endpoint's host refused or reset the connection.
	Refused
	// Silent means that the endpoint's host did not respond in time.
	Silent
)

// Table holds which endpoints the process reaches itself, by their addresses, and which other processes can carry connections to
// them. It is not safe for concurrent use; its exported fields are set before the first call.
type Table struct {
	// Domain is the failure domain of this process, whose carriers are asked first.
	Domain string
	// Rand is the source of the choice among equal carriers.
	Rand *rand.Rand

	paths    map[string]*path
	carriers carrierTable
	// connectedAt is when a direct connection was last established to any endpoint.
	connectedAt time.Time
	// cutOffAt is when the latest evidence was found that this process is cut off from all endpoints; zero since it has connected to one.
	cutOffAt time.Time
	// cutOffSince is when the first evidence of the current cut was found, and cutOffFailure how the direct connection failed.
	cutOffSince   time.Time
	cutOffFailure Result
	// hungAt is when connections to any endpoint out of reach were last found to hang.
	hungAt time.Time
	// probedAt is when the end of a cut was last looked for.
	probedAt time.Time
}

// path is what is known of the way to one endpoint.
type path struct {
	// failedAt is when the latest direct connection failed, with the result failure; zero since one was established.
	failedAt time.Time
	failure  Result
	// carriedAt is when a carrier last connected to the endpoint.
	carriedAt time.Time
	// downAt is when enough carriers last found the endpoint down.
	downAt time.Time
	// outSince is when the endpoint was found out of reach, and confirmedAt when that was last confirmed; zero while it is not.
	outSince    time.Time
	confirmedAt time.Time
}

// Plan states how to open a connection to an endpoint.
type Plan struct {
	// Carriers are the peer addresses of the processes that may carry the connection, in the order in which to ask them.
	Carriers []string
	// Reserves are the peer addresses of processes that may carry the connection if none of the carriers does. They are asked one after
	// the other.
	Reserves []string
	// CarriedFirst means that carriers are asked before the endpoint is dialled directly.
	CarriedFirst bool
	// Probe means that the endpoint is also dialled directly at once, to find out whether the cut has ended.
	Probe bool
	// CarriedOnly means that the process is cut off, and the end of the cut was looked for a moment ago: the endpoint is not dialled
	// directly.
	CarriedOnly bool
}

// IsHopeless reports whether there is no way to open the connection.
func (p *Plan) IsHopeless() bool { return p.CarriedOnly && !p.CarriedFirst }

// Plan returns how to open a connection to the endpoint.
func (t *Table) Plan(address string, now time.Time) Plan {
	p := t.paths[address]
	if p != nil && now.Sub(p.downAt) < downLifetime && now.Sub(p.carriedAt) >= downLifetime {
		return Plan{}
	}
	var plan Plan
	plan.Carriers, plan.Reserves = t.carriers.choose(t.Domain, t.Rand, now)
	if !t.IsOutOfReach(address, now) && !t.IsCutOff(now) {
		return plan
	}
	plan.CarriedFirst = len(plan.Carriers) > 0 || len(plan.Reserves) > 0
	plan.Probe = t.TakeProbe(now)
	plan.CarriedOnly = !plan.Probe && t.IsCutOff(now)
	return plan
}

// TakeProbe reports whether it is time to look whether a cut has ended.
func (t *Table) TakeProbe(now time.Time) bool {
	if now.Sub(t.probedAt) < probeInterval {
		return false
	}
	t.probedAt = now
	return true
}

// IsOutOfReach reports whether the endpoint is up and this process cannot connect to it.
func (t *Table) IsOutOfReach(address string, now time.Time) bool {
	p := t.paths[address]
	return p != nil && p.isOut(now)
}

// isOut reports whether the endpoint counts as out of reach.
func (p *path) isOut(now time.Time) bool {
	return !p.outSince.IsZero() && now.Sub(p.confirmedAt) < verdictLifetime
}

// HangsSince returns when the endpoint, or all endpoints, were found out of reach with connections that hang, so that a direct connection
// that was opened before is dead; it returns false if they do not.
func (t *Table) HangsSince(address string, now time.Time) (time.Time, bool) {
	if p := t.paths[address]; p != nil && p.isOut(now) {
		return p.outSince, p.failure == Silent
	}
	return t.cutOffSince, t.IsCutOff(now) && t.cutOffFailure == Silent
}

// HasHungSince reports whether connections to endpoints out of reach have been found to hang at the given time or later. The silence of one
// that was in use then shows nothing about its endpoint.
func (t *Table) HasHungSince(since time.Time) bool {
	return !t.hungAt.IsZero() && !t.hungAt.Before(since)
}

// IsCutOff reports whether this process is cut off from all endpoints: several are out of reach, and it has connected to none since.
func (t *Table) IsCutOff(now time.Time) bool {
	return !t.cutOffAt.IsZero() && now.Sub(t.cutOffAt) < verdictLifetime
}

// isCutOffBy reports whether enough endpoints are out of reach for the process to be cut off from all.
func (t *Table) isCutOffBy(now time.Time) bool {
	if now.Sub(t.connectedAt) < directLifetime {
		return false
	}
	out := 0
	for _, p := range t.paths {
		if p.isOut(now) {
			out++
		}
	}
	return out >= cutOffEndpoints
}

// RecordDirect records the result of a direct connection to the endpoint. It reports whether the endpoint has just been found out of
// reach.
func (t *Table) RecordDirect(address string, r Result, now time.Time) (out bool) {
	switch r {
	case Unknown:
	case Connected:
		t.connectedAt, t.cutOffAt = now, time.Time{}
		if p := t.paths[address]; p != nil {
			*p = path{}
		}
	default:
		p := t.path(address, now)
		p.failedAt, p.failure = now, r
		if t.IsCutOff(now) {
			// Without a carrier, no more evidence would arise while the cut goes on.
			t.cutOffAt = now
			if r == Silent {
				t.hungAt = now
			}
		}
		out = t.update(p, now)
	}
	return out
}

// RecordCarried records the result of a connection to the endpoint that a carrier was asked for. It reports whether the endpoint has just
// been found out of reach.
func (t *Table) RecordCarried(address string, r Result, now time.Time) (out bool) {
	if r != Connected {
		return false
	}
	p := t.path(address, now)
	p.carriedAt = now
	return t.update(p, now)
}

// RecordDown records that the endpoint is down by the word of several carriers, so that others need not be asked again at once.
func (t *Table) RecordDown(address string, now time.Time) { t.path(address, now).downAt = now }

// RecordCarrier records what came of asking a carrier. One that has not helped is not asked for a while.
func (t *Table) RecordCarrier(address string, a Answer, now time.Time) {
	t.carriers.record(address, a, now)
}

// MayJudge reports whether this process may tell others that an endpoint is down: it has reached one lately, so that it is hardly cut off
// itself.
func (t *Table) MayJudge(now time.Time) bool { return now.Sub(t.connectedAt) < judgeLifetime }

// SetCarriers sets the processes that may carry connections.
func (t *Table) SetCarriers(list []Carrier) { t.carriers.set(list) }

// IsCarrier reports whether the process at the peer address may carry connections, so that one that it carries may be used again.
func (t *Table) IsCarrier(address string) bool { return t.carriers.has(address) }

// update finds out from the latest results for an endpoint whether it is out of reach, and reports whether it was not before. A carried
// connection alone does not show that a cut goes on, so that only failures of direct ones prolong it.
func (t *Table) update(p *path, now time.Time) (out bool) {
	if p.failedAt.IsZero() || p.carriedAt.IsZero() {
		return false
	}
	wasOut := p.isOut(now)
	if !wasOut && p.carriedAt.Sub(p.failedAt).Abs() > evidenceWindow {
		return false
	}
	if !wasOut {
		p.outSince = p.failedAt
	}
	p.confirmedAt = p.failedAt
	if p.isOut(now) && p.failure == Silent && p.failedAt.After(t.hungAt) {
		t.hungAt = p.failedAt
	}
	if isCutOff := t.IsCutOff(now); p.isOut(now) && p.failedAt.After(t.cutOffAt) && (isCutOff || t.isCutOffBy(now)) {
		t.cutOffAt = p.failedAt
		if !isCutOff {
			t.cutOffSince, t.cutOffFailure = p.failedAt, p.failure
		}
	}
	return !wasOut && p.isOut(now)
}

// path returns the record of the endpoint. It makes one, and removes those without recent results if there are too many.
func (t *Table) path(address string, now time.Time) *path {
	if p := t.paths[address]; p != nil {
		return p
	}
	if t.paths == nil {
		t.paths = map[string]*path{}
	}
	if len(t.paths) >= maxPaths {
		for a, p := range t.paths {
			if now.Sub(p.latest()) > verdictLifetime {
				delete(t.paths, a)
			}
		}
	}
	p := &path{}
	if len(t.paths) < maxPaths {
		t.paths[address] = p
	}
	return p
}

// latest returns when the latest result was recorded.
func (p *path) latest() time.Time {
	latest := p.failedAt
	for _, at := range []time.Time{p.carriedAt, p.downAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}
