package router

import (
	"math"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/route"
)

// denialLogInterval is the least time between two log lines of repeats that the retry budget did not allow.
const denialLogInterval = time.Second

// extraWork is a request's need for extra work, as the log shows it.
type extraWork struct {
	// log names the request.
	log *zap.Logger
	// reason is what ended the attempt before.
	reason common.Reason
	// tokens is the work in generated tokens.
	tokens float64
}

// earnRetryBudget adds a fraction of regular work, in tokens, to the retry budget.
func (d *dispatcher) earnRetryBudget(work float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Earn(work)
}

// spendRetryBudget takes the work of a repeat from the retry budget and reports whether the budget allowed it.
func (d *dispatcher) spendRetryBudget(w extraWork) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.spend(w)
}

// spend is spendRetryBudget with mu held.
func (d *dispatcher) spend(w extraWork) bool {
	if !d.budget.Spend(w.tokens) {
		d.countExtraWork("retries-denied", w.reason, 1)
		if now := d.Clock.Now(); d.denialLoggedAt.IsZero() || now.Sub(d.denialLoggedAt) >= denialLogInterval {
			d.denialLoggedAt = now
			w.log.Info("retry-denied", d.budgetFields(w)...)
		}
		return false
	}
	if w.tokens > 0 {
		d.countExtraWork("retries-paid", w.reason, 1)
		d.countExtraWork("extra-work", w.reason, w.tokens)
		w.log.Info("retry-paid", d.budgetFields(w)...)
	}
	return true
}

// allowsRepeat reports whether the retry budget allows a repeat of the work in tokens now.
func (d *dispatcher) allowsRepeat(tokens float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Allows(tokens)
}

// reserveReplacement reports whether the attempt, whose engine is silent, is to be given up because another one may follow, and
// takes the work of that from the retry budget. It takes nothing otherwise.
func (d *dispatcher) reserveReplacement(a *attempt, w extraWork) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if !d.budget.Allows(w.tokens) || !d.table.ReserveReplacement(a.stream, d.recentlyLost(now), now) {
		return false
	}
	return d.spend(w)
}

// recordMove logs and counts a move of a stream that the budget has paid; mu must be held.
func (d *dispatcher) recordMove(m route.StreamMove) {
	d.countExtraWork("extra-work", common.RetrySlow, m.Cost)
	log := d.Log.With(zap.String("request", m.Stream.ID), zap.String("endpoint", m.Stream.Endpoint.Name))
	log.Info("move-paid", d.budgetFields(extraWork{reason: common.RetrySlow, tokens: m.Cost})...)
}

// countExtraWork adds n, rounded up, to the named counter for the reason.
func (d *dispatcher) countExtraWork(name string, reason common.Reason, n float64) {
	d.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter(name).Inc(int64(math.Ceil(n)))
}

// budgetFields returns the log fields of a decision on extra work, with what the budget has left after it.
func (d *dispatcher) budgetFields(w extraWork) []zap.Field {
	return []zap.Field{
		zap.String("reason", string(w.reason)), zap.Float64("work", w.tokens), zap.Float64("available", d.budget.Available()),
		zap.Int("routers", d.routerCount),
	}
}
