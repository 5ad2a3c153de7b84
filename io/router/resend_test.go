package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/common"
	"wasabiweir/core/object"
	"wasabiweir/io/metric"
	"wasabiweir/io/stand"
)

// cuttingServer is an HTTP service that answers the first request of each connection and closes the connection at the
// second one.
type cuttingServer struct {
	server *httptest.Server
	// requests counts the requests on all connections.
	requests atomic.Int32
	// cutFirst makes the server close the connection of the very first request without a response.
	cutFirst bool
}

// connRequestCountKey is the context key of the number of requests on a connection.
type connRequestCountKey struct{}

// newCuttingServer starts a cuttingServer that is closed at the end of the test.
func newCuttingServer(t *testing.T) *cuttingServer {
	c := &cuttingServer{}
	c.server = httptest.NewUnstartedServer(c)
	c.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connRequestCountKey{}, &atomic.Int32{})
	}
	c.server.Start()
	t.Cleanup(c.server.Close)
	return c
}

// ServeHTTP counts the request, and aborts the connection if it is not the connection's first request, or if it is the
// very first one and cutFirst is set.
func (c *cuttingServer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	first := c.requests.Add(1) == 1
	if r.Context().Value(connRequestCountKey{}).(*atomic.Int32).Add(1) > 1 || first && c.cutFirst {
		panic(http.ErrAbortHandler)
	}
}

// newCalls returns the callSender of a router with one plain service, which has an endpoint at each address.
func newCalls(t *testing.T, addresses ...string) *callSender {
	t.Helper()
	r := &Router{Clock: &clock.Manual{}, Log: zap.NewNop(), Metrics: metric.New("router")}
	t.Cleanup(func() { _ = r.Metrics.Close() })
	r.dispatcher.Clock, r.dispatcher.Metrics, r.dispatcher.Log = r.Clock, r.Metrics, r.Log
	r.dispatcher.initTables()
	endpoints := map[string]object.Endpoint{}
	for i, address := range addresses {
		name := fmt.Sprintf("rondas-%d", i+1)
		endpoints[name] = object.Endpoint{Name: name, Service: "rondas-app", Address: address}
	}
	r.dispatcher.applyConfig(&object.Graph{
		Services:  map[string]object.Service{"rondas-app": {Name: "rondas-app", Type: object.ServicePlain}},
		Endpoints: endpoints,
	})
	r.calls.router, r.peers.router = r, r
	r.initCrashes()
	r.initReach()
	return &r.calls
}

// newCall returns a call to the service with an idempotency key.
func newCall(method, body string) *serviceCall {
	return &serviceCall{
		dial:    (&net.Dialer{}).DialContext,
		service: object.Service{Name: "rondas-app"}, method: method, path: "/visits", body: []byte(body), deadline: time.Second,
		header: http.Header{idempotencyKeyHeader: {"0192"}},
	}
}

