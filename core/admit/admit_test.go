package admit

import (
	"fmt"
	"testing"
	"time"

	"wasabiweir/core/common"
	_ "wasabiweir/core/prop"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against one account starving another. While two accounts have queued requests, the started tokens divided by
// the account's weight may differ by at most the sum of the largest request divided by each weight.
func TestBackloggedAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 400
		var a Admission
		a.SetCapacity(Capacity{Slots: 1, FreeLong: 1, FreeShort: 1, FreeReserved: 1, TokensPerSecond: 1e9})
		n := rapid.IntRange(2, 5).Draw(t, "accounts")
		served := make([]float64, n)
		weight := make([]float64, n)
		offer := func(i int) {
			r := Request{ID: "x", Account: fmt.Sprint(i), MaxOutputTokens: 2 * rapid.IntRange(1, largest).Draw(t, "declared")}
			if _, err := a.Enqueue(r, epoch); err != nil {
				t.Fatal(err)
			}
		}
		for i := range n {
			weight[i] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
			a.SetLimit(fmt.Sprint(i), AccountLimit{Weight: weight[i]}, epoch)
			for range rapid.IntRange(2, 6).Draw(t, "backlog") {
				offer(i)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "starts") {
			a.SetCapacity(Capacity{Slots: 1, FreeShort: 1, FreeReserved: 1, FreeLong: 1, TokensPerSecond: 1e9})
			for _, k := range a.StartRequests(epoch) {
				var i int
				fmt.Sscan(k.Account, &i)
				served[i] += float64(k.PredictedTokens)
				a.RequestDone(k, false, epoch)
				offer(i)
			}
			for i := range n {
				for j := range n {
					bound := largest/weight[i] + largest/weight[j]
					if d := served[i]/weight[i] - served[j]/weight[j]; d > bound+1e-6 {
						t.Fatalf("account %d is ahead of %d by %v, bound %v", i, j, d, bound)
					}
				}
			}
		}
	})
}

// Guards against admitted requests that neither start by their deadline nor expire, against exceeding a router's share
// of an account's concurrent requests or token rate, and against use of the reserved capacity by requests without
// access.
func TestAdmittedRequestsStartInTimeOrAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, inFlight = 400.0, 16
		a := Admission{Routers: 8}
		now := epoch
		a.SetLimit("limited", AccountLimit{TokensPerSecond: rate, MaxInFlight: inFlight}, now)
		accounts := []string{"limited", "b", "c"}
		queued := map[*Ticket]bool{}
		var running []*Ticket
		burst := rate / 8 * burstDuration.Seconds()
		bucketLevel, limitedInFlight := burst, 0
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			now = now.Add(step)
			bucketLevel = min(burst, bucketLevel+rate/16*step.Seconds())
			long := rapid.IntRange(0, 2).Draw(t, "free-long")
			reserved := long + rapid.IntRange(0, 2).Draw(t, "reserve")
			free := reserved + rapid.IntRange(0, 2).Draw(t, "dedicated")
			a.SetCapacity(Capacity{Slots: 10, FreeShort: free, FreeReserved: reserved, FreeLong: long, TokensPerSecond: 500})
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				if len(running) == 0 {
					break
				}
				k := running[0]
				running = running[1:]
				if k.Account == "limited" {
					limitedInFlight--
				}
				a.Progress(k, k.PredictedTokens, now)
				a.RequestDone(k, true, now)
			default:
				r := Request{
					ID: fmt.Sprint(i), Account: rapid.SampledFrom(accounts).Draw(t, "account"), MaxShortTokens: 50,
					MaxOutputTokens: rapid.IntRange(1, 200).Draw(t, "declared"), TimeToFirstToken: 100 * time.Millisecond,
				}
				k, err := a.Enqueue(r, now)
				if err == nil {
					queued[k] = true
				} else if x := common.AsRefusal(err); x.Outcome != common.OutcomeNotRun || x.RetryAfter <= 0 {
					t.Fatalf("refused with %+v", x)
				}
			}
			for _, x := range a.Expire(now) {
				if !queued[x.Ticket] || x.Err.Outcome != common.OutcomeNotRun {
					t.Fatalf("expired %+v", x)
				}
				delete(queued, x.Ticket)
			}
			unreservedStarts, notShortStarts := 0, 0
			for _, k := range a.StartRequests(now) {
				if !queued[k] || now.After(k.Deadline) {
					t.Fatalf("started %+v at %v", k, now)
				}
				delete(queued, k)
				running = append(running, k)
				if !k.MayUseReserved {
					unreservedStarts++
				}
				if !k.Short {
					notShortStarts++
				}
				if k.Account == "limited" {
					limitedInFlight++
					bucketLevel -= float64(k.PredictedTokens)
				}
			}
			if notShortStarts > reserved {
				t.Fatalf("%d long requests started, %d allowed", notShortStarts, reserved)
			}
			if unreservedStarts > long {
				t.Fatalf("%d requests started outside the reserved capacity, %d allowed", unreservedStarts, long)
			}
			if limitedInFlight > 1 || bucketLevel < -200 {
				t.Fatalf("%d requests in flight, token level %v", limitedInFlight, bucketLevel)
			}
			for k := range queued {
				if now.After(k.Deadline) {
					t.Fatalf("request %s is neither started nor refused after its deadline", k.ID)
				}
			}
			if len(queued) != a.Queued() {
				t.Fatalf("%d queued, want %d", a.Queued(), len(queued))
			}
		}
	})
}

