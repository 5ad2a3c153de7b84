package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wasabiweir/core/place"
)

// Parameters of the waves scenario, in which failure domains crash, from measurements on the users' platform: prompts
// of 5,000 tokens and output streams of 140 events.
const (
	waveDuration        = 60 * time.Second
	wavePrefillTime     = time.Second             // an idle engine prefills a prompt
	waveStreamTime      = 4500 * time.Millisecond // mean time from the first event to the last
	waveCrashInterval   = 6500 * time.Millisecond // between two crashes of a failure domain
	waveRestartDelay    = 1200 * time.Millisecond // from a crash to the restart under a new id
	waveListDelay       = 800 * time.Millisecond  // from the restart until the instance list shows it
	waveResetDelay      = 5 * time.Millisecond    // until a reset is detected
	waveSilenceDelay    = 420 * time.Millisecond  // until silence is detected and confirmed by a probe
	waveCopyResumeDelay = 30 * time.Millisecond   // until a stream continues from its copy
	waveRetryInterval   = 25 * time.Millisecond   // between two tries while no engine accepts work
	waveReportInterval  = 500 * time.Millisecond  // between two load reports
	// waveCrashShare is the fraction of a failure domain's engines that a crash of the domain hits.
	waveCrashShare = 0.9
	// waveStreamRate is the number of new streams per second and engine. It is a fifth of the number of prompts that
	// an engine can prefill.
	waveStreamRate = 0.22
	// waveFirstEventTarget is the time after which the first event of a stream counts as late.
	waveFirstEventTarget = 4500 * time.Millisecond
)

// loadPattern is a combination of load and faults that was observed on the users' platform.
type loadPattern struct {
	name    string
	crashes bool // failure domains crash in turn
	// rate returns the rate of new streams at a time after the start, relative to the usual rate.
	rate func(at time.Duration) float64
	// resumesPerEngine is the number of streams per engine that callers resume at once, halfway through the run, as
	// after a loss of relays.
	resumesPerEngine float64
	// repeatShare is the fraction of the callers that send the same request three times.
	repeatShare float64
	// leaveShare is the fraction of the callers that disconnect before the first event.
	leaveShare float64
}

// constantRate is the rate of new streams, relative to the usual one, in a pattern of constant load.
func constantRate(time.Duration) float64 { return 1 }

// burstRate is the rate of new streams, relative to the usual one, in a pattern with a burst: 1.8 for 5 s, halfway
// through the run, and otherwise 1.
func burstRate(at time.Duration) float64 {
	if at > waveDuration/2 && at < waveDuration/2+5*time.Second {
		return 1.8
	}
	return 1
}

// loadPatterns holds the patterns of load and faults that the waves scenario simulates.
var loadPatterns = []loadPattern{
	{name: "calm", rate: constantRate},
	{name: "crashes", crashes: true, rate: constantRate},
	{name: "burst-over-crash", crashes: true, rate: burstRate},
	{name: "callers-resume", crashes: true, rate: constantRate, resumesPerEngine: 0.6},
	{name: "callers-repeat", crashes: true, rate: constantRate, repeatShare: 0.15},
	{name: "callers-leave", crashes: true, rate: constantRate, leaveShare: 0.2},
}

// crashWaveSim is a simulated run of the waves scenario: one pattern of load and crashes with one routing policy.
type crashWaveSim struct {
	virtualClock
	start   time.Time
	rng     *rand.Rand
	pattern loadPattern
	policy  policySpec
	engines []*waveEngine
	relays  []*waveRelay
	lastID  int // number in the newest engine id

	firstEventsMS, pausesMS []float64
	streams                 int // streams started
	avoidableWaits          int // prompts queued behind another one while an engine was idle
	repeatedPrefills        int // prompts that were prefilled again
	lateStreams             int // streams whose first event came after waveFirstEventTarget
}

// waveEngine is a fake engine of the waves scenario that prefills one prompt at a time.
type waveEngine struct {
	place.Endpoint
	up          bool
	incarnation int       // number of crashes so far
	busyUntil   time.Time // when its last queued prompt is prefilled
	// reportedStreams is the number of streams in the engine's latest load report.
	reportedStreams int
	streams         []*waveStream
}

