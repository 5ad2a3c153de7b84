package keeper

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/member"
	"wasabiweir/core/reach"
	"wasabiweir/io/build"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// rosterCheckInterval is the time between two searches for disconnected relays.
	rosterCheckInterval = 200 * time.Millisecond
	// relayLifetime is how long after its last report a relay's address is given to callers: the time of three reports.
	// A relay whose link closes is removed at once.
	relayLifetime = 3500 * time.Millisecond
	// leaveTime is how long after this keeper had no leader relays may still leave it: they wait for a confirmation, and their
	// closed links are found at the next search.
	leaveTime = readTimeout + rosterCheckInterval
)

// relayRoster tracks which relays callers may use, by the relays' reports. Each keeper forwards the reports of its
// connected relays to the other keepers.
type relayRoster struct {
	keeper *Keeper

	mu    sync.Mutex
	table member.RouterTable
	// links holds the last report of each relay that is connected to this keeper.
	links map[*wire.Link]wire.Report
	// builds holds the build of each relay's last report, by the report's name, and loggedBuilds the number of live relays of each build
	// that was logged last.
	builds       map[string]string
	loggedBuilds map[string]int
	// leaderlessAt is when a search for disconnected relays last found this keeper without a leader.
	leaderlessAt time.Time
}

// initRoster initialises a keeper's roster of the relays that callers may use.
func (s *relayRoster) initRoster(k *Keeper) {
	s.keeper = k
	s.table.LiveFor = relayLifetime
	s.links = map[*wire.Link]wire.Report{}
	s.builds = map[string]string{}
}

// recordReport stores the report of a relay that is connected to this keeper and forwards it to the other keepers.
func (s *relayRoster) recordReport(l *wire.Link, r wire.Report) {
	s.mu.Lock()
	before, known := s.links[l]
	s.links[l] = r
	updated := s.addReport(&r)
	s.mu.Unlock()
	if updated {
		s.keeper.retries.addReport(&r)
	}
	if !known || before.Draining != r.Draining || before.Fresh != r.Fresh || before.CutOff != r.CutOff {
		s.keeper.Log.Info("relay-reported", zap.String("relay", r.Name), zap.String("address", r.Address),
			zap.Bool("fresh", r.Fresh), zap.Bool("draining", r.Draining), zap.Bool("cut-off", r.CutOff), zap.Uint64("version", r.Revision),
			zap.String("build", buildName(&r)))
	}
	if updated {
		s.keeper.peers.broadcast(wire.KindReports, []wire.Report{r})
	}
}

// addReport adds a relay's report to the table and returns true if it is the newest one. The caller must hold mu.
func (s *relayRoster) addReport(r *wire.Report) bool {
	if !s.table.AddReport(r.MemberReport(), s.keeper.Clock.Now()) {
		return false
	}
	s.builds[r.Name] = buildName(r)
	return true
}

// buildName returns the build of the relay that a report tells. Those of versions that do not tell it, or that a keeper of such a version
// has passed on, are unknown.
func buildName(r *wire.Report) string { return cmp.Or(r.Build, build.Unknown) }

// logBuilds logs how many live relays run each build, when that changes.
func (s *relayRoster) logBuilds() {
	s.mu.Lock()
	counts, known := map[string]int{}, map[string]string{}
	for _, i := range s.table.Instances(s.keeper.Clock.Now()) {
		name := i.Report.Name
		known[name] = s.builds[name]
		if i.Live {
			counts[known[name]]++
		}
	}
	s.builds = known
	changed := !maps.Equal(counts, s.loggedBuilds)
	s.loggedBuilds = counts
	s.mu.Unlock()
	if changed {
		var list []string
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			list = append(list, fmt.Sprintf("%s:%d", name, counts[name]))
		}
		own := build.Current().Name()
		mixed := len(counts) > 1 || len(counts) == 1 && counts[own] == 0
		s.keeper.Log.Info("relay-builds", zap.Bool("mixed", mixed), zap.Strings("relays", list), zap.String("own", own))
	}
}

// mergeForwardedReports stores relays' reports that another keeper forwarded.
func (s *relayRoster) mergeForwardedReports(list []wire.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		if s.addReport(&list[i]) {
			s.keeper.retries.addReport(&list[i])
		}
	}
}

