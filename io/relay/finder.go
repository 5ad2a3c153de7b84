package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
)

const (
	// searchLifetime is how long the results of a search among engines are reused: when a relay is lost, all of its streams are
	// resumed at about the same time.
	searchLifetime = 1500 * time.Millisecond
	// promptSearchTimeout bounds the queries to engines in a search for cached prompts; waiting longer for a slow engine
	// costs more than it can save.
	promptSearchTimeout = 80 * time.Millisecond
	// runSearchTimeout bounds the queries to engines for the requests that they run.
	runSearchTimeout = 150 * time.Millisecond
)

// engineSearch asks the engines of a service what they have, for all streams that need it at about the same time.
type engineSearch struct {
	relay *Relay
	// name is the name of the search in the logs.
	name    string
	timeout time.Duration
	// engines returns the engines of a service to ask.
	engines func(t *place.EndpointTable, service string, now time.Time) []place.Endpoint
	// ask returns the keys of what an engine has.
	ask func(ctx context.Context, e place.Endpoint) ([]string, error)

	mu sync.Mutex
	// rounds holds the latest round of queries for each service.
	rounds map[string]*searchRound
}

// searchRound is one round of queries to the engines of a service.
type searchRound struct {
	startedAt time.Time
	// done is closed when all queries have a result.
	done chan struct{}

	mu     sync.Mutex
	search *place.Search
	// found holds the engines that have something, by its key.
	found map[string][]place.Endpoint
}

// initFinder initialises the searches among engines for a relay: for the prompts in their KV caches, which costs far less than
// one prefill, and for the requests that they run. When relays lose power, engines still run the requests of streams whose connections
// were not reset.
func (r *Relay) initFinder() {
	r.promptSearch = engineSearch{
		relay: r, name: "prompt", timeout: promptSearchTimeout, rounds: map[string]*searchRound{}, ask: r.askCachedParts,
		engines: (*place.EndpointTable).AvailableEndpoints,
	}
	r.runSearch = engineSearch{
		relay: r, name: "run", timeout: runSearchTimeout, rounds: map[string]*searchRound{}, ask: r.askRuns,
		engines: (*place.EndpointTable).AskableEndpoints,
	}
}

// askCachedParts returns the ids of the prompt parts in an engine's KV cache.
func (r *Relay) askCachedParts(ctx context.Context, e place.Endpoint) (ids []string, err error) {
	parts, err := r.Engines.CachedParts(ctx, e.Address)
	for part := range parts {
		ids = append(ids, part)
	}
	return ids, err
}

// askRuns returns the ids of the requests that an engine runs and that have produced events. The caller of a run without an event
// has its events from elsewhere.
func (r *Relay) askRuns(ctx context.Context, e place.Endpoint) (ids []string, err error) {
	report, err := r.Engines.Report(ctx, e.Address)
	for id, events := range report.Events {
		if events > 0 {
			ids = append(ids, id)
		}
	}
	return ids, err
}

// findCachedPrompt returns the ids of the endpoints of a service that have a part of a prompt in their KV cache.
func (r *Relay) findCachedPrompt(ctx context.Context, service, part string) (ids []string) {
	if part == "" {
		return nil
	}
	for _, e := range r.promptSearch.find(ctx, service, part) {
		ids = append(ids, e.ID)
	}
	return ids
}

// findRun returns the software version at which the request with the id runs, or an empty string if it runs at none or at several.
func (r *Relay) findRun(ctx context.Context, service, id string) (version string) {
	for _, e := range r.runSearch.find(ctx, service, id) {
		if version != "" && e.Version != version {
			return ""
		}
		version = e.Version
	}
	return version
}

// find returns the engines of a service that have what the key names.
func (x *engineSearch) find(ctx context.Context, service, key string) []place.Endpoint {
	s := x.latestRound(service)
	s.mu.Lock()
	s.search.Await(x.relay.Clock.Now().Add(x.timeout))
	s.mu.Unlock()
	t := time.NewTimer(x.timeout)
	defer t.Stop()
	next := time.NewTicker(place.LateQueryTime)
	defer next.Stop()
	for {
		x.askNext(s)
		select {
		case <-next.C:
			continue
		case <-s.done:
		case <-t.C:
		case <-ctx.Done():
		}
		break
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found[key]
}

// latestRound returns the latest round of queries for a service, or starts one if that is too old.
func (x *engineSearch) latestRound(service string) *searchRound {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.relay.Clock.Now()
	if s := x.rounds[service]; s != nil && now.Sub(s.startedAt) < searchLifetime {
		return s
	}
	var list []place.Endpoint
	x.relay.withTable(func(t *place.EndpointTable, now time.Time) { list = x.engines(t, service, now) })
	s := &searchRound{
		startedAt: now, done: make(chan struct{}), found: map[string][]place.Endpoint{},
		search: place.NewSearch(list, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	x.rounds[service] = s
	if len(list) == 0 {
		close(s.done)
	}
	x.relay.Log.Info(x.name+"-search-started", zap.String("service", service), zap.Int("engines", len(list)))
	return s
}

// askNext asks the engines of a round that are to be asked now.
func (x *engineSearch) askNext(s *searchRound) {
	s.mu.Lock()
	list := s.search.Start(x.relay.Clock.Now())
	s.mu.Unlock()
	for _, e := range list {
		x.relay.meter.countReason("search-queries", x.name)
		go (&searchQuery{search: x, round: s, endpoint: e}).run()
	}
}

// searchQuery asks one engine in a round of a search.
type searchQuery struct {
	search   *engineSearch
	round    *searchRound
	endpoint place.Endpoint
}

// run asks the engine and adds what it has to the results of the round.
func (q *searchQuery) run() {
	r := q.search.relay
	defer r.guard.Recover(q.search.name + "-query")
	ctx, cancel := context.WithTimeout(r.ctx, q.search.timeout)
	defer cancel()
	keys, err := q.search.ask(r.withControlCall(ctx, q.endpoint), q.endpoint)
	if err != nil {
		r.Log.Debug(q.search.name+"-query-failed", zap.String("endpoint", q.endpoint.ID), zap.Error(err))
	}
	q.round.end(q.endpoint, keys)
	q.search.askNext(q.round)
}

// end adds what an engine has to the results of the round.
func (s *searchRound) end(e place.Endpoint, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.found[key] = append(s.found[key], e)
	}
	s.search.End(e.ID)
	if s.search.IsComplete() {
		close(s.done)
	}
}
