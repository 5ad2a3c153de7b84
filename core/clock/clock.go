package clock

import (
	"sync"
	"time"
)

// Clock provides the current time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// Manual is a Clock whose time changes only through Set and Advance; its zero value shows the zero time. It is safe for
// concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// Now returns the clock's time, which only Set and Advance change.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Set sets the clock to time t, which may be earlier than its current time.
func (m *Manual) Set(t time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = t
}

// Advance moves the clock forward by the duration d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