// Guards against a share that is used after its lease has expired, and against a larger fallback than half of an even
// share, with which all routers together could far exceed the limit.
func TestShareFallsBackWhenTheLeaseExpires(t *testing.T) {
	a := Admission{Routers: 8}
	a.SetLimit("x", AccountLimit{TokensPerSecond: 1600, MaxInFlight: 160}, epoch)
	a.SetShare("x", 0.5, epoch)
	c := a.accounts.Get("x")
	if n := c.maxInFlight(8, epoch.Add(4*time.Second)); n != 80 {
		t.Fatalf("share is %d in flight, want 80", n)
	}
	if n := c.maxInFlight(8, epoch.Add(5*time.Second)); n != 10 {
		t.Fatalf("share after the lease is %d in flight, want 10", n)
	}
	c.updateTokenBucket(8, epoch.Add(5*time.Second))
	if c.bucket.Rate != 100 {
		t.Fatalf("rate after the lease is %v, want 100", c.bucket.Rate)
	}
}

// Guards against predictions that ignore past outputs, and against a history that grows without bound.
func TestHistoryIsLearnedAndBounded(t *testing.T) {
	var h outputHistory
	r := Request{Account: "a", Intent: "i", MaxOutputTokens: 1000, MaxShortTokens: 100}
	if n, short := h.predictOutput(&r); n != 500 || short {
		t.Fatalf("predicted %d, short %v without history", n, short)
	}
	for range 50 {
		h.recordOutput(&r, 60)
	}
	if n, short := h.predictOutput(&r); n != 60 || !short {
		t.Fatalf("predicted %d, short %v after outputs of 60", n, short)
	}
	for i := range 2 * maxHistoryEntries {
		h.recordOutput(&Request{Account: fmt.Sprint(i)}, 1)
	}
	if len(h.entries) != maxHistoryEntries || h.recency.Len() != maxHistoryEntries {
		t.Fatalf("history holds %d rows", len(h.entries))
	}
}

