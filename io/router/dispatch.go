package router

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/admit"
	"wasabiweir/core/clock"
	"wasabiweir/core/common"
	"wasabiweir/core/object"
	"wasabiweir/core/route"
	"wasabiweir/core/stream"
	"wasabiweir/io/engine"
	"wasabiweir/io/metric"
)

// dispatchInterval is the interval at which the dispatcher updates endpoint health, expires queued requests and
// refills capacity.
const dispatchInterval = 50 * time.Millisecond

// dispatcher owns a router's admission queues and endpoint selection. It is guarded by a mutex that is held only for
// one decision: callers need the result at once, and passing requests to a goroutine would add two context switches
// per token.
type dispatcher struct {
	Clock   clock.Clock
	Metrics *metric.Scope
	Log     *zap.Logger

	mu sync.Mutex
	// table holds the health and the load of all endpoints, and budget limits the work, in tokens, that retries and
	// moves of streams may repeat.
	table  route.Table
	budget route.Budget
	// queues holds the admission queue of each service.
	queues map[string]*admit.Admission
	// jobs holds the queued and running generation requests by their admission ticket, except generations that were
	// transferred from another router.
	jobs map[*admit.Ticket]*job
	// attempts holds the attempts of requests in flight on endpoints, by their entry in the endpoint table.
	attempts map[*route.Stream]*attempt
	// modelServices tells for each service whether it serves models rather than plain HTTP.
	modelServices map[string]bool
	// listedLeaving holds the endpoints that the platform's instance list shows as leaving.
	listedLeaving map[string]bool
	// announcedLeaving holds, by endpoint name, the time at which the endpoint refused work because it is shutting
	// down.
	announcedLeaving map[string]time.Time
	// resumeQueues holds the interrupted generations of each service and software version that wait to continue.
	resumeQueues map[resumeQueueKey]*resumeQueue
	// routerCount is the number of live routers, this one included.
	routerCount int
	// prefillEstimators holds the estimator of the prompt processing time of each engine, by endpoint name.
	prefillEstimators map[string]*stream.PrefillEstimator
	// lostEndpoints holds, by endpoint name, the time at which an attempt was last lost there, for endpoints that have
	// returned no token since.
	lostEndpoints map[string]time.Time
	// lastLoss is when a request's attempt was last lost on any endpoint.
	lastLoss time.Time
	// denialLoggedAt is when a repeat that the retry budget did not allow was last logged.
	denialLoggedAt time.Time
}

// admissionWaitFraction is the part of a caller's wait within which a request must be predicted to start to be
// admitted. The benchmark needs no value below the default of 0.6, but real engines vary more: with 0.6, 49 of 710
// refusals in three runs of a load peak came after the wait had passed because the prediction was wrong; with 0.25
// there were none.
const admissionWaitFraction = 0.25

// job is a generation request from the time it is queued for admission until it ends.
type job struct {
	service string
	ticket  *admit.Ticket
	// ready is closed when the generation request may start or is refused; err is the refusal and is set before.
	ready chan struct{}
	err   error
}

// attempt is one request in flight on one endpoint; a failed request gets a new attempt.
type attempt struct {
	// stream is the attempt's entry in the endpoint table.
	stream  *route.Stream
	name    string
	domain  string // failure domain of the endpoint
	address string
	// declaredSoftware is the software version with which the endpoint was declared at the start of the attempt.
	declaredSoftware string
	// interrupt receives the reason why the session should continue on another endpoint.
	interrupt chan common.Reason
}

// initTables creates the dispatcher's maps and sets the default fractions of the endpoints' capacity that are kept for
// short requests and resumed generations.
func (d *dispatcher) initTables() {
	d.queues = map[string]*admit.Admission{}
	d.jobs = map[*admit.Ticket]*job{}
	d.attempts = map[*route.Stream]*attempt{}
	d.announcedLeaving = map[string]time.Time{}
	d.resumeQueues = map[resumeQueueKey]*resumeQueue{}
	d.prefillEstimators = map[string]*stream.PrefillEstimator{}
	d.lostEndpoints = map[string]time.Time{}
	d.table.Budget = &d.budget
	d.table.ReservedFraction = route.DefaultReservedFraction
	d.table.DedicatedFraction = route.DefaultDedicatedFraction
}

