package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes bounds the crashes of prompts with several parts in a table, and maxWholeCrashes those of whole requests. The
	// latter are smaller, and each engine that is lost has one for each request that it was running.
	maxCrashes      = 64
	maxWholeCrashes = 256
	// maxSuspects bounds the suspected crashes; more of them are not counted before they are known to be crashes.
	maxSuspects = 256
	// maxPerQuarantine is the number of crashes of a quarantined part above which the table gives them up first when it is
	// full.
	maxPerQuarantine = 8
	// minCrashes is the number of crashes after which a part is quarantined.
	minCrashes = 3
	// minSpacing is the time within which several crashes count as one: the engines of a failure domain that crash
	// together are one event.
	minSpacing = 250 * time.Millisecond
	// minSuspicion is the time from the first crash to the quarantine of a part. In that time, sound requests with the
	// part are answered.
	minSuspicion = time.Second
	// MaxRequestCrashes is the number of crashes after which a request is not sent to a further engine, unless its
	// shared parts have been answered since; maxOwnCrashes is that number if they have.
	MaxRequestCrashes = 2
	maxOwnCrashes     = 3
	// firstTrial is the time from the last crash to the first trial of a quarantined part; it doubles with each
	// further crash.
	firstTrial = 20 * time.Second
)

// Table holds the known crashes and the parts that are quarantined because of them. It is not safe for concurrent use.
type Table struct {
	crashes []crash
	// suspects are losses of engines that this process still checks, so that answers in the meantime speak for their parts.
	suspects    []crash
	quarantines map[string]*Quarantine
	// trials holds when this process last allowed a trial of a part.
	trials map[string]time.Time
	// answered holds, for whole requests that were answered after a crash which the table has given up, the time of the last such
	// crash.
	answered map[string]time.Time
	// recent holds the whole requests that were answered recently, while there are crashes.
	recent recentAnswers
	// nextExpiry is when the oldest crash expires.
	nextExpiry time.Time
}

// crash is a Crash with its time on this process's clock.
type crash struct {
	Crash
	at time.Time
}

// Quarantine keeps requests with a part away from engines.
type Quarantine struct {
	Part string
	// Crashes is the number of crashes, of which those at about the same time count once.
	Crashes int
	// Since is when the quarantine takes effect, and LastCrash the time of the last crash.
	Since     time.Time
	LastCrash time.Time
	// Ambiguous is true if another whole request explains the crashes as well.
	Ambiguous bool
}

// Merge adds crashes that this process has seen or that another one sent. It returns those of which the table had not
// known, or not as sound.
func (t *Table) Merge(list []Crash, now time.Time) (news []Crash) {
	for _, c := range list {
		if !c.isValid() {
			continue
		}
		at := now.Add(-c.Age)
		if c.isWholeRequest() && t.recent.speakFor(c.lastPart(), at) {
			c.Sound = 1
		}
		news = append(news, t.markSameRequest(&c, at, now)...)
		known := t.find(c.Request, c.Endpoint)
		switch {
		case known == nil && c.isWholeRequest() && t.isKnownRequest(&c, at):
		case known == nil:
			c.Parts = slices.Clone(c.Parts)
			t.crashes = append(t.crashes, crash{Crash: c, at: at})
			news = append(news, c)
		case len(known.Parts) == len(c.Parts) && known.Sound|c.Sound != known.Sound:
			known.Sound |= c.Sound
			c.Sound = known.Sound
			news = append(news, c)
		}
	}
	if len(news) > 0 {
		t.update(now)
	}
	// A crash that was dropped at once must not go from process to process.
	return slices.DeleteFunc(news, func(c Crash) bool { return t.find(c.Request, c.Endpoint) == nil })
}

// find returns the crash of the request at the endpoint, or nil.
func (t *Table) find(request, endpoint string) *crash {
	for i := range t.crashes {
		if c := &t.crashes[i]; c.Request == request && c.Endpoint == endpoint {
			return c
		}
	}
	return nil
}

