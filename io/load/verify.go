package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wasabiweir/core/common"

	"github.com/rotisserie/eris"
)

// callStandIn sends a request directly to a stand-in (a simulated engine or service) and decodes its JSON reply into
// out, unless out is nil.
func (r *Runner) callStandIn(ctx context.Context, method, address, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	// A new connection is not affected by an earlier fault that silenced the open connections.
	res, err := r.standInTransport.RoundTripper(true).RoundTrip(req)
	if err != nil {
		return fmt.Errorf("request %s: %w", path, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("request %s: status %d", path, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return fmt.Errorf("decode reply of %s: %w", path, err)
	}
	return nil
}

// EngineTotals holds the sums of the counters of all simulated engines that answered.
type EngineTotals struct {
	Answered        int   `json:"answered"`
	Cancelled       int64 `json:"cancelled"`
	PrefilledTokens int64 `json:"prefilled-tokens"`
	GeneratedTokens int64 `json:"generated-tokens"`
}

// readEngineTotals returns the sums of the counters of all simulated engines, and omits those that do not answer. It
// returns an error only if ctx has ended.
func (r *Runner) readEngineTotals(ctx context.Context) (EngineTotals, error) {
	var sum EngineTotals
	for _, address := range r.Engines {
		var totals EngineTotals
		if err := r.callStandIn(ctx, http.MethodGet, address, "/stats", nil, &totals); err != nil {
			if ctx.Err() != nil {
				return sum, fmt.Errorf("engine %s: %w", address, err)
			}
			continue
		}
		sum.Answered++
		sum.Cancelled += totals.Cancelled
		sum.PrefilledTokens += totals.PrefilledTokens
		sum.GeneratedTokens += totals.GeneratedTokens
	}
	return sum, nil
}

// buildReport compares the outcomes reported to callers with the executions that the simulated services and engines
// counted, and returns the load test's report.
func (r *Runner) buildReport(ctx context.Context, before EngineTotals) (*Report, error) {
	seconds := time.Since(r.start).Seconds()
	if len(r.Services) > 0 {
		if err := r.verifyCalls(ctx); err != nil {
			return nil, fmt.Errorf("verify calls: %w", err)
		}
	}
	r.verifyGenerations(ctx)
	after, err := r.readEngineTotals(ctx)
	if err != nil {
		return nil, fmt.Errorf("read engine totals: %w", err)
	}
	report := r.results.buildReport()
	report.Seed = r.Seed
	report.Seconds = seconds
	if len(r.Engines) > 0 {
		after.Cancelled -= before.Cancelled
		after.PrefilledTokens -= before.PrefilledTokens
		after.GeneratedTokens -= before.GeneratedTokens
		report.Engines = &after
	}
	return report, nil
}

// verifyCalls checks that no service call was executed twice, that no call with the outcome not-run was executed, and
// that every call with the outcome done was executed.
func (r *Runner) verifyCalls(ctx context.Context) error {
	executions := make(map[string]int)
	for _, address := range r.Services {
		var counts struct {
			Keys map[string]int `json:"keys"`
		}
		if err := r.callStandIn(ctx, http.MethodGet, address, "/executions", nil, &counts); err != nil {
			return fmt.Errorf("service %s: %w", address, err)
		}
		for key, n := range counts.Keys {
			executions[key] += n
		}
	}
	r.results.reportWrongExecutions(executions)
	return nil
}

// verifyGenerations adds a violation to the results for each generation that an engine which still answers has run
// although its caller was told that it did not run.
func (r *Runner) verifyGenerations(ctx context.Context) {
	for _, address := range r.Engines {
		var reply struct {
			Seeds map[uint64]int `json:"seeds"`
		}
		if err := r.callStandIn(ctx, http.MethodGet, address, "/seeds", nil, &reply); err != nil {
			continue // the seeds of a dead engine are lost
		}
		r.results.reportFalseNotRun(reply.Seeds)
	}
}

// reportFalseNotRun adds a violation for each generation that an engine ran although its caller was told that it did
// not run. seen counts the engine's generations by seed.
func (t *resultCollector) reportFalseNotRun(seen map[uint64]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seed := range t.notRunSeeds {
		if seen[seed] > 0 {
			t.falseNotRun++
			t.violations = append(t.violations, fmt.Sprintf("generation with seed %d ran, its caller was told not-run", seed))
		}
	}
}

// reportWrongExecutions adds a violation for each service call whose number of executions, by idempotency key,
// contradicts the outcome reported to its caller.
func (t *resultCollector) reportWrongExecutions(executions map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, toldOutcome := range t.toldOutcomes {
		n := executions[key]
		switch {
		case n > 1:
			t.doubleExecutions++
			t.violations = append(t.violations, fmt.Sprintf("call %s ran %d times", key, n))
		case n > 0 && toldOutcome == common.OutcomeNotRun:
			t.falseNotRun++
			t.violations = append(t.violations, fmt.Sprintf("call %s ran, its caller was told not-run", key))
		case n == 0 && toldOutcome == common.OutcomeDone:
			t.violations = append(t.violations, fmt.Sprintf("call %s is done for its caller and did not run", key))
		}
	}
}