// leavingMarkTTL is how long an endpoint is not used after it refused work because it is shutting down. Without a
// limit, an endpoint that is restarted under the same name and address would never be used again. One that is still
// shutting down refuses the next request, which then runs elsewhere.
const leavingMarkTTL = 5 * time.Second

// applyConfig updates the endpoints, services and account limits from a new configuration.
func (d *dispatcher) applyConfig(g *object.Graph) {
	d.mu.Lock()
	defer d.mu.Unlock()
	specs := make([]route.EndpointSpec, 0, len(g.Endpoints))
	for _, e := range g.Endpoints {
		specs = append(specs, route.EndpointSpec{
			Name: e.Name, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots, Leaving: e.Leaving, Software: e.Software,
		})
	}
	d.table.Configure(specs)
	now := d.Clock.Now()
	d.modelServices = map[string]bool{}
	for name, service := range g.Services {
		d.modelServices[name] = service.Type == object.ServiceModel
		q := d.queues[name]
		if q == nil {
			q = &admit.Admission{Routers: 1, WaitFraction: admissionWaitFraction}
			d.queues[name] = q
		}
		for _, a := range g.Accounts {
			q.SetLimit(a.Name, admit.AccountLimit{
				Weight: a.Weight, TokensPerSecond: a.TokensPerSecond, MaxInFlight: a.MaxInFlight,
			}, now)
		}
	}
	d.refreshQueues(now)
}

// setRouterCount sets the number of live routers, by which the burst of the retry budget is divided, and account limits while this
// router has no valid lease on a share of them.
func (d *dispatcher) setRouterCount(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routerCount = n
	d.budget.SetRouters(n)
	for _, q := range d.queues {
		q.Routers = max(1, n)
	}
}

// setAccountShare sets this router's part of a client account's limits, as a fraction from 0 to 1.
func (d *dispatcher) setAccountShare(account string, part float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		q.SetShare(account, part, d.Clock.Now())
	}
}

// demandByAccount returns the tokens that each account has requested recently; accounts below one token are left out.
func (d *dispatcher) demandByAccount(v *ConfigView) map[string]float64 {
	if v == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	out := map[string]float64{}
	for _, q := range d.queues {
		for name := range v.Graph.Accounts {
			if n := q.Demand(name, now); n >= 1 {
				out[name] += math.Round(n)
			}
		}
	}
	return out
}

// enqueue adds a request to the admission queue of its service. The error is a refusal, for example when the request
// is predicted to start too late.
func (d *dispatcher) enqueue(service string, r admit.Request) (*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[service]
	if q == nil {
		return nil, common.NewNotRunRefusal(common.ReasonUnknownService, "service", "there is no service "+service)
	}
	now := d.Clock.Now()
	d.updateCapacity(service, q, now)
	r.TimeToFirstToken = d.table.PredictTimeToFirstTokenIdle(&route.Request{Service: service, PrefillTokens: r.PromptTokens})
	t, err := q.Enqueue(r, now)
	if err != nil {
		return nil, fmt.Errorf("admit request: %w", err)
	}
	j := &job{service: service, ticket: t, ready: make(chan struct{})}
	d.jobs[t] = j
	d.startQueued(q, now)
	return j, nil
}

// waitForStart blocks until the queued generation request may start. It returns a refusal if the request can't start
// in time or ctx ends.
func (d *dispatcher) waitForStart(ctx context.Context, j *job) error {
	select {
	case <-j.ready:
		return j.err
	case <-ctx.Done():
		d.finishJob(j, false)
		return common.NewNotRunRefusal(common.ReasonDeadline, "", "the caller left before the request started")
	}
}

// finishJob removes a generation request that has ended and starts queued ones in its place; complete means that its
// whole output was generated.
func (d *dispatcher) finishJob(j *job, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[j.service]
	q.RequestDone(j.ticket, complete, d.Clock.Now())
	delete(d.jobs, j.ticket)
	d.startQueued(q, d.Clock.Now())
}

