package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/intake"
	"wasabiweir/core/place"
	"wasabiweir/io/flags"
	"wasabiweir/io/keeper"
	"wasabiweir/io/logs"
	"wasabiweir/io/metric"
	"wasabiweir/io/relay"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
	"wasabiweir/io/wall"
	"wasabiweir/platform"
)

const (
	// platformCallTimeout bounds a request to the hosting platform's list of instances or to an engine, in addition to
	// limits that the calling code sets.
	platformCallTimeout = 2 * time.Second
	// maxPlatformHeader bounds the size in bytes of the header of a response to such a request.
	maxPlatformHeader = 64 << 10
	// addressTTL is how long callers may cache the relay addresses that the directory returns. A relay's planned stop
	// takes at least three times as long, because some callers use an address for longer than they may.
	addressTTL = time.Second
	// retryBudgetShare is the fraction of the hosting platform's budget for retries that all relays together may use.
	// It is below 1 because a relay does not always know how many relays share the budget.
	retryBudgetShare = 0.8
)

// platformProcess holds the settings, log and metrics of a relay or keeper process that runs on the hosting platform.
type platformProcess struct {
	settings     *platform.Settings
	liveSettings *platform.LiveSettings
	log          *zap.Logger
	metrics      *metric.Scope
	signals      *signalHandler
	logOutput    *logs.AsyncWriter
	// metricsPort is the port on which the process serves its metrics; 0 disables them.
	metricsPort int
}

// platformFlags are the settings of a relay or keeper process that are given as flags, because the hosting platform's
// settings file has no fields for them.
type platformFlags struct {
	logLevel    *string
	metricsPort *int
}

// maxPort is the highest TCP port number.
const maxPort = 65535

// bindPlatformFlags registers the settings that the commands "platform edge" and "platform core" share.
func bindPlatformFlags(set *flags.Set) *platformFlags {
	f := &platformFlags{logLevel: bindLogLevel(set)}
	f.metricsPort = set.Int("metrics-port", 0, "port for the metrics, on the instance's address; 0 means none")
	set.AddRule("metrics-port", "between 0 and 65535", func() bool { return *f.metricsPort >= 0 && *f.metricsPort <= maxPort })
	return f
}

// newPlatformProcess loads the hosting platform's settings file and creates the logger and metrics of a process with
// the role, relay or keeper.
func newPlatformProcess(inv *invocation, role string, f *platformFlags) (*platformProcess, error) {
	logOutput := logs.NewAsyncWriter(inv.stdout)
	log, err := logs.New(logOutput, *f.logLevel)
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	path, err := platform.SettingsPath()
	if err != nil {
		return nil, err
	}
	liveSettings := &platform.LiveSettings{Path: path, Log: log}
	settings, err := liveSettings.Load()
	if err != nil {
		return nil, err
	}
	p := &platformProcess{settings: settings, liveSettings: liveSettings, metrics: metric.New(role), logOutput: logOutput, metricsPort: *f.metricsPort}
	p.log = log.With(zap.String("node", settings.Name))
	liveSettings.Log = p.log
	p.signals = &signalHandler{log: p.log}
	announceBuild(p.log, p.metrics)
	limitHeap(settings.Resources)
	return p, nil
}

// limitHeap makes the runtime collect garbage more often before the process exceeds its memory. It leaves a limit that the
// environment sets for the runtime as it is.
func limitHeap(r intake.Resources) {
	if n := r.HeapBytes(); n > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(n)
	}
}

// run calls work, the main function of the relay or keeper process, with a context that ends when a signal stops the
// process, and returns the error of work. Meanwhile it watches the settings file and reports dropped log lines.
func (p *platformProcess) run(ctx context.Context, work func(context.Context) error) error {
	defer p.logOutput.Flush()
	defer func() { _ = p.metrics.Close() }()
	return p.signals.run(ctx, func(ctx context.Context) error {
		// The settings can change while the process is being stopped.
		watchCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		w := &settingsWatcher{liveSettings: p.liveSettings, log: p.log}
		go w.run(watchCtx)
		d := &droppedLineReporter{process: p}
		go d.run(watchCtx)
		return work(ctx)
	})
}

// dropReportInterval is the time between two reports of dropped log lines.
const dropReportInterval = time.Second

// droppedLineReporter counts and logs the log lines of a process that were dropped because the log output was too
// slow.
type droppedLineReporter struct{ process *platformProcess }

// run reports the log lines dropped since the previous report, at each dropReportInterval, until ctx ends.
func (d *droppedLineReporter) run(ctx context.Context) {
	var reported int64
	counter := d.process.metrics.Counter("log-lines-dropped")
	for serve.Sleep(ctx, dropReportInterval) {
		if total := d.process.logOutput.Dropped(); total > reported {
			counter.Inc(total - reported)
			d.process.log.Warn("log-lines-dropped", zap.Int64("lines", total-reported))
			reported = total
		}
	}
}

