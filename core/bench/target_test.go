package bench

import (
	"os"
	"regexp"
	"slices"
	"testing"
)

// missedTargetLine matches an entry of KNOWN-RED.txt for a target that is not met.
var missedTargetLine = regexp.MustCompile(`(?m)^target: (\S+)`)

// knownMissedTargets returns the targets that KNOWN-RED.txt lists as missed, as scenario/deployment/name.
func knownMissedTargets(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	var out []string
	for _, m := range missedTargetLine.FindAllStringSubmatch(string(data), -1) {
		out = append(out, m[1])
	}
	return out
}

// Guards against a change of the routing or admission code that misses a target which was met before.
func TestStatedTargets(t *testing.T) {
	for _, scenario := range Scenarios {
		for _, deployment := range Deployments {
			t.Run(scenario+"/"+deployment, func(t *testing.T) {
				t.Parallel()
				checkTargets(t, runReport(t, targetOptions(scenario, deployment, 1)))
			})
		}
	}
}

// checkTargets fails the test for each missed target of the report that KNOWN-RED.txt does not list.
func checkTargets(t *testing.T, r *Report) {
	for _, x := range Targets {
		if x.Scenario != r.Scenario || x.Met(r) {
			continue
		}
		if slices.Contains(knownMissedTargets(t), r.Scenario+"/"+r.Deployment+"/"+x.Name) {
			t.Logf("%s is %v, bound %v: listed in KNOWN-RED.txt", x.Name, x.Metric(r), x.Bound)
			continue
		}
		t.Errorf("%s is %v, bound %v", x.Name, x.Metric(r), x.Bound)
	}
}
