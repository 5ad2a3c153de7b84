// Package token computes the deterministic output of the simulated model engine used in tests and benchmarks, and
// verifies at the caller that an answer has no missing, repeated or foreign token.
package token
