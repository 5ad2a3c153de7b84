package raft

// Read is a linearizable read for which a quorum has confirmed the leader; it may be answered from any state that
// includes entry Index.
type Read struct {
	// Context is the value that the caller passed to ReadIndex; it identifies the read.
	Context []byte
	// Index is the log index that the state machine must apply before the read is answered.
	Index uint64
}

// pendingRead is a linearizable read that the leader has not answered yet.
type pendingRead struct {
	from    ID     // member that asked for the read
	context []byte // identifies the read
	index   uint64 // commit index when the heartbeat round began
	round   uint64 // heartbeat round that confirms the read
}

// maxWaitingReads limits the linearizable reads that wait until a new leader commits its first entry. Further reads are
// dropped; their callers retry them.
const maxWaitingReads = 1 << 16

// ReadIndex starts a linearizable read. The confirmed read appears in a later Ready, or never if the leader changes or
// a message is lost. A follower forwards the read to the leader. The context must never be reused, not even after a
// restart: a late answer to an earlier read with the same context could carry an older index. ReadIndex returns
// NotLeaderError if no leader is known.
func (n *Node) ReadIndex(context []byte) error {
	if n.role == Leader {
		n.queueReadForNextRound(pendingRead{from: n.ID, context: context})
		return nil
	}
	if n.leader.IsZero() {
		return &NotLeaderError{}
	}
	n.sendBeforeSync(Message{Type: MsgRead, To: n.leader, Context: context})
	return nil
}

// handleForwardedRead queues a linearizable read that a follower forwarded; it is dropped if this member is not the
// leader.
func (n *Node) handleForwardedRead(m Message) {
	if n.role == Leader {
		n.queueReadForNextRound(pendingRead{from: m.From, context: m.Context})
	}
}

// queueReadForNextRound queues a linearizable read to be confirmed by the leader's next heartbeat round, or drops it if
// too many are queued.
func (n *Node) queueReadForNextRound(r pendingRead) {
	if len(n.leaderState.waitingReads) < maxWaitingReads {
		n.leaderState.waitingReads = append(n.leaderState.waitingReads, r)
	}
}

// startReadRound starts one heartbeat round, in which a quorum confirms the leader for all waiting reads. It does
// nothing until the leader has committed an entry of its own term, because before that its commit index may be behind.
func (n *Node) startReadRound() {
	if n.role != Leader || len(n.leaderState.waitingReads) == 0 || n.log.commitIndex < n.leaderState.firstIndex {
		return
	}
	n.leaderState.round++
	for _, r := range n.leaderState.waitingReads {
		r.index = n.log.commitIndex
		r.round = n.leaderState.round
		n.leaderState.confirmingReads = append(n.leaderState.confirmingReads, r)
	}
	n.leaderState.waitingReads = nil
	n.sendHeartbeats()
	n.answerConfirmedReads()
}

// answerConfirmedReads answers the linearizable reads whose heartbeat round a quorum has answered.
func (n *Node) answerConfirmedReads() {
	if len(n.leaderState.confirmingReads) == 0 {
		return
	}
	confirmedRound := n.log.members().valueReachedByQuorum(func(id ID) uint64 {
		if id == n.ID {
			return n.leaderState.round
		}
		if p := n.leaderState.progressOf[id]; p != nil {
			return p.confirmedRound
		}
		return 0
	})
	done := 0
	for _, r := range n.leaderState.confirmingReads {
		if r.round > confirmedRound {
			break
		}
		done++
		if r.from == n.ID {
			n.confirmedReads = append(n.confirmedReads, Read{Context: r.context, Index: r.index})
			continue
		}
		n.sendBeforeSync(Message{Type: MsgReadReply, To: r.from, Index: r.index, Context: r.context})
	}
	n.leaderState.confirmingReads = n.leaderState.confirmingReads[done:]
}
