package reach

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// newTestTable returns the table of a process in domain a, with carriers in the domains a, b and c.
func newTestTable() *Table {
	t := &Table{Domain: "a", Rand: rand.New(rand.NewPCG(1, 2))}
	t.SetCarriers([]Carrier{{Address: "a1", Domain: "a"}, {Address: "b1", Domain: "b"}, {Address: "b2", Domain: "b"}, {Address: "c1", Domain: "c"}})
	return t
}

// testStart is the time at which the tests' patterns begin.
var testStart = time.Unix(1000, 0)

// endpointName returns the address of an endpoint of the tests.
func endpointName(i int) string { return fmt.Sprintf("e%d", i) }

// dial replays one connection as the plan orders it. The endpoint is up, reachable from here or not, as given; a direct connection that
// hangs shows after 250 ms.
func dial(t *Table, address string, up, reachable bool, failure Result, now time.Time) (plan Plan) {
	plan = t.Plan(address, now)
	if !plan.CarriedFirst || plan.Probe {
		switch {
		case up && reachable:
			t.RecordDirect(address, Connected, now)
			return plan
		case failure == Silent:
			defer t.RecordDirect(address, Silent, now.Add(250*time.Millisecond))
		default:
			t.RecordDirect(address, failure, now)
		}
	}
	if len(plan.Carriers) > 0 {
		r := Connected
		if !up {
			r = failure
		}
		t.RecordCarried(address, r, now.Add(40*time.Millisecond))
	}
	return plan
}

// Guards against a relay that takes "I cannot reach it" for "it is down": a cut of 12 s between it and all of 24 endpoints, with a
// connection each 20 ms. Connections are carried from the first second on, the cut is looked for at a bounded cost, and half a second
// after its end connections are direct again.
func TestCutFromAllEndpoints(t *testing.T) {
	for _, failure := range []Result{Refused, Silent} {
		tab := newTestTable()
		const cutFor, step = 12 * time.Second, 20 * time.Millisecond
		probes, direct := 0, 0
		for at := time.Duration(0); at < cutFor; at += step {
			plan := dial(tab, endpointName(int(at/step)%24), true, false, failure, testStart.Add(at))
			if at < time.Second {
				continue
			}
			if !plan.CarriedFirst {
				direct++
			}
			if plan.Probe {
				probes++
			}
			if !tab.IsCutOff(testStart.Add(at + step)) {
				t.Fatalf("failure %d: not cut off after %s", failure, at)
			}
		}
		if most := int(cutFor / probeInterval); direct > 0 || probes > most || probes < most/2 {
			t.Errorf("failure %d: %d connections dialled directly first and %d probes, want 0 and at most %d", failure, direct, probes, most)
		}
		for at := cutFor; at < cutFor+probeInterval; at += step {
			dial(tab, endpointName(int(at/step)%24), true, true, failure, testStart.Add(at))
		}
		if end := testStart.Add(cutFor + probeInterval); tab.IsCutOff(end) {
			t.Errorf("failure %d: cut off after the end of the cut", failure)
		}
	}
}

// Guards against crashed endpoints that count as out of reach: nine tenths of a failure domain crash each 6 s for 1.2 s.
func TestCrashWavesAreNoCut(t *testing.T) {
	for _, failure := range []Result{Refused, Silent} {
		tab := newTestTable()
		for at := time.Duration(0); at < 30*time.Second; at += 20 * time.Millisecond {
			i := int(at/(20*time.Millisecond)) % 24
			isDown := at%(6*time.Second) < 1200*time.Millisecond && i%3 == int(at/(6*time.Second))%3
			plan := dial(tab, endpointName(i), !isDown, true, failure, testStart.Add(at))
			if plan.CarriedFirst || tab.IsCutOff(testStart.Add(at)) {
				t.Fatalf("failure %d: endpoint %d out of reach at %s", failure, i, at)
			}
		}
	}
}

// Guards against a relay that leaves the endpoints it reaches when it cannot reach others.
func TestCutFromSomeEndpoints(t *testing.T) {
	tab := newTestTable()
	dial(tab, endpointName(6), true, true, Refused, testStart)
	for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
		i := int(at/(20*time.Millisecond)) % 24
		now := testStart.Add(at)
		plan := dial(tab, endpointName(i), true, i >= 6, Refused, now)
		if tab.IsCutOff(now) || i >= 6 && plan.CarriedFirst {
			t.Fatalf("endpoint %d, which can be reached, counts as out of reach at %s", i, at)
		}
		if at > 4*time.Second && i < 6 && len(plan.Carriers) == 0 {
			t.Fatalf("no carrier for endpoint %d at %s", i, at)
		}
	}
}

