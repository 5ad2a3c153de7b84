package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// brittleTick is the step of the simulated time.
const brittleTick = 5 * time.Millisecond

// brittleRequest is a request that an endpoint runs.
type brittleRequest struct {
	relay    int
	endpoint string
	end      time.Time
}

// brittleLoad replays more requests than brittle endpoints have room for.
type brittleLoad struct {
	rand       *rand.Rand
	slots      int
	rejections float64
	// length is the longest time that a request takes.
	length    time.Duration
	endpoints []Endpoint
	tables    []*EndpointTable
	running   []brittleRequest
	rejected  map[string][]time.Time
	served    int
	refused   int
}

// newBrittleLoad returns a load on the endpoints of one service that all relays know to be brittle.
func newBrittleLoad(relays, endpoints, slots int, rejections float64, length time.Duration) *brittleLoad {
	l := &brittleLoad{rand: rand.New(rand.NewPCG(1, 2)), slots: slots, rejections: rejections, length: length, rejected: map[string][]time.Time{}}
	for i := range endpoints {
		l.endpoints = append(l.endpoints, Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "p", Domain: "d", Slots: slots})
	}
	for i := range relays {
		l.addRelay(i, relays, testStart)
	}
	return l
}

// addRelay adds a relay that knows the endpoints.
func (l *brittleLoad) addRelay(index, relays int, now time.Time) {
	x := &EndpointTable{Rand: rand.New(rand.NewPCG(1, uint64(len(l.tables))))}
	x.Update(l.endpoints, now)
	x.SetTurns(index, relays, now.Add(-time.Minute))
	l.tables = append(l.tables, x)
	l.say(x, now)
}

// say makes all endpoints tell a relay that they are brittle.
func (l *brittleLoad) say(x *EndpointTable, now time.Time) {
	for _, e := range l.endpoints {
		x.RecordAnnouncement(e.ID, Announcement{Brittle: Brittleness{Said: true, Rejections: l.rejections}}, now, now)
	}
}

// tick ends the requests that are done, and makes each relay send as many as it may, up to the given number.
func (l *brittleLoad) tick(now time.Time, each int) {
	l.running = slices.DeleteFunc(l.running, func(r brittleRequest) bool {
		if now.Before(r.end) {
			return false
		}
		l.tables[r.relay].RequestEnded(r.endpoint, now)
		l.tables[r.relay].RecordSuccess(r.endpoint)
		l.say(l.tables[r.relay], now)
		l.served++
		return true
	})
	for _, i := range l.rand.Perm(len(l.tables)) {
		for range each {
			l.send(i, now)
		}
	}
}

// send sends one request of the relay, if it may send one.
func (l *brittleLoad) send(relay int, now time.Time) {
	x := l.tables[relay]
	e, ok := x.ChooseEndpoint(EndpointRequirements{Service: "p"}, now)
	if !ok {
		l.refused++
		return
	}
	x.RequestStarted(e.ID, false, now)
	n := 0
	for _, r := range l.running {
		if r.endpoint == e.ID {
			n++
		}
	}
	if n < l.slots {
		took := l.length/4 + time.Duration(l.rand.Float64()*float64(l.length)*3/4)
		l.running = append(l.running, brittleRequest{relay, e.ID, now.Add(took)})
		return
	}
	l.rejected[e.ID] = append(l.rejected[e.ID], now)
	x.RequestEnded(e.ID, now)
	x.RecordFull(e.ID, 100*time.Millisecond, now)
}

// mostRejected returns the largest number of rejections by an endpoint in any second.
func (l *brittleLoad) mostRejected() (most int) {
	for _, times := range l.rejected {
		for i, first := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// Replays more requests than brittle endpoints have room for, by relays that agree on their number: nothing may be rejected,
// and the endpoints' room is used if the relays can use it all.
func TestRelaysShareRoomOfBrittleEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.SampledFrom([]int{1, 3, 4, 8, 76}).Draw(t, "relays")
		endpoints := rapid.SampledFrom([]int{1, 3, 8}).Draw(t, "endpoints")
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		l := newBrittleLoad(relays, endpoints, slots, 3, 200*time.Millisecond)
		const length = time.Second
		used, each := 0, endpoints*slots/relays+1
		for d := time.Duration(0); d < length; d += brittleTick {
			l.tick(testStart.Add(d), each)
			used += len(l.running)
		}
		if n := l.mostRejected(); n > 0 {
			t.Fatalf("%d relays made an endpoint with %d slots reject %d requests in a second", relays, slots, n)
		}
		room := endpoints * slots * int(length/brittleTick)
		if share := float64(used) / float64(room); share < 0.8 {
			t.Fatalf("%d relays used %.2f of the room of %d endpoints with %d slots", relays, share, endpoints, slots)
		}
	})
}

