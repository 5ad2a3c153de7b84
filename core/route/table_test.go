package route

import (
	"fmt"
	"math"
	"testing"
	"time"

	"wasabiweir/core/common"

	_ "wasabiweir/core/prop"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// specs returns the configuration of n endpoints with the given number of slots each.
func specs(n, slots int) []EndpointSpec {
	out := make([]EndpointSpec, n)
	for i := range out {
		out[i] = EndpointSpec{Name: fmt.Sprintf("e%03d", i), Service: "dente", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: slots}
	}
	return out
}

// Guards against picking an endpoint that is leaving, excluded, in backoff or of another service, and against stream
// counts that differ from the streams in flight.
func TestPickEndpointAvoidsUnusableEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		tab := Table{Budget: &Budget{}}
		cfg := specs(6, 2)
		cfg[5].Service = "other"
		tab.Configure(cfg)
		var streams []*Stream
		take := func() *Stream {
			if len(streams) == 0 {
				return nil
			}
			s := streams[0]
			streams = streams[1:]
			return s
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := cfg[rapid.IntRange(0, 4).Draw(t, "endpoint")].Name
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				tab.SetLeaving(name, rapid.Bool().Draw(t, "leaving"))
			case 1:
				tab.Configure(cfg[rapid.IntRange(0, 3).Draw(t, "from"):])
			case 2:
				if s := take(); s != nil {
					tab.FailStream(s, common.RetryReset, now)
				}
			case 3:
				if s := take(); s != nil {
					tab.FinishStream(s, now)
				}
			case 4:
				if s := take(); s != nil {
					tab.RecordTokens(s, 1, now)
					streams = append(streams, s)
				}
			default:
				exclude := NewNameSet(name)
				req := &Request{Service: "dente", OutputTokens: 10}
				e, err := tab.PickEndpoint(req, exclude, now)
				if err != nil {
					if common.AsRefusal(err).Reason != common.ReasonNoEndpoint {
						t.Fatalf("refused with %v", err)
					}
					continue
				}
				if e.Unavailable() || e.Name == name || e.Service != "dente" || now.Before(e.backoff.retryAt) {
					t.Fatalf("picked %+v", e)
				}
				streams = append(streams, tab.StartStream(req, e, now))
			}
			tab.Tick(now)
			n := 0
			for _, e := range tab.Endpoints() {
				n += e.Own.Streams
			}
			if n != len(streams) {
				t.Fatalf("table counts %d streams, %d are in flight", n, len(streams))
			}
		}
	})
}

// Guards against more extra work than the budget's ratio and burst allow.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Ratio: 0.03, Burst: 100}
		var earned, spent float64
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			n := float64(rapid.IntRange(0, 2000).Draw(t, "work"))
			if rapid.Bool().Draw(t, "earn") {
				b.Earn(n)
				earned += n
			} else if b.Spend(n) {
				spent += n
			}
			if limit := 100 + 0.03*earned; spent > limit+1e-9 {
				t.Fatalf("spent %v of %v", spent, limit)
			}
		}
	})
}

// runStreams generates tokens on all streams for the duration d, at the token gap that gap returns for the endpoint,
// and returns the time at the end.
func runStreams(tab *Table, from time.Time, d time.Duration, gap func(name string) time.Duration) time.Time {
	next := map[string]time.Time{}
	for now := from; now.Before(from.Add(d)); now = now.Add(5 * time.Millisecond) {
		for _, e := range tab.Endpoints() {
			if now.Before(next[e.Name]) {
				continue
			}
			next[e.Name] = now.Add(gap(e.Name))
			for _, s := range e.streams {
				tab.RecordTokens(s, 1, now)
			}
		}
		tab.Tick(now)
	}
	return from.Add(d)
}

// startOneStreamEach starts a long stream on each endpoint, with the endpoint's name as its id.
func startOneStreamEach(tab *Table, now time.Time) {
	for _, e := range tab.Endpoints() {
		tab.StartStream(&Request{ID: e.Name, Service: "dente", OutputTokens: 10000, Idempotent: true}, e, now)
	}
}

