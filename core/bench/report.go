package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Metrics holds a run's measured values by name; a value is a float64 or nested Metrics.
type Metrics map[string]any

// Report holds the metrics of one benchmark scenario for each policy.
type Report struct {
	Scenario   string             `json:"scenario"`
	Deployment string             `json:"deployment"`
	Seed       uint64             `json:"seed"`
	Policies   map[string]Metrics `json:"policies"`
}

// WriteJSON writes the report as one indented JSON object; it returns the error of the writer.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	return nil
}

// WriteText writes the report as an aligned table with one column for each policy; it returns the error of the writer.
func (r *Report) WriteText(w io.Writer) error {
	flat := map[string]map[string]float64{}
	for p, f := range r.Policies {
		flat[p] = map[string]float64{}
		flattenMetrics("", f, flat[p])
	}
	var rows []string
	for _, f := range flat {
		rows = append(rows, slices.Collect(maps.Keys(f))...)
	}
	slices.Sort(rows)
	rows = slices.Compact(rows)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s seed %d\t%s\t\n", r.Scenario, r.Deployment, r.Seed, strings.Join(Policies, "\t"))
	for _, row := range rows {
		fmt.Fprintf(&b, "%s\t", row)
		for _, p := range Policies {
			cell := "-"
			if v, ok := flat[p][row]; ok {
				cell = strconv.FormatFloat(v, 'f', -1, 64)
			}
			fmt.Fprintf(&b, "%s\t", cell)
		}
		b.WriteByte('\n')
	}
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(tw, b.String()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// flattenMetrics adds the numbers of nested metrics to out, each under its path of names joined by spaces.
func flattenMetrics(prefix string, f Metrics, out map[string]float64) {
	for k, v := range f {
		switch v := v.(type) {
		case Metrics:
			flattenMetrics(prefix+k+" ", v, out)
		case float64:
			out[prefix+k] = v
		}
	}
}

// Value returns the number in the metrics at the path of nested names, or NaN if there is none.
func (f Metrics) Value(path ...string) float64 {
	for i, k := range path {
		switch v := f[k].(type) {
		case Metrics:
			f = v
		case float64:
			if i == len(path)-1 {
				return v
			}
			return math.NaN()
		default:
			return math.NaN()
		}
	}
	return math.NaN()
}

// roundMetric rounds to four decimals, which are enough for ratios and milliseconds, and turns NaN and infinity into 0.
func roundMetric(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return math.Round(v*1e4) / 1e4
}

// ratio returns a/b rounded to four decimals, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return roundMetric(a / b)
}

// quantiles returns the named quantiles of the samples; it sorts the samples in place.
func quantiles(samples []float64, names ...string) Metrics {
	slices.Sort(samples)
	f := Metrics{}
	for _, n := range names {
		f[n] = roundMetric(quantile(samples, quantileFractions[n]))
	}
	return f
}

// quantileFractions maps the name of each quantile that a report states to its fraction.
var quantileFractions = map[string]float64{"p50": 0.5, "p99": 0.99, "p999": 0.999, "max": 1}

// quantile returns the q-quantile of sorted samples: the smallest sample that is not less than a fraction q of all.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, min(len(sorted)-1, i))]
}
