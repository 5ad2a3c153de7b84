// Command reviewstand holds the drivers of the review's cases and their stand-ins for engines, the platform's list,
// callers and the operator. It uses the standard library only.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that takes too long; all its processes end with it.
const caseTimeout = 110 * time.Second

// cases holds the drivers by name; each returns whether the rule was broken.
var cases = map[string]func(s *system) bool{
	"growth":         runGrowth,
	"large-answer":   runLargeAnswer,
	"same-place":     runSamePlace,
	"unframed-plain": runUnframedPlain,
	"last-tenant":    runLastTenant,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	set := flag.NewFlagSet("reviewstand", flag.ExitOnError)
	name := set.String("case", "", "name of the case")
	folder := set.String("folder", ".", "folder of the case, for record.txt")
	binary := set.String("binary", "target/wasabiweir", "the project's program")
	_ = set.Parse(os.Args[1:])
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, *folder, *binary, os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case in a temporary folder and returns the exit code. All processes have ended when it returns.
func runCase(run func(s *system) bool, folder, binary string, trouble bool) int {
	s, err := newSystem(folder, binary, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	giveUp = func(format string, args ...any) {
		s.record("the case could not run: "+format, args...)
		s.close()
		os.Exit(exitNotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(caseTimeout):
		}
		s.record("the case was stopped")
		s.close()
		os.Exit(exitNotRun)
	}()
	if run(s) {
		s.record("RESULT: the rule was broken")
		return exitBroken
	}
	s.record("RESULT: the rule held")
	return exitHeld
}

// giveUp ends a case that cannot run, with all its processes; any goroutine may call it.
var giveUp func(format string, args ...any)
