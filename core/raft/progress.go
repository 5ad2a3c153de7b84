package raft

// progressState tells how a leader sends entries to a member.
type progressState uint8

const (
	// probing sends one append at a time until the member's log is known.
	probing progressState = iota
	// replicating sends appends without waiting, up to the window.
	replicating
	// restoring waits until the member has installed a snapshot.
	restoring
)

// progress is what a leader knows about another member.
type progress struct {
	state    progressState
	match    uint64 // last entry that the member has synced
	next     uint64 // next entry to send
	paused   bool   // while probing: an append is under way
	inFlight []uint64
	out      outgoing
	commit   uint64 // commit index that was last sent
	seq      uint64 // latest confirmation round that the member answered
	sent     uint64 // latest tick of a message that the member answered
	since    uint64 // tick at which this leader began to send to the member
}

func (p *progress) probe() {
	p.state = probing
	p.next = p.match + 1
	p.paused = false
	p.inFlight = nil
	p.out = outgoing{}
	p.commit = 0
}

func (p *progress) acknowledge(index uint64) {
	if index > p.match {
		p.match = index
	}
	p.next = max(p.next, p.match+1)
	free := 0
	for free < len(p.inFlight) && p.inFlight[free] <= index {
		free++
	}
	p.inFlight = p.inFlight[free:]
}

// sendAppends sends each member the entries and the commit index that it lacks, as far as its window allows.
func (n *Node) sendAppends() {
	for _, id := range n.log.members().All() {
		if p := n.lead.peers[id]; p != nil {
			n.sendAvailable(id, p)
		}
	}
}

func (n *Node) sendAvailable(id ID, p *progress) {
	for {
		switch {
		case p.state == restoring:
			n.sendChunks(id, p)
			return
		case p.paused || len(p.inFlight) >= n.InFlight:
			return
		case p.next-1 < n.log.base:
			n.startSnapshot(p)
			continue
		case p.next > n.log.last() && p.commit >= n.log.commit && p.state == replicating:
			return
		}
		n.sendAppend(id, p)
	}
}

func (n *Node) sendAppend(id ID, p *progress) {
	entries := n.log.bounded(p.next, n.AppendBytes)
	n.sendEarly(Message{
		Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: n.log.term(p.next - 1),
		Entries: entries, Commit: n.log.commit, Seq: n.lead.seq, Sent: n.now,
	})
	p.commit = n.log.commit
	if p.state == probing {
		p.paused = true
		return
	}
	if len(entries) == 0 {
		return
	}
	p.next += uint64(len(entries))
	p.inFlight = append(p.inFlight, p.next-1)
}

// confirm records that the member followed this leader when the answered message was sent.
func (n *Node) confirm(m Message, p *progress) {
	p.seq = max(p.seq, m.Seq)
	p.sent = max(p.sent, m.Sent)
	n.releaseReads()
}

func (n *Node) handleAppendReply(m Message) {
	p := n.lead.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.confirm(m, p)
	if m.Reject {
		n.retryAppend(m, p)
		return
	}
	p.acknowledge(m.Index)
	switch {
	case p.state == probing:
		p.probe()
		p.state = replicating
	case p.state == restoring && p.match >= p.out.Index:
		p.probe()
		p.state = replicating
	}
	n.advanceCommit()
	n.continueTransfer()
}

// retryAppend moves back to the last entry that both logs may hold; it ignores a rejection of an older append.
func (n *Node) retryAppend(m Message, p *progress) {
	if m.Index <= p.match || p.state == restoring {
		return
	}
	if p.state == probing && m.Index != p.next-1 {
		return
	}
	index, _ := n.log.conflict(m.Hint, m.HintTerm)
	p.probe()
	p.next = max(p.match, min(index, m.Index-1)) + 1
}

func (n *Node) handleHeartbeatReply(m Message) {
	p := n.lead.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	n.confirm(m, p)
	p.paused = false
	if len(p.inFlight) >= n.InFlight {
		p.inFlight = p.inFlight[1:]
	}
	// An append, empty if need be, reveals that earlier ones were lost.
	if p.state == replicating && p.match < n.log.last() && p.next > n.log.base {
		n.sendAppend(m.From, p)
	}
}
