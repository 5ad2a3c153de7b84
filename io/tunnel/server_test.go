package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"wasabiweir/core/prop"
	"wasabiweir/core/reach"
	"wasabiweir/io/serve"
	"wasabiweir/io/stand"
	"wasabiweir/io/wall"
)

// testTimeout bounds each expected change.
const testTimeout = 5 * time.Second

// errNoWay is the error of direct connections of a process that is cut off.
var errNoWay = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// refuseDirect is a DialFunc of a process that is cut off.
func refuseDirect(context.Context, string, string) (net.Conn, error) { return nil, errNoWay }

// eventually waits until the condition holds, and fails the test after testTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatalf("no %s within %s", what, testTimeout)
		}
	}
}

// testEndpoint is an endpoint that hands its connections to the test.
type testEndpoint struct {
	address string
	conns   chan net.Conn
	// accepted counts the connections.
	accepted atomic.Int32
}

// startEndpoint starts an endpoint.
func startEndpoint(t testing.TB) *testEndpoint {
	l := stand.Listen(t)
	e := &testEndpoint{address: l.Addr().String(), conns: make(chan net.Conn, 1000)}
	go e.loop(l)
	return e
}

// loop accepts connections until the listener closes.
func (e *testEndpoint) loop(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		e.accepted.Add(1)
		e.conns <- nc
	}
}

// next returns the endpoint's next connection.
func (e *testEndpoint) next(t prop.TestingT) net.Conn {
	t.Helper()
	select {
	case nc := <-e.conns:
		return nc
	case <-time.After(testTimeout):
		t.Fatalf("no connection arrived at the endpoint")
		return nil
	}
}

// testCarrier is a process that carries connections.
type testCarrier struct {
	Server
	address string
	stopped atomic.Bool
	// asked counts the connections on which others have asked.
	asked atomic.Int32

	mu sync.Mutex
	// sockets are all sockets of the process.
	sockets []net.Conn
}

// keepingListener is a carrier's listener.
type keepingListener struct {
	net.Listener
	carrier *testCarrier
}

// Accept returns the next connection and remembers its socket.
func (l *keepingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		l.carrier.asked.Add(1)
		l.carrier.keep(nc)
	}
	return nc, err
}

// keep remembers a socket of the process.
func (c *testCarrier) keep(nc net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sockets = append(c.sockets, nc)
}

// kill closes all sockets of the process in their order or the opposite one, as the kernel does when a process is killed.
func (c *testCarrier) kill(backwards bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.sockets {
		if backwards {
			i = len(c.sockets) - 1 - i
		}
		_ = c.sockets[i].Close()
	}
}

// startCarrier starts a carrier of connections to the endpoint, after the optional change.
func startCarrier(t testing.TB, e *testEndpoint, change func(c *testCarrier)) *testCarrier {
	t.Helper()
	c := &testCarrier{}
	d := &Dialer{Key: "k", Clock: wall.Clock{}, Log: zap.NewNop()}
	d.DialDirect = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			c.keep(nc)
		}
		return nc, err
	}
	c.Server = Server{Dialer: d, IsListed: func(address string) bool { return address == e.address }, IsClosed: c.stopped.Load}
	if change != nil {
		change(c)
	}
	d.Init()
	l := stand.Listen(t)
	c.address = l.Addr().String()
	s := &http.Server{Handler: &c.Server}
	go func() { _ = s.Serve(&keepingListener{l, c}) }()
	t.Cleanup(func() { _ = s.Close() })
	return c
}

// newCutOffDialer returns the dialer of a process that reaches endpoints only through the carriers.
func newCutOffDialer(carriers ...*testCarrier) *Dialer {
	d := newTestDialer(refuseDirect)
	var list []reach.Carrier
	for _, c := range carriers {
		list = append(list, reach.Carrier{Address: c.address})
	}
	d.SetCarriers(list)
	return d
}

// dialThroughTo opens a connection to the endpoint through the carrier and returns both ends.
func dialThroughTo(t prop.TestingT, c *testCarrier, e *testEndpoint) (peer, endpoint net.Conn) {
	t.Helper()
	nc, _, _, err := newCutOffDialer().dialThrough(context.Background(), c.address, e.address)
	prop.FailIf(t, err != nil, "connect through the carrier: %v", err)
	return nc, e.next(t)
}