// MarkSound records that an engine survived the beginning of its answer to a request with the parts; the answer began
// at the given time. It returns the crashes for which this is news.
func (t *Table) MarkSound(parts []string, began, now time.Time) (news []Crash) {
	if !t.HasCrashes() {
		return nil
	}
	parts = limitParts(parts)
	if len(parts) == 1 {
		t.recent.record(parts[0], began)
	}
	for i := range t.suspects {
		t.suspects[i].markSound(parts, began)
	}
	for i := range t.crashes {
		if c := &t.crashes[i]; c.markSound(parts, began) {
			news = append(news, c.withAge(now))
		}
	}
	if len(news) > 0 {
		t.update(now)
	}
	return news
}

// withAge returns the record of the crash as it is sent to other processes.
func (c *crash) withAge(now time.Time) Crash {
	out := c.Crash
	out.Age = now.Sub(c.at)
	return out
}

// markSound marks the parts as answered if the answer began after the crash, and reports whether this is news.
func (c *crash) markSound(parts []string, began time.Time) bool {
	if !began.After(c.at) {
		return false
	}
	before := c.Sound
	for j, p := range c.Parts {
		if slices.Contains(parts, p) {
			c.Sound |= 1 << j
		}
	}
	return c.Sound != before
}

// HasCrashes reports whether the table holds any crash, or any loss that may be one.
func (t *Table) HasCrashes() bool { return len(t.crashes)+len(t.suspects) > 0 }

// Suspect adds the loss of an engine at the given time that may be a crash, until Resolve is called for it. The loss counts in
// MustWait only.
func (t *Table) Suspect(c Crash, at time.Time) {
	if c.isValid() && len(t.suspects) < maxSuspects && t.findSuspect(c.Key()) < 0 {
		c.Parts = slices.Clone(c.Parts)
		t.suspects = append(t.suspects, crash{Crash: c, at: at})
	}
}

// findSuspect returns the index of the suspected crash, or -1.
func (t *Table) findSuspect(key string) int {
	return slices.IndexFunc(t.suspects, func(s crash) bool { return s.Key() == key })
}

// Resolve removes the suspected crash, and merges it as Merge does if it was one.
func (t *Table) Resolve(c Crash, crashed bool, now time.Time) (news []Crash) {
	if i := t.findSuspect(c.Key()); i >= 0 {
		c = t.suspects[i].withAge(now)
		t.suspects = slices.Delete(t.suspects, i, i+1)
	}
	if !crashed {
		return nil
	}
	return t.Merge([]Crash{c}, now)
}

// MustWait reports whether the request may be sent to a further engine only if not all of its suspected losses are crashes.
func (t *Table) MustWait(request string) bool {
	request = limitID(request)
	if !slices.ContainsFunc(t.suspects, func(s crash) bool { return s.Request == request }) {
		return false
	}
	all := slices.Concat(t.crashes, t.suspects)
	slices.SortStableFunc(all, func(a, b crash) int { return a.at.Compare(b.at) })
	return mayRetry(t.crashes, request) && !mayRetry(all, request)
}

// All returns all crashes, for a process that may not know them.
func (t *Table) All(now time.Time) []Crash {
	t.expire(now)
	out := make([]Crash, 0, len(t.crashes))
	for i := range t.crashes {
		out = append(out, t.crashes[i].withAge(now))
	}
	return out
}

// MayRetry reports whether a request may be sent to a further engine, given those that it has crashed. Engines of one
// failure domain that crashed together count once.
func (t *Table) MayRetry(request string) bool { return mayRetry(t.crashes, limitID(request)) }

// mayRetry reports whether the request may be sent to a further engine, given the crashes in order of time.
func mayRetry(crashes []crash, request string) bool {
	suspicious, all := 0, 0
	var last *crash
	for i := range crashes {
		c := &crashes[i]
		if c.Request != request || last != nil && c.isSameEvent(last) {
			continue
		}
		last = c
		all++
		if !c.sharedPartsSound() {
			suspicious++
		}
	}
	return suspicious < MaxRequestCrashes && all < maxOwnCrashes
}

// isSameEvent reports whether the crash and an earlier one of the same request may be one crash of a failure domain.
func (c *crash) isSameEvent(earlier *crash) bool {
	return c.Domain != "" && c.Domain == earlier.Domain && c.at.Sub(earlier.at) < minSpacing
}

