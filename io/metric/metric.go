package metric

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"wasabiweir/core/common"
)

// reportInterval is how often the tally counters are copied to the Prometheus registry, whose values a scrape returns.
const reportInterval = time.Second

// Names of the counters that have a separate time series for each reason of a refusal or a retry, distinguished by the
// tag "reason".
const (
	RefusalsName = "refusals"
	RetriesName  = "retries"
)

// Scope holds the counters and timers of one process and serves them over HTTP.
type Scope struct {
	tally.Scope

	closer   io.Closer
	handler  http.Handler
	refusals map[common.Reason]tally.Counter
	retries  map[common.Reason]tally.Counter
}

// New returns an empty set of metrics for a process; role is the value of the "role" tag of each time series.
func New(role string) *Scope {
	// A separate Prometheus registry per role keeps the metrics apart if several roles run in one operating system
	// process.
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "wasabiweir",
		Tags:            map[string]string{"role": role},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	s := &Scope{Scope: scope, closer: closer, handler: reporter.HTTPHandler()}
	s.refusals = newReasonCounters(scope, RefusalsName, common.RefusalReasons)
	s.retries = newReasonCounters(scope, RetriesName, common.RetryReasons)
	return s
}

// newReasonCounters returns the named counter for each reason. Each counter is registered at once with the value 0, so
// that a scrape also returns reasons that have not occurred.
func newReasonCounters(scope tally.Scope, name string, reasons []common.Reason) map[common.Reason]tally.Counter {
	counters := make(map[common.Reason]tally.Counter, len(reasons))
	for _, reason := range reasons {
		c := scope.Tagged(map[string]string{"reason": string(reason)}).Counter(name)
		c.Inc(0)
		counters[reason] = c
	}
	return counters
}

// CountRefusal adds 1 to the counter of requests that were refused for the reason; reasons outside
// common.RefusalReasons are ignored.
func (s *Scope) CountRefusal(reason common.Reason) {
	if c := s.refusals[reason]; c != nil {
		c.Inc(1)
	}
}

// CountRetry adds 1 to the counter of requests that were retried or resumed for the reason; reasons outside
// common.RetryReasons are ignored.
func (s *Scope) CountRetry(reason common.Reason) {
	if c := s.retries[reason]; c != nil {
		c.Inc(1)
	}
}

// ServeHTTP responds to a scrape with all metrics in the Prometheus text format.
func (s *Scope) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Close stops copying the counters to the Prometheus registry at each reportInterval.
func (s *Scope) Close() error { return s.closer.Close() }
