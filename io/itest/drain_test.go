package itest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/io/load"
)

// Guards against work that is lost when a router is stopped with a signal: the outcome of a call whose caller has
// disconnected must be recorded, and a stream that breaks during the drain must be resumable at another router. A
// second signal ends the drain at once, with a true answer to each request that it ends.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 1, routers: 4, engines: 2, engineArgs: []string{"-tokens-per-second", "25"}})
	// The call takes longer than anything else that the draining router waits for.
	s.apply(strings.Replace(s.configuration(), `"timeout-ms":3000`, `"timeout-ms":20000`, 1), "-wait", "5s")
	injectFault(t, s.serviceAddress, `{"slow-ms":5000}`)
	key := newIdempotencyKey(t)
	gone := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.routerAddresses[0]+callPath, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+accountToken)
	req.Header.Set("Idempotency-Key", key)
	if res, err := gone.Do(req); err == nil {
		_ = res.Body.Close()
		t.Fatal("the call ended before its caller disconnected")
	}
	l := s.startCompletion(0, 200).readEvents(2)
	s.routers[0].signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	_ = l.body.Close()
	s.routers[0].expectExit(0)
	if got := s.callAt(1, key, "{}"); got.status != http.StatusOK || !strings.Contains(got.received.String(), `"execution":1`) {
		t.Errorf("call after the stop: %s", got.transcript())
	}
	if r := s.resumeCompletion(2, l.cursor).readToEnd(); !strings.HasSuffix(r.received.String(), "data: [DONE]\n\n") {
		t.Errorf("resume after the stop: %s", lastLines(r.transcript(), 4))
	}

	l = s.startCompletion(1, 500).readEvents(2)
	call := s.callAsync(1, newIdempotencyKey(t), "{}")
	partial, err := net.Dial("tcp", s.routerAddresses[1])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = partial.Close() }()
	_, _ = fmt.Fprintf(partial, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100000\r\n\r\n{", callPath, accountToken)
	time.Sleep(200 * time.Millisecond)
	s.routers[1].signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	s.routers[1].signal(syscall.SIGTERM)
	s.routers[1].expectExit(0)
	if !strings.Contains(s.routers[1].logText(), "generations-aborted=1 requests-aborted=3") {
		t.Errorf("the second signal does not log what it cut:\n%s", lastLines(s.routers[1].logText(), 3))
	}
	if got := l.readToEnd().received.String(); !strings.Contains(got, "event: error") || !strings.Contains(got, `"reason":"draining"`) {
		t.Errorf("the stream ended with %s", lastLines(got, 3))
	}
	if !call.answerContains(`"outcome":"unknown"`) || call.status != http.StatusBadGateway && call.status != http.StatusGatewayTimeout {
		t.Errorf("the call that may have run got status %d, %s, error %v", call.status, call.body, call.err)
	}
	res, err := http.ReadResponse(bufio.NewReader(partial), nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the call whose body was under way got %+v, error %v", res, err)
	}
}

// Guards against requests that fail, and long generations whose journal is lost, while all routers are restarted one by
// one under load.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 1, routers: 4, engines: 3, engineArgs: []string{"-tokens-per-second", "25", "-slots", "64"}})
	c := newWorkload(s)
	const long, tokens = 5, 280
	var streams []*streamResponse
	for range long {
		streams = append(streams, s.startCompletion(3, tokens).readEvents(1)) // they go on while the other routers restart before theirs
	}
	done := make(chan struct{})
	go s.runRollingRestart(done)
	n := 0
	for running := true; running; n++ {
		c.startGeneration(n, 20)
		c.startCall(newIdempotencyKey(t))
		select {
		case <-done:
			running = false
		case <-time.After(100 * time.Millisecond):
		}
	}
	for _, l := range streams {
		l.readToEnd().verifyCompletion(tokens)
	}
	c.verifyGenerations(n)
	c.verifyMaxGap()
	c.verifyCalls(s)
	for _, r := range c.calls {
		if r.Outcome != common.OutcomeDone {
			t.Errorf("call %s: outcome %s, refusal %v, error %v", r.Key, r.Outcome, r.Refusal, r.Err)
		}
	}
	refused := 0
	for _, r := range c.results {
		refused += len(r.Refusals)
	}
	t.Logf("%d generations and %d calls beside %d long generations, %d refusals that named another router", n, len(c.calls), long, refused)
}

// runRollingRestart restarts the routers one by one and waits until each one is ready.
func (s *system) runRollingRestart(done chan<- struct{}) {
	defer close(done)
	for i, r := range s.routers {
		if err := r.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			s.t.Error(err)
		}
		<-r.done
		if code := r.cmd.ProcessState.ExitCode(); code != 0 {
			s.t.Errorf("%s ended with code %d", r.name, code)
		}
		r.launch()
		for checkReady(s.routerAddresses[i]) != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Guards against new work for an endpoint that the configuration declares as leaving, and against the loss of the
// streams that run on it.
func TestLeavingEngine(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 1, routers: 1, engines: 2, engineArgs: []string{"-tokens-per-second", "25"}})
	c := newWorkload(s)
	c.startGenerations(0, 8, 100)
	time.Sleep(500 * time.Millisecond)
	var declared struct {
		Objects []map[string]any `json:"objects"`
	}
	if err := json.Unmarshal([]byte(s.configuration()), &declared); err != nil {
		t.Fatal(err)
	}
	for _, o := range declared.Objects {
		o["leaving"] = o["name"] == "engine-1"
		if o["kind"] != "endpoint" {
			delete(o, "leaving")
		}
	}
	s.apply(encodeChange(t, declared), "-wait", "5s")
	before := s.startedGenerations(0)
	c.startGenerations(8, 8, 20)
	c.verifyGenerations(16)
	if n := s.startedGenerations(0) - before; n != 0 {
		t.Errorf("a leaving engine got %d new generations", n)
	}

	// An engine that answers 503 gets no more work, and is used again after it has recovered.
	s.apply(s.configuration(), "-wait", "5s")
	injectFault(t, s.engineAddresses[1], `{"refuse":true,"for-ms":1000}`)
	c.results = nil
	c.startGenerations(20, 8, 20)
	c.verifyGenerations(8)
	before = s.startedGenerations(1)
	eventually(t, startTimeout, func() error {
		c.startGeneration(40, 2)
		c.wg.Wait()
		if s.startedGenerations(1) > before {
			return nil
		}
		return fmt.Errorf("engine 2 gets no work")
	})
	if got := c.results[len(c.results)-1].Status; got != load.StatusComplete {
		t.Errorf("last generation: %s", got)
	}
}
