package itest

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/route"
	"wasabiweir/io/stand"
)

// Bounds on resumes, from the measurement targets on the design page: on the latency after silence and after a reset,
// on any pause of the output, and on the extra prefill relative to the cost of starting over.
const (
	silentResumeBound = time.Second
	resetResumeBound  = 300 * time.Millisecond
	maxResumeGap      = 4 * time.Second
	extraPrefillBound = 0.1
)

// lostAttemptPattern matches a router's log line on a lost attempt: its reason and the number of tokens received by
// then.
var lostAttemptPattern = regexp.MustCompile(`event=attempt-lost .*reason=(\S+) tokens=(\d+)`)

// lostAttempts returns the number of lost attempts in the routers' logs and the sum of their tokens received by then.
func (s *system) lostAttempts() (n, tokens int) {
	for _, r := range s.routers {
		for _, m := range lostAttemptPattern.FindAllStringSubmatch(r.logText(), -1) {
			received, _ := strconv.Atoi(m[2])
			n++
			tokens += received
		}
	}
	return n, tokens
}

// tokenTotals returns the sums of the engines' token counts. It keeps the latest statistics in last and uses them for
// engines that do not answer.
func (s *system) tokenTotals(last map[string]stand.Stats) (prefilled, generated int64) {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, address := range s.engineAddresses {
		var v stand.Stats
		res, err := client.Get("http://" + address + "/stats")
		if err == nil {
			err = json.NewDecoder(res.Body).Decode(&v)
			_ = res.Body.Close()
		}
		if err == nil {
			last[address] = v
		}
	}
	for _, v := range last {
		prefilled += v.PrefilledTokens
		generated += v.GeneratedTokens
	}
	return prefilled, generated
}

// resumeCase is a test case with one kind of fault.
type resumeCase struct {
	name         string
	bound        time.Duration // bound on the 99th percentile
	tokensBefore int           // tokens generated before the fault
	inject       func()
	repair       func()
}

// Sizes of the generations that measureResumes starts: their number, the tokens after the fault and the prompt's words.
const resumeGenerations, tokensAfterFault, promptWords = 60, 35, 12

// measureResumes runs generations during one fault, logs the latency and extra work of the interrupted ones, and checks
// them against the bounds and against the cost of starting over.
func (s *system) measureResumes(t testing.TB, x resumeCase) {
	c := newWorkload(s)
	c.t = t
	c.promptPrefix = x.name + strings.Repeat(" chart", promptWords-6)
	lostBefore, lostTokensBefore := s.lostAttempts()
	stats := map[string]stand.Stats{}
	_, start := s.tokenTotals(stats)
	c.startGenerations(0, resumeGenerations, x.tokensBefore+tokensAfterFault)
	time.Sleep(time.Duration(x.tokensBefore) * time.Second / tokenRate)
	prefilled, generated := s.tokenTotals(stats)
	x.inject()
	c.verifyGenerations(resumeGenerations)
	c.verifyMaxGap()
	reprefilled, total := s.tokenTotals(stats)
	reprefilled -= prefilled
	generatedTwice := total - start - resumeGenerations*int64(x.tokensBefore+tokensAfterFault)
	lost, lostTokens := s.lostAttempts()
	lost, lostTokens = lost-lostBefore, lostTokens-lostTokensBefore
	gaps := c.longestGaps()
	uninterrupted := max(0, len(gaps)-max(1, min(len(c.results), lost+c.reconnectedCount())))
	usualGap := quantile(gaps[:uninterrupted], 1)
	gaps = gaps[uninterrupted:]
	// A generation whose router was killed would be started over, too.
	reconnected := c.reconnectedCount()
	lost += reconnected
	lostTokens += reconnected * x.tokensBefore
	restartCost := float64(lost*promptWords)*route.PrefillWeight + float64(lostTokens)
	restartTime := time.Duration(lostTokens) * time.Second / time.Duration(max(1, lost)*tokenRate)
	extraWork := float64(reprefilled)*route.PrefillWeight + float64(generatedTwice)
	t.Logf("%s: %d of %d interrupted after %d tokens; resume latency p50 %s, p99 %s, max %s; %d tokens generated twice, %d prefilled again; extra work %.0f; starting over costs %.0f and %s",
		x.name, len(gaps), resumeGenerations, (generated-start)/resumeGenerations, quantile(gaps, 0.5), quantile(gaps, 0.99),
		quantile(gaps, 1), generatedTwice, reprefilled, extraWork, restartCost, restartTime)
	if p99 := quantile(gaps, 0.99); p99 > x.bound+usualGap {
		t.Errorf("%s: p99 of the resume latency is %s, above %s and the longest gap of %s without interruption", x.name, p99, x.bound, usualGap)
	}
	if prefill := float64(reprefilled) * route.PrefillWeight; lost > 0 && prefill > restartCost*extraPrefillBound {
		t.Errorf("%s: prefilling again cost %.0f, more than a tenth of the %.0f of starting over", x.name, prefill, restartCost)
	}
	// An engine that still runs goes on generating until the stall is detected; how long that takes depends on
	// silentResumeBound only.
	if maxTwice := int64(len(gaps)) * tokenRate * int64(silentResumeBound/time.Second); generatedTwice > maxTwice {
		t.Errorf("%s: %d tokens were generated twice, want at most %d", x.name, generatedTwice, maxTwice)
	}
	if x.repair != nil {
		x.repair()
	}
}

