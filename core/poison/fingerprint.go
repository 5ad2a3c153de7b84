package poison

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
)

const (
	// fingerprintPrefix begins the part that stands for a whole request.
	fingerprintPrefix = "request-"
	// fingerprintBytes is the number of bytes of the hash that a fingerprint keeps. Callers choose what is hashed, so it must
	// be too long to find two requests with the same one.
	fingerprintBytes = 18
)

// Fingerprint returns the only part of a request whose prompt has no parts, or that has none: a hash of what stays the same
// when it comes again, such as its caller, its target and its body.
func Fingerprint(body []byte, fields ...string) string {
	h := sha256.New()
	var length [8]byte
	for _, f := range fields {
		// With the lengths, no two lists of fields give the same bytes.
		binary.BigEndian.PutUint64(length[:], uint64(len(f)))
		h.Write(length[:])
		h.Write([]byte(f))
	}
	h.Write(body)
	return fingerprintPrefix + base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
