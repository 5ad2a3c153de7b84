package load

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"wasabiweir/core/common"
	_ "wasabiweir/core/prop"
	"wasabiweir/core/token"
	"wasabiweir/io/stand"

	"pgregory.net/rapid"
)

// testContext returns a context with the timeout of the test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

var testRequest = Request{Model: "m", Prompt: "a b c", MaxTokens: 25, Seed: 8}

// Guards against a caller that loses tokens when a connection breaks, or resumes the stream at the wrong position.
func TestCompleteOverBreaks(t *testing.T) {
	f := &fakeRouters{breakEvery: 7}
	c := f.start(t, 3)
	res := c.Complete(testContext(t), testRequest)
	if res.Status != StatusComplete || len(res.IDs) != 25 {
		t.Fatalf("%s with %d tokens: %v", res.Status, len(res.IDs), res.Err)
	}
	if res.Reconnects != 3 || len(res.ResumeGaps) != 3 || len(res.TokenGaps) != 24 || len(f.generations) != 1 {
		t.Fatalf("reconnects %d, resume gaps %d, gaps %d, generations %d", res.Reconnects, len(res.ResumeGaps), len(res.TokenGaps), len(f.generations))
	}
}

// Guards against a caller that accepts an output with missing or repeated tokens.
func TestDamageIsWrong(t *testing.T) {
	for name, c := range map[string]struct {
		damage func([]uint32) []uint32
		kind   token.FaultKind
	}{
		"dropped":  {func(ids []uint32) []uint32 { return slices.Delete(ids, 9, 10) }, token.KindMissing},
		"cut":      {func(ids []uint32) []uint32 { return ids[:20] }, token.KindMissing},
		"repeated": {func(ids []uint32) []uint32 { return slices.Insert(ids, 9, ids[8]) }, token.KindRepeated},
	} {
		f := &fakeRouters{corrupt: c.damage, breakEvery: 8}
		res := f.start(t, 2).Complete(testContext(t), testRequest)
		var fault *token.TokenFault
		if res.Status != StatusWrong || !errors.As(res.Err, &fault) || fault.Kind != c.kind {
			t.Fatalf("%s: %s, %v", name, res.Status, res.Err)
		}
	}
}

// Guards against refused requests that are retried although that is not allowed, are not retried at the router that
// the refusal names, or are reported wrongly.
func TestRefusals(t *testing.T) {
	f := &fakeRouters{}
	c := f.start(t, 2)
	first := f.addresses[0]
	f.refuse = func(address string) *common.Refusal {
		if address == f.addresses[1] {
			return nil
		}
		return &common.Refusal{Reason: common.ReasonDraining, Outcome: common.OutcomeNotRun, Address: f.addresses[1]}
	}
	f.addresses = []string{first, f.addresses[1]}
	for range 8 {
		if res := c.Complete(testContext(t), testRequest); res.Status != StatusComplete {
			t.Fatalf("%s: %v", res.Status, res.Err)
		}
	}
	f.refuse = func(string) *common.Refusal { return common.NewNotRunRefusal(common.ReasonOverloaded, "", "full") }
	res := c.Complete(testContext(t), testRequest)
	if res.Status != StatusRefused || len(res.Refusals) != 1 || !res.ToldNotRun || res.Refusal.Reason != common.ReasonOverloaded {
		t.Fatalf("%s, refusals %v", res.Status, res.Refusals)
	}
	f.refuse = nil
	f.loseJournal = true
	res = c.Complete(testContext(t), testRequest)
	if res.Status != StatusRefused || res.ToldNotRun || res.Refusal.Reason != common.ReasonJournalLost || len(res.IDs) != 3 {
		t.Fatalf("%s, refusals %v, %d tokens", res.Status, res.Refusals, len(res.IDs))
	}
}

