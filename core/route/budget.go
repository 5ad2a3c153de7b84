package route

// Budget limits a router's extra work of hedges, retries and voluntary moves to a fraction of the regular work and a burst. The bursts of
// all routers together are bounded, since a service of which all endpoints fail hits all routers at the same moment. Work is measured in
// generated tokens; a prefilled token counts as PrefillWeight. A nil budget allows no extra work.
type Budget struct {
	// Ratio is the allowed ratio of extra work (hedges, retries, moves) to regular work; zero means DefaultBudgetRatio.
	Ratio float64
	// Burst is the largest unspent amount for repeats, in generated tokens, that a router can accumulate, and that for moves. No
	// request may repeat more. More than maxBursts routers share that many bursts for repeats. Zero means DefaultBudgetBurst.
	Burst float64

	// routers is the number of routers, zero if it is not known.
	routers int
	// repeats and moves are what this router may spend on either. Below zero, a repeat of a long prompt is still to be earned.
	repeats, moves float64
	initialised    bool
}

// Defaults of a Budget.
const (
	DefaultBudgetRatio = 0.03
	DefaultBudgetBurst = 1000.0
)

// maxBursts is the number of bursts for repeats of all routers together, however many there are: a system of the intended size has 8
// routers, and needs that much when a failure domain is lost.
const maxBursts = 8

// minBudgetShare is the least that a router can accumulate for repeats: one prompt of 1000 tokens.
const minBudgetShare = 1000 * PrefillWeight

// setDefaultLimits sets the budget's Ratio and Burst to their defaults if they are zero, and grants what a router has at its start, on
// first use.
func (b *Budget) setDefaultLimits() {
	if b.initialised {
		return
	}
	b.initialised = true
	if b.Ratio == 0 {
		b.Ratio = DefaultBudgetRatio
	}
	if b.Burst == 0 {
		b.Burst = DefaultBudgetBurst
	}
	// An earlier process of the router may have spent the rest of its share.
	b.repeats = b.Burst / maxBursts
}

// SetRouters sets the number of routers, this one included, by which the bursts are divided. A larger share has to be earned, so a number
// that falls allows no extra work by itself.
func (b *Budget) SetRouters(n int) {
	b.setDefaultLimits()
	b.routers = n
	b.repeats = min(b.repeats, b.share())
}

// share returns the largest unspent amount for repeats at this router.
func (b *Budget) share() float64 {
	return max(b.Burst*min(1, maxBursts/float64(max(1, b.routers))), min(minBudgetShare, b.Burst))
}

// Earn records regular work in generated tokens, a fraction of which is added to the budget for extra work: first to what every router
// needs for repeats, then to both parts alike, and what one has no room for goes to the other.
func (b *Budget) Earn(work float64) {
	if b == nil {
		return
	}
	b.setDefaultLimits()
	earned := work * b.Ratio
	first := min(earned, max(0, min(minBudgetShare, b.share())-b.repeats))
	half := (earned - first) / 2
	repeats := first + max(half, earned-first-(b.Burst-b.moves))
	repeats = min(repeats, b.share()-b.repeats)
	b.repeats += repeats
	b.moves = min(b.Burst, b.moves+earned-repeats)
}

// Spend deducts the work of a repeat from the budget. It returns false and deducts nothing if that is not available. One that is larger
// than this router's share needs the whole share, and no other is allowed until the rest is earned.
func (b *Budget) Spend(work float64) bool {
	if !b.Allows(work) {
		return false
	}
	b.repeats -= work
	return true
}

// Allows reports whether Spend would allow the work.
func (b *Budget) Allows(work float64) bool {
	if b == nil {
		return false
	}
	b.setDefaultLimits()
	return work <= 0 || work <= b.Burst && b.repeats >= min(work, b.share())
}

// SpendMove deducts the work of a voluntary move of a stream, which is not urgent, from the part for moves. Each router may accumulate up to
// Burst for them, and has nothing when it starts. It returns false and deducts nothing if less than the work is available.
func (b *Budget) SpendMove(work float64) bool {
	if b == nil || b.moves < work {
		return false
	}
	b.moves -= work
	return true
}

// Available returns the amount of extra work, in generated tokens, that the budget allows for repeats now.
func (b *Budget) Available() float64 {
	if b == nil {
		return 0
	}
	b.setDefaultLimits()
	return b.repeats
}