// Guards against requests that are still sent to a slowed engine, streams that are not moved off it or are proposed
// twice, and health that does not recover.
func TestSlowedEndpointLosesWorkAndRecovers(t *testing.T) {
	tab := Table{Budget: &Budget{}}
	tab.Configure(specs(5, 8))
	now := epoch
	startOneStreamEach(&tab, now)
	fast := func(string) time.Duration { return 30 * time.Millisecond }
	now = runStreams(&tab, now, 2*time.Second, fast)
	if m := tab.ProposeMoves(now); len(m) != 0 {
		t.Fatalf("proposed %d moves without a slowed endpoint", len(m))
	}
	now = runStreams(&tab, now, 2*time.Second, func(name string) time.Duration {
		if name == "e002" {
			return 150 * time.Millisecond
		}
		return 30 * time.Millisecond
	})
	slow := tab.Endpoint("e002")
	if !slow.Slowed() || slow.Health() > 0.4 {
		t.Fatalf("health is %v after 2 s at five times the gap", slow.Health())
	}
	for range 50 {
		if e, err := tab.PickEndpoint(&Request{Service: "dente", OutputTokens: 100}, nil, now); err != nil || e == slow {
			t.Fatalf("picked the slowed endpoint: %v", err)
		}
	}
	if m := tab.ProposeMoves(now); len(m) != 1 || m[0].Stream.ID != "e002" {
		t.Fatalf("proposed %d moves, want the stream on the slowed endpoint", len(m))
	}
	if m := tab.ProposeMoves(now); len(m) != 0 {
		t.Fatalf("proposed %d moves again", len(m))
	}
	before := slow.Health()
	now = runStreams(&tab, now, 500*time.Millisecond, fast)
	if h := slow.Health(); h <= before || h > 0.9 {
		t.Fatalf("health went from %v to %v in 0.5 s, want a smooth recovery", before, h)
	}
	runStreams(&tab, now, 10*time.Second, fast)
	if h := slow.Health(); h < 0.95 || slow.Slowed() {
		t.Fatalf("health is %v long after the slowdown", h)
	}
}

// A pause of the router itself must not make an engine look slow whose tokens are read a little later than those of others, or make
// first tokens look so late that short prompts are refused.
func TestOwnPauseSlowsNoEndpoint(t *testing.T) {
	for _, readFirst := range []bool{false, true} {
		tab := Table{Budget: &Budget{}}
		tab.Configure(specs(3, 8))
		now := epoch
		startOneStreamEach(&tab, now)
		fast := func(string) time.Duration { return 40 * time.Millisecond }
		now = runStreams(&tab, now, 2*time.Second, fast)
		request := &Request{PrefillTokens: 5}
		waiting, predicted := tab.StartStream(request, tab.Endpoint("e000"), now), tab.PredictTimeToFirstTokenIdle(request)
		now = now.Add(1200 * time.Millisecond)
		if !readFirst {
			tab.Tick(now)
		}
		tab.RecordTokens(waiting, 1, now)
		if got := tab.PredictTimeToFirstTokenIdle(request); got != predicted {
			t.Fatalf("a first token is predicted after %s, before the pause after %s (read before the tick: %t)", got, predicted, readFirst)
		}
		for _, e := range tab.Endpoints() {
			if e.Name == "e002" {
				continue
			}
			for _, s := range e.streams {
				for range 30 {
					tab.RecordTokens(s, 1, now)
				}
			}
		}
		tab.Tick(now)
		now = now.Add(minTickInterval + 10*time.Millisecond)
		tab.Tick(now)
		for range 10 {
			now = runStreams(&tab, now, 100*time.Millisecond, fast)
			if tab.Endpoint("e002").Slowed() {
				t.Fatalf("an endpoint counts as slowed after a pause of the router (tokens read before the tick: %t)", readFirst)
			}
		}
	}
}

