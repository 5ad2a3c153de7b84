package ctrl

import (
	"time"

	"wasabiweir/core/member"
	"wasabiweir/core/raft"
	"wasabiweir/io/wire"
)

// accountShareDivider divides the limit of each client account into shares, one for each router, while this process
// leads the Raft group config.
type accountShareDivider struct {
	divider member.Divider
	// term is the term of the Raft group config in which this process leads, or 0 if it does not.
	term uint64
}

// setMinRouters sets the smallest number of routers by which account limits are divided, from the settings of c.
func (s *accountShareDivider) setMinRouters(c *Control) { s.divider.MinRouters = c.MinRouters }

// updateLeadership tells the divider of account limits whether this process leads the Raft group config, and reports
// whether it does.
func (s *accountShareDivider) updateLeadership(c *Control, now time.Time) bool {
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

// distributeAccountShares sends each router its shares of the account limits. Shares for routers that are not
// connected to this process are sent through the other control processes.
func (s *routerRegistry) distributeAccountShares() {
	s.mu.Lock()
	now := s.control.Clock.Now()
	var list []member.RouterShares
	if s.shares.updateLeadership(s.control, now) {
		list = s.shares.divider.Divide(s.table.Names(now), now)
	}
	s.mu.Unlock()
	unsent := s.control.feeds.sendAccountShares(list)
	if len(unsent) == 0 {
		return
	}
	for _, p := range s.control.peers {
		// An error is ignored, because lost account-limit shares are replaced a second later.
		_ = p.Post(wire.KindShares, "", unsent)
	}
}