// Guards against a way to any address in the network for those who reach the port of a relay, and against connections beyond what a
// carrier can take on.
func TestCarrierRefuses(t *testing.T) {
	e := startEndpoint(t)
	for name, x := range map[string]struct {
		key, address, result string
		change               func(c *testCarrier)
	}{
		"wrong key":        {key: "wrong", address: e.address},
		"empty key":        {address: e.address},
		"unlisted address": {key: "k", address: "127.0.0.1:1", result: resultUnlisted},
		"stopping":         {key: "k", address: e.address, result: resultBusy, change: func(c *testCarrier) { c.stopped.Store(true) }},
		"full":             {key: "k", address: e.address, result: resultBusy, change: func(c *testCarrier) { c.MaxConnections = 2; c.open.Store(2) }},
	} {
		c := startCarrier(t, e, x.change)
		d := newCutOffDialer()
		d.Key = x.key
		nc, result, answer, err := d.dialThrough(t.Context(), c.address, x.address)
		if nc != nil || result != reach.Unknown || answer == reach.Helped || !errors.Is(err, errNotCarried) || !strings.Contains(err.Error(), x.result) {
			t.Errorf("%s: connection %v, result %d, answer %d, error %v", name, nc, result, answer, err)
		}
		if e.accepted.Load() > 0 {
			t.Fatalf("%s: a connection reached the endpoint", name)
		}
	}
}

// Guards against a bound on connections that counts refused or ended ones.
func TestCarrierIsFullOnlyForAWhile(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, func(c *testCarrier) { c.MaxConnections = 3 })
	for range 5 {
		var open []net.Conn
		for range 3 {
			peer, endpoint := dialThroughTo(t, c, e)
			open = append(open, peer, endpoint)
		}
		for range 10 {
			if _, _, _, err := newCutOffDialer().dialThrough(t.Context(), c.address, e.address); !errors.Is(err, errNotCarried) {
				t.Fatalf("a carrier that is full returned the error %v", err)
			}
		}
		for _, nc := range open {
			_ = nc.Close()
		}
		eventually(t, "end of the connections", func() bool { return c.Open() == 0 })
	}
}

// Guards against connections that go from carrier to carrier: one that does not reach the endpoint asks no other.
func TestNoSecondHop(t *testing.T) {
	e := startEndpoint(t)
	last := startCarrier(t, e, nil)
	first := startCarrier(t, e, func(c *testCarrier) {
		c.Dialer.DialDirect = refuseDirect
		c.Dialer.table.SetCarriers([]reach.Carrier{{Address: last.address}})
	})
	for range 20 {
		nc, result, _, err := newCutOffDialer().dialThrough(t.Context(), first.address, e.address)
		if nc != nil || err == nil || result == reach.Connected {
			t.Fatalf("result %d, error %v", result, err)
		}
	}
	if n := last.asked.Load(); n > 0 || e.accepted.Load() > 0 {
		t.Errorf("a further carrier was asked %d times", n)
	}
}

// Guards against a process that takes itself for reachable through another one that is cut off as well: that one says so.
func TestCarrierThatIsCutOff(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, func(c *testCarrier) { c.Dialer.DialDirect = refuseDirect })
	now := time.Now()
	for i := range 3 {
		address := fmt.Sprint("e", i)
		c.Dialer.table.RecordDirect(address, reach.Refused, now)
		c.Dialer.table.RecordCarried(address, reach.Connected, now)
	}
	if !c.Dialer.IsCutOff() {
		t.Fatal("the carrier is not cut off")
	}
	_, result, answer, err := newCutOffDialer().dialThrough(t.Context(), c.address, e.address)
	if result != reach.Unknown || answer != reach.Declined || err == nil || !strings.Contains(err.Error(), resultCutOff) {
		t.Errorf("result %d, error %v", result, err)
	}
}

// readEnd reads the rest of a connection and returns it with the error at its end, which is nil for a regular one.
func readEnd(nc net.Conn) (string, error) {
	_ = nc.SetReadDeadline(time.Now().Add(testTimeout))
	data, err := io.ReadAll(nc)
	return string(data), err
}

