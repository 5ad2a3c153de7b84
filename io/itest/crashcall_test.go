package itest

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// callSystem is a system whose plain service has several endpoints that end on a deadly call.
type callSystem struct {
	*system
	services  []*process
	addresses []string
	endedAt   []time.Time // when a test saw the endpoint's end; zero while it runs
}

// newCallSystem starts the system with n endpoints of the plain service that end on a deadly call.
func newCallSystem(t *testing.T, spec systemSpec, n int, args ...string) *callSystem {
	s := &callSystem{system: newSystem(t, spec)}
	objects := []map[string]any{}
	for i, a := range freeAddresses(n) {
		name := fmt.Sprintf("rondas-%d", i+2)
		s.services = append(s.services, startProcess(t, name, append([]string{"standin", "service", "-listen", a, "-die-on-word", "deadly"}, args...)...))
		s.addresses = append(s.addresses, a)
		objects = append(objects, map[string]any{"kind": "endpoint", "name": name, "service": "rondas-app", "address": a, "domain": domains[i%3]})
	}
	deleted := []map[string]any{{"kind": "endpoint", "name": "rondas-1"}}
	s.apply(encodeChange(t, map[string]any{"objects": objects, "delete": deleted}), "-wait", "15s")
	for _, a := range s.addresses {
		eventually(t, startTimeout, func() error { return checkListening(a) })
	}
	s.endedAt = make([]time.Time, n)
	return s
}

// minDowntime is how long an endpoint that has ended is down at least. Crashes of one endpoint in less than a second count once.
const minDowntime = 1500 * time.Millisecond

// relaunchEnded starts the endpoints again that have been down for minDowntime, and returns how many have ended since the
// last call.
func (s *callSystem) relaunchEnded() (ended int) {
	for i, p := range s.services {
		select {
		case <-p.done:
		default:
			continue
		}
		if s.endedAt[i].IsZero() {
			ended++
			s.endedAt[i] = time.Now()
		}
		if time.Since(s.endedAt[i]) >= minDowntime {
			s.endedAt[i] = time.Time{}
			p.launch()
			eventually(s.t, startTimeout, func() error { return checkListening(s.addresses[i]) })
		}
	}
	return ended
}

// send sends a call with the query and body to one router after the other.
func (s *callSystem) send(i int, method, query, body, key string) (int, string) {
	s.t.Helper()
	status, _, text := sendRequest(s.t, method, s.routerAddresses[i%len(s.routerAddresses)], callPath+query, body, map[string]string{"Idempotency-Key": key})
	return status, text
}

// sendSound sends a sound call of each kind, which must be answered.
func (s *callSystem) sendSound(i int) {
	s.t.Helper()
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		body := ""
		if method == http.MethodPost {
			body = fmt.Sprintf(`{"visit":%d}`, i%2)
		}
		if status, text := s.send(i, method, "", body, newIdempotencyKey(s.t)); status != http.StatusOK {
			s.t.Errorf("sound %s %d is answered %d %s", method, i, status, text)
		}
	}
}

// countTrials returns the number of deadly requests that were sent to find out whether they still crash endpoints.
func (s *system) countTrials() (n int) {
	for _, p := range s.routers {
		n += strings.Count(p.logText(), "event=part-trial-started")
	}
	return n
}

// A non-idempotent call that ends each endpoint comes again with a new idempotency key: it must not end one endpoint after
// the other, and sound calls of the account must go on.
func TestCallsThatCrashEndpoints(t *testing.T) {
	testCallsThatCrashEndpoints(t, http.MethodPost, "", `{"visit":"deadly"}`)
}

// The same for idempotent calls, which are repeated at other endpoints, and without a body.
func TestIdempotentCallsThatCrashEndpoints(t *testing.T) {
	testCallsThatCrashEndpoints(t, http.MethodGet, "?visit=deadly", "")
}

