package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against the quarantine of sound requests that were sent to an endpoint after it had stopped responding, and which its end
// resets. The request that was running then may have stopped it.
func TestCrashesOfSilentEndpoint(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	parts := []string{"own"}
	own := []string{"own false"}
	for _, x := range []struct {
		name string
		// sign is when the endpoint sent something, and sent and end when its unanswered request began and ended; none if negative.
		sign, sent, end int
		// lossSent and loss are when the request was sent that saw the loss, and when it did.
		lossSent, loss int
		// want are the crashes, and whether they are doubtful.
		want []string
	}{
		{"no silence", 0, -1, -1, 100, 200, own},
		{"sent in the silence", 0, 100, 1100, 900, 1500, []string{"unanswered false", "own true"}},
		{"sent at about the same time", 0, 100, 1100, 120, 1500, []string{"unanswered false", "own false"}},
		{"running when the silence began", 0, 100, 1100, 50, 1500, []string{"unanswered false", "own false"}},
		{"a sign while it waited", 900, 100, 1100, 1200, 1500, own},
		{"a sign after it", 1200, 100, 1100, 1300, 1500, own},
		{"a sign just after it was sent", 150, 100, 1100, 900, 1500, []string{"unanswered false", "own true"}},
		{"short", 0, 100, 500, 600, 700, own},
		{"long ago", 0, 100, 1100, 6200, 6300, own},
	} {
		var s Silences
		if x.sign <= x.end {
			s.RecordSign("e", at(x.sign))
		}
		if x.end >= 0 {
			s.RecordUnanswered(NewCrash("unanswered", "e", "", parts), at(x.sent), at(x.end))
			s.RecordUnanswered(NewCrash("later", "e", "", parts), at(x.sent+200), at(x.end+200))
		}
		if x.sign > x.end {
			s.RecordSign("e", at(x.sign))
		}
		var got []string
		for _, c := range s.CrashesOf(NewCrash("own", "e", "", parts), at(x.lossSent), at(x.loss)) {
			got = append(got, fmt.Sprint(c.Request, " ", c.Doubtful))
		}
		if !slices.Equal(got, x.want) {
			t.Errorf("%s: the loss counts as crashes %v, want %v", x.name, got, x.want)
		}
	}
}

// All requests in the silence of a lost endpoint are in doubt, and what reaches its next incarnation counts by itself.
func TestSilenceEndsWithLoss(t *testing.T) {
	start := time.Unix(1000, 0)
	var s Silences
	s.RecordUnanswered(NewCrash("unanswered", "e", "", []string{"p"}), start, start.Add(time.Second))
	for i, x := range []struct {
		sent, ms time.Duration
		crashes  int
		doubtful bool
	}{{1300, 1400, 2, true}, {1301, 1401, 1, true}, {1410, 1450, 1, false}, {1500, 2400, 1, false}} {
		got := s.CrashesOf(NewCrash("own", "e", "", []string{"q"}), start.Add(x.sent*time.Millisecond), start.Add(x.ms*time.Millisecond))
		if len(got) != x.crashes || got[len(got)-1].Doubtful != x.doubtful {
			t.Errorf("loss %d counts as crashes %v, want %d, doubtful: %t", i+1, got, x.crashes, x.doubtful)
		}
	}
}

// A sound request that was sent to endpoints that another one had stopped must not be refused with it, and a request that crashes
// endpoints must be found also if each crash is doubtful because a slow one was unanswered before.
func TestDoubtfulCrashes(t *testing.T) {
	quarantined := func(slow func(i int) string) []string {
		var tab Table
		for i := range 3 {
			endpoint, at := fmt.Sprint("e", i), time.Unix(1000+int64(i), 0)
			first, later := NewCrash(fmt.Sprint("f", i), endpoint, "", []string{slow(i)}), NewCrash(fmt.Sprint("l", i), endpoint, "", []string{"later"})
			later.Doubtful = true
			tab.Merge([]Crash{later, first}, at)
		}
		var out []string
		for _, q := range tab.Quarantines(time.Unix(1003, 0)) {
			out = append(out, q.Part)
		}
		return out
	}
	if got := quarantined(func(int) string { return "first" }); !slices.Equal(got, []string{"first"}) {
		t.Errorf("in quarantine: %v, want the first request", got)
	}
	if got := quarantined(func(i int) string { return fmt.Sprint("slow-", i) }); !slices.Equal(got, []string{"later"}) {
		t.Errorf("in quarantine: %v, want the later request", got)
	}
}
