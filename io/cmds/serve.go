package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/intake"
	"wasabiweir/io/build"
	"wasabiweir/io/ctrl"
	"wasabiweir/io/flags"
	"wasabiweir/io/logs"
	"wasabiweir/io/metric"
	"wasabiweir/io/router"
	"wasabiweir/io/wall"
)

// Descriptions of the valid values of settings for error messages, and the bound that peerKeyRule names.
const (
	addressRule      = "an IP number and a port, such as 127.0.0.1:8080"
	notEmptyRule     = "a name that is not empty"
	peerKeyRule      = "at least 16 characters"
	minPeerKeyLength = 16
	// The bounds of the settings -memory-mb and -max-descriptors.
	minMemoryMB, maxMemoryMB       = 64, 1_000_000
	minDescriptors, maxDescriptors = 256, 10_000_000
)

// bindLogLevel registers the -log-level setting and returns the variable that holds its value.
func bindLogLevel(set *flags.Set) *string {
	level := set.String("log-level", "info", "lowest level of logged events: "+strings.Join(logs.Levels, ", "))
	set.AddRule("log-level", "one of "+strings.Join(logs.Levels, ", "), func() bool { return slices.Contains(logs.Levels, *level) })
	return level
}

// requireNotEmpty adds the rule that the value of the named setting is not empty.
func requireNotEmpty(set *flags.Set, name string, value *string) {
	set.AddRule(name, notEmptyRule, func() bool { return *value != "" })
}

// requireAddress adds the rule that the value of the named setting is an IP address with a port.
func requireAddress(set *flags.Set, name string, address *string) {
	set.AddRule(name, addressRule, func() bool { return flags.IsAddress(*address) })
}

// bindPeerKey registers the -peer-key setting, a secret with which the system's processes authenticate to each other.
func bindPeerKey(set *flags.Set, key *string) {
	set.StringVar(key, "peer-key", "", "shared key of the system's processes")
	set.MarkSecret("peer-key")
	set.AddRule("peer-key", peerKeyRule, func() bool { return len(*key) >= minPeerKeyLength })
}

// bindResources registers the settings of what the process may use, and returns the function that applies them once they are parsed.
func bindResources(set *flags.Set, r *intake.Resources) (apply func()) {
	memory := set.Int("memory-mb", 0, "memory that the process may use, in megabytes; 0 means that it is not known")
	set.IntVar(&r.Descriptors, "max-descriptors", 0, "file descriptors that the process may use; 0 means that it is not known")
	set.AddRule("memory-mb", "0, or between 64 and 1000000", func() bool { return *memory == 0 || *memory >= minMemoryMB && *memory <= maxMemoryMB })
	set.AddRule("max-descriptors", "0, or between 256 and 10000000", func() bool {
		return r.Descriptors == 0 || r.Descriptors >= minDescriptors && r.Descriptors <= maxDescriptors
	})
	return func() {
		r.MemoryBytes = int64(*memory) << 20
		limitHeap(*r)
	}
}

