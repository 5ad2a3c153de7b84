package place

import (
	"math/rand/v2"
	"time"

	"wasabiweir/core/table"
)

// Terms of an endpoint's cost, in units of one prompt being processed; a request goes to the endpoint with the lowest
// cost.
const (
	// prefillCost is the cost of a prompt that the endpoint is processing (prefill). An endpoint processes prompts one
	// after another, and meanwhile each decoding step of its running streams takes several times as long.
	prefillCost = 1.0
	// runningRequestCost is the cost of each running request; a batch of 64 makes each decoding step about twice as
	// long.
	runningRequestCost = 0.03
	// copyCost is the cost of each KV cache copy that the endpoint holds for a stream on another engine: if that
	// engine fails, the stream resumes on the endpoint that holds its copy.
	copyCost = 0.02
	// maxCostJitter bounds the random term of an endpoint's cost, which makes relays with the same information choose
	// different endpoints. It is less than the cost of one prompt.
	maxCostJitter = 0.25
	// otherRelayCost is the cost of an endpoint that is assigned to another relay. It is less than the cost of one
	// prompt, so that an idle endpoint of another relay is preferred to a busy one of the relay's own. Relays do not
	// see each other's prompts, but two of them rarely choose the same endpoint while each has an idle one of its own.
	otherRelayCost = 0.6
	// suspectDomainCost is added to the cost of an endpoint in a failure domain where several endpoints have just
	// failed or the request has just lost one, and is added twice in a failure domain that the request avoids.
	suspectDomainCost = 4.0
	// limitedHolderCost is added to the cost of an endpoint with a limit as the holder of a copy: it would have to take
	// the stream at once.
	limitedHolderCost = 1.0
)

const (
	// initialBackoff and maxBackoff bound the time for which an endpoint gets no requests after a failure; it doubles
	// with each consecutive failure.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// downBackoff is the time for which a crashed model engine gets no requests. It restarts under another id, which
	// the platform's list shows about two seconds after the crash.
	downBackoff = 2500 * time.Millisecond
	// addressReuseBackoff is the time for which an endpoint gets no requests after another endpoint was found at its
	// address. It is longer than the platform's list keeps showing a crashed endpoint; an endpoint that restarts under
	// the same id is used again afterwards.
	addressReuseBackoff = 10 * time.Second
	// failureWindow is the time for which the failure of an endpoint counts against the failure domain that it is in.
	failureWindow = 1500 * time.Millisecond
	// suspectFraction is the fraction of a failure domain's endpoints that must have failed for the others to be
	// suspect.
	suspectFraction = 0.25
	// loadMaxAge is the age up to which the load that an endpoint reported is used; a report already describes the
	// past when it arrives.
	loadMaxAge = 500 * time.Millisecond
)

// EndpointTable tracks the state of all endpoints as one relay sees it, and chooses among them. It is not safe for
// concurrent use.
type EndpointTable struct {
	// Rand is the source of the random cost that breaks ties between equal endpoints.
	Rand *rand.Rand

	endpoints table.Table[string, endpointState]
	// limits holds the numbers of requests that endpoints take from all relays together.
	limits LimitTable
	// brittleServices is what the endpoints of each service have last said of their brittleness.
	brittleServices map[string]*brittleness
	// relaysChangedAt is when the relays that have turns, or their order, last changed.
	relaysChangedAt time.Time
	// relayIndex is this relay's position among all relays, from 0 to relayCount-1; it is -1 if the relay is not among
	// them.
	relayIndex int
	relayCount int
}

