package stand

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// minSampleInterval is the shortest time between two load samples that are kept. A newer sample within this time
// replaces the last one.
const minSampleInterval = 5 * time.Millisecond

// loadSample is the simulated engine's load at one point in time.
type loadSample struct {
	takenAt    time.Time
	running    int
	waiting    int
	cacheUsage float64 // used share of the KV cache, from 0 to 1
	stats      Stats
}

// sampleLog keeps the samples of the engine's load that are needed to report its metrics with a lag, oldest first.
type sampleLog struct{ samples []loadSample }

// addSample appends a sample of the engine's load and drops those that the lagged metrics no longer need.
func (r *sampleLog) addSample(s loadSample, lag time.Duration) {
	if n := len(r.samples); n > 1 && s.takenAt.Sub(r.samples[n-2].takenAt) < minSampleInterval {
		r.samples[n-1] = s
	} else {
		r.samples = append(r.samples, s)
	}
	r.dropOldSamples(s.takenAt.Add(-lag))
}

// dropOldSamples drops all load samples that are older than the newest one taken no later than due.
func (r *sampleLog) dropOldSamples(due time.Time) {
	n := 0
	for n+1 < len(r.samples) && !r.samples[n+1].takenAt.After(due) {
		n++
	}
	r.samples = r.samples[n:]
}

// newestBefore returns the newest load sample taken no later than due, or a zero sample if there is none.
func (r *sampleLog) newestBefore(due time.Time) loadSample {
	r.dropOldSamples(due)
	if len(r.samples) == 0 || r.samples[0].takenAt.After(due) {
		return loadSample{}
	}
	return r.samples[0]
}

// recordSample records a sample of the engine's current load, from which GET /metrics is answered ReportLag later. The
// caller holds engineMu.
func (e *Engine) recordSample() {
	tokens := 0
	for _, j := range e.batch.running {
		tokens += len(j.tokenIDs)
	}
	e.samples.addSample(loadSample{
		takenAt:    e.Clock.Now(),
		running:    len(e.batch.running),
		waiting:    e.batch.waiting.Len(),
		cacheUsage: min(1, float64(tokens)/float64(e.KVTokens)),
		stats:      e.stats,
	}, e.ReportLag)
}

// handleMetrics handles GET /metrics. The returned values are as old as ReportLag, the lag of the engine's load
// reports.
func (e *Engine) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	e.engineMu.Lock()
	s := e.samples.newestBefore(e.Clock.Now().Add(-e.ReportLag))
	e.engineMu.Unlock()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeMetric(w, "gauge", "vllm:num_requests_running", float64(s.running))
	writeMetric(w, "gauge", "vllm:num_requests_waiting", float64(s.waiting))
	writeMetric(w, "gauge", "vllm:kv_cache_usage_perc", s.cacheUsage)
	writeMetric(w, "counter", "vllm:prompt_tokens_total", float64(s.stats.PromptTokens))
	writeMetric(w, "counter", "vllm:generation_tokens_total", float64(s.stats.GeneratedTokens))
}

// writeMetric writes one metric in the Prometheus text format.
func writeMetric(w io.Writer, kind, name string, v float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s{engine=\"0\"} %g\n", name, kind, name, v) // the client may have disconnected
}
