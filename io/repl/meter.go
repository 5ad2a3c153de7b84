package repl

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Values of the tag "reason" of the metric counter "retries": why a proposal is submitted to the raft node again.
const (
	retryReasonNoLeader = "no-leader"
	retryReasonDropped  = "dropped"
	retryReasonRefused  = "leader-refused"
)

// Values of the tag "reason" of the metric counter "ignored": why a received Raft message is ignored.
const (
	ignoreReasonIdentity  = "other-identity"
	ignoreReasonInboxFull = "inbox-full"
	ignoreReasonNoSpace   = "no-space"
	ignoreReasonLogFull   = "log-full"
)

// syncBuckets are the histogram buckets for the durations of syncs to disk, from 125 µs on flash storage to 4 s on a
// stalled disk.
var syncBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond/8, 2, 16)

// meter holds the metrics of a replica, such as the number of applied log entries.
type meter struct {
	applied   tally.Counter
	snapshots tally.Counter
	elections tally.Counter
	logFull   tally.Counter
	retries   map[string]tally.Counter
	ignored   map[string]tally.Counter
	sync      tally.Histogram
	freeBytes tally.Gauge
	short     tally.Gauge
}

// newMeter creates the metrics of the Raft group's replica in the scope, or metrics without effect if the scope is nil.
func newMeter(scope tally.Scope, group string) *meter {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("replica").Tagged(map[string]string{"group": group})
	return &meter{
		applied:   scope.Counter("applied"),
		snapshots: scope.Counter("snapshots"),
		elections: scope.Counter("elections"),
		logFull:   scope.Counter("log-full"),
		retries:   countersByReason(scope, "retries", retryReasonNoLeader, retryReasonDropped, retryReasonRefused),
		ignored:   countersByReason(scope, "ignored", ignoreReasonIdentity, ignoreReasonInboxFull, ignoreReasonNoSpace, ignoreReasonLogFull),
		sync:      scope.Histogram("sync", syncBuckets),
		freeBytes: scope.Gauge("disk-free-bytes"),
		short:     scope.Gauge("disk-space-short"),
	}
}

// setSpaceShort sets the gauge that is 1 while the disk has too little room.
func (m *meter) setSpaceShort(short bool) {
	value := 0.0
	if short {
		value = 1
	}
	m.short.Update(value)
}

// countersByReason creates a metric counter of the name for each value of the tag "reason".
func countersByReason(scope tally.Scope, name string, reasons ...string) map[string]tally.Counter {
	out := make(map[string]tally.Counter, len(reasons))
	for _, reason := range reasons {
		out[reason] = scope.Tagged(map[string]string{"reason": reason}).Counter(name)
	}
	return out
}
