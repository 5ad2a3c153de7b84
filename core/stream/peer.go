package stream

import (
	"slices"
	"time"
)

// MaxAppendBatches is the maximum number of batches in one append request, so that a backlog does not exceed the
// maximum frame size of a connection between routers.
const MaxAppendBatches = 256

// holderProgress is the replication state of one journal holder at the owner.
type holderProgress struct {
	HolderID
	// installed is true once the holder has accepted the open record at the owner's epoch.
	installed bool
	// lost is true once the holder has restarted or evicted the journal.
	lost bool
	// unreachable is true while the router has no connection to the holder.
	unreachable bool
	// acked is the number of batches of the journal that the holder acknowledged, sent the number that were sent to it.
	acked int
	sent  int
	// ackedSet and ackedNextSet are the numbers of the committed and of the prepared holder set that the holder knows.
	ackedSet     uint64
	ackedNextSet uint64

	// retransmitAt is the time at which unacknowledged batches are sent again.
	retransmitAt time.Time
	// setChangeAt is the time at which an unacknowledged change of the holder set is sent again.
	setChangeAt time.Time
	// backoff is the present retransmission interval, which doubles with each unacknowledged retransmission.
	backoff time.Duration
	// lastForcedRetransmit is the time at which retransmitNow last had an effect.
	lastForcedRetransmit time.Time
	// journalSent is true once the open record and the journal have been sent at least once.
	journalSent bool
}

// ackedBatches returns the number of batches that the journal holder acknowledged, and zero for a nil pointer.
func (p *holderProgress) ackedBatches() int {
	if p == nil {
		return 0
	}
	return p.acked
}

// applyReply records a journal holder's reply to a message of the owner's epoch.
func (p *holderProgress) applyReply(now time.Time, r Reply, interval time.Duration) {
	switch r.Status {
	case StatusAccepted:
		p.recordAck(now, r, interval)
	case StatusGap:
		p.recordAck(now, r, interval)
		p.retransmitBatchesNow(now)
	case StatusMissing:
		// After the holder has accepted the journal, this is a late reply to an append that arrived before the journal.
		if !p.installed {
			p.retransmitBatchesNow(now)
		}
	case StatusRestarted, StatusGone:
		p.lost = true
	case StatusPromised, StatusFull, StatusStale, StatusInvalid:
		// A late reply to a promise request acknowledges nothing; a full holder gets the message again with the next
		// retransmission.
	}
}

// recordAck records the batches and the holder sets that a journal holder acknowledges. Replies may arrive out of
// order, so no value decreases. Progress resets the backoff.
func (p *holderProgress) recordAck(now time.Time, r Reply, interval time.Duration) {
	progress := !p.installed || r.AcceptedBatches > p.acked
	p.installed = true
	p.ackedSet = max(p.ackedSet, r.SetNumber)
	p.ackedNextSet = max(p.ackedNextSet, r.NextNumber)
	p.acked = max(p.acked, r.AcceptedBatches)
	p.sent = max(p.sent, p.acked)
	if progress {
		p.backoff = interval
		p.retransmitAt = now.Add(interval)
	}
}

// retransmitBatchesNow makes the retransmission of unacknowledged batches due now, but at most once in the time
// backoff: after one lost append, the holder replies with a gap to each of the appends that follow it.
func (p *holderProgress) retransmitBatchesNow(now time.Time) {
	if now.Sub(p.lastForcedRetransmit) < p.backoff {
		return
	}
	p.lastForcedRetransmit = now
	p.retransmitAt = now
}

// addProgress starts to track the replication progress of the journal holder m, unless it is tracked already.
func (o *Owner) addProgress(m HolderID) {
	if o.progressOf(m) == nil {
		o.progress = append(o.progress, &holderProgress{HolderID: m, backoff: o.retransmitInterval()})
	}
}

// progressOf returns the replication progress of the journal holder m, or nil if m is in no holder set of the
// generation.
func (o *Owner) progressOf(m HolderID) *holderProgress {
	for _, p := range o.progress {
		if p.SameIncarnation(m) {
			return p
		}
	}
	return nil
}

