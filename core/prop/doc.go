// Package prop sets a fixed seed for the property tests that import it, so that every run gives the same result. The
// flags -rapid.seed and -rapid.checks override the seed and the number of cases, for longer runs by hand. FailIf is a
// helper for these and other tests.
package prop