// Quarantined returns the quarantine of one of the parts, or false if none is in quarantine.
func (t *Table) Quarantined(parts []string, now time.Time) (Quarantine, bool) {
	if len(t.crashes) == 0 {
		return Quarantine{}, false
	}
	t.expire(now)
	for _, p := range parts {
		if q := t.quarantines[limitID(p)]; q != nil && !now.Before(q.Since) {
			return *q, true
		}
	}
	return Quarantine{}, false
}

// Quarantines returns all quarantines that are in effect.
func (t *Table) Quarantines(now time.Time) []Quarantine {
	t.expire(now)
	var out []Quarantine
	for _, q := range t.quarantines {
		if !now.Before(q.Since) {
			out = append(out, *q)
		}
	}
	return out
}

// expire removes the crashes whose lifetime is over.
func (t *Table) expire(now time.Time) {
	if len(t.crashes) == 0 || now.Before(t.nextExpiry) {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return now.Sub(c.at) >= CrashLifetime })
	t.update(now)
}

// update derives the quarantines from the crashes, and removes crashes above maxCrashes.
func (t *Table) update(now time.Time) {
	slices.SortStableFunc(t.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	t.quarantines = findQuarantines(t.crashes)
	t.trim()
	for p := range t.trials {
		if t.quarantines[p] == nil {
			delete(t.trials, p)
		}
	}
	t.nextExpiry = now.Add(CrashLifetime)
	if len(t.crashes) > 0 {
		t.nextExpiry = t.crashes[0].at.Add(CrashLifetime)
	}
}

// trim removes crashes above maxCrashes and maxWholeCrashes.
func (t *Table) trim() {
	whole := 0
	for i := range t.crashes {
		if t.crashes[i].isWholeRequest() {
			whole++
		}
	}
	for ; whole > maxWholeCrashes; whole-- {
		t.forget(t.leastUsefulRequest())
	}
	for len(t.crashes)-whole > maxCrashes {
		i := t.leastUseful()
		t.crashes = slices.Delete(t.crashes, i, i+1)
	}
}

// leastUseful returns the index of the crash that is missed least among those of prompts with several parts: one of many that
// support the same quarantine, or else the oldest one whose shared parts are sound, that supports no quarantine, or of all.
// Crashes that support no quarantine yet may be those of a further part.
func (t *Table) leastUseful() int {
	hasParts := func(c *crash) bool { return !c.isWholeRequest() }
	if i := t.mostRedundant(hasParts); i >= 0 {
		return i
	}
	unused := slices.IndexFunc(t.crashes, func(c crash) bool { return hasParts(&c) })
	for i := len(t.crashes) - 1; i >= 0; i-- {
		if c := &t.crashes[i]; hasParts(c) && !t.supportsQuarantine(c) {
			unused = i
		}
	}
	for i := range t.crashes {
		if c := &t.crashes[i]; hasParts(c) && c.sharedPartsSound() && !t.supportsQuarantine(c) {
			return i
		}
	}
	return unused
}

// mostRedundant returns the index of the crash that came soonest after another one, among those of the quarantined part that
// has most, of the crashes for which is returns true; -1 if none has more than maxPerQuarantine.
func (t *Table) mostRedundant(is func(c *crash) bool) int {
	var largest []int
	for _, part := range slices.Sorted(maps.Keys(t.quarantines)) {
		if indexes := t.crashesWith(part, is); len(indexes) > max(maxPerQuarantine, len(largest)) {
			largest = indexes
		}
	}
	redundant := -1
	var least time.Duration
	for k := 1; k < len(largest); k++ {
		gap := t.crashes[largest[k]].at.Sub(t.crashes[largest[k-1]].at)
		if redundant < 0 || gap < least {
			redundant, least = largest[k], gap
		}
	}
	return redundant
}

// crashesWith returns the indexes of the crashes of requests with the part for which is returns true, in order of time.
func (t *Table) crashesWith(part string, is func(c *crash) bool) (indexes []int) {
	for i := range t.crashes {
		if c := &t.crashes[i]; c.indexOf(part) >= 0 && is(c) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// supportsQuarantine reports whether a part of the crashed request is in quarantine.
func (t *Table) supportsQuarantine(c *crash) bool {
	return slices.ContainsFunc(c.Parts, func(p string) bool { return t.quarantines[p] != nil })
}
