package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wasabiweir/core/clock"
	"wasabiweir/core/poison"
)

// What one process sees reaches another one, which then refuses requests with the part, logs why, and lets one through as a
// trial, whose answer ends the quarantine in both.
func TestGuardsAgree(t *testing.T) {
	now := &clock.Manual{}
	now.Set(time.Unix(1000, 0))
	core, logs := observer.New(zapcore.InfoLevel)
	var seen, told Guard
	seen = Guard{Clock: now, Log: zap.NewNop(), Metrics: tally.NoopScope, Send: func(list []poison.Crash) { told.Merge(list) }}
	told = Guard{Clock: now, Log: zap.New(core), Metrics: tally.NoopScope, Send: func(list []poison.Crash) { seen.Merge(list) }}
	parts := func(own string) []string { return []string{"bad", own} }
	for i := range 3 {
		seen.Record(poison.NewCrash(fmt.Sprint("r", i), fmt.Sprint("e", i), "", parts(fmt.Sprint("own", i))), now.Now())
		now.Advance(time.Second)
	}
	if p := told.Permit("r", parts("x"), 0, 1, false); p != Refused {
		t.Errorf("the other process permits %v, want a refusal", p)
	}
	if d := told.RetryAfter(parts("x")); d <= 0 || d > 20*time.Second {
		t.Errorf("retry after %s", d)
	}
	now.Advance(20 * time.Second)
	if p := told.Permit("r", parts("x"), 0, 1, true); p != Refused {
		t.Error("a request that was sent before became a trial")
	}
	if p := told.Permit("trial", parts("x"), 0, 1, false); p != Trial {
		t.Errorf("the other process permits %v, want a trial", p)
	}
	began := now.Now()
	now.Advance(time.Second)
	told.MarkSound(parts("x"), began)
	for name, g := range map[string]*Guard{"seen": &seen, "told": &told} {
		if p := g.Permit("r", parts("y"), 0, 1, false); p != Allowed {
			t.Errorf("%s permits %v after the trial, want no quarantine", name, p)
		}
	}
	for _, event := range []string{"part-quarantined", "part-refused", "part-trial-started", "part-released"} {
		if logs.FilterMessage(event).Len() == 0 {
			t.Errorf("no line %s in the log", event)
		}
	}
}

// A process that has answered a request lately must tell the others so when it learns of crashes of that request from them;
// they would refuse it until a trial.
func TestRecentAnswerIsTold(t *testing.T) {
	now := &clock.Manual{}
	now.Set(time.Unix(1000, 0))
	guards := make([]Guard, 3)
	for i := range guards {
		guards[i] = Guard{Clock: now, Log: zap.NewNop(), Metrics: tally.NoopScope, Send: func(list []poison.Crash) {
			for j := range guards {
				if j != i {
					guards[j].Merge(list)
				}
			}
		}}
	}
	popular := []string{"request-popular"}
	guards[0].Record(poison.NewCrash("other", "e9", "a", []string{"request-other"}), now.Now())
	now.Advance(time.Second)
	guards[0].MarkSound(popular, now.Now())
	for i := range 3 {
		now.Advance(500 * time.Millisecond)
		guards[1].Record(poison.NewCrash(fmt.Sprint("r", i), fmt.Sprint("e", i), fmt.Sprint("domain-", i), popular), now.Now())
	}
	now.Advance(time.Second)
	for i := range guards {
		if p := guards[i].Permit("next", popular, -1, 3, false); p != Allowed {
			t.Errorf("process %d permits %v, want no quarantine", i, p)
		}
	}
}
