package poison

import (
	"hash/fnv"
	"strconv"
	"time"
)

const (
	// BeginWindow is the time after the beginning of an answer in which the loss of the engine counts as a crash by the
	// request, and after which the request's parts count as sound.
	BeginWindow = 400 * time.Millisecond
	// CrashLifetime is the age at which a crash no longer counts.
	CrashLifetime = 10 * time.Minute
	// maxParts bounds the parts that are kept of a crash; the first ones and the last one are.
	maxParts = 32
	// maxIDBytes bounds the length of the id of a part, a request or an endpoint; longer ones are replaced by a hash.
	maxIDBytes = 64
)

// Crash is the loss of an engine just after it began to answer a request.
type Crash struct {
	// Request and Endpoint identify the crash.
	Request  string `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
	// Parts are the ids of the prompt's parts in order. The last one belongs to the request itself. A request without parts
	// has its fingerprint as the only one.
	Parts []string `cbor:"3,keyasint"`
	// Sound has bit i set if a request with Parts[i] has been answered since the crash.
	Sound uint32 `cbor:"4,keyasint,omitempty"`
	// Age is the time from the crash to the sending of this record.
	Age time.Duration `cbor:"5,keyasint"`
	// Domain is the endpoint's failure domain; empty if it is not known.
	Domain string `cbor:"6,keyasint,omitempty"`
	// Doubtful is true if the endpoint may have stopped responding before it got the request.
	Doubtful bool `cbor:"7,keyasint,omitempty"`
}

// NewCrash returns the record of a crash at an endpoint in a failure domain; its age is zero.
func NewCrash(request, endpoint, domain string, parts []string) Crash {
	return Crash{Request: limitID(request), Endpoint: limitID(endpoint), Domain: limitID(domain), Parts: limitParts(parts)}
}

// Key identifies the crash.
func (c Crash) Key() string { return c.Request + " " + c.Endpoint }

// Aged returns the record as it is sent d later.
func (c Crash) Aged(d time.Duration) Crash {
	c.Age += d
	return c
}

// limitParts returns the parts within the bounds of a crash record.
func limitParts(parts []string) []string {
	if n := len(parts); n > maxParts {
		parts = append(parts[:maxParts-1:maxParts-1], parts[n-1])
	}
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = limitID(p)
	}
	return out
}

// limitID returns the id, or a hash of it if it is longer than maxIDBytes.
func limitID(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return "hash-" + strconv.FormatUint(h.Sum64(), 16)
}

// lastPart returns the last part, which belongs to the request itself.
func (c *Crash) lastPart() string { return c.Parts[len(c.Parts)-1] }

// indexOf returns the position of the part in the prompt, or -1.
func (c *Crash) indexOf(part string) int {
	for i, p := range c.Parts {
		if p == part {
			return i
		}
	}
	return -1
}

// isWholeRequest reports whether the record is of a request with no parts but itself.
func (c *Crash) isWholeRequest() bool { return len(c.Parts) == 1 }

// isSound reports whether the part at position i has been answered since the crash.
func (c *Crash) isSound(i int) bool { return c.Sound&(1<<i) != 0 }

// sharedPartsSound reports whether all parts that other requests may share have been answered since the crash. A whole request
// comes again, so other requests share its only part.
func (c *Crash) sharedPartsSound() bool {
	if c.isWholeRequest() {
		return c.isSound(0)
	}
	shared := uint32(1)<<(len(c.Parts)-1) - 1
	return c.Sound&shared == shared
}

// isValid reports whether a record that another process sent is within the bounds.
func (c *Crash) isValid() bool {
	if len(c.Parts) == 0 || len(c.Parts) > maxParts || c.Age < 0 || c.Age > CrashLifetime ||
		max(len(c.Request), len(c.Endpoint), len(c.Domain)) > maxIDBytes {
		return false
	}
	for _, p := range c.Parts {
		if len(p) > maxIDBytes {
			return false
		}
	}
	return true
}
