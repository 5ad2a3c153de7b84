package place

import (
	"math/rand/v2"
	"time"

	"wasabiweir/core/table"
)

// Weights of the cost of an endpoint; a request goes to the endpoint with the least cost.
const (
	// readingCost is the cost of a prompt that an endpoint reads: prompts on one endpoint take turns, and each step of the
	// streams beside them takes several times as long.
	readingCost = 1.0
	// runningCost is the cost of a request that runs, in prompts; a batch of 64 makes each step about twice as long.
	runningCost = 0.03
	// copyCost is the cost of a copy that an endpoint holds: its stream comes here when its engine fails.
	copyCost = 0.02
	// jitter spreads the choices of relays that know the same; it is less than one prompt.
	jitter = 0.25
	// foreignCost is the cost of an endpoint that another relay prefers. It is less than one prompt: relays do not see each
	// other's prompts, and two of them rarely meet while each one has an idle endpoint of its own.
	foreignCost = 0.6
	// suspectCost keeps requests off a failure domain of which several endpoints have just failed.
	suspectCost = 4.0
)

const (
	// firstSuspension and longestSuspension bound how long an endpoint that failed gets nothing; it doubles with each
	// failure in a row.
	firstSuspension   = 400 * time.Millisecond
	longestSuspension = 2 * time.Second
	// downSuspension is how long a model engine that is down gets nothing: it restarts under another id, which the list
	// shows about two seconds after the crash.
	downSuspension = 2500 * time.Millisecond
	// goneFor is how long an endpoint whose address another one has gets nothing: longer than the list shows an entry of a
	// crashed endpoint. One that starts again under its id is used again afterwards.
	goneFor = 10 * time.Second
	// suspectFor is how long a failure counts against its failure domain.
	suspectFor = 1500 * time.Millisecond
	// suspectShare is the part of a domain's endpoints whose failure makes the others suspect.
	suspectShare = 0.25
	// loadFor is how long a reported load counts; it is stale when it arrives.
	loadFor = 500 * time.Millisecond
)

// Table holds the endpoints; it is not safe for concurrent use.
type Table struct {
	// Rand is the source of the draws that spread equal choices.
	Rand *rand.Rand

	rows table.Table[string, row]
	// index is this relay's place among the relays; -1 if it has none.
	index  int
	relays int
}

// row is one endpoint with what this process knows of it.
type row struct {
	Endpoint
	// listed is false once the platform's list has no entry any more.
	listed bool
	// reading, running and copies count this process's own requests.
	reading int
	running int
	copies  int
	// until is when the suspension ends, and failures counts the failures in a row.
	until    time.Time
	failures int
	failed   time.Time
	// full is when a refusal for lack of room stops counting.
	full time.Time
	// gone is until when the endpoint gets nothing because another one has its address.
	gone time.Time
	load Load
	at   time.Time // when load arrived
	// bias is the cost that this relay's part gives the endpoint.
	bias float64
}

// Load is what an endpoint says of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at this moment; 1 means as usual.
	Slowness float64
}

// Update takes a reading of the platform's list.
func (t *Table) Update(list []Endpoint) {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		if r := t.rows.Get(e.ID); r != nil {
			r.Endpoint, r.listed = e, true
			continue
		}
		t.rows.Put(e.ID, row{Endpoint: e, listed: true})
	}
	t.rows.Each(func(id string, r *row) bool {
		if seen[id] {
			return true
		}
		r.listed = false
		if r.running == 0 && r.copies == 0 {
			t.rows.Delete(id)
		}
		return true
	})
	t.divide()
}

// Divide tells the table this relay's place among all relays, each of which prefers an equal part of the endpoints.
func (t *Table) Divide(index, relays int) {
	t.index, t.relays = index, relays
	t.divide()
}

