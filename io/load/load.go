package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/io/engine"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/io/serve"
)

// Default settings of the load generator's Runner.
const (
	defaultDrainTimeout    = 60 * time.Second
	defaultMaxInFlight     = 20000
	defaultFirstTokenLimit = 3 * time.Second
	standInTimeout         = 5 * time.Second // limit of one request to a stand-in
)

// Fault is a fault to inject into a stand-in (a simulated engine or service) at a time after the start of the run.
type Fault struct {
	At time.Duration
	// Address is the IP address and port of the stand-in that is to fail.
	Address string
	// Body is the JSON body that describes the fault to the stand-in's POST /faults.
	Body json.RawMessage
}

// Runner sends an open-loop load to running routers and reports the results that its simulated callers saw. The fields
// must be set before Run.
type Runner struct {
	Workload
	// Routers are the addresses of the initial routers, from which the list of all routers is requested.
	Routers []string
	// Model is the model's name in generation requests. CheckModel is its name at the engines if it differs.
	Model      string
	CheckModel string
	// Service and Path are the name of the plain service and the URL path to which service calls are sent.
	Service string
	Path    string
	// ResendShare is the share, from 0 to 1, of successful service calls that are sent again with the same idempotency
	// key.
	ResendShare float64
	// Services are the addresses of the simulated services whose execution counts are compared with the outcomes
	// reported to callers.
	Services []string
	// Engines are the addresses of the simulated engines whose totals, and counts of generations by seed, are read. An
	// engine loses both when it restarts.
	Engines []string
	// Faults are the faults to inject into the stand-ins during the run.
	Faults []Fault
	// FirstTokenLimit is the longest time to the first token of a generation that counts as in time; zero means 3 s.
	FirstTokenLimit time.Duration
	// DrainTimeout bounds the wait for unfinished requests after the last arrival; zero means 60 s.
	DrainTimeout time.Duration
	// MaxInFlight is the largest number of unfinished requests. Arrivals beyond it are not sent but counted as
	// skipped. Zero means 20000.
	MaxInFlight int
	// Caller is the client that sends the requests. Run sets its Addresses and CheckModel, and its Transport if it is
	// nil.
	Caller Caller
	// Log receives a line for each generation with a wrong output token and for each injected fault; nil disables
	// logging.
	Log *zap.Logger

	start            time.Time
	inFlight         atomic.Int64
	pending          sync.WaitGroup // open requests and faults that are not injected yet
	results          resultCollector
	standInTransport engine.Transport
}

// Run sends the workload to the routers, waits for unfinished requests and returns the report. It returns an error if
// no report could be made.
func (r *Runner) Run(ctx context.Context) (*Report, error) {
	if len(r.Routers) == 0 {
		return nil, eris.New("no router to send to")
	}
	if r.Log == nil {
		r.Log = zap.NewNop()
	}
	if r.Caller.Transport == nil {
		r.Caller.Transport = &engine.Transport{MaxIdle: 256}
	}
	r.Caller.Addresses = &Addresses{Seeds: r.Routers, Transport: r.Caller.Transport}
	r.Caller.CheckModel = r.CheckModel
	before, err := r.readEngineTotals(ctx)
	if err != nil {
		return nil, fmt.Errorf("read engine totals: %w", err)
	}
	r.start = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range r.Faults {
		r.pending.Add(1)
		go (&faultInjector{runner: r, fault: r.Faults[i]}).run(ctx)
	}
	r.startArrivals(ctx)
	drain := time.AfterFunc(orDefault(r.DrainTimeout, defaultDrainTimeout), cancel)
	r.pending.Wait()
	drain.Stop()
	return r.buildReport(context.WithoutCancel(ctx), before)
}

