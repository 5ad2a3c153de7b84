// Package prop fixes the seed of the property tests that import it, so that a run gives the same verdict each time.
// The flags -rapid.seed and -rapid.checks override it for a longer run by hand. FailIf serves those tests and others.
package prop
