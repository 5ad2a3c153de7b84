package raft

import "fmt"

// TransferLeadership starts to transfer the leadership of the group to the given voter, or to the one with the longest
// log if to is zero, and returns the chosen voter. The leader refuses proposals until that voter has caught up and
// taken over, or until an election timeout has passed. TransferLeadership returns NotLeaderError on other members and
// ErrInvalidChange if there is no such voter.
func (n *Node) TransferLeadership(to ID) (ID, error) {
	if n.role != Leader {
		return ID{}, &NotLeaderError{Leader: n.leader}
	}
	if to.IsZero() {
		to = n.mostUpToDateVoter()
	}
	if n.leaderState.progressOf[to] == nil || !n.log.members().IsVoter(to) {
		return ID{}, fmt.Errorf("transfer to %s: %w", to, ErrInvalidChange)
	}
	n.leaderState.transferTarget = to
	n.leaderState.transferStart = n.now
	n.continueLeadershipTransfer()
	return to, nil
}

// mostUpToDateVoter returns the other voter that has synced the most entries, or zero if there is none.
func (n *Node) mostUpToDateVoter() ID {
	var best ID
	for _, id := range n.log.members().Voters {
		p := n.leaderState.progressOf[id]
		if p != nil && (best.IsZero() || p.matchIndex > n.leaderState.progressOf[best].matchIndex) {
			best = id
		}
	}
	return best
}

// continueLeadershipTransfer asks the voter that is to take over the leadership to campaign once it holds the whole
// log; without it, voters that hold more would refuse their votes.
func (n *Node) continueLeadershipTransfer() {
	if n.role != Leader || n.leaderState.transferTarget.IsZero() {
		return
	}
	p := n.leaderState.progressOf[n.leaderState.transferTarget]
	if p == nil {
		n.leaderState.transferTarget = ID{}
		return
	}
	if p.matchIndex == n.log.lastIndex() {
		n.sendBeforeSync(Message{Type: MsgTransfer, To: n.leaderState.transferTarget})
	}
}

// abortOverdueLeadershipTransfer ends a leadership transfer that has not succeeded within an election timeout, so that
// the leader accepts proposals again.
func (n *Node) abortOverdueLeadershipTransfer() {
	if !n.leaderState.transferTarget.IsZero() && n.now-n.leaderState.transferStart >= uint64(n.ElectionTicks) {
		n.leaderState.transferTarget = ID{}
	}
}

// handleTransferRequest handles the leader's request to take over: it starts an election at once and without a
// pre-vote, which the voters would refuse while they hear from the leader.
func (n *Node) handleTransferRequest(m Message) {
	if n.role == Follower && m.From == n.leader && n.mayCampaign() {
		n.startElection(true)
	}
}
