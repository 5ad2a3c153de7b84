package table

import "time"

// Bucket is a rate limiter, a token bucket that starts full. Its methods take the current time as an argument, so that
// it works with a real clock and with a simulated one.
type Bucket struct {
	// Rate is the number of units that are added to the bucket per second.
	Rate float64
	// Burst is the largest number of units in the bucket.
	Burst float64

	available  float64
	refilledAt time.Time
}

// Take removes n units from the bucket if they are available at the time now, and reports whether it did.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.refill(now)
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

// Wait returns the time until the bucket has n units, which is zero if they are available now and the longest Duration
// if the rate is zero.
func (b *Bucket) Wait(now time.Time, n float64) time.Duration {
	b.refill(now)
	if b.available >= n {
		return 0
	}
	if b.Rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration((n - b.available) / b.Rate * float64(time.Second))
}

// Level returns the number of units in the bucket at the time now; it is negative after an overdraft.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.available
}

// Debit removes n units from the bucket even if its level becomes negative; a negative n adds units.
func (b *Bucket) Debit(now time.Time, n float64) {
	b.refill(now)
	b.available -= n
}

// refill adds to the bucket the units for the time since the last refill, up to Burst.
func (b *Bucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.available = b.Burst
		b.refilledAt = now
		return
	}
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.available = min(b.Burst, b.available+elapsed.Seconds()*b.Rate)
}
