package place

import "time"

// budgetSlots is the number of parts into which the window is divided.
const budgetSlots = 20

// Parts of its share of the budget that a relay may spend. What engines' losses cause is bounded by the streams that run,
// and differs by chance between relays, so that one may overdraw its share while the sum stays far below the budget. What
// refusals cause is not bounded by anything else, and hits all relays at the same time.
const (
	lossPart    = 2.0
	refusalPart = 0.5
)

// Budget bounds the arrivals beyond the first of each request at one service in a sliding window. Relays share what the
// platform allows for all of them: the share of each is the ratio of its own requests and an equal part of the slack.
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
	// losses and refusals count the extra arrivals by their cause.
	losses   float64
	refusals float64
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

// SpendLoss takes one extra arrival for a request whose endpoint was lost, or returns false if the budget is used up.
func (b *Budget) SpendLoss(now time.Duration) bool {
	share, losses, refusals := b.spent(now)
	if losses+refusals+1 > lossPart*share {
		return false
	}
	b.slot(now).losses++
	return true
}

// SpendRefusal takes one extra arrival for a request that an endpoint refused or failed, or returns false if the budget is
// used up.
func (b *Budget) SpendRefusal(now time.Duration) bool {
	share, losses, refusals := b.spent(now)
	if refusals+1 > refusalPart*share || losses+refusals+1 > share {
		return false
	}
	b.slot(now).refusals++
	return true
}

// spent returns this relay's share in the window that ends now, and what it has spent.
func (b *Budget) spent(now time.Duration) (share, losses, refusals float64) {
	last := b.slot(now)
	var requests float64
	for _, s := range b.slots {
		if last.number-s.number < budgetSlots {
			requests += s.requests
			losses += s.losses
			refusals += s.refusals
		}
	}
	return b.Ratio*requests + b.Slack/float64(max(1, b.Relays)), losses, refusals
}
