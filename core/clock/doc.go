// Package clock defines the interface through which code under core reads the time, and a manual clock for tests and
// benchmarks.
package clock