// waveRelay is a simulated relay of the waves scenario. It has its own table of the state of all endpoints; with the
// project's policy it chooses engines by this table.
type waveRelay struct {
	table     place.EndpointTable
	lastIndex int // engine that the round-robin policy picked last
}

// waveStream is the output stream of one caller's request in the waves scenario.
type waveStream struct {
	relay             *waveRelay
	startedAt         time.Time
	lastEventAt       time.Time // when the caller received the last event
	firstSent         bool      // the first event has been sent to the caller
	callerLeft        bool      // the caller has disconnected
	engine            *waveEngine
	engineID          string        // id of the engine when the stream was sent to it
	incarnation       int           // incarnation of the engine when the stream was sent to it
	copyHolder        *waveEngine   // engine that holds a copy of the stream's KV cache
	holderIncarnation int           // incarnation of the copy holder when it was chosen
	remaining         time.Duration // from the first event, or the last resume, to the end
}

// runCrashWaves simulates the waves scenario, each pattern of load and crashes with each policy, and returns the
// metrics by policy.
func runCrashWaves(o Options, d deployment) map[string]Metrics {
	out := map[string]Metrics{}
	for _, p := range o.selectedPolicies() {
		out[p.name] = Metrics{}
		for _, x := range loadPatterns {
			w := newCrashWaveSim(o.Seed, d, p, x)
			w.simulateRun()
			out[p.name][x.name] = w.collectMetrics()
		}
	}
	return out
}

// newCrashWaveSim returns a simulated run of the load pattern with the policy, ready to start.
func newCrashWaveSim(seed uint64, d deployment, p policySpec, x loadPattern) *crashWaveSim {
	w := &crashWaveSim{rng: rand.New(rand.NewPCG(seed, 5)), pattern: x, policy: p}
	w.now = time.Unix(0, 0)
	w.start = w.now
	for i := range d.engines {
		w.engines = append(w.engines, &waveEngine{up: true, Endpoint: w.newEndpoint(d.domains[i%len(d.domains)])})
	}
	for i := range routerCount {
		r := &waveRelay{lastIndex: i}
		r.table.Rand = rand.New(rand.NewPCG(seed, uint64(i)))
		r.table.SetRelayIndex(i, routerCount)
		w.relays = append(w.relays, r)
	}
	w.updateLists()
	return w
}

// newEndpoint returns an engine's endpoint with a new id in the failure domain.
func (w *crashWaveSim) newEndpoint(domain string) place.Endpoint {
	w.lastID++
	return place.Endpoint{ID: fmt.Sprintf("e%03d", w.lastID), Service: "m", Domain: domain, Slots: 64}
}

// updateLists sends the current list of engine instances to all simulated relays.
func (w *crashWaveSim) updateLists() {
	var list []place.Endpoint
	for _, e := range w.engines {
		list = append(list, e.Endpoint)
	}
	for _, r := range w.relays {
		r.table.Update(list, w.now)
	}
}

// simulateRun runs the arrivals, load reports and faults of the load pattern until waveDuration.
func (w *crashWaveSim) simulateRun() {
	w.scheduleArrivals()
	w.scheduleEvery(waveReportInterval, func() bool {
		for _, e := range w.engines {
			e.reportedStreams = len(e.streams)
		}
		return true
	})
	if w.pattern.crashes {
		n := 0
		w.scheduleEvery(waveCrashInterval, func() bool {
			w.crashDomain(n%3, n%2 == 1)
			n++
			return true
		})
	}
	if w.pattern.resumesPerEngine > 0 {
		w.scheduleAfter(waveDuration/2, func() {
			for range int(w.pattern.resumesPerEngine * float64(len(w.engines))) {
				w.startStream(w.relays[w.rng.IntN(len(w.relays)/2)])
			}
		})
	}
	w.run(w.start.Add(waveDuration))
}

// scheduleArrivals starts the streams of one arrival of the load pattern and schedules the next arrival.
func (w *crashWaveSim) scheduleArrivals() {
	at := w.now.Sub(w.start)
	rate := waveStreamRate * float64(len(w.engines)) * w.pattern.rate(at)
	w.scheduleAfter(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), w.scheduleArrivals)
	n := 1
	if w.rng.Float64() < w.pattern.repeatShare {
		n = 3
	}
	for range n {
		w.startStream(w.relays[w.rng.IntN(len(w.relays))])
	}
}

