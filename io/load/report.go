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

// maxExamples is the number of violations and errors that a report shows in full.
const maxExamples = 20

// Latency sums up a histogram in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean-ms"`
	P50MS  float64 `json:"p50-ms"`
	P95MS  float64 `json:"p95-ms"`
	P99MS  float64 `json:"p99-ms"`
	MaxMS  float64 `json:"max-ms"`
}

// Group reports one kind of work.
type Group struct {
	Started int            `json:"started"`
	Ends    map[string]int `json:"ends"`
	// InTime is the number of complete generations whose first token came within the wait.
	InTime     int     `json:"in-time"`
	Tokens     int64   `json:"tokens"`
	Reconnects int     `json:"reconnects"`
	FirstToken Latency `json:"first-token"`
	TokenGap   Latency `json:"token-gap"`
	LongestGap Latency `json:"longest-gap"`
	ResumeGap  Latency `json:"resume-gap"`
	Completion Latency `json:"completion"`
}

// AccountReport reports one client account.
type AccountReport struct {
	Started  int   `json:"started"`
	Complete int   `json:"complete"`
	Refused  int   `json:"refused"`
	Tokens   int64 `json:"tokens"`
}

// Report is the result of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Skipped int     `json:"skipped"`
	// StartLag is how late the tool itself started its work; large values spoil the other latencies.
	StartLag Latency          `json:"start-lag"`
	Groups   map[string]Group `json:"groups"`
	// Refusals counts each refusal by its reason, Outcomes by its outcome; retried ones count too.
	Refusals    map[common.Reason]int    `json:"refusals"`
	Outcomes    map[common.Outcome]int   `json:"outcomes"`
	RefusalTime Latency                  `json:"refusal-time"`
	Accounts    map[string]AccountReport `json:"accounts"`
	Engines     *EngineTotals            `json:"engines,omitempty"`
	// DoubleExecutions and FalseNotRun count requests that contradict what their callers were told.
	DoubleExecutions int `json:"double-executions"`
	FalseNotRun      int `json:"false-not-run"`
	// ViolationCount counts broken invariants, Violations shows the first of them, Errors the first broken requests.
	ViolationCount int      `json:"violation-count"`
	Violations     []string `json:"violations"`
	Errors         []string `json:"errors"`
}

// OK returns whether no invariant was broken.
func (r *Report) OK() bool { return r.ViolationCount == 0 }

// JSON writes the report as one indented JSON document.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// Text writes the report as lines for people.
func (r *Report) Text(w io.Writer) error {
	p := &printer{w: w}
	p.line("ran %.1f s, seed %d, skipped %d, violations %d", r.Seconds, r.Seed, r.Skipped, r.ViolationCount)
	p.latency("start lag", r.StartLag)
	for _, name := range slices.Sorted(maps.Keys(r.Groups)) {
		g := r.Groups[name]
		p.line("%s: started %d, ends %v, in time %d, tokens %d, reconnects %d", name, g.Started, g.Ends, g.InTime, g.Tokens, g.Reconnects)
		p.latency("first token", g.FirstToken)
		p.latency("token gap", g.TokenGap)
		p.latency("longest gap", g.LongestGap)
		p.latency("resume gap", g.ResumeGap)
		p.latency("completion", g.Completion)
	}
	p.line("refusals %v, outcomes %v", r.Refusals, r.Outcomes)
	p.latency("refusal time", r.RefusalTime)
	for _, name := range slices.Sorted(maps.Keys(r.Accounts)) {
		a := r.Accounts[name]
		p.line("account %s: started %d, complete %d, refused %d, tokens %d", name, a.Started, a.Complete, a.Refused, a.Tokens)
	}
	if e := r.Engines; e != nil {
		p.line("engines: %d answered, generated %d, prefilled %d, cancelled %d", e.Answered, e.GeneratedTokens, e.PrefilledTokens, e.Cancelled)
	}
	p.line("double executions %d, false not-run %d", r.DoubleExecutions, r.FalseNotRun)
	for _, v := range r.Violations {
		p.line("violation: %s", v)
	}
	for _, e := range r.Errors {
		p.line("error: %s", e)
	}
	return p.err
}

// printer writes lines until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.w, format+"\n", args...); err != nil {
		p.err = fmt.Errorf("write report: %w", err)
	}
}

func (p *printer) latency(name string, l Latency) {
	if l.Count == 0 {
		return
	}
	p.line("  %-12s n %d, mean %.1f, p50 %.1f, p95 %.1f, p99 %.1f, max %.1f ms", name, l.Count, l.MeanMS, l.P50MS, l.P95MS, l.P99MS, l.MaxMS)
}

