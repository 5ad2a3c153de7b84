package object

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// DefaultFirstTokenWait is the maximum time that a caller waits for the first token of a request to a service that sets
// no WaitMS.
const DefaultFirstTokenWait = 3 * time.Second

// DefaultCallTimeout is the maximum duration of one call to a service that sets no TimeoutMS; it leaves room for a
// generation of several minutes.
const DefaultCallTimeout = 15 * time.Minute

// MaxWait returns the maximum time that a caller of the service waits for the first token of a request.
func (s Service) MaxWait() time.Duration {
	if s.WaitMS == 0 {
		return DefaultFirstTokenWait
	}
	return time.Duration(s.WaitMS) * time.Millisecond
}

// Timeout returns the maximum duration of one call to the service.
func (s Service) Timeout() time.Duration {
	if s.TimeoutMS == 0 {
		return DefaultCallTimeout
	}
	return time.Duration(s.TimeoutMS) * time.Millisecond
}

// FairWeight returns the client account's weight in the fair queue, which is 1 by default.
func (a Account) FairWeight() float64 {
	if a.Weight == 0 {
		return 1
	}
	return a.Weight
}

// HashToken returns the SHA-256 sum of a client account's access token in hexadecimal, the form in which
// Account.TokenHashes lists it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
