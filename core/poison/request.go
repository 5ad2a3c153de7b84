package poison

import (
	"slices"
	"time"
)

// requestSuspicion is the time from the first crash to the quarantine of a whole request. In that time the news of the other
// requests on the same engines arrive, and show which of them is to blame.
const requestSuspicion = 500 * time.Millisecond

// minSpan is the time between the first and the last crash of a whole request below which its engines may have been lost
// together, for another reason.
const minSpan = 100 * time.Millisecond

// maxPerEngine is the number of requests with the same fingerprint that are kept of one lost engine. More would only show once
// more that the request is often sent.
const maxPerEngine = 3

// suspect is a whole request, with what the crashes say about it.
type suspect struct {
	part string
	// crashes are those since which no such request has been answered, in order of time.
	crashes []*crash
	// counted are the crashes of which none has the same cause as another one, as far as time and failure domain show.
	counted []*crash
	// third is the time of the crash that was counted as the third.
	third time.Time
}

// findRequests returns the quarantines of whole requests that explain the crashes. Unlike a part of many prompts, such a
// request is known exactly, so it needs fewer crashes that are apart in time. Of the requests with enough crashes it takes, one
// after the other, the one that says most about those that are not explained yet, until none has minCrashes of these: what is left
// over were bystanders, or will soon have crashes of its own. The losses under a request that crashes engines are not always seen.
// Doubtful crashes count only for what the others don't explain.
func findRequests(crashes []crash, explained []bool) []*Quarantine {
	firm := make([]bool, len(crashes))
	for i := range crashes {
		firm[i] = explained[i] || crashes[i].Doubtful
	}
	out := explainByRequests(crashes, firm)
	for _, q := range out {
		explain(crashes, explained, q.Part)
	}
	return append(out, explainByRequests(crashes, explained)...)
}

// explainByRequests returns the quarantines of whole requests for the crashes that are not explained.
func explainByRequests(crashes []crash, explained []bool) (out []*Quarantine) {
	open := collectSuspects(crashes, explained)
	for len(open) > 0 {
		unexplained := collectSuspects(crashes, explained)
		most := 0.0
		for part := range open {
			s := unexplained[part]
			if s == nil || len(s.counted) < minCrashes {
				delete(open, part)
				continue
			}
			most = max(most, s.weight())
		}
		if most == 0 {
			break
		}
		var found []*suspect
		for part, s := range open {
			if unexplained[part].weight() == most {
				found = append(found, s)
				delete(open, part)
			}
		}
		for _, s := range found {
			if s.areCrashesApart() {
				q := s.quarantine()
				q.Ambiguous = len(found) > 1
				out = append(out, q)
			}
			explain(crashes, explained, s.part)
		}
	}
	return out
}

// collectSuspects returns the whole requests with crashes that no quarantined part explains.
func collectSuspects(crashes []crash, explained []bool) map[string]*suspect {
	out := map[string]*suspect{}
	for i := range crashes {
		c := &crashes[i]
		if !c.isWholeRequest() || explained[i] || c.isSound(0) {
			continue
		}
		s := out[c.lastPart()]
		if s == nil {
			s = &suspect{part: c.lastPart()}
			out[s.part] = s
		}
		s.add(c)
	}
	return out
}

// add adds the next crash. Those of one engine are one crash, and so are those of a failure domain within minSpacing after one that
// counts.
func (s *suspect) add(c *crash) {
	repeated := false
	for _, o := range s.counted {
		repeated = repeated || o.Endpoint == c.Endpoint && c.at.Sub(o.at) < sameCrash || c.isSameEvent(o)
	}
	s.crashes = append(s.crashes, c)
	if repeated {
		return
	}
	s.counted = append(s.counted, c)
	if len(s.counted) == minCrashes {
		s.third = c.at
	}
}

// areCrashesApart reports whether the crashes do not all come at about the same time.
func (s *suspect) areCrashesApart() bool { return s.last().at.Sub(s.crashes[0].at) >= minSpan }

// last returns the last crash.
func (s *suspect) last() *crash { return s.crashes[len(s.crashes)-1] }

// weight grows with the number of crashes, and falls with the number of such requests on each engine: one that is often sent
// is on most engines that are lost, whatever the cause.
func (s *suspect) weight() float64 {
	return float64(len(s.counted)*len(s.counted)) / float64(len(s.crashes))
}

