package orders

import (
	"cmp"
	"time"
)

// Fencing is a leader's fencing number. Each new leader of the Raft group named config has a higher one than all
// leaders before it, so an engine can reject orders of earlier leaders.
type Fencing struct {
	Term uint64 `json:"term" cbor:"term"`
	// Index is the index, in the log of the Raft group, of the first entry that the leader appended in the term.
	Index uint64 `json:"index" cbor:"index"`
}

// Compare returns -1, 0 or 1 as the fencing number f is lower than, equal to or higher than other.
func (f Fencing) Compare(other Fencing) int {
	if c := cmp.Compare(f.Term, other.Term); c != 0 {
		return c
	}
	return cmp.Compare(f.Index, other.Index)
}

// Defaults for the lease of the leader that sends orders to the engines.
const (
	// DefaultLease is the length of a leader's lease, the same as the election timeout of the Raft group.
	DefaultLease = time.Second
	// DefaultClockDrift is the fraction by which the rates of two processes' clocks may differ.
	DefaultClockDrift = 0.2
)

// leadership describes a period in which this process is the leader of the Raft group named config.
type leadership struct {
	fencing   Fencing
	startedAt time.Time
	// confirmedAt is the start of the last round in which a quorum confirmed the leadership.
	confirmedAt time.Time
	// active is false before this process becomes the leader, after it resigns, and once an engine reports the fencing
	// number of a newer leader.
	active bool
}

// sendAllowedFrom returns the time from which this leader may send orders to an engine. If the engine does not check
// fencing numbers, that is when the previous leader's lease has certainly expired.
func (l *leadership) sendAllowedFrom(checksFencing bool, lease time.Duration, drift float64) time.Time {
	if checksFencing {
		return l.startedAt
	}
	return l.startedAt.Add(lease + time.Duration(float64(lease)*drift))
}

// leaseEnd returns the time at which the leader's own lease expires unless a quorum confirms it again.
func (l *leadership) leaseEnd(lease time.Duration) time.Time { return l.confirmedAt.Add(lease) }