// Guards against a call that is not sent again with its key after its reply was lost, and against a not-run refusal
// that hides that the call may have run when it was sent before.
func TestCallAfterLostReply(t *testing.T) {
	s := &stand.Service{Faults: stand.ServiceFaults{DropReplies: 1}}
	f := &fakeRouters{serviceAddress: startService(t, s)}
	c := f.start(t, 2)
	key, err := NewKey()
	if err != nil {
		t.Fatal(err)
	}
	res := c.Call(testContext(t), Call{Service: "s", Path: "p", Key: key, Body: "call " + key})
	if res.Outcome != common.OutcomeDone || res.Sends != 2 || res.AllReplied {
		t.Fatalf("%+v", res)
	}
	r := CallResult{Err: errNotRefusal, Refusal: common.NewNotRunRefusal(common.ReasonLedgerUnavailable, "", ""), AllReplied: false}
	if !r.needsResend(&retryState{caller: c}) {
		t.Fatal("call is given up on a not-run refusal although an earlier send may have run")
	}
}

// newTestRunner returns a load test of the fake routers that also checks the executions of their service.
func newTestRunner(f *fakeRouters, w Workload) *Runner {
	return &Runner{
		Workload: w, Routers: f.addresses, Model: "m", Service: "s", Path: "p", ResendShare: 0.5,
		Services: []string{f.serviceAddress}, DrainTimeout: testTimeout,
	}
}

var testWorkload = Workload{
	Seed: 3, Duration: 200 * time.Millisecond, Rate: 200, CallShare: 0.3, LongShare: 0.2,
	LongTokens: 60, ShortTokens: 8, Accounts: []Account{{Name: "a", Share: 4}, {Name: "b"}},
}

// Guards against a report that omits requests or latencies, or changes the JSON names that its readers use.
func TestLoadReport(t *testing.T) {
	f := &fakeRouters{serviceAddress: startService(t, &stand.Service{}), breakEvery: 20}
	f.start(t, 2)
	l := newTestRunner(f, testWorkload)
	l.ResendShare = 0 // the fake routers have no ledger, so a resent call would be executed twice
	r, err := l.Run(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if !r.OK() || r.Skipped != 0 {
		t.Fatalf("violations %v, skipped %d", r.Violations, r.Skipped)
	}
	started := 0
	for kind, g := range r.Groups {
		started += g.Started
		if ends := g.Ends[string(StatusComplete)] + g.Ends[string(common.OutcomeDone)]; ends != g.Started || g.Completion.Count != int64(ends) {
			t.Fatalf("%s: %+v", kind, g)
		}
	}
	if len(r.Groups) != 3 || started != r.Accounts["a"].Started+r.Accounts["b"].Started || r.Groups[kindLong].ResumeGap.Count == 0 {
		t.Fatalf("groups %+v", r.Groups)
	}
	var text, doc bytes.Buffer
	if err := errors.Join(r.Text(&text), r.JSON(&doc)); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "account b") || !strings.Contains(doc.String(), `"double-executions": 0`) {
		t.Fatalf("%s\n%s", &text, &doc)
	}
}

// Guards against a load generator that misses a call that was executed twice, or executed although its caller was told
// not-run.
func TestLoadFindsBrokenCalls(t *testing.T) {
	m := testWorkload
	m.CallShare = 1
	for name, f := range map[string]*fakeRouters{"twice": {extraCallSends: 1}, "denied": {refuseAfterRun: true}} {
		f.serviceAddress = startService(t, &stand.Service{})
		f.start(t, 1)
		r, err := newTestRunner(f, m).Run(testContext(t))
		if err != nil {
			t.Fatal(err)
		}
		calls := r.Groups[kindCall].Started
		if calls == 0 || (name == "twice" && r.DoubleExecutions != calls) || (name == "denied" && r.FalseNotRun != calls) {
			t.Fatalf("%s: %d calls, %d double, %d false not-run", name, calls, r.DoubleExecutions, r.FalseNotRun)
		}
	}
}