// LostHolders returns the members of the current holder set that are known to have lost the journal of the generation,
// so that the router replaces them.
func (o *Owner) LostHolders() []HolderID {
	var out []HolderID
	for _, p := range o.progress {
		if p.lost && o.Set.Has(p.HolderID) {
			out = append(out, p.HolderID)
		}
	}
	return out
}

// SetReachable records whether the router has a connection to the journal holder m and returns the messages that are
// then due at now. No message is returned for a holder without a connection, since each retransmission would repeat the
// whole backlog.
func (o *Owner) SetReachable(now time.Time, m HolderID, up bool) []Message {
	p := o.progressOf(m)
	if p == nil || p.unreachable == !up {
		return nil
	}
	p.unreachable = !up
	p.backoff = o.retransmitInterval()
	p.retransmitAt = now
	p.setChangeAt = now
	return o.dueMessages(now)
}

// dueMessages returns the messages to all journal holders that are due at now, and records them as sent.
func (o *Owner) dueMessages(now time.Time) []Message {
	var out []Message
	for _, p := range o.progress {
		if p.lost || p.unreachable {
			continue
		}
		if m, ok := o.dueJournalMessage(now, p); ok {
			out = append(out, m)
		}
		if m, ok := o.dueSetChangeMessage(now, p); ok {
			out = append(out, m)
		}
	}
	return out
}

// dueJournalMessage returns the message with the batches that a journal holder needs: new ones at once, unacknowledged
// ones after the retransmission interval. It returns false if none is due.
func (o *Owner) dueJournalMessage(now time.Time, p *holderProgress) (Message, bool) {
	behind := !p.installed || p.acked < p.sent
	switch {
	case !p.journalSent:
		return o.installMessage(now, p), true
	case behind && !now.Before(p.retransmitAt):
		o.stats.Retransmitted++
		p.backoff = min(2*p.backoff, maxRetransmit)
		if !p.installed {
			return o.installMessage(now, p), true
		}
		p.retransmitAt = now.Add(p.backoff)
		return o.appendMessage(p, p.acked), true
	case p.sent < o.journal.numBatches():
		if !behind {
			p.retransmitAt = now.Add(p.backoff)
		}
		return o.appendMessage(p, p.sent), true
	}
	return Message{}, false
}

// installMessage returns the message with the open record and the whole journal, and records it as sent.
func (o *Owner) installMessage(now time.Time, p *holderProgress) Message {
	p.journalSent = true
	p.sent = o.journal.numBatches()
	p.retransmitAt = now.Add(p.backoff)
	if o.Epoch.Number == FirstEpoch && p.sent == 0 && o.nextSet == nil {
		return o.addressTo(p, Message{Open: &OpenRequest{Record: o.Record, Set: o.Set}})
	}
	return o.addressTo(p, Message{Install: &InstallRequest{
		Record:  o.Record,
		Set:     o.Set,
		NextSet: o.nextSet,
		Batches: o.journal.allBatches(),
	}})
}

// appendMessage returns the message with up to MaxAppendBatches batches of the journal from the index from on, and
// records it as sent.
func (o *Owner) appendMessage(p *holderProgress, from int) Message {
	p.sent = min(from+MaxAppendBatches, o.journal.numBatches())
	return o.addressTo(p, Message{Append: &AppendRequest{
		FirstBatch: from,
		Offset:     int(o.journal.batchStart(from).ids),
		Batches:    o.journal.batchRange(from, p.sent),
	}})
}

// addressTo returns the message with the journal holder as its receiver, and with the request id and the epoch of the
// owner.
func (o *Owner) addressTo(p *holderProgress, m Message) Message {
	m.To = p.HolderID
	m.ID = o.Record.ID
	m.Epoch = o.Epoch
	return m
}

// valueReachedByQuorum returns the highest number that the values of a quorum of the journal holders reach or exceed.
func valueReachedByQuorum(s HolderSet, value func(HolderID) int) int {
	values := make([]int, 0, maxHolders)
	for _, m := range s.Members {
		values = append(values, value(m))
	}
	slices.Sort(values)
	return values[len(values)-s.Quorum()]
}
