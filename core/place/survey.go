package place

import (
	"maps"
	"time"
)

const (
	// unreportedCost is added to the cost of a candidate whose report did not arrive in time: it may have crashed.
	unreportedCost = 2.0
	// surveyedPreferenceShare is the share of otherRelayCost that still counts for a candidate with a report. Reports
	// are some hundred milliseconds old, and relays that read the same ones at the same moment should choose
	// different engines.
	surveyedPreferenceShare = 0.25
	// noMemoryCost is added to the cost of a candidate whose free memory does not hold the request: the request would
	// wait, or preempt another one, whose prompt would be processed once more.
	noMemoryCost = 3.0
)

// EngineWork is the work that a model engine reports of itself; it is some hundred milliseconds old.
type EngineWork struct {
	// Prefilling is the number of requests whose prompt the engine is processing, Running that of all requests that it
	// runs, and Queued that of those which wait for a slot.
	Prefilling int
	Running    int
	Queued     int
	// FreeTokens is the size in tokens of the memory that no running request and no KV cache copy occupies. It is valid
	// if HasMemory is set.
	FreeTokens int
	HasMemory  bool
}

// Candidates returns the n endpoints with the lowest cost that meet the request's requirements, as this relay knows
// it. Relays do not see each other's prompts; the reports of a few candidates show them.
func (t *EndpointTable) Candidates(req EndpointRequirements, n int, now time.Time) []Endpoint {
	exclude := map[string]bool{}
	maps.Copy(exclude, req.Exclude)
	req.Exclude = exclude
	var out []Endpoint
	for range n {
		e, ok := t.ChooseEndpoint(req, now)
		if !ok {
			break
		}
		exclude[e.ID] = true
		out = append(out, e)
	}
	return out
}

// ChooseSurveyed returns the candidate with the lowest cost according to the engines' reports and to this relay's own
// requests, or false if none of them accepts requests now. A candidate without a report is chosen only if the others
// have more than unreportedCost to do.
func (t *EndpointTable) ChooseSurveyed(
	req EndpointRequirements, candidates []Endpoint, reports map[string]EngineWork, now time.Time,
) (best Endpoint, ok bool) {
	var lowestCost float64
	suspect := t.suspectDomains(req.Service, now)
	for _, e := range candidates {
		s := t.endpoints.Get(e.ID)
		if s == nil || !t.isEligible(s, req, now) {
			continue
		}
		cost := s.surveyedCost(req, reports)
		if suspect[s.Domain] || req.LostDomain != "" && s.Domain == req.LostDomain {
			cost += suspectDomainCost
		}
		if !ok || cost < lowestCost {
			best, lowestCost, ok = s.Endpoint, cost, true
		}
	}
	return best, ok
}

// surveyedCost returns the cost of sending a prompt to the endpoint, given the engines' reports. Of the relay's own
// count and the report, the higher one counts: the report includes requests of other relays, and lacks the latest.
func (s *endpointState) surveyedCost(req EndpointRequirements, reports map[string]EngineWork) float64 {
	prefilling, running, cost := s.prefilling, s.running, 0.0
	if w, ok := reports[s.ID]; ok {
		prefilling, running = max(prefilling, w.Prefilling), max(running, w.Running)
		cost = surveyedPreferenceShare*s.preferenceCost + prefillCost*float64(w.Queued)
		if w.HasMemory && w.FreeTokens < req.Tokens {
			cost += noMemoryCost
		}
	} else {
		cost = unreportedCost + s.preferenceCost
	}
	return cost + prefillCost*float64(prefilling) + runningRequestCost*float64(running) + copyCost*float64(s.copies)
}
