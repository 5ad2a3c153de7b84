package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the largest latency that a histogram can record. No request takes longer.
	maxDuration = time.Hour
	// significantDigits is the precision of the latencies in a histogram, in significant decimal digits.
	significantDigits = 3
)

// histogram is an HDR histogram of durations in nanoseconds. Its zero value is empty and ready to use.
type histogram struct {
	counts *hdrhistogram.Histogram
}

// recordDuration adds a duration to the histogram, clamped to the range from zero to maxDuration.
func (h *histogram) recordDuration(d time.Duration) {
	if h.counts == nil {
		h.counts = hdrhistogram.New(1, int64(maxDuration), significantDigits)
	}
	// RecordValue cannot fail, because the value is clamped to the histogram's range.
	_ = h.counts.RecordValue(int64(min(max(d, 0), maxDuration)))
}

// latencySummary returns the count, mean, percentiles and maximum of the durations in the histogram.
func (h *histogram) latencySummary() LatencySummary {
	if h.counts == nil {
		return LatencySummary{}
	}
	ms := func(v float64) float64 { return v / float64(time.Millisecond) }
	percentile := func(percent float64) float64 { return ms(float64(h.counts.ValueAtQuantile(percent))) }
	return LatencySummary{
		Count: h.counts.TotalCount(), MeanMS: ms(h.counts.Mean()), MaxMS: ms(float64(h.counts.Max())),
		P50MS: percentile(50), P95MS: percentile(95), P99MS: percentile(99),
	}
}
