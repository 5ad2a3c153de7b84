package place

import (
	"testing"
	"time"
)

// at returns the time some seconds after the start of the test.
func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// chosen returns how many of many choices fall on the endpoint.
func chosen(x *EndpointTable, id string, now time.Time) (n int) {
	for range 200 {
		if e, _ := x.ChooseEndpoint(EndpointRequirements{Service: "m", ModelEngines: true}, now); e.ID == id {
			n++
		}
	}
	return n
}

// Guards against requests, copies and resumed streams for an endpoint that has said that it is leaving or wants a pause.
func TestPlacementKeepsToAnnouncements(t *testing.T) {
	for name, n := range map[string]Announcement{"leaving": {Leaving: true}, "pause": {Pause: 4 * time.Second}} {
		x := newTable(4)
		e, _ := x.Get("e01")
		x.RecordAnnouncement(e.ID, n, at(0), at(0))
		if k := chosen(x, e.ID, at(3.9)); k > 0 {
			t.Errorf("%s: %d requests are sent to the endpoint", name, k)
		}
		for range 50 {
			if h, _ := x.ChooseCopyHolder(Endpoint{ID: "e00", Service: "m", Domain: "d0"}, "", at(1)); h.ID == e.ID {
				t.Fatalf("%s: the endpoint gets copies", name)
			}
		}
		if x.AcceptsCached(e.ID, at(1)) || x.AcceptsResumed(e.ID, at(0.5), at(1)) || len(x.AvailableEndpoints("m", at(1))) != 3 {
			t.Errorf("%s: the endpoint counts as available", name)
		}
		if !x.IsUp(e.ID, at(1)) {
			t.Errorf("%s: the endpoint counts as down, so that its streams would be given up", name)
		}
		if k, ended := chosen(x, e.ID, at(4.1)), !n.Leaving; (k > 0) != ended {
			t.Errorf("%s: after 4.1 s the endpoint gets %d of 200 requests", name, k)
		}
	}
}

// Guards against copies that are lost with their leaving holder, and streams of before that are kept from it meanwhile.
func TestStreamsOfBeforeResumeAtLeavingHolder(t *testing.T) {
	x := newTable(4)
	x.RecordAnnouncement("e01", Announcement{Leaving: true}, at(1), at(1))
	if !x.AcceptsResumed("e01", at(0.9), at(2)) || x.AcceptsResumed("e01", at(1.1), at(2)) || x.KeepsCopies("e01", at(2)) {
		t.Error("want streams of before at the holder, none of later, and copies moved")
	}
	x.RecordAnnouncement("e02", Announcement{Pause: time.Second}, at(1), at(1))
	if !x.KeepsCopies("e02", at(1.5)) {
		t.Error("copies leave a holder that only wants a pause")
	}
}

// Guards against an announcement that ends by an answer which doesn't take it back, or that never ends.
func TestEndOfLeaving(t *testing.T) {
	said := Announcement{Leaving: true}
	control := Announcement{Leaving: true, Control: true}
	for name, c := range map[string]struct {
		said  []Announcement
		later Announcement
		sent  float64
		ends  bool
	}{
		"later answer":                        {[]Announcement{said}, Announcement{}, 2, true},
		"answer to an earlier request":        {[]Announcement{said}, Announcement{}, 0.5, false},
		"answer sent at the same time":        {[]Announcement{said}, Announcement{}, 1, false},
		"unreadable answer":                   {[]Announcement{said}, Announcement{Unclear: true}, 2, false},
		"control answers that never say it":   {[]Announcement{said}, Announcement{Control: true}, 2, false},
		"control answer that no longer says":  {[]Announcement{said, control}, Announcement{Control: true}, 2, true},
		"answer of another endpoint":          {[]Announcement{said}, Announcement{Endpoint: "e09"}, 2, false},
		"request's answer, said by control":   {[]Announcement{control}, Announcement{}, 2, true},
		"refusal with a pause, still leaving": {[]Announcement{said}, Announcement{Leaving: true, Pause: 1}, 2, false},
	} {
		x := newTable(4)
		for _, n := range c.said {
			x.RecordAnnouncement("e01", n, at(1), at(1))
		}
		change := x.RecordAnnouncement("e01", c.later, at(c.sent), at(3))
		if got := chosen(x, "e01", at(5)) > 0; got != c.ends || change.LeavingEnded != c.ends {
			t.Errorf("%s: the endpoint gets requests: %v (change %+v), want %v", name, got, change, c.ends)
		}
	}
}

