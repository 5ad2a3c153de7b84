package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"wasabiweir/core/common"
)

// maxReportedTexts is the largest number of violated guarantees, and of request errors, that a load test's report
// lists.
const maxReportedTexts = 20

// LatencySummary holds the count, mean, percentiles and maximum of a latency distribution, in milliseconds.
type LatencySummary struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean-ms"`
	P50MS  float64 `json:"p50-ms"`
	P95MS  float64 `json:"p95-ms"`
	P99MS  float64 `json:"p99-ms"`
	MaxMS  float64 `json:"max-ms"`
}

// GroupReport reports the results of one kind of work (short generations, long generations or service calls). Ends
// counts requests by their status or outcome.
type GroupReport struct {
	Started int            `json:"started"`
	Ends    map[string]int `json:"ends"`
	// InTime is the number of complete generations whose first token arrived within Runner.FirstTokenLimit.
	InTime     int            `json:"in-time"`
	Tokens     int64          `json:"tokens"`
	Reconnects int            `json:"reconnects"`
	FirstToken LatencySummary `json:"first-token"`
	TokenGap   LatencySummary `json:"token-gap"`
	LongestGap LatencySummary `json:"longest-gap"`
	ResumeGap  LatencySummary `json:"resume-gap"`
	Completion LatencySummary `json:"completion"`
}

// AccountReport reports the results of one client account in a load test.
type AccountReport struct {
	Started  int   `json:"started"`
	Complete int   `json:"complete"`
	Refused  int   `json:"refused"`
	Tokens   int64 `json:"tokens"`
}

// Report is the result of a load test.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Skipped int     `json:"skipped"`
	// StartLag is the delay between the scheduled and the actual start of requests. If it is large, the load generator
	// was too slow and the other latencies are not reliable.
	StartLag LatencySummary         `json:"start-lag"`
	Groups   map[string]GroupReport `json:"groups"`
	// Refusals counts refusals by reason, and Outcomes by the outcome that they report. Both include refusals after
	// which the request was retried.
	Refusals    map[common.Reason]int    `json:"refusals"`
	Outcomes    map[common.Outcome]int   `json:"outcomes"`
	RefusalTime LatencySummary           `json:"refusal-time"`
	Accounts    map[string]AccountReport `json:"accounts"`
	Engines     *EngineTotals            `json:"engines,omitempty"`
	// DoubleExecutions counts service calls that were executed more than once. FalseNotRun counts generations and
	// calls that were executed although their callers were told that they were not.
	DoubleExecutions int `json:"double-executions"`
	FalseNotRun      int `json:"false-not-run"`
	// ViolationCount is the number of violations of the guarantees that the load test checks. Violations lists the
	// first of them, and Errors the first requests that ended without a reply or a refusal.
	ViolationCount int      `json:"violation-count"`
	Violations     []string `json:"violations"`
	Errors         []string `json:"errors"`
}

// OK reports whether the load test found no violation of the guarantees that it checks.
func (r *Report) OK() bool { return r.ViolationCount == 0 }