// Guards against a load generator that misses a generation that was run although its caller was told not-run.
func TestLoadFindsFalseNotRun(t *testing.T) {
	f := &fakeRouters{refuse: func(string) *common.Refusal { return common.NewNotRunRefusal(common.ReasonOverloaded, "", "") }}
	f.start(t, 1)
	m := testWorkload
	m.CallShare = 0
	l := newTestRunner(f, m)
	l.Services, l.Engines = nil, f.addresses
	r, err := l.Run(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if n := r.Groups[kindShort].Started + r.Groups[kindLong].Started; n == 0 || r.FalseNotRun != n || r.Refusals[common.ReasonOverloaded] != n {
		t.Fatalf("%d started, %d false not-run, refusals %v", n, r.FalseNotRun, r.Refusals)
	}
}

// Guards against scheduled faults that are not sent to their stand-in. The fake routers have no ledger, so a dropped
// reply must lead to a second execution.
func TestLoadSetsFaults(t *testing.T) {
	f := &fakeRouters{serviceAddress: startService(t, &stand.Service{})}
	f.start(t, 1)
	m := testWorkload
	m.CallShare, m.Duration = 1, 500*time.Millisecond
	l := newTestRunner(f, m)
	l.ResendShare = 0
	l.Faults = []Fault{{Address: f.serviceAddress, Body: []byte(`{"drop-replies":1}`)}}
	r, err := l.Run(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if r.DoubleExecutions != 1 || r.ViolationCount != 1 {
		t.Fatalf("%d double executions, violations %v", r.DoubleExecutions, r.Violations)
	}
}

// allArrivals returns all arrivals of a workload.
func allArrivals(w Workload) []arrival {
	var all []arrival
	for p := newArrivalSchedule(w); ; {
		a, ok := p.nextArrival()
		if !ok {
			return all
		}
		all = append(all, a)
	}
}

// Guards against arrivals that differ between runs with the same seed, lie outside the duration of the workload, or do
// not follow the peak.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := testWorkload
		w.PromptWords = 3
		w.Seed = rapid.Uint64().Draw(t, "seed")
		w.Duration, w.PeakAt, w.PeakFor, w.PeakFactor = 4*time.Second, 2*time.Second, time.Second, 3
		all := allArrivals(w)
		if !slices.Equal(all, allArrivals(w)) {
			t.Fatal("the same seed gives different arrivals")
		}
		var before, peak int
		for i, a := range all {
			if i > 0 && a.at < all[i-1].at || a.at >= w.Duration {
				t.Fatalf("arrival %d at %v", i, a.at)
			}
			if a.kind != kindCall && token.OutputLength(a.seed, len(token.Tokenize(a.prompt)), a.maxTokens) != a.outputTokens {
				t.Fatalf("arrival %d does not end after its tokens", i)
			}
			if a.at < time.Second {
				before++
			}
			if a.at >= w.PeakAt && a.at < w.PeakAt+w.PeakFor {
				peak++
			}
		}
		// The counts are Poisson distributed with means 200 and 600, so the bounds are many standard deviations away.
		if peak < 2*before || peak > 5*before {
			t.Fatalf("%d arrivals in a second before the peak, %d in one of the peak", before, peak)
		}
	})
}

// Guards against faults and accounts that are parsed wrongly, and against access tokens in error messages.
func TestParse(t *testing.T) {
	f, err := ParseFault(`5s 127.0.0.1:9001 {"slow": 5}`)
	if err != nil || f.At != 5*time.Second || f.Address != "127.0.0.1:9001" || string(f.Body) != `{"slow": 5}` {
		t.Fatalf("%+v, %v", f, err)
	}
	for _, s := range []string{"", "5s", "5s a {}", "x 1.1.1.1:1 {}", "5s 1.1.1.1:1 {"} {
		if _, err := ParseFault(s); err == nil {
			t.Fatalf("fault %q is accepted", s)
		}
	}
	a, err := ParseAccount("vets=secret=2.5")
	if err != nil || a != (Account{Name: "vets", Token: "secret", Share: 2.5}) {
		t.Fatalf("%+v, %v", a, err)
	}
	for _, s := range []string{"vets", "=secret", "vets=secret=x", "vets=secret=1=2"} {
		if _, err := ParseAccount(s); err == nil || strings.Contains(err.Error(), "secret") {
			t.Fatalf("account %q: %v", s, err)
		}
	}
}
