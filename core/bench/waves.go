package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wasabiweir/core/place"
)

// Times of the waves scenario, from the days of the users' platform: prompts of 5,000 tokens, streams of 140 events.
const (
	waveEnd      = 60 * time.Second
	wavePrompt   = time.Second             // an idle engine reads a prompt
	waveStream   = 4500 * time.Millisecond // from the first event to the last
	waveEvery    = 6500 * time.Millisecond // between two crashes
	waveDown     = 1200 * time.Millisecond // from a crash to the start under another id
	waveListed   = 800 * time.Millisecond  // from that start to the list that shows it
	waveReset    = 5 * time.Millisecond    // a reset is seen
	waveSilent   = 420 * time.Millisecond  // silence is seen, and the engine asked
	waveFromCopy = 30 * time.Millisecond   // a stream goes on from its copy
	waveRetry    = 25 * time.Millisecond   // between two tries while no engine takes work
	waveReport   = 500 * time.Millisecond  // age of the reports that a policy goes by
	// waveShare is the part of a failure domain's engines that a crash hits.
	waveShare = 0.9
	// waveRate is the number of streams a second for each engine, a fifth of what it can read.
	waveRate = 0.22
	// waveObjective is the time within which the first event is on time.
	waveObjective = 4500 * time.Millisecond
)

// pattern is a load that was seen on the platform's days.
type pattern struct {
	name    string
	crashes bool
	// rate returns the load at a time, against the usual one.
	rate func(at time.Duration) float64
	// crowd is the number of streams for each engine that callers resume at once in the middle, after a loss of relays.
	crowd float64
	// repeats is the part of the callers that send three times.
	repeats float64
	// leaves is the part of the callers that leave before the first event.
	leaves float64
}

func usual(time.Duration) float64 { return 1 }

func burst(at time.Duration) float64 {
	if at > waveEnd/2 && at < waveEnd/2+5*time.Second {
		return 1.8
	}
	return 1
}

var patterns = []pattern{
	{name: "calm", rate: usual},
	{name: "crashes", crashes: true, rate: usual},
	{name: "burst-over-crash", crashes: true, rate: burst},
	{name: "callers-resume", crashes: true, rate: usual, crowd: 0.6},
	{name: "callers-repeat", crashes: true, rate: usual, repeats: 0.15},
	{name: "callers-leave", crashes: true, rate: usual, leaves: 0.2},
}

// waves is a run of one pattern.
type waves struct {
	timeline
	began   time.Time
	rng     *rand.Rand
	pattern pattern
	plan    plan
	engines []*waveEngine
	relays  []*waveRelay
	named   int

	firsts, pauses []float64
	streams        int
	met            int // prompts behind another one while an engine was idle
	again          int // prompts that were read once more
	late           int
}

// waveEngine reads prompts one after another.
type waveEngine struct {
	place.Endpoint
	up   bool
	boot int
	busy time.Time // when the last prompt that waits is read
	// reported is the number of streams in the latest report.
	reported int
	streams  []*waveStreamRun
}

type waveRelay struct {
	table place.Table
	turn  int
}

// waveStreamRun is one stream on its way.
type waveStreamRun struct {
	relay  *waveRelay
	began  time.Time
	last   time.Time // when the caller got the last event
	first  bool      // the first event has been passed on
	left   bool
	engine *waveEngine
	id     string // of the engine when the stream was sent
	boot   int    // of the engine when the stream was sent
	holder *waveEngine
	held   int // boot of the holder
	ends   time.Duration
}

func runWaves(o Options, d deployment) map[string]Figures {
	out := map[string]Figures{}
	for _, p := range o.plans() {
		out[p.name] = Figures{}
		for _, x := range patterns {
			w := newWaves(o.Seed, d, p, x)
			w.play()
			out[p.name][x.name] = w.figures()
		}
	}
	return out
}

