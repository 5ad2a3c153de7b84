package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wasabiweir/core/clock"
	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/stand"
)

// answerAll answers each request on the listener's first connection with an empty response of its id.
func answerAll(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+req.Header.Get("X-Id")+"\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n")
	}
}

// Guards against a connection to an endpoint that is closed under the request that took it from the pool, because the request
// before ended, or its endpoint was found silent, while it gave the connection back.
func TestPooledConnectionSurvivesEndOfFormerRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go answerAll(l)
	r := &Relay{Clock: &clock.Manual{}, Log: zap.NewNop(), Names: HeaderNames{
		RequestID: "X-Id", Deadline: "X-Deadline", ExpectedEndpoint: "X-Endpoint", Signature: "X-Signature", Limit: "X-Limit", NotExecuted: "X-Not-Run", Load: "X-Load",
		ParseAnnouncement: func(int, http.Header) place.Announcement { return place.Announcement{} },
		ParseLimit:        func(string) (float64, bool) { return 0, false },
		ParseLoad:         func(string) (place.EndpointLoad, bool) { return place.EndpointLoad{}, false },
	}}
	r.meter.initMetrics(nil)
	r.pool.initPool(r)
	e := place.Endpoint{ID: "e", Address: l.Addr().String()}
	send := func(ctx context.Context, id string) (*request, *endpointConn, func() bool) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://h/", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.RequestURI = "/"
		q := &request{relay: r, r: req, id: id, log: zap.NewNop(), header: http.Header{"X-Id": {id}}}
		c, stop, failed := q.sendRequest(ctx, e, time.Minute, nil)
		if failed != nil {
			t.Fatal(failed.err)
		}
		return q, c, stop
	}
	ctx, cancel := context.WithCancel(t.Context())
	first, c, _ := send(ctx, "first")
	use := c.use()
	if res := first.receiveResponse(c); res.outcome != completed {
		t.Fatal(res.err)
	}
	// The next request takes the connection before the first one stops watching its context.
	second, taken, stop := send(t.Context(), "second")
	defer stop()
	if taken != c {
		t.Fatal("the connection is not reused")
	}
	ended := make(chan struct{})
	context.AfterFunc(ctx, func() { close(ended) })
	cancel()
	<-ended
	time.Sleep(10 * time.Millisecond)
	c.closeUse(use)
	if res := second.receiveResponse(taken); res.outcome != completed {
		t.Errorf("the next request on the connection got no response: %v", res.err)
	}
	taken.closeUse(taken.use())
	if taken.isReusable() {
		t.Error("a request cannot close its own connection")
	}
}

// Guards against a connection that is used for longer than its endpoint keeps it, because it was returned without use when the
// endpoint wanted no requests.
func TestUnusedConnectionAges(t *testing.T) {
	now := &clock.Manual{}
	now.Set(time.Unix(1e9, 0))
	r := &Relay{Clock: now, Log: zap.NewNop()}
	r.pool.initPool(r)
	e := place.Endpoint{ID: "e"}
	r.pool.putIdle(newEndpointConn(&openConn{}, e))
	now.Advance(2 * time.Second)
	c := r.pool.takeIdle(e.ID, time.Minute)
	if c == nil {
		t.Fatal("no connection in the pool")
	}
	r.pool.returnUnused(c)
	now.Advance(2 * time.Second)
	if r.pool.takeIdle(e.ID, time.Minute) != nil {
		t.Errorf("a connection is used after 4 s without use, of %s", defaultIdleTimeout)
	}
}

// emptyList is a list of endpoints without any.
type emptyList struct{}

// Read returns no endpoints.
func (emptyList) Read(context.Context) ([]place.Endpoint, error) { return nil, nil }

// newIdleConn returns an idle connection to an endpoint and the endpoint's end of it.
func newIdleConn(t *testing.T, l net.Listener) (*endpointConn, net.Conn) {
	t.Helper()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	end, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = end.Close() })
	return newEndpointConn(nc, place.Endpoint{ID: "e", Address: l.Addr().String()}), end
}

