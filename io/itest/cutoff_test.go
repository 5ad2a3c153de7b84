package itest

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wasabiweir/io/metric"
	"wasabiweir/io/router"
	"wasabiweir/io/wall"
)

// endpointCut is the network between a router and all endpoints, which a test can interrupt.
type endpointCut struct {
	mu sync.Mutex
	// refuses is true if new connections are refused and open ones live on; otherwise both hang.
	refuses bool
	// lifted is closed at the end of the cut; nil while there is none.
	lifted chan struct{}
	// opened counts the connections that were established.
	opened int
}

// cut interrupts the network.
func (c *endpointCut) cut(refuses bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuses, c.lifted = refuses, make(chan struct{})
}

// lift ends the cut.
func (c *endpointCut) lift() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.lifted)
	c.lifted = nil
}

// state returns what becomes of connections now; lifted is nil if there is no cut.
func (c *endpointCut) state() (refuses bool, lifted chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuses, c.lifted
}

// openedCount returns how many connections were established so far.
func (c *endpointCut) openedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// dial opens a connection to an endpoint, unless the network is interrupted.
func (c *endpointCut) dial(ctx context.Context, network, address string) (net.Conn, error) {
	refuses, lifted := c.state()
	switch {
	case lifted != nil && refuses:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case lifted != nil:
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		case <-lifted:
		}
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return &cutConn{Conn: nc, cut: c, closed: make(chan struct{})}, nil
}

// cutConn is a connection to an endpoint. One that has hung ends with the cut.
type cutConn struct {
	net.Conn
	cut    *endpointCut
	once   sync.Once
	closed chan struct{}
}

// awaitEnd waits until the connection or the cut ends if the connection hangs, and reports whether it does.
func (c *cutConn) awaitEnd() bool {
	refuses, lifted := c.cut.state()
	if lifted == nil || refuses {
		return false
	}
	select {
	case <-c.closed:
	case <-lifted:
		_ = c.Close()
	}
	return true
}

