package wall

import "time"

// Clock is a clock that returns the operating system's time.
type Clock struct{}

// Now returns the current time.
func (Clock) Now() time.Time { return time.Now() }
