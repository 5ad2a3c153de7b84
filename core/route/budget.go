package route

// Budget limits the extra work of hedges, retries and voluntary moves to a fraction of the regular work. Work is
// measured in generated tokens; a prefilled token counts as PrefillWeight. A nil budget allows no extra work.
type Budget struct {
	// Ratio is the allowed ratio of extra work to regular work; zero means DefaultBudgetRatio.
	Ratio float64
	// Burst is the largest amount that can accumulate; zero means DefaultBudgetBurst.
	Burst float64

	available   float64
	initialised bool
	earned      float64 // total regular work
	spent       float64 // total extra work
}

// Defaults of a Budget. The burst lets a router move a few long streams at once after an idle period.
const (
	DefaultBudgetRatio = 0.03
	DefaultBudgetBurst = 1000.0
)

// applyDefaults fills the budget up to its burst on first use, after setting fields that are zero to their defaults.
func (b *Budget) applyDefaults() {
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

// Earn records regular work, which adds to the budget.
func (b *Budget) Earn(work float64) {
	if b == nil {
		return
	}
	b.applyDefaults()
	b.earned += work
	b.available = min(b.Burst, b.available+work*b.Ratio)
}

// Spend deducts extra work from the budget. It returns false and deducts nothing if less than that is available.
func (b *Budget) Spend(work float64) bool {
	if b == nil {
		return false
	}
	b.applyDefaults()
	if b.available < work {
		return false
	}
	b.available -= work
	b.spent += work
	return true
}

// Available returns the amount of extra work that can be spent now.
func (b *Budget) Available() float64 {
	if b == nil {
		return 0
	}
	b.applyDefaults()
	return b.available
}