// Guards against a pause that is cut short by a shorter one, a success or a full endpoint's backoff, and against one without
// end by a value that makes no sense.
func TestEndOfPause(t *testing.T) {
	x := newTable(4)
	x.RecordAnnouncement("e01", Announcement{Pause: 10 * time.Second}, at(0), at(0))
	x.RecordAnnouncement("e01", Announcement{Pause: time.Second}, at(1), at(1))
	x.RecordAnnouncement("e01", Announcement{Pause: -time.Hour}, at(2), at(2))
	x.RecordSuccess("e01")
	x.RecordFull("e01", 100*time.Millisecond, at(2))
	if k := chosen(x, "e01", at(9.9)); k > 0 || chosen(x, "e01", at(10)) == 0 {
		t.Errorf("%d requests within the pause, want none, and some after it", k)
	}
	x.RecordAnnouncement("e01", Announcement{Pause: 1 << 62}, at(20), at(20))
	if end := at(20).Add(maxPause); x.AcceptsCached("e01", end.Add(-1)) || !x.AcceptsCached("e01", end) {
		t.Error("a pause without bound doesn't end after maxPause")
	}
}

// Guards against an announcement that is applied to another incarnation, and against memory that grows with endpoints that
// are gone.
func TestAnnouncementsEndWithTheirEndpoint(t *testing.T) {
	x := newTable(3)
	x.RecordAnnouncement("e01", Announcement{Leaving: true, Pause: time.Minute}, at(0), at(0))
	x.RecordAnnouncement("gone", Announcement{Leaving: true}, at(0), at(0))
	list := testEngines(3)
	address := list[1].Address
	list[1].ID = "e01-again"
	x.Update(list, at(0))
	if chosen(x, "e01-again", at(1)) == 0 || x.endpoints.Get("e01") != nil || x.endpoints.Get("gone") != nil {
		t.Error("the next endpoint at the address gets no requests, or the old one is kept")
	}
	x.RecordAnnouncement("e02", Announcement{Leaving: true, Pause: time.Minute}, at(0), at(0))
	list[2].Address = address
	x.Update(list, at(0))
	if chosen(x, "e02", at(1)) == 0 {
		t.Error("an endpoint that is back at another address gets no requests")
	}
}

// Guards against a refusal with a Retry-After that is not true while all endpoints of a service want no requests.
func TestTurnAfterPausesOfAll(t *testing.T) {
	x := newTable(3)
	for i, e := range testEngines(3) {
		x.RecordFull(e.ID, 100*time.Millisecond, at(0))
		x.RecordAnnouncement(e.ID, Announcement{Pause: time.Duration(5+i) * time.Second}, at(0), at(0))
	}
	wait, limited := x.NextTurn(EndpointRequirements{Service: "m"}, at(0.01))
	if want := 4990 * time.Millisecond; !limited || wait != want {
		t.Errorf("the first endpoint is back after %s (%v), want %s", wait, limited, want)
	}
}