// Guards against a verdict that outlives its evidence: after a pause without connections, the endpoint is dialled directly again.
func TestVerdictLapses(t *testing.T) {
	tab := newTestTable()
	for i := range cutOffEndpoints {
		dial(tab, endpointName(i), true, false, Refused, testStart)
	}
	if now := testStart.Add(time.Second); !tab.IsCutOff(now) || !tab.Plan("other", now).CarriedFirst {
		t.Fatal("three endpoints are out of reach, and the process does not count as cut off")
	}
	if now := testStart.Add(verdictLifetime); tab.IsCutOff(now) || tab.Plan(endpointName(0), now).CarriedFirst {
		t.Error("the verdict does not lapse")
	}
}

// Guards against requests that each wait for a connection that can not be opened: while no other process can help, only one in
// probeInterval looks for the end of the cut.
func TestCutWithoutCarriers(t *testing.T) {
	tab := newTestTable()
	for i := range cutOffEndpoints {
		dial(tab, endpointName(i), true, false, Refused, testStart)
	}
	tab.SetCarriers(nil)
	probes := 0
	for at := time.Duration(0); at < verdictLifetime; at += 10 * time.Millisecond {
		if plan := tab.Plan(endpointName(5), testStart.Add(at)); !plan.IsHopeless() {
			probes++
		}
	}
	if most := int(verdictLifetime / probeInterval); probes == 0 || probes > most {
		t.Errorf("%d of the connections are tried, want 1 to %d", probes, most)
	}
}

// Guards against carriers of other domains, whose traffic may be dear, while one of the own domain helps, and against a carrier that is
// asked again and again though it does not answer.
func TestChoiceOfCarriers(t *testing.T) {
	tab := newTestTable()
	first := map[string]int{}
	for range 100 {
		plan := tab.Plan("e", testStart)
		if len(plan.Carriers) != maxCarriers {
			t.Fatalf("%d carriers", len(plan.Carriers))
		}
		first[plan.Carriers[0]]++
	}
	if first["a1"] != 100 {
		t.Errorf("first carriers %v, want a1 only", first)
	}
	asked := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		now := testStart.Add(at)
		if slices.Contains(tab.Plan("e", now).Carriers, "a1") {
			asked++
			tab.RecordCarrier("a1", NoAnswer, now)
		}
	}
	if asked > 6 {
		t.Errorf("a carrier that does not help was asked %d times in 10 s", asked)
	}
}

// Guards against connections that hang: those that were opened before the endpoint fell out of reach are dead, and those that were
// refused live on.
func TestDirectConnectionsHang(t *testing.T) {
	for failure, want := range map[Result]bool{Silent: true, Refused: false} {
		tab := newTestTable()
		dial(tab, "e", true, false, failure, testStart)
		if since, hangs := tab.HangsSince("e", testStart.Add(time.Second)); hangs != want || hangs && since.Before(testStart) {
			t.Errorf("failure %d: hangs %t since %s", failure, hangs, since)
		}
	}
}

// Guards against requests that are sent on connections which hang since the process was cut off from all endpoints, because their endpoint
// itself was not dialled since.
func TestConnectionsToAllEndpointsHang(t *testing.T) {
	for failure, want := range map[Result]bool{Silent: true, Refused: false} {
		tab := newTestTable()
		for i := range cutOffEndpoints {
			dial(tab, endpointName(i), true, false, failure, testStart)
		}
		now := testStart.Add(time.Second)
		if since, hangs := tab.HangsSince("another", now); hangs != want || hangs && (since.Before(testStart) || since.After(now)) {
			t.Errorf("failure %d: hangs %t since %s", failure, hangs, since)
		}
		tab.RecordDirect(endpointName(0), Connected, now)
		if _, hangs := tab.HangsSince("another", now); hangs {
			t.Errorf("failure %d: connections hang after the cut", failure)
		}
	}
}

// Guards against records that pile up, since each restart of an endpoint may bring a new address.
func TestPathsAreBounded(t *testing.T) {
	tab := newTestTable()
	for i := range 3 * maxPaths {
		tab.RecordDirect(endpointName(i), Refused, testStart.Add(time.Duration(i)*time.Millisecond))
	}
	if len(tab.paths) > maxPaths {
		t.Errorf("%d records, want at most %d", len(tab.paths), maxPaths)
	}
}

// Guards against a relay that asks only carriers which are cut off with it, as when its whole failure domain is.
func TestCarriersOfTwoDomainsAreAsked(t *testing.T) {
	tab := newTestTable()
	for range 100 {
		if c := tab.Plan("e", testStart).Carriers; c[0] != "a1" || c[1] == "a1" {
			t.Fatalf("carriers %v, want a1 first and one of another domain next", c)
		}
	}
}

