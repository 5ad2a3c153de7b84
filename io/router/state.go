package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/config"
	"wasabiweir/core/route"
	"wasabiweir/io/engine"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// drainCheckInterval is the interval at which the router checks whether a drain is complete.
	drainCheckInterval = 200 * time.Millisecond
	// pollInterval is the time between two reads of an engine's load and model list.
	pollInterval = time.Second
	// pollTimeout bounds each read of an engine's load, model list or cache events.
	pollTimeout = time.Second
)

// initComponents initialises the parts of the router and loads the stored configuration.
func (r *Router) initComponents(ctx context.Context) error {
	// The control process takes the status report with the higher incarnation for the newer one, so the incarnation
	// must rise with each restart of the router.
	r.incarnation = uint64(r.Clock.Now().UnixNano())
	r.guard = serve.PanicGuard{Log: r.Log, Metrics: r.Metrics}
	r.intake.Resources, r.intake.RefusalBody, r.intake.Log, r.intake.Metrics = r.Resources, headRefusalBody, r.Log, r.Metrics
	r.dispatcher.Clock, r.dispatcher.Metrics, r.dispatcher.Log = r.Clock, r.Metrics, r.Log
	r.dispatcher.table.Name = r.Name
	r.dispatcher.initTables()
	r.peers.initConnections(ctx, r)
	r.journal.initHolder(r)
	r.sessions.initSessions(ctx)
	r.calls.router = r
	r.prefixes.router = r
	r.initCrashes()
	r.initReach()
	return r.feed.initStoredConfig(r)
}

// statusReport returns the router's status for the control process, without the configuration's revision and digest.
func (r *Router) statusReport() wire.Report {
	return wire.Report{
		Name: r.Name, Incarnation: r.incarnation, Address: r.Address, PeerAddress: r.PeerAddress, Domain: r.Domain,
		Fresh: r.configFresh(), Draining: r.draining.Load(), InFlight: r.dispatcher.jobCount(), Demand: r.dispatcher.demandByAccount(r.view.Load()),
		Endpoints: r.dispatcher.slowEndpoints(), CutOff: r.dialer.IsCutOff(),
	}
}

// configFresh reports whether a control quorum has recently confirmed that the router's configuration is current.
func (r *Router) configFresh() bool { return r.feed.fresh.Load() }

// applyConfig puts the configuration that the follower holds in force, and reports whether its revision differs from
// the one before.
func (r *Router) applyConfig(f *config.Follower) bool {
	g := f.Graph()
	if g == nil {
		return false
	}
	revision, digest := f.Position()
	if old := r.view.Load(); old != nil && old.Revision == revision {
		return false
	}
	r.view.Store(newConfigView(revision, digest.String(), g))
	r.dispatcher.applyConfig(g)
	r.Log.Info("configuration-applied", zap.Uint64("revision", revision), zap.String("digest", digest.String()))
	return true
}

// applyRouterList updates the live routers and the leaving endpoints from the control process's list.
func (r *Router) applyRouterList(list wire.Routers) {
	r.dispatcher.setListedLeaving(list.Leaving)
	r.dispatcher.setRouterCount(len(list.Reports))
	r.peers.setLiveRouters(list.Reports)
}

// loop waits until ctx ends or a drain is complete.
func (r *Router) loop(ctx context.Context) error {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if r.drained() {
			r.drainComplete.Store(true)
			r.Log.Info("drain-complete")
			return errDrained
		}
	}
}

// addressesResponse is the JSON body of GET /v1/addresses.
type addressesResponse struct {
	Addresses []routerAddress `json:"addresses"`
	// TTLMS is how long the caller may use the addresses, in milliseconds.
	TTLMS int64 `json:"ttl-ms"`
}

// routerAddress is a router that accepts requests from callers.
type routerAddress struct {
	Address string `json:"address"`
	// Weight is always 1, since all routers are equal.
	Weight int `json:"weight"`
	// Domain is the router's failure domain.
	Domain string `json:"domain"`
}

// serveAddresses handles GET /v1/addresses: it returns the routers that accept requests, in random order.
func (r *Router) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	answer := addressesResponse{TTLMS: r.AddressTTL.Milliseconds(), Addresses: []routerAddress{}}
	list := r.peers.liveRouters()
	answer.appendMatching(list, func(o wire.Report) bool { return o.Fresh && !o.Draining })
	if len(answer.Addresses) == 0 {
		// If no router has a fresh configuration, the control processes are down, and routers continue with their
		// last one.
		answer.appendMatching(list, func(o wire.Report) bool { return !o.Draining })
	}
	if len(answer.Addresses) == 0 && !r.draining.Load() {
		answer.Addresses = append(answer.Addresses, routerAddress{Address: r.Address, Weight: 1, Domain: r.Domain})
	}
	rand.Shuffle(len(answer.Addresses), func(i, j int) {
		answer.Addresses[i], answer.Addresses[j] = answer.Addresses[j], answer.Addresses[i]
	})
	serve.WriteJSON(w, http.StatusOK, answer)
}

// appendMatching adds the addresses of the routers in the list for which keep returns true.
func (a *addressesResponse) appendMatching(list []wire.Report, keep func(wire.Report) bool) {
	for _, r := range list {
		if keep(r) {
			a.Addresses = append(a.Addresses, routerAddress{Address: r.Address, Weight: 1, Domain: r.Domain})
		}
	}
}

// loopPollEngines reads the load and the model list of every engine each pollInterval.
func (r *Router) loopPollEngines(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for name, address := range r.dispatcher.engineAddresses() {
			go r.runPollEngine(ctx, name, address)
		}
	}
}

// runPollEngine reads the load and the model list of one engine and passes them to the dispatcher.
func (r *Router) runPollEngine(ctx context.Context, name, address string) {
	defer r.guard.Recover("engine-poll")
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	client := engine.Client{Address: address, Transport: &r.engines}
	if load, err := client.Metrics(ctx); err == nil {
		r.dispatcher.setSoftware(name, load.Software)
		r.dispatcher.recordLoadReport(name, route.LoadReport{Running: load.Running, Waiting: load.Waiting, At: r.Clock.Now()})
	}
	models, err := client.Models(ctx)
	if err != nil {
		return
	}
	served := make([]string, 0, len(models))
	for _, m := range models {
		served = append(served, m.ID)
	}
	r.dispatcher.setServedModels(name, served)
}
