package place

import (
	"math"
	"time"
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
}

// relayPosition is the index of a relay among all relays, and their number. The index is negative if the relay is not
// among them.
type relayPosition struct{ index, relays int }

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

// next returns the number of the first turn that the relay can still use.
func (p *turns) next(relay relayPosition, rate float64, lifetime time.Duration) float64 {
	relays := float64(max(1, relay.relays))
	first := max(p.used, math.Floor(p.position-lifetime.Seconds()*rate)) + 1
	index := float64(max(0, relay.index))
	return first + math.Mod(math.Mod(index-first, relays)+relays, relays)
}

// wait returns the time until the relay's next turn.
func (p *turns) wait(relay relayPosition, rate float64, lifetime time.Duration) time.Duration {
	missing := p.next(relay, rate, lifetime) - p.position
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// take uses the relay's next turn, whether or not it has come.
func (p *turns) take(relay relayPosition, rate float64, lifetime time.Duration) {
	p.used = p.next(relay, rate, lifetime)
}

// waitShare is the part of a route's latency objective that a request may wait for a turn: a caller that is refused
// after less still has nearly all of it for another relay.
const waitShare = 1.0 / 8

// ShouldWait reports whether a request that has waited for some time should wait for the next turn, rather than be
// refused so that its caller can ask another relay.
func ShouldWait(turn, waited, objective time.Duration) bool {
	return waited+turn <= time.Duration(waitShare*float64(objective))
}
