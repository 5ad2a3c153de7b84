package itest

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/common"
)

// silenceCase is a silence of endpoints that go on afterwards where they were.
type silenceCase struct {
	name string
	// silent is the number of endpoints that fall silent.
	silent int
	// after is the time from the first requests to the silence, and lasts its length.
	after, lasts time.Duration
	// words is the length of the prompts.
	words int
	// beside runs when the silence begins; nil means nothing.
	beside func(s *system)
}

// changeConfiguration publishes a change of the configuration.
func (s *system) changeConfiguration() {
	s.apply(encodeChange(s.t, map[string]any{"objects": []map[string]any{{"kind": "account", "name": "stables", "token-hashes": []string{hashToken("stables-secret")}}}}))
}

// stopFirstRouter begins a planned stop of a router.
func (s *system) stopFirstRouter() { s.routers[0].signal(syscall.SIGTERM) }

// run silences the first of the processes; in the middle of the silence it calls during.
func (x *silenceCase) run(s *system, list []*process, during func()) {
	time.Sleep(x.after)
	for _, p := range list[:x.silent] {
		p.signal(syscall.SIGSTOP)
	}
	began := time.Now()
	if x.beside != nil {
		x.beside(s)
	}
	time.Sleep(x.lasts/2 - time.Since(began))
	during()
	time.Sleep(x.lasts - time.Since(began))
	for _, p := range list[:x.silent] {
		p.signal(syscall.SIGCONT)
	}
}

// Guards against generations that are cut or refused because engines fall silent for a second or so and then go on.
func TestSilentEngines(t *testing.T) {
	const short, long = 1200 * time.Millisecond, 1500 * time.Millisecond
	for engines, cases := range map[int][]silenceCase{
		1: {
			{"before output", 1, 20 * time.Millisecond, long, 10, nil},
			{"some output", 1, 700 * time.Millisecond, long, 400, nil},
			{"a planned stop", 1, time.Second, long, 10, (*system).stopFirstRouter},
		},
		3: {
			{"one silent", 1, time.Second, long, 10, nil},
			{"all silent", 3, time.Second, short, 10, nil},
			{"all silent, long prompts", 3, 20 * time.Millisecond, long, 1200, nil},
			{"all silent, a change", 3, time.Second, long, 10, (*system).changeConfiguration},
			{"all silent, a planned stop", 3, time.Second, long, 10, (*system).stopFirstRouter},
		},
	} {
		t.Run(strconv.Itoa(engines), func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, systemSpec{controls: 1, routers: 3, engines: engines, engineArgs: []string{
				"-tokens-per-second", strconv.Itoa(tokenRate), "-slots", "64", "-prefill-tokens-per-second", "4000",
			}})
			for _, x := range cases {
				x.runGenerations(s)
			}
		})
	}
}

// runGenerations starts generations before and during the silence and checks that each of them is whole.
func (x *silenceCase) runGenerations(s *system) {
	c := newWorkload(s)
	// The caller itself waits on, so that it sees what the routers make of the silence.
	c.caller.StallTimeout = 0
	c.promptPrefix = x.name + strings.Repeat(" tooth", x.words)
	before, _ := s.lostAttempts()
	c.startGenerations(0, 12, 75)
	x.run(s, s.engines, func() { c.startGenerations(12, 6, 75) })
	c.verifyGenerations(18)
	for _, r := range c.results {
		for _, refusal := range r.Refusals {
			if refusal.Reason != common.ReasonDraining {
				s.t.Errorf("%s: a generation was refused: %v", x.name, refusal)
			}
		}
	}
	lost, _ := s.lostAttempts()
	s.t.Logf("%s: %d attempts lost, longest gap %s", x.name, lost-before, quantile(c.longestGaps(), 1))
}

// Guards against calls that fail or run twice because endpoints fall silent for a second or so and then go on.
func TestSilentServices(t *testing.T) {
	for endpoints, x := range map[int]silenceCase{
		1: {"a change", 1, 200 * time.Millisecond, 1500 * time.Millisecond, 0, (*system).changeConfiguration},
		2: {"one silent", 1, 200 * time.Millisecond, 1500 * time.Millisecond, 0, nil},
		3: {"all silent, a planned stop", 3, 200 * time.Millisecond, 1500 * time.Millisecond, 0, (*system).stopFirstRouter},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			s := newCallSystem(t, systemSpec{controls: 1, routers: 3, engines: 1}, endpoints)
			for _, a := range s.addresses {
				injectFault(t, a, `{"slow-ms":400}`)
			}
			var calls []*asyncCall
			var keys []string
			send := func() {
				for i := range 12 {
					b, key := &asyncCall{done: make(chan struct{})}, newIdempotencyKey(t)
					calls, keys = append(calls, b), append(keys, key)
					method := []string{http.MethodGet, http.MethodPost}[i/2%2]
					go b.runRequest(method, s.routerAddresses[1+i%2], callPath, "", "Idempotency-Key", key)
				}
			}
			send()
			x.run(s.system, s.services, send)
			for i, b := range calls {
				if !b.answerContains(answerDone) || b.status != http.StatusOK {
					t.Errorf("call %d got status %d, %s, error %v", i, b.status, b.body, b.err)
				}
			}
			runs := map[string]int{}
			for _, a := range s.addresses {
				for key, n := range readExecutions(t, a).Keys {
					runs[key] += n
				}
			}
			for i, key := range keys {
				if runs[key] != 1 {
					t.Errorf("call %d ran %d times, want once", i, runs[key])
				}
			}
		})
	}
}
