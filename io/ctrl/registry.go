package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"wasabiweir/core/member"
	"wasabiweir/core/object"
	"wasabiweir/io/wire"
)

const (
	// reportExchangeInterval is the time between two exchanges of router reports among the control processes.
	reportExchangeInterval = 500 * time.Millisecond
	// registryWarmup is the time after the start in which no list of routers is sent, because the other control
	// processes are still connecting (they redial at least once a second) and sending the reports of their routers.
	registryWarmup = 2 * time.Second
	// requestTimeout bounds a request of a router or control process, and a sweep of the call ledger, which may wait
	// for a quorum.
	requestTimeout = 10 * time.Second
)

// routerRegistry holds the latest status report of each router. Each control process forwards the reports of the
// routers that are connected to it to the other control processes, so that every one can tell which routers have
// confirmed a revision of the configuration.
type routerRegistry struct {
	control *Control
	started time.Time

	mu    sync.Mutex
	table member.RouterTable
	// hasLeavingInstances is set if the platform's instance list has an instance that is leaving.
	hasLeavingInstances bool
	// reports are the newest status reports that the table has accepted, by router name.
	reports map[string]*routerReport
	// lastSent is the list of live routers that was last sent to the routers.
	lastSent wire.Routers
	shares   accountShareDivider
}

// routerReport is the newest status report of a router, with how and when this process received it.
type routerReport struct {
	wire.Report
	// receivedAt is when the router's status report reached the control process to which the router is connected.
	receivedAt time.Time
	// direct is set if the router sent the report to this process, not to another one that forwarded it.
	direct bool
	// forwarded is set once the report was sent to the other control processes.
	forwarded bool
}

// initRegistry initialises the registry, which has no report of a router yet.
func (s *routerRegistry) initRegistry(c *Control) {
	s.control = c
	s.started = c.Clock.Now()
	s.reports = map[string]*routerReport{}
	s.shares.setMinRouters(c)
}

// recordReport records a status report that a router sent to this process.
func (s *routerRegistry) recordReport(r wire.Report) {
	r.AgeMS = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeReport(r, s.control.Clock.Now(), true)
}

// mergeReports records the status reports of routers that another control process forwarded.
func (s *routerRegistry) mergeReports(list []wire.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.control.Clock.Now()
	for _, r := range list {
		s.storeReport(r, now.Add(-time.Duration(r.AgeMS)*time.Millisecond), false)
	}
}

// storeReport stores a router's status report unless a newer one is known. The caller holds mu.
func (s *routerRegistry) storeReport(r wire.Report, receivedAt time.Time, direct bool) {
	m := r.MemberReport()
	if !s.table.AddReport(m, receivedAt) {
		return
	}
	s.reports[r.Name] = &routerReport{Report: r, receivedAt: receivedAt, direct: direct}
	s.shares.divider.AddReport(m, receivedAt)
}

// liveReports returns the newest status reports of the routers that have reported within member.DefaultLiveFor, in the
// order of their names.
func (s *routerRegistry) liveReports() []wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.filterLiveReports(s.control.Clock.Now(), func(*routerReport) bool { return true })
}

// filterLiveReports returns the status reports of live routers for which keep is true, with their age, in the order of
// the routers' names. The caller holds mu.
func (s *routerRegistry) filterLiveReports(now time.Time, keep func(*routerReport) bool) []wire.Report {
	var list []wire.Report
	instances := s.table.Instances(now)
	for i := range instances {
		r := s.reports[instances[i].Report.Name]
		if !instances[i].Live || !keep(r) {
			continue
		}
		out := r.Report
		out.AgeMS = now.Sub(r.receivedAt).Milliseconds()
		out.Draining = instances[i].Leaving
		list = append(list, out)
	}
	return list
}

// unconfirmedRouters returns the routers that may run and have confirmed neither the revision of the configuration
// with its digest nor a later one.
func (s *routerRegistry) unconfirmedRouters(revision uint64, digest object.Digest) []member.UnconfirmedRouter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.UnconfirmedRouters(revision, digest, s.control.Clock.Now())
}

// loop forwards the routers' status reports to the other control processes, and sends the routers the list of live
// routers and their shares of the account limits, every reportExchangeInterval until ctx ends.
func (s *routerRegistry) loop(ctx context.Context) error {
	ticker := time.NewTicker(reportExchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.forwardReports()
			s.publishRouterList()
			s.distributeAccountShares()
		}
	}
}

// forwardReports sends the other control processes the status reports that routers sent to this one since the last
// call.
func (s *routerRegistry) forwardReports() {
	s.mu.Lock()
	now := s.control.Clock.Now()
	direct := s.filterLiveReports(now, func(r *routerReport) bool { return r.direct && !r.forwarded })
	for i := range direct {
		r := s.reports[direct[i].Name]
		r.forwarded = true
		direct[i].Draining = r.Draining
	}
	s.pruneReports(now)
	s.mu.Unlock()
	if len(direct) == 0 {
		return
	}
	for _, p := range s.control.peers {
		// An error is ignored, because the router's next report replaces a lost one.
		_ = p.Post(wire.KindReports, "", direct)
	}
}

// pruneReports deletes the status reports of routers that the table has dropped. The caller holds mu.
func (s *routerRegistry) pruneReports(now time.Time) {
	names := s.table.Names(now)
	for name := range s.reports {
		if !slices.Contains(names, name) {
			delete(s.reports, name)
		}
	}
}

// publishRouterList sends the list of live routers to the connected routers if the list differs from the one sent
// last, and otherwise to those that have not received it.
func (s *routerRegistry) publishRouterList() {
	// A process that has just started knows only the routers that connected first. With such a short list, routers
	// would have no other routers to hold copies of their journals and few addresses to give to callers. Until the
	// warm-up ends they keep the list of the control process that they were connected to before.
	if len(s.control.peers) > 0 && s.control.Clock.Now().Sub(s.started) < registryWarmup {
		return
	}
	list := s.liveReports()
	for i := range list {
		// Only the fields of a report that routers need of each other are sent, so that a change of other fields
		// causes no message.
		r := &list[i]
		*r = wire.Report{
			Name: r.Name, Incarnation: r.Incarnation, Address: r.Address, PeerAddress: r.PeerAddress,
			Domain: r.Domain, Fresh: r.Fresh, Draining: r.Draining, CutOff: r.CutOff,
		}
	}
	next := wire.Routers{Reports: list, Leaving: s.leavingEndpoints()}
	s.mu.Lock()
	same := slices.EqualFunc(next.Reports, s.lastSent.Reports, equalRouters) && slices.Equal(next.Leaving, s.lastSent.Leaving)
	s.lastSent = next
	s.mu.Unlock()
	s.control.feeds.sendRouterList(next, !same)
}

// leavingEndpoints returns the sorted names of the endpoints whose instances are leaving according to the platform's
// instance list.
func (s *routerRegistry) leavingEndpoints() []string {
	graph, _, _ := s.control.config.currentGraph()
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	if !s.hasLeavingInstances {
		return nil
	}
	for name, e := range graph.Endpoints {
		if s.table.IsLeaving(e.Address) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// equalRouters reports whether the fields that routers need of each other are equal in two status reports, apart from
// the failure domain.
func equalRouters(a, b wire.Report) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.PeerAddress == b.PeerAddress && a.Fresh == b.Fresh && a.Draining == b.Draining && a.CutOff == b.CutOff
}
