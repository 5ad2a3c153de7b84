package itest

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// asyncCall is a non-idempotent call that is sent in the background; its other fields are set once done is closed.
type asyncCall struct {
	status int
	body   string
	err    error
	done   chan struct{}
}

// callAsync sends the call to a router without waiting for the answer.
func (s *system) callAsync(router int, key, body string) *asyncCall {
	b := &asyncCall{done: make(chan struct{})}
	go b.run(s.routerAddresses[router], key, body)
	return b
}

// run sends the call and stores the answer.
func (b *asyncCall) run(address, key, body string) {
	b.runRequest(http.MethodPost, address, callPath, body, "Idempotency-Key", key)
}

// resumeAsync resumes a completion at a router without waiting for the answer.
func (s *system) resumeAsync(router int, cursor string) *asyncCall {
	b := &asyncCall{done: make(chan struct{})}
	go b.runRequest(http.MethodGet, s.routerAddresses[router], resumePath, "", "Last-Event-ID", cursor)
	return b
}

// runRequest sends a request with one header of its own and stores the answer.
func (b *asyncCall) runRequest(method, address, path, body, header, value string) {
	defer close(b.done)
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	var req *http.Request
	if req, b.err = http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body)); b.err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+accountToken)
	req.Header.Set(header, value)
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if b.err = err; err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	b.status, b.body, b.err = res.StatusCode, string(data), err
}

// answerContains waits for the answer and reports whether it contains one of the texts.
func (b *asyncCall) answerContains(texts ...string) bool {
	<-b.done
	return b.err == nil && slices.ContainsFunc(texts, func(t string) bool { return strings.Contains(b.body, t) })
}

// Texts by which tests recognise the outcome in the body of an answer.
const (
	answerDone    = `"execution":1`
	answerUnknown = `"outcome":"unknown"`
	answerNotRun  = `"outcome":"not-run"`
)

// callCase is a test case that sends calls with one idempotency key while a fault is present.
type callCase struct {
	*system
	t   testing.TB
	key string
}

// send sends the test case's call to a router in the background.
func (c *callCase) send(router int) *asyncCall { return c.callAsync(router, c.key, `{"farm":7}`) }

// expectAnswer waits for the answer and fails the test unless it contains one of the texts.
func (c *callCase) expectAnswer(what string, b *asyncCall, texts ...string) {
	c.t.Helper()
	if !b.answerContains(texts...) {
		c.t.Errorf("%s: status %d, body %s, error %v; want one of %s", what, b.status, b.body, b.err, texts)
	}
}

// expectExecutions checks how many times the service has executed the key.
func (c *callCase) expectExecutions(want int) {
	c.t.Helper()
	if n := readExecutions(c.t, c.serviceAddress).Keys[c.key]; n != want {
		c.t.Errorf("the call ran %d times, want %d", n, want)
	}
}

// setServiceDelay makes the service answer its calls after d.
func (c *callCase) setServiceDelay(d time.Duration) {
	injectFault(c.t, c.serviceAddress, `{"slow-ms":`+strconv.FormatInt(d.Milliseconds(), 10)+`}`)
}

// serviceDelay is how long the slowed service takes to answer a call.
const serviceDelay = 1500 * time.Millisecond

// sendSlow slows the service, sends the test case's call to the first router and waits until the service runs it.
func (c *callCase) sendSlow() *asyncCall {
	c.setServiceDelay(serviceDelay)
	first := c.send(0)
	time.Sleep(serviceDelay / 3)
	return first
}

// Guards against calls that run twice, that are reported as not run although they ran, or whose outcome is lost.
func TestCallsRunOnce(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 3, routers: 3, engines: 1})
	for _, x := range []struct {
		name string
		run  func(c *callCase)
	}{
		{"same key with another body", (*callCase).testKeyWithOtherBody},
		{"concurrent resends", (*callCase).testConcurrentSends},
		{"router paused before the claim", (*callCase).testRouterPausedBeforeClaim},
		{"router paused after the claim", (*callCase).testRouterPausedAfterClaim},
		{"service silent", (*callCase).testServiceSilent},
		{"router killed before the reply", (*callCase).testRouterKilled},
		{"no quorum before the claim", (*callCase).testNoQuorumBeforeClaim},
		{"no quorum after the claim", (*callCase).testNoQuorumAfterClaim},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := &callCase{system: s, t: t, key: newIdempotencyKey(t)}
			c.setServiceDelay(0)
			x.run(c)
		})
	}
}

