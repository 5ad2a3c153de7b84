package prop

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags that init sets
)

// Seed is the seed of the random cases of every property test in a run that does not set -rapid.seed.
const Seed = "20261204"

func init() {
	setFlag("rapid.seed", Seed)
	setFlag("rapid.nofailfile", "true")
}

// setFlag sets the value of the named command-line flag before the command line is parsed; it panics if the flag does
// not exist.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// TestingT is the part of testing.TB that FailIf needs; *rapid.T has it too.
type TestingT interface {
	Helper()
	Fatalf(string, ...any)
}

// FailIf stops the test with the formatted message if failed is true.
func FailIf(t TestingT, failed bool, format string, args ...any) {
	t.Helper()
	if failed {
		t.Fatalf(format, args...)
	}
}