// endpointState holds an endpoint and what this relay knows of its load and failures.
type endpointState struct {
	Endpoint
	// listed reports whether the platform's latest list contains the endpoint.
	listed bool
	// prefilling counts this relay's own prompts in progress on the endpoint, running its running requests, and
	// copies the KV cache copies that the endpoint holds for it.
	prefilling int
	running    int
	copies     int
	// backoffUntil is the end of the current backoff, in which the endpoint gets no requests; consecutiveFailures is
	// the number of failures since it last answered, and lastFailure the time of the latest one.
	backoffUntil        time.Time
	consecutiveFailures int
	lastFailure         time.Time
	// silent is true if the latest failure was a silence, which may end, and not the certain end of the process.
	silent bool
	// fullUntil is the time up to which the endpoint counts as full after it refused a request.
	fullUntil time.Time
	// addressReusedUntil is the time up to which the endpoint gets no requests because another endpoint has its
	// address.
	addressReusedUntil time.Time
	// drainingSince is when the platform's list first showed the endpoint as draining; zero if it does not.
	drainingSince time.Time
	// announced is what the endpoint has said of itself.
	announced announced
	// brittle is what the endpoint has said of its brittleness, and rank its position among the endpoints of its service.
	brittle brittleness
	rank    int
	// room is this relay's share of the endpoint's room.
	room roomDeal
	// roomFreeAt holds, for requests that have ended, when they no longer take room at a brittle endpoint.
	roomFreeAt   []time.Time
	reportedLoad EndpointLoad
	loadReceived time.Time // when reportedLoad arrived
	// preferenceCost is the term of the endpoint's cost that depends on the relay: 0 if the endpoint is assigned to
	// this relay, and otherRelayCost otherwise.
	preferenceCost float64
}

// EndpointLoad is the load that an endpoint reports of itself.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the factor by which work currently takes longer than usual; 1 means no slowdown.
	Slowness float64
}

// Update replaces the endpoints that the platform's list contains. An endpoint that is no longer listed is kept while
// it runs requests or holds KV cache copies.
func (t *EndpointTable) Update(endpoints []Endpoint, now time.Time) {
	seen := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		seen[e.ID] = true
		if s := t.endpoints.Get(e.ID); s != nil {
			if s.Address != e.Address {
				s.announced = announced{}
			}
			s.setListed(e, now)
			continue
		}
		var s endpointState
		s.setListed(e, now)
		t.endpoints.Put(e.ID, s)
	}
	t.endpoints.Each(func(id string, s *endpointState) bool {
		if seen[id] {
			return true
		}
		s.listed = false
		if s.running == 0 && s.copies == 0 {
			t.endpoints.Delete(id)
		}
		return true
	})
	t.limits.keep(seen)
	t.rankEndpoints()
	t.assignPreferredEndpoints()
}

// setListed records the endpoint's entry in the platform's list.
func (s *endpointState) setListed(e Endpoint, now time.Time) {
	s.Endpoint, s.listed = e, true
	switch {
	case !e.Draining:
		s.drainingSince = time.Time{}
	case s.drainingSince.IsZero():
		s.drainingSince = now
	}
}

// rankEndpoints numbers the listed endpoints of each service.
func (t *EndpointTable) rankEndpoints() {
	ranks := map[string]int{}
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if s.listed {
			s.rank = ranks[s.Service]
			ranks[s.Service]++
		}
		return true
	})
}

// SetRelayIndex sets this relay's index among all relays, each of which prefers an equal part of the endpoints.
func (t *EndpointTable) SetRelayIndex(index, relays int) {
	t.relayIndex, t.relayCount = index, relays
	t.assignPreferredEndpoints()
}

// SetTurns sets this relay's index among the relays that have turns at endpoints with a limit: those that callers may use, and
// those that are stopping and still serve requests. The index is -1 if this relay is not among them.
func (t *EndpointTable) SetTurns(index, relays int, now time.Time) {
	relay := relayPosition{index, relays}
	if relay != t.limits.relay {
		t.relaysChangedAt = now
	}
	t.limits.setRelay(relay, now)
}

