package poison

import "time"

// sameCrash is the time within which the losses of one engine that several requests saw are one crash.
const sameCrash = time.Second

// evidence is what the crashes say about one part.
type evidence struct {
	Quarantine
	// lastParts are the last parts of the requests that crashed an engine. A shared part needs two: a single request may be
	// to blame as a whole.
	lastParts map[string]bool
	// position is the last position at which the part stands in a prompt. Parts that stand later are shared by fewer
	// requests.
	position int
	shared   bool
}

// findQuarantines returns the parts that explain the crashes, which are in order of time. Of several parts that could,
// the one that stands last in the prompts does, so that the fewest sound requests are harmed.
func findQuarantines(crashes []crash) map[string]*Quarantine {
	out := map[string]*Quarantine{}
	explained := make([]bool, len(crashes))
	for {
		best := bestExplanation(crashes, explained, out)
		if best == nil {
			for _, q := range findRequests(crashes, explained) {
				out[q.Part] = q
			}
			return out
		}
		q := best.Quarantine
		q.Since = q.Since.Add(minSuspicion)
		out[q.Part] = &q
		if !best.shared {
			// A further request may show that a shared part is to blame.
			continue
		}
		explain(crashes, explained, q.Part)
	}
}

// explain marks the crashes of the engines that requests with the part have crashed. Other requests that had just begun
// on such an engine are not to blame.
func explain(crashes []crash, explained []bool, part string) {
	for i := range crashes {
		cause := &crashes[i]
		if j := cause.indexOf(part); j < 0 || cause.isSound(j) {
			continue
		}
		for k := range crashes {
			c := &crashes[k]
			explained[k] = explained[k] || c.isSameEngine(cause)
		}
	}
}

// isSameEngine reports whether the crashes are the loss of one engine that two requests saw.
func (c *crash) isSameEngine(o *crash) bool {
	return c.Endpoint == o.Endpoint && c.at.Sub(o.at).Abs() < sameCrash
}

// bestExplanation returns the next part to quarantine, or nil if there is none.
func bestExplanation(crashes []crash, explained []bool, found map[string]*Quarantine) (best *evidence) {
	for part, e := range collectEvidence(crashes, explained) {
		if found[part] != nil || e.Crashes < minCrashes || e.shared && len(e.lastParts) < 2 {
			continue
		}
		if best == nil || e.isBetterThan(best) {
			best = e
		}
	}
	return best
}

// isBetterThan reports whether e is quarantined before other.
func (e *evidence) isBetterThan(other *evidence) bool {
	switch {
	case e.shared != other.shared:
		return e.shared
	case e.position != other.position:
		return e.position > other.position
	case e.Crashes != other.Crashes:
		return e.Crashes > other.Crashes
	}
	return e.Part < other.Part
}

// collectEvidence counts, for each part, the crashes that no quarantined part explains and since which no request with
// the part has been answered.
func collectEvidence(crashes []crash, explained []bool) map[string]*evidence {
	out := map[string]*evidence{}
	counted := map[string]time.Time{}
	for i := range crashes {
		c := &crashes[i]
		if explained[i] || c.isWholeRequest() {
			continue
		}
		for j, p := range c.Parts {
			if c.isSound(j) {
				continue
			}
			e := out[p]
			if e == nil {
				e = &evidence{Quarantine: Quarantine{Part: p, Since: c.at}, lastParts: map[string]bool{}}
				out[p] = e
			}
			e.lastParts[c.lastPart()] = true
			e.position = max(e.position, j)
			e.shared = e.shared || j < len(c.Parts)-1
			e.LastCrash = c.at
			if at, ok := counted[p]; !ok || c.at.Sub(at) >= minSpacing {
				counted[p] = c.at
				e.Crashes++
			}
		}
	}
	return out
}
