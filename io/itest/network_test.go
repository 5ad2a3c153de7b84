package itest

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"wasabiweir/io/stand"
)

// network relays connections to control processes, counts their bytes, and can cut a control process off from the others
// without closing a connection.
type network struct {
	mu   sync.Mutex
	cond *sync.Cond
	cut  map[int]bool
	// bytes are those of all connections of a process in both directions; routers come after the control processes.
	bytes map[int]int64
}

// firstRouter is the number of the first router in a network.
const firstRouter = 100

func newNetwork() *network {
	c := &network{cut: map[int]bool{}, bytes: map[int]int64{}}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// set cuts a process off or connects it again; what was sent meanwhile arrives then.
func (c *network) set(process int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[process] = cut
	c.cond.Broadcast()
}

// members returns the addresses under which one process reaches the others.
func (c *network) members(t testing.TB, self int, peers []string) []string {
	t.Helper()
	var out []string
	for i, target := range peers {
		if i != self {
			target = c.listen(t, self, i, target)
		}
		out = append(out, fmt.Sprintf("control-%d=%s", i+1, target))
	}
	return out
}

// controls returns the addresses under which one router reaches the control processes.
func (c *network) controls(t testing.TB, router int, peers []string) []string {
	t.Helper()
	var out []string
	for i, target := range peers {
		out = append(out, c.listen(t, firstRouter+router, i, target))
	}
	return out
}

// count returns the bytes of all connections of a process.
func (c *network) count(process int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[process]
}

func (c *network) add(from, to, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes[from] += int64(n)
	c.bytes[to] += int64(n)
}

func (c *network) listen(t testing.TB, from, to int, target string) string {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(stand.Loopback(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go c.loop(l, from, to, target)
	return l.Addr().String()
}

func (c *network) loop(l net.Listener, from, to int, target string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go c.run(in, from, to, target)
	}
}

func (c *network) run(in net.Conn, from, to int, target string) {
	c.wait(from, to)
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	go c.loopCopy(in, out, from, to)
	c.loopCopy(out, in, from, to)
}

// wait blocks while either end is cut off.
func (c *network) wait(from, to int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.cut[from] || c.cut[to] {
		c.cond.Wait()
	}
}

func (c *network) loopCopy(dst, src net.Conn, from, to int) {
	defer func() { _ = dst.Close(); _ = src.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		c.wait(from, to)
		c.add(from, to, n)
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
