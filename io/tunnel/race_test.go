package tunnel

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"wasabiweir/core/reach"
)

// countingDial is a DialFunc whose connections take a random time, and some of which fail; it counts those that are open.
type countingDial struct {
	mu   sync.Mutex
	rand *rand.Rand
	open atomic.Int32
}

// delay returns a random time of up to most.
func (d *countingDial) delay(most time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rand.Int64N(int64(most)))
}

// dial opens a connection after a random time.
func (d *countingDial) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(d.delay(150 * time.Millisecond)):
	}
	if d.delay(4) == 0 {
		return nil, errNoWay
	}
	nc, err := (&net.Dialer{}).DialContext(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	d.open.Add(1)
	return &countedConn{Conn: nc, open: &d.open}, nil
}

// countedConn is a connection that is counted while it is open.
type countedConn struct {
	net.Conn
	open   *atomic.Int32
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// SyscallConn returns the raw connection.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Guards against connections that stay open beside the one that a race returns, or after its caller has left, when several attempts
// succeed; and against a returned connection that the end of the race closes.
func TestRaceKeepsOneConnection(t *testing.T) {
	e := startEndpoint(t)
	newDial := func(seed uint64) *countingDial { return &countingDial{rand: rand.New(rand.NewPCG(seed, 1))} }
	var dials []*countingDial
	var carriers []*testCarrier
	for i := range 3 {
		d := newDial(uint64(i))
		dials = append(dials, d)
		carriers = append(carriers, startCarrier(t, e, func(c *testCarrier) { c.Dialer.DialDirect = d.dial }))
	}
	direct := newDial(9)
	dials = append(dials, direct)
	open := func() (n int32) {
		for _, d := range dials {
			n += d.open.Load()
		}
		return n
	}
	var wg sync.WaitGroup
	var kept, lost atomic.Int32
	var held sync.Map
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// Each process has its own knowledge; a third of the callers leave early.
			d := newCutOffDialer(carriers...)
			d.DialDirect = direct.dial
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if i%3 == 0 {
				time.AfterFunc(direct.delay(120*time.Millisecond), cancel)
			}
			nc, err := d.DialContext(ctx, "tcp", e.address)
			if err != nil {
				lost.Add(1)
				return
			}
			kept.Add(1)
			held.Store(nc, true)
		}()
	}
	wg.Wait()
	eventually(t, "end of all other connections", func() bool { return open() == kept.Load() })
	if kept.Load() < 30 || lost.Load() == 0 {
		t.Errorf("%d connections, %d calls without one", kept.Load(), lost.Load())
	}
	held.Range(func(nc, _ any) bool {
		if _, err := io.WriteString(nc.(net.Conn), "some bytes"); err != nil {
			t.Errorf("a connection of a race has ended: %v", err)
		}
		return true
	})
	time.Sleep(50 * time.Millisecond)
	if n := open(); n != kept.Load() {
		t.Errorf("%d connections are open, want %d", n, kept.Load())
	}
	held.Range(func(nc, _ any) bool { return nc.(net.Conn).Close() == nil })
	eventually(t, "end of all connections", func() bool { return open() == 0 })
}