// pickEndpoint selects an endpoint for the next attempt of a request and records the attempt as started. A resumed
// generation uses an endpoint that was lost recently only if there is no other.
func (d *dispatcher) pickEndpoint(req *route.Request, exclude route.NameSet) (*attempt, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	e, err := d.table.PickEndpoint(req, d.excludeLostEndpoints(req, exclude, now), now)
	if err != nil && req.Resume {
		e, err = d.table.PickEndpoint(req, exclude, now)
	}
	if err != nil {
		return nil, fmt.Errorf("select endpoint: %w", err)
	}
	a := &attempt{
		stream:  d.table.StartStream(req, e, now),
		name:    e.Name,
		domain:  e.Domain,
		address: e.Address,

		declaredSoftware: e.Software,
		interrupt:        make(chan common.Reason, 1),
	}
	d.attempts[a.stream] = a
	return a, nil
}

// recordTokens records that an engine returned n output tokens in an attempt of the generation request.
func (d *dispatcher) recordTokens(j *job, a *attempt, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	delete(d.lostEndpoints, a.name)
	d.table.RecordTokens(a.stream, n, now)
	d.queues[j.service].Progress(j.ticket, n, now)
}

// attemptFailed removes the failed attempt of a request from its endpoint. Connection failures, resets and silence
// also mark the endpoint as lost.
func (d *dispatcher) attemptFailed(a *attempt, reason common.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.table.FailStream(a.stream, reason, now)
	delete(d.attempts, a.stream)
	switch reason {
	case common.RetryConnect, common.RetryReset, common.RetrySilent:
		d.lostEndpoints[a.name] = now
		d.lastLoss = now
	}
}

// forgetFailures ends the backoff of the endpoint at the address, which only this router cannot reach.
func (d *dispatcher) forgetFailures(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.table.ForgetFailures(address) {
		delete(d.lostEndpoints, name)
	}
}

// attemptFinished removes the attempt of a request that ended without a fault of its endpoint.
func (d *dispatcher) attemptFinished(a *attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.FinishStream(a.stream, d.Clock.Now())
	delete(d.attempts, a.stream)
}

// markLeaving records that an endpoint refused work because it is shutting down; it gets no new work for
// leavingMarkTTL.
func (d *dispatcher) markLeaving(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetLeaving(name, true)
	d.announcedLeaving[name] = d.Clock.Now()
}

// pauseEngine keeps requests away from an engine for the time that it named when it refused one with status 503.
func (d *dispatcher) pauseEngine(name string, err error) {
	var e *engine.Error
	if !errors.As(err, &e) || e.Status != http.StatusServiceUnavailable || e.RetryAfter <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.PauseEndpoint(name, e.RetryAfter, d.Clock.Now())
}

// expireLeavingMarks makes endpoints available again whose mark by markLeaving is older than leavingMarkTTL.
func (d *dispatcher) expireLeavingMarks(now time.Time) {
	for name, at := range d.announcedLeaving {
		if now.Sub(at) < leavingMarkTTL {
			continue
		}
		delete(d.announcedLeaving, name)
		d.table.SetLeaving(name, d.listedLeaving[name])
	}
}

// setListedLeaving replaces the set of endpoints that the platform's instance list shows as leaving.
func (d *dispatcher) setListedLeaving(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, name := range names {
		listed[name] = true
		d.table.SetLeaving(name, true)
	}
	for name := range d.listedLeaving {
		if _, announced := d.announcedLeaving[name]; !listed[name] && !announced {
			d.table.SetLeaving(name, false)
		}
	}
	d.listedLeaving = listed
}

// engineAddresses returns the address of each model engine by endpoint name.
func (d *dispatcher) engineAddresses() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]string{}
	for _, e := range d.table.Endpoints() {
		if d.modelServices[e.Service] {
			out[e.Name] = e.Address
		}
	}
	return out
}

// resumeJob registers a generation that was transferred from another router as a running request; it is not queued for
// admission.
func (d *dispatcher) resumeJob(service string, r admit.Request) (*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[service]
	if q == nil {
		return nil, common.NewNotRunRefusal(common.ReasonUnknownService, "service", "there is no service "+service)
	}
	t := q.Resume(r, d.Clock.Now())
	j := &job{service: service, ticket: t, ready: make(chan struct{})}
	close(j.ready)
	return j, nil
}

// slowEndpoints returns the health, from 0 to 1 and rounded to two decimals, of endpoints below slowHealthThreshold.
func (d *dispatcher) slowEndpoints() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]float64{}
	for _, e := range d.table.Endpoints() {
		if h := e.Health(); h < slowHealthThreshold {
			out[e.Name] = math.Round(h*100) / 100
		}
	}
	return out
}

