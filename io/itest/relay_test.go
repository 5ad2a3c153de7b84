package itest

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabiweir/io/stand"
)

// relays forward connections to the processes of a system, by the kind of process.
type relays map[string][]*relay

// add starts a relay for each address and returns their own addresses.
func (r *relays) add(t testing.TB, kind string, targets []string) (out []string) {
	t.Helper()
	if *r == nil {
		*r = relays{}
	}
	for _, target := range targets {
		l, err := net.Listen("tcp", net.JoinHostPort(stand.Loopback(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		x := &relay{listener: l, target: target}
		t.Cleanup(func() { _ = l.Close() })
		go x.loop()
		(*r)[kind] = append((*r)[kind], x)
		out = append(out, l.Addr().String())
	}
	return out
}

// silence stops all open connections to the kind of process; new ones work.
func (r relays) silence(kind string) {
	for _, x := range r[kind] {
		x.silence()
	}
}

// relay forwards connections until they are made silent: it then neither forwards nor closes, as a device that has lost
// its connection tracking.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*pair
}

type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.silent.Store(true)
	}
}

func (r *relay) loop() {
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
		p := &pair{near: near, far: far}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go p.loop(near, far)
		go p.loop(far, near)
	}
}

func (p *pair) loop(from, to net.Conn) {
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

// Guards against connections that go silent for good while new ones work: those of routers to engines, to each other and
// to control, and that of a caller.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	s := newSystem(t, plan{controls: 3, routers: 4, engines: 3, relayed: true, engineArgs: []string{"-tokens-per-second", "25", "-slots", "64"}})
	for _, kind := range []string{"engine", "router", "control"} {
		t.Run(kind, func(t *testing.T) {
			c := newCrowd(s)
			c.t = t
			for i := range 30 {
				c.generate(i, 75)
			}
			time.Sleep(time.Second)
			s.relays.silence(kind)
			c.book(newKey(t))
			c.verify(30)
			c.verifyBound()
			c.verifyBookings(s)
			gaps := c.longestGaps()
			t.Logf("longest gap of each generation: p50 %s, max %s", quantile(gaps, 0.5), quantile(gaps, 1))
		})
	}
	s.apply(s.configuration(), "-wait", "6s")

	var front relays
	s.callers[0] = front.add(t, "caller", s.callers[:1])[0]
	l := s.generate(0, 50).events(5)
	front.silence("caller")
	if r := s.resume(0, l.cursor); r.status != 200 {
		t.Errorf("resume on a new connection: %s", r.rest().record())
	} else {
		l.text.WriteString(r.rest().text.String())
		l.verify(50)
	}
}
