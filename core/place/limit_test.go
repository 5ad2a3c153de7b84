package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// limitedTables returns the tables of several relays that all know the endpoint's limit.
func limitedTables(relays int, limit float64) []*EndpointTable {
	tables := make([]*EndpointTable, relays)
	for i := range tables {
		x := &EndpointTable{Rand: rand.New(rand.NewPCG(1, uint64(i)))}
		x.Update([]Endpoint{{ID: "e", Service: "p", Domain: "d"}}, testStart)
		x.SetTurns(i, relays, testStart)
		if i == 0 {
			x.limits.Name("e", limit, testStart)
		} else {
			x.limits.Merge(tables[0].limits.All(testStart), testStart)
		}
		tables[i] = x
	}
	return tables
}

// Replays a load on an endpoint with a limit: any number of relays, steady or in bursts after lulls. All relays together
// must stay within one and a half times the limit and five requests in any four seconds, and use most of the limit
// while there are enough requests.
func TestRelaysKeepLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.SampledFrom([]int{1, 3, 8, 76}).Draw(t, "relays")
		limit := rapid.Float64Range(0.2, 60).Draw(t, "limit")
		lull := rapid.SampledFrom([]time.Duration{0, 3 * time.Second, 9 * time.Second}).Draw(t, "lull")
		tables := limitedTables(relays, limit)
		const tick, length = 20 * time.Millisecond, 40 * time.Second
		var sent []time.Duration
		for now := time.Duration(0); now < length; now += tick {
			if lull > 0 && now%(lull+time.Second) < lull {
				continue
			}
			for _, x := range tables {
				at := testStart.Add(now)
				x.limits.Name("e", limit, at)
				if e, ok := x.ChooseEndpoint(EndpointRequirements{Service: "p"}, at); ok {
					x.RequestStarted(e.ID, false, at)
					sent = append(sent, now)
				}
			}
		}
		allowed := 1.5*4*limit + 5
		if n := mostInFourSeconds(sent); float64(n) > allowed {
			t.Fatalf("%d requests in four seconds by %d relays, %v are allowed", n, relays, allowed)
		}
		// Each relay may have to wait for a whole turn at either end.
		least := 0.8*limit*length.Seconds() - float64(relays)
		if lull == 0 && float64(len(sent)) < least {
			t.Fatalf("%d requests by %d relays with a limit of %v, want %v", len(sent), relays, limit, least)
		}
	})
}

// A limit that no answer confirms lapses, and one that has ended by an answer to a later request holds no longer.
func TestLimitEnds(t *testing.T) {
	var x LimitTable
	x.Name("e", 2, testStart)
	at := testStart.Add(5 * time.Second)
	if news := x.End("e", testStart.Add(-time.Second), at); len(news) > 0 || x.Count(at) != 1 {
		t.Error("an answer to a request from before the naming ended the limit")
	}
	if news := x.End("e", testStart.Add(time.Second), at); len(news) != 1 || !news[0].Ended || x.Count(at) != 0 {
		t.Error("an answer without a limit did not end it")
	}
	x.Name("e", 2, at)
	if n := x.Count(at.Add(minLimitLifetime - time.Millisecond)); n != 1 {
		t.Error("the limit lapsed early")
	}
	if n := x.Count(at.Add(minLimitLifetime)); n != 0 {
		t.Error("the limit has not lapsed")
	}
}

// What one process learns reaches the others once, the end of a limit too, and does not go around for ever.
func TestLimitsAreShared(t *testing.T) {
	var relay, first, second LimitTable
	news := relay.Name("e", 3, testStart)
	forwarded := first.Merge(news, testStart.Add(10*time.Millisecond))
	if len(news) != 1 || len(forwarded) != 1 {
		t.Fatalf("%d notices, %d forwarded, want one each", len(news), len(forwarded))
	}
	back := second.Merge(forwarded, testStart.Add(20*time.Millisecond))
	if again := first.Merge(back, testStart.Add(30*time.Millisecond)); len(again) > 0 {
		t.Errorf("%d notices go around", len(again))
	}
	// Keepers send all they know from time to time.
	for i := range 10 {
		now := testStart.Add(time.Duration(i) * time.Second)
		all := first.All(now)
		if again := second.Merge(all, now.Add(30*time.Millisecond)); len(again) > 0 {
			t.Errorf("%d known notices are sent again after %d s", len(again), i)
		}
	}
	if news := relay.Name("e", 3.1, testStart.Add(time.Second)); len(news) > 0 {
		t.Error("a limit that has hardly changed is sent at once")
	}
	if news := relay.Name("e", 3, testStart.Add(3*time.Second)); len(news) != 1 {
		t.Error("a limit that goes on is not sent again")
	}
	end := relay.End("e", testStart.Add(4*time.Second), testStart.Add(4*time.Second))
	if first.Merge(end, testStart.Add(4*time.Second)); first.Count(testStart.Add(4*time.Second)) != 0 {
		t.Error("the end of the limit is not known")
	}
}

// What relays and keepers repeat to each other on new connections is no news, however long it was on the way.
func TestRepeatedLimitsAreNoNews(t *testing.T) {
	const endpoints = 500
	var keeper, relay LimitTable
	for i := range endpoints {
		relay.Merge(keeper.Name(fmt.Sprint(i), 1, testStart), testStart)
	}
	now := testStart
	for i := range 8 {
		transit := time.Duration(i) * 100 * time.Millisecond
		now = now.Add(time.Second)
		all := relay.All(now)
		if news := keeper.Merge(all, now.Add(transit)); len(news) > 0 {
			t.Fatalf("%d notices that were %s on the way count as news", len(news), transit)
		}
		relay.Merge(keeper.All(now.Add(transit)), now.Add(2*transit))
	}
}

