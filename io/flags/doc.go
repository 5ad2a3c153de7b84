// Package flags reads the settings of a command from flags and environment variables, validates them, reports all
// errors at once and prints each value with its origin.
package flags
