package admit

import "container/list"

// maxHistoryEntries bounds the number of pairs of account and intent whose output lengths are kept in memory: about 1
// MB at under 300 bytes each.
const maxHistoryEntries = 4096

// outputHistory predicts the output length of a request from past outputs of the same account and intent. It is an LRU
// cache of at most maxHistoryEntries entries.
type outputHistory struct {
	entries map[historyKey]*list.Element
	recency list.List // of *outputStats, the most recently used first
}

// historyKey identifies the requests of one account that declare the same kind of use (intent).
type historyKey struct{ account, intent string }

// outputStats holds exponentially smoothed statistics of the output lengths of one account's requests with one intent.
type outputStats struct {
	historyKey
	meanTokens        float64
	meanDeclaredRatio float64 // mean ratio of the output length to the declared maximum
	count             float64
	// longRatio is the fraction of outputs that were longer than Request.MaxShortTokens allows for short requests.
	longRatio float64
}

const (
	// outputSmoothing is the weight of a new output length in a smoothed mean. outputHistory gives the first samples
	// more weight.
	outputSmoothing = 0.05
	// defaultDeclaredRatio is the predicted ratio of the output to the declared maximum for a request without history.
	defaultDeclaredRatio = 0.5
	// defaultOutputTokens is the predicted output of a request with neither a history nor a declared maximum.
	defaultOutputTokens = 512
	// A request without a short declared maximum counts as short if at least minShortSamples outputs are known and the
	// fraction of long ones among them is below maxLongRatio.
	minShortSamples = 20
	maxLongRatio    = 0.05
)

// statsFor returns the output statistics of the account and intent in the key, marks them as used, and returns nil if
// there are none and add is false. If add is true it creates them, and evicts the least recently used entry when the
// history is full.
func (h *outputHistory) statsFor(key historyKey, add bool) *outputStats {
	if e, ok := h.entries[key]; ok {
		h.recency.MoveToFront(e)
		return e.Value.(*outputStats)
	}
	if !add {
		return nil
	}
	if h.entries == nil {
		h.entries = make(map[historyKey]*list.Element)
	}
	if len(h.entries) >= maxHistoryEntries {
		oldest := h.recency.Back()
		delete(h.entries, oldest.Value.(*outputStats).historyKey)
		h.recency.Remove(oldest)
	}
	stats := &outputStats{historyKey: key}
	h.entries[key] = h.recency.PushFront(stats)
	return stats
}

// recordOutput adds the output length, in tokens, of a completed request to the statistics of its account and intent.
func (h *outputHistory) recordOutput(r *Request, output int) {
	stats := h.statsFor(historyKey{r.Account, r.Intent}, true)
	weight := max(outputSmoothing, 1/(stats.count+1))
	stats.count++
	stats.meanTokens += weight * (float64(output) - stats.meanTokens)
	if r.MaxOutputTokens > 0 {
		stats.meanDeclaredRatio += weight * (float64(output)/float64(r.MaxOutputTokens) - stats.meanDeclaredRatio)
	}
	long := 0.0
	if r.MaxShortTokens > 0 && output > r.MaxShortTokens {
		long = 1
	}
	stats.longRatio += weight * (long - stats.longRatio)
}

// predictOutput returns the predicted output length of the request in tokens and whether the request counts as short.
func (h *outputHistory) predictOutput(r *Request) (int, bool) {
	stats := h.statsFor(historyKey{r.Account, r.Intent}, false)
	short := r.MaxShortTokens > 0 && r.MaxOutputTokens > 0 && r.MaxOutputTokens <= r.MaxShortTokens
	if stats == nil || stats.count == 0 {
		if r.MaxOutputTokens <= 0 {
			return defaultOutputTokens, short
		}
		return max(1, int(float64(r.MaxOutputTokens)*defaultDeclaredRatio)), short
	}
	if r.MaxShortTokens > 0 && stats.count >= minShortSamples && stats.longRatio < maxLongRatio {
		short = true
	}
	tokens := stats.meanTokens
	if r.MaxOutputTokens > 0 {
		tokens = min(float64(r.MaxOutputTokens), (stats.meanTokens+stats.meanDeclaredRatio*float64(r.MaxOutputTokens))/2)
	}
	return max(1, int(tokens)), short
}
