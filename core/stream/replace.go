package stream

import (
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Owner.Replace.
var (
	// ErrSuperseded means that another owner has fenced this one.
	ErrSuperseded = eris.New("another router owns the generation")
	// ErrReplacementInProgress means that an earlier replacement has not ended yet.
	ErrReplacementInProgress = eris.New("a holder replacement is in progress")
	// ErrNotMember means that the holder to replace is not a member of the current set.
	ErrNotMember = eris.New("the holder is not in the set")
	// ErrAlreadyMember means that the router of the new holder is in the current set.
	ErrAlreadyMember = eris.New("the new holder is in the set already")
)

// Replace begins to replace the holder lost in the set with another one and returns the messages to send. The
// replacement is complete once ReplacementInProgress returns false; until then a release needs a quorum of both sets.
// Its errors are ErrSuperseded, ErrReplacementInProgress, ErrNotMember and ErrAlreadyMember.
func (o *Owner) Replace(now time.Time, lost, replacement HolderID) ([]Message, error) {
	switch {
	case o.superseded:
		return nil, ErrSuperseded
	case o.nextSet != nil:
		return nil, ErrReplacementInProgress
	case !o.Set.Has(lost):
		return nil, ErrNotMember
	}
	for _, m := range o.Set.Members {
		if m.Router == replacement.Router && (!m.SameIncarnation(lost) || m.SameIncarnation(replacement)) {
			return nil, ErrAlreadyMember
		}
	}
	o.addPeers()
	next := o.Set.Replace(lost, replacement)
	o.nextSet = &next
	o.addPeer(replacement)
	if len(o.Record.Prompt) == 0 {
		return nil, nil
	}
	return o.dueMessages(now), nil
}

// ReplacementInProgress reports whether the replacement of a holder is in progress. After it, the router sends a
// connected caller a new cursor, because the holders in the older one may all be replaced and lost over time.
func (o *Owner) ReplacementInProgress() bool { return o.nextSet != nil }

// advanceSetChange takes a replacement to its next step if enough holders acknowledged the present one. The next set is
// announced as committed once a quorum of both sets has prepared it and a quorum of the next set has all released
// batches. It becomes the current set once a quorum of it knows that it is committed: from then on each transfer finds
// the set, even if another holder is lost at once.
func (o *Owner) advanceSetChange() {
	if o.nextSet == nil {
		return
	}
	next := *o.nextSet
	if !o.committing && o.quorumAcked(o.Set, next) && o.quorumAcked(next, next) && o.ackedBatches(next) >= o.released {
		o.committing = true
		for _, p := range o.peers {
			p.setChangeAt = time.Time{}
		}
	}
	if o.committing && o.quorumAcked(next, next) {
		o.finishSetChange(next)
	}
}

// quorumAcked reports whether a quorum of the set has acknowledged the present step of the change to the next set.
func (o *Owner) quorumAcked(set, next HolderSet) bool {
	return quorumValue(set, func(m HolderID) int {
		if o.peer(m).hasAckedSet(next.Number, o.committing) {
			return 1
		}
		return 0
	}) > 0
}

// hasAckedSet reports whether the holder knows the set with the number as committed or, if committed is false, at least
// as prepared.
func (p *peer) hasAckedSet(number uint64, committed bool) bool {
	if p == nil || !p.installed {
		return false
	}
	return p.ackedSet >= number || !committed && p.ackedNextSet >= number
}

// finishSetChange makes the next set the current one and removes the peer of the replaced holder.
func (o *Owner) finishSetChange(next HolderSet) {
	o.Set = next
	o.nextSet = nil
	o.committing = false
	o.stats.Replacements++
	kept := o.peers[:0]
	for _, p := range o.peers {
		if next.Has(p.HolderID) {
			kept = append(kept, p)
		}
	}
	o.peers = kept
}

// dueSetChangeMessage returns the message with the present step of a set change, or false if there is no change, the
// holder has acknowledged the step, or the message is not due.
func (o *Owner) dueSetChangeMessage(now time.Time, p *peer) (Message, bool) {
	if o.nextSet == nil || !p.installed || now.Before(p.setChangeAt) || p.hasAckedSet(o.nextSet.Number, o.committing) {
		return Message{}, false
	}
	p.setChangeAt = now.Add(o.retransmitInterval())
	return o.addressTo(p, Message{SetChange: &SetChangeRequest{Next: *o.nextSet, Committed: o.committing}}), true
}
