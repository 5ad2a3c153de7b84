package itest

import (
	"errors"
	"flag"
	"fmt"
	"io"
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

// awaitFreeze waits until freezeWhen has stopped a process, ends the watch, and returns the process and whether the process still runs.
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
	eventually(t, stopTimeout, v.checkStopped)
	// A process that has ended has no thread that is not stopped.
	return v, v.cmd.Process.Signal(syscall.Signal(0)) == nil
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

	drainRefused          = "reason=draining"
	generationTransferred = "event=generation-transferred"
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

// Steps of a drain: the text in whose log line the frozen router is stopped.
var drainSteps = []struct {
	name, text    string
	old, byOthers bool // the draining router is frozen; the text is in the log of the others
}{
	{"draining router as it begins", "event=drain-started", true, false},
	{"draining router as it refuses a caller", drainRefused, true, false},
	{"draining router as its journals move", "event=holder-replacement-started", true, true},
	{"draining router as another one has its generation", generationTransferred, true, true},
	{"new owner of the generation", generationTransferred, false, true},
}

// Guards against two routers that both act for a generation or a call, and against false answers, when one side of a drain is frozen
// at any step of it.
func TestFrozenRouters(t *testing.T) { runHandOvers(t, testFrozenRouters) }

func testFrozenRouters(t *testing.T, seed int) {
	const tokens, steps, generations = 80, 3, 16
	rng := rand.New(rand.NewPCG(uint64(seed), 2))
	s := newSystem(t, systemSpec{controls: 1, routers: 5, engines: 2, engineArgs: []string{"-tokens-per-second", "25", "-slots", "64"}})
	injectFault(t, s.serviceAddress, `{"slow-ms":300}`)
	i := rng.IntN(len(s.routers))
	for _, at := range rng.Perm(len(drainSteps))[:steps] {
		step := drainSteps[at]
		c := newWorkload(s)
		i = (i + 1 + rng.IntN(len(s.routers)-1)) % len(s.routers) // one that was just restarted holds no journals yet
		old, next := s.routers[i], (i+1)%len(s.routers)
		watched, victim := []*process{old}, itself
		if step.byOthers {
			watched = others(s.routers, old)
		}
		if step.old {
			victim = func(*process) *process { return old }
		}
		for n := range generations {
			c.startGeneration(n, tokens)
			c.startCall(newIdempotencyKey(t))
		}
		stream := s.startCompletion(i, tokens).readEvents(2)
		begun := stream.received.String()
		call := &callCase{system: s, t: t, key: newIdempotencyKey(t)}
		frozen := freezeWhen(victim, step.text, watched...)
		first := call.send(i)
		old.signal(syscall.SIGTERM)
		resumes := []*asyncCall{}
		if step.text == generationTransferred {
			resumes = append(resumes, s.resumeAsync(next, stream.cursor))
		}
		if step.text == drainRefused {
			eventually(t, startTimeout, func() error {
				if len(frozen) == 0 {
					s.callAsync(i, newIdempotencyKey(t), "{}")
					return errors.New("no call is refused")
				}
				return nil
			})
		}
		v, running := awaitFreeze(t, frozen, watched...)
		if !running {
			t.Logf("%s: it had ended before it was frozen", step.name)
		}
		for s.routers[next] == v || next == i {
			next = (next + 1) % len(s.routers)
		}
		again := call.send(next)
		call.expectAnswer("send elsewhere", again, answerDone, answerUnknown)
		resumes = append(resumes, s.resumeAsync(next, stream.cursor))
		if got := resumes[len(resumes)-1]; !got.answerContains("data: [DONE]") {
			t.Errorf("%s: resume elsewhere: status %d, body %s, error %v", step.name, got.status, lastLines(got.body, 3), got.err)
		}
		if running {
			v.signal(syscall.SIGCONT)
		}
		// The streams of the former owners may end early, but with correct tokens only.
		rest, _ := io.ReadAll(stream.reader)
		_, _ = stream.received.Write(rest)
		stream.verifyTokens()
		for n, r := range resumes {
			<-r.done
			both := &streamResponse{t: t}
			_, _ = both.received.WriteString(begun + r.body)
			if both.verifyTokens(); n == len(resumes)-1 {
				both.verifyCompletion(tokens)
			}
		}
		// A router that refuses its send says nothing of the other one.
		call.expectAnswer("send at the draining router", first, answerDone, answerUnknown, answerNotRun)
		done := first.answerContains(answerDone) || again.answerContains(answerDone)
		if n := readExecutions(t, s.serviceAddress).Keys[call.key]; n > 1 || done && n == 0 || !done && n > 0 && first.answerContains(answerNotRun) {
			t.Errorf("%s: the call ran %d times, answers %s and %s", step.name, n, first.body, again.body)
		}
		c.verifyGenerations(generations)
		c.verifyCalls(s)
		old.expectExit(0)
		old.launch()
		eventually(t, startTimeout, func() error { return checkReady(s.routerAddresses[i]) })
		eventually(t, startTimeout, func() error { return s.checkSettled(systemSpec{routers: 5}) })
	}
}