// startStream starts a caller's stream at the relay; the caller may disconnect before the first event.
func (w *crashWaveSim) startStream(r *waveRelay) {
	s := &waveStream{relay: r, startedAt: w.now, lastEventAt: w.now, remaining: waveStreamTime/2 + time.Duration(w.rng.Int64N(int64(waveStreamTime)))}
	w.streams++
	if w.rng.Float64() < w.pattern.leaveShare {
		w.scheduleAfter(wavePrefillTime/2, func() { w.abandonStream(s) })
	}
	w.placeStream(s)
}

// abandonStream ends a stream whose caller has disconnected.
func (w *crashWaveSim) abandonStream(s *waveStream) {
	s.callerLeft = true
	if s.engine != nil {
		w.detachStream(s)
	}
}

// placeStream sends a stream to an engine, which prefills its prompt; the relay tries again later if no engine accepts
// it.
func (w *crashWaveSim) placeStream(s *waveStream) {
	if s.callerLeft {
		return
	}
	e := w.chooseEngine(s.relay)
	if e == nil {
		w.scheduleAfter(waveRetryInterval, func() { w.placeStream(s) })
		return
	}
	w.attachStream(s, e, true)
	if !e.up {
		return
	}
	if e.busyUntil.After(w.now) && slices.ContainsFunc(w.engines, func(x *waveEngine) bool { return x.up && !x.busyUntil.After(w.now) }) {
		w.avoidableWaits++
	}
	e.busyUntil = laterTime(e.busyUntil, w.now).Add(wavePrefillTime)
	incarnation := e.incarnation
	w.scheduleAfter(e.busyUntil.Sub(w.now), func() {
		if e.incarnation == incarnation && s.engine == e && !s.callerLeft {
			s.relay.table.PrefillDone(s.engineID)
			w.continueStream(s)
		}
	})
}

// laterTime returns the later of the two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// attachStream assigns a stream to an engine; if the engine is down, the relay detects that after waveResetDelay.
func (w *crashWaveSim) attachStream(s *waveStream, e *waveEngine, withPrefill bool) {
	s.engine, s.engineID, s.incarnation = e, e.ID, e.incarnation
	s.relay.table.RequestStarted(e.ID, withPrefill, w.now)
	e.streams = append(e.streams, s)
	if !e.up {
		w.scheduleAfter(waveResetDelay, func() { w.handleEngineLoss(s, e, e.incarnation) })
	}
}

// detachStream removes a stream from its engine.
func (w *crashWaveSim) detachStream(s *waveStream) {
	s.relay.table.RequestEnded(s.engineID, w.now)
	s.engine.streams = slices.DeleteFunc(s.engine.streams, func(x *waveStream) bool { return x == s })
	s.engine = nil
}

// continueStream records the first event of a stream, or the first one after an interruption, and schedules the end of
// the stream.
func (w *crashWaveSim) continueStream(s *waveStream) {
	if !s.firstSent {
		s.firstSent = true
		w.firstEventsMS = append(w.firstEventsMS, w.now.Sub(s.startedAt).Seconds()*1000)
		if w.now.Sub(s.startedAt) > waveFirstEventTarget {
			w.lateStreams++
		}
	} else {
		w.pausesMS = append(w.pausesMS, w.now.Sub(s.lastEventAt).Seconds()*1000)
	}
	w.chooseCopyHolder(s)
	e, incarnation := s.engine, s.incarnation
	w.scheduleAfter(s.remaining, func() {
		if s.engine == e && e.incarnation == incarnation {
			w.detachStream(s)
		}
	})
}

// chooseCopyHolder chooses the engine that is to hold a copy of the stream's KV cache, from which the stream can
// continue if its own engine is lost.
func (w *crashWaveSim) chooseCopyHolder(s *waveStream) {
	s.copyHolder = nil
	if h, ok := s.relay.table.ChooseCopyHolder(s.engine.Endpoint, "", w.now); ok {
		s.copyHolder = w.engineByID(h.ID)
	}
	if s.copyHolder != nil {
		s.holderIncarnation = s.copyHolder.incarnation
	}
}