// net/http resends requests with an idempotency key by itself when a connection fails. A non-idempotent call must never
// be sent twice.
func TestCallIsSentOnceOnBrokenConnection(t *testing.T) {
	s := newCuttingServer(t)
	for n, body := range []string{"{}", "", "{}"} {
		client, written := newSingleUseClient((&net.Dialer{}).DialContext, time.Now().Add(time.Minute))
		if _, err := newCall(http.MethodPost, body).roundTrip(t.Context(), client, s.server.Listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if got := int(s.requests.Load()); got != n+1 || !written.Load() {
			t.Fatalf("%d requests after %d calls, written %t", got, n+1, written.Load())
		}
	}
	// A call whose deadline has passed while its router connected is not sent.
	client, written := newSingleUseClient((&net.Dialer{}).DialContext, time.Now())
	if _, err := newCall(http.MethodPost, "{}").roundTrip(t.Context(), client, s.server.Listener.Addr().String()); err == nil || written.Load() || s.requests.Load() != 3 {
		t.Errorf("expired call: %v, written %t, %d requests", err, written.Load(), s.requests.Load())
	}
	// Also with a client that reuses the connection of the first call, each call is sent once.
	s.requests.Store(0)
	pooled := &http.Client{Transport: &http.Transport{}}
	for _, body := range []string{"{}", "{}"} {
		_, _ = newCall(http.MethodPost, body).roundTrip(t.Context(), pooled, s.server.Listener.Addr().String())
	}
	if got := s.requests.Load(); got != 2 {
		t.Errorf("two calls were sent %d times", got)
	}
}

// If the connection of an idempotent call breaks, the call must be repeated at another endpoint and succeed. The retry
// must be counted, which it is not when net/http resends by itself.
func TestRepeatedCallIsCounted(t *testing.T) {
	s := newCuttingServer(t)
	s.cutFirst = true
	address := s.server.Listener.Addr().String()
	c := newCalls(t, address, address)
	for range 2 {
		if _, err := c.sendIdempotent(t.Context(), newCall(http.MethodGet, "")); err != nil {
			t.Fatal(err)
		}
	}
	if got := s.requests.Load(); got != 3 {
		t.Errorf("the service saw %d requests, want 2 calls and 1 resend", got)
	}
	expectRetries(t, c.router.Metrics, "reset")
}

// sendAnyCall sends a call and returns its refusal, or nil. A non-idempotent one is sent as after its claim.
func sendAnyCall(t *testing.T, c *callSender, method string) *common.Refusal {
	t.Helper()
	x := newCall(method, "")
	x.crashRecord = x.newCrashRecord()
	var err error
	if x.idempotent() {
		_, err = c.sendIdempotent(t.Context(), x)
	} else {
		_, _, err = (&execution{calls: c, call: x}).sendUntilWritten(t.Context())
	}
	if err == nil {
		return nil
	}
	return common.AsRefusal(err)
}

// Guards against calls that fail because three endpoints accept no connections while others serve, and against a call that
// reached no endpoint and is reported as unknown.
func TestCallOutlastsRefusedConnections(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		s := newCuttingServer(t)
		var addresses []string
		for range maxRefusedConnections - 1 {
			addresses = append(addresses, stand.FreeAddress())
		}
		if f := sendAnyCall(t, newCalls(t, addresses...), method); f == nil || f.Outcome != common.OutcomeNotRun {
			t.Errorf("%s with all endpoints down is refused with %+v, want not-run", method, f)
		}
		if f := sendAnyCall(t, newCalls(t, append(addresses, s.server.Listener.Addr().String())...), method); f != nil {
			t.Errorf("%s with one endpoint that serves is refused with %+v", method, f)
		}
	}
}

// echoTwiceServer answers each request with its path. Each request on a connection after the first is answered with a
// second copy of the response before.
type echoTwiceServer struct{ listener net.Listener }

// loop accepts connections until the listener is closed.
func (s *echoTwiceServer) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loopConn(c)
	}
}

// loopConn answers the requests on one connection.
func (s *echoTwiceServer) loopConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	last := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		_, _ = io.WriteString(c, last+answer)
		last = answer
	}
}

// Guards against a second copy of a response that arrives as the next request is sent on the same connection, and that
// is taken for the response to that request.
func TestSecondCopyIsNotTheNextAnswer(t *testing.T) {
	l := stand.Listen(t)
	go (&echoTwiceServer{listener: l}).loop()
	c := newCalls(t, l.Addr().String())
	for _, path := range []string{"/first", "/second", "/third"} {
		call := newCall(http.MethodGet, "")
		call.path = path
		out, err := c.sendIdempotent(t.Context(), call)
		if err != nil {
			t.Fatal(err)
		}
		if string(out.body) != path {
			t.Errorf("the call of %s got the answer %q", path, out.body)
		}
	}
}

// expectRetries fails the test unless the metrics page shows one retry for the reason within 5 seconds.
func expectRetries(t *testing.T, h http.Handler, reason string) {
	t.Helper()
	var body string
	for range 100 {
		page := httptest.NewRecorder()
		h.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		body = page.Body.String()
		for line := range strings.Lines(body) {
			if strings.Contains(line, "retries") && strings.Contains(line, reason) && strings.HasSuffix(strings.TrimSpace(line), " 1") {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("no retry counted for %s:\n%s", reason, body)
}
