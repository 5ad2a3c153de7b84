package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/metric"
	"wasabiweir/io/serve"
)

// Inspector asks model engines what they do; an answer needs no slot of the engine.
type Inspector interface {
	Inspect(ctx context.Context, address string) (Report, error)
	// Kept returns the ids of the parts of prompts that an engine keeps in its memory.
	Kept(ctx context.Context, address string) (map[string]bool, error)
	// Copy makes the engine at the address copy the memory of a request's run, which goes on, to the engine at the target.
	// It returns the name of the copy.
	Copy(ctx context.Context, address, requestID, target string) (string, error)
	// Drop frees a copy that the engine at the address was asked for.
	Drop(ctx context.Context, address, name string) error
}

// ErrNoRun is returned by Copy when the engine does not run the request.
var ErrNoRun = eris.New("the engine does not run the request")

// Report is what a model engine says of itself, as of some hundred milliseconds ago.
type Report struct {
	// Events is the number of events that each run has made, by the id of its request.
	Events map[string]int
	// Copies is the number of copies that it holds of other engines' runs.
	Copies int
}

// Lister reads the platform's list of endpoints.
type Lister interface {
	Read(ctx context.Context) ([]place.Endpoint, error)
}

// Names are the names of the headers that the relay reads and sets.
type Names struct {
	// RequestID identifies a caller's attempt; endpoints echo it.
	RequestID string
	// Deadline is the time left in milliseconds.
	Deadline string
	// Key is the caller's key, and Account the name of the client account that endpoints get instead.
	Key     string
	Account string
	// Expect is the id of the endpoint that a request is meant for.
	Expect string
	// Signature is set by the endpoint on each of its answers.
	Signature string
	// NotRun says that the endpoint did not run the request.
	NotRun string
	// LastEvent is the id of the last event that was received.
	LastEvent string
	// Backup is the address of the endpoint that gets a copy of the run, and From is a copy to go on from.
	Backup string
	From   string
	// Load is what the endpoint says of its load.
	Load string
	// Prompt names the parts of a request's prompt, and LastPart returns the id of the last one, which belongs to the
	// request itself.
	Prompt   string
	LastPart func(value string) string
	// System are further headers that only the system may set; they are removed from what callers send.
	System []string
	// ParseLoad reads the value of Load.
	ParseLoad func(value string) (place.Load, bool)
	// CopyOf returns the value of From for a copy: by the address of the holder and the request's id if the engine sent the
	// copy as the run grew, and by the address of the source and the copy's name if it was asked for.
	CopyOf func(address, name string) string
}

// Relay is one relay process; its exported fields are set before Run.
type Relay struct {
	// Name is the name of the instance.
	Name string
	// Domain is its failure domain.
	Domain string
	// Front is the address for callers.
	Front string
	// Seeds are the peer addresses of some keepers.
	Seeds func() []string
	// PeerKey is the shared key of the system's processes.
	PeerKey string
	Decode  state.Decoder
	List    Lister
	Engines Inspector
	Names   Names
	// Budget bounds extra arrivals; it is copied for each service.
	Budget place.Budget
	// AddressLife is how long callers keep an answer of the directory, and StopGrace the time from the signal to stop to
	// the kill.
	AddressLife time.Duration
	StopGrace   time.Duration
	// Servers are further listeners with their handlers, such as the one for readiness.
	Servers []Server
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *metric.Scope

	started time.Time
	index   atomic.Pointer[state.Index]
	feed    feed
	pool    pool
	prober  prober
	finder  finder
	drain   drain
	callers callers
	meter   meter
	ctx     context.Context

	mu      sync.Mutex
	table   place.Table
	budgets map[string]*place.Budget
	relays  int
}

// Server is a handler with its address.
type Server struct {
	Address string
	Handler http.Handler
}

const (
	// headerCap bounds the header of a request in bytes before a configuration is known; a configuration may allow less.
	headerCap = 64 << 10
	// callerConnections bounds the connections of callers, below the descriptors of a process.
	callerConnections = 2000
	// readinessTimeout bounds the connections of the platform's readiness checks.
	readinessTimeout = 5 * time.Second
)

