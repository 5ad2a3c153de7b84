package ctrl

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/member"
	"wasabiweir/io/wire"
)

// fakeRouter reports a fixed demand of tokens by account, and records the shares of account limits that it receives.
type fakeRouter struct {
	name   string
	demand map[string]float64

	mu     sync.Mutex
	holder member.ShareHolder
	// receivedAt are the times at which new shares were received.
	receivedAt []time.Time
}

// HandleFrame applies the shares of a frame and ignores frames of other kinds.
func (r *fakeRouter) HandleFrame(_ *wire.Link, f wire.Frame) {
	if f.Kind != wire.KindShares {
		return
	}
	s, err := wire.Decode[member.RouterShares](f)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holder.Apply(&s, time.Now()) {
		r.receivedAt = append(r.receivedAt, time.Now())
	}
}

// share returns the router's current share of the account's limit, where member.FullLimit is the whole limit.
func (r *fakeRouter) share(account string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.ShareOf(account, time.Now())
}

// loop sends a report every 200 ms until ctx ends.
func (r *fakeRouter) loop(ctx context.Context, l *wire.Link) {
	_ = l.Post(wire.KindConfigUpdateRequest, "", wire.ConfigUpdateRequest{})
	for ctx.Err() == nil {
		r.mu.Lock()
		m := member.RouterReport{}
		r.holder.FillReport(&m)
		r.mu.Unlock()
		_ = l.Post(wire.KindReport, "", wire.Report{
			Name: r.name, Incarnation: m.Incarnation, SentMS: time.Now().UnixMilli(), Demand: r.demand, ShareID: m.ShareID, ShareFloor: m.ShareFloor,
		})
		time.Sleep(200 * time.Millisecond)
	}
}

// run receives frames on the link until ctx ends.
func (r *fakeRouter) run(ctx context.Context, l *wire.Link) { _ = l.Serve(ctx) }

// Guards against shares that are not in proportion to the routers' demand, that sum to more than the account's limit,
// or that change more than once a second.
func TestSharesFollowDemand(t *testing.T) {
	f := newTestSystem(t, 0, true, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var routers []*fakeRouter
	for i, demand := range []map[string]float64{{"vets": 300}, {"vets": 100}, nil, nil} {
		r := &fakeRouter{name: string(rune('a' + i)), demand: demand, holder: member.ShareHolder{Incarnation: 1}}
		l, err := wire.Dial(ctx, r.name, f.PeerListen, testKey, r)
		if err != nil {
			t.Fatal(err)
		}
		go r.run(ctx, l)
		go r.loop(ctx, l)
		routers = append(routers, r)
	}
	const floor = member.FullLimit / 8
	want := []int64{floor + member.FullLimit*3/8, floor + member.FullLimit/8, floor, floor}
	sum := func() (n int64) {
		for _, r := range routers {
			n += r.share("vets")
		}
		return n
	}
	f.eventually("shares by demand", func() bool {
		if n := sum(); n > member.FullLimit {
			t.Fatalf("the shares sum to %d of %d", n, member.FullLimit)
		}
		for i, r := range routers {
			if r.share("vets") != want[i] {
				return false
			}
		}
		return true
	})
	time.Sleep(2500 * time.Millisecond)
	for _, r := range routers {
		r.mu.Lock()
		if n, elapsed := len(r.receivedAt), r.receivedAt[len(r.receivedAt)-1].Sub(r.receivedAt[0]); time.Duration(n-1)*member.DefaultDivisionPeriod > elapsed+member.DefaultDivisionPeriod/2 {
			t.Errorf("router %s got %d shares in %s, at most one a second is allowed", r.name, n, elapsed)
		}
		r.mu.Unlock()
	}
}

// Guards against an older report of a router that replaces a newer one. It arrives late if a control process that has
// restarted, or another one in between, forwards it.
func TestOlderReportIsDropped(t *testing.T) {
	f := newTestSystem(t, 0, true, func(c *Control) { c.Log = zap.NewNop() })
	f.routers.recordReport(wire.Report{Name: "a", Incarnation: 1, SentMS: 2, Revision: 8})
	f.routers.mergeReports([]wire.Report{{Name: "a", Incarnation: 1, SentMS: 1, Revision: 7}})
	if list := f.routers.liveReports(); len(list) != 1 || list[0].Revision != 8 {
		t.Fatalf("reports %+v, want the one of revision 8", list)
	}
}
