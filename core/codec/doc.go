// Package codec encodes and decodes replicated state and log entries as deterministic CBOR.
package codec
