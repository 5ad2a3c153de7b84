package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/serve"
	"wasabiweir/io/stand"
)

const (
	// forwardTimeout is the timeout of the forwardRig's routes.
	forwardTimeout = time.Second
	// maxEndDelay is the time within which a request must have ended after its deadline or after its caller has left.
	maxEndDelay = 500 * time.Millisecond
)

// forwardRig is a relay with one caller and one endpoint, whose script is called for each request that it gets.
type forwardRig struct {
	t     *testing.T
	relay *Relay
	// address is the relay's address for callers.
	address string
	// handled receives the time that the relay's handler took for a request.
	handled chan time.Duration
	// left receives the time from the endpoint's request until the relay closed the connection to the endpoint.
	left chan time.Duration
}

// newForwardRig starts a relay with one route of each kind; the paths are the names of the kinds.
func newForwardRig(t *testing.T, script func(c net.Conn, header string)) *forwardRig {
	t.Helper()
	g := &forwardRig{t: t, handled: make(chan time.Duration, 1<<16), left: make(chan time.Duration, 1<<16)}
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = endpoint.Close() })
	go g.loopEndpoint(endpoint, script)
	sound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sound.Close() })
	go g.loopEndpoint(sound, soundResponse)
	r := newTestRelay(t)
	r.table.Update([]place.Endpoint{
		{ID: "e", Service: "s", Address: endpoint.Addr().String(), Domain: "a"}, {ID: "sound", Service: "sound", Address: sound.Addr().String(), Domain: "b"},
	}, time.Now())
	var routes []state.Route
	for name, kind := range map[string]state.RouteKind{"safe": state.Safe, "unsafe": state.Unsafe, "stream": state.Stream} {
		routes = append(routes, state.Route{
			Name: name, Host: "h", Prefix: "/" + name, Kind: kind, Timeout: forwardTimeout, MaxAttempts: 3,
			Shares: []state.ServiceShare{{Service: "s", Weight: 1}},
		})
	}
	routes = append(routes, state.Route{
		Name: "paused", Host: "h", Prefix: "/paused", Kind: state.Stream, Timeout: 10 * time.Second, MaxAttempts: 3, Resumable: true,
		Shares: []state.ServiceShare{{Service: "s", Weight: 1}},
	}, state.Route{
		Name: "upload", Host: "h", Prefix: "/upload", Kind: state.Unsafe, Timeout: 10 * time.Second, MaxAttempts: 1,
		Shares: []state.ServiceShare{{Service: "s", Weight: 1}},
	}, state.Route{
		Name: "sound", Host: "h", Prefix: "/sound", Kind: state.Unsafe, Timeout: 5 * time.Second, MaxAttempts: 1,
		Shares: []state.ServiceShare{{Service: "sound", Weight: 1}},
	})
	r.index.Store(state.NewConfigIndex(&state.State{
		Limits:   state.RequestLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 30, HeaderTimeout: time.Minute, IdleTimeout: time.Minute},
		Services: []state.Service{{Name: "s"}, {Name: "sound"}}, Routes: routes,
	}))
	g.relay = r
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.address = l.Addr().String()
	server, l := r.callers.newServer(r.guard.Handler(http.HandlerFunc(g.serve)), l)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return g
}

// serve serves a request and reports how long that took.
func (g *forwardRig) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	defer func() { g.handled <- time.Since(start) }()
	g.relay.ServeHTTP(w, r)
}

// loopEndpoint runs the script for each request to the endpoint.
func (g *forwardRig) loopEndpoint(l net.Listener, script func(c net.Conn, header string)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go g.runScript(c, script)
	}
}

// runScript reads a request from the connection, runs the script, and then waits until the relay closes the connection.
func (g *forwardRig) runScript(c net.Conn, script func(c net.Conn, header string)) {
	defer c.Close()
	br := bufio.NewReader(c)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	start := time.Now()
	script(c, "X-Id: "+req.Header.Get("X-Id")+"\r\nX-Signature: s\r\n")
	_, _ = io.Copy(io.Discard, br)
	g.left <- time.Since(start)
}

// send sends a request header and the first bytes of its body, and returns the connection with a small receive buffer.
func (g *forwardRig) send(text string) *net.TCPConn {
	g.t.Helper()
	c, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = c.Close() })
	tc := c.(*net.TCPConn)
	_ = tc.SetReadBuffer(4 << 10)
	_ = tc.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(tc, text); err != nil {
		g.t.Fatal(err)
	}
	return tc
}

