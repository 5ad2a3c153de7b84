package ledger

import (
	"crypto/sha256"
	"time"

	"wasabiweir/core/common"

	"github.com/google/uuid"
)

// CallState is the state of a call in the ledger's record of it.
type CallState string

// States of a call. A claimed call becomes done, not-run or unknown; one that was not run can be claimed again, and an
// unknown one becomes done if its response arrives late.
const (
	StateClaimed CallState = "claimed"
	StateDone    CallState = "done"
	StateNotRun  CallState = "not-run"
	StateUnknown CallState = "unknown"
)

// CallID identifies a call by its client account and idempotency key.
type CallID struct {
	Account string    `cbor:"account"`
	Key     uuid.UUID `cbor:"key"`
}

// CallRecord is the stored state of one call.
type CallRecord struct {
	ID CallID `cbor:"id"`
	// Digest is the SHA-256 hash of the call's request; a claim with another digest is refused.
	Digest [sha256.Size]byte `cbor:"digest"`
	State  CallState         `cbor:"state"`
	// Claim is the number of the latest claim to the call that was granted, counted from 1.
	Claim uint64 `cbor:"claim"`
	// Claimant is the router's attempt that holds the latest claim to the call.
	Claimant Claimant `cbor:"claimant"`
	// ExpiresMS is the ledger's time, in Unix milliseconds, at which the claim expires and the outcome of the call becomes
	// unknown.
	ExpiresMS int64 `cbor:"expires-ms"`
	// Response is the call's response, which is set in StateDone.
	Response *Response `cbor:"response,omitempty"`
}

// Limits bound the age, time and memory of the ledger's records of calls. They must be equal on all replicas, as they
// affect the results of commands.
type Limits struct {
	// Retention is the age beyond which idempotency keys are refused and the records of their calls may be deleted.
	Retention time.Duration
	// MaxFuture is how far the creation time of an idempotency key may be ahead of the ledger's time.
	MaxFuture time.Duration
	// ExpiryGrace is the time between a call's deadline and the expiry of the claim to it.
	ExpiryGrace time.Duration
	// MaxTimeout is the longest time between the claim to a call and the call's deadline.
	MaxTimeout time.Duration
	// MaxResponseBytes is the largest header and body of a response that a record stores, in bytes.
	MaxResponseBytes int
	// MaxBytes is the largest estimated memory of all records: RecordBytes for each record plus its response.
	MaxBytes int
	// SweepBatch is the largest number of records that one OpExpireClaims or OpDeleteExpired command changes.
	SweepBatch int
}

// DefaultLimits are the limits of the ledger from the design document. MaxBytes is half of the 256 MB of a control
// process.
var DefaultLimits = Limits{
	Retention: 24 * time.Hour, MaxFuture: 10 * time.Minute, ExpiryGrace: 30 * time.Second, MaxTimeout: 24 * time.Hour,
	MaxResponseBytes: 64 << 10, MaxBytes: 128 << 20, SweepBatch: 1000,
}

// RecordBytes is the estimated memory of a call's record in bytes: with its entries in the map and both expiry heaps,
// without the call's response.
const RecordBytes = 512

// MaxNameBytes is the longest name of a client account or router in a claim, in bytes.
const MaxNameBytes = 128

// Machine is the call ledger's deterministic state machine: replicas that apply the same commands have equal state. It
// is not safe for concurrent use. Limits must be set before the first method call.
type Machine struct {
	// Limits bounds the ledger's records; the zero value means DefaultLimits.
	Limits Limits

	nowMS         int64 // highest TimeMS of the applied commands, in Unix milliseconds
	usedBytes     int   // estimated memory of all records of calls, in bytes
	records       map[CallID]*CallRecord
	claimExpiries expiryHeap // claims to calls by the time at which they expire
	keyExpiries   expiryHeap // records of calls by the end of their retention
}

// initDefaults sets the default limits and creates the map of records if that has not happened yet.
func (m *Machine) initDefaults() {
	if m.Limits == (Limits{}) {
		m.Limits = DefaultLimits
	}
	if m.records == nil {
		m.records = make(map[CallID]*CallRecord)
	}
}

// Now returns the ledger's time, the highest leader timestamp in the commands applied so far.
func (m *Machine) Now() time.Time { return time.UnixMilli(m.nowMS) }

// Len returns the number of calls that the ledger has a record of.
func (m *Machine) Len() int { return len(m.records) }

// Apply applies one committed ledger command, in its encoded form, and returns its result.
func (m *Machine) Apply(data []byte) Result {
	m.initDefaults()
	c, err := DecodeCommand(data)
	if err != nil {
		return refusedResult(common.ReasonBadRequest, common.OutcomeUnknown, "", err.Error())
	}
	m.nowMS = max(m.nowMS, c.TimeMS)
	out := m.dispatchCommand(c)
	m.dropObsoleteExpiries()
	return out
}

// dispatchCommand executes a ledger command by its operation.
func (m *Machine) dispatchCommand(c *Command) Result {
	switch c.Op {
	case OpClaim:
		return m.claimCall(c)
	case OpDone, OpNotRun, OpUnknown:
		return m.recordOutcome(c)
	case OpExpireClaims:
		return m.expireClaims()
	case OpDeleteExpired:
		return m.deleteExpired()
	default:
		return refusedResult(common.ReasonBadRequest, common.OutcomeUnknown, "op", "the command is not known")
	}
}

// Lookup returns the recorded state of a call, or false if the ledger has no record of it.
func (m *Machine) Lookup(account, key string) (Result, bool) {
	id, _, err := parseCallID(account, key)
	if err != nil {
		return Result{}, false
	}
	r := m.records[id]
	if r == nil {
		return Result{}, false
	}
	return r.claimResult(), true
}

// parseCallID returns the ID of a call from its client account and idempotency key, and the creation time of the key.
func parseCallID(account, key string) (CallID, time.Time, error) {
	k, created, err := ParseKey(key)
	if err != nil {
		return CallID{}, time.Time{}, err
	}
	return CallID{Account: account, Key: k}, created, nil
}

// claimResult returns the result of a claim to a call that is not granted, from the state of the call's record.
func (r *CallRecord) claimResult() Result {
	switch r.State {
	case StateDone:
		return Result{Verdict: VerdictDone, Claim: r.Claim, Response: r.Response}
	case StateNotRun:
		return Result{Verdict: VerdictNotRun, Claim: r.Claim}
	case StateUnknown:
		return Result{Verdict: VerdictUnknown, Claim: r.Claim}
	default:
		return Result{Verdict: VerdictInProgress, Claim: r.Claim}
	}
}

// size returns the estimated memory of the call's record in bytes.
func (r *CallRecord) size() int {
	n := RecordBytes
	if r.Response != nil {
		n += r.Response.size()
	}
	return n
}
