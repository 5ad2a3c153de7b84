package route

import (
	"math/rand/v2"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/table"
)

// Request holds the properties of a caller's request on which the choice of an endpoint depends.
type Request struct {
	// ID identifies the attempt.
	ID      string
	Service string
	// Model is the model or adapter that the endpoint must serve; empty means any.
	Model string
	// Blocks are the chained hashes of the prompt's token blocks, in order, by which the router finds them in prefix
	// caches.
	Blocks []uint64
	// PrefillTokens is the number of tokens to prefill; for a resumed request it includes the output that the caller
	// already has.
	PrefillTokens int
	// OutputTokens is the predicted number of tokens still to be generated for the request.
	OutputTokens int
	// Short says that the request is short, so that the dedicated endpoints are preferred for it.
	Short bool
	// MayUseReserved says that the request may use the slots that are reserved for short requests and resumed streams,
	// also if it is neither.
	MayUseReserved bool
	// Resume says that the request continues an interrupted generation. It may use the slots that are reserved for
	// short requests and resumed streams.
	Resume bool
	// Idempotent says that the request may be sent to an endpoint more than once.
	Idempotent bool
	// Software is the software version that began the generation, the only one that may continue it; empty means any.
	Software string
}

// NameSet is a set of names, of endpoints or of models.
type NameSet map[string]struct{}

// NewNameSet returns a set of the given names of endpoints or models.
func NewNameSet(names ...string) NameSet {
	s := make(NameSet, len(names))
	for _, n := range names {
		s[n] = struct{}{}
	}
	return s
}

// Has reports whether the set contains the name of an endpoint or model.
func (s NameSet) Has(name string) bool {
	_, ok := s[name]
	return ok
}

// Table holds all endpoints that one router knows and selects an endpoint for each request. The exported fields must be
// set before first use. It is not safe for concurrent use.
type Table struct {
	// Name is this router's name, by which the other routers know it.
	Name string
	// Policy selects among the eligible endpoints; nil means PowerOfTwo by Table.Cost, among those with a free slot if
	// there are any.
	Policy Policy[*Endpoint]
	// ResumePolicy selects among the eligible endpoints for resumed requests; nil means the lowest Table.ResumeCost,
	// among those with a free slot if there are any.
	ResumePolicy Policy[*Endpoint]
	// Rand is the source of random choices; nil means a generator with a fixed seed.
	Rand *rand.Rand
	// Budget limits the moves of streams and grows with each token; nil allows no moves.
	Budget *Budget
	// BlockTokens is the number of tokens per block of the prefix index; zero means 16.
	BlockTokens int
	// ReservedFraction is the fraction of each endpoint's slots that only short requests, resumed requests and requests
	// with MayUseReserved may use.
	ReservedFraction float64
	// DedicatedFraction is the fraction of a service's endpoints, rounded down, that serve only short requests while
	// there are any.
	DedicatedFraction float64

	byName                 table.Table[string, Endpoint]
	ordered                []*Endpoint // sorted by name
	peers                  table.Table[string, receivedCounts]
	endpointsByBlock       map[uint64][]*Endpoint // endpoints that cache a prompt block, by its chained hash
	routerIndex            int                    // position of this router among the sorted names of all routers
	medianGap              float64                // median of the endpoints' smoothed token gaps, in seconds
	secondsPerPrefillToken smoothedRatio

	// shortWorkUntil is when endpoints stop being dedicated unless another short request arrives.
	shortWorkUntil  time.Time
	shortWorkActive bool

	peerLoadsStale bool // a load report or counts of another router arrived since the last update
	lastTick       time.Time
	// resumedAt is when this router ran again after it had not run for some time.
	resumedAt       time.Time
	lastHistoryStep time.Time // time of the last sample in peerLoad.ownHistory
	sortedGaps      []float64 // buffer for medianTokenGap
	candidates      []*Endpoint
	eligible        []bool // by Endpoint.listIndex, for the request that is being placed
	endForecasts    table.Table[string, endForecast]
}

// setDefaults gives unset fields of the Table their default values on first use.
func (t *Table) setDefaults() {
	if t.endpointsByBlock != nil {
		return
	}
	t.endpointsByBlock = make(map[uint64][]*Endpoint)
	if t.Rand == nil {
		t.Rand = rand.New(rand.NewPCG(1, 2))
	}
	if t.BlockTokens == 0 {
		t.BlockTokens = 16
	}
	tiers := []func(*Endpoint, *Request) bool{t.isPreferredFor, t.HasFreeSlot}
	if t.ResumePolicy == nil {
		t.ResumePolicy = &TieredPolicy[*Endpoint]{Tiers: tiers, Policy: &LeastCost[*Endpoint]{Cost: t.ResumeCost, Rand: t.Rand}}
	}
	if t.Policy == nil {
		t.Policy = &TieredPolicy[*Endpoint]{
			Tiers:  tiers,
			Policy: &PowerOfTwo[*Endpoint]{Cost: t.Cost, Rand: t.Rand, Hint: t.endpointWithCachedPrefix},
		}
	}
}

