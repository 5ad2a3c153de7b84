package raft

// progressState is the mode in which a leader sends entries to another member.
type progressState uint8

const (
	// stateProbe sends one append message at a time until the leader knows the last entry that both logs hold.
	stateProbe progressState = iota
	// stateReplicate sends append messages without waiting for replies, up to InFlight of them.
	stateReplicate
	// stateSnapshot sends a snapshot and no entries until the member has installed the snapshot.
	stateSnapshot
)

// memberProgress is the replication state that a leader keeps for one other member of the group.
type memberProgress struct {
	state          progressState
	matchIndex     uint64           // index of the last entry that the member is known to have synced
	nextIndex      uint64           // index of the next entry to send to the member
	probeSent      bool             // in stateProbe: whether an append awaits its reply
	inFlight       []inFlightAppend // unacknowledged appends
	inFlightBytes  int              // size of the unacknowledged appends
	outgoing       outgoingSnapshot // in stateSnapshot: the snapshot that is being sent
	sentCommit     uint64           // commit index in the last append message to the member
	confirmedRound uint64           // latest heartbeat round that the member answered
	confirmedTick  uint64           // tick at which the latest message that the member answered was sent
	startTick      uint64           // tick at which this leader began to send to the member
}

// inFlightAppend describes an append message that a member has not acknowledged.
type inFlightAppend struct {
	lastIndex uint64 // index of its last entry
	bytes     int    // size of its entries
}

// addInFlight records that an append message with the entries was sent.
func (p *memberProgress) addInFlight(entries []Entry) {
	a := inFlightAppend{lastIndex: entries[len(entries)-1].Index}
	for i := range entries {
		a.bytes += entries[i].approxEncodedSize()
	}
	p.inFlight = append(p.inFlight, a)
	p.inFlightBytes += a.bytes
}

// removeInFlight removes the oldest count unacknowledged append messages.
func (p *memberProgress) removeInFlight(count int) {
	for _, a := range p.inFlight[:count] {
		p.inFlightBytes -= a.bytes
	}
	p.inFlight = p.inFlight[count:]
}

// clearInFlight forgets all unacknowledged append messages.
func (p *memberProgress) clearInFlight() { p.inFlight, p.inFlightBytes = nil, 0 }

// isWindowFull reports whether the member must acknowledge an append before it is sent another one.
func (n *Node) isWindowFull(p *memberProgress) bool {
	return len(p.inFlight) >= n.InFlight || p.inFlightBytes >= n.InFlightBytes
}

// startProbing starts to search for the last entry that both the leader's and the member's log hold, from the last
// entry that the member is known to have synced.
func (p *memberProgress) startProbing() {
	p.state = stateProbe
	p.nextIndex = p.matchIndex + 1
	p.probeSent = false
	p.clearInFlight()
	p.outgoing = outgoingSnapshot{}
	p.sentCommit = 0
}

// acknowledgeUpTo records that the member has synced all log entries up to the index.
func (p *memberProgress) acknowledgeUpTo(index uint64) {
	if index > p.matchIndex {
		p.matchIndex = index
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	acked := 0
	for acked < len(p.inFlight) && p.inFlight[acked].lastIndex <= index {
		acked++
	}
	p.removeInFlight(acked)
}

// sendAppends sends each other member the log entries and the commit index that it lacks, in up to InFlight append
// messages each.
func (n *Node) sendAppends() {
	for _, id := range n.log.members().All() {
		if p := n.leaderState.progressOf[id]; p != nil {
			n.sendAppendsWithinWindow(id, p)
		}
	}
}

// sendAppendsWithinWindow sends append messages to a member, or chunks of a snapshot if it needs entries that the
// leader has compacted, until the member lacks nothing or the limit of unacknowledged messages is reached.
func (n *Node) sendAppendsWithinWindow(id ID, p *memberProgress) {
	for {
		switch {
		case p.state == stateSnapshot:
			n.sendSnapshotChunks(id, p)
			return
		case p.probeSent || n.isWindowFull(p):
			return
		case p.nextIndex-1 < n.log.baseIndex:
			n.startSendingSnapshot(p)
			continue
		case p.nextIndex > n.log.lastIndex() && p.sentCommit >= n.log.commitIndex && p.state == stateReplicate:
			return
		}
		n.sendAppend(id, p)
	}
}

// sendAppend sends a member one append message with the entries from nextIndex on; without new entries it only carries
// the commit index.
func (n *Node) sendAppend(id ID, p *memberProgress) {
	entries := n.log.entriesFrom(p.nextIndex, n.AppendBytes)
	n.sendBeforeSync(Message{
		Type: MsgAppend, To: id, Index: p.nextIndex - 1, LogTerm: n.log.termAt(p.nextIndex - 1),
		Entries: entries, Commit: n.log.commitIndex, Seq: n.leaderState.round, Sent: n.now,
	})
	p.sentCommit = n.log.commitIndex
	if p.state == stateProbe {
		p.probeSent = true
		return
	}
	if len(entries) == 0 {
		return
	}
	p.nextIndex += uint64(len(entries))
	p.addInFlight(entries)
}

// recordLeaderConfirmation records the heartbeat round and the tick of the message that m answers: the member still
// followed this leader after that message was sent.
func (n *Node) recordLeaderConfirmation(m Message, p *memberProgress) {
	p.confirmedRound = max(p.confirmedRound, m.Seq)
	p.confirmedTick = max(p.confirmedTick, m.Sent)
	n.answerConfirmedReads()
}

// handleAppendReply records which log entries a member has synced, or retries a rejected append, and then commits the
// entries that a quorum has synced.
func (n *Node) handleAppendReply(m Message) {
	p := n.leaderState.progressOf[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordLeaderConfirmation(m, p)
	if m.Reject {
		n.retryAppend(m, p)
		return
	}
	p.acknowledgeUpTo(m.Index)
	switch {
	case p.state == stateProbe:
		p.startProbing()
		p.state = stateReplicate
	case p.state == stateSnapshot && p.matchIndex >= p.outgoing.Index:
		p.startProbing()
		p.state = stateReplicate
	}
	n.advanceCommit()
	n.continueLeadershipTransfer()
}

// retryAppend handles an append message that a member rejected: it moves nextIndex back to just after the last entry
// that both the leader's and the member's log may hold. It ignores the late rejection of an append that a newer reply
// has overtaken.
func (n *Node) retryAppend(m Message, p *memberProgress) {
	if m.Index <= p.matchIndex || p.state == stateSnapshot {
		return
	}
	if p.state == stateProbe && m.Index != p.nextIndex-1 {
		return
	}
	index, _ := n.log.findConflictByTerm(m.Hint, m.HintTerm)
	p.startProbing()
	p.nextIndex = max(p.matchIndex, min(index, m.Index-1)) + 1
}

// handleHeartbeatReply records that a member still follows this leader. Because an append message or its reply may be
// lost, it also permits one more append to the member, and sends one if the member lacks entries.
func (n *Node) handleHeartbeatReply(m Message) {
	p := n.leaderState.progressOf[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordLeaderConfirmation(m, p)
	p.probeSent = false
	if n.isWindowFull(p) {
		p.removeInFlight(1)
	}
	// The member rejects an append, even one without entries, if it has not received the earlier ones.
	if p.state == stateReplicate && p.matchIndex < n.log.lastIndex() && p.nextIndex > n.log.baseIndex {
		n.sendAppend(m.From, p)
	}
}
