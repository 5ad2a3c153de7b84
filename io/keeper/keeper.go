package keeper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/intake"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/core/state"
	"wasabiweir/io/metric"
	"wasabiweir/io/serve"
	"wasabiweir/io/store"
	"wasabiweir/io/tunnel"
	"wasabiweir/io/wire"
)

// EndpointLister reads the platform's list of endpoints.
type EndpointLister interface {
	// Read returns the current list of endpoints.
	Read(ctx context.Context) ([]place.Endpoint, error)
}

// Keeper is one keeper process; its exported fields are set before Run.
type Keeper struct {
	// PeerAddress is the listen address for other processes of the system, and this keeper's name in the Raft group.
	PeerAddress string
	// Seeds returns the peer addresses of some keepers, which may include this one.
	Seeds func() []string
	// Bootstrap is true on the first start of the whole system, when the seeds form the Raft group.
	Bootstrap bool
	// PeerKey is the key that all processes of the system share to authenticate to each other.
	PeerKey string
	// DataDir is the path of the folder for durable data.
	DataDir string
	// Resources are the memory and the descriptors that this process may use, and DiskBytes is its disk in bytes. The bounds of
	// the log follow from the memory and the disk: if DiskBytes is zero, it is the size of the file system that holds DataDir; if
	// the memory is not known, only the disk bounds the log.
	Resources intake.Resources
	DiskBytes int64
	// Disk is the file system on which the files in DataDir are written; nil means that of the operating system, limited to
	// DiskBytes.
	Disk store.Disk
	// Decode parses a configuration document.
	Decode state.Decoder
	// EndpointLister reads the platform's list of endpoints.
	EndpointLister EndpointLister
	// RetryLimit is the limit on extra attempts at each service, of which this keeper grants a part while it leads.
	RetryLimit place.RetryLimit
	// Servers are further HTTP servers that the keeper runs, such as the one for operators.
	Servers []Server
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *metric.Scope

	folder  *store.Folder
	machine stateMachine
	group   raftGroup
	peers   keeperPeers
	feeds   relayFeeds
	roster  relayRoster
	lists   endpointLists
	retries retryGrants
	// crashes and limits pass what one relay has learnt on to the others.
	crashes   *exchange[poison.Crash]
	limits    *exchange[place.LimitNotice]
	crashFile crashFile
	// origins knows the software versions at which streams began.
	origins originExchange
	// carrier passes on connections of relays.
	carrier    tunnel.Server
	originFile originFile
	guard      serve.PanicGuard
	// intake bounds what clients take at all ports.
	intake serve.Intake
	// ctx ends when the process stops, after the transfer of the leadership.
	ctx context.Context
	// operators ends, by endOperators, when the operators' requests that still run must be answered because the process stops.
	operators    context.Context
	endOperators context.CancelFunc
	// requests counts the requests of other processes of the system that are being handled.
	requests sync.WaitGroup
}

// Server is an HTTP handler and the address on which it is served.
type Server struct {
	Address string
	Handler http.Handler
}

const (
	// headerTimeout bounds the time in which a client of the keeper must send its request header.
	headerTimeout = 5 * time.Second
	// idleTimeout is when an idle client connection is closed; directory clients send a request every few seconds.
	idleTimeout = 30 * time.Second
	// requestTimeout bounds the time in which a client must send a whole request; a configuration may have some
	// megabytes. maxHeaderBytes bounds a request header in bytes.
	requestTimeout = 20 * time.Second
	maxHeaderBytes = 64 << 10
	// maxClientConnections and maxPeerConnections bound the connections of each listener, and clientShare and peerShare are their
	// parts, in hundredths, of all connections; the keeper has up to three listeners for clients.
	maxClientConnections, clientShare = 1500, 22
	maxPeerConnections, peerShare     = 1000, 25
)