func newWaves(seed uint64, d deployment, p plan, x pattern) *waves {
	w := &waves{rng: rand.New(rand.NewPCG(seed, 5)), pattern: x, plan: p}
	w.now = time.Unix(0, 0)
	w.began = w.now
	for i := range d.engines {
		w.engines = append(w.engines, &waveEngine{up: true, Endpoint: w.endpoint(d.domains[i%len(d.domains)])})
	}
	for i := range routers {
		r := &waveRelay{turn: i}
		r.table.Rand = rand.New(rand.NewPCG(seed, uint64(i)))
		r.table.Divide(i, routers)
		w.relays = append(w.relays, r)
	}
	w.list()
	return w
}

func (w *waves) endpoint(domain string) place.Endpoint {
	w.named++
	return place.Endpoint{ID: fmt.Sprintf("e%03d", w.named), Service: "m", Domain: domain, Slots: 64}
}

// list brings the relays the present list.
func (w *waves) list() {
	var list []place.Endpoint
	for _, e := range w.engines {
		list = append(list, e.Endpoint)
	}
	for _, r := range w.relays {
		r.table.Update(list)
	}
}

func (w *waves) play() {
	w.arrive()
	w.every(waveReport, func() bool {
		for _, e := range w.engines {
			e.reported = len(e.streams)
		}
		return true
	})
	if w.pattern.crashes {
		n := 0
		w.every(waveEvery, func() bool {
			w.crash(n%3, n%2 == 1)
			n++
			return true
		})
	}
	if w.pattern.crowd > 0 {
		w.after(waveEnd/2, func() {
			for range int(w.pattern.crowd * float64(len(w.engines))) {
				w.start(w.relays[w.rng.IntN(len(w.relays)/2)])
			}
		})
	}
	w.run(w.began.Add(waveEnd))
}

// arrive starts a stream and plans the next arrival.
func (w *waves) arrive() {
	at := w.now.Sub(w.began)
	rate := waveRate * float64(len(w.engines)) * w.pattern.rate(at)
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	n := 1
	if w.rng.Float64() < w.pattern.repeats {
		n = 3
	}
	for range n {
		w.start(w.relays[w.rng.IntN(len(w.relays))])
	}
}

func (w *waves) start(r *waveRelay) {
	s := &waveStreamRun{relay: r, began: w.now, last: w.now, ends: waveStream/2 + time.Duration(w.rng.Int64N(int64(waveStream)))}
	w.streams++
	if w.rng.Float64() < w.pattern.leaves {
		w.after(wavePrompt/2, func() { w.leave(s) })
	}
	w.place(s)
}

func (w *waves) leave(s *waveStreamRun) {
	s.left = true
	if s.engine != nil {
		w.release(s)
	}
}