// Guards against connections that stay open after the stop of a relay until its memory is reclaimed or its process exits; carriers hold
// one to an endpoint for each of them. One may be given back after the end.
func TestStoppedRelayClosesIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	core, logs := observer.New(zap.InfoLevel)
	r := newTestRelay(t)
	r.Log, r.CallerAddress, r.StopGrace, r.EndpointLister = zap.New(core), "127.0.0.1:0", drainRigGrace, emptyList{}
	r.Seeds = func() []string { return nil }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	for began := time.Now(); logs.FilterMessage("relay-started").Len() == 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("the relay does not start")
		}
	}
	before, beforeEnd := newIdleConn(t, l)
	late, lateEnd := newIdleConn(t, l)
	r.pool.putIdle(before)
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	r.pool.putIdle(late)
	for name, end := range map[string]net.Conn{"before the stop": beforeEnd, "after it": lateEnd} {
		_ = end.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := end.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("a connection that was given back %s does not end: %v", name, err)
		}
	}
}

// forgetfulEndpoint is an endpoint whose first connection is silent, as if something on the way had lost track of it.
type forgetfulEndpoint struct {
	listener net.Listener
	opened   atomic.Int64
}

// startForgetfulEndpoint starts the endpoint.
func startForgetfulEndpoint(t *testing.T) *forgetfulEndpoint {
	t.Helper()
	e := &forgetfulEndpoint{listener: stand.Listen(t)}
	go e.run()
	return e
}

// run accepts connections.
func (e *forgetfulEndpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c, e.opened.Add(1))
	}
}

// serve answers the requests on the n-th connection.
func (e *forgetfulEndpoint) serve(c net.Conn, n int64) {
	defer c.Close()
	text, _ := wholeAnswer(formLength, "", []byte("history of 7"))
	for br := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if n > 1 {
			_, _ = io.WriteString(c, text)
		}
	}
}

// Guards against requests all of whose attempts are made on connections that were kept from others and have fallen silent, while new ones
// work.
func TestSecondAttemptOpensConnection(t *testing.T) {
	const endpoints = 4
	r := newTestRelay(t)
	route := endingRoute("safe", state.Safe, "p", 3)
	route.LatencyObjective = 40 * time.Millisecond
	r.index.Store(state.NewConfigIndex(&state.State{
		Limits: state.RequestLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20}, Services: []state.Service{{Name: "p"}}, Routes: []state.Route{route},
	}))
	var list []place.Endpoint
	for n := range endpoints {
		address := startForgetfulEndpoint(t).listener.Addr().String()
		list = append(list, place.Endpoint{ID: fmt.Sprint("e", n), Service: "p", Address: address, Domain: "a", Slots: 4})
	}
	r.table.Update(list, time.Now())
	for _, e := range list {
		c, err := r.pool.dialEndpoint(t.Context(), e)
		if err != nil {
			t.Fatal(err)
		}
		r.pool.returnUnused(c)
	}
	began := time.Now()
	res, _ := callRelay(t, r, "safe")
	if took := time.Since(began); res.Code != http.StatusOK || took > time.Second {
		t.Errorf("status %d after %s", res.Code, took)
	}
}

// Guards against requests that are sent to an endpoint which has left since it was chosen, because the connection took a while.
func TestRequestIsNotSentToEndpointThatHasLeft(t *testing.T) {
	text, _ := wholeAnswer(formLength, "", []byte("history of 7"))
	for _, route := range []string{"safe", "unsafe", "message"} {
		first, second := startCutEndpoint(t, &cutEndpoint{id: "a", text: text}), startCutEndpoint(t, &cutEndpoint{id: "b", text: text})
		r := newEndingRelay(t, 3, first, second)
		var left atomic.Pointer[cutEndpoint]
		r.pool.dialer.DialDirect = func(ctx context.Context, network, address string) (net.Conn, error) {
			chosen := first
			if address == second.listener.Addr().String() {
				chosen = second
			}
			if left.CompareAndSwap(nil, chosen) {
				r.withTable(func(t *place.EndpointTable, now time.Time) {
					var list []place.Endpoint
					for _, e := range []*cutEndpoint{first, second} {
						for _, service := range []string{"p", "m"} {
							a := e.listener.Addr().String()
							list = append(list, place.Endpoint{ID: e.id + service, Service: service, Address: a, Domain: "a", Slots: 4, Draining: e == chosen})
						}
					}
					t.Update(list, now.Add(-2*time.Second))
				})
			}
			return dialSlowly(ctx, network, address)
		}
		res, _ := callRelay(t, r, route)
		if n := left.Load().runs.Load(); n != 0 || res.Code != http.StatusOK {
			t.Errorf("%s: the endpoint that has left ran %d requests; status %d", route, n, res.Code)
		}
	}
}
