package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestTime is the longest duration that is told apart; no request lasts for longer.
	longestTime = time.Hour
	// digits is the number of significant digits that are kept.
	digits = 3
)

// histogram counts durations; its zero value is empty and ready to use.
type histogram struct {
	counts *hdrhistogram.Histogram
}

// record counts a duration; one outside the range counts as the nearest inside.
func (h *histogram) record(d time.Duration) {
	if h.counts == nil {
		h.counts = hdrhistogram.New(1, int64(longestTime), digits)
	}
	// The range is bounded above, so that the library never refuses the value.
	_ = h.counts.RecordValue(int64(min(max(d, 0), longestTime)))
}

// summary returns the figures.
func (h *histogram) summary() Latency {
	if h.counts == nil {
		return Latency{}
	}
	ms := func(v float64) float64 { return v / float64(time.Millisecond) }
	at := func(percent float64) float64 { return ms(float64(h.counts.ValueAtQuantile(percent))) }
	return Latency{
		Count: h.counts.TotalCount(), MeanMS: ms(h.counts.Mean()), MaxMS: ms(float64(h.counts.Max())),
		P50MS: at(50), P95MS: at(95), P99MS: at(99),
	}
}
