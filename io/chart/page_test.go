package chart

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Guards against durations that are read from the wrong event or field, from a quoted error text, or not in ascending
// order.
func TestReadLog(t *testing.T) {
	log := `3.6512 edge-1 time=2026-09-07T04:51:20Z level=info event=stream-ended node=edge-1 request=e1 events=90 waited=40µs first=884.5ms longest-pause=27.6ms took=3.3s
not a line of a relay
4.1 edge-2 time=2026-09-07T04:51:21Z level=info event=stream-goes-on request=e2 pause=46.5ms error="a quoted \"text\" with first=1s"
5.0 edge-1 time=2026-09-07T04:51:22Z level=info event=request-answered status=200 waited=10µs took=25ms
5.1 edge-1 time=2026-09-07T04:51:22Z level=info event=request-answered status=200 waited=20µs took=5ms
`
	series, err := ReadRelayLog(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	want := map[string][]time.Duration{
		"wait before the first send": {10 * time.Microsecond, 20 * time.Microsecond, 40 * time.Microsecond},
		"first event of a stream":    {884500 * time.Microsecond},
		"longest pause of a stream":  {27600 * time.Microsecond},
		"pause of a resume":          {46500 * time.Microsecond},
		"answer to a plain request":  {5 * time.Millisecond, 25 * time.Millisecond},
	}
	if len(series) != len(want) {
		t.Fatalf("series are %+v", series)
	}
	for _, s := range series {
		if len(s.Values) != len(want[s.Name]) {
			t.Fatalf("%s: %v, want %v", s.Name, s.Values, want[s.Name])
		}
		for i, v := range s.Values {
			if v != want[s.Name][i] {
				t.Errorf("%s: %v, want %v", s.Name, s.Values, want[s.Name])
			}
		}
	}
}

// Guards against a log that is silently cut short at a line longer than the bound.
func TestTooLongLineIsAnError(t *testing.T) {
	if _, err := ReadRelayLog(strings.NewReader(strings.Repeat("x", maxLineBytes+1))); err == nil {
		t.Error("a line that is too long is read without an error")
	}
}

// Guards against a page that needs other files, omits days or does not escape texts that come from the benchmark's
// journal.
func TestPage(t *testing.T) {
	days := []Day{
		{Site: "agencia", Name: "calm", Seed: 3, Worth: 0.9, Served: 0.95, Losses: []Loss{{"whole day", 0.04}, {"price: machines", 0.05}, {"a<b", 0.01}}},
		{Site: "agencia", Name: "storm", Seed: 4, Worth: 0.6, Served: 0.7},
	}
	for n := range 12 {
		days[1].Losses = append(days[1].Losses, Loss{Cause: strings.Repeat("c", n+1), Worth: 0.1})
	}
	series := []Series{{Name: "first event", Values: []time.Duration{0, time.Millisecond, time.Second}}}
	var out bytes.Buffer
	if err := WritePage(&out, "Title & more", days, series); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	for _, want := range []string{"Title &amp; more", "agencia calm, seed 3", "price: machines 0.050; whole day 0.040; a&lt;b 0.010", "agencia storm, seed 4", "others", "first event"} {
		if !strings.Contains(got, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if n := strings.Count(got, "<svg"); n != 2 {
		t.Errorf("the page has %d plots, want 2", n)
	}
	for _, forbidden := range []string{"<script", "<link", "src=", "<?xml", "a<b"} {
		if strings.Contains(got, forbidden) {
			t.Errorf("the page has %q", forbidden)
		}
	}
}

// Guards against a failure or an empty plot if there are neither days nor series.
func TestEmptyPage(t *testing.T) {
	var out bytes.Buffer
	if err := WritePage(&out, "Nothing", nil, nil); err != nil || strings.Contains(out.String(), "<svg") {
		t.Errorf("%v: %s", err, out.String())
	}
}

// Guards against an index out of range at the quantiles 0 and 1 and with no values.
func TestQuantile(t *testing.T) {
	s := Series{Values: []time.Duration{1, 2, 3, 4}}
	if s.quantile(0.5) != 3 || s.quantile(1) != 4 || s.quantile(0) != 1 || (&Series{}).quantile(0.5) != 0 {
		t.Errorf("quantiles are %d, %d and %d", s.quantile(0.5), s.quantile(1), s.quantile(0))
	}
}