// place sends a stream to an engine that reads its prompt.
func (w *waves) place(s *waveStreamRun) {
	if s.left {
		return
	}
	e := w.choose(s.relay)
	if e == nil {
		w.after(waveRetry, func() { w.place(s) })
		return
	}
	w.send(s, e, true)
	if !e.up {
		return
	}
	if e.busy.After(w.now) && slices.ContainsFunc(w.engines, func(x *waveEngine) bool { return x.up && !x.busy.After(w.now) }) {
		w.met++
	}
	e.busy = later(e.busy, w.now).Add(wavePrompt)
	boot := e.boot
	w.after(e.busy.Sub(w.now), func() {
		if e.boot == boot && s.engine == e && !s.left {
			s.relay.table.Read(s.id)
			w.goOn(s)
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// send counts a stream on an engine; one that is down is noticed after a while.
func (w *waves) send(s *waveStreamRun, e *waveEngine, reads bool) {
	s.engine, s.id, s.boot = e, e.ID, e.boot
	s.relay.table.Began(e.ID, reads)
	e.streams = append(e.streams, s)
	if !e.up {
		w.after(waveReset, func() { w.lost(s, e, e.boot) })
	}
}

// release takes a stream off its engine.
func (w *waves) release(s *waveStreamRun) {
	s.relay.table.Ended(s.id)
	s.engine.streams = slices.DeleteFunc(s.engine.streams, func(x *waveStreamRun) bool { return x == s })
	s.engine = nil
}

// goOn passes events on until the stream ends or its engine is lost.
func (w *waves) goOn(s *waveStreamRun) {
	if !s.first {
		s.first = true
		w.firsts = append(w.firsts, w.now.Sub(s.began).Seconds()*1000)
		if w.now.Sub(s.began) > waveObjective {
			w.late++
		}
	} else {
		w.pauses = append(w.pauses, w.now.Sub(s.last).Seconds()*1000)
	}
	w.hold(s)
	e, boot := s.engine, s.boot
	w.after(s.ends, func() {
		if s.engine == e && e.boot == boot {
			w.release(s)
		}
	})
}

// hold chooses the holder of the copy.
func (w *waves) hold(s *waveStreamRun) {
	s.holder = nil
	if h, ok := s.relay.table.Holder(s.engine.Endpoint, "", w.now); ok {
		s.holder = w.byID(h.ID)
	}
	if s.holder != nil {
		s.held = s.holder.boot
	}
}

func (w *waves) byID(id string) *waveEngine {
	for _, e := range w.engines {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// choose picks an engine as the plan says.
func (w *waves) choose(r *waveRelay) *waveEngine {
	switch {
	case !w.plan.simple:
		if e, ok := r.table.Choose(place.Want{Service: "m", Model: true}, w.now); ok {
			return w.byID(e.ID)
		}
		return nil
	case w.plan.name == policyRound:
		r.turn++
		return w.engines[r.turn%len(w.engines)]
	}
	return slices.MinFunc(w.engines, func(a, b *waveEngine) int { return a.reported - b.reported })
}

// crash ends most engines of a failure domain, which start again under other ids.
func (w *waves) crash(domain int, dark bool) {
	seen := waveReset
	if dark {
		seen = waveSilent
	}
	for i, e := range w.engines {
		if i%3 != domain || w.rng.Float64() > waveShare {
			continue
		}
		e.up = false
		e.boot++
		e.busy = w.now
		boot := e.boot
		for _, s := range slices.Clone(e.streams) {
			s.last = w.now
			w.after(seen, func() { w.lost(s, e, boot) })
		}
		w.copyAnew(e, seen)
		w.after(waveDown, func() { e.up = true })
		w.after(waveDown+waveListed, func() {
			e.Endpoint = w.endpoint(e.Domain)
			w.list()
		})
	}
}

// copyAnew gives the streams whose copies an engine held another holder, once its loss is seen.
func (w *waves) copyAnew(holder *waveEngine, seen time.Duration) {
	for _, e := range w.engines {
		for _, s := range e.streams {
			if s.holder != holder {
				continue
			}
			w.after(seen, func() {
				if s.engine == e && s.holder == holder {
					s.relay.table.Failed(holder.ID, true, w.now)
					w.hold(s)
				}
			})
		}
	}
}

// lost sends a stream elsewhere when the loss of its engine is seen.
func (w *waves) lost(s *waveStreamRun, e *waveEngine, boot int) {
	if s.engine != e || e.boot != boot || s.left {
		return
	}
	s.relay.table.Failed(s.id, true, w.now)
	w.release(s)
	if s.first && s.holder != nil && s.holder.up && s.holder.boot == s.held {
		w.send(s, s.holder, false)
		h := s.holder
		w.after(waveFromCopy, func() {
			if s.engine == h && h.boot == s.held {
				w.goOn(s)
			}
		})
		return
	}
	if s.first {
		w.again++
	}
	w.place(s)
}

func (w *waves) figures() Figures {
	return Figures{
		"streams":              float64(w.streams),
		"first-event-ms":       quantiles(w.firsts, "p50", "p99", "max"),
		"resume-pause-ms":      quantiles(w.pauses, "p50", "p99", "max"),
		"met-while-idle-ratio": round(divide(float64(w.met), float64(w.streams))),
		"read-again-ratio":     round(divide(float64(w.again), float64(w.streams))),
		"late-ratio":           round(divide(float64(w.late), float64(w.streams))),
	}
}
