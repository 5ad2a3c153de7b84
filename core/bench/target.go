package bench

// Target is a bound that the project states for a figure of the policy wasabiweir.
type Target struct {
	Scenario string
	Name     string
	// Bound is the stated bound; Least says that it is a lower one.
	Bound float64
	Least bool
	value func(f Figures) float64
}

// Value returns the figure that the target bounds.
func (t Target) Value(r *Report) float64 { return t.value(r.Policies[policyOwn]) }

// Reached reports whether the report's figure is within the bound.
func (t Target) Reached(r *Report) bool {
	v := t.Value(r)
	if t.Least {
		return v >= t.Bound
	}
	return v <= t.Bound
}

// Targets lists the stated bounds.
var Targets = []Target{
	{Scenario: ScenarioResume, Name: "silent-p99-ms", Bound: 1000, value: at("resume-latency-ms", kindSilent, "p99")},
	{Scenario: ScenarioResume, Name: "reset-beyond-prefill-p99-ms", Bound: 300, value: at("reset-beyond-prefill-ms", "p99")},
	{Scenario: ScenarioResume, Name: "max-ms", Bound: 4000, value: slowestResume},
	{Scenario: ScenarioResume, Name: "extra-work-ratio", Bound: 0.1, value: at("extra-work-ratio")},
	{Scenario: ScenarioResume, Name: "streams-lost", Bound: 0, value: at("streams-lost")},
	{Scenario: ScenarioCrest, Name: "goodput-ratio", Bound: 0.95, Least: true, value: at("goodput-ratio")},
	{Scenario: ScenarioCrest, Name: "refusal-max-ms", Bound: 100, value: at("refusal-latency-ms", "max")},
	{
		Scenario: ScenarioCrest, Name: "smallest-account-served-ratio", Bound: 0.99, Least: true,
		value: at("smallest-account-served-ratio"),
	},
	{Scenario: ScenarioBlocking, Name: "short-first-token-p99-ratio", Bound: 1.5, value: withRatio("short-first-token-ms")},
	{Scenario: ScenarioBlocking, Name: "long-throughput-ratio", Bound: 0.9, Least: true, value: at("long-throughput-ratio")},
	{Scenario: ScenarioSlowed, Name: "completion-p99-ratio", Bound: 1.3, value: withRatio("completion-ms")},
	{Scenario: ScenarioSlowed, Name: "extra-work-ratio", Bound: 0.03, value: at("extra-work-ratio")},
	{Scenario: ScenarioWaves, Name: "late-ratio", Bound: 0, value: worstPattern("late-ratio")},
	{Scenario: ScenarioWaves, Name: "resume-pause-max-ms", Bound: 700, value: worstPattern("resume-pause-ms", "max")},
	{Scenario: ScenarioWaves, Name: "read-again-ratio", Bound: 0, value: worstPattern("read-again-ratio")},
}

func at(path ...string) func(Figures) float64 {
	return func(f Figures) float64 { return f.Number(path...) }
}

// withRatio returns the p99 with the disturbance against the p99 without it.
func withRatio(name string) func(Figures) float64 {
	return func(f Figures) float64 {
		return f.Number(name, "with", "p99") / f.Number(name, "without", "p99")
	}
}

// worstPattern returns the largest value of a figure over the patterns of the waves scenario.
func worstPattern(path ...string) func(Figures) float64 {
	return func(f Figures) (worst float64) {
		for _, x := range patterns {
			worst = max(worst, f.Number(append([]string{x.name}, path...)...))
		}
		return worst
	}
}

func slowestResume(f Figures) float64 {
	const name = "resume-latency-ms"
	return max(f.Number(name, kindReset, "max"), f.Number(name, kindSilent, "max"), f.Number(name, kindDomain, "max"))
}
