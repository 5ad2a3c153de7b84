package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/intake"
	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/guard"
	"wasabiweir/io/metric"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

// EngineClient queries and controls model engines; its requests do not occupy a request slot of the engine.
type EngineClient interface {
	// Report returns the engine's report of its running requests and copies.
	Report(ctx context.Context, address string) (EngineReport, error)
	// CachedParts returns the ids of the prompt parts that an engine has in its KV cache.
	CachedParts(ctx context.Context, address string) (map[string]bool, error)
	// RequestCopy makes the engine at the address copy the KV cache of a running request to the engine at target. The
	// request goes on. RequestCopy returns the name of the copy.
	RequestCopy(ctx context.Context, address, requestID, target string) (string, error)
	// FreeCopy frees a copy of a request's KV cache that the engine at the address sent to another engine on request.
	FreeCopy(ctx context.Context, address, name string) error
}

// ErrRequestNotRunning is returned by RequestCopy when the engine does not run the request.
var ErrRequestNotRunning = eris.New("the engine does not run the request")

// ErrCallRefused is returned by the methods of EngineClient when the engine refuses the call because it wants none now; it is
// alive.
var ErrCallRefused = eris.New("the engine refused the call")

// EngineReport is an engine's report about itself; its data is some hundred milliseconds old.
type EngineReport struct {
	// Events is the number of events that each running request has produced, by request id.
	Events map[string]int
	// Copies is the number of KV cache copies that the engine holds for other engines.
	Copies int
	// Work is the engine's current work.
	Work place.EngineWork
}

// EndpointLister reads the platform's list of endpoints.
type EndpointLister interface {
	// Read returns the current list of endpoints.
	Read(ctx context.Context) ([]place.Endpoint, error)
}

// HeaderNames holds the names of the headers that the relay reads and sets.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; endpoints echo it.
	RequestID string
	// Deadline carries the time that is left for the request, in milliseconds.
	Deadline string
	// Key carries the caller's key; endpoints get Account, the name of the client account, instead.
	Key     string
	Account string
	// ExpectedEndpoint carries the id of the endpoint that a request is meant for.
	ExpectedEndpoint string
	// EndpointID carries the id of the endpoint that responds to a health request.
	EndpointID string
	// Signature is set by an endpoint on each of its responses.
	Signature string
	// NotExecuted is set by an endpoint that did not run the request.
	NotExecuted string
	// LastEvent carries the id of the last event that the receiver got.
	LastEvent string
	// ResumedRequest carries the request id of the caller's attempt that got the first event of a stream that the caller takes up.
	ResumedRequest string
	// CopyTarget carries the address of the endpoint that gets copies of the KV cache; ResumeFrom names the copy to
	// resume from.
	CopyTarget string
	ResumeFrom string
	// Load carries the endpoint's report of its current load.
	Load string
	// Limit carries the number of requests per second that the endpoint takes from all relays together; ParseLimit
	// returns false if the value is invalid.
	Limit      string
	ParseLimit func(value string) (perSecond float64, ok bool)
	// ParseAnnouncement returns what the status and the header of an endpoint's answer say about the requests that it takes.
	ParseAnnouncement func(status int, h http.Header) place.Announcement
	// PromptParts lists the parts of a request's prompt; ParsePromptParts returns their ids in order. The last one is
	// specific to the request.
	PromptParts      string
	ParsePromptParts func(value string) []string
	// TokenCount carries the size of a request; ParseTokenCount returns it in tokens, and 0 if the value is invalid.
	TokenCount      string
	ParseTokenCount func(value string) int
	// ReservedHeaders lists further headers that only the system may set; they are removed from callers' requests.
	ReservedHeaders []string
	// ParseLoad parses the value of the Load header; it returns false if the value is invalid.
	ParseLoad func(value string) (place.EndpointLoad, bool)
	// ResumeFromValue returns the value of the ResumeFrom header for a copy. The arguments are the holder's address and
	// the request's id for a copy that the engine sends on its own, and the source's address and the copy's name for
	// one that was requested.
	ResumeFromValue func(address, name string) string
}

