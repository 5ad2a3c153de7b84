package itest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabiweir/io/stand"
)

// relayGroups holds the relays in front of a system's processes, by the kind of process: engine, router or control.
type relayGroups map[string][]*silencingRelay

// add starts a relay for each target address and returns the addresses of the relays.
func (r *relayGroups) add(t testing.TB, kind string, targets []string) (out []string) {
	t.Helper()
	if *r == nil {
		*r = relayGroups{}
	}
	for _, target := range targets {
		l, err := net.Listen("tcp", net.JoinHostPort(stand.LoopbackHost(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		x := &silencingRelay{listener: l, target: target}
		t.Cleanup(func() { _ = l.Close() })
		go x.loop()
		(*r)[kind] = append((*r)[kind], x)
		out = append(out, l.Addr().String())
	}
	return out
}

// silence makes all open connections to the kind of process silent; new ones work.
func (r relayGroups) silence(kind string) {
	for _, x := range r[kind] {
		x.silence()
	}
}

// silencingRelay is a TCP relay whose open connections can be made silent: it then neither forwards nor closes them,
// like a network device that has lost its connection tracking state.
type silencingRelay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections []*relayedConn
}

// relayedConn is a connection through a relay, from a client to a server.
type relayedConn struct {
	client, server net.Conn
	silent         atomic.Bool
}

// silence makes the open connections silent.
func (r *silencingRelay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.connections {
		p.silent.Store(true)
	}
}

// loop accepts connections and connects each one to the target.
func (r *silencingRelay) loop() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &relayedConn{client: near, server: far}
		r.mu.Lock()
		r.connections = append(r.connections, p)
		r.mu.Unlock()
		go p.loop(near, far)
		go p.loop(far, near)
	}
}

// loop forwards one direction of the connection until it is closed or made silent.
func (p *relayedConn) loop(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// Guards against generations that hang when open connections go silent for good while new ones work: those from routers
// to engines, to each other and to control, and the one of a caller.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 3, routers: 4, engines: 3, viaRelays: true, engineArgs: []string{"-tokens-per-second", "25", "-slots", "64"}})
	for _, kind := range []string{"engine", "router", "control"} {
		t.Run(kind, func(t *testing.T) {
			c := newWorkload(s)
			c.t = t
			c.startGenerations(0, 30, 75)
			time.Sleep(time.Second)
			s.relays.silence(kind)
			c.startCall(newIdempotencyKey(t))
			c.verifyGenerations(30)
			c.verifyMaxGap()
			c.verifyCalls(s)
			gaps := c.longestGaps()
			t.Logf("longest gap of each generation: p50 %s, max %s", quantile(gaps, 0.5), quantile(gaps, 1))
		})
	}
	s.apply(s.configuration(), "-wait", "6s")

	var front relayGroups
	s.routerAddresses[0] = front.add(t, "caller", s.routerAddresses[:1])[0]
	l := s.startCompletion(0, 50).readEvents(5)
	front.silence("caller")
	if r := s.resumeCompletion(0, l.cursor); r.status != 200 {
		t.Errorf("resume on a new connection: %s", r.readToEnd().transcript())
	} else {
		l.received.WriteString(r.readToEnd().received.String())
		l.verifyCompletion(50)
	}
}
