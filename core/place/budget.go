package place

import "time"

// budgetSlots is the number of parts into which the window is divided.
const budgetSlots = 20

// Budget bounds the arrivals beyond the first of each request at one service in a sliding window. Relays share what the
// platform allows for all of them: each may spend the ratio of its own requests and an equal part of the slack.
type Budget struct {
	// Ratio is the number of extra arrivals for each request, and Slack what is added to them, over all relays.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Relays is the number of relays that share the slack; 0 counts as 1.
	Relays int

	slots [budgetSlots]budgetSlot
}

// budgetSlot counts what arrived in one part of the window.
type budgetSlot struct {
	number   int64
	requests float64
	extra    float64
}

func (b *Budget) slot(now time.Duration) *budgetSlot {
	number := int64(now / (b.Window / budgetSlots))
	s := &b.slots[number%budgetSlots]
	if s.number != number {
		*s = budgetSlot{number: number}
	}
	return s
}

// Request counts a request of a caller; now is the time since the process started, which no step of the clock moves.
func (b *Budget) Request(now time.Duration) { b.slot(now).requests++ }

// Spend takes one extra arrival, or returns false if the budget is used up.
func (b *Budget) Spend(now time.Duration) bool {
	last := b.slot(now)
	var requests, extra float64
	for _, s := range b.slots {
		if last.number-s.number < budgetSlots {
			requests += s.requests
			extra += s.extra
		}
	}
	if extra+1 > b.Ratio*requests+b.Slack/float64(max(1, b.Relays)) {
		return false
	}
	last.extra++
	return true
}