// engineByID returns the simulated engine with the id, or nil.
func (w *crashWaveSim) engineByID(id string) *waveEngine {
	for _, e := range w.engines {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// chooseEngine picks an engine for a stream of the relay by the run's policy; nil means that no engine accepts work.
func (w *crashWaveSim) chooseEngine(r *waveRelay) *waveEngine {
	switch {
	case !w.policy.baseline:
		if e, ok := r.table.ChooseEndpoint(place.EndpointRequirements{Service: "m", ModelEngines: true}, w.now); ok {
			return w.engineByID(e.ID)
		}
		return nil
	case w.policy.name == policyRoundRobin:
		r.lastIndex++
		return w.engines[r.lastIndex%len(w.engines)]
	}
	return slices.MinFunc(w.engines, func(a, b *waveEngine) int { return a.reportedStreams - b.reportedStreams })
}

// crashDomain crashes most engines of a failure domain, with a reset or silently; they restart under new ids.
func (w *crashWaveSim) crashDomain(domain int, silent bool) {
	detectionDelay := waveResetDelay
	if silent {
		detectionDelay = waveSilenceDelay
	}
	for i, e := range w.engines {
		if i%3 != domain || w.rng.Float64() > waveCrashShare {
			continue
		}
		e.up = false
		e.incarnation++
		e.busyUntil = w.now
		incarnation := e.incarnation
		for _, s := range slices.Clone(e.streams) {
			s.lastEventAt = w.now
			w.scheduleAfter(detectionDelay, func() { w.handleEngineLoss(s, e, incarnation) })
		}
		w.replaceCopyHolder(e, detectionDelay)
		w.scheduleAfter(waveRestartDelay, func() { e.up = true })
		w.scheduleAfter(waveRestartDelay+waveListDelay, func() {
			e.Endpoint = w.newEndpoint(e.Domain)
			w.updateLists()
		})
	}
}

// replaceCopyHolder chooses, after the detection delay, another engine for each copy of a stream's KV cache that the
// crashed engine held.
func (w *crashWaveSim) replaceCopyHolder(holder *waveEngine, detectionDelay time.Duration) {
	for _, e := range w.engines {
		for _, s := range e.streams {
			if s.copyHolder != holder {
				continue
			}
			w.scheduleAfter(detectionDelay, func() {
				if s.engine == e && s.copyHolder == holder {
					s.relay.table.RecordFailure(holder.ID, true, w.now)
					w.chooseCopyHolder(s)
				}
			})
		}
	}
}

// handleEngineLoss continues a stream from the copy of its KV cache on another engine, or starts it on a new engine,
// once the loss of its engine is detected.
func (w *crashWaveSim) handleEngineLoss(s *waveStream, e *waveEngine, incarnation int) {
	if s.engine != e || e.incarnation != incarnation || s.callerLeft {
		return
	}
	s.relay.table.RecordFailure(s.engineID, true, w.now)
	w.detachStream(s)
	if s.firstSent && s.copyHolder != nil && s.copyHolder.up && s.copyHolder.incarnation == s.holderIncarnation {
		w.attachStream(s, s.copyHolder, false)
		h := s.copyHolder
		w.scheduleAfter(waveCopyResumeDelay, func() {
			if s.engine == h && h.incarnation == s.holderIncarnation {
				w.continueStream(s)
			}
		})
		return
	}
	if s.firstSent {
		w.repeatedPrefills++
	}
	w.placeStream(s)
}

// collectMetrics returns the metrics of the waves scenario's run.
func (w *crashWaveSim) collectMetrics() Metrics {
	return Metrics{
		"streams":              float64(w.streams),
		"first-event-ms":       quantiles(w.firstEventsMS, "p50", "p99", "max"),
		"resume-pause-ms":      quantiles(w.pausesMS, "p50", "p99", "max"),
		"met-while-idle-ratio": roundMetric(ratio(float64(w.avoidableWaits), float64(w.streams))),
		"read-again-ratio":     roundMetric(ratio(float64(w.repeatedPrefills), float64(w.streams))),
		"late-ratio":           roundMetric(ratio(float64(w.lateStreams), float64(w.streams))),
	}
}
