package route

// Budget limits a router's extra work of hedges, retries and voluntary moves to a fraction of the regular work. Work is
// measured in generated tokens; a prefilled token counts as PrefillWeight. A nil budget allows no extra work.
type Budget struct {
	// Ratio is the allowed ratio of extra work (hedges, retries, moves) to regular work; zero means DefaultBudgetRatio.
	Ratio float64
	// Burst is the largest amount of unspent extra work, in generated tokens, that can accumulate; zero means
	// DefaultBudgetBurst.
	Burst float64

	available   float64
	initialised bool
	earned      float64 // total regular work, in generated tokens
	spent       float64 // total extra work, in generated tokens
}

// Defaults of a Budget for extra work. The burst lets a router move a few long streams at once after an idle period.
const (
	DefaultBudgetRatio = 0.03
	DefaultBudgetBurst = 1000.0
)

// setDefaultLimits sets the budget's Ratio and Burst to their defaults if they are zero, and fills the budget up to its
// burst, on first use.
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
	b.available = b.Burst
}

// Earn records regular work in generated tokens, a fraction of which is added to the budget for extra work.
func (b *Budget) Earn(work float64) {
	if b == nil {
		return
	}
	b.setDefaultLimits()
	b.earned += work
	b.available = min(b.Burst, b.available+work*b.Ratio)
}

// Spend deducts extra work from the budget. It returns false and deducts nothing if less than that is available.
func (b *Budget) Spend(work float64) bool {
	if b == nil {
		return false
	}
	b.setDefaultLimits()
	if b.available < work {
		return false
	}
	b.available -= work
	b.spent += work
	return true
}

// Available returns the amount of extra work, in generated tokens, that the budget allows now.
func (b *Budget) Available() float64 {
	if b == nil {
		return 0
	}
	b.setDefaultLimits()
	return b.available
}