// testKeyWithOtherBody checks that a key is refused when it comes back with another body.
func (c *callCase) testKeyWithOtherBody() {
	c.expectAnswer("first send", c.send(0), answerDone)
	c.expectAnswer("other body", c.callAsync(1, c.key, `{"farm":8}`), `"reason":"key-reused","outcome":"not-run"`)
	c.expectExecutions(1)
}

// testConcurrentSends checks that concurrent sends of one key through all routers get the same answer.
func (c *callCase) testConcurrentSends() {
	c.setServiceDelay(serviceDelay)
	var list []*asyncCall
	for i := range 9 {
		list = append(list, c.send(i%3))
	}
	for _, b := range list {
		c.expectAnswer("concurrent send", b, answerDone)
		if b.body != list[0].body {
			c.t.Errorf("answers differ: %s and %s", b.body, list[0].body)
		}
	}
	c.expectExecutions(1)
}

// testRouterPausedBeforeClaim pauses a router before it claims the key, while another one runs the call.
func (c *callCase) testRouterPausedBeforeClaim() {
	c.routers[0].signal(syscall.SIGSTOP)
	first := c.send(0)
	c.expectAnswer("send elsewhere", c.send(1), answerDone)
	c.routers[0].signal(syscall.SIGCONT)
	c.expectAnswer("send at the paused router", first, answerDone)
	c.expectExecutions(1)
}

// testRouterPausedAfterClaim pauses a router while it runs the call, and sends the key to other routers.
func (c *callCase) testRouterPausedAfterClaim() {
	first := c.sendSlow()
	c.routers[0].signal(syscall.SIGSTOP)
	c.expectAnswer("send elsewhere", c.send(1), answerUnknown)
	c.routers[0].signal(syscall.SIGCONT)
	c.expectAnswer("send at the paused router", first, answerDone, answerUnknown)
	c.expectAnswer("send after the pause", c.send(2), answerDone, answerUnknown)
	c.expectExecutions(1)
}

// testServiceSilent makes the connection to the service silent while the call runs.
func (c *callCase) testServiceSilent() {
	first := c.sendSlow()
	injectFault(c.t, c.serviceAddress, `{"silent":true}`)
	c.expectAnswer("new connection", c.callAsync(1, newIdempotencyKey(c.t), "{}"), answerDone)
	c.expectAnswer("silent connection", first, answerUnknown)
	c.expectAnswer("send elsewhere", c.send(1), answerUnknown)
	c.expectExecutions(1)
}

// testRouterKilled kills a router while it runs the call, and sends the key again before and after its restart.
func (c *callCase) testRouterKilled() {
	first := c.sendSlow()
	c.routers[0].kill()
	c.expectAnswer("send elsewhere", c.send(1), answerUnknown)
	if <-first.done; first.err == nil {
		c.t.Errorf("the killed router answered %s", first.body)
	}
	c.expectExecutions(1)
	c.routers[0].launch()
	eventually(c.t, startTimeout, func() error { return checkReady(c.routerAddresses[0]) })
	c.expectAnswer("send at the new process", c.send(0), answerUnknown)
	c.expectExecutions(1)
}

// signalMajority sends the signal to two of the three control processes.
func (c *callCase) signalMajority(sig syscall.Signal) {
	c.controls[0].signal(sig)
	c.controls[1].signal(sig)
}

// testNoQuorumBeforeClaim sends the call while the ledger has no quorum, and again once it has.
func (c *callCase) testNoQuorumBeforeClaim() {
	c.signalMajority(syscall.SIGSTOP)
	c.expectAnswer("without a quorum", c.send(0), `"reason":"ledger-unavailable","outcome":"not-run"`)
	c.expectExecutions(0)
	c.signalMajority(syscall.SIGCONT)
	eventually(c.t, startTimeout, func() error { return c.checkSettled(systemSpec{routers: 3}) })
	// The router releases the abandoned claim in the background, after which the call may run.
	c.expectAnswer("with a quorum", c.send(0), answerDone)
	c.expectExecutions(1)
}

// testNoQuorumAfterClaim stops the ledger's quorum while the call runs, so that its outcome is recorded late.
func (c *callCase) testNoQuorumAfterClaim() {
	first := c.sendSlow()
	second := c.send(1)
	time.Sleep(serviceDelay / 3)
	c.signalMajority(syscall.SIGSTOP)
	c.expectAnswer("send during the first one", second, answerUnknown)
	c.expectAnswer("first send", first, answerDone)
	c.signalMajority(syscall.SIGCONT)
	eventually(c.t, startTimeout, func() error { return c.checkSettled(systemSpec{routers: 3}) })
	c.expectAnswer("send after the quorum is back", c.send(2), answerDone)
	c.expectExecutions(1)
}