// startArrivals starts the request of each arrival of the workload at its scheduled time, whether or not earlier
// requests have finished.
func (r *Runner) startArrivals(ctx context.Context) {
	p := newArrivalSchedule(r.Workload)
	for {
		a, ok := p.nextArrival()
		if !ok || !serve.Sleep(ctx, time.Until(r.start.Add(a.at))) {
			return
		}
		if r.inFlight.Load() >= int64(orDefault(r.MaxInFlight, defaultMaxInFlight)) {
			r.results.countSkipped()
			continue
		}
		r.inFlight.Add(1)
		r.pending.Add(1)
		go (&workItem{runner: r, arrival: a}).run(ctx)
	}
}

// workItem is one arrival of the workload, a generation or a service call, in progress.
type workItem struct {
	runner  *Runner
	arrival arrival
}

// run sends the generation or the service call and records its result.
func (w *workItem) run(ctx context.Context) {
	defer w.runner.pending.Done()
	defer w.runner.inFlight.Add(-1)
	due := w.runner.start.Add(w.arrival.at)
	w.runner.results.recordStartLag(time.Since(due))
	if w.arrival.kind == kindCall {
		w.runCall(ctx, due)
		return
	}
	a := w.arrival
	res := w.runner.Caller.Complete(ctx, Request{
		Token: a.account.Token, Model: w.runner.Model, Prompt: a.prompt, MaxTokens: a.maxTokens, Seed: a.seed, Due: due,
	})
	w.runner.results.recordGeneration(a, orDefault(w.runner.FirstTokenLimit, defaultFirstTokenLimit), &res)
	if res.Status == StatusWrong {
		w.runner.Log.Error("wrong-token-received", zap.String("account", a.account.Name), zap.Uint64("seed", a.seed), zap.Error(res.Err))
	}
}

// runCall sends a service call, checks that the reply is the call's own, and sends a share of the calls again to check
// that the same key yields the same reply.
func (w *workItem) runCall(ctx context.Context, due time.Time) {
	key, err := NewKey()
	if err != nil {
		w.runner.results.addViolation("key: " + err.Error())
		return
	}
	c := Call{
		Token: w.arrival.account.Token, Service: w.runner.Service, Path: w.runner.Path,
		Key: key, Body: "call " + key, Due: due,
	}
	res := w.runner.Caller.Call(ctx, c)
	w.runner.results.recordCall(w.arrival, &res)
	if res.Outcome != common.OutcomeDone {
		return
	}
	if !isEcho(res.Reply, c) {
		w.runner.results.addViolation(fmt.Sprintf("call %s got the reply of another request: %.200q", key, res.Reply))
	}
	if rand.Float64() >= w.runner.ResendShare {
		return
	}
	c.Due = time.Time{}
	resent := w.runner.Caller.Call(ctx, c)
	if resent.Outcome == common.OutcomeDone && !bytes.Equal(resent.Reply, res.Reply) {
		w.runner.results.addViolation(fmt.Sprintf("call %s got another reply when it was sent again", key))
	}
}

// isEcho reports whether the simulated service's reply contains the idempotency key and the body of the call.
func isEcho(reply []byte, c Call) bool {
	var echo struct {
		Key  string `json:"key"`
		Body string `json:"body"`
	}
	err := json.Unmarshal(reply, &echo)
	return err == nil && echo.Key == c.Key && echo.Body == c.Body
}

// faultInjector injects one fault into a stand-in at the fault's scheduled time.
type faultInjector struct {
	runner *Runner
	fault  Fault
}

// run waits until the fault is due and sends it to the stand-in.
func (f *faultInjector) run(ctx context.Context) {
	defer f.runner.pending.Done()
	if !serve.Sleep(ctx, time.Until(f.runner.start.Add(f.fault.At))) {
		return
	}
	err := f.runner.callStandIn(ctx, http.MethodPost, f.fault.Address, "/faults", f.fault.Body, nil)
	// A fault that kills the stand-in leaves the request without a reply, so an error is expected in that case.
	f.runner.Log.Info("fault-sent", zap.String("address", f.fault.Address), zap.ByteString("fault", f.fault.Body), zap.Error(err))
}