// assignPreferredEndpoints assigns the endpoints of each service to the relays in turn, alternating between failure
// domains, so that each relay prefers some endpoints of every domain.
func (t *EndpointTable) assignPreferredEndpoints() {
	type serviceDomain struct{ service, domain string }
	assigned := map[serviceDomain]int{}
	domainIndexes := map[string]map[string]int{}
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if domainIndexes[s.Service] == nil {
			domainIndexes[s.Service] = map[string]int{}
		}
		if indexes := domainIndexes[s.Service]; s.listed {
			if _, ok := indexes[s.Domain]; !ok {
				indexes[s.Domain] = len(indexes)
			}
		}
		return true
	})
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		s.preferenceCost = otherRelayCost
		if !s.listed {
			return true
		}
		k := serviceDomain{s.Service, s.Domain}
		position := assigned[k]*len(domainIndexes[s.Service]) + domainIndexes[s.Service][s.Domain]
		assigned[k]++
		if t.relayCount > 0 && t.relayIndex >= 0 && position%t.relayCount == t.relayIndex {
			s.preferenceCost = 0
		}
		return true
	})
}

// EndpointRequirements states which endpoints are suitable for a request.
type EndpointRequirements struct {
	Service string
	// ModelEngines means that the endpoints are model engines, whose cost depends on their prompts and running
	// requests.
	ModelEngines bool
	// Tokens is the size of the request in tokens, its prompt and its longest output; 0 if it is not known.
	Tokens int
	// Exclude holds the ids of endpoints that must not be chosen.
	Exclude map[string]bool
	// AvoidDomain is a failure domain to avoid if an endpoint of another domain is available.
	AvoidDomain string
	// LostDomain is the failure domain in which the request has just lost an endpoint. It is avoided because the rest
	// of that domain may be about to fail too.
	LostDomain string
	// IgnoreLimits means that the endpoint gets no request now, so that its limit does not matter yet.
	IgnoreLimits bool
	// Version is the software version that the endpoint must have; empty if any will do.
	Version string
}

// Allows reports whether the endpoint has the software version that the request needs.
func (r *EndpointRequirements) Allows(e *Endpoint) bool {
	return r.Version == "" || e.Version == r.Version
}

// ChooseEndpoint returns the endpoint with the lowest cost that meets the request's requirements, or false if none
// accepts requests now.
func (t *EndpointTable) ChooseEndpoint(req EndpointRequirements, now time.Time) (Endpoint, bool) {
	var best *endpointState
	var lowestCost float64
	suspect := t.suspectDomains(req.Service, now)
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if !t.isEligible(s, req, now) {
			return true
		}
		cost := t.requestCost(s, req, now) + maxCostJitter*t.Rand.Float64()
		if suspect[s.Domain] || req.LostDomain != "" && s.Domain == req.LostDomain {
			cost += suspectDomainCost
		}
		if req.AvoidDomain != "" && s.Domain == req.AvoidDomain {
			cost += 2 * suspectDomainCost
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = s, cost
		}
		return true
	})
	if best == nil {
		return Endpoint{}, false
	}
	return best.Endpoint, true
}

// HasEligible reports whether any endpoint that meets the request's requirements accepts requests now, so that
// ChooseEndpoint would return one.
func (t *EndpointTable) HasEligible(req EndpointRequirements, now time.Time) (found bool) {
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		found = t.isEligible(s, req, now)
		return !found
	})
	return found
}

// ChooseCopyHolder returns the endpoint that should hold the copy of the KV cache of a request that runs on the
// endpoint primary. The holder is in another failure domain than primary; if no such endpoint is available,
// ChooseCopyHolder returns false. The domain lostDomain is avoided too, unless it is empty. The holder has the software
// version of primary, since the stream cannot go on at another one.
func (t *EndpointTable) ChooseCopyHolder(primary Endpoint, lostDomain string, now time.Time) (Endpoint, bool) {
	req := EndpointRequirements{Service: primary.Service, ModelEngines: true, Exclude: map[string]bool{primary.ID: true}, AvoidDomain: primary.Domain, LostDomain: lostDomain, IgnoreLimits: true, Version: primary.Version}
	e, ok := t.ChooseEndpoint(req, now)
	if !ok || e.Domain == primary.Domain {
		return Endpoint{}, false
	}
	return e, true
}

// isEligible reports whether the endpoint meets the requirements of a request and accepts requests now.
func (t *EndpointTable) isEligible(s *endpointState, req EndpointRequirements, now time.Time) bool {
	return s.isSuitable(req, now) && s.announced.pauseLeft(now) == 0 &&
		(req.IgnoreLimits || t.limits.wait(s.ID, now) == 0 && t.roomWait(s, now) == 0)
}

