package engine

import (
	"testing"
	"time"
)

// Guards against a Retry-After time that is negative, or so long that it overflows.
func FuzzParseRetryAfter(f *testing.F) {
	for _, seed := range []string{"3", "0", "-1", "1.5", "9223372037", "99999999999999999999", "-99999999999999999999", "soon", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		if d := parseRetryAfter(value); d < 0 || d > time.Hour {
			t.Errorf("%q gives %s", value, d)
		}
	})
}
