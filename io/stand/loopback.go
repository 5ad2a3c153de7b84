package stand

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
)

// Loopback returns a loopback host that other processes are unlikely to use: tests of several packages run beside each
// other, and some choose a port and bind it later.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 60+pid%60, 1+pid/60%250)
}

// Ports below the range from which the system picks those of outgoing connections and of listeners that name none, so that
// no port is taken between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

var (
	portMu   sync.Mutex // guards lastUsed
	lastUsed = firstPort
)

// FreeAddress returns an address of the loopback host that nothing listens on and that was not returned before. It panics
// if there is none left.
func FreeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	for lastUsed < lastPort {
		lastUsed++
		address := net.JoinHostPort(Loopback(), strconv.Itoa(lastUsed))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	panic("no free ports on " + Loopback())
}
