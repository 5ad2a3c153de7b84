package poison

import (
	"testing"
	"time"
)

// A sound engine may be silent for a second or so: its silence must not count as a crash before MaxSoundSilence, and one that had
// sent nothing may have hung before the request came.
func TestSilenceCountsLate(t *testing.T) {
	begun := Loss{Began: at(0), LastSign: at(100 * time.Millisecond)}
	for noticed, want := range map[time.Duration]time.Duration{500 * time.Millisecond: 1600 * time.Millisecond, 5 * time.Second: MinProbeTime} {
		if got := begun.ProbeTimeout(at(noticed)); got != want {
			t.Errorf("a probe after %s waits for %s, want %s", noticed, got, want)
		}
	}
	for p, want := range map[ProbeResult][2]bool{ProbeAnswered: {}, ProbeFailed: {true, true}, ProbeSilent: {true, false}} {
		if got := [2]bool{begun.IsCrash(p), Loss{}.IsCrash(p)}; got != want {
			t.Errorf("result %d of a probe is a crash: %v, want %v", p, got, want)
		}
	}
}

// A request must not be sent to a third engine while its losses of two are checked, nor be kept for ever if one of them was sound,
// and an answer during the check must speak for its parts.
func TestSuspectedCrashes(t *testing.T) {
	var tab Table
	first, second := NewCrash("r", "e1", "", []string{"a", "r"}), NewCrash("r", "e2", "", []string{"a", "r"})
	tab.Suspect(first, at(0))
	if tab.MustWait("r") || !tab.HasCrashes() {
		t.Error("one suspected crash holds the request, or is not known")
	}
	tab.Suspect(second, at(time.Second))
	if !tab.MustWait("r") || tab.MustWait("other") || !tab.MayRetry("r") {
		t.Error("two suspected crashes do not hold the request alone")
	}
	tab.MarkSound([]string{"a", "x"}, at(500*time.Millisecond), at(900*time.Millisecond))
	news := tab.Resolve(first, true, at(2*time.Second))
	if len(news) != 1 || news[0].Sound != 1 || news[0].Age != 2*time.Second {
		t.Errorf("the crash is recorded as %v", news)
	}
	if tab.Resolve(second, false, at(3*time.Second)); tab.MustWait("r") || !tab.MayRetry("r") || len(tab.crashes) != 1 {
		t.Error("an engine that goes on counts as crashed")
	}
}