// Configure replaces the configured endpoints. Endpoints that are no longer configured receive no new requests and are
// deleted when their last stream has ended. The state of the others is kept, but a new address resets their cached
// blocks, failures and leaving mark.
func (t *Table) Configure(specs []EndpointSpec) {
	t.setDefaults()
	t.byName.Each(func(_ string, e *Endpoint) bool {
		e.removed = true
		return true
	})
	for _, s := range specs {
		e := t.byName.Get(s.Name)
		if e == nil {
			e = t.byName.Put(s.Name, Endpoint{health: healthTracker{score: 1}})
		}
		if e.Address != s.Address {
			t.clearCachedBlocks(e)
			e.cachedBlocks.lastSeq = 0
			e.backoff.clearFailures()
			e.reportedLeaving, e.pausedUntil = false, time.Time{}
			e.reportedSoftware, e.softwareReported = "", false
		}
		e.EndpointSpec = s
		e.removed = false
	}
	t.rebuildEndpointOrder()
	t.deleteRemovedEndpoints()
}

// SetLeaving records whether an endpoint is leaving, that is being drained, by its own announcement or by the instance
// list.
func (t *Table) SetLeaving(name string, leaving bool) {
	if e := t.byName.Get(name); e != nil {
		e.reportedLeaving = leaving
		t.chooseDedicatedEndpoints()
	}
}

// Endpoint returns the endpoint with the name, or nil.
func (t *Table) Endpoint(name string) *Endpoint { return t.byName.Get(name) }

// Endpoints returns all endpoints sorted by name; the caller must not change the slice.
func (t *Table) Endpoints() []*Endpoint { return t.ordered }

// rebuildEndpointOrder rebuilds the list of endpoints sorted by name and all state that depends on their order.
func (t *Table) rebuildEndpointOrder() {
	t.ordered = t.ordered[:0]
	t.byName.Each(func(_ string, e *Endpoint) bool {
		e.listIndex = len(t.ordered)
		t.ordered = append(t.ordered, e)
		return true
	})
	t.eligible = make([]bool, len(t.ordered))
	t.chooseDedicatedEndpoints()
	t.peerLoadsStale = true
}

// deleteRemovedEndpoints deletes the endpoints that are no longer configured and have no streams in flight.
func (t *Table) deleteRemovedEndpoints() {
	deleted := false
	for _, e := range t.ordered {
		if !e.removed || len(e.streams) > 0 {
			continue
		}
		t.clearCachedBlocks(e)
		t.byName.Delete(e.Name)
		deleted = true
	}
	if deleted {
		t.rebuildEndpointOrder()
	}
}

// refreshPeerLoads recomputes the load that the other routers put on each endpoint, if a load report of an endpoint or
// counts of another router have arrived since it was last computed.
func (t *Table) refreshPeerLoads(now time.Time) {
	if t.peerLoadsStale {
		t.updatePeerLoads(now)
	}
}

// PickEndpoint selects an endpoint for the request, leaving out those whose names are in the set exclude. If there is
// none, the error is a *common.Refusal with reason no-endpoint, or software-gone if none is configured that may run the
// software version which the request needs.
func (t *Table) PickEndpoint(req *Request, exclude NameSet, now time.Time) (*Endpoint, error) {
	if req.Short {
		t.shortWorkUntil, t.shortWorkActive = now.Add(shortWorkTimeout), true
	}
	t.refreshPeerLoads(now)
	retryAfter := t.collectCandidates(req, exclude, now, (*Endpoint).Unavailable)
	if len(t.candidates) == 0 && req.Software != "" {
		// An endpoint that is being drained still serves the generations of its software version that no other can go on with.
		retryAfter = t.collectCandidates(req, exclude, now, (*Endpoint).closed)
	}
	if len(t.candidates) == 0 && t.softwareGone(req) {
		return nil, common.NewNotRunRefusal(common.ReasonSoftwareGone, "service",
			"no endpoint has software version "+req.Software+" any more, which began the generation")
	}
	if len(t.candidates) == 0 {
		r := common.NewNotRunRefusal(common.ReasonNoEndpoint, "service", "no endpoint of the service accepts work")
		r.RetryAfter = retryAfter
		if retryAfter == 0 {
			r.RetryAfter = maxBackoff
		}
		return nil, r
	}
	if req.Resume {
		return t.ResumePolicy.Select(t.candidates, req, now), nil
	}
	return t.Policy.Select(t.candidates, req, now), nil
}

// collectCandidates makes the endpoints eligible that accept the request now, without the excluded and the unavailable ones. It
// returns the shortest time after which another one accepts it, or zero.
func (t *Table) collectCandidates(req *Request, exclude NameSet, now time.Time, unavailable func(*Endpoint) bool) time.Duration {
	t.candidates = t.candidates[:0]
	clear(t.eligible)
	var retryAfter time.Duration
	for _, e := range t.ordered {
		if e.Service != req.Service || unavailable(e) || exclude.Has(e.Name) || e.lacksModel(req.Model) || !e.runsSoftware(req.Software) {
			continue
		}
		if !e.acceptsRequest(now) {
			if left := e.waitLeft(now); retryAfter == 0 || left < retryAfter {
				retryAfter = left
			}
			continue
		}
		t.candidates = append(t.candidates, e)
		t.eligible[e.listIndex] = true
	}
	return retryAfter
}
