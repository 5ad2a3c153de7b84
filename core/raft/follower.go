package raft

import "fmt"

// handleLeaderMessage processes an append, heartbeat or snapshot message from the leader of the current term. It
// returns ErrCommittedConflict if the message contradicts a committed entry or this member's own leadership.
func (n *Node) handleLeaderMessage(m Message) error {
	if n.role == Leader {
		return fmt.Errorf("two leaders in term %d: %w", n.term, ErrCommittedConflict)
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
	}
	n.electionElapsed = 0
	switch m.Type {
	case MsgAppend:
		return n.handleAppend(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	default:
		n.log.commitTo(m.Commit)
		n.replyAfterSync(m, Message{Type: MsgHeartbeatReply})
	}
	return nil
}

// replyAfterSync queues the reply to the leader's message m, with the heartbeat round and the tick of m, to be sent
// after this member's state is synced to disk.
func (n *Node) replyAfterSync(m, reply Message) {
	reply.To = m.From
	reply.Seq = m.Seq
	reply.Sent = m.Sent
	n.sendAfterSync(reply)
}

// handleAppend adds the leader's entries to the log and acknowledges them. If the log lacks the entry before them, it
// rejects the append with an entry from which the leader can retry.
func (n *Node) handleAppend(m Message) error {
	if m.Index < n.log.commitIndex {
		n.replyAfterSync(m, Message{Type: MsgAppendReply, Index: n.log.commitIndex})
		return nil
	}
	if !n.log.hasEntry(m.Index, m.LogTerm) {
		hint, term := n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.replyAfterSync(m, Message{Type: MsgAppendReply, Reject: true, Index: m.Index, Hint: hint, HintTerm: term})
		return nil
	}
	if err := n.log.replaceConflicting(m.Entries); err != nil {
		return fmt.Errorf("append after %d: %w", m.Index, err)
	}
	last := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	n.replyAfterSync(m, Message{Type: MsgAppendReply, Index: last})
	return nil
}
