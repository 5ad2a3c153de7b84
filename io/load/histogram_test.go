package load

import (
	"slices"
	"testing"
	"time"

	_ "wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// Guards against percentiles that differ from the exact ones by more than three significant digits allow.
func TestHistogramError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Int64Range(0, 1<<rapid.IntRange(1, 41).Draw(t, "bits")), 1, 200).Draw(t, "values")
		var h histogram
		for _, v := range values {
			h.recordDuration(time.Duration(v))
		}
		slices.Sort(values)
		got := h.latencySummary()
		if got.Count != int64(len(values)) {
			t.Fatalf("count %d of %d", got.Count, len(values))
		}
		for q, ms := range map[float64]float64{0.5: got.P50MS, 0.95: got.P95MS, 0.99: got.P99MS, 1: got.MaxMS} {
			rank := min(max(int(q*float64(len(values))+0.5), 1), len(values))
			want := float64(values[rank-1])
			if v := ms * float64(time.Millisecond); v < want-0.5 || v-want > want*0.001+0.5 {
				t.Fatalf("quantile %v is %v, want %v", q, v, want)
			}
		}
	})
}

// Guards against an empty histogram whose summary is not empty, and against durations outside the range that are lost.
func TestHistogramRange(t *testing.T) {
	var h histogram
	if h.latencySummary() != (LatencySummary{}) {
		t.Error("an empty histogram has values")
	}
	h.recordDuration(-time.Second)
	h.recordDuration(2 * maxDuration)
	if s := h.latencySummary(); s.Count != 2 || s.P50MS != 0 || s.MaxMS < 3.6e6 || s.MaxMS > 3.61e6 {
		t.Errorf("summary is %+v", s)
	}
}