// isSuitable reports whether the endpoint meets the requirements of a request and accepts requests, apart from its
// limit and a pause that it has asked for.
func (s *endpointState) isSuitable(req EndpointRequirements, now time.Time) bool {
	return s.Service == req.Service && req.Allows(&s.Endpoint) && !req.Exclude[s.ID] && s.takesNew(now) &&
		(!now.Before(s.fullUntil) || s.announced.pauseLeft(now) > 0)
}

// NextTurn returns the time until the first of the endpoints that meet the request's requirements may get a request
// under its limit, after the pause that it has asked for, and within its room if it is brittle, or false if none of them has
// any of these.
func (t *EndpointTable) NextTurn(req EndpointRequirements, now time.Time) (wait time.Duration, limited bool) {
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if !s.isSuitable(req, now) {
			return true
		}
		if d := max(t.limits.wait(s.ID, now), s.announced.pauseLeft(now), t.roomWait(s, now)); d > 0 && (!limited || d < wait) {
			wait, limited = d, true
		}
		return true
	})
	return wait, limited
}

// maxDrainResume is how long a draining endpoint still gets streams to resume. It is well below the time for which platforms let
// endpoints serve after the list shows them as draining, since the list is some hundred milliseconds old.
const maxDrainResume = time.Second

// Limits returns the limits that the endpoints have named.
func (t *EndpointTable) Limits() *LimitTable { return &t.limits }

// acceptsRequests reports whether the endpoint is up, not leaving, not full and has not asked for a pause.
func (s *endpointState) acceptsRequests(now time.Time) bool {
	return s.takesNew(now) && !now.Before(s.fullUntil) && s.announced.pauseLeft(now) == 0
}

// takesNew reports whether the endpoint is up and not leaving, by the platform's list or by its own answers.
func (s *endpointState) takesNew(now time.Time) bool {
	return s.isUp(now) && !s.Draining && !s.announced.isLeaving()
}

// takesResumed reports whether the endpoint is up and may get a stream that it has run or holds a copy of: while it drains, only
// for maxDrainResume.
func (s *endpointState) takesResumed(now time.Time) bool {
	return s.isUp(now) && (!s.Draining || now.Sub(s.drainingSince) <= maxDrainResume)
}

// HasLeft reports whether the endpoint with the id must not be sent any request: it is not in the platform's list any more, or has been
// draining there for longer than maxDrainResume.
func (t *EndpointTable) HasLeft(id string, now time.Time) bool {
	s := t.endpoints.Get(id)
	return s != nil && (!s.listed || s.Draining && now.Sub(s.drainingSince) > maxDrainResume)
}

// isUp reports whether the endpoint is in the platform's list, is not in backoff after a failure, and has not lost its
// address to another endpoint.
func (s *endpointState) isUp(now time.Time) bool {
	return s.listed && !now.Before(s.addressReusedUntil) && !now.Before(s.backoffUntil)
}

// requestCost returns the cost of sending the request to the endpoint, without the random term and the costs of failure
// domains.
func (t *EndpointTable) requestCost(s *endpointState, req EndpointRequirements, now time.Time) float64 {
	if !req.ModelEngines {
		return s.plainServiceCost(now)
	}
	cost := prefillCost*float64(s.prefilling) + runningRequestCost*float64(s.running) + copyCost*float64(s.copies)
	if req.AvoidDomain == "" {
		cost += s.preferenceCost
	}
	if req.IgnoreLimits && t.limits.limits[s.ID].applies(now) {
		cost += limitedHolderCost
	}
	return cost
}