// Run serves until ctx ends and what was accepted is answered.
func (r *Relay) Run(ctx context.Context) error {
	stop := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	r.ctx = ctx
	r.started = r.Clock.Now()
	r.table.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.budgets = map[string]*place.Budget{}
	r.meter.prepare(r.Metrics)
	r.pool.prepare(r)
	r.prober.prepare(r)
	r.finder.prepare(r)
	r.feed.prepare(r)
	r.drain.prepare(r)
	r.callers.prepare(r)
	var g run.Group
	front, err := serve.ListenOne(r.Front)
	if err != nil {
		return fmt.Errorf("open the listener for callers: %w", err)
	}
	server := &http.Server{
		Handler: r, MaxHeaderBytes: headerCap, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
		ConnState: r.callers.track, ConnContext: r.callers.accepted,
	}
	serve.HTTP(&g, server, serve.Limit(front, callerConnections), func() bool { return r.drain.open() == 0 })
	for _, s := range r.Servers {
		l, err := serve.ListenOne(s.Address)
		if err != nil {
			return fmt.Errorf("open a listener: %w", err)
		}
		serve.HTTP(&g, &http.Server{Handler: s.Handler, ReadHeaderTimeout: readinessTimeout}, l, nil)
	}
	r.Log.Info("relay-started", zap.String("front", r.Front), zap.Strings("seeds", r.Seeds()))
	serve.Loop(ctx, &g, r.feed.loop)
	serve.Loop(ctx, &g, r.feed.loopReport)
	serve.Loop(ctx, &g, r.feed.loopList)
	serve.Loop(ctx, &g, r.pool.loop)
	serve.Loop(ctx, &g, r.callers.loop)
	g.Add(func() error { return r.drain.run(stop) }, func(error) {})
	err = g.Run()
	if errors.Is(err, errDrained) {
		err = nil
	}
	r.Log.Info("relay-stopped", zap.Error(err))
	return err
}

// Ready reports whether callers should use this relay.
func (r *Relay) Ready() bool { return r.index.Load() != nil && !r.drain.begun() && r.feed.known() }

// since returns the time since the process started, which no step of the clock moves.
func (r *Relay) since() time.Duration { return r.Clock.Now().Sub(r.started) }

// budget returns the budget of a service; mu is held.
func (r *Relay) budget(service string) *place.Budget {
	b := r.budgets[service]
	if b == nil {
		fresh := r.Budget
		b = &fresh
		r.budgets[service] = b
	}
	b.Relays = r.relays
	return b
}

// arrived counts a request of a caller for the service's budget.
func (r *Relay) arrived(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Request(r.since())
}

// spendRefusal takes one extra arrival for a request that an endpoint refused or failed.
func (r *Relay) spendRefusal(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).SpendRefusal(r.since())
}

// spendLoss takes one extra arrival for a stream whose engine was lost.
func (r *Relay) spendLoss(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).SpendLoss(r.since())
}

// placed calls f with the table of endpoints and the time.
func (r *Relay) placed(f func(t *place.Table, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.table, r.Clock.Now())
}

// meter holds the counters that every request touches.
type meter struct {
	scope    tally.Scope
	requests map[state.Kind]tally.Counter
	first    tally.Histogram
	pause    tally.Histogram
}

// pauseBuckets cover a pause between two events from a step of an engine to a lost stream, in durations.
var pauseBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 14)

func (m *meter) prepare(s *metric.Scope) {
	m.scope = tally.NoopScope
	if s != nil {
		m.scope = s
	}
	m.requests = map[state.Kind]tally.Counter{}
	for _, k := range []state.Kind{state.Safe, state.Unsafe, state.Stream} {
		m.requests[k] = m.scope.Tagged(map[string]string{"kind": k.String()}).Counter("requests")
	}
	m.first = m.scope.Histogram("first-answer", pauseBuckets)
	m.pause = m.scope.Histogram("resume-pause", pauseBuckets)
}

// count counts an event with its reason.
func (m *meter) count(name, reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}
