// Command wasabiweir routes requests to model engines and plain services, and resumes long generations when an engine
// fails.
package main

import (
	"os"

	"wasabiweir/io/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