// plainServiceCost returns the cost for a service other than a model: the number of requests including the new one,
// divided by the endpoint's slots and multiplied by its reported slowness.
func (s *endpointState) plainServiceCost(now time.Time) float64 {
	running, slots, slowness := float64(s.running), float64(max(1, s.Slots)), 1.0
	if now.Sub(s.loadReceived) < loadMaxAge {
		running = max(running, float64(s.reportedLoad.Running+s.reportedLoad.Waiting))
		if s.reportedLoad.Slowness > 0 {
			slowness = s.reportedLoad.Slowness
		}
	}
	return (running + 1) / slots * slowness
}

// suspectDomains returns the failure domains in which at least two endpoints of the service, and at least
// suspectFraction of them, have just failed.
func (t *EndpointTable) suspectDomains(service string, now time.Time) map[string]bool {
	total, failed := map[string]int{}, map[string]int{}
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if s.Service != service || !s.listed {
			return true
		}
		total[s.Domain]++
		if s.consecutiveFailures > 0 && now.Sub(s.lastFailure) < failureWindow {
			failed[s.Domain]++
		}
		return true
	})
	suspects := map[string]bool{}
	for domain, n := range failed {
		if n >= 2 && float64(n) >= suspectFraction*float64(total[domain]) {
			suspects[domain] = true
		}
	}
	return suspects
}

// HasAddress reports whether the platform's latest list has an endpoint with the address.
func (t *EndpointTable) HasAddress(address string) (found bool) {
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		found = s.listed && s.Address == address
		return !found
	})
	return found
}

// Get returns the endpoint with the id, or false if the platform's list does not contain it.
func (t *EndpointTable) Get(id string) (Endpoint, bool) {
	s := t.endpoints.Get(id)
	if s == nil || !s.listed {
		return Endpoint{}, false
	}
	return s.Endpoint, true
}

// IsUp reports whether the endpoint with the id is not known to be down or to have lost its address to another
// endpoint; it may be draining or full.
func (t *EndpointTable) IsUp(id string, now time.Time) bool {
	s := t.endpoints.Get(id)
	return s != nil && s.isUp(now)
}

// AvailableEndpoints returns the endpoints of the service that accept requests now.
func (t *EndpointTable) AvailableEndpoints(service string, now time.Time) []Endpoint {
	var out []Endpoint
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if s.Service == service && s.acceptsRequests(now) {
			out = append(out, s.Endpoint)
		}
		return true
	})
	return out
}

// AskableEndpoints returns the endpoints of the service that are up and want no pause; they may be draining or full.
func (t *EndpointTable) AskableEndpoints(service string, now time.Time) []Endpoint {
	var out []Endpoint
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if s.Service == service && s.isUp(now) && s.announced.pauseLeft(now) == 0 {
			out = append(out, s.Endpoint)
		}
		return true
	})
	return out
}

// RequestStarted counts a request that is sent to the endpoint; prompt means that the endpoint first has to process a
// prompt. It uses a turn of the endpoint's limit.
func (t *EndpointTable) RequestStarted(id string, prompt bool, now time.Time) {
	t.limits.take(id, now)
	if s := t.endpoints.Get(id); s != nil {
		s.running++
		if prompt {
			s.prefilling++
		}
	}
}

// PrefillDone counts that the endpoint has processed the prompt of a request.
func (t *EndpointTable) PrefillDone(id string) {
	if s := t.endpoints.Get(id); s != nil && s.prefilling > 0 {
		s.prefilling--
	}
}

// RequestEnded counts that a request at the endpoint has ended.
func (t *EndpointTable) RequestEnded(id string, now time.Time) {
	if s := t.endpoints.Get(id); s != nil && s.running > 0 {
		s.running--
		t.keepRoom(s, now.Add(roomReleaseDelay), now)
	}
}

// AddCopies adds delta to the number of KV cache copies that the endpoint holds.
func (t *EndpointTable) AddCopies(id string, delta int) {
	if s := t.endpoints.Get(id); s != nil {
		s.copies = max(0, s.copies+delta)
	}
}

// RecordSuccess records that the endpoint answered a request, which ends its backoff and means that it is no longer
// full.
func (t *EndpointTable) RecordSuccess(id string) {
	if s := t.endpoints.Get(id); s != nil {
		s.consecutiveFailures, s.backoffUntil, s.fullUntil, s.silent = 0, time.Time{}, time.Time{}, false
	}
}

