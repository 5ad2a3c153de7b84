package ctrl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/intake"
	"wasabiweir/io/metric"
	"wasabiweir/io/repl"
	"wasabiweir/io/serve"
	"wasabiweir/io/store"
	"wasabiweir/io/wire"
)

// defaultTick is the time between two ticks of Raft's logical clock if Control.Tick is zero.
const defaultTick = repl.DefaultInterval

// Control is one control process. The control processes of a system replicate its configuration and call ledger among
// each other. The exported fields are set before Run.
type Control struct {
	// Name is the instance's name, unique in the system.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Listen is the address of the operator API, and PeerListen the one for links of routers and control processes.
	Listen     string
	PeerListen string
	// Members maps the name of each control process, this one included, to its peer address.
	Members map[string]string
	// PeerKey is the secret with which the system's processes authenticate to each other.
	PeerKey string
	// OperatorHashes maps an operator's name to the SHA-256 sum of their access token, in hexadecimal.
	OperatorHashes map[string]string
	// DataDir is the path of the folder with the durable state.
	DataDir string
	// LedgerGroups is the number of Raft groups over which the call ledger is partitioned; below 1 counts as 1.
	LedgerGroups int
	// Tick is the time between two ticks of Raft's logical clock; zero means 100 ms.
	Tick time.Duration
	// InstanceList is the URL of the platform's instance list; empty means that there is none.
	InstanceList string
	// WeightStoreRate is the throughput of the store of model weights in bytes per second, to which loads of weights
	// onto engines are limited; zero means that there is no limit.
	WeightStoreRate float64
	// MinRouters is the number of instances that may run a router; each account limit is divided by at least this
	// number.
	MinRouters int
	// Resources are what the process may use.
	Resources intake.Resources
	Clock     clock.Clock
	Log       *zap.Logger
	Metrics   *metric.Scope

	folder *store.Folder
	// hasEarlierState is set if the data folder also holds damaged Raft state under a disk id that the folder had
	// earlier.
	hasEarlierState bool
	// peers are the links to the other control processes by their names.
	peers map[string]*wire.Peer
	// groups are this process's members of the Raft groups by group name; config is the state machine of ConfigGroup,
	// and ledgers are those of the call ledger by partition.
	groups  map[string]*raftGroup
	config  *configMachine
	ledgers []*ledgerMachine
	feeds   routerFeeds
	routers routerRegistry
	orders  orderDispatcher
	guard   serve.PanicGuard
	// intake bounds what clients take at all ports.
	intake serve.Intake
	// ctx ends with Run; requests of routers and other control processes that wait for a quorum use it.
	ctx             context.Context
	pendingRequests sync.WaitGroup // counts the running calls of runRequest
	started         atomic.Bool    // set once initGroups has returned
}

// Run runs the control process until ctx ends. It returns an error if the durable state cannot be used, a listener
// cannot be opened or a server fails.
func (c *Control) Run(ctx context.Context) error {
	// The loops run on a context of their own, so that loopStop can still transfer leadership when the caller's ends.
	stopCtx := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopCtx))
	defer cancel()
	c.ctx = ctx
	if err := c.openDataFolder(); err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer func() { _ = c.folder.Close() }()
	operatorListener, peerListener, err := serve.ListenPair(c.Listen, c.PeerListen)
	if err != nil {
		return fmt.Errorf("open listeners: %w", err)
	}
	c.Listen, c.PeerListen = operatorListener.Addr().String(), peerListener.Addr().String()
	c.guard = serve.PanicGuard{Log: c.Log}
	if c.Metrics != nil {
		c.guard.Metrics = c.Metrics
	}
	c.intake.Resources, c.intake.RefusalBody, c.intake.Log, c.intake.Metrics = c.Resources, headRefusalBody, c.Log, c.guard.Metrics
	c.initGroups(ctx)
	c.started.Store(true)
	c.Log.Info("control-started", zap.String("control", c.Name), zap.String("listen", c.Listen),
		zap.String("peer-listen", c.PeerListen), zap.String("disk", c.folder.DiskID()))
	var g run.Group
	serve.AddLoop(stopCtx, &g, c.loopStop)
	requests, endRequests := context.WithCancel(ctx)
	defer endRequests()
	operators := newHTTPServer(c.guard.Handler(c.apiHandler()))
	operators.BaseContext = func(net.Listener) context.Context { return requests }
	c.intake.AddHTTPServer(&g, operators, serve.LimitListener(operatorListener, c.Resources.Connections(operatorShare, maxOperatorConnections)), serve.EndRequests(serve.ShutdownTimeout, endRequests))
	c.intake.AddHTTPServer(&g, newHTTPServer(c.peerHandler()), serve.LimitListener(peerListener, c.Resources.Connections(peerShare, maxPeerConnections)), nil)
	for _, m := range c.groups {
		serve.AddLoop(ctx, &g, m.loop)
		serve.AddLoop(ctx, &g, m.loopJoin)
	}
	serve.AddLoop(ctx, &g, c.feeds.loop)
	serve.AddLoop(ctx, &g, c.routers.loop)
	serve.AddLoop(ctx, &g, c.loopSweepLedger)
	serve.AddLoop(ctx, &g, c.loopDiscardEarlierState)
	serve.AddLoop(ctx, &g, c.orders.loop)
	serve.AddLoop(ctx, &g, c.loopInstanceList)
	err = g.Run()
	cancel()
	c.pendingRequests.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// initGroups creates this process's members of the Raft groups and the links to the other control processes, and
// starts to dial the latter.
func (c *Control) initGroups(ctx context.Context) {
	c.peers = map[string]*wire.Peer{}
	for name, address := range c.Members {
		if name == c.Name {
			continue
		}
		p := &wire.Peer{SelfName: c.Name, Address: address, Key: c.PeerKey, Handler: c, Log: c.Log}
		c.peers[name] = p
	}
	c.groups = map[string]*raftGroup{}
	c.config = &configMachine{control: c}
	c.groups[ConfigGroup] = c.newGroup(ConfigGroup, c.config)
	for i := range max(1, c.LedgerGroups) {
		m := &ledgerMachine{}
		c.ledgers = append(c.ledgers, m)
		c.groups[LedgerGroup(i)] = c.newGroup(LedgerGroup(i), m)
	}
	c.feeds.initFeeds(c)
	c.routers.initRegistry(c)
	c.orders.initPlanner(c)
	for _, p := range c.peers {
		p.Start(ctx)
	}
}

// loopStop waits until ctx ends, stops the orders to engines and then transfers the leadership of the Raft groups that this process
// leads.
func (c *Control) loopStop(ctx context.Context) error {
	<-ctx.Done()
	c.orders.stop()
	c.transferLeadership()
	return ctx.Err()
}