// bindRouterCommand registers the settings of the router command, which serves callers.
func bindRouterCommand(set *flags.Set, inv *invocation) runFunc {
	r := &router.Router{Clock: wall.Clock{}}
	var controls flags.List
	set.StringVar(&r.Name, "name", "", "unique name of the instance")
	set.StringVar(&r.Domain, "domain", "", "failure domain of the instance")
	set.StringVar(&r.Listen, "listen", "127.0.0.1:8080", "address for callers")
	set.StringVar(&r.PeerListen, "peer-listen", "127.0.0.1:8081", "address for the system's processes")
	set.StringVar(&r.Address, "address", "", "address that callers are told; empty means that of -listen")
	set.StringVar(&r.PeerAddress, "peer-address", "", "address that the system's processes are told; empty means that of -peer-listen")
	set.Var(&controls, "controls", "peer addresses of the control processes, separated by commas")
	set.StringVar(&r.DataDir, "data-dir", "", "folder that keeps the configuration over a restart; empty on an instance without a disk")
	set.DurationVar(&r.OrphanGrace, "orphan-grace", router.DefaultOrphanGrace, "time for which a generation goes on without its caller")
	set.DurationVar(&r.AddressTTL, "address-ttl", router.DefaultAddressTTL, "time for which callers may keep an answer of the addresses call")
	set.DurationVar(&r.ReadTimeout, "read-timeout", router.DefaultReadTimeout, "time in which a caller sends a whole request")
	set.IntVar(&r.MaxConnections, "max-connections", router.DefaultMaxConnections, "largest number of open connections of callers; further ones are closed")
	set.IntVar(&r.LedgerGroups, "ledgers", 1, "number of replicated logs of the call ledger; equal on all processes")
	bindPeerKey(set, &r.PeerKey)
	logLevel, applyResources := bindLogLevel(set), bindResources(set, &r.Resources)
	requireNotEmpty(set, "name", &r.Name)
	requireNotEmpty(set, "domain", &r.Domain)
	requireAddress(set, "listen", &r.Listen)
	requireAddress(set, "peer-listen", &r.PeerListen)
	set.AddRule("address", addressRule, func() bool { return r.Address == "" || flags.IsAddress(r.Address) })
	set.AddRule("peer-address", addressRule, func() bool { return r.PeerAddress == "" || flags.IsAddress(r.PeerAddress) })
	set.AddRule("controls", "at least one address, each an IP number and a port", func() bool { return areAddressesValid(controls) })
	set.AddRule("orphan-grace", "between 0s and 10m", func() bool { return isDurationWithin(r.OrphanGrace, 0, 10*time.Minute) })
	set.AddRule("address-ttl", "between 100ms and 5m", func() bool { return isDurationWithin(r.AddressTTL, 100*time.Millisecond, 5*time.Minute) })
	set.AddRule("read-timeout", "between 100ms and 10m", func() bool { return isDurationWithin(r.ReadTimeout, 100*time.Millisecond, 10*time.Minute) })
	set.AddRule("max-connections", "between 16 and 1000000", func() bool { return r.MaxConnections >= 16 && r.MaxConnections <= 1_000_000 })
	set.AddRule("ledgers", "between 1 and 64", func() bool { return r.LedgerGroups >= 1 && r.LedgerGroups <= maxLedgers })
	return func(ctx context.Context) error {
		r.Controls = controls
		applyResources()
		log, err := logs.New(inv.stderr, *logLevel)
		if err != nil {
			return fmt.Errorf("build logger: %w", err)
		}
		r.Log = log.With(zap.String("router", r.Name))
		r.Metrics = metric.New("router")
		defer func() { _ = r.Metrics.Close() }()
		announceBuild(r.Log, r.Metrics)
		s := &signalHandler{log: r.Log, drain: r.Drain, inFlight: r.InFlight}
		return s.run(ctx, r.Run)
	}
}

// announceBuild logs the build of the program and adds it to the metrics.
func announceBuild(log *zap.Logger, metrics *metric.Scope) {
	info := build.Current()
	log.Info("build", info.Fields()...)
	info.Publish(metrics)
}

// Upper bounds of the settings -ledgers, of the router and control commands, and -min-routers, of the control command.
const (
	maxLedgers = 64
	maxRouters = 10000
)

