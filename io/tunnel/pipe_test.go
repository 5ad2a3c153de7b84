package tunnel

import (
	"encoding/binary"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/reach"
	"wasabiweir/io/wall"
)

// newTestServer starts a carrier and returns its address.
func newTestServer(t *testing.T) string {
	d := &Dialer{Key: "k", Clock: wall.Clock{}, Log: zap.NewNop()}
	d.Init()
	s := httptest.NewServer(&Server{Dialer: d, IsListed: func(string) bool { return true }, IsClosed: func() bool { return false }})
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// dialCarried connects to the endpoint at the address through a carrier.
func dialCarried(t *testing.T, address string) net.Conn {
	d := newTestDialer(nil)
	c, _, answer, err := d.dialThrough(t.Context(), newTestServer(t), address)
	if err != nil || answer != reach.Helped {
		t.Fatalf("the carrier does not connect: %v", err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a whole response that is cut off because the endpoint has closed its connection while the reader is slow.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	// Some of the sizes fill the sockets of the reader and leave the rest of the response, with its end, in that of the carrier.
	const step, steps = 192 << 10, 40
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				var size uint32
				if binary.Read(c, binary.BigEndian, &size) == nil {
					_, _ = c.Write(make([]byte, size))
				}
				_ = c.Close()
			}()
		}
	}()
	var conns []net.Conn
	for n := range uint32(steps) {
		c := dialCarried(t, l.Addr().String())
		if err := binary.Write(c, binary.BigEndian, (n+1)*step); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	time.Sleep(5 * writeCheckInterval)
	for n, c := range conns {
		if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(c)
		if want := (n + 1) * step; err != nil || len(got) != want {
			t.Errorf("%d of %d bytes arrived, error %v", len(got), want, err)
		}
	}
}
