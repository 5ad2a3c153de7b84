package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// searchRun replays a search of a relay whose share of the processor is taken by its queries: each costs the time cost, and an engine that
// is down answers nothing.
type searchRun struct {
	search *Search
	now    time.Time
	cost   time.Duration
	isDown func(id string) bool
	// queue holds the queries that wait for the processor, and answered counts those that have got an answer.
	queue    []Endpoint
	answered int
	// longestQueue is the longest time for which other work had to wait behind the queue.
	longestQueue time.Duration
}

// newSearchRun returns a run among n engines.
func newSearchRun(n int, cost time.Duration, isDown func(id string) bool) *searchRun {
	engines := make([]Endpoint, n)
	for i := range engines {
		engines[i] = Endpoint{ID: fmt.Sprint(i)}
	}
	return &searchRun{search: NewSearch(engines, rand.New(rand.NewPCG(1, 2))), now: time.Unix(1000, 0), cost: cost, isDown: isDown}
}

// await has a request wait for the result for the time d.
func (r *searchRun) await(d time.Duration) {
	until := r.now.Add(d)
	r.search.Await(until)
	for r.now.Before(until) {
		r.queue = append(r.queue, r.search.Start(r.now)...)
		r.longestQueue = max(r.longestQueue, time.Duration(len(r.queue))*r.cost)
		if len(r.queue) == 0 {
			r.now = r.now.Add(time.Millisecond)
			continue
		}
		e := r.queue[0]
		r.queue = r.queue[1:]
		r.now = r.now.Add(r.cost)
		if !r.isDown(e.ID) {
			r.search.End(e.ID)
			r.answered++
		}
	}
}

// The load of the large site: a stream's engine is lost with nine tenths of its failure domain, and the relay, which has a fifth of a core,
// looks among 512 engines for the prompt. Its other work must not wait longer than a probe may take, and what it can ask must be asked.
func TestSearchAmongHundredsOfEngines(t *testing.T) {
	down := func(id string) bool { return id >= "1" && id < "2" }
	for name, cost := range map[string]time.Duration{"a fifth of a core": time.Millisecond, "a whole core": 200 * time.Microsecond} {
		r := newSearchRun(512, cost, down)
		const wait = 80 * time.Millisecond
		r.await(wait)
		if r.longestQueue > 60*time.Millisecond {
			t.Errorf("%s: other work waits for %s", name, r.longestQueue)
		}
		if want := int(wait/cost) / 3; r.answered < min(want, 200) {
			t.Errorf("%s: %d engines have answered, want %d", name, r.answered, want)
		}
		if list := r.search.Start(r.now); len(list) > 0 {
			t.Errorf("%s: %d engines are asked although no request waits", name, len(list))
		}
	}
}

// A later request must find what those before it have left unasked, and a search must end.
func TestSearchGoesOnWithNextRequest(t *testing.T) {
	r := newSearchRun(200, time.Millisecond, func(string) bool { return false })
	r.await(80 * time.Millisecond)
	first := r.answered
	for range 4 {
		r.await(80 * time.Millisecond)
	}
	if first < 60 || r.answered != 200 || !r.search.IsComplete() {
		t.Errorf("%d engines have answered, %d at first; complete: %v", r.answered, first, r.search.IsComplete())
	}
}

// A third of the engines that is down must not keep a search from asking the others.
func TestSearchPassesEnginesThatAreDown(t *testing.T) {
	r := newSearchRun(120, 200*time.Microsecond, func(id string) bool { return len(id) == 2 && id < "50" })
	r.await(80 * time.Millisecond)
	if r.answered != 80 {
		t.Errorf("%d of 80 engines have answered", r.answered)
	}
}
