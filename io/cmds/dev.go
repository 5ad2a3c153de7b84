package cmds

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"wasabiweir/core/object"
	"wasabiweir/io/ctrl"
	"wasabiweir/io/flags"
	"wasabiweir/io/logs"
	"wasabiweir/io/metric"
	"wasabiweir/io/router"
	"wasabiweir/io/stand"
	"wasabiweir/io/wall"
)

// Service names, access tokens and peer key of the system that the dev command runs.
const (
	devOperatorToken = "operator-token"
	devAccountToken  = "vets-token"
	devModelService  = "dente-llm"
	devPlainService  = "rondas-app"
	devPeerKey       = "development-peer-key"
)

// devSystem is the system that the dev command runs: control processes, routers and stand-in endpoints (simulated
// engines and services), all as tasks in one operating system process. All tasks belong to one run group: when one of
// them returns, the others are stopped.
type devSystem struct {
	inv *invocation
	log *zap.Logger
	// dataDir is a temporary folder in which the control processes store their durable state.
	dataDir string
	// callerListen is the address on which the first router listens for callers.
	callerListen string
	// operatorListen is the address on which the first control process listens for operators.
	operatorListen string
	group          run.Group
	// controlAddresses are the addresses on which the control processes listen for the system's other processes, by
	// name.
	controlAddresses map[string]string
	routers          []*router.Router
	// firstControl is the control process to which the development system's configuration is published.
	firstControl *ctrl.Control
	// change is the configuration change that declares the services, the account and the endpoints of the system.
	change *object.Change
}

// bindDevCommand registers the settings of the dev command, which runs a whole system in one process.
func bindDevCommand(set *flags.Set, inv *invocation) runFunc {
	d := &devSystem{inv: inv}
	set.StringVar(&d.callerListen, "listen", "127.0.0.1:8080", "address of the first router for callers")
	set.StringVar(&d.operatorListen, "operator-listen", "127.0.0.1:9080", "address of the first control process for operators")
	routers := set.Int("routers", 3, "number of routers")
	engines := set.Int("engines", 3, "number of stand-in engines")
	logLevel := bindLogLevel(set)
	requireAddress(set, "listen", &d.callerListen)
	requireAddress(set, "operator-listen", &d.operatorListen)
	set.AddRule("routers", "between 1 and 16", func() bool { return *routers >= 1 && *routers <= 16 })
	set.AddRule("engines", "between 1 and 64", func() bool { return *engines >= 1 && *engines <= 64 })
	return func(ctx context.Context) error {
		log, err := logs.New(inv.stderr, *logLevel)
		if err != nil {
			return fmt.Errorf("build logger: %w", err)
		}
		d.log = log
		if d.dataDir, err = os.MkdirTemp("", "wasabiweir-dev-"); err != nil {
			return fmt.Errorf("create data folder: %w", err)
		}
		defer func() { _ = os.RemoveAll(d.dataDir) }()
		s := &signalHandler{log: log}
		return s.run(ctx, func(ctx context.Context) error { return d.run(ctx, *routers, *engines) })
	}
}

// devDomains are the failure domains of the development system; its processes are spread over them in turn.
var devDomains = []string{"petrolina", "juazeiro", "caruaru"}

// devControlCount is the number of control processes of the development system.
const devControlCount = 3