// get returns the text of a request without a body on the route.
func get(route string) string { return "GET /" + route + " HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n\r\n" }

// within returns the next value of the channel and fails the test if it does not come in time.
func (g *forwardRig) within(ch <-chan time.Duration, limit time.Duration, what string) {
	g.t.Helper()
	select {
	case <-ch:
	case <-time.After(limit):
		g.t.Errorf("%s: not within %s", what, limit)
	}
}

// soundResponse sends a short response and closes the connection.
func soundResponse(c net.Conn, header string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\nConnection: close\r\n\r\nok")
}

// endlessBody sends a large body without end until the relay closes the connection.
func endlessBody(c net.Conn, header string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 1000000000\r\n\r\n")
	_ = sendUntilError(c)
}

// silentAfter returns a script that sends the first bytes of a body and then nothing.
func silentAfter(n int) func(net.Conn, string) {
	return func(c net.Conn, header string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 300000\r\n\r\n"+strings.Repeat("x", n))
	}
}

// Guards against a response that is too large to be buffered and has no end at the request's deadline, because its
// endpoint falls silent or sends without end, and against one that looks complete then.
func TestForwardedResponseEndsAtDeadline(t *testing.T) {
	for name, script := range map[string]func(net.Conn, string){"silent": silentAfter(200_000), "endless": endlessBody} {
		for _, route := range []string{"safe", "unsafe"} {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				g := newForwardRig(t, script)
				c := g.send(get(route))
				start := time.Now()
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				n, err := io.Copy(io.Discard, res.Body)
				if err == nil {
					t.Errorf("the response looks complete after %d bytes", n)
				}
				if took := time.Since(start); took < forwardTimeout/2 || took > forwardTimeout+maxEndDelay {
					t.Errorf("the response ended after %s", took)
				}
				g.within(g.left, maxEndDelay, "the endpoint is left")
			})
		}
	}
}

// endlessEvents sends events without end until the relay closes the connection.
func endlessEvents(c net.Conn, header string) {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\n\r\n")
	for n, data := 1, strings.Repeat("x", 16<<10); err == nil; n++ {
		_, err = io.WriteString(c, "id: "+strconv.Itoa(n)+"\ndata: "+data+"\n\n")
	}
}

// Guards against a caller that does not read and holds its handler without a limit.
func TestUnreadResponseEndsAtDeadline(t *testing.T) {
	for name, x := range map[string]struct {
		route  string
		script func(net.Conn, string)
	}{"plain": {"safe", endlessBody}, "stream": {"stream", endlessEvents}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newForwardRig(t, x.script)
			g.send(get(x.route))
			g.within(g.left, forwardTimeout+maxEndDelay, "the endpoint is left")
			g.within(g.handled, 2*maxEndDelay, "the handler ends")
		})
	}
}

// Guards against a sound engine that a stream leaves as stalled because its caller does not read for a while.
func TestCallerThatPausesKeepsEngine(t *testing.T) {
	t.Parallel()
	g := newForwardRig(t, endlessEvents)
	g.send(get("paused"))
	select {
	case after := <-g.left:
		t.Errorf("the engine was left after %s", after)
	case <-time.After(minStallTimeout + time.Second):
	}
}

// Guards against an endpoint that goes on with a response whose caller has left.
func TestForwardedResponseEndsWithCaller(t *testing.T) {
	for name, script := range map[string]func(net.Conn, string){"silent": silentAfter(200_000), "endless": endlessBody} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newForwardRig(t, script)
			c := g.send(get("unsafe"))
			if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			g.within(g.left, maxEndDelay, "the endpoint is left")
		})
	}
}

// Guards against a connection that stays open with the rest of a large error response, after another endpoint has got
// the request.
func TestLargeErrorResponseIsClosedOnRetry(t *testing.T) {
	g := newForwardRig(t, func(c net.Conn, header string) {
		_, _ = io.WriteString(c, "HTTP/1.1 500 Failed\r\n"+header+"Content-Length: 1000000000\r\n\r\n")
		_ = sendUntilError(c)
	})
	req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/safe", http.NoBody)
	q := &request{
		relay: g.relay, r: req, ctx: req.Context(), log: zap.NewNop(), id: "r", service: "s", index: g.relay.index.Load(), tried: map[string]bool{},
		header: http.Header{"X-Id": {"r"}}, route: &state.Route{Kind: state.Safe, MaxAttempts: 3}, startedAt: time.Now(), deadline: time.Now().Add(time.Minute),
	}
	q.w = httptest.NewRecorder()
	var cancel context.CancelFunc
	q.ctx, cancel = context.WithCancel(q.ctx)
	defer cancel()
	q.servePlain()
	g.within(g.left, maxEndDelay, "the endpoint is left")
}