// loop removes disconnected relays and sends the addresses of keepers and relays to the connected relays.
func (s *relayRoster) loop(ctx context.Context) error {
	for serve.Sleep(ctx, rosterCheckInterval) {
		s.dropDisconnectedRelays()
		s.logBuilds()
		s.publishKeepers()
	}
	return ctx.Err()
}

// dropDisconnectedRelays removes relays whose link to this keeper closed until they report again over another link. The
// link of a killed process closes at once, so callers need not wait for relayLifetime to pass. But relays also leave a keeper
// without a leader, which can't confirm the configuration, and may find no other for a while; then only relayLifetime counts.
func (s *relayRoster) dropDisconnectedRelays() {
	var closed []*wire.Link
	s.mu.Lock()
	now := s.keeper.Clock.Now()
	if s.keeper.group.status().Leader.IsZero() {
		s.leaderlessAt = now
	}
	mayLeave := now.Sub(s.leaderlessAt) <= leaveTime
	for l := range s.links {
		select {
		case <-l.Done():
			if mayLeave {
				s.keeper.Log.Info("relay-left", zap.String("relay", l.Name))
				delete(s.links, l)
				continue
			}
			closed = append(closed, l)
		default:
		}
	}
	s.mu.Unlock()
	for _, l := range closed {
		s.markRelayLost(l)
	}
}

// markRelayLost marks the relay of a closed link as draining, so that callers no longer get its address. A later report
// of that relay, over any link, replaces the mark; one that already arrived through another keeper takes precedence.
func (s *relayRoster) markRelayLost(l *wire.Link) {
	s.mu.Lock()
	r, ok := s.links[l]
	delete(s.links, l)
	r.SentMS, r.Draining = r.SentMS+1, true
	lost := ok && s.table.AddReport(r.MemberReport(), s.keeper.Clock.Now())
	s.mu.Unlock()
	if lost {
		s.keeper.Log.Info("relay-lost", zap.String("relay", r.Name))
		s.keeper.peers.broadcast(wire.KindReports, []wire.Report{r})
	}
}

// publishKeepers sends the addresses of all keepers and live relays to the connected relays.
func (s *relayRoster) publishKeepers() {
	current := wire.Keepers{Addresses: s.keeper.group.memberAddresses()}
	slices.Sort(current.Addresses)
	current.Relays, current.Draining, current.Carriers = s.liveRelays()
	s.keeper.feeds.sendKeepers(current)
}

// liveRelays returns the sorted addresses of the live relays that callers may use, of those that are draining, and of those that can carry
// connections for others.
func (s *relayRoster) liveRelays() (usable, draining []string, carriers []reach.Carrier) {
	s.mu.Lock()
	for _, i := range s.table.Instances(s.keeper.Clock.Now()) {
		switch {
		case !i.Live:
		case i.Leaving:
			draining = append(draining, i.Report.Address)
		default:
			usable = append(usable, i.Report.Address)
			if i.Report.Peer != "" && !i.Report.CutOff {
				carriers = append(carriers, reach.Carrier{Address: i.Report.Peer, Domain: i.Report.Domain})
			}
		}
	}
	s.mu.Unlock()
	slices.Sort(usable)
	slices.Sort(draining)
	slices.SortFunc(carriers, func(a, b reach.Carrier) int { return cmp.Compare(a.Address, b.Address) })
	return slices.Compact(usable), slices.Compact(draining), slices.Compact(carriers)
}

// RelayAddresses returns the addresses of the relays that callers may use now.
func (k *Keeper) RelayAddresses() []string {
	k.roster.mu.Lock()
	list := k.roster.table.Addresses(k.Clock.Now())
	k.roster.mu.Unlock()
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.Address)
	}
	return out
}

// equalKeepers reports whether two messages list the same keepers and relays.
func equalKeepers(a, b wire.Keepers) bool {
	return slices.Equal(a.Relays, b.Relays) && slices.Equal(a.Draining, b.Draining) && slices.Equal(a.Addresses, b.Addresses) &&
		slices.Equal(a.Carriers, b.Carriers)
}

// memberAddresses returns the peer addresses of the Raft group's members.
func (g *raftGroup) memberAddresses() []string {
	var names []string
	for _, id := range g.status().Members.All() {
		names = append(names, id.Name)
	}
	return names
}