// Guards against requests that wait for a carrier which does not answer, answers without end, or with what is no response.
func TestFaultyCarriers(t *testing.T) {
	e := startEndpoint(t)
	sound := startCarrier(t, e, nil)
	for name, answer := range map[string]func(nc net.Conn){
		"silent":  func(net.Conn) {},
		"closes":  func(nc net.Conn) { _ = nc.Close() },
		"garbage": func(nc net.Conn) { _, _ = io.WriteString(nc, "\x00\x01garbage\r\n\r\n") },
		"endless": func(nc net.Conn) {
			for _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\n"); err == nil; {
				_, err = io.WriteString(nc, "X-More: "+strings.Repeat("x", 1000)+"\r\n")
			}
		},
		"no end of a line": func(nc net.Conn) {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(nc, strings.Repeat("x", 1000))
			}
		},
	} {
		faulty := startEndpoint(t)
		go func() {
			for nc := range faulty.conns {
				go answer(nc)
			}
		}()
		d := newTestDialer(refuseDirect)
		d.SetCarriers([]reach.Carrier{{Address: faulty.address, Domain: ""}})
		began := time.Now()
		if _, err := d.DialContext(t.Context(), "tcp", e.address); err == nil || time.Since(began) > carrierTimeout+100*time.Millisecond {
			t.Errorf("%s: error %v after %s", name, err, time.Since(began))
		}
		d = newTestDialer(refuseDirect)
		d.Domain = "a"
		d.table.Domain = "a"
		d.SetCarriers([]reach.Carrier{{Address: faulty.address, Domain: "a"}, {Address: sound.address, Domain: "b"}})
		began = time.Now()
		nc, err := d.DialContext(t.Context(), "tcp", e.address)
		if err != nil || time.Since(began) > 2*carrierDelay+20*time.Millisecond {
			t.Errorf("%s, and a sound carrier: error %v after %s", name, err, time.Since(began))
			continue
		}
		_ = nc.Close()
	}
}

// newBusyDialer returns the dialer of a process that knows that it is cut off and is asking as many carriers as it may.
func newBusyDialer(t *testing.T, c *testCarrier) *Dialer {
	t.Helper()
	d := newCutOffDialer(c)
	now := time.Now()
	for _, address := range []string{"e1", "e2", "e3"} {
		d.table.RecordDirect(address, reach.Refused, now)
		d.table.RecordCarried(address, reach.Connected, now)
	}
	if !d.table.TakeProbe(now) || !d.IsCutOff() {
		t.Fatal("the process is not cut off")
	}
	for range maxAsked {
		d.asked <- struct{}{}
	}
	return d
}

// Guards against connections that others overtake while they wait for their turn to ask a carrier, until it is too late for them.
func TestConnectionsAskCarriersInOrder(t *testing.T) {
	e := startEndpoint(t)
	d := newBusyDialer(t, startCarrier(t, e, nil))
	metrics := tally.NewTestScope("", nil)
	d.Metrics = metrics
	dialled := make(chan error, 1)
	go func() {
		nc, err := d.DialContext(t.Context(), "tcp", e.address)
		if err == nil {
			_ = nc.Close()
		}
		dialled <- err
	}()
	eventually(t, "wait for a turn", func() bool { return metrics.Snapshot().Counters()["carried-connections+result=not-asked"] != nil })
	time.Sleep(carrierDelay / 4)
	// A turn is free for a moment before the connection is looked at again for another reason.
	<-d.asked
	time.Sleep(carrierDelay / 4)
	d.asked <- struct{}{}
	if err := <-dialled; err != nil {
		t.Fatal(err)
	}
}

// Guards against connections that are refused at once, though a carrier would help, because many others are being asked at that moment.
func TestManyConnectionsAtOnce(t *testing.T) {
	e := startEndpoint(t)
	d := newBusyDialer(t, startCarrier(t, e, nil))
	time.AfterFunc(100*time.Millisecond, func() {
		for range maxAsked {
			<-d.asked
		}
	})
	var wg sync.WaitGroup
	for range 4 * maxAsked {
		wg.Add(1)
		go func() {
			defer wg.Done()
			nc, err := d.DialContext(t.Context(), "tcp", e.address)
			if err != nil {
				t.Error(err)
				return
			}
			_ = nc.Close()
		}()
	}
	wg.Wait()
}

// Guards against connections that are refused because the one process asked in reserve stops, while others would carry them.
func TestReserveThatDeclinesIsNotTheLast(t *testing.T) {
	e := startEndpoint(t)
	sound := startCarrier(t, e, nil)
	declines := startCarrier(t, e, nil)
	declines.stopped.Store(true)
	for range 20 {
		d := newCutOffDialer()
		d.SetCarriers([]reach.Carrier{{Address: declines.address, Reserve: true}, {Address: sound.address, Reserve: true}})
		nc, err := d.DialContext(t.Context(), "tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.Close()
	}
}