// Guards against a long upload whose endpoint stays connected after the caller has left or the deadline has passed.
func TestUploadEndsWithCallerAndDeadline(t *testing.T) {
	const header = "POST /unsafe HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nContent-Length: 100000000\r\n\r\n"
	t.Run("caller leaves", func(t *testing.T) {
		t.Parallel()
		g := newForwardRig(t, func(net.Conn, string) {})
		c := g.send(header + strings.Repeat("x", 1<<20))
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
		g.within(g.left, maxEndDelay, "the endpoint is left")
	})
	t.Run("caller resets, endpoint does not read", func(t *testing.T) {
		t.Parallel()
		unread := make(chan struct{})
		g := newForwardRig(t, func(net.Conn, string) { <-unread })
		defer close(unread)
		c := g.fillUpload()
		_ = c.SetLinger(0)
		_ = c.Close()
		g.within(g.handled, maxEndDelay, "the handler ends")
	})
	for name, sent := range map[string]int{"slow caller": 1 << 10, "endpoint that does not read": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			unread := make(chan struct{})
			g := newForwardRig(t, func(net.Conn, string) {
				if sent > 1<<10 {
					<-unread
				}
			})
			c := g.send(header + strings.Repeat("x", sent))
			go func() { _, _ = io.Copy(c, neverEnding{}) }()
			time.AfterFunc(forwardTimeout+maxEndDelay/2, func() { close(unread) })
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || res.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("the response is %v, %v", res, err)
			}
			g.within(g.left, maxEndDelay, "the endpoint is left")
		})
	}
}

// uploadHeader is the header of a long upload to the endpoint of the rig's script.
const uploadHeader = "POST /upload HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nContent-Length: 1000000000\r\n\r\n"

// fillUpload sends the header of an upload, and as much of its body as the sockets hold while the endpoint does not read.
func (g *forwardRig) fillUpload() *net.TCPConn {
	g.t.Helper()
	c := g.send(uploadHeader)
	_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	if err := sendUntilError(c); !errors.Is(err, os.ErrDeadlineExceeded) {
		g.t.Fatal(err)
	}
	return c
}

// sendUntilError sends bytes until the connection takes no more of them.
func sendUntilError(c net.Conn) (err error) {
	for chunk := make([]byte, 32<<10); err == nil; {
		_, err = c.Write(chunk)
	}
	return err
}

// awaitClose reads nothing, and waits until the relay has closed the connection. The end of a connection can't be seen if it waits
// behind data that have no room in the socket.
func awaitClose(c net.Conn, _ string) {
	for start := time.Now(); !serve.HasPeerClosed(c) && time.Since(start) < 20*time.Second; {
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against an endpoint that does not read an upload and is left only at the deadline, although the caller has closed its
// connection: the end of it then waits in the caller's kernel behind bytes that nobody reads.
func TestUploadThatNobodyReadsEndsWithCaller(t *testing.T) {
	for name, x := range map[string]struct {
		callerReads bool
		leavesAfter time.Duration
		want        time.Duration
	}{
		"at once": {false, 0, uploadProbeDelay + maxEndDelay}, "later": {false, 4 * time.Second, maxEndDelay},
		"at once, caller reads": {true, 0, uploadProbeDelay + maxEndDelay}, "later, caller reads": {true, 3 * time.Second, maxEndDelay},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newForwardRig(t, awaitClose)
			c := g.fillUpload()
			if x.callerReads {
				go func() { _, _ = io.Copy(io.Discard, c) }()
			}
			time.Sleep(x.leavesAfter)
			_ = c.Close()
			start := time.Now()
			g.within(g.handled, x.want, "the handler ends")
			g.within(g.left, max(0, x.want-time.Since(start)), "the endpoint is left")
		})
	}
}

// Guards against a sound upload that its caller breaks off, because it takes a byte that is sent during a short pause of the
// endpoint for an early response.
func TestShortPauseOfUploadSendsNothing(t *testing.T) {
	g := newForwardRig(t, awaitClose)
	c := g.fillUpload()
	_ = c.SetReadDeadline(time.Now().Add(uploadProbeDelay - 500*time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes were read, then: %v", n, err)
	}
}

// neverEnding is a body without end that is sent in pieces with pauses.
type neverEnding struct{}

// Read returns some bytes.
func (neverEnding) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return len(p), nil
}