// divide deals the endpoints of each service out to the relays, one failure domain after the other, so that each relay
// gets some of every domain.
func (t *Table) divide() {
	type key struct{ service, domain string }
	order := map[key]int{}
	domains := map[string]map[string]int{}
	t.rows.Each(func(_ string, r *row) bool {
		if domains[r.Service] == nil {
			domains[r.Service] = map[string]int{}
		}
		if d := domains[r.Service]; r.listed {
			if _, ok := d[r.Domain]; !ok {
				d[r.Domain] = len(d)
			}
		}
		return true
	})
	t.rows.Each(func(_ string, r *row) bool {
		r.bias = foreignCost
		if !r.listed {
			return true
		}
		k := key{r.Service, r.Domain}
		position := order[k]*len(domains[r.Service]) + domains[r.Service][r.Domain]
		order[k]++
		if t.relays > 0 && t.index >= 0 && position%t.relays == t.index {
			r.bias = 0
		}
		return true
	})
}

// Want is what a request asks of an endpoint.
type Want struct {
	Service string
	// Model says that the endpoints are model engines, whose cost is what they read and run.
	Model bool
	// Not are the ids of endpoints that must not be chosen.
	Not map[string]bool
	// NotDomain is a failure domain to avoid if another one has an endpoint.
	NotDomain string
	// Lost is the failure domain in which the request has just lost an endpoint; the rest of it may go down with that one.
	Lost string
}

// Choose returns the endpoint with the least cost, or false if none takes requests now.
func (t *Table) Choose(w Want, now time.Time) (Endpoint, bool) {
	var best *row
	var least float64
	suspect := t.suspects(w.Service, now)
	t.rows.Each(func(_ string, r *row) bool {
		if !r.fits(w, now) {
			return true
		}
		cost := r.cost(w, now) + jitter*t.Rand.Float64()
		if suspect[r.Domain] || w.Lost != "" && r.Domain == w.Lost {
			cost += suspectCost
		}
		if w.NotDomain != "" && r.Domain == w.NotDomain {
			cost += 2 * suspectCost
		}
		if best == nil || cost < least {
			best, least = r, cost
		}
		return true
	})
	if best == nil {
		return Endpoint{}, false
	}
	return best.Endpoint, true
}

// Any reports whether Choose would return an endpoint.
func (t *Table) Any(w Want, now time.Time) (found bool) {
	t.rows.Each(func(_ string, r *row) bool {
		found = r.fits(w, now)
		return !found
	})
	return found
}

// Holder returns the endpoint that should hold the copy of a run on the endpoint: one of another failure domain, or
// false if there is none. The domain lost is avoided too, unless it is empty.
func (t *Table) Holder(of Endpoint, lost string, now time.Time) (Endpoint, bool) {
	w := Want{Service: of.Service, Model: true, Not: map[string]bool{of.ID: true}, NotDomain: of.Domain, Lost: lost}
	e, ok := t.Choose(w, now)
	if !ok || e.Domain == of.Domain {
		return Endpoint{}, false
	}
	return e, true
}

// fits reports whether the endpoint may get the request now.
func (r *row) fits(w Want, now time.Time) bool {
	return r.Service == w.Service && !w.Not[r.ID] && r.takes(now)
}

// takes reports whether the endpoint may get requests now.
func (r *row) takes(now time.Time) bool {
	return r.lives(now) && !r.Draining && !now.Before(r.full)
}

// lives reports whether the endpoint is not known to be down.
func (r *row) lives(now time.Time) bool {
	return r.listed && !now.Before(r.gone) && !now.Before(r.until)
}

func (r *row) cost(w Want, now time.Time) float64 {
	if !w.Model {
		return r.plainCost(now)
	}
	cost := readingCost*float64(r.reading) + runningCost*float64(r.running) + copyCost*float64(r.copies)
	if w.NotDomain == "" {
		cost += r.bias
	}
	return cost
}

// plainCost is the number of requests before a new one, in units of the endpoint's slots.
func (r *row) plainCost(now time.Time) float64 {
	running, slots, slowness := float64(r.running), float64(max(1, r.Slots)), 1.0
	if now.Sub(r.at) < loadFor {
		running = max(running, float64(r.load.Running+r.load.Waiting))
		if r.load.Slowness > 0 {
			slowness = r.load.Slowness
		}
	}
	return (running + 1) / slots * slowness
}