// run starts the development system with the given numbers of routers and stand-in engines (simulated engines), and
// waits until a task fails or ctx ends.
func (d *devSystem) run(ctx context.Context, routers, engines int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.change = newDevConfigChange()
	if err := d.addEndpoints(ctx, engines); err != nil {
		return err
	}
	if err := d.addControlProcesses(ctx); err != nil {
		return err
	}
	if err := d.addRouters(ctx, routers); err != nil {
		return err
	}
	d.addTask(ctx, d.loop)
	err := d.group.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// addTask adds a task of the development system to its run group; the task's context ends when any task of the group
// returns.
func (d *devSystem) addTask(ctx context.Context, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	d.group.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

// newDevConfigChange returns a configuration change that declares a model service, a plain service and one client
// account.
func newDevConfigChange() *object.Change {
	sum := sha256.Sum256([]byte(devAccountToken))
	c := &object.Change{RequestID: "development"}
	c.Put = object.Graph{
		Services: map[string]object.Service{
			devModelService: {Name: devModelService, Type: object.ServiceModel},
			devPlainService: {Name: devPlainService, Type: object.ServicePlain},
		},
		Accounts: map[string]object.Account{
			"vets": {Name: "vets", TokenHashes: []string{hex.EncodeToString(sum[:])}},
		},
		Models: map[string]object.Model{
			"dente": {Name: "dente", Service: devModelService, Version: "1"},
		},
		Intents: map[string]object.Intent{
			"plans":  {Name: "plans", Service: devModelService, Model: "dente", ShortTokens: 64},
			"visits": {Name: "visits", Service: devPlainService},
		},
		Endpoints: map[string]object.Endpoint{},
	}
	return c
}

// addEndpoints adds the stand-in engines and one stand-in service (simulated endpoints) to the development system as
// tasks, and declares each as an endpoint in the configuration change.
func (d *devSystem) addEndpoints(ctx context.Context, engines int) error {
	for i := range engines {
		l, err := listenLoopback()
		if err != nil {
			return err
		}
		engine := &stand.Engine{Models: []string{"dente@1"}, ChecksFencing: true}
		engine.Listener, engine.Log = l, d.log
		name := fmt.Sprintf("engine-%d", i+1)
		d.change.Put.Endpoints[name] = object.Endpoint{
			Name: name, Service: devModelService, Address: l.Addr().String(), Domain: devDomains[i%len(devDomains)],
			Slots: 16, ChecksFencing: true,
		}
		d.addTask(ctx, engine.Run)
	}
	l, err := listenLoopback()
	if err != nil {
		return err
	}
	service := &stand.Service{}
	service.Listener, service.Log = l, d.log
	d.change.Put.Endpoints["rondas-1"] = object.Endpoint{
		Name: "rondas-1", Service: devPlainService, Address: l.Addr().String(), Domain: devDomains[0],
	}
	d.addTask(ctx, service.Run)
	return nil
}

// listenLoopback listens on a free TCP port of the loopback interface.
func listenLoopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// freeAddress returns a loopback address whose port was free when it was checked; another process may take the port
// before the caller listens on it.
func freeAddress() (string, error) {
	l, err := listenLoopback()
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// addControlProcesses adds the development system's control processes as tasks; only the first has a fixed address for
// operators.
func (d *devSystem) addControlProcesses(ctx context.Context) error {
	d.controlAddresses = map[string]string{}
	for i := range devControlCount {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		d.controlAddresses[fmt.Sprintf("control-%d", i+1)] = address
	}
	sum := sha256.Sum256([]byte(devOperatorToken))
	for i := range devControlCount {
		name := fmt.Sprintf("control-%d", i+1)
		c := &ctrl.Control{
			Name: name, Domain: devDomains[i%len(devDomains)], Listen: "127.0.0.1:0", PeerListen: d.controlAddresses[name],
			Members: d.controlAddresses, PeerKey: devPeerKey, DataDir: filepath.Join(d.dataDir, name), LedgerGroups: 1,
			OperatorHashes: map[string]string{"dev": hex.EncodeToString(sum[:])},
			Clock:          wall.Clock{}, Log: d.log.With(zap.String("control", name)), Metrics: metric.New("control"),
		}
		if i == 0 {
			c.Listen = d.operatorListen
			d.firstControl = c
		}
		d.addTask(ctx, c.Run)
	}
	return nil
}

// addRouters adds n routers to the development system as tasks; only the first has a fixed address for callers.
func (d *devSystem) addRouters(ctx context.Context, n int) error {
	var controls []string
	for i := range devControlCount {
		controls = append(controls, d.controlAddresses[fmt.Sprintf("control-%d", i+1)])
	}
	for i := range n {
		peer, err := freeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("router-%d", i+1)
		r := &router.Router{
			Name: name, Domain: devDomains[i%len(devDomains)], Listen: "127.0.0.1:0", PeerListen: peer, Controls: controls,
			PeerKey: devPeerKey, OrphanGrace: router.DefaultOrphanGrace, AddressTTL: router.DefaultAddressTTL,
			ReadTimeout: router.DefaultReadTimeout, MaxConnections: router.DefaultMaxConnections, LedgerGroups: 1,
			Clock: wall.Clock{}, Log: d.log.With(zap.String("router", name)), Metrics: metric.New("router"),
		}
		if i == 0 {
			r.Listen = d.callerListen
		}
		d.routers = append(d.routers, r)
		d.addTask(ctx, r.Run)
	}
	return nil
}

// loop publishes the development system's configuration, prints its addresses and access tokens, and waits until ctx
// ends.
func (d *devSystem) loop(ctx context.Context) error {
	if err := d.publishChange(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.inv.stdout, "ready: callers at http://%s (token %s), operators at http://%s (token %s)\n",
		d.callerListen, devAccountToken, d.operatorListen, devOperatorToken)
	<-ctx.Done()
	return ctx.Err()
}

// publishChange publishes the configuration change repeatedly, 100 ms apart, until every router uses it. All attempts
// carry the same request id, so the change is applied only once.
func (d *devSystem) publishChange(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.firstControl.Publish(ctx, d.change, "dev", len(d.routers)) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return ctx.Err()
}
