package itest

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Seeds of the tests that stop a side of a hand-over with SIGSTOP. Engines check fencing numbers under even seeds.
var (
	firstHandOver = flag.Int("handover.first", 1, "first seed of the tests of frozen hand-overs")
	handOverSeeds = flag.Int("handover.seeds", 1, "number of seeds of the tests of frozen hand-overs")
)

// runHandOvers runs f under each seed.
func runHandOvers(t *testing.T, f func(t *testing.T, seed int)) {
	t.Parallel()
	for seed := *firstHandOver; seed < *firstHandOver+*handOverSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { f(t, seed) })
	}
}

// freezeWhen sends SIGSTOP to the victim as soon as one of the watched processes logs the text, and returns a channel
// that is closed then.
func freezeWhen(victim func(*process) *process, text string, watched ...*process) <-chan *process {
	frozen := make(chan *process, len(watched))
	for _, w := range watched {
		w.mu.Lock()
		w.onLine = func(out string) bool {
			if !strings.Contains(out, text) {
				return false
			}
			v := victim(w)
			_ = v.cmd.Process.Signal(syscall.SIGSTOP)
			frozen <- v
			return true
		}
		w.mu.Unlock()
	}
	return frozen
}

// awaitFreeze waits until freezeWhen has stopped a process, ends the watch and reports whether the process still runs.
func awaitFreeze(t testing.TB, frozen <-chan *process, watched ...*process) (*process, bool) {
	t.Helper()
	var v *process
	select {
	case v = <-frozen:
	case <-time.After(startTimeout):
		t.Fatalf("no process logs the step within %s", startTimeout)
	}
	for _, w := range watched {
		w.mu.Lock()
		w.onLine = nil
		w.mu.Unlock()
	}
	eventually(t, stopTimeout, func() error {
		if v.ended(0) {
			return nil
		}
		return v.checkStopped()
	})
	return v, !v.ended(reapTime)
}

// reapTime is the time within which the end of a process is known that no longer has a thread.
const reapTime = 100 * time.Millisecond

// ended reports whether the process ends within the time.
func (p *process) ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// itself is the victim of a freeze that the victim's own log begins.
func itself(p *process) *process { return p }

// others returns the processes except p.
func others(list []*process, p *process) (out []*process) {
	for _, o := range list {
		if o != p {
			out = append(out, o)
		}
	}
	return out
}

// Log lines that mark a step.
const (
	firstOrder      = "event=order-applied"
	planningStarted = "event=order-planning-started"
)

// Steps of a transfer of the leadership: the text in whose log line one side is stopped.
var leaderSteps = []struct {
	name, text        string
	old               bool // the old leader is frozen
	byOthers, planned bool // the text is in the log of the others; the old leader is being stopped
}{
	{"old leader at its first order", firstOrder, true, true, false},
	{"old leader as its successor campaigns", "role=candidate", true, true, true},
	{"old leader after the transfer", "event=leadership-transferred", true, false, true},
	{"successor as it campaigns", "role=candidate", false, true, true},
	{"successor before its first order", planningStarted, false, true, true},
}

// Guards against a leader that orders engines after another one has taken over, and against orders that go out twice, when one
// side of a transfer of the leadership is frozen at any step of it.
func TestFrozenLeaders(t *testing.T) { runHandOvers(t, testFrozenLeaders) }

func testFrozenLeaders(t *testing.T, seed int) {
	rng := rand.New(rand.NewPCG(uint64(seed), 1))
	checks := seed%2 == 0
	s := newSystem(t, systemSpec{controls: 3, routers: 3, engines: 8, controlArgs: []string{"-tick", "50ms"}, engineArgs: []string{fmt.Sprintf("-checks-fencing=%v", checks), "-order-latency", "300ms"}})
	for round, at := range rng.Perm(len(leaderSteps)) {
		step := leaderSteps[at]
		c := newWorkload(s)
		old := s.controls[s.leaderIndex()]
		version := fmt.Sprint(round + 2)
		watched, victim := []*process{old}, itself
		if step.byOthers {
			watched = append(others(s.controls, old), s.engines...)
		}
		if step.old {
			victim = func(*process) *process { return old }
		}
		started := countLines(s.controls, planningStarted)
		frozen := freezeWhen(victim, step.text, watched...)
		s.apply(strings.ReplaceAll(s.versionChange(version), `"checks-fencing":false`, fmt.Sprintf(`"checks-fencing":%v`, checks)))
		for range 6 {
			c.startCall(newIdempotencyKey(t))
		}
		if step.planned {
			if rng.IntN(2) == 0 {
				eventually(t, startTimeout, func() error { return checkLogged(s.engines[:1], "version="+version+"\n") })
			}
			old.signal(syscall.SIGTERM)
		}
		v, running := awaitFreeze(t, frozen, watched...)
		if !running {
			t.Logf("%s: it had ended before it was frozen", step.name)
		}
		if v != old {
			old.expectExit(0)
			old.launch()
		}
		eventually(t, startTimeout, func() error {
			for p, n := range countLines(others(s.controls, v), planningStarted) {
				if n > started[p] {
					return checkLogged(s.engines, "version="+version+"\n")
				}
			}
			return errors.New("no other process leads")
		})
		if running {
			v.signal(syscall.SIGCONT)
		}
		if v == old && step.planned {
			old.expectExit(0)
			old.launch()
		}
		eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
		eventually(t, startTimeout, func() error { return s.checkModelLoaded("dente@" + version) })
		c.wg.Wait()
		c.verifyCalls(s)
		if s.verifyOrders(step.name); t.Failed() {
			return
		}
	}
}

// countLines returns how many lines of each process's log contain the text.
func countLines(list []*process, text string) map[*process]int {
	counts := map[*process]int{}
	for _, p := range list {
		counts[p] = strings.Count(p.logText(), text)
	}
	return counts
}

// checkLogged returns an error unless each of the processes has logged the text.
func checkLogged(list []*process, text string) error {
	for p, n := range countLines(list, text) {
		if n == 0 {
			return fmt.Errorf("%s has not logged %q", p.name, text)
		}
	}
	return nil
}

// orderPattern matches the log line of an engine that has applied an order.
var orderPattern = regexp.MustCompile(`event=order-applied .*(term=(\d+) action=.*)`)

// verifyOrders checks that no engine got an order of a leader after one of a later leader, or the same order twice.
func (s *system) verifyOrders(when string) {
	s.t.Helper()
	for _, e := range s.engines {
		log := e.logText()
		if strings.Contains(log, "event=stale-order-refused") {
			s.t.Errorf("%s: %s refused an order of an earlier leader", when, e.name)
		}
		seen, latest := map[string]bool{}, 0
		for _, m := range orderPattern.FindAllStringSubmatch(log, -1) {
			term, _ := strconv.Atoi(m[2])
			if term < latest {
				s.t.Errorf("%s: %s got an order of term %d after one of term %d", when, e.name, term, latest)
			}
			if seen[m[1]] {
				s.t.Errorf("%s: %s got twice: %s", when, e.name, m[1])
			}
			seen[m[1]], latest = true, max(latest, term)
		}
	}
}
