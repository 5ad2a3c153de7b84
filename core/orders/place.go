package orders

import (
	"cmp"
	"maps"
	"slices"

	"wasabiweir/core/object"
)

// copyRequirement is the current version of a model or adapter that intents refer to, the service whose engines load
// it, and the number of engines that must have it loaded.
type copyRequirement struct {
	copy    VersionCopy
	service string
	// baseModel is the model that an adapter belongs to; it is zero for a model.
	baseModel VersionCopy
	count     int
	bytes     int64
}

// listCopyRequirements returns the current versions of the models and adapters that the intents refer to: models before
// adapters, and among these the versions that more engines must have loaded first.
func listCopyRequirements(g *object.Graph) []copyRequirement {
	counts := make(map[object.Ref]int)
	for _, name := range slices.Sorted(maps.Keys(g.Intents)) {
		i := g.Intents[name]
		addMinimum := func(r object.Ref) { counts[r] = max(counts[r], i.MinEngines, 1) }
		if i.Model != "" {
			addMinimum(object.Ref{Kind: object.KindModel, Name: i.Model})
		}
		for _, a := range i.Adapters {
			addMinimum(object.Ref{Kind: object.KindAdapter, Name: a})
		}
	}
	var out []copyRequirement
	for r, n := range counts {
		if r.Kind == object.KindModel {
			m := g.Models[r.Name]
			out = append(out, copyRequirement{copy: VersionCopy{r.Kind, r.Name, m.Version}, service: m.Service, count: n, bytes: m.Bytes})
			continue
		}
		a := g.Adapters[r.Name]
		m := g.Models[a.Model]
		out = append(out, copyRequirement{copy: VersionCopy{r.Kind, r.Name, a.Version}, service: m.Service, baseModel: VersionCopy{object.KindModel, a.Model, m.Version}, count: n, bytes: a.Bytes})
	}
	slices.SortFunc(out, func(a, b copyRequirement) int {
		return cmp.Or(-cmp.Compare(a.copy.Kind, b.copy.Kind), -cmp.Compare(a.count, b.count), cmp.Compare(a.copy.Name, b.copy.Name))
	})
	return out
}

// placement assigns versions of models and adapters to the engines that shall have them loaded. It identifies engines
// by their endpoint names.
type placement struct {
	// assigned holds, by endpoint name, the versions that each engine shall have loaded.
	assigned map[string]map[VersionCopy]bool
	// modelCounts is the number of models that are assigned to an engine, and engineCounts the number of engines to which
	// a version is assigned. missing is the number of further engines that a version needs and that no live engine has
	// room for.
	modelCounts  map[string]int
	engineCounts map[VersionCopy]int
	missing      map[VersionCopy]int
	// modelsPerEngine is the maximum number of models that one engine has loaded.
	modelsPerEngine int
}

// assignCopy adds a version of a model or adapter to those that the engine shall have loaded.
func (p *placement) assignCopy(endpoint string, c VersionCopy) {
	if p.assigned[endpoint] == nil {
		p.assigned[endpoint] = make(map[VersionCopy]bool)
	}
	if p.assigned[endpoint][c] {
		return
	}
	p.engineCounts[c]++
	if c.Kind == object.KindModel {
		p.modelCounts[endpoint]++
	}
	p.assigned[endpoint][c] = true
}

// placeVersions assigns each required version of a model or adapter to engines. It chooses the failure domain with the
// fewest engines for the version, and in that domain prefers an engine that has the version already, so that a copy
// moves to another engine only to spread the copies over the failure domains.
func placeVersions(reqs []copyRequirement, live []*engine, modelsPerEngine int) *placement {
	p := &placement{
		assigned: make(map[string]map[VersionCopy]bool), modelCounts: make(map[string]int), engineCounts: make(map[VersionCopy]int),
		missing: make(map[VersionCopy]int), modelsPerEngine: modelsPerEngine,
	}
	for _, req := range reqs {
		if req.copy.Kind == object.KindModel {
			p.assignVersion(req, live, func(e *engine) bool { return p.modelCounts[e.endpoint.Name] < modelsPerEngine })
		}
	}
	p.assignIdleEngines(reqs, live)
	for _, req := range reqs {
		if req.copy.Kind == object.KindAdapter {
			p.assignVersion(req, live, func(e *engine) bool { return p.canHostAdapter(e, req) })
		}
	}
	return p
}