// quarantine returns the quarantine of the request. The crashes until it is known everywhere do not delay its trial.
func (s *suspect) quarantine() *Quarantine {
	q := &Quarantine{Part: s.part, Crashes: minCrashes, Since: s.crashes[0].at.Add(requestSuspicion), LastCrash: s.last().at}
	counted := s.third.Add(sameCrash)
	for _, c := range s.crashes {
		if c.at.Sub(counted) >= minSpacing {
			counted = c.at
			q.Crashes++
		}
	}
	return q
}

// leastUsefulRequest returns the index of the crash of a whole request that is missed least: the oldest one since which the
// request has been answered; one of many of the same quarantined request; the oldest one that a quarantined request
// explains; the oldest one of a request that was in no other; or the oldest of all.
func (t *Table) leastUsefulRequest() int {
	if i := t.firstRequest(func(c *crash) bool { return c.isSound(0) }); i >= 0 {
		return i
	}
	if i := t.mostRedundant((*crash).isWholeRequest); i >= 0 {
		return i
	}
	if i := t.firstRequest(t.isExplained); i >= 0 {
		return i
	}
	number := map[string]int{}
	for i := range t.crashes {
		number[t.crashes[i].lastPart()]++
	}
	if i := t.firstRequest(func(c *crash) bool { return number[c.lastPart()] == 1 }); i >= 0 {
		return i
	}
	return t.firstRequest((*crash).isWholeRequest)
}

// forget removes the crash of a whole request, and keeps in mind that the request has been answered since, if it has. Otherwise
// late news of the crash would count again.
func (t *Table) forget(i int) {
	if c := &t.crashes[i]; c.isSound(0) {
		if t.answered == nil {
			t.answered = map[string]time.Time{}
		}
		if at := t.answered[c.lastPart()]; c.at.After(at) {
			t.answered[c.lastPart()] = c.at
		}
	}
	t.crashes = slices.Delete(t.crashes, i, i+1)
	for len(t.answered) > maxWholeCrashes {
		oldest := ""
		for part, at := range t.answered {
			if oldest == "" || at.Before(t.answered[oldest]) {
				oldest = part
			}
		}
		delete(t.answered, oldest)
	}
}

// isKnownRequest reports whether the crash of a whole request at the given time adds nothing to the table: the request has been
// answered since, or enough such requests are known to have been on the engine. The times of one crash differ by the delay
// of the messages.
func (t *Table) isKnownRequest(c *Crash, at time.Time) bool {
	if answered, ok := t.answered[c.lastPart()]; ok && !at.After(answered.Add(minSpacing)) {
		return true
	}
	return len(t.sameRequest(c, at)) >= maxPerEngine
}

// sameRequest returns the known crashes of the same engine and whole request as the crash at the given time.
func (t *Table) sameRequest(c *Crash, at time.Time) (out []*crash) {
	for i := range t.crashes {
		if o := &t.crashes[i]; o.isWholeRequest() && o.lastPart() == c.lastPart() && o.isSameEngine(&crash{Crash: *c, at: at}) {
			out = append(out, o)
		}
	}
	return out
}

// markSameRequest marks the other crashes of the same engine and whole request as answered if this one is, and returns those for
// which this is news: processes may keep different ones of them.
func (t *Table) markSameRequest(c *Crash, at, now time.Time) (news []Crash) {
	if !c.isWholeRequest() || !c.isSound(0) {
		return nil
	}
	for _, o := range t.sameRequest(c, at) {
		if !o.isSound(0) && o.Request != c.Request {
			o.Sound = 1
			news = append(news, o.withAge(now))
		}
	}
	return news
}

// firstRequest returns the index of the oldest crash of a whole request for which is returns true, or -1.
func (t *Table) firstRequest(is func(c *crash) bool) int {
	for i := range t.crashes {
		if c := &t.crashes[i]; c.isWholeRequest() && is(c) {
			return i
		}
	}
	return -1
}

// isExplained reports whether a quarantined request was on the engine, and the one of this crash is not in quarantine.
func (t *Table) isExplained(c *crash) bool {
	if t.supportsQuarantine(c) {
		return false
	}
	for i := range t.crashes {
		if o := &t.crashes[i]; o.isSameEngine(c) && t.supportsQuarantine(o) {
			return true
		}
	}
	return false
}