// JSON writes the load test's report as an indented JSON document. It returns an error if a write fails.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// Text writes the load test's report as human-readable text. It returns an error if a write fails.
func (r *Report) Text(w io.Writer) error {
	p := &linePrinter{w: w}
	p.printLine("ran %.1f s, seed %d, skipped %d, violations %d", r.Seconds, r.Seed, r.Skipped, r.ViolationCount)
	p.printLatency("start lag", r.StartLag)
	for _, name := range slices.Sorted(maps.Keys(r.Groups)) {
		g := r.Groups[name]
		p.printLine("%s: started %d, ends %v, in time %d, tokens %d, reconnects %d", name, g.Started, g.Ends, g.InTime, g.Tokens, g.Reconnects)
		p.printLatency("first token", g.FirstToken)
		p.printLatency("token gap", g.TokenGap)
		p.printLatency("longest gap", g.LongestGap)
		p.printLatency("resume gap", g.ResumeGap)
		p.printLatency("completion", g.Completion)
	}
	p.printLine("refusals %v, outcomes %v", r.Refusals, r.Outcomes)
	p.printLatency("refusal time", r.RefusalTime)
	for _, name := range slices.Sorted(maps.Keys(r.Accounts)) {
		a := r.Accounts[name]
		p.printLine("account %s: started %d, complete %d, refused %d, tokens %d", name, a.Started, a.Complete, a.Refused, a.Tokens)
	}
	if e := r.Engines; e != nil {
		p.printLine("engines: %d answered, generated %d, prefilled %d, cancelled %d", e.Answered, e.GeneratedTokens, e.PrefilledTokens, e.Cancelled)
	}
	p.printLine("double executions %d, false not-run %d", r.DoubleExecutions, r.FalseNotRun)
	for _, v := range r.Violations {
		p.printLine("violation: %s", v)
	}
	for _, e := range r.Errors {
		p.printLine("error: %s", e)
	}
	return p.err
}

// linePrinter writes formatted lines of a report. After the first error it writes nothing more.
type linePrinter struct {
	w   io.Writer
	err error
}

// printLine writes one formatted line of a report.
func (p *linePrinter) printLine(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.w, format+"\n", args...); err != nil {
		p.err = fmt.Errorf("write report: %w", err)
	}
}

// printLatency writes one line with a latency summary, unless the summary is empty.
func (p *linePrinter) printLatency(name string, l LatencySummary) {
	if l.Count == 0 {
		return
	}
	p.printLine("  %-12s n %d, mean %.1f, p50 %.1f, p95 %.1f, p99 %.1f, max %.1f ms", name, l.Count, l.MeanMS, l.P50MS, l.P95MS, l.P99MS, l.MaxMS)
}

// groupCollector collects the results of one kind of work: short generations, long generations or service calls.
type groupCollector struct {
	GroupReport
	firstToken, tokenGap, longestGap, resumeGap, completion histogram
}

// resultCollector collects the results of a load test. Its zero value is ready to use.
type resultCollector struct {
	mu               sync.Mutex // guards the fields below
	skipped          int
	startLag         histogram
	groups           map[string]*groupCollector
	accounts         map[string]*AccountReport
	refusals         map[common.Reason]int
	outcomes         map[common.Outcome]int
	refusalTime      histogram
	toldOutcomes     map[string]common.Outcome // outcomes reported to callers, by idempotency key
	notRunSeeds      []uint64                  // seeds of generations whose callers were told that they did not run
	doubleExecutions int
	falseNotRun      int
	violations       []string
	errors           []string
}

// countSkipped counts an arrival that was not sent because too many requests were unfinished.
func (t *resultCollector) countSkipped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

// recordStartLag records the delay between the scheduled and the actual start of a request.
func (t *resultCollector) recordStartLag(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLag.recordDuration(d)
}

// addViolation adds the description of a violated guarantee to the load test's report.
func (t *resultCollector) addViolation(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, text)
}

// countStart counts a started request and returns the collectors for its kind of work and its account. The caller
// holds mu.
func (t *resultCollector) countStart(a arrival) (*groupCollector, *AccountReport) {
	if t.groups == nil {
		t.groups = make(map[string]*groupCollector)
		t.accounts = make(map[string]*AccountReport)
		t.refusals = make(map[common.Reason]int)
		t.outcomes = make(map[common.Outcome]int)
		t.toldOutcomes = make(map[string]common.Outcome)
	}
	g := t.groups[a.kind]
	if g == nil {
		g = &groupCollector{GroupReport: GroupReport{Ends: make(map[string]int)}}
		t.groups[a.kind] = g
	}
	acc := t.accounts[a.account.Name]
	if acc == nil {
		acc = &AccountReport{}
		t.accounts[a.account.Name] = acc
	}
	g.Started++
	acc.Started++
	return g, acc
}

