package place

import (
	"maps"
	"time"
)

const (
	// formerPart is the part of a relay's share of the retry budget that one may spend which asks for no grants: earlier versions spent up
	// to twice their share.
	formerPart = 2.0
	// firstReportsTime is the time in which all relays that run report to a new leader; they do so once a second. Until then it grants
	// firstReportsPart of the pool, so that what it does not know yet stays within the difference between this limit and the platform's.
	firstReportsTime = 1200 * time.Millisecond
	firstReportsPart = 0.25
	// firstTerm is the term before which there was no leader that could grant anything.
	firstTerm = 1
)

// RetryUse is what a relay has counted for a service in the window that ends now.
type RetryUse struct {
	// Service is the name of the service, and Requests the number of callers' requests to it.
	Service  string `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint,omitempty"`
	// GrantedAfterLoss and GrantedAfterRefusal are the numbers of extra attempts that the relay was granted, by cause.
	GrantedAfterLoss    int `cbor:"3,keyasint,omitempty"`
	GrantedAfterRefusal int `cbor:"4,keyasint,omitempty"`
}

// RetryPool is the part of the retry budgets of all services that is not divided among the relays in advance. The keeper that leads grants
// it to relays whose own part is used up, so that relays which lose more by chance may spend more while the sum stays within the
// limit. Nobody else grants. All keepers record the relays' reports, so that a new leader knows what was granted before it, also to
// relays that have ended since. It is not safe for concurrent use.
type RetryPool struct {
	// RetryLimit is the limit for each service.
	RetryLimit

	// term is the term in which this keeper leads, 0 if it does not, and startedAt when it began to.
	term      uint64
	startedAt time.Time
	relays    map[string]*relayUse
	// granted holds what this leader has granted at each service.
	granted map[string]*retryWindow
}

// relayUse is what is known of a relay.
type relayUse struct {
	// uses is its last report by service, reportedAt when that arrived, and firstAt when the first one did.
	uses                map[string]RetryUse
	reportedAt, firstAt time.Time
	// asks is true if the relay asks for grants beyond its own part.
	asks bool
	// granted is what this leader has granted the relay in its term, and before the most that the relay was granted before it, by service.
	granted map[string]*retryCounts
	before  map[string]*retryCounts
}

// SetTerm records the term in which this keeper leads, or 0 if it does not.
func (p *RetryPool) SetTerm(term uint64, now time.Time) {
	if term == p.term {
		return
	}
	p.term, p.startedAt, p.granted = term, now, map[string]*retryWindow{}
	for _, u := range p.relays {
		u.granted, u.before = map[string]*retryCounts{}, map[string]*retryCounts{}
		u.recordBefore()
	}
}

// AddReport records a relay's report. asks is true if the relay asks for grants beyond its own part of the budgets. Each start of a relay
// has another name.
func (p *RetryPool) AddReport(relay string, asks bool, uses []RetryUse, now time.Time) {
	maps.DeleteFunc(p.relays, func(_ string, u *relayUse) bool { return now.Sub(u.reportedAt) > p.Window })
	u := p.relay(relay, now)
	u.asks, u.reportedAt = asks, now
	clear(u.uses)
	for _, x := range uses {
		u.uses[x.Service] = x
	}
	u.recordBefore()
}

// relay returns what is known of a relay.
func (p *RetryPool) relay(name string, now time.Time) *relayUse {
	u := p.relays[name]
	if u == nil {
		u = &relayUse{
			asks: true, reportedAt: now, firstAt: now,
			uses: map[string]RetryUse{}, granted: map[string]*retryCounts{}, before: map[string]*retryCounts{},
		}
		if p.relays == nil {
			p.relays = map[string]*relayUse{}
		}
		p.relays[name] = u
	}
	return u
}

// recordBefore updates what the relay was granted before the term by its last report. A report may be older than the one before it.
func (u *relayUse) recordBefore() {
	for service, x := range u.uses {
		own, before := countsOf(u.granted, service), countsOf(u.before, service)
		before.losses = max(before.losses, float64(x.GrantedAfterLoss)-own.losses)
		before.refusals = max(before.refusals, float64(x.GrantedAfterRefusal)-own.refusals)
	}
}

// countsOf returns the counts of a service, which are zero at first.
func countsOf(byService map[string]*retryCounts, service string) *retryCounts {
	c := byService[service]
	if c == nil {
		c = &retryCounts{}
		byService[service] = c
	}
	return c
}

// Grant takes up to n extra attempts of the relay for the cause at the service from the pool, and returns how many there were.
func (p *RetryPool) Grant(relay, service string, n int, cause RetryCause, now time.Time) int {
	if p.term == 0 || n <= 0 {
		return 0
	}
	since := now.Sub(p.startedAt)
	w := p.granted[service]
	if w == nil {
		w = &retryWindow{}
		p.granted[service] = w
	}
	allowed := p.allowed(service, now)
	spent := w.sum(p.Window, since)
	if since <= p.Window {
		for _, u := range p.relays {
			before := countsOf(u.before, service)
			spent.losses += before.losses
			spent.refusals += before.refusals
		}
	}
	if p.term != firstTerm && since < firstReportsTime {
		allowed *= firstReportsPart
	}
	n = min(n, int(max(0, spent.free(allowed, cause))))
	w.at(p.Window, since).add(cause, n)
	countsOf(p.relay(relay, now).granted, service).add(cause, n)
	return n
}

// allowed returns the number of extra attempts at the service that the pool has for each window.
func (p *RetryPool) allowed(service string, now time.Time) float64 {
	var requests, known, former float64
	for _, u := range p.relays {
		age := now.Sub(u.reportedAt)
		if age > p.Window {
			continue
		}
		// The requests leave the window one after the other.
		requests += float64(u.uses[service].Requests) * (1 - age.Seconds()/p.Window.Seconds())
		switch {
		case !u.asks:
			former++
		case now.Sub(u.firstAt) >= p.Window:
			known++
		}
	}
	part := 1 - ownPart
	if former > 0 {
		part -= (formerPart - ownPart) * former / (former + known)
	}
	return max(0, part) * (p.Ratio*requests + p.Slack)
}
