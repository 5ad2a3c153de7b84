// Command review-2 holds the stand-ins of the second review's scripts (clients, engines, the platform's list and the operator) and
// the scripts' runs, which start the project's programs as separate processes.
package main

import (
	"fmt"
	"os"
)

// cases are the runs by the number of their folder. Each returns whether the rule was broken.
var cases = map[string]func(s *system) bool{}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 case N | engine SETTINGS")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "engine":
		runEngine(os.Args[2])
	case "case":
		run, ok := cases[os.Args[2]]
		if !ok {
			fmt.Fprintln(os.Stderr, "no such case")
			os.Exit(2)
		}
		os.Exit(runCase(os.Args[2], run))
	default:
		os.Exit(2)
	}
}
