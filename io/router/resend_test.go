package router

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/object"
	"wasabiweir/io/metric"
)

// cuttingServer is an HTTP service that answers the first request of each connection and closes the connection at the
// second one.
type cuttingServer struct {
	server *httptest.Server
	// requests counts the requests on all connections.
	requests atomic.Int32
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

// ServeHTTP counts the request, and aborts the connection unless it is the connection's first request.
func (c *cuttingServer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	c.requests.Add(1)
	if r.Context().Value(connRequestCountKey{}).(*atomic.Int32).Add(1) > 1 {
		panic(http.ErrAbortHandler)
	}
}

// newCalls returns the callSender of a router with one plain service at the address.
func newCalls(t *testing.T, address string) *callSender {
	t.Helper()
	r := &Router{Clock: &clock.Manual{}, Log: zap.NewNop(), Metrics: metric.New("router")}
	t.Cleanup(func() { _ = r.Metrics.Close() })
	r.dispatcher.Clock, r.dispatcher.Metrics, r.dispatcher.Log = r.Clock, r.Metrics, r.Log
	r.dispatcher.initTables()
	r.dispatcher.applyConfig(&object.Graph{
		Services:  map[string]object.Service{"rondas-app": {Name: "rondas-app", Type: object.ServicePlain}},
		Endpoints: map[string]object.Endpoint{"rondas-1": {Name: "rondas-1", Service: "rondas-app", Address: address}},
	})
	r.calls.initClient(r)
	return &r.calls
}

// newCall returns a call to the service with an idempotency key.
func newCall(method, body string) *serviceCall {
	return &serviceCall{
		service: object.Service{Name: "rondas-app"}, method: method, path: "/visits", body: []byte(body), deadline: time.Second,
		header: http.Header{idempotencyKeyHeader: {"0192"}},
	}
}

// net/http resends requests with an idempotency key by itself when a reused connection fails. A non-idempotent call
// must never be sent twice.
func TestCallIsSentOnceOnBrokenConnection(t *testing.T) {
	s := newCuttingServer(t)
	c := newCalls(t, s.server.Listener.Addr().String())
	for n, body := range []string{"{}", "", "{}"} {
		client, written := newSingleUseClient()
		if _, err := newCall(http.MethodPost, body).roundTrip(t.Context(), client, s.server.Listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if got := int(s.requests.Load()); got != n+1 || !written.Load() {
			t.Fatalf("%d requests after %d calls, written %t", got, n+1, written.Load())
		}
	}
	// Also with the pooled client, which reuses the connection of the first call, each call is sent once.
	s.requests.Store(0)
	for _, body := range []string{"{}", "{}"} {
		_, _ = newCall(http.MethodPost, body).roundTrip(t.Context(), c.client, s.server.Listener.Addr().String())
	}
	if got := s.requests.Load(); got != 2 {
		t.Errorf("two calls were sent %d times", got)
	}
}

// If a service has closed an idle connection, an idempotent call on it must be repeated on a new connection and
// succeed. The retry must be counted, which it is not when net/http resends by itself.
func TestRepeatedCallIsCounted(t *testing.T) {
	s := newCuttingServer(t)
	c := newCalls(t, s.server.Listener.Addr().String())
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
