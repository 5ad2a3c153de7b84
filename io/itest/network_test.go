package itest

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"wasabiweir/io/stand"
)

// proxyNetwork is a set of TCP proxies in front of the control processes. It counts bytes and can cut a process off
// from the others without closing a connection.
type proxyNetwork struct {
	mu   sync.Mutex
	cond *sync.Cond
	cut  map[int]bool
	// bytes counts the bytes of all connections of a process in both directions, by process number: control processes
	// count from 0, routers from firstRouter.
	bytes map[int]int64
}

// firstRouter is the process number of the first router in a proxyNetwork.
const firstRouter = 100

// newProxyNetwork returns a network without proxies, in which no process is cut off.
func newProxyNetwork() *proxyNetwork {
	c := &proxyNetwork{cut: map[int]bool{}, bytes: map[int]int64{}}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// setCut cuts a process off or reconnects it; what was sent meanwhile is delivered after that.
func (c *proxyNetwork) setCut(process int, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[process] = cut
	c.cond.Broadcast()
}

// memberAddresses returns the control processes as name=address, with the proxy addresses at which one of them reaches
// the others.
func (c *proxyNetwork) memberAddresses(t testing.TB, self int, peers []string) []string {
	t.Helper()
	var out []string
	for i, target := range peers {
		if i != self {
			target = c.addProxy(t, self, i, target)
		}
		out = append(out, fmt.Sprintf("control-%d=%s", i+1, target))
	}
	return out
}

// controlAddresses returns the proxy addresses at which one router reaches the control processes.
func (c *proxyNetwork) controlAddresses(t testing.TB, router int, peers []string) []string {
	t.Helper()
	var out []string
	for i, target := range peers {
		out = append(out, c.addProxy(t, firstRouter+router, i, target))
	}
	return out
}

// byteCount returns the number of bytes on all connections of a process.
func (c *proxyNetwork) byteCount(process int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[process]
}

// addBytes counts n bytes for both ends of a connection.
func (c *proxyNetwork) addBytes(from, to, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes[from] += int64(n)
	c.bytes[to] += int64(n)
}

// addProxy starts a proxy for connections between two processes and returns its address.
func (c *proxyNetwork) addProxy(t testing.TB, from, to int, target string) string {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(stand.LoopbackHost(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go c.loop(l, from, to, target)
	return l.Addr().String()
}

// loop accepts the connections of one proxy.
func (c *proxyNetwork) loop(l net.Listener, from, to int, target string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go c.run(in, from, to, target)
	}
}

// run forwards one connection to the target.
func (c *proxyNetwork) run(in net.Conn, from, to int, target string) {
	c.waitConnected(from, to)
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = in.Close()
		return
	}
	go c.loopCopy(in, out, from, to)
	c.loopCopy(out, in, from, to)
}

// waitConnected blocks while either process is cut off.
func (c *proxyNetwork) waitConnected(from, to int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.cut[from] || c.cut[to] {
		c.cond.Wait()
	}
}

// loopCopy copies one direction of a connection until it ends.
func (c *proxyNetwork) loopCopy(dst, src net.Conn, from, to int) {
	defer func() { _ = dst.Close(); _ = src.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		c.waitConnected(from, to)
		c.addBytes(from, to, n)
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
