package stand

import (
	"fmt"
	"os"
)

// Loopback returns a loopback host that other processes are unlikely to use: tests of several packages run beside each
// other, and some choose a port and bind it later.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 60+pid%60, 1+pid/60%250)
}