// Guards against a prefix index that keeps blocks after a gap in the sequence numbers of the events.
func TestCacheIsDroppedOnSequenceGap(t *testing.T) {
	tab := Table{BlockTokens: 16}
	tab.Configure(specs(2, 8))
	e := tab.Endpoint("e001")
	req := &Request{Service: "dente", Blocks: []uint64{7, 8, 9}, PrefillTokens: 40, OutputTokens: 1}
	tab.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 1, Blocks: []uint64{7, 8, 9}}})
	if n := tab.CachedTokens(e, req); n != 40 {
		t.Fatalf("%d tokens are cached, want 40", n)
	}
	if got, _ := tab.PickEndpoint(req, nil, epoch); got != e {
		t.Fatalf("picked %s, want the holder of the prefix", got.Name)
	}
	tab.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 3, Blocks: []uint64{7}}})
	if n := tab.CachedTokens(e, req); n != 16 {
		t.Fatalf("%d tokens are cached after a gap, want only the new block's 16", n)
	}
	tab.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 4, Kind: CacheCleared}})
	if len(tab.endpointsByBlock) != 0 {
		t.Fatalf("%d blocks are still held", len(tab.endpointsByBlock))
	}
}

// Guards against counting this router's streams twice when a lagging load report is the only source for the load of the
// other routers.
func TestReportIsCorrectedByOwnWork(t *testing.T) {
	tab := Table{}
	tab.Configure(specs(1, 8))
	e := tab.Endpoint("e000")
	now := epoch
	for range 20 {
		tab.Tick(now)
		now = now.Add(100 * time.Millisecond)
	}
	for range 4 {
		tab.StartStream(&Request{Service: "dente", OutputTokens: 10}, e, now)
	}
	tab.RecordLoadReport(e.Name, LoadReport{Running: 3, At: now.Add(-time.Second)})
	tab.Tick(now)
	if n := e.Streams(); n != 7 {
		t.Fatalf("%d streams, want 3 of others and 4 own", n)
	}
	tab.RecordPeerCounts(PeerCounts{Router: "b", Loads: map[string]Load{e.Name: {Streams: 1, Tokens: 5}}}, now)
	tab.Tick(now.Add(100 * time.Millisecond))
	if n := e.Streams(); n != 5 {
		t.Fatalf("%d streams, want 1 of the fresh exchange and 4 own", n)
	}
}

// Guards against resumed streams that start out of order or faster than the rate.
func TestPacerOrdersAndLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pacer[int]{}
		p.Bucket.Rate, p.Bucket.Burst = 100, 50
		n := rapid.IntRange(1, 30).Draw(t, "n")
		due := make([]int, n)
		for i := range n {
			due[i] = rapid.IntRange(0, 5).Draw(t, "due")
			p.Push(i, epoch.Add(time.Duration(due[i])), 10)
		}
		started, previous := 0, math.MinInt
		for now := epoch; p.Len() > 0; now = now.Add(10 * time.Millisecond) {
			for v, ok := p.Next(now); ok; v, ok = p.Next(now) {
				started++
				if due[v] < previous {
					t.Fatalf("value due at %d started after one due at %d", due[v], previous)
				}
				previous = due[v]
			}
			if limit := 50 + 100*now.Sub(epoch).Seconds() + 10; float64(started*10) > limit {
				t.Fatalf("%d tokens started, limit %v", started*10, limit)
			}
		}
	})
}

