package config

import (
	"crypto/sha256"
	"fmt"

	"wasabiweir/core/codec"
	"wasabiweir/core/object"
)

// Maximum lengths of the request id and the author of a configuration change, in bytes.
const (
	MaxRequestIDBytes = 128
	MaxAuthorBytes    = 128
)

// Entry is one entry of the replicated log: a change of the configuration with its author and time.
type Entry struct {
	Change object.Change `cbor:"change"`
	// Author is the operator who sent the configuration change.
	Author string `cbor:"author"`
	// TimeMS is the time at which the leader proposed the change, in Unix milliseconds.
	TimeMS int64 `cbor:"time-ms"`
}

// Encode returns the entry in CBOR, as it is stored in the replicated log, or the encoder's error.
func (e *Entry) Encode() ([]byte, error) {
	data, err := codec.Encode(e)
	if err != nil {
		return nil, fmt.Errorf("encode entry: %w", err)
	}
	return data, nil
}

// DecodeEntry decodes an entry of the replicated log; it returns the decoder's error if data is not one.
func DecodeEntry(data []byte) (*Entry, error) {
	e := &Entry{}
	if err := codec.Decode(data, e); err != nil {
		return nil, fmt.Errorf("decode entry: %w", err)
	}
	return e, nil
}

// changeFingerprint returns the SHA-256 sum of an encoded configuration change. It leaves out the entry's author and
// time, which may differ when the same change is sent again.
func changeFingerprint(c *object.Change) (object.Digest, error) {
	data, err := codec.Encode(c)
	if err != nil {
		return object.Digest{}, fmt.Errorf("encode change: %w", err)
	}
	return sha256.Sum256(data), nil
}

// checkEntryLengths validates the lengths of a change's request id and author; it doesn't look at the changed objects.
func checkEntryLengths(e *Entry) []object.Finding {
	var out []object.Finding
	addFinding := func(field, problem, allowed string) {
		out = append(out, object.Finding{Object: object.Ref{Name: "change"}, Field: field, Problem: problem, Allowed: allowed})
	}
	if n := len(e.Change.RequestID); n == 0 || n > MaxRequestIDBytes {
		addFinding("request-id", fmt.Sprintf("has %d bytes", n), fmt.Sprintf("1 to %d bytes", MaxRequestIDBytes))
	}
	if n := len(e.Author); n > MaxAuthorBytes {
		addFinding("author", fmt.Sprintf("has %d bytes", n), fmt.Sprintf("at most %d bytes", MaxAuthorBytes))
	}
	return out
}
