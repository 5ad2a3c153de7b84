// Command wasabiweir runs the processes and tools of a serving system that routes requests to model engines and plain
// services which can fail.
package main

import (
	"os"

	"wasabiweir/io/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