// Guards against a carrier that takes endpoints for down since it is cut off itself.
func TestCarrierThatReachesNothingDoesNotJudge(t *testing.T) {
	tab := newTestTable()
	if tab.MayJudge(testStart) {
		t.Error("a process that has reached no endpoint yet may judge")
	}
	tab.RecordDirect("e", Connected, testStart)
	tab.RecordDirect("f", Refused, testStart)
	if !tab.MayJudge(testStart.Add(judgeLifetime / 2)) {
		t.Error("a process that has just reached an endpoint may not judge")
	}
	if tab.MayJudge(testStart.Add(judgeLifetime)) {
		t.Error("a process that has reached no endpoint for a while may judge")
	}
}

// Guards against requests that are refused after one late answer of the only carrier that can help.
func TestLateCarrierIsAskedAgain(t *testing.T) {
	tab := newTestTable()
	for _, c := range []string{"b1", "b2", "c1"} {
		tab.RecordCarrier(c, Declined, testStart)
	}
	tab.RecordCarrier("a1", NoAnswer, testStart)
	if c := tab.Plan("e", testStart.Add(time.Millisecond)).Carriers; !slices.Equal(c, []string{"a1"}) {
		t.Errorf("carriers %v, want a1, which only was late", c)
	}
}

// Guards against processes with other work that carry connections while relays can.
func TestReserveIsAskedLast(t *testing.T) {
	tab := newTestTable()
	tab.SetCarriers([]Carrier{{Address: "k1", Reserve: true}, {Address: "b1", Domain: "b"}, {Address: "k2", Reserve: true}, {Address: "k3", Reserve: true}})
	for range 100 {
		if p := tab.Plan("e", testStart); !slices.Equal(p.Carriers, []string{"b1"}) || len(p.Reserves) != maxReserves || slices.Contains(p.Reserves, "b1") {
			t.Fatalf("plan %+v, want b1 and %d of the others in reserve", p, maxReserves)
		}
	}
	tab.RecordCarrier("b1", Declined, testStart)
	if p := tab.Plan("e", testStart); len(p.Carriers) > 0 || len(p.Reserves) != maxReserves {
		t.Errorf("plan %+v, want %d in reserve only", p, maxReserves)
	}
}

// Guards against a carrier that is asked all the time although it does not reach the endpoints itself.
func TestUnsureCarrierIsAskedLess(t *testing.T) {
	tab := newTestTable()
	tab.RecordCarrier("a1", Unsure, testStart)
	for range 20 {
		if p := tab.Plan("e", testStart); slices.Contains(p.Carriers, "a1") {
			t.Fatalf("plan %+v, want others than a1", p)
		}
	}
}

// Guards against a verdict that lapses in the middle of a cut because nobody is left to carry connections.
func TestVerdictLastsWithoutCarriers(t *testing.T) {
	tab := newTestTable()
	for i := range cutOffEndpoints {
		dial(tab, endpointName(i), true, false, Refused, testStart)
	}
	tab.SetCarriers(nil)
	for at := time.Duration(0); at < 5*time.Second; at += 50 * time.Millisecond {
		now := testStart.Add(at)
		if !tab.IsCutOff(now) {
			t.Fatalf("the verdict has lapsed after %s", at)
		}
		if plan := tab.Plan(endpointName(7), now); !plan.IsHopeless() {
			tab.RecordDirect(endpointName(7), Refused, now)
		}
	}
	tab.RecordDirect(endpointName(7), Connected, testStart.Add(5*time.Second))
	if tab.IsCutOff(testStart.Add(5 * time.Second)) {
		t.Error("cut off after a direct connection")
	}
}

// Guards against an endpoint that is blamed for a silence which began in a cut and is noticed after its end.
func TestHungConnectionsAreRememberedAfterCut(t *testing.T) {
	for failure, want := range map[Result]bool{Silent: true, Refused: false} {
		tab := newTestTable()
		dial(tab, "e", true, false, failure, testStart)
		tab.RecordDirect("e", Connected, testStart.Add(time.Second))
		if got := tab.HasHungSince(testStart.Add(100 * time.Millisecond)); got != want {
			t.Errorf("failure %d: hung since the beginning of the cut: %t", failure, got)
		}
		if tab.HasHungSince(testStart.Add(2 * time.Second)) {
			t.Errorf("failure %d: hung since a time after the cut", failure)
		}
	}
}

// Guards against sound carriers that are left out for seconds because they were unsure of endpoints which had crashed.
func TestUnsureCarrierIsSoonAskedAgain(t *testing.T) {
	tab := newTestTable()
	now := testStart
	for range 5 {
		for _, c := range []string{"a1", "b1", "b2", "c1"} {
			tab.RecordCarrier(c, Unsure, now)
		}
		now = now.Add(5 * time.Second)
	}
	now = now.Add(initialBackoff - 5*time.Second)
	if p := tab.Plan("e", now); len(p.Carriers) != maxCarriers {
		t.Errorf("plan %+v, want %d carriers", p, maxCarriers)
	}
}