// Relay is one relay process; its exported fields are set before Run.
type Relay struct {
	// Name is the name of the instance.
	Name string
	// Domain is the failure domain of the instance.
	Domain string
	// CallerAddress is the listen address for callers.
	CallerAddress string
	// PeerAddress is the listen address for other relays, whose connections to endpoints this relay carries; empty means that it
	// carries none.
	PeerAddress string
	// DialDirect opens a connection to an endpoint; nil means with the operating system.
	DialDirect tunnel.DialFunc
	// Seeds returns the peer addresses of some keepers.
	Seeds func() []string
	// PeerKey is the key that all processes of the system share to authenticate to each other.
	PeerKey string
	// Decode parses a configuration document.
	Decode state.Decoder
	// EndpointLister reads the platform's list of endpoints.
	EndpointLister EndpointLister
	// Engines queries and controls model engines.
	Engines EngineClient
	// Names holds the platform's header names.
	Names HeaderNames
	// RetryLimit is the limit on extra attempts at each service of all relays together.
	RetryLimit place.RetryLimit
	// AddressTTL is how long callers cache addresses from the directory; StopGrace is the time from the stop signal
	// until the platform kills the process.
	AddressTTL time.Duration
	StopGrace  time.Duration
	// Servers are further HTTP servers to run, such as the one for readiness checks.
	Servers []Server
	// Resources are what the process may use.
	Resources intake.Resources
	Clock     clock.Clock
	Log       *zap.Logger
	Metrics   *metric.Scope

	started time.Time
	// index is the current configuration state; nil before the first one.
	index atomic.Pointer[state.ConfigIndex]
	feed  keeperFeed
	pool  connPool
	// carried passes on the connections of other relays.
	carried tunnel.Server
	prober  prober
	losses  lossChecker
	// identities confirms the ends of responses without a length.
	identities   identityChecker
	promptSearch engineSearch
	runSearch    engineSearch
	// origins knows the software versions at which streams began.
	origins streamOrigins
	drain   drain
	callers callerConns
	meter   relayMetrics
	guard   serve.PanicGuard
	// intake bounds what clients take at all ports.
	intake  serve.Intake
	buffers bufferBudget
	// crashes keeps requests whose prompt crashes engines away from them.
	crashes guard.Guard
	// ctx ends when the process stops, after the graceful shutdown.
	ctx context.Context

	mu    sync.Mutex
	table place.EndpointTable
	// retries holds the retry budget of each service.
	retries map[string]*serviceRetries
	// retryRelays is the number of relays that share the services' retry budgets.
	retryRelays place.RelayCount
	// slackFrom is the uptime from which this relay has its whole part of the retry limits' slack.
	slackFrom time.Duration
	// relayCount is the number of relays that callers may use, and relayIndex this relay's position among them, -1 if it is not.
	relayCount int
	relayIndex int
}

// Server is an HTTP handler and the address on which it is served.
type Server struct {
	Address string
	Handler http.Handler
}

const (
	// maxHeaderBytes bounds a request header in bytes before a configuration is known; the configuration can set a
	// lower limit.
	maxHeaderBytes = 64 << 10
	// maxCallerConnections bounds the callers' connections, and callerShare is their part, in hundredths, of all connections. A
	// request that is being served takes as many again to endpoints.
	maxCallerConnections, callerShare = 2000, 36
	// maxPeerConnections and peerShare bound the connections of other relays, of which some wait for their answer.
	maxPeerConnections, peerShare = 2 * tunnel.DefaultMaxConnections, 10
	// carriedShare bounds the connections to endpoints that the relay carries for others.
	carriedShare = 5
	// maxKeptConnections and keptShare bound the connections to endpoints that are kept for further requests.
	maxKeptConnections, keptShare = 1000, 8
	// maxServerConnections and serverShare bound the connections of each further HTTP server.
	maxServerConnections, serverShare = 64, 2
	// readinessTimeout bounds the time in which the sender of a readiness check must send its request header.
	readinessTimeout = 5 * time.Second
)