// metricsHandler returns the HTTP handler that serves the process's metrics at /metrics for scraping.
func (p *platformProcess) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics)
	return mux
}

// metricsAddress returns the host and port on which metrics are served, or "" if they are disabled.
func (p *platformProcess) metricsAddress() string {
	if p.metricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.metricsPort))
}

// settingsWatcher applies changes of the hosting platform's settings file while a relay or keeper process runs.
type settingsWatcher struct {
	liveSettings *platform.LiveSettings
	log          *zap.Logger
}

// run watches the hosting platform's settings file until ctx ends; a failure is logged and leaves the process running.
func (w *settingsWatcher) run(ctx context.Context) {
	if err := w.liveSettings.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		w.log.Error("settings-watch-failed", zap.Error(err))
	}
}

// retryLimit returns the limit on extra attempts at each service that all relays together keep.
func (p *platformProcess) retryLimit() place.RetryLimit {
	b := p.settings.Bounds
	return place.RetryLimit{Ratio: retryBudgetShare * b.RetryRatio, Slack: retryBudgetShare * b.RetrySlack, Window: b.RetryWindow}
}

// newInstanceListReader returns a reader of the hosting platform's list of instances. It opens a new connection for
// each request, because the other end of a pooled connection may have stopped responding for good.
func (p *platformProcess) newInstanceListReader() *platform.ListReader {
	return &platform.ListReader{Address: p.settings.ListAddress, Client: newUnpooledClient(nil), OnInvalidEntry: func(err error) {
		p.log.Debug("list-entry-skipped", zap.Error(err))
	}}
}

// newUnpooledClient returns an HTTP client that opens a new connection for each request, with dial unless that is nil.
func newUnpooledClient(dial tunnel.DialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxPlatformHeader}, Timeout: platformCallTimeout,
	}
}

// bindPlatformEdgeCommand registers the settings of the "platform edge" command, which runs a relay for callers'
// requests.
func bindPlatformEdgeCommand(set *flags.Set, inv *invocation) runFunc {
	f := bindPlatformFlags(set)
	return func(ctx context.Context) error {
		p, err := newPlatformProcess(inv, "relay", f)
		if err != nil {
			return err
		}
		s, bounds := p.settings, p.settings.Bounds
		r := &relay.Relay{
			Name: s.Name, Domain: s.Domain, CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress, Seeds: p.liveSettings.SeedPeerAddresses, PeerKey: platform.PeerKey,
			Decode: platform.DecodeState, EndpointLister: p.newInstanceListReader(),
			Names:      platform.Headers(),
			RetryLimit: p.retryLimit(),
			AddressTTL: min(addressTTL, bounds.MaxAddressTTL), StopGrace: bounds.StopGrace, Resources: s.Resources,
			Clock: wall.Clock{}, Log: p.log, Metrics: p.metrics,
		}
		r.Engines = &platform.EngineClient{Client: newUnpooledClient(r.DialEndpoint)}
		r.Servers = []relay.Server{{Address: s.ReadinessAddress, Handler: platform.ReadinessHandler(r.Ready)}}
		if address := p.metricsAddress(); address != "" {
			r.Servers = append(r.Servers, relay.Server{Address: address, Handler: p.metricsHandler()})
		}
		return p.run(ctx, r.Run)
	}
}

// bindPlatformCoreCommand registers the settings of the "platform core" command, which runs a keeper of the
// configuration.
func bindPlatformCoreCommand(set *flags.Set, inv *invocation) runFunc {
	f := bindPlatformFlags(set)
	return func(ctx context.Context) error {
		p, err := newPlatformProcess(inv, "keeper", f)
		if err != nil {
			return err
		}
		s := p.settings
		k := &keeper.Keeper{
			PeerAddress: s.PeerAddress, Seeds: p.liveSettings.SeedPeerAddresses, Bootstrap: s.Bootstrap, PeerKey: platform.PeerKey, DataDir: s.DataDir,
			Resources: s.Resources, DiskBytes: s.DiskBytes, Disk: inv.keeperDisk,
			Decode: platform.DecodeState, EndpointLister: p.newInstanceListReader(), Clock: wall.Clock{}, Log: p.log, Metrics: p.metrics,
			RetryLimit: p.retryLimit(),
		}
		k.Servers = []keeper.Server{
			{Address: s.OperatorAddress, Handler: platform.OperatorHandler(k, p.log)},
			{Address: s.DirectoryAddress, Handler: platform.DirectoryHandler(k, min(addressTTL, s.Bounds.MaxAddressTTL))},
		}
		if address := p.metricsAddress(); address != "" {
			k.Servers = append(k.Servers, keeper.Server{Address: address, Handler: p.metricsHandler()})
		}
		return p.run(ctx, k.Run)
	}
}