// countRefusals counts the refusals of a request and records the times until they arrived. The caller holds mu.
func (t *resultCollector) countRefusals(refusals []*common.Refusal, times []time.Duration) {
	for _, r := range refusals {
		t.refusals[r.Reason]++
		t.outcomes[r.Outcome]++
	}
	for _, d := range times {
		t.refusalTime.recordDuration(d)
	}
}

// addError keeps the error of a request for the report if fewer than maxReportedTexts are kept. The caller holds mu.
func (t *resultCollector) addError(err error) {
	if err != nil && len(t.errors) < maxReportedTexts {
		t.errors = append(t.errors, err.Error())
	}
}

// recordGeneration records the result of a generation for the load test's report. A complete one counts as in time if
// its first token arrived within firstTokenLimit.
func (t *resultCollector) recordGeneration(a arrival, firstTokenLimit time.Duration, res *Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, acc := t.countStart(a)
	g.Ends[string(res.Status)]++
	g.Tokens += int64(len(res.IDs))
	acc.Tokens += int64(len(res.IDs))
	g.Reconnects += res.Reconnects
	t.countRefusals(res.Refusals, res.RefusalTimes)
	if len(res.IDs) > 0 {
		g.firstToken.recordDuration(res.FirstToken)
	}
	for _, d := range res.TokenGaps {
		g.tokenGap.recordDuration(d)
	}
	if len(res.TokenGaps) > 0 {
		g.longestGap.recordDuration(slices.Max(res.TokenGaps))
	}
	for _, d := range res.ResumeGaps {
		g.resumeGap.recordDuration(d)
	}
	switch res.Status {
	case StatusComplete:
		acc.Complete++
		g.completion.recordDuration(res.Completion)
		if res.FirstToken <= firstTokenLimit {
			g.InTime++
		}
	case StatusRefused:
		acc.Refused++
		if res.ToldNotRun {
			t.notRunSeeds = append(t.notRunSeeds, a.seed)
		}
	case StatusWrong:
		t.violations = append(t.violations, fmt.Sprintf("generation with seed %d: %v", a.seed, res.Err))
	case StatusBroken, StatusCanceled:
		t.addError(res.Err)
	}
}

// recordCall records the result of a service call for the load test's report.
func (t *resultCollector) recordCall(a arrival, res *CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, acc := t.countStart(a)
	g.Ends[string(res.Outcome)]++
	g.Reconnects += res.Sends - 1
	t.countRefusals(res.Refusals, res.RefusalTimes)
	t.toldOutcomes[res.Key] = res.Outcome
	if res.Outcome == common.OutcomeDone {
		acc.Complete++
		g.completion.recordDuration(res.Completion)
		return
	}
	if res.Refusal != nil {
		acc.Refused++
		return
	}
	t.addError(res.Err)
}

// buildReport returns the report of the load test's results so far.
func (t *resultCollector) buildReport() *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		Skipped: t.skipped, StartLag: t.startLag.latencySummary(), RefusalTime: t.refusalTime.latencySummary(),
		Groups: make(map[string]GroupReport), Accounts: make(map[string]AccountReport),
		Refusals: t.refusals, Outcomes: t.outcomes,
		DoubleExecutions: t.doubleExecutions, FalseNotRun: t.falseNotRun,
		ViolationCount: len(t.violations),
		Violations:     append([]string{}, t.violations[:min(len(t.violations), maxReportedTexts)]...),
		Errors:         append([]string{}, t.errors...),
	}
	for name, g := range t.groups {
		out := g.GroupReport
		out.FirstToken = g.firstToken.latencySummary()
		out.TokenGap = g.tokenGap.latencySummary()
		out.LongestGap = g.longestGap.latencySummary()
		out.ResumeGap = g.resumeGap.latencySummary()
		out.Completion = g.completion.latencySummary()
		r.Groups[name] = out
	}
	for name, a := range t.accounts {
		r.Accounts[name] = *a
	}
	return r
}
