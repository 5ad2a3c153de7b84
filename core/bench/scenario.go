package bench

import (
	"time"

	"wasabiweir/core/table"
)

// newRun returns a simulated run of the policy on the given requests, ready to start.
func (o Options) newRun(d deployment, p policySpec, work []arrival) *sim {
	return newSim(o, d, p, work)
}

// Parameters of the resume scenario, in which engines and then a failure domain fail.
const (
	resumeLoad          = 0.6               // fraction of the engines' capacity
	resumeFirstFault    = 90 * time.Second  // time of the first fault
	resumeFaultInterval = 4 * time.Second   // between the faults of single engines
	resumeRestoreDelay  = 15 * time.Second  // from a fault to the engine's restart
	resumeDomainLoss    = 135 * time.Second // time of the loss of a failure domain
	resumeLastArrival   = 160 * time.Second // end of the arrivals
)

// runResume measures how long interrupted output streams take to resume, and what that costs, for each policy.
func runResume(o Options, d deployment) map[string]Metrics {
	work := drawArrivals(o, d, d.requests.shortShare, []loadStep{{fraction: resumeLoad}}, resumeLastArrival)
	var faults []fault
	for i := range 9 {
		at := resumeFirstFault + time.Duration(i)*resumeFaultInterval
		switch e := i * 2; i % 3 {
		case 0:
			faults = append(faults, resetEngineFaults(e, at, at+resumeRestoreDelay)...)
		case 1:
			faults = append(faults, hangEngineFaults(e, at, at+resumeRestoreDelay)...)
		default:
			faults = append(faults, silenceEngineFaults(e, at)...)
		}
	}
	faults = append(faults, failDomainFaults(1, resumeDomainLoss, resumeDomainLoss+2*resumeRestoreDelay)...)
	out := map[string]Metrics{}
	for _, p := range o.selectedPolicies() {
		s := o.newRun(d, p, work).scheduleFaults(faults).run()
		latency := Metrics{}
		for _, kind := range []string{interruptionReset, interruptionSilent, interruptionDomain} {
			latency[kind] = quantiles(s.stats.interruptionsOf(kind).latenciesMS, "p50", "p99", "max")
		}
		out[p.name] = Metrics{
			"resume-latency-ms":            latency,
			"reset-beyond-prefill-ms":      quantiles(s.stats.interruptionsOf(interruptionReset).beyondPrefillMS, "p50", "p99", "max"),
			"interruptions":                s.interruptionCount(),
			"tokens-generated-again":       s.stats.discardedTokens,
			"tokens-on-silent-connections": s.stats.silentTokens,
			"tokens-prefilled-again":       s.stats.reprefilledTokens,
			"extra-work-ratio":             ratio(s.stats.resumeCost, s.stats.restartCost),
			"streams-lost":                 s.lostStreamCount(),
		}
	}
	return out
}

// interruptionCount returns the number of interruptions after which the interrupted output stream went on.
func (s *sim) interruptionCount() float64 {
	n := 0
	for _, l := range s.stats.interruptions {
		n += len(l.latenciesMS)
	}
	return float64(n)
}

// lostStreamCount returns the number of requests that produced a token but not the whole answer.
func (s *sim) lostStreamCount() float64 {
	n := 0
	for _, j := range s.jobs {
		if j.received > 0 && j.result != resultComplete {
			n++
		}
	}
	return float64(n)
}

// Parameters of the overload scenario, named crest in settings and reports: a period of load above capacity.
const (
	overloadBase     = 0.7 // load before and after the peak, as a fraction of the engines' capacity
	overloadPeak     = 2.0 // load during the peak, as a fraction of the engines' capacity
	overloadStart    = 30 * time.Second
	overloadDuration = 30 * time.Second
	overloadTail     = 20 * time.Second // arrivals after the peak
)

// runOverload measures the goodput of each policy under overload, compared with an ideal router without network delay.
func runOverload(o Options, d deployment) map[string]Metrics {
	steps := []loadStep{{fraction: overloadBase}, {from: overloadStart + time.Second, fraction: overloadPeak}, {from: overloadStart + overloadDuration, fraction: overloadBase}}
	work := drawArrivals(o, d, d.requests.shortShare, steps, overloadStart+overloadDuration+overloadTail)
	ideal := o.newRun(d, idealPolicy, work).setMeasurementWindow(overloadStart, overloadStart+overloadDuration).run()
	idealTokens := 0.0
	for _, j := range ideal.jobs {
		idealTokens += float64(j.tokensInWindow)
	}
	out := map[string]Metrics{}
	for _, p := range o.selectedPolicies() {
		s := o.newRun(d, p, work).setMeasurementWindow(overloadStart, overloadStart+overloadDuration).run()
		out[p.name] = s.overloadMetrics(idealTokens)
	}
	return out
}