// group collects one kind of work.
type group struct {
	Group
	firstToken, tokenGap, longestGap, resumeGap, completion histogram
}

// tally collects the results of a run; its zero value is ready to use.
type tally struct {
	mu          sync.Mutex
	skipped     int
	startLag    histogram
	groups      map[string]*group
	accounts    map[string]*AccountReport
	refusals    map[common.Reason]int
	outcomes    map[common.Outcome]int
	refusalTime histogram
	told        map[string]common.Outcome
	notRun      []uint64 // seeds of generations that were refused as not-run
	doubles     int
	falseNotRun int
	violations  []string
	errors      []string
}

func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

func (t *tally) lag(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startLag.record(d)
}

func (t *tally) violation(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, text)
}

// begin returns the collectors of an arrival's kind and account.
func (t *tally) begin(a arrival) (*group, *AccountReport) {
	if t.groups == nil {
		t.groups = make(map[string]*group)
		t.accounts = make(map[string]*AccountReport)
		t.refusals = make(map[common.Reason]int)
		t.outcomes = make(map[common.Outcome]int)
		t.told = make(map[string]common.Outcome)
	}
	g := t.groups[a.kind]
	if g == nil {
		g = &group{Group: Group{Ends: make(map[string]int)}}
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

func (t *tally) refused(refusals []*common.Refusal, times []time.Duration) {
	for _, r := range refusals {
		t.refusals[r.Reason]++
		t.outcomes[r.Outcome]++
	}
	for _, d := range times {
		t.refusalTime.record(d)
	}
}

func (t *tally) failed(err error) {
	if err != nil && len(t.errors) < maxExamples {
		t.errors = append(t.errors, err.Error())
	}
}

func (t *tally) generation(a arrival, wait time.Duration, res *Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, acc := t.begin(a)
	g.Ends[string(res.Status)]++
	g.Tokens += int64(len(res.IDs))
	acc.Tokens += int64(len(res.IDs))
	g.Reconnects += res.Reconnects
	t.refused(res.Refusals, res.RefusalTimes)
	if len(res.IDs) > 0 {
		g.firstToken.record(res.FirstToken)
	}
	for _, d := range res.Gaps {
		g.tokenGap.record(d)
	}
	if len(res.Gaps) > 0 {
		g.longestGap.record(slices.Max(res.Gaps))
	}
	for _, d := range res.ResumeGaps {
		g.resumeGap.record(d)
	}
	switch res.Status {
	case StatusComplete:
		acc.Complete++
		g.completion.record(res.Completion)
		if res.FirstToken <= wait {
			g.InTime++
		}
	case StatusRefused:
		acc.Refused++
		if res.ToldNotRun {
			t.notRun = append(t.notRun, a.seed)
		}
	case StatusWrong:
		t.violations = append(t.violations, fmt.Sprintf("generation with seed %d: %v", a.seed, res.Err))
	case StatusBroken, StatusCanceled:
		t.failed(res.Err)
	}
}

func (t *tally) call(a arrival, res *CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, acc := t.begin(a)
	g.Ends[string(res.Outcome)]++
	g.Reconnects += res.Sends - 1
	t.refused(res.Refusals, res.RefusalTimes)
	t.told[res.Key] = res.Outcome
	if res.Outcome == common.OutcomeDone {
		acc.Complete++
		g.completion.record(res.Completion)
		return
	}
	if res.Refusal != nil {
		acc.Refused++
		return
	}
	t.failed(res.Err)
}

func (t *tally) report() *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{
		Skipped: t.skipped, StartLag: t.startLag.summary(), RefusalTime: t.refusalTime.summary(),
		Groups: make(map[string]Group), Accounts: make(map[string]AccountReport),
		Refusals: t.refusals, Outcomes: t.outcomes,
		DoubleExecutions: t.doubles, FalseNotRun: t.falseNotRun,
		ViolationCount: len(t.violations),
		Violations:     append([]string{}, t.violations[:min(len(t.violations), maxExamples)]...),
		Errors:         append([]string{}, t.errors...),
	}
	for name, g := range t.groups {
		out := g.Group
		out.FirstToken = g.firstToken.summary()
		out.TokenGap = g.tokenGap.summary()
		out.LongestGap = g.longestGap.summary()
		out.ResumeGap = g.resumeGap.summary()
		out.Completion = g.completion.summary()
		r.Groups[name] = out
	}
	for name, a := range t.accounts {
		r.Accounts[name] = *a
	}
	return r
}
