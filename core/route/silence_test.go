package route

import (
	"testing"
	"time"

	"wasabiweir/core/common"
)

// Guards against streams that are given up on a silent endpoint while no other one is known to be better: a sound
// endpoint goes on after its silence, and each stream that is given up repeats work.
func TestSilentStreamIsGivenUpForSoundEndpoint(t *testing.T) {
	const silence = 500 * time.Millisecond
	for _, c := range []struct {
		name string
		// other prepares endpoint b at the end of the silence of endpoint a.
		other func(tb *Table, now time.Time)
		want  bool
	}{
		{"idle", func(*Table, time.Time) {}, true},
		{"silent too", func(tb *Table, now time.Time) { tokenAt(tb, "b", now.Add(-silence)) }, false},
		{"generating", func(tb *Table, now time.Time) { tokenAt(tb, "b", now.Add(-50*time.Millisecond)) }, true},
		{"in a prefill", func(tb *Table, now time.Time) { prefillSince(tb, "b", now.Add(-silence)) }, false},
		{"generating again", func(tb *Table, now time.Time) {
			b := tokenAt(tb, "b", now.Add(-2*time.Second))
			tb.RecordTokens(b, 1, now.Add(-100*time.Millisecond))
		}, false},
		{"in its backoff", func(tb *Table, now time.Time) {
			tb.FailStream(tokenAt(tb, "b", now.Add(-silence)), common.RetryReset, now)
		}, false},
		{"leaving", func(tb *Table, _ time.Time) { tb.SetLeaving("b", true) }, false},
		{"only this stream silent", func(tb *Table, now time.Time) {
			tb.SetLeaving("b", true)
			tokenAt(tb, "a", now.Add(-50*time.Millisecond))
		}, true},
		{"this engine in a prefill", func(tb *Table, now time.Time) {
			tb.SetLeaving("b", true)
			prefillSince(tb, "a", now.Add(-silence))
		}, false},
	} {
		tb := &Table{}
		tb.Configure([]EndpointSpec{{Name: "a", Service: "llm"}, {Name: "b", Service: "llm"}, {Name: "c", Service: "other"}})
		now := time.Unix(1000, 0)
		s := tokenAt(tb, "a", now.Add(-silence))
		c.other(tb, now)
		if tb.ReserveReplacement(s, NewNameSet("a", "b"), now) {
			t.Errorf("the other endpoint is %s: given up for an excluded endpoint", c.name)
		}
		if got := tb.ReserveReplacement(s, nil, now); got != c.want {
			t.Errorf("the other endpoint is %s: given up %t, want %t", c.name, got, c.want)
		}
		if c.name == "idle" && tb.ReserveReplacement(s, nil, now.Add(trialInterval/2)) {
			t.Error("a second stream is given up before the idle endpoint has shown that it is sound")
		}
	}
}

// prefillSince starts a stream on the endpoint at the given time.
func prefillSince(tb *Table, name string, at time.Time) *Stream {
	return tb.StartStream(&Request{Service: "llm", PrefillTokens: 10, OutputTokens: 100}, tb.Endpoint(name), at)
}

// tokenAt starts a stream on the endpoint whose only token arrived at the given time.
func tokenAt(tb *Table, name string, at time.Time) *Stream {
	s := prefillSince(tb, name, at)
	tb.RecordTokens(s, 1, at)
	return s
}

// Guards against requests that are refused because an endpoint was silent for a moment before its first tokens: it predicted
// seconds for each prefill, and without admitted requests nothing corrected that.
func TestSilenceIsNoMeasureOfPrefill(t *testing.T) {
	for _, silent := range []bool{true, false} {
		tb := &Table{}
		tb.Configure([]EndpointSpec{{Name: "a", Service: "llm"}})
		now := time.Unix(1000, 0)
		var list []*Stream
		for i := range 6 {
			list = append(list, prefillSince(tb, "a", now.Add(time.Duration(i)*200*time.Millisecond)))
		}
		if !silent {
			// The engine is so busy that the first token takes as long.
			busy := tokenAt(tb, "a", now)
			for i := range 15 {
				tb.RecordTokens(busy, 1, now.Add(time.Duration(i)*100*time.Millisecond))
			}
		}
		now = now.Add(1500 * time.Millisecond)
		for i, s := range list {
			tb.RecordTokens(s, 1, now.Add(time.Duration(i)*10*time.Millisecond))
		}
		got := tb.PredictTimeToFirstTokenIdle(&Request{Service: "llm", PrefillTokens: 1000})
		if slow := got > time.Second; slow == silent {
			t.Errorf("after a silence %t, the predicted time to the first token is %s", silent, got)
		}
	}
}

// Guards against an engine with slow prefills whose times all count as silences, so that its prediction never rises.
func TestSlowPrefillIsLearned(t *testing.T) {
	tb := &Table{}
	tb.Configure([]EndpointSpec{{Name: "a", Service: "llm"}})
	req := &Request{Service: "llm", PrefillTokens: 8000, OutputTokens: 100}
	for now, i := time.Unix(1000, 0), 0; i < 30; i++ {
		s := tb.StartStream(req, tb.Endpoint("a"), now)
		now = now.Add(7 * time.Second)
		tb.RecordTokens(s, 1, now)
		tb.FinishStream(s, now)
	}
	if got := tb.PredictTimeToFirstTokenIdle(req); got < 3*time.Second {
		t.Errorf("after 30 prefills of 7 s, the prediction is %s", got)
	}
}