// RecordLoad records the load that the endpoint reported.
func (t *EndpointTable) RecordLoad(id string, l EndpointLoad, now time.Time) {
	if s := t.endpoints.Get(id); s != nil {
		s.reportedLoad, s.loadReceived = l, now
	}
}

// RecordFailure records that the endpoint could not be reached, broke off a response or stopped sending, and returns
// the time for which it gets no requests. The flag down means that the process has certainly ended and restarts under
// another id. Further failures during a backoff are attributed to the same crash and do not extend it, unless down is
// set.
func (t *EndpointTable) RecordFailure(id string, down bool, now time.Time) time.Duration {
	s := t.endpoints.Get(id)
	if s == nil {
		return 0
	}
	backoff := min(maxBackoff, initialBackoff<<min(s.consecutiveFailures, 8))
	if down {
		backoff = downBackoff
	}
	if now.Before(s.backoffUntil) && !down {
		return s.backoffUntil.Sub(now)
	}
	s.consecutiveFailures++
	s.lastFailure, s.backoffUntil, s.silent = now, now.Add(backoff), false
	return backoff
}

// RecordSilence records that the endpoint did not respond to a probe and returns the time for which it gets no requests, unless
// it responds before that.
func (t *EndpointTable) RecordSilence(id string, now time.Time) time.Duration {
	backoff := t.RecordFailure(id, true, now)
	if s := t.endpoints.Get(id); s != nil {
		s.silent = true
	}
	return backoff
}

// RecordResponse records that the endpoint responded to a probe or went on with a response, which ends a backoff after a silence.
func (t *EndpointTable) RecordResponse(id string) {
	if s := t.endpoints.Get(id); s != nil && s.silent {
		s.consecutiveFailures, s.backoffUntil, s.silent = 0, time.Time{}, false
	}
}

// ForgetFailures ends the backoff of the endpoints at the address: it has turned out that they are up and that only this process does not
// reach them.
func (t *EndpointTable) ForgetFailures(address string) {
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if s.Address == address {
			s.forgetFailures()
		}
		return true
	})
}

// ForgetFailuresSince ends the backoff of all endpoints whose latest failure was after the given time: it has turned out that this process
// was cut off from all of them.
func (t *EndpointTable) ForgetFailuresSince(since time.Time) {
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if s.lastFailure.After(since) {
			s.forgetFailures()
		}
		return true
	})
}

// forgetFailures ends the backoff of the endpoint.
func (s *endpointState) forgetFailures() {
	s.consecutiveFailures, s.backoffUntil, s.lastFailure, s.silent = 0, time.Time{}, time.Time{}, false
}

// SilentEndpoints returns the endpoints of the service that would accept requests if they were not silent.
func (t *EndpointTable) SilentEndpoints(service string, now time.Time) (out []Endpoint) {
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		if s.Service == service && s.listed && s.silent && now.Before(s.backoffUntil) && !s.Draining && !s.announced.isLeaving() &&
			s.announced.pauseLeft(now) == 0 {
			out = append(out, s.Endpoint)
		}
		return true
	})
	return out
}

// RecordFull records that the endpoint refused a request because it is full, so that it gets no requests for the
// backoff. It reports whether the endpoint is brittle; it gets fewer requests at a time then.
func (t *EndpointTable) RecordFull(id string, backoff time.Duration, now time.Time) (brittle bool) {
	if s := t.endpoints.Get(id); s != nil {
		s.fullUntil = now.Add(backoff)
		_, brittle = t.brittleAt(s, now)
		t.recordRejection(s, now)
	}
	return brittle
}

// RecordAddressReuse records that another endpoint was found at the endpoint's address, so the endpoint has probably
// restarted.
func (t *EndpointTable) RecordAddressReuse(id string, now time.Time) {
	if s := t.endpoints.Get(id); s != nil {
		s.addressReusedUntil = now.Add(addressReuseBackoff)
		s.consecutiveFailures++
		s.lastFailure = now
	}
}