// Run runs the keeper until ctx ends; it returns an error when a listener can not be opened.
func (k *Keeper) Run(ctx context.Context) error {
	stop := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	k.ctx = ctx
	k.operators, k.endOperators = context.WithCancel(ctx)
	defer k.endOperators()
	k.guard = serve.PanicGuard{Log: k.Log}
	if k.Metrics != nil {
		k.guard.Metrics = k.Metrics
	}
	k.intake.Resources, k.intake.Log, k.intake.Metrics = k.Resources, k.Log, k.guard.Metrics
	k.machine.keeper, k.group.keeper, k.peers.keeper, k.lists.keeper = k, k, k, k
	k.feeds.initFeeds(k)
	k.roster.initRoster(k)
	k.retries.initRetries(k)
	k.crashes = newExchange[poison.Crash](k, wire.KindCrashes, &poison.Table{}, crashResendInterval)
	k.limits = newExchange[place.LimitNotice](k, wire.KindLimits, &place.LimitTable{}, limitResendInterval)
	k.origins.initOrigins(k)
	k.originFile.keeper = k
	k.originFile.load()
	k.crashFile.keeper = k
	k.crashFile.load()
	k.group.initReplica()
	k.peers.dialSeeds(ctx)
	var g run.Group
	serve.AddLoop(stop, &g, k.loopStop)
	k.initCarrier(stop)
	mux := http.NewServeMux()
	mux.Handle(wire.Path, &wire.Server{Key: k.PeerKey, HandlerFor: k.handlerFor, Log: k.Log})
	if err := k.listen(ctx, &g, Server{Address: k.PeerAddress, Handler: k.carrier.Or(mux)}, k.Resources.Connections(peerShare, maxPeerConnections)); err != nil {
		return err
	}
	for _, s := range k.Servers {
		if err := k.listen(k.operators, &g, s, k.Resources.Connections(clientShare, maxClientConnections)); err != nil {
			return err
		}
	}
	k.Log.Info("keeper-started", zap.String("peer", k.PeerAddress), zap.Strings("seeds", k.Seeds()), zap.Bool("first", k.Bootstrap))
	serve.AddLoop(ctx, &g, k.group.loop)
	serve.AddLoop(ctx, &g, k.group.loopJoin)
	serve.AddLoop(ctx, &g, k.group.loopRemoveUnreachable)
	serve.AddLoop(ctx, &g, k.peers.loop)
	serve.AddLoop(ctx, &g, k.feeds.loop)
	serve.AddLoop(ctx, &g, k.roster.loop)
	serve.AddLoop(ctx, &g, k.lists.loop)
	serve.AddLoop(ctx, &g, k.crashes.loop)
	serve.AddLoop(ctx, &g, k.limits.loop)
	serve.AddLoop(ctx, &g, k.origins.loop)
	serve.AddLoop(ctx, &g, k.originFile.loop)
	serve.AddLoop(ctx, &g, k.crashFile.loop)
	err := g.Run()
	cancel()
	k.requests.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	k.Log.Info("keeper-stopped", zap.Error(err))
	return err
}

// maxCarriedConnections is the number of connections to endpoints that a keeper passes on for relays. It bounds the processor time that
// this takes from the control of the system; carriedShare is their part, in hundredths, of all connections.
const maxCarriedConnections, carriedShare = 100, 5

const (
	// maxCarryTime bounds the time for which a stopping keeper waits until the connections that it passes on have ended.
	maxCarryTime = 2 * time.Second
	// carryCheckInterval is the time between two checks whether they have.
	carryCheckInterval = 50 * time.Millisecond
)

// initCarrier initialises the server that carries connections to endpoints for relays that nobody else can help, until ctx ends.
func (k *Keeper) initCarrier(ctx context.Context) {
	d := &tunnel.Dialer{Key: k.PeerKey, Clock: k.Clock, Log: k.Log}
	if k.Metrics != nil {
		d.Metrics = k.Metrics
	}
	d.Init()
	k.carrier.Dialer, k.carrier.MaxConnections = d, int64(k.Resources.Connections(carriedShare, maxCarriedConnections))
	k.carrier.IsListed, k.carrier.IsClosed = k.lists.hasAddress, func() bool { return ctx.Err() != nil }
}

// listen opens a listener of the keeper with a limit on its connections and adds its HTTP server, whose requests end with ctx, to
// the run group. Links between processes are hijacked connections, which the server does not close; they end with ctx too.
func (k *Keeper) listen(ctx context.Context, g *run.Group, s Server, connections int) error {
	l, err := serve.Listen(s.Address)
	if err != nil {
		return fmt.Errorf("open a listener: %w", err)
	}
	server := &http.Server{
		Handler: k.guard.Handler(s.Handler), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout,
		IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	k.intake.AddHTTPServer(g, server, serve.LimitListener(l, connections), serve.EndRequests(serve.ShutdownTimeout, k.endOperators))
	return nil
}

// loopStop waits for the stop signal and then transfers the leadership of the Raft group to another keeper. It returns when the connections
// that the keeper passes on have ended, or after maxCarryTime.
func (k *Keeper) loopStop(ctx context.Context) error {
	<-ctx.Done()
	k.group.transferLeadership()
	wait, cancel := context.WithTimeout(k.ctx, maxCarryTime)
	defer cancel()
	for k.carrier.Open() > 0 && serve.Sleep(wait, carryCheckInterval) {
	}
	return ctx.Err()
}