// overloadMetrics returns the metrics of one run of the overload scenario; idealTokens is the number of tokens that
// the ideal router served.
func (s *sim) overloadMetrics(idealTokens float64) Metrics {
	var useful float64
	var offered, served, refused int
	var refusals []float64
	for _, j := range s.jobs {
		if j.servedInTarget() {
			useful += float64(j.tokensInWindow)
		}
		if !s.isInWindow(j.started) {
			continue
		}
		offered++
		if j.servedInTarget() {
			served++
		}
		if j.result == resultRefused {
			refused++
			refusals = append(refusals, j.endedAt.Sub(j.started).Seconds()*1000)
		}
	}
	return Metrics{
		"served-in-target-ratio":        ratio(float64(served), float64(offered)),
		"goodput-ratio":                 ratio(useful, idealTokens),
		"rated-ratio":                   ratio(useful*generatedTokenTime, s.windowEnd.Sub(s.windowStart).Seconds()*float64(s.deployment.engines)),
		"refused":                       float64(refused),
		"refusal-latency-ms":            quantiles(refusals, "p50", "p99", "max"),
		"smallest-account-served-ratio": s.smallestAccountServedRatio(),
	}
}

// smallestAccountServedRatio returns, for the account with the smallest share of the traffic, the fraction of its
// requests that were served within the target, among those that fit its limit.
func (s *sim) smallestAccountServedRatio() float64 {
	last := len(accountTrafficShares) - 1
	limit := accountLimit(s.deployment, accountTrafficShares[last]).TokensPerSecond
	b := table.Bucket{Rate: limit, Burst: 10 * limit}
	var fits, served float64
	for _, j := range s.jobs {
		if j.account != last || !s.isInWindow(j.started) || !b.Take(j.started, float64(j.outputTokens)) {
			continue
		}
		fits++
		if j.servedInTarget() {
			served++
		}
	}
	return ratio(served, fits)
}

// Parameters of the blocking scenario, in which long requests compete with short ones. The long requests alone exceed
// the capacity of the engines.
const (
	blockingLongLoad    = 1.2              // load of long requests, as a fraction of the engines' capacity
	blockingShortLoad   = 0.03             // load of short requests
	blockingWindowStart = 15 * time.Second // start of the measurement window
	blockingLastArrival = 60 * time.Second // end of the arrivals and of the window
)

// runBlocking measures how much long requests delay short ones, for each policy, and the throughput of the long ones.
func runBlocking(o Options, d deployment) map[string]Metrics {
	long := drawArrivals(o, d, 0, []loadStep{{fraction: blockingLongLoad}}, blockingLastArrival)
	short := drawArrivals(o, d, 1, []loadStep{{fraction: blockingShortLoad}}, blockingLastArrival)
	both := mergeArrivals(long, short)
	out := map[string]Metrics{}
	longTokens := map[string]float64{}
	for _, p := range o.selectedPolicies() {
		alone := o.newRun(d, p, short).setMeasurementWindow(blockingWindowStart, blockingLastArrival).run()
		s := o.newRun(d, p, both).setMeasurementWindow(blockingWindowStart, blockingLastArrival).run()
		longTokens[p.name] = s.longTokensInTarget()
		out[p.name] = Metrics{
			"short-first-token-ms": Metrics{
				"with":    quantiles(s.shortFirstTokensMS(), "p50", "p99"),
				"without": quantiles(alone.shortFirstTokensMS(), "p50", "p99"),
			},
			"short-served-ratio": s.shortServedRatio(),
			"long-tokens":        longTokens[p.name],
		}
	}
	best := 0.0
	for name, n := range longTokens {
		if name != policyWasabiweir {
			best = max(best, n)
		}
	}
	for name, f := range out {
		f["long-throughput-ratio"] = ratio(longTokens[name], best)
	}
	return out
}

// mergeArrivals merges the lists of long and short requests by time and prefixes their ids, so that the ids stay
// distinct.
func mergeArrivals(long, short []arrival) []arrival {
	out := make([]arrival, 0, len(long)+len(short))
	for len(long) > 0 || len(short) > 0 {
		if len(short) == 0 || len(long) > 0 && long[0].at <= short[0].at {
			long[0].id = "l" + long[0].id
			out, long = append(out, long[0]), long[1:]
			continue
		}
		a := short[0]
		a.id = "s" + a.id
		out, short = append(out, a), short[1:]
	}
	return out
}

