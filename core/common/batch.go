package common

import "time"

// Record is what one process tells others with its age.
type Record[T any] interface {
	// Key identifies what the record is about; a later record with the same key replaces an earlier one.
	Key() string
	// Aged returns the record as it is sent d later.
	Aged(d time.Duration) T
}

// Batch collects records for messages that are sent at most once per interval and hold one record of each key, so that
// their number and size are bounded under load. The first record after a pause goes at once. It is not safe for concurrent
// use.
type Batch[T Record[T]] struct {
	// Interval is the least time between two messages.
	Interval time.Duration

	pending map[string]pendingRecord[T]
	sentAt  time.Time
}

// pendingRecord is a record with the time at which it was added.
type pendingRecord[T any] struct {
	record  T
	addedAt time.Time
}

// Add adds records, and returns those that are to be sent now, in no order.
func (b *Batch[T]) Add(records []T, now time.Time) []T {
	if b.pending == nil {
		b.pending = map[string]pendingRecord[T]{}
	}
	for _, r := range records {
		b.pending[r.Key()] = pendingRecord[T]{record: r, addedAt: now}
	}
	return b.Take(now)
}

// Take returns the records that are to be sent now, and removes them; none before the interval is over.
func (b *Batch[T]) Take(now time.Time) []T {
	if len(b.pending) == 0 || !b.sentAt.IsZero() && now.Sub(b.sentAt) < b.Interval {
		return nil
	}
	out := make([]T, 0, len(b.pending))
	for _, p := range b.pending {
		out = append(out, p.record.Aged(now.Sub(p.addedAt)))
	}
	clear(b.pending)
	b.sentAt = now
	return out
}