// Guards against a response without a length that was cut off and looks complete (the end of a connection must arrive as what it was, and
// the end of the carrier as a reset), and against whole responses that arrive as cut off.
func TestEndsOfCarriedConnections(t *testing.T) {
	const sent = "some bytes"
	for name, x := range map[string]struct {
		end     func(c *testCarrier, peer, endpoint net.Conn)
		atPeer  bool // whether the end is read at the peer
		regular bool
	}{
		"endpoint closes": {func(_ *testCarrier, _, endpoint net.Conn) { _ = endpoint.Close() }, true, true},
		"endpoint resets": {func(_ *testCarrier, _, endpoint net.Conn) {
			_ = serve.ResetOnClose(endpoint)
			_ = endpoint.Close()
		}, true, false},
		"peer closes": {func(_ *testCarrier, peer, _ net.Conn) { _ = peer.Close() }, false, true},
		"peer resets": {func(_ *testCarrier, peer, _ net.Conn) {
			_ = serve.ResetOnClose(peer)
			_ = peer.Close()
		}, false, false},
		"carrier ends, at the peer":              {func(c *testCarrier, _, _ net.Conn) { c.kill(false) }, true, false},
		"carrier ends, at the endpoint":          {func(c *testCarrier, _, _ net.Conn) { c.kill(false) }, false, false},
		"carrier ends, endpoint first, peer":     {func(c *testCarrier, _, _ net.Conn) { c.kill(true) }, true, false},
		"carrier ends, endpoint first, endpoint": {func(c *testCarrier, _, _ net.Conn) { c.kill(true) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndpoint(t)
			c := startCarrier(t, e, nil)
			for range 20 {
				peer, endpoint := dialThroughTo(t, c, e)
				from, to := peer, endpoint
				if x.atPeer {
					from, to = endpoint, peer
				}
				if _, err := io.WriteString(from, sent); err != nil {
					t.Fatal(err)
				}
				buf := make([]byte, len(sent))
				if _, err := io.ReadFull(to, buf); err != nil {
					t.Fatal(err)
				}
				x.end(c, peer, endpoint)
				if rest, err := readEnd(to); (err == nil) != x.regular || rest != "" || !x.regular && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("the end arrived with %q and the error %v", rest, err)
				}
				_, _ = peer.Close(), endpoint.Close()
			}
			eventually(t, "end of the connections", func() bool { return c.Open() == 0 })
		})
	}
}

// writeChunks writes the data in chunks of random sizes.
func writeChunks(nc net.Conn, data []byte, r *rand.Rand) error {
	for len(data) > 0 {
		n := min(len(data), 1+r.IntN(3*pipeBufferSize))
		if _, err := nc.Write(data[:n]); err != nil {
			return fmt.Errorf("write a chunk: %w", err)
		}
		data = data[n:]
		if r.IntN(20) == 0 {
			time.Sleep(time.Duration(r.IntN(300)) * time.Microsecond)
		}
	}
	return nil
}

// randomBytes returns n bytes.
func randomBytes(n int, r *rand.Rand) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	return out
}

// chunkSender sends bytes on a connection.
type chunkSender struct {
	nc   net.Conn
	data []byte
	rand *rand.Rand
	done chan error
}

// run sends the bytes.
func (s *chunkSender) run() { s.done <- writeChunks(s.nc, s.data, s.rand) }

// Guards against bytes that are lost, added or reordered on their way through a carrier, in either direction, also the first ones of an
// endpoint that sends before it is asked, and the last ones before a regular end.
func TestCarriedBytes(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, nil)
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		most := rapid.SampledFrom([]int{0, 1, 100, 2 * pipeBufferSize, 40 * pipeBufferSize}).Draw(t, "most")
		up, down := randomBytes(r.IntN(most+1), r), randomBytes(r.IntN(most+1), r)
		peer, endpoint := dialThroughTo(t, c, e)
		defer func() { _, _ = peer.Close(), endpoint.Close() }()
		fromPeer := &chunkSender{peer, up, rand.New(rand.NewPCG(r.Uint64(), 2)), make(chan error, 1)}
		fromEndpoint := &chunkSender{endpoint, down, rand.New(rand.NewPCG(r.Uint64(), 3)), make(chan error, 1)}
		go fromPeer.run()
		go fromEndpoint.run()
		received := make(chan string, 1)
		go func() {
			data, err := readEnd(peer)
			received <- fmt.Sprint(data, err)
		}()
		_ = endpoint.SetReadDeadline(time.Now().Add(testTimeout))
		got := make([]byte, len(up))
		_, err := io.ReadFull(endpoint, got)
		prop.FailIf(t, err != nil || string(got) != string(up), "%d bytes to the endpoint arrived changed, or not: %v", len(up), err)
		prop.FailIf(t, <-fromPeer.done != nil || <-fromEndpoint.done != nil, "a connection ended early")
		_ = endpoint.Close()
		prop.FailIf(t, <-received != fmt.Sprint(string(down), error(nil)), "%d bytes to the peer arrived changed, or not all", len(down))
	})
	eventually(t, "end of the connections", func() bool { return c.Open() == 0 })
}

