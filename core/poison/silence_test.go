package poison

import (
	"slices"
	"testing"
	"time"
)

// Guards against the quarantine of sound requests that were sent to an endpoint after it had stopped responding, and which its end
// resets. The request that it left unanswered may have stopped it.
func TestCrashesOfSilentEndpoint(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	own := []string{"own"}
	for _, x := range []struct {
		name string
		// sign is when the endpoint sent something, and sent and end when its unanswered request began and ended; none if negative.
		sign, sent, end int
		// lossSent and loss are when the request was sent that saw the loss, and when it did.
		lossSent, loss int
		want           []string
	}{
		{"no silence", 0, -1, -1, 100, 200, own},
		{"sent in the silence", 0, 100, 1100, 900, 1500, []string{"unanswered"}},
		{"running when the silence began", 0, 100, 1100, 50, 1500, []string{"unanswered", "own"}},
		{"a sign while it waited", 700, 100, 1100, 1200, 1500, own},
		{"a sign after it", 1200, 100, 1100, 1300, 1500, own},
		{"a sign just after it was sent", 150, 100, 1100, 900, 1500, []string{"unanswered"}},
		{"short", 0, 100, 500, 600, 700, own},
		{"long ago", 0, 100, 1100, 6200, 6300, own},
	} {
		var s Silences
		sign := func() { s.RecordSign("e", at(x.sign)) }
		if x.sign >= 0 && x.sign <= x.end {
			sign()
		}
		if x.end >= 0 {
			s.RecordUnanswered(NewCrash("unanswered", "e", "", own), at(x.sent), at(x.end))
		}
		if x.sign > x.end {
			sign()
		}
		var got []string
		for _, c := range s.CrashesOf(NewCrash("own", "e", "", own), at(x.lossSent), at(x.loss)) {
			got = append(got, c.Request)
		}
		if !slices.Equal(got, x.want) {
			t.Errorf("%s: the loss counts as crashes by %v, want %v", x.name, got, x.want)
		}
	}
}

// All requests that the loss of a silent endpoint resets are no crashes, and its next incarnation counts by itself.
func TestSilenceEndsWithLoss(t *testing.T) {
	start := time.Unix(1000, 0)
	var s Silences
	s.RecordUnanswered(NewCrash("unanswered", "e", "", []string{"p"}), start, start.Add(time.Second))
	for i, x := range []struct {
		ms   time.Duration
		want int
	}{{1400, 1}, {1401, 0}, {1450, 0}, {2400, 1}} {
		at := start.Add(x.ms * time.Millisecond)
		if got := s.CrashesOf(NewCrash("own", "e", "", []string{"q"}), at.Add(-100*time.Millisecond), at); len(got) != x.want {
			t.Errorf("loss %d counts as %d crashes, want %d", i+1, len(got), x.want)
		}
	}
}
