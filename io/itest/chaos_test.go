package itest

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/io/engine"
	"wasabiweir/io/load"
)

// workload runs generations and calls concurrently and collects their results, which the caller verifies.
type workload struct {
	t            testing.TB
	caller       *load.Caller
	promptPrefix string // text that each prompt starts with
	wg           sync.WaitGroup
	mu           sync.Mutex
	results      []load.Result
	calls        []load.CallResult
}

// newWorkload returns a workload whose caller uses all routers of the system.
func newWorkload(s *system) *workload {
	t := &engine.Transport{}
	return &workload{t: s.t, caller: &load.Caller{
		Addresses:    &load.Addresses{Seeds: s.routerAddresses, Transport: t},
		Transport:    t,
		StallTimeout: 2 * time.Second,
		ResumeLimit:  20 * time.Second,
		MaxAttempts:  8,
	}}
}

// startGeneration starts the i-th generation in the background.
func (c *workload) startGeneration(i, tokens int) {
	c.wg.Add(1)
	go c.runGeneration(i, tokens)
}

// startGenerations starts n generations in the background, the first of which has the given number.
func (c *workload) startGenerations(first, n, tokens int) {
	for i := range n {
		c.startGeneration(first+i, tokens)
	}
}

// runGeneration runs one generation and stores its result.
func (c *workload) runGeneration(i, tokens int) {
	defer c.wg.Done()
	r := c.caller.Complete(context.Background(), load.Request{
		Token: accountToken, Model: "dente", Prompt: fmt.Sprintf("%shistory of horse %d", c.promptPrefix, i), MaxTokens: tokens, Seed: uint64(i),
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// startCall starts a non-idempotent call with the key in the background.
func (c *workload) startCall(key string) {
	c.wg.Add(1)
	go c.runCall(key)
}

// runCall runs one call and stores its result.
func (c *workload) runCall(key string) {
	defer c.wg.Done()
	r := c.caller.Call(context.Background(), load.Call{
		Token: accountToken, Service: "rondas-app", Path: "/visits", Key: key, Body: `{"farm":1}`,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, r)
}

// verifyGenerations waits for all work and checks that the wanted number of generations ran and each one is complete.
func (c *workload) verifyGenerations(want int) {
	c.t.Helper()
	c.wg.Wait()
	if len(c.results) != want {
		c.t.Fatalf("%d results, want %d", len(c.results), want)
	}
	for i, r := range c.results {
		if r.Status != load.StatusComplete {
			c.t.Errorf("generation %d: status %s, refusal %v, error %v", i, r.Status, r.Refusal, r.Err)
		}
	}
}

// verifyCalls checks that the service's executions match the reported outcomes and that no key ran twice.
func (c *workload) verifyCalls(s *system) {
	c.t.Helper()
	e := readExecutions(c.t, s.serviceAddress)
	for _, r := range c.calls {
		n := e.Keys[r.Key]
		switch {
		case n > 1:
			c.t.Errorf("key %s ran %d times", r.Key, n)
		case r.Outcome == common.OutcomeDone && n != 1:
			c.t.Errorf("key %s was reported as done and ran %d times", r.Key, n)
		case r.Outcome == common.OutcomeNotRun && r.AllReplied && n != 0:
			c.t.Errorf("key %s was reported as not run and ran %d times", r.Key, n)
		}
	}
}

// longestGaps returns the longest gap between two tokens of each generation, sorted.
func (c *workload) longestGaps() []time.Duration {
	var out []time.Duration
	for _, r := range c.results {
		if len(r.TokenGaps) > 0 {
			out = append(out, slices.Max(r.TokenGaps))
		}
	}
	slices.Sort(out)
	return out
}

// quantile returns the q-quantile of sorted durations, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// injectFault sets faults of a stand-in process, given as a JSON object.
func injectFault(t testing.TB, address, body string) {
	t.Helper()
	res, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		t.Fatalf("fault %s: %s", body, res.Status)
	}
}

// Guards against lost, repeated or mixed-up tokens, lost answers and double executions while engines are killed,
// paused, silenced and slowed and routers are killed and paused.
func TestGenerationsSurviveFaults(t *testing.T) {
	const generations, tokens, calls = 200, 120, 40
	s := newSystem(t, systemSpec{controls: 3, routers: 4, engines: 6, engineArgs: []string{
		"-tokens-per-second", "25", "-slots", "64", "-batch-slowdown", "0.005", "-prefill-tokens-per-second", "20000",
	}})
	c := newWorkload(s)
	c.startGenerations(0, generations, tokens)
	for range calls {
		c.startCall(newIdempotencyKey(t))
	}
	time.Sleep(1500 * time.Millisecond)
	s.engines[0].kill()
	time.Sleep(300 * time.Millisecond)
	injectFault(t, s.engineAddresses[1], `{"silent":true}`)
	time.Sleep(300 * time.Millisecond)
	s.engines[2].signal(syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	s.routers[0].kill()
	time.Sleep(500 * time.Millisecond)
	s.engines[0].launch()
	s.routers[1].signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	s.engines[2].signal(syscall.SIGCONT)
	s.routers[1].signal(syscall.SIGCONT)
	injectFault(t, s.engineAddresses[3], `{"slow":5,"for-ms":3000}`)
	c.verifyGenerations(generations)
	c.verifyCalls(s)
	gaps := c.longestGaps()
	t.Logf("longest gap of each generation: p50 %s, p99 %s, max %s", quantile(gaps, 0.5), quantile(gaps, 0.99), quantile(gaps, 1))
}

// Guards against generations that are given up because two of their three journal holders are only silent: a router
// that is paused for longer than its links and its reports live comes back with its journals.
func TestSilentHoldersAreNotGivenUp(t *testing.T) {
	t.Parallel()
	const generations, tokens, pause = 60, 250, 7 * time.Second
	s := newSystem(t, systemSpec{controls: 1, routers: 4, engines: 4, engineArgs: []string{"-tokens-per-second", "25", "-slots", "64"}})
	c := newWorkload(s)
	c.startGenerations(0, generations, tokens)
	time.Sleep(2 * time.Second)
	paused := s.routers[:2]
	for _, r := range paused {
		r.signal(syscall.SIGSTOP)
	}
	time.Sleep(pause)
	for _, r := range paused {
		r.signal(syscall.SIGCONT)
	}
	c.verifyGenerations(generations)
}
