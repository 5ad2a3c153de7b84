package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/member"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// rosterInterval is the time between two looks for relays that were lost.
	rosterInterval = 200 * time.Millisecond
	// relayLiveFor is how long a relay without a report is handed out: three reports. One whose link ends is not.
	relayLiveFor = 3500 * time.Millisecond
)

// roster knows the relays. Each keeper forwards the reports of the relays that are connected to it.
type roster struct {
	keeper *Keeper

	mu    sync.Mutex
	table member.Table
	// links are the relays that are connected to this keeper.
	links map[*wire.Link]wire.Report
}

func (s *roster) prepare(k *Keeper) {
	s.keeper = k
	s.table.LiveFor = relayLiveFor
	s.links = map[*wire.Link]wire.Report{}
}

// own takes the report of a connected relay and forwards it.
func (s *roster) own(l *wire.Link, r wire.Report) {
	s.mu.Lock()
	before, known := s.links[l]
	s.links[l] = r
	fresh := s.table.Report(r.Member(), s.keeper.Clock.Now())
	s.mu.Unlock()
	if !known || before.Draining != r.Draining || before.Fresh != r.Fresh {
		s.keeper.Log.Info("relay-reported", zap.String("relay", r.Name), zap.String("address", r.Address),
			zap.Bool("fresh", r.Fresh), zap.Bool("draining", r.Draining), zap.Uint64("version", r.Revision))
	}
	if fresh {
		s.keeper.peers.post(wire.KindReports, []wire.Report{r})
	}
}

// merge takes reports that another keeper forwarded.
func (s *roster) merge(list []wire.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		s.table.Report(list[i].Member(), s.keeper.Clock.Now())
	}
}

// loop takes relays whose link ended out of the answers, and tells the connected ones of the keepers.
func (s *roster) loop(ctx context.Context) error {
	for serve.Pause(ctx, rosterInterval) {
		s.dropClosed()
		s.publish()
	}
	return ctx.Err()
}

// dropClosed takes relays whose link ended out of the answers, until they report again over another link: a process that
// was killed closes its link at once, and callers should not wait for the end of relayLiveFor.
func (s *roster) dropClosed() {
	var closed []*wire.Link
	s.mu.Lock()
	for l := range s.links {
		select {
		case <-l.Done():
			closed = append(closed, l)
		default:
		}
	}
	s.mu.Unlock()
	for _, l := range closed {
		s.lose(l)
	}
}

// lose reports the relay behind a link that ended as draining. Its next report, over any link, is newer; one that has
// arrived over another keeper already wins.
func (s *roster) lose(l *wire.Link) {
	s.mu.Lock()
	r, ok := s.links[l]
	delete(s.links, l)
	r.SentMS, r.Draining = r.SentMS+1, true
	lost := ok && s.table.Report(r.Member(), s.keeper.Clock.Now())
	s.mu.Unlock()
	if lost {
		s.keeper.Log.Info("relay-lost", zap.String("relay", r.Name))
		s.keeper.peers.post(wire.KindReports, []wire.Report{r})
	}
}

func (s *roster) publish() {
	now := wire.Keepers{Addresses: s.keeper.group.members()}
	slices.Sort(now.Addresses)
	s.mu.Lock()
	for _, i := range s.table.Instances(s.keeper.Clock.Now()) {
		if i.Live && !i.Leaving {
			now.Relays = append(now.Relays, i.Report.Address)
		}
	}
	s.mu.Unlock()
	slices.Sort(now.Relays)
	now.Relays = slices.Compact(now.Relays)
	s.keeper.feeds.sendKeepers(now)
}

// Addresses returns the addresses of the relays that callers may use now.
func (k *Keeper) Addresses() []string {
	k.roster.mu.Lock()
	list := k.roster.table.Addresses(k.Clock.Now())
	k.roster.mu.Unlock()
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.Address)
	}
	return out
}

func sameKeepers(a, b wire.Keepers) bool {
	return slices.Equal(a.Relays, b.Relays) && slices.Equal(a.Addresses, b.Addresses)
}

// members returns the peer addresses of the group's members.
func (g *group) members() []string {
	var names []string
	for _, id := range g.current().Status().Members.All() {
		names = append(names, id.Name)
	}
	return names
}