// bindControlCommand registers the settings of the control command, which replicates the configuration and the call
// ledger.
func bindControlCommand(set *flags.Set, inv *invocation) runFunc {
	c := &ctrl.Control{Clock: wall.Clock{}}
	var members, operators flags.Pairs
	set.StringVar(&c.Name, "name", "", "unique name of the instance")
	set.StringVar(&c.Domain, "domain", "", "failure domain of the instance")
	set.StringVar(&c.Listen, "listen", "127.0.0.1:9080", "address for operators")
	set.StringVar(&c.PeerListen, "peer-listen", "127.0.0.1:9081", "address for the system's processes")
	set.Var(&members, "members", "peer addresses of all control processes as name=address, separated by commas, this one included")
	set.Var(&operators, "operators", "operators as name=SHA-256 of the access token in hexadecimal, separated by commas")
	set.StringVar(&c.DataDir, "data-dir", "", "folder of the durable state")
	set.StringVar(&c.InstanceList, "instance-list", "", "URL of the platform's instance list; empty if there is none")
	set.IntVar(&c.LedgerGroups, "ledgers", 1, "number of replicated logs of the call ledger; equal on all processes")
	set.DurationVar(&c.Tick, "tick", 100*time.Millisecond, "length of a tick of the replicated logs; an election timeout is 10 ticks")
	set.Float64Var(&c.WeightStoreRate, "weight-store-rate", 0, "rate of the weight store in bytes per second, which bounds the loads on engines; 0 means no limit")
	set.IntVar(&c.MinRouters, "min-routers", 0, "number of instances that may run a router; account limits are divided over at least as many")
	bindPeerKey(set, &c.PeerKey)
	logLevel, applyResources := bindLogLevel(set), bindResources(set, &c.Resources)
	set.AddRule("min-routers", "between 0 and 10000", func() bool { return c.MinRouters >= 0 && c.MinRouters <= maxRouters })
	set.AddRule("weight-store-rate", "0 or more", func() bool { return c.WeightStoreRate >= 0 })
	requireNotEmpty(set, "name", &c.Name)
	requireNotEmpty(set, "domain", &c.Domain)
	requireAddress(set, "listen", &c.Listen)
	requireAddress(set, "peer-listen", &c.PeerListen)
	requireNotEmpty(set, "data-dir", &c.DataDir)
	set.AddRule("members", "name=address for each control process, this one included", func() bool { return areMembersValid(members, c.Name) })
	set.AddRule("operators", "name=64 hexadecimal digits", func() bool { return areTokenHashesValid(operators) })
	set.AddRule("ledgers", "between 1 and 64", func() bool { return c.LedgerGroups >= 1 && c.LedgerGroups <= maxLedgers })
	set.AddRule("tick", "between 10ms and 1s", func() bool { return isDurationWithin(c.Tick, 10*time.Millisecond, time.Second) })
	return func(ctx context.Context) error {
		c.Members, c.OperatorHashes = members, operators
		applyResources()
		log, err := logs.New(inv.stderr, *logLevel)
		if err != nil {
			return fmt.Errorf("build logger: %w", err)
		}
		c.Log = log.With(zap.String("control", c.Name))
		c.Metrics = metric.New("control")
		defer func() { _ = c.Metrics.Close() }()
		announceBuild(c.Log, c.Metrics)
		s := &signalHandler{log: c.Log}
		return s.run(ctx, c.Run)
	}
}

// isDurationWithin reports whether d is between low and high, both included.
func isDurationWithin(d, low, high time.Duration) bool { return d >= low && d <= high }

// areAddressesValid reports whether the list has at least one entry and each entry is an IP address with a port.
func areAddressesValid(list []string) bool {
	for _, a := range list {
		if !flags.IsAddress(a) {
			return false
		}
	}
	return len(list) > 0
}

// areMembersValid reports whether each control process in members, by name, has a valid address, and whether the
// process named self is among them.
func areMembersValid(members map[string]string, self string) bool {
	for _, a := range members {
		if !flags.IsAddress(a) {
			return false
		}
	}
	return members[self] != ""
}

// areTokenHashesValid reports whether there is at least one hash of an access token and each is a SHA-256 in
// lower-case hexadecimal.
func areTokenHashesValid(hashes map[string]string) bool {
	for _, h := range hashes {
		if len(h) != 64 || strings.Trim(h, "0123456789abcdef") != "" {
			return false
		}
	}
	return len(hashes) > 0
}

// signalHandler stops a process on SIGINT or SIGTERM. The first signal drains the process, which then finishes the
// requests in flight. The second signal, or the first if drain is nil, stops it at once.
type signalHandler struct {
	log   *zap.Logger
	drain func()
	// inFlight returns the numbers of generations and of other requests that an immediate stop aborts; it may be nil.
	inFlight func() (generations, requests int)
	cancel   context.CancelFunc
}

// run calls serve, the main function of a process, with a context that is cancelled when a signal stops the process.
func (s *signalHandler) run(ctx context.Context, serve func(context.Context) error) error {
	ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(received)
	go s.loop(ctx, received)
	return serve(ctx)
}

// loop handles the signals SIGINT and SIGTERM that the process receives until ctx ends.
func (s *signalHandler) loop(ctx context.Context, received <-chan os.Signal) {
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case sig := <-received:
			s.handleSignal(n, sig)
		}
	}
}

// handleSignal starts a drain of the process on the first signal (n is 1) if the process can drain, and otherwise
// stops the process at once.
func (s *signalHandler) handleSignal(n int, sig os.Signal) {
	if n == 1 && s.drain != nil {
		s.log.Info("drain-requested", zap.String("signal", sig.String()))
		s.drain()
		return
	}
	if s.inFlight != nil {
		generations, requests := s.inFlight()
		s.log.Warn("stop-requested", zap.String("signal", sig.String()),
			zap.Int("generations-aborted", generations), zap.Int("requests-aborted", requests))
	} else {
		s.log.Info("stop-requested", zap.String("signal", sig.String()))
	}
	s.cancel()
}
