package raft

// snapshotWindowChunks is the maximum number of unacknowledged snapshot chunks from the leader to each member.
const snapshotWindowChunks = 8

// outgoingSnapshot is a snapshot that a leader sends to a member in chunks, so that a large snapshot does not delay
// heartbeats on the same link.
type outgoingSnapshot struct {
	Snapshot
	attempt      uint64 // tick at which sending began; distinguishes attempts to send the same snapshot
	progressTick uint64 // tick of the latest acknowledgement of a further chunk, or of the last resend
	sentBytes    int    // number of bytes of the snapshot sent
	ackedBytes   int    // number of bytes that the member has received
	chunkSent    bool   // whether a chunk was sent since the beginning or the last resend
	loaded       bool   // whether the caller has provided the data of the snapshot
}

// incomingSnapshot is a snapshot of which a follower has received some chunks.
type incomingSnapshot struct {
	from    ID     // leader that sends it
	term    uint64 // term of that leader
	index   uint64 // index of the last entry that the snapshot covers
	attempt uint64 // distinguishes attempts to send the same snapshot
	data    []byte // bytes of the snapshot received so far
}

// startSendingSnapshot starts to send the latest snapshot to a member that needs compacted entries, and asks the caller
// of Ready for the snapshot's data.
func (n *Node) startSendingSnapshot(p *memberProgress) {
	p.state = stateSnapshot
	p.clearInFlight()
	p.outgoing = outgoingSnapshot{Snapshot: n.latestSnapshot, progressTick: n.now}
	n.snapshotNeeded = true
}

// ProvideSnapshot passes the latest snapshot from disk to the node after a Ready with SnapshotNeeded set. The node
// keeps its data only until the members that need it have received it.
func (n *Node) ProvideSnapshot(s Snapshot) {
	if n.role != Leader || s.Index < n.log.baseIndex {
		return
	}
	for _, p := range n.leaderState.progressOf {
		if p.state == stateSnapshot && !p.outgoing.loaded {
			p.outgoing = outgoingSnapshot{Snapshot: s, attempt: n.now, progressTick: n.now, loaded: true}
		}
	}
}

// setLatestSnapshot records the latest snapshot without its data, which may be large and is rarely needed.
func (n *Node) setLatestSnapshot(s Snapshot) {
	s.Data = nil
	n.latestSnapshot = s
}

// sendSnapshotChunks sends a member further chunks of a snapshot until snapshotWindowChunks are unacknowledged or all
// are sent. A snapshot without data is sent as one empty chunk.
func (n *Node) sendSnapshotChunks(id ID, p *memberProgress) {
	out := &p.outgoing
	if !out.loaded {
		return
	}
	for !out.chunkSent ||
		out.sentBytes < len(out.Data) && out.sentBytes-out.ackedBytes < snapshotWindowChunks*n.AppendBytes {
		end := min(out.sentBytes+n.AppendBytes, len(out.Data))
		chunk := Snapshot{Index: out.Index, Term: out.Term, Members: out.Members, Data: out.Data[out.sentBytes:end]}
		n.sendBeforeSync(Message{
			Type: MsgSnapshot, To: id, Snapshot: &chunk, LogTerm: out.attempt,
			Hint: uint64(out.sentBytes), HintTerm: uint64(len(out.Data)), Seq: n.leaderState.round, Sent: n.now,
		})
		out.sentBytes = end
		out.chunkSent = true
	}
}

// resendOverdueChunks makes the leader send all unacknowledged chunks of a snapshot again if the member has
// acknowledged none for the minimum election timeout.
func (n *Node) resendOverdueChunks(p *memberProgress) {
	if p.state == stateSnapshot && n.now-p.outgoing.progressTick >= uint64(n.ElectionTicks) {
		p.outgoing.progressTick = n.now
		p.outgoing.sentBytes = p.outgoing.ackedBytes
		p.outgoing.chunkSent = false
		n.snapshotNeeded = n.snapshotNeeded || !p.outgoing.loaded
	}
}

// handleSnapshotReply records how much of a snapshot a member has received. If the member rejected a chunk because it
// lacks the first one, the leader starts to probe its log again.
func (n *Node) handleSnapshotReply(m Message) {
	p := n.leaderState.progressOf[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.recordLeaderConfirmation(m, p)
	if p.state != stateSnapshot || m.LogTerm != p.outgoing.attempt {
		return
	}
	if m.Reject {
		p.startProbing()
		return
	}
	ackedBytes := min(int(m.Hint), len(p.outgoing.Data))
	switch {
	case ackedBytes > p.outgoing.ackedBytes:
		p.outgoing.sentBytes = max(p.outgoing.sentBytes, ackedBytes)
		p.outgoing.progressTick = n.now
	case ackedBytes < p.outgoing.ackedBytes:
		// The member lost the chunks in a restart and has received a late transmission of the first one.
		p.outgoing.sentBytes = ackedBytes
	}
	p.outgoing.ackedBytes = ackedBytes
}

// handleSnapshot collects the chunks of a snapshot and replaces the log by the snapshot when it is complete. It rejects
// a chunk of an attempt whose first chunk is missing, because this member lost that chunk in a restart.
func (n *Node) handleSnapshot(m Message) {
	chunk := m.Snapshot
	if chunk == nil || chunk.Index <= n.log.commitIndex {
		n.replyAfterSync(m, Message{Type: MsgAppendReply, Index: n.log.commitIndex})
		return
	}
	if n.log.hasEntry(chunk.Index, chunk.Term) {
		n.log.commitTo(chunk.Index)
		n.replyAfterSync(m, Message{Type: MsgAppendReply, Index: chunk.Index})
		return
	}
	incoming := n.incomingSnapshot
	if incoming == nil || incoming.from != m.From || incoming.term != m.Term ||
		incoming.index != chunk.Index || incoming.attempt != m.LogTerm {
		if m.Hint != 0 {
			n.replyAfterSync(m, Message{Type: MsgSnapshotReply, LogTerm: m.LogTerm, Reject: true})
			return
		}
		incoming = &incomingSnapshot{from: m.From, term: m.Term, index: chunk.Index, attempt: m.LogTerm}
		n.incomingSnapshot = incoming
	}
	if m.Hint == uint64(len(incoming.data)) {
		incoming.data = append(incoming.data, chunk.Data...)
	}
	if uint64(len(incoming.data)) < m.HintTerm {
		n.replyAfterSync(m, Message{Type: MsgSnapshotReply, LogTerm: m.LogTerm, Hint: uint64(len(incoming.data))})
		return
	}
	n.incomingSnapshot = nil
	complete := Snapshot{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members, Data: incoming.data}
	n.log.resetToSnapshot(complete)
	n.setLatestSnapshot(complete)
	n.pendingSnapshot = &complete
	n.replyAfterSync(m, Message{Type: MsgAppendReply, Index: chunk.Index})
}