// Run serves callers until ctx ends and all accepted requests have been answered, or returns an error if a listener
// can not be opened.
func (r *Relay) Run(ctx context.Context) error {
	stop := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	r.ctx = ctx
	r.started = r.Clock.Now()
	r.table.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.retries = map[string]*serviceRetries{}
	r.retryRelays.Window, r.slackFrom = r.RetryLimit.Window, r.RetryLimit.Window
	r.meter.initMetrics(r.Metrics)
	r.guard = serve.PanicGuard{Log: r.Log, Metrics: r.meter.scope}
	r.intake.Resources, r.intake.Log, r.intake.Metrics = r.Resources, r.Log, r.meter.scope
	r.pool.initPool(r)
	defer r.pool.close()
	r.prober.initProber(r)
	r.losses.initLossChecker(r)
	r.identities.initIdentityChecker(r)
	r.initFinder()
	r.origins.initOrigins(r)
	r.crashes = guard.Guard{Clock: r.Clock, Log: r.Log, Metrics: r.meter.scope, Send: r.feed.sendCrashes}
	r.feed.initFeed(r)
	r.drain.setRelay(r)
	r.callers.initConnTable(r)
	var g run.Group
	listener, err := serve.Listen(r.CallerAddress)
	if err != nil {
		return fmt.Errorf("open the listener for callers: %w", err)
	}
	server, listener := r.callers.newServer(r.guard.Handler(r), listener)
	r.intake.AddHTTPServer(&g, server, listener, r.drain.answerTime)
	for _, s := range r.Servers {
		l, err := serve.Listen(s.Address)
		if err != nil {
			return fmt.Errorf("open a listener: %w", err)
		}
		further := &http.Server{Handler: r.guard.Handler(s.Handler), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readinessTimeout}
		r.intake.AddHTTPServer(&g, further, serve.LimitListener(l, r.Resources.Connections(serverShare, maxServerConnections)), nil)
	}
	if err := r.serveRelays(ctx, &g); err != nil {
		return err
	}
	r.Log.Info("relay-started", zap.String("front", r.CallerAddress), zap.Strings("seeds", r.Seeds()))
	serve.AddLoop(ctx, &g, r.feed.loop)
	serve.AddLoop(ctx, &g, r.feed.loopApply)
	serve.AddLoop(ctx, &g, r.feed.loopReport)
	serve.AddLoop(ctx, &g, r.feed.loopList)
	serve.AddLoop(ctx, &g, r.pool.loop)
	serve.AddLoop(ctx, &g, r.callers.loop)
	serve.AddLoop(ctx, &g, r.loopAnnouncements)
	serve.AddLoop(ctx, &g, func(ctx context.Context) error { return r.drain.run(ctx, stop) })
	err = g.Run()
	if errors.Is(err, errDrained) {
		err = nil
	}
	r.Log.Info("relay-stopped", zap.Error(err))
	return err
}

