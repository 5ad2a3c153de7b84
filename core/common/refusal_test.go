package common

import (
	"net/http"
	"testing"
)

// Guards against a status that callers take for a promise that the request has not run, although it may have.
func TestStatusOfRequestThatMayHaveRun(t *testing.T) {
	for _, reason := range RefusalReasons {
		for _, outcome := range []Outcome{OutcomeRan, OutcomeUnknown, OutcomeDone} {
			if code := (&Refusal{Reason: reason, Outcome: outcome}).Status(); code == http.StatusServiceUnavailable {
				t.Errorf("%s with the outcome %s has status %d", reason, outcome, code)
			}
		}
	}
	if code := NewNotRunRefusal(ReasonDraining, "", "").Status(); code != http.StatusServiceUnavailable {
		t.Errorf("a request that has not run gets status %d", code)
	}
}