// reconnectedCount returns the number of generations whose caller had to reconnect because its router was lost.
func (c *workload) reconnectedCount() int {
	n := 0
	for _, r := range c.results {
		if r.Reconnects > 0 {
			n++
		}
	}
	return n
}

// verifyMaxGap checks that no generation paused for longer than maxResumeGap.
func (c *workload) verifyMaxGap() {
	c.t.Helper()
	if gaps := c.longestGaps(); len(gaps) > 0 && gaps[len(gaps)-1] > maxResumeGap {
		c.t.Errorf("a generation's output went on after %s, want at most %s", gaps[len(gaps)-1], maxResumeGap)
	}
}

// tokenRate is the number of tokens per second of a generation in these tests.
const tokenRate = 25

// forEngines returns a function that applies f to the engines with the given indices.
func (s *system) forEngines(engines []int, f func(p *process)) func() {
	return func() {
		for _, i := range engines {
			f(s.engines[i])
		}
	}
}

// Guards against resumes that take longer or cost more than the bounds, for each kind of fault.
func TestResumeLatency(t *testing.T) {
	s := newSystem(t, systemSpec{controls: 1, routers: 4, engines: 6, engineArgs: []string{
		"-tokens-per-second", strconv.Itoa(tokenRate), "-slots", "64", "-batch-slowdown", "0.005", "-prefill-tokens-per-second", "20000",
	}})
	one, domain := []int{0}, []int{1, 4}
	kill, run := (*process).kill, (*process).launch
	stop := func(p *process) { p.signal(syscall.SIGSTOP) }
	cont := func(p *process) { p.signal(syscall.SIGCONT) }
	for _, x := range []resumeCase{
		{"engine killed", resetResumeBound + prefillAllowance, 25, s.forEngines(one, kill), s.forEngines(one, run)},
		{"engine stopped", silentResumeBound, 25, s.forEngines(one, stop), s.forEngines(one, cont)},
		{"connections silent", silentResumeBound, 125, func() { injectFault(t, s.engineAddresses[2], `{"silent":true}`) }, nil},
		{"domain killed", maxResumeGap, 25, s.forEngines(domain, kill), s.forEngines(domain, run)},
		{"domain stopped", maxResumeGap, 25, s.forEngines(domain, stop), s.forEngines(domain, cont)},
		{"router killed", resetResumeBound + prefillAllowance, 25, s.routers[0].kill, s.routers[0].launch},
	} {
		s.measureResumes(t, x)
		eventually(t, startTimeout, func() error { return s.checkAllServing() })
	}
}

// Guards against a router that was paused and mistakes its own pause for silence of its engines.
func TestPausedRouterKeepsItsAttempts(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 1, routers: 1, engines: 3, engineArgs: []string{"-tokens-per-second", strconv.Itoa(tokenRate)}})
	c := newWorkload(s)
	c.startGenerations(0, 12, 75)
	time.Sleep(time.Second)
	s.routers[0].signal(syscall.SIGSTOP)
	time.Sleep(1200 * time.Millisecond)
	s.routers[0].signal(syscall.SIGCONT)
	c.verifyGenerations(12)
	if n, _ := s.lostAttempts(); n > 0 {
		t.Errorf("%d attempts were lost", n)
	}
}

// prefillAllowance is the time that one engine takes to prefill the prompts and received tokens of all generations, at
// 20,000 tokens per second.
const prefillAllowance = resumeGenerations * (promptWords + 25) * time.Second / 20000

// checkAllServing returns an error unless all engines and routers serve and the system is settled.
func (s *system) checkAllServing() error {
	for _, a := range s.routerAddresses {
		if err := checkReady(a); err != nil {
			return err
		}
	}
	for _, a := range s.engineAddresses {
		if err := checkListening(a); err != nil {
			return err
		}
	}
	return s.checkSettled(systemSpec{routers: len(s.routers)})
}
