package orders

import (
	"cmp"
	"maps"
	"slices"

	"wasabiweir/core/object"
)

// requirement is the current version of a model or adapter that intents refer to, and the number of engines that must
// have it loaded.
type requirement struct {
	copy    Copy
	service string
	// baseModel is the model that an adapter belongs to; it is zero for a model.
	baseModel Copy
	count     int
	bytes     int64
}

// requirements returns the versions that the intents refer to: models before adapters, and among these the versions
// with the higher number of engines first.
func requirements(g *object.Graph) []requirement {
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
	var out []requirement
	for r, n := range counts {
		if r.Kind == object.KindModel {
			m := g.Models[r.Name]
			out = append(out, requirement{copy: Copy{r.Kind, r.Name, m.Version}, service: m.Service, count: n, bytes: m.Bytes})
			continue
		}
		a := g.Adapters[r.Name]
		m := g.Models[a.Model]
		out = append(out, requirement{copy: Copy{r.Kind, r.Name, a.Version}, service: m.Service, baseModel: Copy{object.KindModel, a.Model, m.Version}, count: n, bytes: a.Bytes})
	}
	slices.SortFunc(out, func(a, b requirement) int {
		return cmp.Or(-cmp.Compare(a.copy.Kind, b.copy.Kind), -cmp.Compare(a.count, b.count), cmp.Compare(a.copy.Name, b.copy.Name))
	})
	return out
}

// placement assigns copies to engines, which it identifies by their endpoint names.
type placement struct {
	// assigned holds the copies that each engine shall have.
	assigned map[string]map[Copy]bool
	// modelCounts is the number of models that are assigned to an engine, and engineCounts the number of engines to
	// which a version is assigned. missing is the number of engines that a version lacks because no further one has
	// room.
	modelCounts  map[string]int
	engineCounts map[Copy]int
	missing      map[Copy]int
	// modelsPerEngine is the maximum number of models on one engine.
	modelsPerEngine int
}

// assign adds a copy to those that the engine shall have.
func (p *placement) assign(endpoint string, c Copy) {
	if p.assigned[endpoint] == nil {
		p.assigned[endpoint] = make(map[Copy]bool)
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

// placeVersions assigns each required version to engines. It chooses the failure domain with the fewest engines for the
// version, and in the domain an engine that has the version already, so that a copy moves to another engine only to
// spread the copies over the domains.
func placeVersions(reqs []requirement, live []*engine, modelsPerEngine int) *placement {
	p := &placement{
		assigned: make(map[string]map[Copy]bool), modelCounts: make(map[string]int), engineCounts: make(map[Copy]int),
		missing: make(map[Copy]int), modelsPerEngine: modelsPerEngine,
	}
	for _, req := range reqs {
		if req.copy.Kind == object.KindModel {
			p.assignVersion(req, live, func(e *engine) bool { return p.modelCounts[e.endpoint.Name] < modelsPerEngine })
		}
	}
	p.assignIdleEngines(reqs, live)
	for _, req := range reqs {
		if req.copy.Kind == object.KindAdapter {
			p.assignVersion(req, live, func(e *engine) bool { return p.canHost(e, req) })
		}
	}
	return p
}

// assignVersion assigns a version to as many engines as are required, of those for which fits returns true.
func (p *placement) assignVersion(req requirement, live []*engine, fits func(*engine) bool) {
	holders := 0
	for _, e := range live {
		if e.has(req.copy) || e.hasOtherVersion(req.copy) {
			holders++
		}
	}
	var candidates []candidate
	for _, e := range live {
		if e.endpoint.Service == req.service && fits(e) {
			candidates = append(candidates, candidate{e, p.rankCandidate(e, req, holders)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return a.rank.compare(b.rank) })
	queues := groupByDomain(candidates)
	for k := range req.count {
		q := leastUsedDomain(queues)
		if q == nil {
			p.missing[req.copy] = req.count - k
			return
		}
		p.assign(q.candidates[0].engine.endpoint.Name, req.copy)
		q.candidates = q.candidates[1:]
		q.chosen++
	}
}

// candidate is an engine to which a version can be assigned, with its rank among these.
type candidate struct {
	engine *engine
	rank   rank
}

// domainQueue holds the remaining candidates of a failure domain, best first, and the number of those already chosen.
type domainQueue struct {
	candidates []candidate
	chosen     int
}

// groupByDomain splits sorted candidates into one queue for each failure domain, in the order of the best candidates.
func groupByDomain(sorted []candidate) []*domainQueue {
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

// leastUsedDomain returns the queue with the fewest chosen engines, among equal ones that with the best candidate, or
// nil if all queues are empty.
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

// rank is a sort key of three criteria, the most significant first; a lower rank is better.
type rank [3]int

// compare compares two ranks; the result is negative if r is better.
func (r rank) compare(other rank) int { return slices.Compare(r[:], other[:]) }

// rankCandidate returns the rank of an engine for a version; holders is the number of live engines with any version of
// it.
func (p *placement) rankCandidate(e *engine, req requirement, holders int) rank {
	if req.copy.Kind == object.KindAdapter {
		// Engines that have the base model come first. While a model's version is replaced, its adapters then remain on
		// other engines.
		return rank{zeroIf(e.has(req.baseModel)), zeroIf(e.has(req.copy)), p.modelCounts[e.endpoint.Name]}
	}
	return rank{zeroIf(e.has(req.copy)), p.replacementRank(e, req, holders), p.modelCounts[e.endpoint.Name]}
}

// replacementRank ranks an engine by the other versions that it has. An engine with an older version of the model is
// preferred, because the load replaces that one, unless it is the only copy of any version and would have to be
// unloaded first.
func (p *placement) replacementRank(e *engine, req requirement, holders int) int {
	const preferred, neutral, avoided = 0, 1, 2
	switch {
	case !e.hasOtherVersion(req.copy):
		return neutral
	case holders == 1 && e.modelCount() >= p.modelsPerEngine:
		return avoided
	default:
		return preferred
	}
}

// zeroIf returns 0 if ok is true, else 1, as a criterion of a rank.
func zeroIf(ok bool) int {
	if ok {
		return 0
	}
	return 1
}

// canHost reports whether the current version of an adapter's base model is assigned to the engine or loaded there.
func (p *placement) canHost(e *engine, adapter requirement) bool {
	return p.assigned[e.endpoint.Name][adapter.baseModel] || e.has(adapter.baseModel)
}

// assignIdleEngines assigns a model to each engine that no requirement needs. The engine keeps the model that it has,
// gets the current version of that model, or else gets the model with the fewest engines relative to its required
// number.
func (p *placement) assignIdleEngines(reqs []requirement, live []*engine) {
	for _, e := range live {
		if p.modelCounts[e.endpoint.Name] > 0 {
			continue
		}
		var best *requirement
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
			p.assign(e.endpoint.Name, best.copy)
		}
	}
}

// idleEngineRank ranks a model for an engine that no requirement needs.
func (p *placement) idleEngineRank(e *engine, req *requirement) rank {
	const scale = 1000
	return rank{zeroIf(e.has(req.copy)), zeroIf(e.hasOtherVersion(req.copy)), p.engineCounts[req.copy] * scale / req.count}
}
