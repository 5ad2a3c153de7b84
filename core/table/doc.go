// Package table provides two building blocks without goroutines or clocks of their own: a map with iteration in key
// order, and a token bucket.
package table
