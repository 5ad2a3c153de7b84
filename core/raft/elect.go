package raft

// mayCampaign reports whether this member may start an election: whether it is a voter, or was one before a membership
// change that is not committed yet. A leader that has appended its own removal may hold the longest log; if it could
// not campaign, no other voter could win the election.
func (n *Node) mayCampaign() bool {
	return n.log.members().IsVoter(n.ID) || n.log.membersAt(n.log.commitIndex).IsVoter(n.ID)
}

// startPreVote asks the voters whether they would vote for this member in the next term. It does not raise the term.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ID{}
	n.requestVotes(Message{Type: MsgPreVote, Term: n.term + 1})
}

// startElection raises the term, votes for this member and asks the other voters for their votes; transfer tells them
// that the leader asked this member to take over.
func (n *Node) startElection(transfer bool) {
	n.role = Candidate
	n.term++
	n.vote = n.ID
	n.leader = ID{}
	n.requestVotes(Message{Type: MsgVote, Term: n.term, Transfer: transfer})
}

// requestVotes sends the vote or pre-vote request m to each other voter, with the last entry of this member's log, and
// counts this member's vote.
func (n *Node) requestVotes(m Message) {
	n.resetElectionTimeout()
	n.campaignStart = n.now
	n.votes = map[ID]bool{n.ID: true}
	for _, id := range n.log.members().Voters {
		if id == n.ID {
			continue
		}
		m.To, m.Index, m.LogTerm = id, n.log.lastIndex(), n.log.lastTerm()
		n.sendAfterSync(m)
	}
	n.countVotes()
}

// handleVote answers a candidate's vote or pre-vote request. It grants the vote even if this member's log does not list
// it as a voter yet, because the candidate may hold the entry that promoted it.
func (n *Node) handleVote(m Message) {
	if n.hasActiveLeader() && m.From != n.leader {
		return
	}
	canVote := n.vote.IsZero() && n.leader.IsZero() || n.vote == m.From
	if m.Type == MsgPreVote {
		canVote = m.Term > n.term
	}
	grant := canVote && n.isUpToDate(m)
	reply := MsgVoteReply
	if m.Type == MsgPreVote {
		reply = MsgPreVoteReply
	}
	if !grant {
		n.sendAfterSync(Message{Type: reply, To: m.From, Reject: true})
		return
	}
	if m.Type == MsgVote {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.sendAfterSync(Message{Type: reply, To: m.From, Term: m.Term})
}

// isUpToDate reports whether the log of the candidate that sent the vote request m is at least as up to date as this
// member's: it has a higher last term, or the same last term and at least as many entries.
func (n *Node) isUpToDate(m Message) bool {
	last := n.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= n.log.lastIndex()
}

// handleVoteReply records a vote for the current campaign; replies to earlier campaigns and repeated replies are
// ignored.
func (n *Node) handleVoteReply(m Message) {
	switch {
	case n.role == PreCandidate && m.Type == MsgPreVoteReply && (m.Reject || m.Term == n.term+1):
	case n.role == Candidate && m.Type == MsgVoteReply:
	default:
		return
	}
	if _, ok := n.votes[m.From]; ok {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// countVotes ends a campaign of this member that a quorum has answered: if it granted its votes, the member starts the
// election after a pre-vote, or becomes leader; if it refused them, the member becomes a follower. Only the votes of
// identities that are currently voters count.
func (n *Node) countVotes() {
	members := n.log.members()
	granted, refused := 0, 0
	for _, id := range members.Voters {
		vote, ok := n.votes[id]
		switch {
		case ok && vote:
			granted++
		case ok:
			refused++
		}
	}
	switch {
	case granted >= members.Quorum() && n.role == PreCandidate:
		n.startElection(false)
	case granted >= members.Quorum():
		n.becomeLeader()
	case refused >= members.Quorum():
		n.becomeFollower(n.term, ID{})
	}
}
