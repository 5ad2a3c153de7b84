package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wasabiweir/core/admit"
	"wasabiweir/core/route"
)

// serviceName is the name of the only model service in a simulated run.
const serviceName = "model"

// policySpec describes a routing policy that a run simulates.
type policySpec struct {
	name string
	// baseline means that engines serve in order of arrival, nothing is refused, lost generations start over and the
	// stall timeout is fixed.
	baseline  bool
	newPolicy func(s *sim, t *route.Table) route.Policy[*route.Endpoint]
	// ideal means one router without network delay, which shows the most that the engines could serve.
	ideal bool
}

// Names of the simulated routing policies: the project's own and the two baselines.
const (
	policyWasabiweir    = "wasabiweir"
	policyRoundRobin    = "round-robin"
	policyLeastReported = "least-reported"
)

// Policies lists the names of the routing policies that a benchmark run can compare.
var Policies = []string{policyWasabiweir, policyRoundRobin, policyLeastReported}

// allPolicies holds the routing policies that Run compares.
var allPolicies = []policySpec{
	{name: policyWasabiweir},
	{name: policyRoundRobin, baseline: true, newPolicy: newRoundRobin},
	{name: policyLeastReported, baseline: true, newPolicy: newLeastReported},
}

// idealPolicy is one router without network delay, whose goodput is the upper bound that the overload scenario
// compares with.
var idealPolicy = policySpec{name: "ideal", ideal: true}

// newRoundRobin returns a routing policy that picks the engines in turn.
func newRoundRobin(*sim, *route.Table) route.Policy[*route.Endpoint] {
	return &route.RoundRobin[*route.Endpoint]{}
}

// newLeastReported returns a routing policy that picks the engine with the lowest load in its latest report.
func newLeastReported(_ *sim, t *route.Table) route.Policy[*route.Endpoint] {
	cost := func(e *route.Endpoint, _ *route.Request, _ time.Time) float64 { return float64(e.ReportedRequests()) }
	return &route.LeastCost[*route.Endpoint]{Cost: cost, Rand: t.Rand}
}

// sim is one simulated run of a workload with one routing policy.
type sim struct {
	virtualClock
	options    Options
	deployment deployment
	policy     policySpec
	start      time.Time
	routers    []*router
	engines    []*engine
	jobs       []*job
	stats      extraWorkStats
	openJobs   int // jobs that have not ended
	// windowStart and windowEnd bound the measurement window, the only time in which tokens and requests count.
	windowStart, windowEnd time.Time
}

// newSim returns a simulated run of the policy with all its engines, routers and jobs, one job for each request of
// work.
func newSim(o Options, d deployment, p policySpec, work []arrival) *sim {
	s := &sim{options: o, deployment: d, policy: p, start: time.Unix(1_700_000_000, 0)}
	s.now = s.start
	var specs []route.EndpointSpec
	for i := range d.engines {
		spec := route.EndpointSpec{
			Name: fmt.Sprintf("engine-%02d", i), Service: serviceName, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Domain: d.domains[i%len(d.domains)], Slots: engineSlots,
		}
		specs = append(specs, spec)
		s.engines = append(s.engines, &engine{sim: s, spec: spec, slowdown: 1})
	}
	n := routerCount
	if p.ideal {
		n = 1
	}
	for i := range n {
		s.routers = append(s.routers, newRouter(s, i, specs))
	}
	for i := range work {
		s.jobs = append(s.jobs, &job{arrival: &work[i], started: s.start.Add(work[i].at)})
	}
	s.openJobs = len(s.jobs)
	return s
}

// run simulates the whole workload and returns the run; faults must be scheduled before the call.
func (s *sim) run() *sim {
	for _, j := range s.jobs {
		r := s.routers[j.router%len(s.routers)]
		s.scheduleAfter(j.at+s.clientDelay(), func() { r.handleRequest(j) })
	}
	for i, e := range s.engines {
		e.startPublishing(time.Duration(i) * 13 * time.Millisecond)
	}
	for i, r := range s.routers {
		r.startPeriodicWork(time.Duration(i) * 7 * time.Millisecond)
	}
	if !s.policy.baseline && !s.policy.ideal {
		s.scheduleEvery(shareInterval, s.updateShares)
	}
	s.virtualClock.run(s.start.Add(maxRunTime))
	for _, j := range s.jobs {
		if j.result == resultNone {
			j.result = resultLost
			j.endedAt = s.now
		}
	}
	return s
}

// maxRunTime limits the virtual time of a simulated run.
const maxRunTime = 15 * time.Minute

// hasOpenJobs reports whether any job of the run has not ended; periodic events stop after the last job.
func (s *sim) hasOpenJobs() bool { return s.openJobs > 0 }

// networkDelay returns the simulated one-way network delay between two processes.
func (s *sim) networkDelay() time.Duration {
	if s.policy.ideal {
		return 0
	}
	return s.deployment.networkDelay
}

// clientDelay returns the simulated one-way network delay between a caller and a router.
func (s *sim) clientDelay() time.Duration {
	if s.policy.ideal {
		return 0
	}
	return s.deployment.clientDelay
}

// linkDelay returns the simulated one-way network delay between a router and an engine, the same for all pairs.
func (s *sim) linkDelay(*router, *engine) time.Duration { return s.networkDelay() }

// newRand returns a random generator for the numbered random stream, seeded by the run's seed.
func (s *sim) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.options.Seed, stream))
}

// shareInterval is the interval at which the simulated control plane divides the account limits among the routers.
const shareInterval = time.Second

// updateShares divides each account's limit among the routers by the demand for it at each router, and returns whether
// the run goes on.
func (s *sim) updateShares() bool {
	for i := range accountTrafficShares {
		name := accountName(i)
		demands := make([]float64, len(s.routers))
		for i, r := range s.routers {
			demands[i] = r.admission.Demand(name, s.now)
		}
		shares := admit.Shares(demands)
		for i, r := range s.routers {
			share := shares[i]
			s.scheduleAfter(s.networkDelay(), func() { r.admission.SetShare(name, share, s.now) })
		}
	}
	return s.hasOpenJobs()
}

// accountName returns the name of the i-th simulated client account.
func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// engineIndex returns the index of the simulated engine behind the endpoint, or -1.
func (s *sim) engineIndex(e *route.Endpoint) int {
	for i, x := range s.engines {
		if x.spec.Name == e.Name {
			return i
		}
	}
	return -1
}

// recordToken records that the caller of the job receives a new token at the given time.
func (s *sim) recordToken(j *job, at time.Time) {
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = at
	} else {
		j.gapsMS = append(j.gapsMS, at.Sub(j.lastTokenAt).Seconds()*1000)
	}
	j.lastTokenAt = at
	if s.isInWindow(at) {
		j.tokensInWindow++
	}
	if j.interruption == "" {
		return
	}
	l := s.stats.interruptionsOf(j.interruption)
	d := at.Sub(j.interruptedAt)
	l.latenciesMS = append(l.latenciesMS, d.Seconds()*1000)
	l.beyondPrefillMS = append(l.beyondPrefillMS, (d-prefillTime(j.current.uncachedTokens)).Seconds()*1000)
	j.interruption = ""
}

// isInWindow reports whether the time is within the run's measurement window, in which tokens and requests count.
func (s *sim) isInWindow(t time.Time) bool { return !t.Before(s.windowStart) && t.Before(s.windowEnd) }

// setMeasurementWindow sets the window in which tokens and requests count, as times from the start of the run.
func (s *sim) setMeasurementWindow(from, to time.Duration) *sim {
	s.windowStart, s.windowEnd = s.start.Add(from), s.start.Add(to)
	return s
}
