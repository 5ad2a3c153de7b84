package router

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/intake"
	"wasabiweir/io/engine"
	"wasabiweir/io/guard"
	"wasabiweir/io/metric"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

// Default values of Router fields.
const (
	// DefaultOrphanGrace is the default of Router.OrphanGrace.
	DefaultOrphanGrace = 30 * time.Second
	// DefaultAddressTTL is the default of Router.AddressTTL.
	DefaultAddressTTL = 10 * time.Second
	// DefaultReadTimeout is the default of Router.ReadTimeout.
	DefaultReadTimeout = 30 * time.Second
	// DefaultMaxConnections is the default of Router.MaxConnections: about thirty times the number of streams of one
	// router in a system of the intended size.
	DefaultMaxConnections = 16384
)

const (
	// maxPeerConnections is the largest number of connections from routers and control processes; a system of the intended
	// size has 320 of them, besides those that a router carries.
	maxPeerConnections = 1024 + tunnel.DefaultMaxConnections
	// callerShare, peerShare and carriedShare are the parts, in hundredths, of all connections that those of callers and peers may
	// take, and those to endpoints that the router carries. A request that is being served takes as many again to endpoints.
	callerShare, peerShare, carriedShare = 36, 15, 5
)

// Router serves callers on one instance: it routes their requests to engines and services, and continues generations
// when an engine or a router fails. The exported fields must be set before Run.
type Router struct {
	// Name identifies the instance; it must be unique in the system.
	Name string
	// Domain is the instance's failure domain.
	Domain string
	// Listen is the address that callers connect to, and PeerListen the one for other routers and control processes.
	Listen     string
	PeerListen string
	// Address and PeerAddress are the addresses under which others reach Listen and PeerListen. They are needed if
	// those are not reachable as they are, such as wildcard addresses; empty means the same address.
	Address     string
	PeerAddress string
	// Controls are the peer addresses of the control processes.
	Controls []string
	// PeerKey is the secret that routers and control processes share to authenticate to each other.
	PeerKey string
	// DataDir is the directory where the configuration is stored; empty means that it is not stored.
	DataDir string
	// OrphanGrace is how long a generation continues after its last caller has disconnected.
	OrphanGrace time.Duration
	// AddressTTL is how long callers may use the result of GET /v1/addresses.
	AddressTTL time.Duration
	// ReadTimeout is the longest time in which a caller must send a whole request.
	ReadTimeout time.Duration
	// MaxConnections is the largest number of open connections from callers.
	MaxConnections int
	// LedgerGroups is the number of Raft groups across which the control processes split the call ledger.
	LedgerGroups int
	// Resources are what the process may use.
	Resources intake.Resources
	Clock     clock.Clock
	Log       *zap.Logger
	Metrics   *metric.Scope
	// DialDirect opens a connection to an endpoint; nil means with the operating system.
	DialDirect tunnel.DialFunc

	// incarnation is higher after each restart of the process.
	incarnation uint64
	// view is the configuration in force, or nil before the first one.
	view     atomic.Pointer[ConfigView]
	draining atomic.Bool
	// drainStart is when this router began to drain, in Unix nanoseconds, or zero.
	drainStart atomic.Int64
	// drainComplete is true once a drain has ended because nothing was left to wait for.
	drainComplete atomic.Bool
	feed          feed
	dispatcher    dispatcher
	peers         peers
	journal       journal
	sessions      sessionTable
	calls         callSender
	guard         serve.PanicGuard
	// intake bounds what clients take at all ports.
	intake serve.Intake
	// dialer opens connections to endpoints, if necessary through another router, and engines holds those to engines.
	dialer  tunnel.Dialer
	engines engine.Transport
	// carried passes on the connections of other routers.
	carried  tunnel.Server
	prefixes prefixTracker
	// crashes keeps prompts that crash engines away from them.
	crashes guard.Guard
	// ctx ends, by abort at the latest, when the router stops.
	ctx   context.Context
	abort context.CancelFunc
	// nonce makes the epochs of the generations that this router owns unique.
	nonce atomic.Uint64
	// openRequests counts the requests of callers in flight.
	openRequests atomic.Int64
}

// Run serves callers and other routers until ctx ends or a drain is complete; in both cases it returns nil.
func (r *Router) Run(ctx context.Context) error {
	callers, peers, err := serve.ListenPair(r.Listen, r.PeerListen)
	if err != nil {
		return fmt.Errorf("open listeners: %w", err)
	}
	r.Listen, r.PeerListen = callers.Addr().String(), peers.Addr().String()
	r.Address, r.PeerAddress = cmp.Or(r.Address, r.Listen), cmp.Or(r.PeerAddress, r.PeerListen)
	ctx = r.initRequests(ctx)
	defer r.abort()
	if err := r.initComponents(ctx); err != nil {
		return err
	}
	defer r.dialer.Close()
	r.Log.Info("router-started", zap.String("router", r.Name), zap.String("listen", r.Listen),
		zap.String("peer-listen", r.PeerListen), zap.Uint64("incarnation", r.incarnation))
	var g run.Group
	r.intake.AddHTTPServer(&g, r.newCallerServer(r.guard.Handler(r.callerHandler())), serve.LimitListener(callers, r.Resources.Connections(callerShare, r.MaxConnections)), r.answerTime)
	peerServer := r.newPeerServer()
	peerServer.BaseContext = func(net.Listener) context.Context { return r.ctx }
	r.intake.AddHTTPServer(&g, peerServer, serve.LimitListener(peers, r.Resources.Connections(peerShare, maxPeerConnections)), nil)
	loops := []func(context.Context) error{
		r.loop, r.feed.loop, r.dispatcher.loop, r.peers.loop, r.journal.loop, r.loopPollEngines, r.prefixes.loop,
	}
	for _, loop := range loops {
		serve.AddLoop(ctx, &g, loop)
	}
	err = g.Run()
	if errors.Is(err, context.Canceled) || errors.Is(err, errDrained) {
		return nil
	}
	return err
}