const (
	// manyRequests is the number of requests that meet an endpoint in trouble at the same time.
	manyRequests = 100
	// maxHeapGrowth bounds the growth of the heap under these requests in bytes; it is half of the memory of a relay's
	// instance, and covers the simulated endpoints and the callers too.
	maxHeapGrowth = 92 << 20
)

// heapMeter measures the growth of the heap of the test's process.
type heapMeter struct{ before, peak uint64 }

// newHeapMeter returns a meter that starts with the present heap.
func newHeapMeter() *heapMeter {
	runtime.GC()
	m := &heapMeter{}
	m.measure()
	m.before = m.peak
	return m
}

// measure takes the present size of the heap into account.
func (m *heapMeter) measure() {
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	m.peak = max(m.peak, now.HeapInuse)
}

// check fails the test if the heap grew by more than maxHeapGrowth.
func (m *heapMeter) check(t *testing.T) {
	t.Helper()
	if grown := m.peak - m.before; grown > maxHeapGrowth {
		t.Errorf("the heap grew by %d MB, want at most %d", grown>>20, maxHeapGrowth>>20)
	} else {
		t.Logf("the heap grew by %d MB", grown>>20)
	}
}

// sendSound sends sound requests one after the other for the duration d, and returns their number. Each must be served.
func (g *forwardRig) sendSound(m *heapMeter, d time.Duration) (served int) {
	g.t.Helper()
	for start := time.Now(); time.Since(start) < d; served++ {
		c := g.send(get("sound"))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusOK {
			g.t.Fatalf("a sound request got %v, %v", res, err)
		}
		_ = c.Close()
		m.measure()
	}
	g.t.Logf("%d sound requests were served", served)
	return served
}

// Guards against a relay that runs out of memory or serves sound requests no more, while 100 endless responses are
// forwarded at once to callers that read slowly or not at all.
func TestEndlessForwardedResponses(t *testing.T) {
	g := newForwardRig(t, endlessBody)
	m := newHeapMeter()
	for i := range manyRequests {
		c := g.send(get("unsafe"))
		if i%2 == 0 {
			go func() {
				for buf := make([]byte, 1<<10); ; time.Sleep(10 * time.Millisecond) {
					if _, err := c.Read(buf); err != nil {
						return
					}
				}
			}()
		}
	}
	served := g.sendSound(m, forwardTimeout+writeGrace)
	m.check(t)
	for range manyRequests + served {
		g.within(g.handled, 2*maxEndDelay, "a handler ends")
	}
}

// Guards against a relay that keeps the bodies of uploads that their endpoint does not read, or serves sound requests no more
// beside them, and against endpoints that are left late if 100 callers close their connections at once.
func TestManyUploadsThatNobodyReads(t *testing.T) {
	unread := make(chan struct{})
	g := newForwardRig(t, func(net.Conn, string) { <-unread })
	defer close(unread)
	m := newHeapMeter()
	var callers []*net.TCPConn
	for range manyRequests {
		c := g.send(uploadHeader)
		callers = append(callers, c)
		go func() { _ = sendUntilError(c) }()
	}
	served := g.sendSound(m, uploadProbeDelay+forwardTimeout)
	for _, c := range callers {
		_ = c.Close()
	}
	start := time.Now()
	for range manyRequests + served {
		g.within(g.handled, max(0, maxEndDelay-time.Since(start)), "a handler ends")
	}
	m.check(t)
}

// Guards against requests that are sent to an endpoint after their caller has closed its connection, at a relay that is too late to
// have noticed that.
func TestRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	var sent atomic.Int64
	g := newForwardRig(t, func(c net.Conn, header string) { sent.Add(1); soundResponse(c, header) })
	for _, route := range []string{"safe", "unsafe", "stream"} {
		caller, accepted, err := stand.ConnPair()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		_ = caller.Close()
		// No server reads from the connection, as one that has not come to it.
		req := httptest.NewRequestWithContext(serve.ContextWithConn(t.Context(), accepted), http.MethodGet, "/"+route, http.NoBody)
		req.Host, req.RequestURI = "h", "/"+route
		req.Header.Set("X-Id", "r")
		func() {
			defer func() { _ = recover() }()
			time.Sleep(10 * time.Millisecond)
			g.relay.ServeHTTP(httptest.NewRecorder(), req)
		}()
		if n := sent.Swap(0); n != 0 {
			t.Errorf("%s: %d requests were sent to the endpoint", route, n)
		}
	}
}
