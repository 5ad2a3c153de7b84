package prop

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags that are set here
)

// Seed is the seed of each property test in a run that names no other.
const Seed = "20261204"

func init() {
	set("rapid.seed", Seed)
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Failer is what FailIf needs of a test, also of one of rapid's.
type Failer interface {
	Helper()
	Fatalf(string, ...any)
}

// FailIf fails the test with the message if the condition holds.
func FailIf(t Failer, failed bool, format string, args ...any) {
	t.Helper()
	if failed {
		t.Fatalf(format, args...)
	}
}
