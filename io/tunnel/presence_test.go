package tunnel

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wasabiweir/io/serve"
	"wasabiweir/io/stand"
)

// losableConn is a connection that a test can make fail as one does whose other side acknowledges nothing any more.
type losableConn struct {
	net.Conn
	lost *atomic.Bool
}

func (c *losableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.lost.Load() {
		return 0, os.NewSyscallError("read", syscall.ETIMEDOUT)
	}
	return n, err
}

func (c *losableConn) Write(b []byte) (int, error) {
	if c.lost.Load() {
		return 0, os.NewSyscallError("write", syscall.ETIMEDOUT)
	}
	return c.Conn.Write(b)
}

// SyscallConn returns the raw connection.
func (c *losableConn) SyscallConn() (syscall.RawConn, error) { return serve.RawConn(c.Conn) }

// losableListener is the listener of a carrier whose connections a test can make fail.
type losableListener struct {
	net.Listener
	lost atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

// Accept returns the next connection.
func (l *losableListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, nc)
	return &losableConn{nc, &l.lost}, nil
}

// lose makes all connections fail.
func (l *losableListener) lose() {
	l.lost.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, nc := range l.conns {
		_ = nc.SetReadDeadline(time.Now())
	}
}

// startSecondListener has the carrier serve on another address, too.
func startSecondListener(t *testing.T, c *testCarrier) (l *losableListener) {
	t.Helper()
	l = &losableListener{Listener: stand.Listen(t)}
	s := &http.Server{Handler: &c.Server}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l
}

// dialCarrier opens a connection to the endpoint through the carrier.
func dialCarrier(t *testing.T, d *Dialer, c *testCarrier, e *testEndpoint) net.Conn {
	t.Helper()
	nc, _, _, err := d.dialThrough(t.Context(), c.address, e.address)
	if err != nil {
		t.Fatal(err)
	}
	return nc
}

// Guards against endpoints that work on for a process which has lost its carrier and sent the request elsewhere: the end of the connection
// does not arrive at the carrier. Connections of other processes stay.
func TestConnectionsEndWithoutTheirAsker(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, nil)
	presences := startSecondListener(t, c)
	d := newCutOffDialer()
	// The kernel cannot be made to lose a connection, so only the presence fails, which is on another address.
	peer := dialCarrier(t, d, c, e)
	defer peer.Close()
	lost := e.next(t)
	other, kept := dialThroughTo(t, c, e)
	defer other.Close()
	defer d.holdPresence(presences.Addr().String())()
	eventually(t, "presence", func() bool {
		presences.mu.Lock()
		defer presences.mu.Unlock()
		return len(presences.conns) > 0
	})
	time.Sleep(2 * presenceInterval)
	presences.lose()
	_ = lost.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := lost.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the connection to the endpoint has not ended: %v", err)
	}
	_ = kept.SetReadDeadline(time.Now().Add(presenceInterval))
	if _, err := kept.Read(make([]byte, 1)); !os.IsTimeout(err) {
		t.Errorf("the connection of another process has ended: %v", err)
	}
}

// Guards against connections that end because the process which asked for them stands still or closes its presence.
func TestConnectionsOutlivePresence(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, nil)
	d := newCutOffDialer()
	peer := dialCarrier(t, d, c, e)
	defer peer.Close()
	endpoint := e.next(t)
	nc, _, _, err := d.request(t.Context(), c.address, presenceAddress)
	if err != nil {
		t.Fatal(err)
	}
	// Nobody reads from it, as if the process stood still.
	time.Sleep(2 * presenceTimeout)
	_ = nc.Close()
	_ = endpoint.SetReadDeadline(time.Now().Add(2 * presenceInterval))
	if _, err := endpoint.Read(make([]byte, 1)); !os.IsTimeout(err) {
		t.Errorf("the connection has ended: %v", err)
	}
}

// Guards against presences that stay open when the carrier passes on no connection any more, or that are opened for each connection.
func TestPresenceLastsWhileCarried(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, nil)
	d := newCutOffDialer()
	var peers []net.Conn
	for range 3 {
		peers = append(peers, dialCarrier(t, d, c, e))
	}
	eventually(t, "presence", func() bool { return c.asked.Load() > 3 })
	presences := func() (n, users int) {
		d.presenceMu.Lock()
		defer d.presenceMu.Unlock()
		for _, p := range d.presences {
			users += p.users
		}
		return len(d.presences), users
	}
	if n, users := presences(); n != 1 || users != 3 {
		t.Errorf("%d presences for %d connections, want one for 3", n, users)
	}
	for _, peer := range peers {
		_, _ = peer.Close(), peer.Close()
	}
	eventually(t, "end of the presence", func() bool { n, _ := presences(); return n == 0 && c.Open() == 0 })
}

// Guards against presences that outlast a process which stops.
func TestPresenceEndsWithDialer(t *testing.T) {
	e := startEndpoint(t)
	c := startCarrier(t, e, nil)
	d := newCutOffDialer()
	peer := dialCarrier(t, d, c, e)
	eventually(t, "presence", func() bool { return c.asked.Load() > 1 })
	_ = peer.Close()
	closedAt := time.Now()
	d.Close()
	eventually(t, "end of the presence", func() bool {
		d.presenceMu.Lock()
		defer d.presenceMu.Unlock()
		return len(d.presences) == 0
	})
	if took := time.Since(closedAt); took > presenceLinger/2 {
		t.Errorf("it ended after %s", took)
	}
}