// serveRelays adds the server to the run group that carries connections of other relays.
func (r *Relay) serveRelays(ctx context.Context, g *run.Group) error {
	if r.PeerAddress == "" {
		return nil
	}
	r.carried = tunnel.Server{
		Dialer: &r.pool.dialer, IsListed: r.isEndpointAddress, IsClosed: r.drain.hasStarted,
		MaxConnections: int64(r.Resources.Connections(carriedShare, tunnel.DefaultMaxConnections)),
	}
	l, err := serve.Listen(r.PeerAddress)
	if err != nil {
		return fmt.Errorf("open the listener for relays: %w", err)
	}
	server := &http.Server{
		Handler: r.guard.Handler(&r.carried), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readinessTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	r.intake.AddHTTPServer(g, server, serve.LimitListener(l, r.Resources.Connections(peerShare, maxPeerConnections)), nil)
	return nil
}

// isEndpointAddress reports whether the platform's list has an endpoint with the address.
func (r *Relay) isEndpointAddress(address string) (listed bool) {
	r.withTable(func(t *place.EndpointTable, _ time.Time) { listed = t.HasAddress(address) })
	return listed
}

// cutOffDelay is the longest time from the beginning of a cut until the relay finds out about it, under load.
const cutOffDelay = 2 * time.Second

// recordCutOff tells the keepers that the relay is cut off from all endpoints, or no longer is, and takes back what it has recorded of the
// endpoints since the beginning of the cut.
func (r *Relay) recordCutOff(cutOff bool) {
	if cutOff {
		r.withTable(func(t *place.EndpointTable, now time.Time) { t.ForgetFailuresSince(now.Add(-cutOffDelay)) })
	}
	r.feed.requestReport()
}

// DialEndpoint opens a connection to the endpoint at the address, if necessary through another relay.
func (r *Relay) DialEndpoint(ctx context.Context, network, address string) (net.Conn, error) {
	return r.pool.dialer.DialContext(ctx, network, address)
}

// Ready reports whether callers should use this relay.
func (r *Relay) Ready() bool {
	return r.index.Load() != nil && !r.drain.hasStarted() && r.feed.isEndpointListReady()
}

// uptime returns the time since the process started. It is monotonic: changes to the system clock do not affect it.
func (r *Relay) uptime() time.Duration { return r.Clock.Now().Sub(r.started) }

// withTable calls f with the table of endpoints and the current time while it holds the relay's mutex mu.
func (r *Relay) withTable(f func(t *place.EndpointTable, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.table, r.Clock.Now())
}

// relayMetrics holds the relay's metrics.
type relayMetrics struct {
	scope tally.Scope
	// requests counts requests by the kind of their route.
	requests map[state.RouteKind]tally.Counter
	// firstResponse records the time to a response or to the first event of a stream.
	firstResponse tally.Histogram
	// longestPause records the longest pause between two events of a stream.
	longestPause tally.Histogram
	// limitedEndpoints is the number of endpoints whose limit holds, as the last message of a keeper showed.
	limitedEndpoints tally.Gauge
	// leavingEndpoints and pausedEndpoints are the numbers of endpoints that have said to this relay that they are leaving, and
	// that they want no requests now.
	leavingEndpoints tally.Gauge
	pausedEndpoints  tally.Gauge
	// brittleEndpoints is the number of endpoints that fall over if they have to reject too many requests, and brittleRejections
	// counts the requests that such endpoints have rejected.
	brittleEndpoints  tally.Gauge
	brittleRejections tally.Counter
}

// durationBuckets are the bounds of the duration histograms. Their range of 4 ms to 33 s covers pauses from one
// decoding step of an engine to a lost stream.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 14)

// initMetrics creates the relay's metrics in a metric scope, or ones without effect if the scope is nil.
func (m *relayMetrics) initMetrics(s *metric.Scope) {
	m.scope = tally.NoopScope
	if s != nil {
		m.scope = s
	}
	m.requests = map[state.RouteKind]tally.Counter{}
	for _, k := range []state.RouteKind{state.Safe, state.Unsafe, state.Stream} {
		m.requests[k] = m.scope.Tagged(map[string]string{"kind": k.String()}).Counter("requests")
	}
	m.firstResponse = m.scope.Histogram("first-answer", durationBuckets)
	m.limitedEndpoints = m.scope.Gauge("limited-endpoints")
	m.leavingEndpoints = m.scope.Gauge("leaving-endpoints")
	m.pausedEndpoints = m.scope.Gauge("paused-endpoints")
	m.brittleEndpoints = m.scope.Gauge("brittle-endpoints")
	m.brittleRejections = m.scope.Counter("brittle-rejections")
	m.longestPause = m.scope.Histogram("resume-pause", durationBuckets)
}

// countReason increments the counter with the name and the label reason.
func (m *relayMetrics) countReason(name, reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter(name).Inc(1)
}
