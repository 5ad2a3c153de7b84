package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
)

const (
	// searchLifetime is how long the results of a search for cached prompts are reused: when a relay is lost, all of
	// its streams are resumed at about the same time.
	searchLifetime = 1500 * time.Millisecond
	// searchTimeout bounds the queries to engines in a search for cached prompts; waiting longer for a slow engine
	// costs more than it can save.
	searchTimeout = 80 * time.Millisecond
)

// promptFinder finds the engine that still has the prompt of a stream in its KV cache, for instance when a caller
// resumes the stream after its relay was lost. It queries all engines of the service, which costs far less than one
// prefill.
type promptFinder struct {
	relay *Relay

	mu sync.Mutex
	// searches holds the latest search for cached prompts among the engines of each service.
	searches map[string]*promptSearch
}

// promptSearch is one round of queries to all engines of a service, which asks them which prompt parts are in their KV
// cache.
type promptSearch struct {
	startedAt time.Time
	// done is closed when all queries to engines have a result.
	done chan struct{}

	mu sync.Mutex
	// pending is the number of queries to engines without a result.
	pending         int
	endpointsByPart map[string][]string // ids of endpoints by the prompt part that they have cached
	// queried is the number of engines that were queried.
	queried int
}

// initFinder initialises the search for cached prompts for a relay.
func (f *promptFinder) initFinder(r *Relay) {
	f.relay = r
	f.searches = map[string]*promptSearch{}
}

// findCachedPrompt returns the ids of the endpoints of a service that have a part of a prompt in their KV cache.
func (f *promptFinder) findCachedPrompt(ctx context.Context, service, part string) []string {
	if part == "" {
		return nil
	}
	s := f.latestSearch(service)
	t := time.NewTimer(searchTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointsByPart[part]
}

// latestSearch returns the latest search for cached prompts among the engines of a service, or starts one if that is
// too old.
func (f *promptFinder) latestSearch(service string) *promptSearch {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.relay.Clock.Now()
	if s := f.searches[service]; s != nil && now.Sub(s.startedAt) < searchLifetime {
		return s
	}
	var list []place.Endpoint
	f.relay.withTable(func(t *place.EndpointTable, now time.Time) { list = t.AvailableEndpoints(service, now) })
	s := &promptSearch{
		startedAt: now, done: make(chan struct{}), pending: len(list), endpointsByPart: map[string][]string{},
		queried: len(list),
	}
	f.searches[service] = s
	if len(list) == 0 {
		close(s.done)
	}
	for _, e := range list {
		q := &cachedPartsQuery{search: s, endpoint: e, relay: f.relay}
		go q.run()
	}
	f.relay.Log.Info("prompt-search-started", zap.String("service", service), zap.Int("engines", len(list)))
	return s
}

// cachedPartsQuery asks one engine which prompt parts it has in its KV cache.
type cachedPartsQuery struct {
	relay    *Relay
	search   *promptSearch
	endpoint place.Endpoint
}

// run queries the engine for the prompt parts in its KV cache and adds them to the results of the search.
func (q *cachedPartsQuery) run() {
	defer q.relay.guard.Recover("prompt-query")
	ctx, cancel := context.WithTimeout(q.relay.ctx, searchTimeout)
	defer cancel()
	parts, err := q.relay.Engines.CachedParts(q.relay.withControlCall(ctx, q.endpoint), q.endpoint.Address)
	if err != nil {
		q.relay.Log.Debug("prompt-query-failed", zap.String("endpoint", q.endpoint.ID), zap.Error(err))
	}
	s := q.search
	s.mu.Lock()
	defer s.mu.Unlock()
	for part := range parts {
		s.endpointsByPart[part] = append(s.endpointsByPart[part], q.endpoint.ID)
	}
	if s.pending--; s.pending == 0 {
		close(s.done)
	}
}