// Read reads from the connection; it blocks while the connection hangs.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.awaitEnd() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection; what is written to one that hangs is lost.
func (c *cutConn) Write(b []byte) (int, error) {
	if refuses, lifted := c.cut.state(); lifted != nil && !refuses {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SyscallConn returns the raw connection.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// cutSystem is a system whose routers run in this process and can be cut off from all endpoints.
type cutSystem struct {
	*system
	cuts [3]endpointCut
	runs [3]*routerRun
	// logs holds what the first router has logged.
	logs *observer.ObservedLogs
}

// newCutSystem starts a system with three routers and three engines.
func newCutSystem(t *testing.T) *cutSystem {
	s := &cutSystem{system: &system{t: t, dir: t.TempDir()}}
	spec := systemSpec{controls: 1, engines: 3, engineArgs: []string{"-tokens-per-second", "100"}}
	s.startEndpoints(spec)
	controls := s.startControls(spec)
	core, observed := observer.New(zap.InfoLevel)
	s.logs = observed
	free := freeAddresses(6)
	for i := range 3 {
		r := &router.Router{
			Name: "router-" + strconv.Itoa(i+1), Domain: domains[i], Listen: free[2*i], PeerListen: free[2*i+1], Controls: controls, PeerKey: peerKey,
			DialDirect: s.cuts[i].dial, OrphanGrace: router.DefaultOrphanGrace, AddressTTL: 500 * time.Millisecond, ReadTimeout: router.DefaultReadTimeout,
			MaxConnections: router.DefaultMaxConnections, LedgerGroups: 1, Clock: wall.Clock{}, Log: zap.NewNop(), Metrics: metric.New("router"),
		}
		if i == 0 {
			r.Log = zap.New(core)
		}
		s.routerAddresses = append(s.routerAddresses, r.Listen)
		ctx, cancel := context.WithCancel(context.Background())
		s.runs[i] = &routerRun{router: r, done: make(chan struct{})}
		go s.runs[i].run(ctx)
		t.Cleanup(func() { cancel(); <-s.runs[i].done; _ = r.Metrics.Close() })
	}
	for _, a := range s.operatorAddresses {
		eventually(t, startTimeout, func() error { return checkReady(a) })
	}
	s.apply(s.configuration(), "-wait", "15s")
	for _, a := range s.routerAddresses {
		eventually(t, startTimeout, func() error { return checkReady(a) })
	}
	eventually(t, startTimeout, func() error { return s.checkSettled(systemSpec{routers: 3}) })
	return s
}

// routerRun runs a router until its context ends.
type routerRun struct {
	router *router.Router
	done   chan struct{}
}

// run runs the router.
func (r *routerRun) run(ctx context.Context) {
	defer close(r.done)
	_ = r.router.Run(ctx)
}

// countServed sends n requests of each kind to the first router and returns how many are served.
func (s *cutSystem) countServed(n int) (completions, once, repeatable int) {
	for range n {
		if l := s.startCompletion(0, 10).readToEnd(); l.status == http.StatusOK && strings.HasSuffix(l.received.String(), "data: [DONE]\n\n") {
			l.verifyCompletion(10)
			completions++
		}
		key := newIdempotencyKey(s.t)
		if l := s.callAt(0, key, "{}"); l.status == http.StatusOK {
			once++
		} else {
			s.t.Logf("call: %s", l.transcript())
		}
		if runs := readExecutions(s.t, s.serviceAddress).Keys[key]; runs > 1 {
			s.t.Errorf("a call ran %d times", runs)
		}
		if status, _, _ := sendRequest(s.t, http.MethodGet, s.routerAddresses[0], callPath, "", nil); status == http.StatusOK {
			repeatable++
		}
	}
	return completions, once, repeatable
}

// Guards against a router that takes all endpoints for down when only it cannot reach them: it refused requests, gave up streams,
// and recorded engines as crashed.
func TestRouterCutOffFromEndpoints(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name    string
		refuses bool
	}{{"hang", false}, {"refuse", true}} {
		t.Run(x.name, func(t *testing.T) {
			const requests = 10
			s := newCutSystem(t)
			running := s.startCompletion(0, 300).readEvents(10)
			elsewhere := s.startCompletion(1, 300).readEvents(10)
			s.cuts[0].cut(x.refuses)
			time.Sleep(time.Second)
			_ = elsewhere.body.Close()
			resumed := s.resumeCompletion(0, elsewhere.cursor)
			if completions, once, repeatable := s.countServed(requests); min(completions, once, repeatable) < requests {
				t.Errorf("%d completions, %d calls that run once and %d repeatable ones were served, want %d each", completions, once, repeatable, requests)
			}
			running.readToEnd().verifyCompletion(300)
			elsewhere.received.WriteString(resumed.readToEnd().received.String())
			elsewhere.verifyCompletion(300)
			if n := s.logs.FilterMessage("engine-crashed").Len() + s.logs.FilterMessage("endpoint-silent").Len(); n > 0 {
				t.Errorf("%d endpoints were recorded as crashed or silent", n)
			}
			s.cuts[0].lift()
			eventually(t, 5*time.Second, func() error {
				before := s.cuts[0].openedCount()
				if completions, _, _ := s.countServed(1); completions == 0 || s.cuts[0].openedCount() < before+3 {
					return os.ErrDeadlineExceeded
				}
				return nil
			})
			if n := s.logs.FilterMessage("endpoints-reached-again").Len(); n == 0 {
				t.Error("the router still takes itself to be cut off")
			}
		})
	}
}

// Guards against requests that wait for their deadline, streams that break, and endpoints that are suspended after the cut, if no router
// can help one that is cut off.
func TestRouterThatNobodyCanHelp(t *testing.T) {
	t.Parallel()
	s := newCutSystem(t)
	s.cuts[0].cut(false)
	time.Sleep(time.Second)
	if completions, once, repeatable := s.countServed(2); min(completions, once, repeatable) < 2 {
		t.Fatalf("%d completions, %d calls that run once and %d repeatable ones were served, want 2 each", completions, once, repeatable)
	}
	running := s.startCompletion(0, 300).readEvents(5)
	s.cuts[1].cut(false)
	s.cuts[2].cut(false)
	time.Sleep(2 * time.Second)
	for _, x := range []struct{ method, path, body string }{
		{http.MethodPost, "/v1/completions", completionBody(10)}, {http.MethodPost, callPath, "{}"}, {http.MethodGet, callPath, ""},
	} {
		start := time.Now()
		status, _, body := sendRequest(t, x.method, s.routerAddresses[0], x.path, x.body, map[string]string{"Idempotency-Key": newIdempotencyKey(t)})
		if took := time.Since(start); status != http.StatusServiceUnavailable || !strings.Contains(body, `"reason":"cut-off","outcome":"not-run"`) || took > time.Second {
			t.Errorf("%s %s is answered %d %s after %s", x.method, x.path, status, body, took)
		}
	}
	for i := range s.cuts {
		s.cuts[i].lift()
	}
	time.Sleep(500 * time.Millisecond)
	if completions, once, repeatable := s.countServed(3); min(completions, once, repeatable) < 3 {
		t.Errorf("after the cut, %d completions, %d calls that run once and %d repeatable ones were served, want 3 each", completions, once, repeatable)
	}
	running.readToEnd().verifyCompletion(300)
}

// Guards against a planned stop of a router that cuts off the connections that it carries for another one.
func TestPlannedStopOfCarriers(t *testing.T) {
	t.Parallel()
	s := newCutSystem(t)
	s.cuts[0].cut(true)
	time.Sleep(time.Second)
	const tokens = 600
	l := s.startCompletion(0, tokens).readEvents(2)
	begun := s.logs.FilterMessage("attempt-lost").Len()
	s.runs[1].router.Drain()
	s.runs[2].router.Drain()
	l.readToEnd().verifyCompletion(tokens)
	if lost := s.logs.FilterMessage("attempt-lost").Len() - begun; lost > 0 {
		t.Errorf("%d attempts were lost", lost)
	}
	for i, r := range s.runs[1:] {
		select {
		case <-r.done:
		case <-time.After(10 * time.Second):
			t.Errorf("router-%d has not ended", i+2)
		}
	}
}
