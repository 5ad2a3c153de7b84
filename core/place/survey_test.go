package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// promptLoad is a replay of prompts that arrive at many relays, each of which sees only its own.
type promptLoad struct {
	tables []*EndpointTable
	// ends holds the times in milliseconds at which the prompts on each engine are processed, by engine id.
	ends map[string][]int
	// reports holds what each engine reports, as of the last update.
	reports map[string]EngineWork
	survey  int
	// running holds the prompts that are being processed.
	running []placedPrompt
}

// placedPrompt is a prompt of a relay on an engine, and when it is processed, in milliseconds.
type placedPrompt struct {
	relay, end int
	engine     string
}

const (
	// The load is that of 291 relays before 512 engines in five failure domains, at 114 prompts a second of one second
	// each on an idle engine. One domain fails in the middle: its engines are gone, and their prompts come again.
	loadRelays, loadEngines, loadDomains = 291, 512, 5
	promptsPerSecond, promptMS           = 114, 1000
	reportIntervalMS                     = 300
)

// newPromptLoad returns the replay; survey is the number of engines that are asked before each prompt is sent, and
// less than two for none.
func newPromptLoad(survey int) *promptLoad {
	l := &promptLoad{ends: map[string][]int{}, reports: map[string]EngineWork{}, survey: survey}
	var endpoints []Endpoint
	for i := range loadEngines {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("e", i), Service: "m", Domain: fmt.Sprint("d", i%loadDomains), Slots: 12})
	}
	for i := range loadRelays {
		t := &EndpointTable{Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		t.Update(endpoints, testStart)
		t.SetRelayIndex(i, loadRelays)
		l.tables = append(l.tables, t)
	}
	return l
}

// prefilling returns the number of prompts that the engine processes at the time.
func (l *promptLoad) prefilling(id string, now int) (n int) {
	for _, end := range l.ends[id] {
		if end > now {
			n++
		}
	}
	return n
}

// place sends one prompt from the relay at the time, and returns the number of prompts before it on its engine.
func (l *promptLoad) place(relay, now int, lostDomain string) int {
	t, at := l.tables[relay], time.UnixMilli(int64(now))
	req := EndpointRequirements{Service: "m", ModelEngines: true, LostDomain: lostDomain}
	var e Endpoint
	var ok bool
	if l.survey > 1 {
		candidates := t.Candidates(req, l.survey, at)
		reports := map[string]EngineWork{}
		for _, c := range candidates {
			reports[c.ID] = l.reports[c.ID]
		}
		e, ok = t.ChooseSurveyed(req, candidates, reports, at)
	} else {
		e, ok = t.ChooseEndpoint(req, at)
	}
	if !ok {
		return loadEngines
	}
	before := l.prefilling(e.ID, now)
	t.RequestStarted(e.ID, true, at)
	// Prompts on one engine take turns, so each of them delays the others.
	end := now + promptMS*(before+1)
	l.ends[e.ID] = append(l.ends[e.ID], end)
	l.running = append(l.running, placedPrompt{relay: relay, end: end, engine: e.ID})
	return before
}

// finish tells the relays which of their prompts are processed at the time.
func (l *promptLoad) finish(now int) {
	l.running = slices.DeleteFunc(l.running, func(p placedPrompt) bool {
		if p.end > now {
			return false
		}
		l.tables[p.relay].PrefillDone(p.engine)
		l.tables[p.relay].RequestEnded(p.engine, testStart)
		return true
	})
}

// run plays 6 s of the load and returns, for the prompts of the calm part and of the second after the domain's failure,
// the share that met another prompt on its engine.
func (l *promptLoad) run() (calm, crest float64) {
	rng := rand.New(rand.NewPCG(7, 7))
	var met, total [2]float64
	for now := range 6000 {
		if now%reportIntervalMS == 0 {
			for i := range loadEngines {
				id := fmt.Sprint("e", i)
				n := l.prefilling(id, now)
				l.reports[id] = EngineWork{Prefilling: n, Running: n}
			}
		}
		l.finish(now)
		arrivals, lost := 0, ""
		if rng.Float64() < promptsPerSecond/1000.0 {
			arrivals = 1
		}
		if now == 4000 {
			// A domain's running prompts come again at once.
			arrivals, lost = promptsPerSecond/2, "d0"
			for _, t := range l.tables {
				for i := 0; i < loadEngines; i += loadDomains {
					t.RecordFailure(fmt.Sprint("e", i), true, time.UnixMilli(int64(now)))
				}
			}
		}
		for range arrivals {
			part := 0
			if now >= 4000 && now < 5000 {
				part = 1
			}
			total[part]++
			relay := rng.IntN(loadRelays)
			if l.place(relay, now, lost) > 0 {
				met[part]++
			}
		}
	}
	return met[0] / total[0], met[1] / total[1]
}

// Guards against relays that send prompts to engines which process other relays' prompts already, while others are
// idle. Without the engines' reports, a relay knows only its own prompts; with them, the share of prompts that meet
// another one must at least halve, in the calm part and after the failure of a domain.
func TestSurveyAvoidsBusyEngines(t *testing.T) {
	calmBefore, crestBefore := newPromptLoad(0).run()
	calm, crest := newPromptLoad(3).run()
	t.Logf("prompts that meet another one: calm %.3f, was %.3f; after the failure %.3f, was %.3f", calm, calmBefore, crest, crestBefore)
	if calm > calmBefore/2 || crest > crestBefore/2 {
		t.Errorf("the survey avoids too few busy engines")
	}
}

// Guards against a survey that prefers an engine which does not respond, or one whose memory is full, to one that can
// take the prompt, and against one that refuses all if none is good.
func TestSurveyedChoice(t *testing.T) {
	now := time.UnixMilli(0)
	table := &EndpointTable{Rand: rand.New(rand.NewPCG(1, 1))}
	endpoints := []Endpoint{{ID: "a", Service: "m", Domain: "x"}, {ID: "b", Service: "m", Domain: "y"}, {ID: "c", Service: "m", Domain: "z"}}
	table.Update(endpoints, testStart)
	req := EndpointRequirements{Service: "m", ModelEngines: true, Tokens: 6000}
	full := EngineWork{FreeTokens: 5000, HasMemory: true}
	idle := EngineWork{FreeTokens: 50000, HasMemory: true}
	for name, c := range map[string]struct {
		reports map[string]EngineWork
		want    string
	}{
		"one responds":         {map[string]EngineWork{"b": {Prefilling: 1}}, "b"},
		"one has memory":       {map[string]EngineWork{"a": full, "b": full, "c": idle}, "c"},
		"one is idle":          {map[string]EngineWork{"a": {Prefilling: 1}, "b": {Queued: 1}, "c": {}}, "c"},
		"full beats very busy": {map[string]EngineWork{"a": full, "b": {Prefilling: 4}, "c": {Queued: 5}}, "a"},
	} {
		if got, ok := table.ChooseSurveyed(req, endpoints, c.reports, now); !ok || got.ID != c.want {
			t.Errorf("%s: %q, want %q", name, got.ID, c.want)
		}
	}
	if _, ok := table.ChooseSurveyed(req, endpoints, nil, now); !ok {
		t.Error("no candidate is chosen without reports")
	}
	table.RecordFailure("a", true, now)
	if got := table.Candidates(req, 3, now); len(got) != 2 {
		t.Errorf("candidates are %v, want the two that are up", got)
	}
}
