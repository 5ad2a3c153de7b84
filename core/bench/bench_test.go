package bench

import (
	"bytes"
	"encoding/json"
	"math"
	"sync"
	"testing"
)

// runReport runs the benchmark and returns its report; it fails the test on an error.
func runReport(t testing.TB, o Options) *Report {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a run that depends on anything other than its options, such as the order of a map.
func TestSameSeedGivesTheSameReport(t *testing.T) {
	for _, scenario := range Scenarios {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			var out [2]bytes.Buffer
			for i := range out {
				r := runReport(t, Options{Scenario: scenario, Deployment: DeploymentAgencia, Seed: 7, Policies: []string{policyWasabiweir}})
				if err := r.WriteJSON(&out[i]); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(out[0].Bytes(), out[1].Bytes()) {
				t.Fatalf("reports differ:\n%s\n%s", &out[0], &out[1])
			}
		})
	}
}

// BenchmarkTargets reports the worst value over the seeds 1 to 5 for each target, and the number of seeds that miss it.
func BenchmarkTargets(b *testing.B) {
	for _, scenario := range Scenarios {
		for _, deployment := range Deployments {
			b.Run(scenario+"/"+deployment, func(b *testing.B) {
				for b.Loop() {
					reportWorstMetrics(b, scenario, deployment)
				}
			})
		}
	}
}

// targetOptions returns the options of a run from which the scenario's targets are computed.
func targetOptions(scenario, deployment string, seed uint64) Options {
	o := Options{Scenario: scenario, Deployment: deployment, Seed: seed}
	if scenario != ScenarioBlocking {
		o.Policies = []string{policyWasabiweir}
	}
	return o
}

// reportWorstMetrics runs the scenario with five seeds and reports the worst value for each of its targets.
func reportWorstMetrics(b *testing.B, scenario, deployment string) {
	var wg sync.WaitGroup
	reports := make([]*Report, 5)
	for i := range reports {
		wg.Go(func() {
			r, err := Run(targetOptions(scenario, deployment, uint64(i+1)))
			if err != nil {
				panic(err)
			}
			reports[i] = r
		})
	}
	wg.Wait()
	for _, x := range Targets {
		if x.Scenario != scenario {
			continue
		}
		worst, missed := math.NaN(), 0
		for _, r := range reports {
			v := x.Metric(r)
			if math.IsNaN(worst) || x.IsMinimum == (v < worst) {
				worst = v
			}
			if !x.Met(r) {
				missed++
			}
		}
		b.ReportMetric(worst, x.Name)
		b.ReportMetric(float64(missed), x.Name+"-missed")
	}
}

// Guards against a report that lacks the documented metric names.
func TestReportFormats(t *testing.T) {
	r := runReport(t, Options{Scenario: ScenarioOverload, Deployment: DeploymentAgencia, Seed: 1})
	var b bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Scenario, Deployment string
		Seed                 int
		Policies             map[string]map[string]any
	}
	if err := json.Unmarshal(b.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	for _, p := range Policies {
		for _, key := range []string{"served-in-target-ratio", "goodput-ratio", "refusal-latency-ms", "smallest-account-served-ratio"} {
			if _, ok := got.Policies[p][key]; !ok {
				t.Errorf("policy %s has no %s", p, key)
			}
		}
	}
	b.Reset()
	if err := r.WriteText(&b); err != nil || b.Len() == 0 {
		t.Fatalf("text form: %v", err)
	}
	if _, err := Run(Options{Scenario: "none", Deployment: DeploymentAgencia}); err == nil {
		t.Fatal("unknown scenario is accepted")
	}
}