// Relays that come and go while brittle endpoints are full: a relay that gets a larger share doesn't use it while others may
// still use theirs, so that no endpoint has to reject more than it bears. One relay may be cut off from the keepers and keep the
// share that it had.
func TestRelaysShareRoomWhileRelaysChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SampledFrom([]int{1, 4, 7, 16}).Draw(t, "slots")
		length := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, 800 * time.Millisecond}).Draw(t, "length")
		before := rapid.IntRange(2, 12).Draw(t, "before")
		after := rapid.IntRange(2, 12).Draw(t, "after")
		l := newBrittleLoad(before, 3, slots, 3, length)
		learns := make([]time.Duration, max(before, after))
		for i := range learns {
			learns[i] = 2*time.Second + time.Duration(rapid.IntRange(0, 30).Draw(t, "learns"))*10*time.Millisecond
		}
		if rapid.Bool().Draw(t, "cut off") {
			learns[0] = time.Hour
		}
		served := 0
		for d := time.Duration(0); d < 8*time.Second; d += brittleTick {
			now := testStart.Add(d)
			for i, at := range learns {
				switch {
				case d != at:
				case i >= before:
					for len(l.tables) <= i {
						l.addRelay(-1, after, now)
					}
					l.tables[i].SetTurns(i, after, now)
				case i >= after:
					l.tables[i].SetTurns(-1, after, now)
				default:
					l.tables[i].SetTurns(i, after, now)
				}
			}
			if d == 7*time.Second {
				served = l.served
			}
			l.tick(now, 2)
		}
		if n := l.mostRejected(); n > int(l.rejections) {
			t.Fatalf("%d relays, then %d, made an endpoint with %d slots reject %d requests in a second, it bears %v", before, after, slots, n, l.rejections)
		}
		if l.served == served {
			t.Fatal("nothing was served after the relays had changed")
		}
	})
}

// What an endpoint says holds for others of its service that have said nothing later, also for one that starts again, and
// ends with an answer without it.
func TestBrittlenessOfService(t *testing.T) {
	x := &EndpointTable{Rand: rand.New(rand.NewPCG(1, 1))}
	list := []Endpoint{{ID: "e0", Service: "p", Slots: 1}, {ID: "e1", Service: "p", Slots: 1}, {ID: "o", Service: "other", Slots: 1}}
	x.Update(list, testStart)
	x.SetTurns(0, 1, testStart.Add(-time.Minute))
	at := func(s float64) time.Time { return testStart.Add(time.Duration(s * float64(time.Second))) }
	brittle := Announcement{Brittle: Brittleness{Said: true, Rejections: 2}}
	count := func(now time.Time) (n int) {
		for _, b := range x.BrittleServices(now) {
			n += b.Endpoints
		}
		return n
	}
	x.RecordAnnouncement("e1", Announcement{}, at(0), at(0.1))
	x.RecordAnnouncement("e0", brittle, at(0.2), at(0.3))
	if n := count(at(0.4)); n != 2 {
		t.Errorf("%d endpoints are brittle, want both of the service", n)
	}
	x.RecordAnnouncement("e1", Announcement{Control: true}, at(0.5), at(0.6))
	x.RecordAnnouncement("e1", Announcement{Unclear: true}, at(0.5), at(0.6))
	if n := count(at(0.6)); n != 2 {
		t.Errorf("%d endpoints are brittle after answers that may lack the header, want 2", n)
	}
	x.RecordAnnouncement("e1", Announcement{}, at(0.5), at(0.6))
	if n := count(at(0.6)); n != 1 {
		t.Errorf("%d endpoints are brittle, want the one that says so", n)
	}
	x.Update([]Endpoint{{ID: "e2", Service: "p", Slots: 1}}, at(1))
	if n := count(at(1)); n != 1 {
		t.Errorf("%d endpoints are brittle after the endpoint started again, want 1", n)
	}
	x.RequestStarted("e2", false, at(1))
	if x.HasEligible(EndpointRequirements{Service: "p"}, at(1)) || !x.LacksRoom(EndpointRequirements{Service: "p"}, at(1)) {
		t.Error("an endpoint that started again gets more than it has room for")
	}
	if n := count(at(0.3).Add(brittleMemory)); n != 0 {
		t.Errorf("%d endpoints are brittle long after the last answer said so", n)
	}
}

// A request that was given up takes room at a brittle endpoint for as long as the endpoint may run it.
func TestAbandonedRequestTakesRoom(t *testing.T) {
	l := newBrittleLoad(1, 1, 1, 3, time.Second)
	x, req := l.tables[0], EndpointRequirements{Service: "p"}
	x.RequestStarted("e00", false, testStart)
	x.RequestEnded("e00", testStart)
	x.RequestAbandoned("e00", testStart.Add(time.Second), testStart)
	if x.HasEligible(req, testStart.Add(900*time.Millisecond)) {
		t.Error("the endpoint gets a request while it may run the one that was given up")
	}
	if !x.HasEligible(req, testStart.Add(time.Second)) {
		t.Error("the endpoint gets no request after the one that was given up has ended")
	}
}