// Guards against a wait that is too long because an endpoint that has failed, or is only full, returns before the pauses end, and
// against a wait though an endpoint accepts requests.
func TestFirstReturn(t *testing.T) {
	x := newTable(3)
	if _, paused := x.FirstReturn("m", at(0)); paused {
		t.Error("endpoints without a pause count as paused")
	}
	x.RecordAnnouncement("e00", Announcement{Pause: 5 * time.Second}, at(0), at(0))
	x.RecordAnnouncement("e01", Announcement{Pause: 9 * time.Second}, at(0), at(0))
	if _, paused := x.FirstReturn("m", at(0)); paused {
		t.Error("a service with an endpoint that accepts requests counts as paused")
	}
	x.RecordFailure("e02", true, at(0))
	if wait, paused := x.FirstReturn("m", at(1)); !paused || wait != downBackoff-time.Second {
		t.Errorf("the first return is after %s (%v), want that of the endpoint that failed", wait, paused)
	}
	x.RecordAnnouncement("e02", Announcement{Leaving: true}, at(1), at(1))
	if wait, paused := x.FirstReturn("m", at(2)); !paused || wait != 3*time.Second {
		t.Errorf("the first return is after %s (%v), want the end of the first pause", wait, paused)
	}
}

// Replays a load on a service whose endpoints all want no requests for 4 s: 200 callers a second that come back when they were told
// to. Guards against a return in one wave, and against one before the pause ends.
func TestRefusedCallersReturnSpread(t *testing.T) {
	x := newTable(3)
	for _, e := range testEngines(3) {
		x.RecordAnnouncement(e.ID, Announcement{Pause: 4 * time.Second}, at(0), at(0))
	}
	const callers, tick = 800, 200 * time.Millisecond
	returns := map[time.Duration]int{}
	for i := range callers {
		now := testStart.Add(time.Duration(i) * 5 * time.Millisecond)
		wait, paused := x.FirstReturn("m", now)
		back := now.Add(SpreadRetry(wait, x.Rand.Float64())).Sub(testStart)
		if !paused || back < 4*time.Second {
			t.Fatalf("a caller of %s is told to return after %s", now.Sub(testStart), back)
		}
		returns[back/tick]++
	}
	for _, n := range returns {
		// All at once would be 800; the load itself is 40 in each tick.
		if n > callers/4 {
			t.Errorf("%d of %d callers return within %s", n, callers, tick)
		}
	}
}

// Guards against a pause whose end is never reported, or more than once.
func TestSweepAnnouncements(t *testing.T) {
	x := newTable(3)
	x.RecordAnnouncement("e00", Announcement{Leaving: true}, at(0), at(0))
	x.RecordAnnouncement("e01", Announcement{Pause: 2 * time.Second}, at(0), at(0))
	if ended, leaving, paused := x.SweepAnnouncements(at(1.9)); len(ended) != 0 || leaving != 1 || paused != 1 {
		t.Errorf("within the pause: %v ended, %d leaving, %d paused", ended, leaving, paused)
	}
	if ended, _, paused := x.SweepAnnouncements(at(2)); len(ended) != 1 || ended[0] != "e01" || paused != 0 {
		t.Errorf("after the pause: %v ended, %d paused", ended, paused)
	}
	if ended, _, _ := x.SweepAnnouncements(at(3)); len(ended) != 0 {
		t.Errorf("the end of the pause of %v is reported again", ended)
	}
}

// Guards against streams that are resumed at an endpoint which the platform's list has shown as draining for long, and against
// copies that are lost with it.
func TestDrainingHolderGetsNoLateResumes(t *testing.T) {
	x := newTable(4)
	list := testEngines(4)
	list[1].Draining = true
	x.Update(list, at(10))
	x.Update(list, at(10.5))
	if !x.AcceptsCached("e01", at(10.9)) || !x.AcceptsResumed("e01", at(9), at(10.9)) {
		t.Error("a stream isn't resumed at an endpoint that has just begun to drain")
	}
	if x.AcceptsCached("e01", at(11.1)) || x.AcceptsResumed("e01", at(9), at(11.1)) {
		t.Error("a stream is resumed at an endpoint that has drained for more than a second")
	}
	if x.KeepsCopies("e01", at(10.1)) {
		t.Error("copies stay at a draining holder")
	}
	list[1].Draining = false
	x.Update(list, at(12))
	if !x.AcceptsCached("e01", at(20)) || !x.KeepsCopies("e01", at(20)) {
		t.Error("an endpoint that no longer drains gets no streams")
	}
}