// testCallsThatCrashEndpoints sends the deadly call and sound ones to all routers in turn.
func testCallsThatCrashEndpoints(t *testing.T, method, query, body string) {
	t.Parallel()
	const endpoints, calls, resends = 6, 10, 8
	s := newCallSystem(t, systemSpec{controls: 1, routers: 3, engines: 1}, endpoints)
	crashes := 0
	first := newIdempotencyKey(t)
	var firstStatus int
	var firstText string
	for i := range calls {
		s.sendSound(i)
		key := first
		if i > 0 {
			key = newIdempotencyKey(t)
		}
		status, text := s.send(i, method, query, body, key)
		if status == http.StatusOK {
			t.Errorf("deadly call %d is answered %s", i, text)
		}
		if i == 0 {
			firstStatus, firstText = status, text
		}
		time.Sleep(300 * time.Millisecond)
		crashes += s.relaunchEnded()
	}
	if crashes < 3 || crashes > 6 {
		t.Errorf("%d endpoints have ended, want 3 to 6", crashes)
	}
	time.Sleep(3 * time.Second)
	earlier := s.countTrials()
	for i := range resends {
		s.sendSound(i)
		key, trials := newIdempotencyKey(t), s.countTrials()
		for range 2 {
			status, text := s.send(i, method, query, body, key)
			refused := status == http.StatusServiceUnavailable && strings.Contains(text, "crashes-engines") && strings.Contains(text, answerNotRun)
			if !refused && s.countTrials() == trials {
				t.Errorf("deadly call %d is answered %d %s after the crashes", i, status, text)
			}
		}
	}
	// On a slow machine, the trial of the call may be due.
	if n, trials := s.relaunchEnded(), s.countTrials()-earlier; n > trials || trials > 1 {
		t.Errorf("%d more endpoints have ended 3 s after the crashes, with %d trials", n, trials)
	}
	if method == http.MethodGet {
		return
	}
	// A call that has run keeps its recorded outcome, also while it is refused under other keys.
	if status, text := s.send(1, method, query, body, first); status != firstStatus || !strings.Contains(text, answerUnknown) {
		t.Errorf("the key that crashed the first endpoint is answered %d %s, want %d %s", status, text, firstStatus, firstText)
	}
}

// bystanders send equal sound calls without pause, and count them by outcome.
type bystanders struct {
	*callSystem
	wg                    sync.WaitGroup
	stopped               atomic.Bool
	served, lost, refused atomic.Int32
}

// loop sends calls of the method until the bystanders are stopped.
func (b *bystanders) loop(method string) {
	defer b.wg.Done()
	for n := 0; !b.stopped.Load(); n++ {
		switch status, text := b.send(n, method, "", "", newIdempotencyKey(b.t)); {
		case status == http.StatusOK:
			b.served.Add(1)
		case strings.Contains(text, "crashes-engines"):
			b.refused.Add(1)
		default:
			b.lost.Add(1)
		}
	}
}

// Equal sound calls are on each endpoint that a deadly call ends, in larger numbers than the deadly one. They must not be refused
// with it.
func TestBystandersOfCrashingCalls(t *testing.T) {
	t.Parallel()
	const workers, calls = 12, 12
	b := &bystanders{callSystem: newCallSystem(t, systemSpec{controls: 1, routers: 3, engines: 1}, 6, "-latency", "60ms")}
	for i := range workers {
		b.wg.Add(1)
		go b.loop([]string{http.MethodGet, http.MethodPost}[i%2])
	}
	crashes := 0
	for i := range calls {
		b.send(i, http.MethodPost, "", `{"visit":"deadly"}`, newIdempotencyKey(t))
		time.Sleep(300 * time.Millisecond)
		crashes += b.relaunchEnded()
		want := b.served.Load() + 2*workers
		eventually(t, startTimeout, func() error {
			if n := b.served.Load(); n < want {
				return fmt.Errorf("%d sound calls were served, want %d", n, want)
			}
			return nil
		})
	}
	b.stopped.Store(true)
	b.wg.Wait()
	t.Logf("%d endpoints have ended; of the sound calls, %d were served, %d lost and %d refused", crashes, b.served.Load(), b.lost.Load(), b.refused.Load())
	if crashes < 3 || crashes > 6 || b.refused.Load() > 0 {
		t.Errorf("%d endpoints have ended, want 3 to 6; %d sound calls were refused with the deadly one", crashes, b.refused.Load())
	}
}

// A router that drains serves callers with an old address list for some time. It must learn of crashes in that time.
func TestDrainingRouterLearnsOfCrashes(t *testing.T) {
	t.Parallel()
	s := newCallSystem(t, systemSpec{controls: 1, routers: 2, engines: 1, routerArgs: []string{"-address-ttl", "20s"}}, 4)
	s.routers[1].signal(syscall.SIGTERM)
	eventually(t, startTimeout, func() error {
		if _, _, list := sendRequest(t, http.MethodGet, s.routerAddresses[0], "/v1/addresses", "", nil); strings.Contains(list, s.routerAddresses[1]) {
			return errors.New("the other router does not know yet that the router drains")
		}
		return nil
	})
	deadly := func(router int) (int, string) {
		return s.send(router, http.MethodPost, "", `{"visit":"deadly"}`, newIdempotencyKey(t))
	}
	crashes := 0
	for range 3 {
		deadly(0)
		time.Sleep(300 * time.Millisecond)
		crashes += s.relaunchEnded()
	}
	if crashes != 3 {
		t.Fatalf("%d endpoints have ended, want 3", crashes)
	}
	if status, text := deadly(1); !strings.Contains(text, "crashes-engines") {
		t.Errorf("the draining router answers the deadly call with %d %s", status, text)
	}
}

// checkListening returns an error unless the stand-in at the address answers its health check.
func checkListening(address string) error {
	res, err := http.Get("http://" + address + "/health")
	if err == nil {
		_ = res.Body.Close()
	}
	return err
}
