package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/flags"
	"wasabiweir/io/keeper"
	"wasabiweir/io/logs"
	"wasabiweir/io/metric"
	"wasabiweir/io/relay"
	"wasabiweir/io/serve"
	"wasabiweir/io/wall"
	"wasabiweir/platform"
)

const (
	// platformCallTimeout bounds a call to the platform's list or to an engine, besides the callers' own limits.
	platformCallTimeout = 2 * time.Second
	// addressLife is how long callers keep an answer of the directory; a planned stop takes three times as long at least.
	addressLife = time.Second
	// budgetPart is the part of the platform's budget of extra arrivals that relays may spend, since not all of them know
	// at each moment how many share it.
	budgetPart = 0.8
)

// platformProcess is what both processes on the users' platform have in common.
type platformProcess struct {
	settings *platform.Settings
	live     *platform.Live
	log      *zap.Logger
	metrics  *metric.Scope
	signals  *signals
	out      *logs.AsyncWriter
	// metricsPort is the port of the metrics; 0 means none.
	metricsPort int
}

// platformFlags are the settings that the platform's file does not have.
type platformFlags struct {
	level   *string
	metrics *int
}

// maxPort is the highest port number.
const maxPort = 65535

func bindPlatformFlags(set *flags.Set) *platformFlags {
	f := &platformFlags{level: level(set)}
	f.metrics = set.Int("metrics-port", 0, "port for the metrics, on the instance's address; 0 means none")
	set.Check("metrics-port", "between 0 and 65535", func() bool { return *f.metrics >= 0 && *f.metrics <= maxPort })
	return f
}

func startPlatform(e *environ, role string, f *platformFlags) (*platformProcess, error) {
	out := logs.NewAsyncWriter(e.stdout)
	log, err := logs.New(out, *f.level)
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	path, err := platform.SettingsPath()
	if err != nil {
		return nil, err
	}
	live := &platform.Live{Path: path, Log: log}
	settings, err := live.Load()
	if err != nil {
		return nil, err
	}
	p := &platformProcess{settings: settings, live: live, metrics: metric.New(role), out: out, metricsPort: *f.metrics}
	p.log = log.With(zap.String("node", settings.Name))
	live.Log = p.log
	p.signals = &signals{log: p.log}
	return p, nil
}

// run runs the process until a signal ends it, beside the watch of the settings file.
func (p *platformProcess) run(ctx context.Context, work func(context.Context) error) error {
	defer p.out.Flush()
	defer func() { _ = p.metrics.Close() }()
	return p.signals.run(ctx, func(ctx context.Context) error {
		watch, cancel := context.WithCancel(ctx)
		defer cancel()
		w := &settingsWatch{live: p.live, log: p.log}
		go w.run(watch)
		d := &droppedLines{process: p}
		go d.run(watch)
		return work(ctx)
	})
}

// droppedInterval is the time between two reports of dropped log lines.
const droppedInterval = time.Second

// droppedLines counts the log lines that were dropped.
type droppedLines struct{ process *platformProcess }

func (d *droppedLines) run(ctx context.Context) {
	var told int64
	counter := d.process.metrics.Counter("log-lines-dropped")
	for serve.Pause(ctx, droppedInterval) {
		if now := d.process.out.Dropped(); now > told {
			counter.Inc(now - told)
			d.process.log.Warn("log-lines-dropped", zap.Int64("lines", now-told))
			told = now
		}
	}
}

// metricsHandler serves the metrics.
func (p *platformProcess) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics)
	return mux
}

// metricsAddress returns where the metrics are served, or nothing.
func (p *platformProcess) metricsAddress() string {
	if p.metricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.metricsPort))
}

// settingsWatch takes over changes of the settings file beside a process.
type settingsWatch struct {
	live *platform.Live
	log  *zap.Logger
}

func (w *settingsWatch) run(ctx context.Context) {
	if err := w.live.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		w.log.Error("settings-not-watched", zap.Error(err))
	}
}

// lister reads the platform's list, on connections of its own: a pooled one may have gone silent for good.
func (p *platformProcess) lister() *platform.ListReader {
	return &platform.ListReader{Address: p.settings.List, Client: freshClient(), Skipped: func(err error) {
		p.log.Debug("list-entry-skipped", zap.Error(err))
	}}
}

func freshClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: platformCallTimeout}
}

func bindPlatformEdge(set *flags.Set, e *environ) runFunc {
	f := bindPlatformFlags(set)
	return func(ctx context.Context) error {
		p, err := startPlatform(e, "relay", f)
		if err != nil {
			return err
		}
		s, b := p.settings, p.settings.Bounds
		r := &relay.Relay{
			Name: s.Name, Domain: s.Domain, Front: s.Front, Seeds: p.live.Seeds, PeerKey: platform.PeerKey,
			Decode: platform.DecodeState, List: p.lister(), Engines: &platform.Inspector{Client: freshClient()},
			Names:       platform.Headers(),
			Budget:      place.Budget{Ratio: budgetPart * b.RetryRatio, Slack: budgetPart * b.RetrySlack, Window: b.RetryWindow},
			AddressLife: min(addressLife, b.MaxAddressLife), StopGrace: b.StopGrace,
			Clock: wall.Clock{}, Log: p.log, Metrics: p.metrics,
		}
		r.Servers = []relay.Server{{Address: s.Readiness, Handler: platform.Readiness(r.Ready)}}
		if at := p.metricsAddress(); at != "" {
			r.Servers = append(r.Servers, relay.Server{Address: at, Handler: p.metricsHandler()})
		}
		return p.run(ctx, r.Run)
	}
}

func bindPlatformCore(set *flags.Set, e *environ) runFunc {
	f := bindPlatformFlags(set)
	return func(ctx context.Context) error {
		p, err := startPlatform(e, "keeper", f)
		if err != nil {
			return err
		}
		s := p.settings
		k := &keeper.Keeper{
			Peer: s.Peer, Seeds: p.live.Seeds, First: s.First, PeerKey: platform.PeerKey, DataDir: s.DataDir,
			Decode: platform.DecodeState, List: p.lister(), Clock: wall.Clock{}, Log: p.log, Metrics: p.metrics,
		}
		k.Servers = []keeper.Server{
			{Address: s.Operators, Handler: platform.Operators(k, p.log)},
			{Address: s.Directory, Handler: platform.Directory(k, min(addressLife, s.Bounds.MaxAddressLife))},
		}
		if at := p.metricsAddress(); at != "" {
			k.Servers = append(k.Servers, keeper.Server{Address: at, Handler: p.metricsHandler()})
		}
		return p.run(ctx, k.Run)
	}
}