// BenchmarkPickEndpoint measures PickEndpoint with 940 endpoints and 20 streams on each.
func BenchmarkPickEndpoint(b *testing.B) {
	tab := Table{ReservedFraction: 0.1}
	tab.Configure(specs(940, 32))
	now := epoch
	req := &Request{Service: "dente", OutputTokens: 400, PrefillTokens: 1000}
	for range 940 * 20 {
		e, _ := tab.PickEndpoint(req, nil, now)
		tab.StartStream(req, e, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tab.PickEndpoint(req, nil, now); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against long requests on endpoints dedicated to short ones, and against endpoints that stay dedicated and idle
// while there are no short requests.
func TestDedicatedEndpointsServeShortWorkWhileThereIsAny(t *testing.T) {
	tab := Table{DedicatedFraction: 1.0 / 12, ReservedFraction: 0.1}
	tab.Configure(specs(24, 10))
	now := epoch
	short := &Request{Service: "dente", Short: true, OutputTokens: 10}
	long := &Request{Service: "dente", OutputTokens: 1000}
	e, err := tab.PickEndpoint(short, nil, now)
	if err != nil {
		t.Fatal(err)
	}
	tab.StartStream(short, e, now)
	for range 22 * 9 {
		e, _ := tab.PickEndpoint(long, nil, now)
		if e.dedicated || e.Own.Streams >= 9 {
			t.Fatalf("long work got %s with %d streams", e.Name, e.Own.Streams)
		}
		tab.StartStream(long, e, now)
	}
	for range 2*10 - 1 {
		e, _ := tab.PickEndpoint(short, nil, now)
		if !e.dedicated {
			t.Fatalf("short work got %s", e.Name)
		}
		tab.StartStream(short, e, now)
	}
	if c := tab.Capacity("dente", 5, now); c.FreeLong > 0 || c.FreeShort < 20 {
		t.Fatalf("capacity is %+v, want no room for long work and the reserve for short work", c)
	}
	for _, e := range tab.Endpoints() {
		for e.dedicated && e.Own.Streams > 0 {
			tab.FinishStream(e.streams[0], now)
		}
	}
	if c := tab.Capacity("dente", 5, now); c.FreeLong > 0 {
		t.Fatalf("capacity is %+v, want no room for long work on idle dedicated endpoints", c)
	}
	now = now.Add(2 * shortWorkTimeout)
	tab.Tick(now)
	tab.Tick(now.Add(minTickInterval))
	if c := tab.Capacity("dente", 5, now); c.FreeLong <= 0 {
		t.Fatal("endpoints are still dedicated without short work")
	}
}

// Guards against routers that all resume the streams of a lost engine on the same endpoints.
func TestResumesOfRoutersAreSpread(t *testing.T) {
	used := map[string]int{}
	for i := range 4 {
		tab := Table{Name: fmt.Sprintf("router-%d", i)}
		tab.Configure(specs(12, 8))
		for j := range 4 {
			if j != i {
				tab.RecordPeerCounts(PeerCounts{Router: fmt.Sprintf("router-%d", j)}, epoch)
			}
		}
		for range 3 {
			req := &Request{Service: "dente", Resume: true, PrefillTokens: 800, OutputTokens: 100}
			e, err := tab.PickEndpoint(req, nil, epoch)
			if err != nil {
				t.Fatal(err)
			}
			tab.StartStream(req, e, epoch)
			used[e.Name]++
		}
	}
	for name, n := range used {
		if n > 1 {
			t.Errorf("%s got %d resumes while others got none", name, n)
		}
	}
}

// Guards against a request that is sent to an engine which reports that it does not serve the model.
func TestPickEndpointKeepsToEnginesWithTheModel(t *testing.T) {
	now := time.Unix(0, 0)
	tab := Table{}
	tab.Configure([]EndpointSpec{{Name: "a", Service: "s"}, {Name: "b", Service: "s"}})
	tab.SetModels("a", []string{"old"})
	tab.SetModels("b", []string{"old", "new"})
	for range 50 {
		if e, err := tab.PickEndpoint(&Request{Service: "s", Model: "new"}, nil, now); err != nil || e.Name != "b" {
			t.Fatalf("picked %v, %v", e, err)
		}
	}
	tab.SetModels("b", []string{"old"})
	if e, err := tab.PickEndpoint(&Request{Service: "s", Model: "new"}, nil, now); err == nil {
		t.Fatalf("picked %s, which does not serve the model", e.Name)
	}
}