// assignVersion assigns a version of a model or adapter to as many engines as its requirement asks for, of those
// engines for which fits returns true.
func (p *placement) assignVersion(req copyRequirement, live []*engine, fits func(*engine) bool) {
	holders := 0
	for _, e := range live {
		if e.hasCopy(req.copy) || e.hasOtherVersion(req.copy) {
			holders++
		}
	}
	var candidates []engineCandidate
	for _, e := range live {
		if e.endpoint.Service == req.service && fits(e) {
			candidates = append(candidates, engineCandidate{e, p.rankCandidate(e, req, holders)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b engineCandidate) int { return a.rank.compare(b.rank) })
	queues := groupByDomain(candidates)
	for k := range req.count {
		q := leastUsedDomain(queues)
		if q == nil {
			p.missing[req.copy] = req.count - k
			return
		}
		p.assignCopy(q.candidates[0].engine.endpoint.Name, req.copy)
		q.candidates = q.candidates[1:]
		q.chosen++
	}
}

// engineCandidate is an engine to which a version of a model or adapter can be assigned, with its rank among all such
// engines.
type engineCandidate struct {
	engine *engine
	rank   placementRank
}

// domainQueue holds the engines of one failure domain that can still be chosen for a version, best first, and the
// number of engines of that domain that are chosen already.
type domainQueue struct {
	candidates []engineCandidate
	chosen     int
}

// groupByDomain splits the sorted candidate engines into one queue for each failure domain, in the order of the
// domains' best candidates.
func groupByDomain(sorted []engineCandidate) []*domainQueue {
	var out []*domainQueue
	byName := make(map[string]*domainQueue)
	for _, c := range sorted {
		q := byName[c.engine.endpoint.Domain]
		if q == nil {
			q = &domainQueue{}
			byName[c.engine.endpoint.Domain] = q
			out = append(out, q)
		}
		q.candidates = append(q.candidates, c)
	}
	return out
}

// leastUsedDomain returns the queue of the failure domain with the fewest chosen engines, and of those with equally few
// the one with the best candidate. It returns nil if all queues are empty.
func leastUsedDomain(queues []*domainQueue) *domainQueue {
	var best *domainQueue
	for _, q := range queues {
		if len(q.candidates) == 0 {
			continue
		}
		if best == nil || q.chosen < best.chosen || q.chosen == best.chosen && q.candidates[0].rank.compare(best.candidates[0].rank) < 0 {
			best = q
		}
	}
	return best
}

// placementRank is a sort key for the choice of an engine or a model, made of three criteria with the most significant
// first; a lower rank is better.
type placementRank [3]int

// compare compares two ranks; the result is negative if r is the better one.
func (r placementRank) compare(other placementRank) int { return slices.Compare(r[:], other[:]) }

// rankCandidate returns the rank of an engine for a version of a model or adapter; holders is the number of live
// engines that have loaded any version of that model or adapter.
func (p *placement) rankCandidate(e *engine, req copyRequirement, holders int) placementRank {
	if req.copy.Kind == object.KindAdapter {
		// Engines that have the base model come first. While a model's version is replaced, its adapters then remain on
		// other engines.
		return placementRank{zeroIf(e.hasCopy(req.baseModel)), zeroIf(e.hasCopy(req.copy)), p.modelCounts[e.endpoint.Name]}
	}
	return placementRank{zeroIf(e.hasCopy(req.copy)), p.replacementRank(e, req, holders), p.modelCounts[e.endpoint.Name]}
}

// replacementRank ranks an engine by the other versions of a model that it has loaded. An engine with an older version
// is preferred, because the new version replaces that one, unless it is the only engine with any version and would have
// to unload it first.
func (p *placement) replacementRank(e *engine, req copyRequirement, holders int) int {
	const preferred, neutral, avoided = 0, 1, 2
	switch {
	case !e.hasOtherVersion(req.copy):
		return neutral
	case holders == 1 && e.countLoadedModels() >= p.modelsPerEngine:
		return avoided
	default:
		return preferred
	}
}

// zeroIf returns 0 if ok is true, else 1, for use as a criterion in a placementRank, of which the lowest is best.
func zeroIf(ok bool) int {
	if ok {
		return 0
	}
	return 1
}

// canHostAdapter reports whether the engine can load the adapter: the current version of the adapter's base model is
// assigned to the engine or loaded there.
func (p *placement) canHostAdapter(e *engine, adapter copyRequirement) bool {
	return p.assigned[e.endpoint.Name][adapter.baseModel] || e.hasCopy(adapter.baseModel)
}

// assignIdleEngines assigns a model to each engine to which no model is assigned yet. The engine keeps the model that
// it has loaded, gets the current version of that model, or else gets the model with the fewest engines relative to its
// required number.
func (p *placement) assignIdleEngines(reqs []copyRequirement, live []*engine) {
	for _, e := range live {
		if p.modelCounts[e.endpoint.Name] > 0 {
			continue
		}
		var best *copyRequirement
		for i := range reqs {
			req := &reqs[i]
			if req.copy.Kind != object.KindModel || req.service != e.endpoint.Service {
				continue
			}
			if best == nil || p.idleEngineRank(e, req).compare(p.idleEngineRank(e, best)) < 0 {
				best = req
			}
		}
		if best != nil {
			p.assignCopy(e.endpoint.Name, best.copy)
		}
	}
}

// idleEngineRank returns the rank of a model for an engine to which no model is assigned yet.
func (p *placement) idleEngineRank(e *engine, req *copyRequirement) placementRank {
	const scale = 1000
	return placementRank{zeroIf(e.hasCopy(req.copy)), zeroIf(e.hasOtherVersion(req.copy)), p.engineCounts[req.copy] * scale / req.count}
}
