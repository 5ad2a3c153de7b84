// Command wasabiweir routes callers' requests to model engines and plain services that can fail.
package main

import (
	"os"

	"wasabiweir/io/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