// slowHealthThreshold is the health below which an endpoint is reported to the control process as slow.
const slowHealthThreshold = 0.8

// setServedModels records the names of the models and adapters that an engine reports as loaded.
func (d *dispatcher) setServedModels(name string, models []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.SetModels(name, models)
}

// setSoftware records the software version that an engine reports, empty if it reports none.
func (d *dispatcher) setSoftware(name, version string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table.SetSoftware(name, version) {
		d.Log.Info("engine-software-changed", zap.String("endpoint", name), zap.String("reported", version))
	}
}

// applyCacheEvents updates the index of an engine's cached prompt blocks.
func (d *dispatcher) applyCacheEvents(name string, events []route.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.ApplyCacheEvents(name, events)
}

// recordLoadReport records the numbers of running and waiting requests that an endpoint reported.
func (d *dispatcher) recordLoadReport(name string, r route.LoadReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordLoadReport(name, r)
}

// inFlightCounts returns this router's queued requests by service and its running work by endpoint, which are sent to
// the other routers.
func (d *dispatcher) inFlightCounts(router string) route.PeerCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := make(map[string]int, len(d.queues))
	for service, q := range d.queues {
		waiting[service] = q.Queued()
	}
	return d.table.PeerCounts(router, waiting)
}

// recordPeerCounts records the queued requests and running work that another router has reported.
func (d *dispatcher) recordPeerCounts(c route.PeerCounts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.RecordPeerCounts(c, d.Clock.Now())
}

// jobCount returns the number of queued and running generation requests, except generations that were transferred from
// another router.
func (d *dispatcher) jobCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.jobs)
}

// tick updates endpoint health, moves streams off slow endpoints, lets interrupted generations resume that are due,
// and expires queued requests.
func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.table.Tick(now)
	d.expireLeavingMarks(now)
	d.interruptSlowStreams(now)
	for key, p := range d.resumeQueues {
		d.startDueResumes(key, p, now)
	}
	for _, q := range d.queues {
		for _, x := range q.Expire(now) {
			d.resolveJob(x.Ticket, x.Err)
		}
		q.Demote()
	}
	d.refreshQueues(now)
}

// interruptSlowStreams asks the sessions of streams on slow endpoints to continue elsewhere. It does nothing shortly
// after an endpoint was lost.
func (d *dispatcher) interruptSlowStreams(now time.Time) {
	if now.Sub(d.lastLoss) < stream.ResumeWithin {
		return // resumes after a loss slow all engines down by their prefills, and moves would add more prefills
	}
	for _, m := range d.table.ProposeMoves(now) {
		d.recordMove(m)
		if a := d.attempts[m.Stream]; a != nil {
			select {
			case a.interrupt <- common.RetrySlow:
			default:
			}
		}
	}
}

// refreshQueues updates the capacity of every service's admission queue and starts the queued requests that fit.
func (d *dispatcher) refreshQueues(now time.Time) {
	for service, q := range d.queues {
		d.updateCapacity(service, q, now)
		d.startQueued(q, now)
	}
}

// updateCapacity passes the free slots and the token rate of a service's endpoints to its admission queue.
func (d *dispatcher) updateCapacity(service string, q *admit.Admission, now time.Time) {
	c := d.table.Capacity(service, q.Queued(), now)
	q.SetCapacity(admit.Capacity{
		Slots: c.Slots, FreeShort: c.FreeShort, FreeReserved: c.FreeReserved, FreeLong: c.FreeLong,
		TokensPerSecond: c.TokensPerSecond / float64(max(1, q.Routers)), PredictedEnds: c.PredictedEnds,
	})
}

// startQueued starts the requests in the admission queue for which the service has capacity.
func (d *dispatcher) startQueued(q *admit.Admission, now time.Time) {
	for _, t := range q.StartRequests(now) {
		d.resolveJob(t, nil)
	}
}

// resolveJob wakes the goroutine that waits for a queued request: to start it if err is nil, and to refuse it
// otherwise.
func (d *dispatcher) resolveJob(t *admit.Ticket, err *common.Refusal) {
	j := d.jobs[t]
	if j == nil {
		return
	}
	if err != nil {
		j.err = err
		delete(d.jobs, t)
	}
	close(j.ready)
}

// loop calls tick every dispatchInterval until ctx ends.
func (d *dispatcher) loop(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.tick()
		}
	}
}
