package ctrl

import (
	"time"

	"wasabiweir/core/member"
	"wasabiweir/core/raft"
	"wasabiweir/io/wire"
)

// shareDivider divides the limit of each client account into shares, one for each router, while this process leads the
// Raft group config.
type shareDivider struct {
	divider member.Divider
	// term is the Raft term in which this process leads, or 0 if it does not.
	term uint64
}

// prepare sets the divider's minimum number of routers from the settings of c.
func (s *shareDivider) prepare(c *Control) { s.divider.MinRouters = c.MinRouters }

// updateLeadership tells the divider whether this process leads the Raft group config, and reports whether it does.
func (s *shareDivider) updateLeadership(c *Control, now time.Time) bool {
	st := c.groups[ConfigGroup].replica.Status()
	if st.Role != raft.Leader {
		s.divider.EndLeadership()
		s.term = 0
		return false
	}
	if s.term != st.Term {
		s.term = st.Term
		s.divider.StartLeadership(st.Term, now)
	}
	s.divider.ConfirmLeadership(now.Add(-st.Lease))
	return true
}

// distributeShares sends each router its shares of the account limits. Shares for routers that are not connected to
// this process are sent through the other control processes.
func (s *routerRegistry) distributeShares() {
	s.mu.Lock()
	now := s.control.Clock.Now()
	var list []member.Shares
	if s.shares.updateLeadership(s.control, now) {
		list = s.shares.divider.Divide(s.table.Names(now), now)
	}
	s.mu.Unlock()
	unsent := s.control.feeds.sendShares(list)
	if len(unsent) == 0 {
		return
	}
	for _, p := range s.control.peers {
		// An error is ignored, because lost shares are replaced a second later.
		_ = p.Post(wire.KindShares, "", unsent)
	}
}
