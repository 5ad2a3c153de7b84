package bench

// Target is a bound that the project states for a metric of its own policy, wasabiweir.
type Target struct {
	Scenario string
	Name     string
	// Bound is the stated bound of the metric: a minimum if IsMinimum is set, else a maximum.
	Bound     float64
	IsMinimum bool
	metric    func(f Metrics) float64
}

// Metric returns the value in the report of the metric that the target bounds.
func (t Target) Metric(r *Report) float64 { return t.metric(r.Policies[policyWasabiweir]) }

// Met reports whether the value in the report meets the target's bound.
func (t Target) Met(r *Report) bool {
	v := t.Metric(r)
	if t.IsMinimum {
		return v >= t.Bound
	}
	return v <= t.Bound
}

// Targets lists all bounds that the project states for its own policy's metrics.
var Targets = []Target{
	{Scenario: ScenarioResume, Name: "silent-p99-ms", Bound: 1000, metric: metricAt("resume-latency-ms", interruptionSilent, "p99")},
	{Scenario: ScenarioResume, Name: "reset-beyond-prefill-p99-ms", Bound: 300, metric: metricAt("reset-beyond-prefill-ms", "p99")},
	{Scenario: ScenarioResume, Name: "max-ms", Bound: 4000, metric: slowestResumeMS},
	{Scenario: ScenarioResume, Name: "extra-work-ratio", Bound: 0.1, metric: metricAt("extra-work-ratio")},
	{Scenario: ScenarioResume, Name: "streams-lost", Bound: 0, metric: metricAt("streams-lost")},
	{Scenario: ScenarioOverload, Name: "goodput-ratio", Bound: 0.95, IsMinimum: true, metric: metricAt("goodput-ratio")},
	{Scenario: ScenarioOverload, Name: "refusal-max-ms", Bound: 100, metric: metricAt("refusal-latency-ms", "max")},
	{
		Scenario: ScenarioOverload, Name: "smallest-account-served-ratio", Bound: 0.99, IsMinimum: true,
		metric: metricAt("smallest-account-served-ratio"),
	},
	{Scenario: ScenarioBlocking, Name: "short-first-token-p99-ratio", Bound: 1.5, metric: disturbedP99Ratio("short-first-token-ms")},
	{Scenario: ScenarioBlocking, Name: "long-throughput-ratio", Bound: 0.9, IsMinimum: true, metric: metricAt("long-throughput-ratio")},
	{Scenario: ScenarioSlowEngines, Name: "completion-p99-ratio", Bound: 1.3, metric: disturbedP99Ratio("completion-ms")},
	{Scenario: ScenarioSlowEngines, Name: "extra-work-ratio", Bound: 0.03, metric: metricAt("extra-work-ratio")},
	{Scenario: ScenarioCrashWaves, Name: "late-ratio", Bound: 0, metric: worstPatternMetric("late-ratio")},
	{Scenario: ScenarioCrashWaves, Name: "resume-pause-max-ms", Bound: 700, metric: worstPatternMetric("resume-pause-ms", "max")},
	{Scenario: ScenarioCrashWaves, Name: "read-again-ratio", Bound: 0, metric: worstPatternMetric("read-again-ratio")},
}

// metricAt returns a function that reads the metric at the path of nested names from a policy's metrics.
func metricAt(path ...string) func(Metrics) float64 {
	return func(f Metrics) float64 { return f.Value(path...) }
}

// disturbedP99Ratio returns a function that computes how many times larger the named metric's 99th percentile is with
// the scenario's disturbance (long requests or slow engines) than without it.
func disturbedP99Ratio(name string) func(Metrics) float64 {
	return func(f Metrics) float64 {
		return f.Value(name, "with", "p99") / f.Value(name, "without", "p99")
	}
}

// worstPatternMetric returns a function that reads the largest value of a metric over the load patterns of the waves
// scenario.
func worstPatternMetric(path ...string) func(Metrics) float64 {
	return func(f Metrics) (worst float64) {
		for _, x := range loadPatterns {
			worst = max(worst, f.Value(append([]string{x.name}, path...)...))
		}
		return worst
	}
}

// slowestResumeMS returns the longest resume latency over all kinds of interruption, in milliseconds.
func slowestResumeMS(f Metrics) float64 {
	const name = "resume-latency-ms"
	return max(f.Value(name, interruptionReset, "max"), f.Value(name, interruptionSilent, "max"), f.Value(name, interruptionDomain, "max"))
}
