package place

import (
	"math"
	"slices"
	"time"
)

const (
	// maxDeals bounds the divisions of the turns among the relays that are remembered; the turns of older ones are lost.
	maxDeals = 16
	// redealGap is the time after a change of the relays in which no turns are dealt: relays learn of the change one after
	// the other.
	redealGap = 300 * time.Millisecond
	// unlistedWait is the time after which a relay that has no turns, because it is not listed, looks again.
	unlistedWait = 500 * time.Millisecond
)

// turns paces the requests of all relays to one endpoint without a message for each request. Turns come at the rate that
// the endpoint takes and are numbered; they go to the relays by their index. A turn that its relay does not use for
// some time is lost, so that after a lull the relays do not send all at once.
type turns struct {
	// position is the number of turns of all relays that have come until updatedAt, with a fraction for the next one.
	position  float64
	updatedAt time.Time
	// used is the number of the last turn that this relay has used.
	used float64
	// deals are the latest divisions of the turns among the relays, in order. Each holds until the next one, so that no
	// turn that has come goes to another relay.
	deals []deal
}

// deal is the part of the turns behind a number that goes to this relay.
type deal struct {
	after float64
	relay relayPosition
}

// relayPosition is the index of a relay among all relays, and their number. The index is negative if the relay is not
// among them.
type relayPosition struct{ index, relays int }

// isListed reports whether the relay is among those that have turns.
func (r relayPosition) isListed() bool { return 0 <= r.index && r.index < r.relays }

// newTurns returns turns of which the number first has come and is used.
func newTurns(first float64, relay relayPosition) turns {
	return turns{position: first, used: first, deals: []deal{{after: first, relay: relay}}}
}

// update advances the position to the time now; rate is the number of turns per second.
func (p *turns) update(rate float64, now time.Time) {
	if elapsed := now.Sub(p.updatedAt); !p.updatedAt.IsZero() && elapsed > 0 {
		p.position += elapsed.Seconds() * rate
	}
	p.updatedAt = now
}

// adopt takes over the position of another process if it is ahead, so that all relays count the same turns.
func (p *turns) adopt(position, rate float64, now time.Time) {
	p.update(rate, now)
	p.position = max(p.position, position)
}

// skipPast gives up the turns that have come.
func (p *turns) skipPast() { p.used = max(p.used, math.Floor(p.position)) }

// redeal divides the turns that come later than redealGap from now among other relays, or in another order.
func (p *turns) redeal(relay relayPosition, rate float64, now time.Time) {
	p.update(rate, now)
	come := math.Floor(p.position)
	p.deals = slices.DeleteFunc(p.deals, func(d deal) bool { return d.after > come })
	p.deals = append(p.deals,
		deal{after: come, relay: relayPosition{index: -1}},
		deal{after: math.Floor(p.position + redealGap.Seconds()*rate), relay: relay},
	)
	p.deals = slices.Delete(p.deals, 0, max(0, len(p.deals)-maxDeals))
}

// next returns the number of the first turn that the relay can still use; it returns false if it gets none.
func (p *turns) next(rate float64, lifetime time.Duration) (turn float64, ok bool) {
	lost := math.Floor(p.position - lifetime.Seconds()*rate)
	for i, d := range p.deals {
		last := math.Inf(1)
		if i+1 < len(p.deals) {
			last = p.deals[i+1].after
		}
		if turn := d.relay.turnAfter(max(p.used, d.after, lost)); d.relay.isListed() && turn <= last {
			return turn, true
		}
	}
	return 0, false
}

// turnAfter returns the number of the relay's first turn behind the given number.
func (r relayPosition) turnAfter(number float64) float64 {
	first, relays := number+1, float64(r.relays)
	return first + math.Mod(math.Mod(float64(r.index)-first, relays)+relays, relays)
}

// wait returns the time until the relay's next turn.
func (p *turns) wait(rate float64, lifetime time.Duration) time.Duration {
	turn, ok := p.next(rate, lifetime)
	if !ok {
		return unlistedWait
	}
	return time.Duration(max(0, turn-p.position) / rate * float64(time.Second))
}

// take uses the relay's next turn, if it has any, whether or not it has come.
func (p *turns) take(rate float64, lifetime time.Duration) {
	if turn, ok := p.next(rate, lifetime); ok {
		p.used = turn
	}
}

// waitShare is the part of a route's latency objective that a request may wait for a turn: a caller that is refused
// after less still has nearly all of it for another relay.
const waitShare = 1.0 / 8

// ShouldWait reports whether a request that has waited for some time should wait for the next turn, rather than be
// refused so that its caller can ask another relay.
func ShouldWait(turn, waited, objective time.Duration) bool {
	return waited+turn <= time.Duration(waitShare*float64(objective))
}