// suspects returns the failure domains of which a part of the endpoints has just failed.
func (t *Table) suspects(service string, now time.Time) map[string]bool {
	all, failed := map[string]int{}, map[string]int{}
	t.rows.Each(func(_ string, r *row) bool {
		if r.Service != service || !r.listed {
			return true
		}
		all[r.Domain]++
		if r.failures > 0 && now.Sub(r.failed) < suspectFor {
			failed[r.Domain]++
		}
		return true
	})
	out := map[string]bool{}
	for domain, n := range failed {
		if n >= 2 && float64(n) >= suspectShare*float64(all[domain]) {
			out[domain] = true
		}
	}
	return out
}

// Get returns an endpoint that the list has, or false.
func (t *Table) Get(id string) (Endpoint, bool) {
	r := t.rows.Get(id)
	if r == nil || !r.listed {
		return Endpoint{}, false
	}
	return r.Endpoint, true
}

// Lives reports whether the endpoint is not known to be down or gone; it may be leaving or full.
func (t *Table) Lives(id string, now time.Time) bool {
	r := t.rows.Get(id)
	return r != nil && r.lives(now)
}

// Takers returns the endpoints of the service that may get requests now.
func (t *Table) Takers(service string, now time.Time) []Endpoint {
	var out []Endpoint
	t.rows.Each(func(_ string, r *row) bool {
		if r.Service == service && r.takes(now) {
			out = append(out, r.Endpoint)
		}
		return true
	})
	return out
}

// Began counts a request that is sent to the endpoint; prompt says that it begins with a prompt to be read.
func (t *Table) Began(id string, prompt bool) {
	if r := t.rows.Get(id); r != nil {
		r.running++
		if prompt {
			r.reading++
		}
	}
}

// Read counts that the prompt of a request has been read.
func (t *Table) Read(id string) {
	if r := t.rows.Get(id); r != nil && r.reading > 0 {
		r.reading--
	}
}

// Ended counts that a request has ended.
func (t *Table) Ended(id string) {
	if r := t.rows.Get(id); r != nil && r.running > 0 {
		r.running--
	}
}

// Copied counts a copy that the endpoint holds, or one less.
func (t *Table) Copied(id string, n int) {
	if r := t.rows.Get(id); r != nil {
		r.copies = max(0, r.copies+n)
	}
}

// Served records an answer of the endpoint.
func (t *Table) Served(id string) {
	if r := t.rows.Get(id); r != nil {
		r.failures, r.until, r.full = 0, time.Time{}, time.Time{}
	}
}

// Loaded records what the endpoint says of itself.
func (t *Table) Loaded(id string, l Load, now time.Time) {
	if r := t.rows.Get(id); r != nil {
		r.load, r.at = l, now
	}
}

// Failed records that the endpoint could not be reached, broke off or fell silent, and returns for how long it gets
// nothing. Down says that it is certainly not running and comes back under another id. Failures that were noticed during
// a suspension are those of the same crash.
func (t *Table) Failed(id string, down bool, now time.Time) time.Duration {
	r := t.rows.Get(id)
	if r == nil {
		return 0
	}
	pause := min(longestSuspension, firstSuspension<<min(r.failures, 8))
	if down {
		pause = downSuspension
	}
	if now.Before(r.until) && !down {
		return r.until.Sub(now)
	}
	r.failures++
	r.failed, r.until = now, now.Add(pause)
	return pause
}

// Full records that the endpoint refused a request because it is full, so that it gets nothing for the pause.
func (t *Table) Full(id string, pause time.Duration, now time.Time) {
	if r := t.rows.Get(id); r != nil {
		r.full = now.Add(pause)
	}
}

// Gone records that another endpoint has the address, which tells of a restart.
func (t *Table) Gone(id string, now time.Time) {
	if r := t.rows.Get(id); r != nil {
		r.gone = now.Add(goneFor)
		r.failures++
		r.failed = now
	}
}
