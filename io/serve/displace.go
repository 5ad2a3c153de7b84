package serve

import (
	"slices"

	"wasabiweir/core/intake"
)

// closeWaiting closes the connection that makes room for a new one; see intake.Waiting. It returns false if the server waits for a
// request on none.
func (t *ConnTable) closeWaiting() bool {
	conns := t.openConns()
	for {
		next, first := -1, intake.Waiting{}
		for i, c := range conns {
			if w, ok := c.waitState(); ok && (next < 0 || w.YieldsBefore(first)) {
				next, first = i, w
			}
		}
		if next < 0 || conns[next].closeIfWaiting() {
			return next >= 0
		}
		// Bytes have arrived for it that the server has not read yet.
		conns = slices.Delete(conns, next, next+1)
	}
}

// waitState describes the connection if the server waits for a request on it, and returns false otherwise.
func (c *clientConn) waitState() (intake.Waiting, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return intake.Waiting{Since: c.since, HadRequest: c.hadRequest}, c.waitsForBytes()
}

// waitsForBytes reports whether the server waits for bytes of a request, or is about to for the first time; c.mu is held.
func (c *clientConn) waitsForBytes() bool {
	return !c.expired && c.phase != phaseServing && (c.waiting || c.bufferSize == 0)
}

// closeIfWaiting closes the connection if the server waits for bytes of a request, and reports whether it did.
func (c *clientConn) closeIfWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waitsForBytes() || c.hasUnread() {
		return false
	}
	c.expired = true
	_ = c.Close()
	return true
}
