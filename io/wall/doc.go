// Package wall provides the wall clock of the operating system, for code that takes the current time from a clock
// interface.
package wall