// Guards against stragglers that keep their priority, are suspended while no request is queued, or are never resumed.
func TestStragglersAreDemotedAndSuspended(t *testing.T) {
	var a Admission
	now := epoch
	a.SetCapacity(Capacity{Slots: 4, FreeShort: 4, FreeReserved: 4, FreeLong: 4, TokensPerSecond: 1000})
	offer := func(id string) *Ticket {
		k, err := a.Enqueue(Request{ID: id, Account: "a"}, now)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	k1 := offer("1")
	k2 := offer("2")
	a.StartRequests(now)
	a.Progress(k1, 100, now)
	a.RequestDone(k1, true, now)
	before := k2.EnginePriority()
	a.Progress(k2, 1000, now)
	if d := a.Demote(); len(d) != 1 || k2.EnginePriority() <= before {
		t.Fatalf("demoted %d requests, priority %d", len(d), k2.EnginePriority())
	}
	if s := a.Suspend(1, now); len(s) != 0 {
		t.Fatal("suspended a straggler although no request is queued")
	}
	k3 := offer("3")
	if s := a.Suspend(1, now); len(s) != 1 || s[0] != k2 {
		t.Fatalf("suspended %d requests, want the straggler", len(s))
	}
	if out := a.StartRequests(now); len(out) != 2 || out[0] != k3 || out[1] != k2 {
		t.Fatalf("started %d requests, want the queued one before the straggler", len(out))
	}
}

// BenchmarkEnqueue measures Enqueue, StartRequests and RequestDone with 830 accounts and 3,320 queued requests.
func BenchmarkEnqueue(b *testing.B) {
	var a Admission
	now := epoch
	names := make([]string, 830)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
		a.SetLimit(names[i], AccountLimit{TokensPerSecond: 1e9, MaxInFlight: 1e6}, now)
	}
	a.Routers = 320
	c := Capacity{Slots: 940 * 170, FreeShort: 1, FreeReserved: 1, FreeLong: 1, TokensPerSecond: 1e8}
	for i := range 4 * 830 {
		a.SetCapacity(c)
		if _, err := a.Enqueue(Request{Account: names[i%830], MaxOutputTokens: 500}, now); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		a.SetCapacity(c)
		if _, err := a.Enqueue(Request{Account: names[i%830], MaxOutputTokens: 500}, now); err != nil {
			b.Fatal(err)
		}
		for _, k := range a.StartRequests(now) {
			a.RequestDone(k, true, now)
		}
	}
}

// Guards against shares that do not add up to the whole limit, and against a router without a share.
func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 16).Draw(t, "demands")
		sum := 0.0
		for _, p := range Shares(demands) {
			if p <= 0 {
				t.Fatalf("part %v", p)
			}
			sum += p
		}
		if sum < 0.999999 || sum > 1.000001 {
			t.Fatalf("parts add up to %v", sum)
		}
	})
}

// Guards against a small account that cannot start requests while a large one holds all slots, and against long
// requests of the large account using the reserved capacity.
func TestSmallAccountMayUseTheReserve(t *testing.T) {
	a := Admission{Routers: 1}
	now := epoch
	for _, name := range []string{"large", "small"} {
		a.SetShare(name, 1, now)
	}
	full := Capacity{Slots: 100, FreeShort: 10, FreeReserved: 10, PredictedEnds: []time.Duration{time.Second, time.Second}, TokensPerSecond: 1000}
	a.SetCapacity(Capacity{Slots: 100, FreeShort: 90, FreeReserved: 90, FreeLong: 90, TokensPerSecond: 1000})
	for i := range 80 {
		if _, err := a.Enqueue(Request{ID: fmt.Sprint(i), Account: "large"}, now); err != nil {
			t.Fatal(err)
		}
	}
	a.StartRequests(now)
	a.SetCapacity(full)
	started := 0
	for i := range 40 {
		for _, name := range []string{"large", "small"} {
			if k, err := a.Enqueue(Request{ID: name + fmt.Sprint(i), Account: name}, now); err == nil && k.MayUseReserved && name == "large" {
				t.Fatal("the large account may use the reserved capacity")
			}
		}
		a.SetCapacity(full)
		for _, k := range a.StartRequests(now) {
			if k.Account == "small" {
				started++
			}
		}
	}
	bound := belowFairShareFraction*float64(80+started)/2 + 1
	if started < 5 || float64(started) > bound {
		t.Fatalf("%d requests of the small account started, want at least 5 and at most %v", started, bound)
	}
}