// longTokensInTarget returns the number of tokens of those long requests that were served in the target, within the
// measurement window.
func (s *sim) longTokensInTarget() float64 {
	n := 0
	for _, j := range s.jobs {
		if !j.short && j.servedInTarget() {
			n += j.tokensInWindow
		}
	}
	return float64(n)
}

// shortFirstTokensMS returns the times to the first token of the run's short requests in milliseconds; a request
// without a token counts with callerWait.
func (s *sim) shortFirstTokensMS() []float64 {
	var out []float64
	for _, j := range s.jobs {
		if !j.short || !s.isInWindow(j.started) {
			continue
		}
		d := callerWait
		if !j.firstTokenAt.IsZero() {
			d = j.firstTokenAt.Sub(j.started)
		}
		out = append(out, d.Seconds()*1000)
	}
	return out
}

// shortServedRatio returns the fraction of the run's short requests that were served within the target.
func (s *sim) shortServedRatio() float64 {
	var offered, served float64
	for _, j := range s.jobs {
		if !j.short || !s.isInWindow(j.started) {
			continue
		}
		offered++
		if j.servedInTarget() {
			served++
		}
	}
	return ratio(served, offered)
}

// Parameters of the scenario with slow engines; each fault slows a tenth of the engines.
const (
	slowLoad          = 0.6              // fraction of the engines' capacity
	slowFactor        = 5                // how many times slower a slow engine is
	slowFirstFault    = 20 * time.Second // time of the first fault
	slowFaultInterval = 12 * time.Second // between two faults
	slowFaultCount    = 6
	slowLastArrival   = 100 * time.Second // end of the arrivals
)

// slowDurations are the durations of the successive faults that slow engines, used in turn.
var slowDurations = []time.Duration{5 * time.Second, 10 * time.Second, 30 * time.Second}

// runSlowEngines measures token gaps and completion times of each policy with and without slow engines.
func runSlowEngines(o Options, d deployment) map[string]Metrics {
	work := drawArrivals(o, d, d.requests.shortShare, []loadStep{{fraction: slowLoad}}, slowLastArrival)
	var faults []fault
	tenth := (d.engines + 9) / 10
	next := 0
	for i := range slowFaultCount {
		at := slowFirstFault + time.Duration(i)*slowFaultInterval
		for range tenth {
			faults = append(faults, slowEngineFaults(next%d.engines, slowFactor, at, at+slowDurations[i%len(slowDurations)])...)
			next++
		}
	}
	out := map[string]Metrics{}
	for _, p := range o.selectedPolicies() {
		without := o.newRun(d, p, work).run()
		with := o.newRun(d, p, work).scheduleFaults(faults).run()
		out[p.name] = Metrics{
			"token-gap-ms":     Metrics{"with": with.tokenGapQuantiles(), "without": without.tokenGapQuantiles()},
			"completion-ms":    Metrics{"with": with.completionTimeQuantiles(), "without": without.completionTimeQuantiles()},
			"extra-work-ratio": with.extraWorkRatio(),
			"moves":            float64(with.stats.moveCount),
			"refused":          float64(with.countJobsWithResult(resultRefused)),
			"left":             float64(with.countJobsWithResult(resultCallerLeft)),
			"streams-lost":     with.lostStreamCount(),
		}
	}
	return out
}

// tokenGapQuantiles returns quantiles of the times between successive tokens of a stream in milliseconds.
func (s *sim) tokenGapQuantiles() Metrics {
	var all []float64
	for _, j := range s.jobs {
		all = append(all, j.gapsMS...)
	}
	return quantiles(all, "p50", "p99", "p999")
}

// completionTimeQuantiles returns quantiles of the times from a request to its complete answer in milliseconds.
func (s *sim) completionTimeQuantiles() Metrics {
	var all []float64
	for _, j := range s.jobs {
		if j.result == resultComplete {
			all = append(all, j.endedAt.Sub(j.started).Seconds()*1000)
		}
	}
	return quantiles(all, "p50", "p99", "p999")
}

// extraWorkRatio returns the cost of moved, retried and resumed streams relative to the cost of the useful work.
func (s *sim) extraWorkRatio() float64 {
	useful := s.stats.firstPrefillCost
	for _, j := range s.jobs {
		useful += float64(j.received) * generatedTokenTime
	}
	return ratio(s.stats.moveCost+s.stats.resumeCost, useful)
}

// countJobsWithResult returns the number of the run's jobs that ended with the result.
func (s *sim) countJobsWithResult(e jobResult) int {
	n := 0
	for _, j := range s.jobs {
		if j.result == e {
			n++
		}
	}
	return n
}
