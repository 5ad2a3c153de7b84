package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
)

// runSearchTimeout bounds the queries to engines for the requests that they run.
const runSearchTimeout = 150 * time.Millisecond

// runSearch is one round of queries to all engines of a service for the requests that they run. When relays lose power, engines still
// run the requests of streams whose connections were not reset.
type runSearch struct {
	startedAt time.Time
	// done is closed when all queries have a result.
	done chan struct{}

	mu      sync.Mutex
	pending int
	// versions holds the software versions of the engines at which a request has produced events, by request id.
	versions map[string]map[string]bool
}

// findRun returns the software version at which the request with the id runs, or an empty string if it runs at none or at several.
func (o *streamOrigins) findRun(ctx context.Context, service, id string) string {
	s := o.latestSearch(service)
	t := time.NewTimer(runSearchTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions[id]) != 1 {
		return ""
	}
	for version := range s.versions[id] {
		return version
	}
	return ""
}

// latestSearch returns the latest search among the engines of a service, or starts one if that is too old.
func (o *streamOrigins) latestSearch(service string) *runSearch {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.relay.Clock.Now()
	if s := o.searches[service]; s != nil && now.Sub(s.startedAt) < searchLifetime {
		return s
	}
	var list []place.Endpoint
	o.relay.withTable(func(t *place.EndpointTable, now time.Time) { list = t.AskableEndpoints(service, now) })
	s := &runSearch{startedAt: now, done: make(chan struct{}), pending: len(list), versions: map[string]map[string]bool{}}
	o.searches[service] = s
	if len(list) == 0 {
		close(s.done)
	}
	for _, e := range list {
		q := &runsQuery{search: s, endpoint: e, relay: o.relay}
		go q.run()
	}
	o.relay.Log.Info("run-search-started", zap.String("service", service), zap.Int("engines", len(list)))
	return s
}

// runsQuery asks one engine for the requests that it runs.
type runsQuery struct {
	relay    *Relay
	search   *runSearch
	endpoint place.Endpoint
}

// run asks the engine and adds its requests to the results of the search.
func (q *runsQuery) run() {
	defer q.relay.guard.Recover("runs-query")
	ctx, cancel := context.WithTimeout(q.relay.ctx, runSearchTimeout)
	defer cancel()
	report, err := q.relay.Engines.Report(q.relay.withControlCall(ctx, q.endpoint), q.endpoint.Address)
	if err != nil {
		q.relay.Log.Debug("runs-query-failed", zap.String("endpoint", q.endpoint.ID), zap.Error(err))
	}
	s := q.search
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, events := range report.Events {
		// The caller of a run without an event has its events from elsewhere.
		if events == 0 {
			continue
		}
		if s.versions[id] == nil {
			s.versions[id] = map[string]bool{}
		}
		s.versions[id][q.endpoint.Version] = true
	}
	if s.pending--; s.pending == 0 {
		close(s.done)
	}
}