// Guards against bytes that are sent twice, or lost, as writes to a side that pauses are interrupted to look at the other one.
func TestReceiverPauses(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, nil)
	for _, toPeer := range []bool{true, false} {
		from, to := dialThroughTo(t, c, e)
		if toPeer {
			from, to = to, from
		}
		data := randomBytes(24<<20, rand.New(rand.NewPCG(1, 2)))
		sender := &chunkSender{from, data, rand.New(rand.NewPCG(3, 4)), make(chan error, 1)}
		go sender.run()
		got := make([]byte, len(data))
		for i := range 3 {
			time.Sleep(5 * writeCheckInterval / 2)
			_ = to.SetReadDeadline(time.Now().Add(testTimeout))
			if _, err := io.ReadFull(to, got[i*len(data)/3:(i+1)*len(data)/3]); err != nil {
				t.Fatal(err)
			}
		}
		if err := <-sender.done; err != nil || string(got) != string(data) {
			t.Errorf("to the peer %t: the bytes arrived changed; error %v", toPeer, err)
		}
		_, _ = from.Close(), to.Close()
	}
}

// Guards against the loss of an endpoint's first bytes, which can arrive together with the carrier's reply.
func TestBytesRightAfterReply(t *testing.T) {
	carrier := startEndpoint(t)
	go func() {
		for nc := range carrier.conns {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 Connected\r\n\r\nsome bytes")
			_ = nc.Close()
		}
	}()
	for range 20 {
		nc, _, _, err := newCutOffDialer().dialThrough(t.Context(), carrier.address, "e")
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := readEnd(nc); got != "some bytes" {
			t.Errorf("%q arrived", got)
		}
		_ = nc.Close()
	}
}

// Guards against a carrier that keeps a connection, and the run of a request at its endpoint, because the side that stays does not read.
// The closed side sends a reset, as the relay does then: the kernel would send a regular end only after the data.
func TestEndWhileOtherSideDoesNotRead(t *testing.T) {
	for _, fromPeer := range []bool{true, false} {
		e := startEndpoint(t)
		c := startCarrier(t, e, nil)
		from, to := dialThroughTo(t, c, e)
		if !fromPeer {
			from, to = to, from
		}
		// Fills the buffers of both kernels.
		_ = from.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		var err error
		for buf := make([]byte, 1<<20); err == nil; {
			_, err = from.Write(buf)
		}
		if err := serve.ResetOnClose(from); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_ = from.Close()
		eventually(t, "end of the connection", func() bool { return c.Open() == 0 })
		if took := time.Since(began); took > 3*writeCheckInterval {
			t.Errorf("from the peer %t: the connection ended after %s", fromPeer, took)
		}
		if _, err := readEnd(to); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("from the peer %t: the connection ended with the error %v though bytes are missing", fromPeer, err)
		}
		_ = to.Close()
	}
}

// Guards against a carrier that keeps connections as its process stops.
func TestEndOfCarrierContext(t *testing.T) {
	e := startEndpoint(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &Server{Dialer: newTestDialer(nil), IsListed: func(string) bool { return true }, IsClosed: func() bool { return false }}
	l := stand.Listen(t)
	s := &http.Server{Handler: c, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	nc, _, _, err := newCutOffDialer().dialThrough(t.Context(), l.Addr().String(), e.address)
	if err != nil {
		t.Fatal(err)
	}
	endpoint := e.next(t)
	cancel()
	for _, side := range []net.Conn{nc, endpoint} {
		if _, err := readEnd(side); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with the error %v", err)
		}
	}
	eventually(t, "end of the connection", func() bool { return c.Open() == 0 })
}

// Guards against goroutines and connections that remain after carried connections have ended in any way.
func TestNoLeaks(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, nil)
	before := runtime.NumGoroutine()
	var wg sync.WaitGroup
	for i := range 100 {
		peer, endpoint := dialThroughTo(t, c, e)
		ends := []net.Conn{peer, endpoint}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = io.WriteString(ends[i/4%2], "some bytes")
			if i%2 == 0 {
				_ = serve.ResetOnClose(ends[i/2%2])
			}
			_ = ends[i/2%2].Close()
			_, _ = readEnd(ends[1-i/2%2])
			_ = ends[1-i/2%2].Close()
		}()
	}
	wg.Wait()
	eventually(t, "end of the connections", func() bool { return c.Open() == 0 })
	eventually(t, "end of the goroutines", func() bool { return runtime.NumGoroutine() <= before+2 })
}
