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
	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/metric"
	"wasabiweir/io/serve"
	"wasabiweir/io/store"
	"wasabiweir/io/wire"
)

// Lister reads the platform's list of endpoints.
type Lister interface {
	Read(ctx context.Context) ([]place.Endpoint, error)
}

// Keeper is one keeper process; its exported fields are set before Run.
type Keeper struct {
	// Peer is the address for the system's own traffic, under which the other keepers know this one.
	Peer string
	// Seeds are the peer addresses of some keepers, this one perhaps included.
	Seeds func() []string
	// First says that the whole system starts for the first time, so that the seeds found the group.
	First bool
	// PeerKey is the shared key of the system's processes.
	PeerKey string
	DataDir string
	Decode  state.Decoder
	List    Lister
	// Servers are further listeners with their handlers, such as the operators' one.
	Servers []Server
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *metric.Scope

	folder  *store.Folder
	machine machine
	group   group
	peers   peers
	feeds   feeds
	roster  roster
	lists   lists
	ctx     context.Context
	work    sync.WaitGroup
}

// Server is a handler with its address.
type Server struct {
	Address string
	Handler http.Handler
}

const (
	// headerTimeout bounds the time in which a client sends its headers.
	headerTimeout = 5 * time.Second
	// idleTimeout ends a connection without a request; callers of the directory ask every few seconds.
	idleTimeout = 30 * time.Second
	// clientConnections and peerConnections bound the connections of each listener, below the descriptors of a process.
	clientConnections = 1500
	peerConnections   = 1000
)

// Run serves until ctx ends; it returns an error when a listener can not be opened.
func (k *Keeper) Run(ctx context.Context) error {
	stop := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	k.ctx = ctx
	k.machine.keeper, k.group.keeper, k.peers.keeper, k.lists.keeper = k, k, k, k
	k.feeds.prepare(k)
	k.roster.prepare(k)
	k.group.prepare()
	k.peers.prepare(ctx)
	var g run.Group
	serve.Loop(stop, &g, k.loopStop)
	mux := http.NewServeMux()
	mux.Handle(wire.Path, &wire.Server{Key: k.PeerKey, Accepted: k.accepted, Log: k.Log})
	if err := k.listen(&g, Server{Address: k.Peer, Handler: mux}, peerConnections); err != nil {
		return err
	}
	for _, s := range k.Servers {
		if err := k.listen(&g, s, clientConnections); err != nil {
			return err
		}
	}
	k.Log.Info("keeper-started", zap.String("peer", k.Peer), zap.Strings("seeds", k.Seeds()), zap.Bool("first", k.First))
	serve.Loop(ctx, &g, k.group.loop)
	serve.Loop(ctx, &g, k.group.loopJoin)
	serve.Loop(ctx, &g, k.group.loopTidy)
	serve.Loop(ctx, &g, k.peers.loop)
	serve.Loop(ctx, &g, k.feeds.loop)
	serve.Loop(ctx, &g, k.roster.loop)
	serve.Loop(ctx, &g, k.lists.loop)
	err := g.Run()
	cancel()
	k.work.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	k.Log.Info("keeper-stopped", zap.Error(err))
	return err
}

func (k *Keeper) listen(g *run.Group, s Server, connections int) error {
	l, err := serve.ListenOne(s.Address)
	if err != nil {
		return fmt.Errorf("open a listener: %w", err)
	}
	server := &http.Server{
		Handler: s.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		// Links are connections that the server has handed over and does not close; they end with the context.
		BaseContext: func(net.Listener) context.Context { return k.ctx },
	}
	serve.HTTP(g, server, serve.Limit(l, connections), func() bool { return true })
	return nil
}

// loopStop waits for a planned stop and hands the leadership over.
func (k *Keeper) loopStop(ctx context.Context) error {
	<-ctx.Done()
	k.group.handOver()
	return ctx.Err()
}
