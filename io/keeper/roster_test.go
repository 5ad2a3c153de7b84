package keeper

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/io/wire"
)

// Guards against a keeper that takes a relay out of its answers because an old link ended, although the relay has since
// reported over another keeper.
func TestRosterKeepsRelaysThatMoved(t *testing.T) {
	now := &clock.Manual{}
	now.Set(time.Unix(1000, 0))
	k := &Keeper{Clock: now, Log: zap.NewNop()}
	k.peers.keeper = k
	k.roster.prepare(k)
	old := &wire.Link{Name: "relay"}
	report := wire.Report{Name: "relay", Address: "10.0.0.1:80", Domain: "a", Fresh: true, SentMS: 1000}
	k.roster.own(old, report)
	report.SentMS = 3000
	k.roster.merge([]wire.Report{report})
	k.roster.lose(old)
	if got := k.Addresses(); len(got) != 1 || got[0] != report.Address {
		t.Errorf("addresses are %v, want the relay that moved", got)
	}
	// A relay whose last report came over the link that ended is taken out at once.
	report.SentMS = 4000
	k.roster.own(old, report)
	k.roster.lose(old)
	if got := k.Addresses(); len(got) != 0 {
		t.Errorf("addresses are %v, want none", got)
	}
	// It is back with its next report.
	report.SentMS = 5000
	k.roster.merge([]wire.Report{report})
	if got := k.Addresses(); len(got) != 1 {
		t.Errorf("addresses are %v, want the relay that came back", got)
	}
}

func TestRosterDropsSilentRelays(t *testing.T) {
	now := &clock.Manual{}
	now.Set(time.Unix(1000, 0))
	k := &Keeper{Clock: now, Log: zap.NewNop()}
	k.roster.prepare(k)
	k.roster.merge([]wire.Report{{Name: "relay", Address: "10.0.0.1:80", Fresh: true, SentMS: 1}})
	now.Advance(relayLiveFor + time.Millisecond)
	if got := k.Addresses(); len(got) != 0 {
		t.Errorf("addresses are %v, want none", got)
	}
}