// Statements out of bounds are dropped, and the table does not grow without bound.
func TestLimitsAreBounded(t *testing.T) {
	var x LimitTable
	for _, n := range []LimitNotice{
		{Endpoint: "a", PerSecond: -1},
		{Endpoint: "a", PerSecond: math.Inf(1)},
		{Endpoint: "a", PerSecond: math.NaN()},
		{Endpoint: "a", Age: -1},
		{Endpoint: "a", Age: 2 * maxLimitLifetime},
		{Endpoint: "a", Position: math.Inf(1)},
	} {
		if x.Merge([]LimitNotice{n}, testStart); len(x.limits) > 0 {
			t.Errorf("%+v was added", n)
		}
	}
	for i := range maxLimits + 10 {
		x.Name(fmt.Sprint(i), 1, testStart)
	}
	if n := len(x.limits); n > maxLimits {
		t.Errorf("%d limits are kept", n)
	}
}

// An endpoint that takes nothing is still asked now and then, so that the end of its limit is seen.
func TestLimitOfZero(t *testing.T) {
	x := limitedTables(1, 0)[0]
	for x.HasEligible(EndpointRequirements{Service: "p"}, testStart) {
		x.RequestStarted("e", false, testStart)
	}
	if wait, limited := x.NextTurn(EndpointRequirements{Service: "p"}, testStart); !limited || wait > 15*time.Second {
		t.Errorf("the next turn comes after %s (%v)", wait, limited)
	}
}

// A request waits for a turn only if its caller could still be served in time by another relay.
func TestShouldWait(t *testing.T) {
	for _, c := range []struct {
		turn, waited time.Duration
		want         bool
	}{
		{10 * time.Millisecond, 0, true},
		{10 * time.Millisecond, 5 * time.Millisecond, false},
		{200 * time.Millisecond, 0, false},
	} {
		if got := ShouldWait(c.turn, c.waited, 100*time.Millisecond); got != c.want {
			t.Errorf("a turn after %s, %s waited: %v, want %v", c.turn, c.waited, got, c.want)
		}
	}
}

// The holder of a copy may have a limit, but one without is preferred.
func TestHoldersMayHaveLimits(t *testing.T) {
	x := newTable(6)
	primary, _ := x.Get("e00")
	for _, id := range []string{"e01", "e04"} {
		x.limits.Name(id, 0.2, testStart)
	}
	for range 20 {
		if e, ok := x.ChooseCopyHolder(primary, "", testStart); !ok || e.ID == "e01" || e.ID == "e04" {
			t.Fatalf("holder %s (%v)", e.ID, ok)
		}
	}
	for _, id := range []string{"e02", "e05"} {
		x.limits.Name(id, 0.2, testStart)
	}
	if _, ok := x.ChooseCopyHolder(primary, "", testStart); !ok {
		t.Error("no holder although all engines that have limits are up")
	}
}

// Replays a burst after a lull, while one relay after the other leaves, and each of the rest learns it a little later. Turns
// that were dealt before must not be used again by those that have them now, or by those that have left.
func TestRelaysKeepLimitWhileRelaysLeave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const relays, tick, burstAt, length = 8, 20 * time.Millisecond, 9 * time.Second, 20 * time.Second
		limit := rapid.Float64Range(1, 10).Draw(t, "limit")
		gap := time.Duration(rapid.IntRange(400, 1500).Draw(t, "gap-ms")) * time.Millisecond
		delays := rapid.SliceOfN(rapid.IntRange(0, 200), relays, relays).Draw(t, "delays-ms")
		tables := limitedTables(relays, limit)
		listed := make([]int, relays)
		var sent []time.Duration
		for now := time.Duration(0); now < length; now += tick {
			for i, x := range tables {
				at := testStart.Add(now)
				x.limits.Name("e", limit, at)
				learnt := now - burstAt - time.Duration(delays[i])*time.Millisecond
				if left := min(3, max(0, int(learnt/gap))); listed[i] != left {
					listed[i] = left
					x.setTestPosition(i-left, relays-left, at)
				}
				if now < burstAt {
					continue
				}
				if e, ok := x.ChooseEndpoint(EndpointRequirements{Service: "p"}, at); ok {
					x.RequestStarted(e.ID, false, at)
					sent = append(sent, now)
				}
			}
		}
		allowed := 1.5*4*limit + 5
		if n := mostInFourSeconds(sent); float64(n) > allowed {
			t.Fatalf("%d requests in four seconds, %v are allowed", n, allowed)
		}
		// Each relay may have to wait for a whole turn at either end.
		least := 0.8*limit*(length-burstAt).Seconds() - relays
		if float64(len(sent)) < least {
			t.Fatalf("%d requests in all, want %v", len(sent), least)
		}
	})
}

// setTestPosition sets the relay's position; it is not listed if the index is negative.
func (t *EndpointTable) setTestPosition(index, relays int, now time.Time) {
	t.SetTurns(max(-1, index), relays, now)
}

// mostInFourSeconds returns the largest number of the times, which are in order, in any four seconds.
func mostInFourSeconds(times []time.Duration) (most int) {
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at-first < 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
