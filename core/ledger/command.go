package ledger

import (
	"crypto/sha256"
	"fmt"
	"time"

	"wasabiweir/core/codec"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Op is the operation that a ledger command requests.
type Op string

// Operations that a ledger command can request.
const (
	// OpClaim asks for permission to send a call, which is called a claim to the call.
	OpClaim Op = "claim"
	// OpDone records the response of a call.
	OpDone Op = "done"
	// OpNotRun records that the router that claimed the call sent no byte of it and never will.
	OpNotRun Op = "not-run"
	// OpUnknown records that the router that claimed the call sent it and got no complete response. A repeated call then
	// gets the unknown outcome at once instead of waiting until the claim times out.
	OpUnknown Op = "unknown"
	// OpExpireClaims records the outcome of calls whose claims have timed out as unknown.
	OpExpireClaims Op = "expire-claims"
	// OpDeleteExpired deletes the records of calls whose idempotency keys are older than the retention.
	OpDeleteExpired Op = "forget"
)

// Claimant identifies one attempt of one router process to send a call; the ledger grants claims to such attempts.
type Claimant struct {
	// Router is the router's instance name.
	Router string `cbor:"router"`
	// Incarnation identifies one run of the router process.
	Incarnation uint64 `cbor:"incarnation"`
	// Attempt is a number of the attempt to send the call, which the router uses only once per incarnation.
	Attempt uint64 `cbor:"attempt"`
}

// Command is one entry in the replicated log of the ledger: an operation on the record of a call, or a sweep over the
// records.
type Command struct {
	Op Op `cbor:"op"`
	// TimeMS is the clock of the leader that proposed the command, in Unix milliseconds.
	TimeMS int64 `cbor:"time-ms"`
	// Account and Key identify the call: its client account and its idempotency key, a version 7 UUID in text form.
	Account string `cbor:"account,omitempty"`
	Key     string `cbor:"key,omitempty"`
	// Digest is the SHA-256 hash of the request that the router sends for the call; only OpClaim uses it.
	Digest [sha256.Size]byte `cbor:"digest"`
	// Claimant is the router's attempt that claims the call or reports its outcome.
	Claimant Claimant `cbor:"claimant"`
	// TimeoutMS is the time from the claim to a call to that call's deadline, in milliseconds.
	TimeoutMS int64 `cbor:"timeout-ms,omitempty"`
	// Claim is the number of the granted claim to the call whose outcome OpDone, OpNotRun or OpUnknown reports.
	Claim uint64 `cbor:"claim,omitempty"`
	// Response is the response of the call that OpDone records.
	Response *Response `cbor:"response,omitempty"`
}

// Response is the recorded response of a call; repetitions of the call get it instead of a second execution.
type Response struct {
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
	// StatusOnly is set if the response was larger than the limit, so that only its status and neither header nor body are
	// recorded.
	StatusOnly bool `cbor:"cut,omitempty"`
}

// LimitSize returns the response of a call as the ledger records it: without header and body if they are larger than
// limit bytes. Routers call it before they propose a response, so that no larger one enters the log.
func (r *Response) LimitSize(limit int) *Response {
	if r.size() <= limit {
		return r
	}
	return &Response{Status: r.Status, StatusOnly: true}
}

// size returns the length of the response's header and body in bytes.
func (r *Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Encode returns the ledger command in CBOR, as it is stored in the replicated log.
func (c *Command) Encode() ([]byte, error) {
	data, err := codec.Encode(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// DecodeCommand decodes a ledger command that Encode has encoded.
func DecodeCommand(data []byte) (*Command, error) {
	c := &Command{}
	if err := codec.Decode(data, c); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	return c, nil
}

// ErrInvalidKey means that an idempotency key is not a version 7 UUID.
var ErrInvalidKey = eris.New("the idempotency key is not a version 7 UUID")

// ParseKey parses an idempotency key and returns it with its creation time. It returns ErrInvalidKey if the text is not
// a version 7 UUID.
func ParseKey(text string) (uuid.UUID, time.Time, error) {
	key, err := uuid.Parse(text)
	if err != nil || key.Version() != 7 || key.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, time.Time{}, ErrInvalidKey
	}
	return key, createdAt(key), nil
}

// createdAt returns the creation time of a version 7 UUID, whose first 48 bits are a Unix time in milliseconds.
func createdAt(key uuid.UUID) time.Time {
	var ms int64
	for _, b := range key[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
