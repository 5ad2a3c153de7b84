package stand

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

// LoopbackHost returns a loopback IP address that depends on the process ID, so that other processes are unlikely to
// use it. Tests of several packages run in parallel, and some choose a port before they listen on it.
func LoopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 60+pid%60, 1+pid/60%250)
}

// Ports that FreeAddress chooses from. They lie below the ephemeral range, from which the operating system assigns
// ports to outgoing connections and to listeners on port 0, so it does not take a chosen port before the caller
// listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
)

var (
	portMu   sync.Mutex // guards lastUsed
	lastUsed = firstPort
)

// FreeAddress returns an address on the loopback host of LoopbackHost that nothing listens on and that this process has
// not returned before. It panics if there is none left.
func FreeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	for lastUsed < lastPort {
		lastUsed++
		address := net.JoinHostPort(LoopbackHost(), strconv.Itoa(lastUsed))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	panic("no free ports on " + LoopbackHost())
}

// TestingT is the part of testing.TB that Listen needs.
type TestingT interface {
	Helper()
	Cleanup(func())
	Fatal(...any)
}

// Listen opens a listener on a free loopback port until the test ends; the test fails if it can't.
func Listen(t TestingT) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// ConnPair returns the two ends of a connection on the loopback host.
func ConnPair() (client, server net.Conn, err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(LoopbackHost(), "0"))
	if err != nil {
		return nil, nil, fmt.Errorf("listen for a pair of connections: %w", err)
	}
	defer func() { _ = l.Close() }()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, fmt.Errorf("connect a pair: %w", err)
	}
	if server, err = l.Accept(); err != nil {
		_ = client.Close()
		return nil, nil, fmt.Errorf("accept a pair: %w", err)
	}
	return client, server, nil
}
