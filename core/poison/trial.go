package poison

import (
	"hash/fnv"
	"time"
)

const (
	// trialWindow is the time in which the same processes may allow a trial. A trial shows its result within it.
	trialWindow = 5 * time.Second
	// ambiguousTrial is the time from the last crash to the first trial of a request if another one explains the crashes as well:
	// one of the two is probably sound.
	ambiguousTrial = 5 * time.Second
	// trialMargin is the part at the end of a window in which no trial starts: the clocks of processes differ.
	trialMargin = time.Second
	// maxTrialDoublings bounds the exponent of the number of processes that may allow a trial in a window.
	maxTrialDoublings = 20
)

// TrialDelay returns the time from the last crash to the first trial of the part.
func (q *Quarantine) TrialDelay() time.Duration {
	first := firstTrial
	if q.Ambiguous {
		first = ambiguousTrial
	}
	return min(CrashLifetime, first<<min(max(0, q.Crashes-minCrashes), maxTrialDoublings))
}

// AllowTrial reports whether this process, one of several by index, may send one request with the quarantined part to
// an engine, to find out whether it still crashes engines. The processes need not talk: in the first window one of them
// may, and in each further one twice as many, until one of them has had such a request.
func (t *Table) AllowTrial(q Quarantine, index, processes int, now time.Time) bool {
	waited := now.Sub(q.LastCrash) - q.TrialDelay()
	if waited < 0 || index < 0 || processes <= 0 || waited%trialWindow > trialWindow-trialMargin {
		return false
	}
	if !hasTrialTurn(q.Part, index, processes, int(waited/trialWindow)) {
		return false
	}
	if at, ok := t.trials[q.Part]; ok && now.Sub(at) < trialWindow {
		return false
	}
	if t.trials == nil {
		t.trials = map[string]time.Time{}
	}
	t.trials[q.Part] = now
	return true
}

// hasTrialTurn reports whether the process with the index is one of those that may allow a trial of the part in a window.
func hasTrialTurn(part string, index, processes, window int) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(part))
	first := int(h.Sum32() % uint32(processes))
	allowed := min(processes, 1<<min(window, maxTrialDoublings))
	return (index+window+first)%processes < allowed
}
