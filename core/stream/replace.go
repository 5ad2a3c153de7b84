package stream

import (
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Owner.Replace.
var (
	// ErrSuperseded means that another router has become the owner of the generation and has fenced this one.
	ErrSuperseded = eris.New("another router owns the generation")
	// ErrReplacementInProgress means that an earlier replacement of a journal holder has not ended yet.
	ErrReplacementInProgress = eris.New("a holder replacement is in progress")
	// ErrNotMember means that the journal holder to replace is not a member of the current holder set.
	ErrNotMember = eris.New("the holder is not in the set")
	// ErrAlreadyMember means that the router of the new journal holder is in the current holder set.
	ErrAlreadyMember = eris.New("the new holder is in the set already")
)

// Replace begins to replace the journal holder lost of the generation with another one and returns the messages to
// send. The replacement is complete once ReplacementInProgress returns false; until then a release needs a quorum of
// the old and one of the new holder set. Its errors are ErrSuperseded, ErrReplacementInProgress, ErrNotMember and
// ErrAlreadyMember.
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
	o.initProgress()
	next := o.Set.Replace(lost, replacement)
	o.nextSet = &next
	o.addProgress(replacement)
	if len(o.Record.Prompt) == 0 {
		return nil, nil
	}
	return o.dueMessages(now), nil
}

// ReplacementInProgress reports whether the replacement of a journal holder is in progress. After it, the router sends
// a connected caller a new cursor, because the holders in the older cursor may all be replaced and lost over time.
func (o *Owner) ReplacementInProgress() bool { return o.nextSet != nil }

// advanceSetChange takes the replacement of a journal holder to its next step if enough holders acknowledged the
// present one. The next holder set is announced as committed once a quorum of the current and one of the next set have
// prepared it and a quorum of the next set has all released batches. It becomes the current set once a quorum of it
// knows that it is committed: from then on each transfer finds the set, even if another holder is lost at once.
func (o *Owner) advanceSetChange() {
	if o.nextSet == nil {
		return
	}
	next := *o.nextSet
	if !o.committing && o.quorumAckedSetChange(o.Set, next) && o.quorumAckedSetChange(next, next) && o.batchesAckedByQuorum(next) >= o.released {
		o.committing = true
		for _, p := range o.progress {
			p.setChangeAt = time.Time{}
		}
	}
	if o.committing && o.quorumAckedSetChange(next, next) {
		o.finishSetChange(next)
	}
}

// quorumAckedSetChange reports whether a quorum of the holder set has acknowledged the present step of the change to
// the next holder set.
func (o *Owner) quorumAckedSetChange(set, next HolderSet) bool {
	return valueReachedByQuorum(set, func(m HolderID) int {
		if o.progressOf(m).hasAckedSet(next.Number, o.committing) {
			return 1
		}
		return 0
	}) > 0
}

// hasAckedSet reports whether the journal holder knows the holder set with the number as committed or, if committed is
// false, at least as prepared.
func (p *holderProgress) hasAckedSet(number uint64, committed bool) bool {
	if p == nil || !p.installed {
		return false
	}
	return p.ackedSet >= number || !committed && p.ackedNextSet >= number
}

// finishSetChange makes the next holder set the current one and stops tracking the replaced holder.
func (o *Owner) finishSetChange(next HolderSet) {
	o.Set = next
	o.nextSet = nil
	o.committing = false
	o.stats.Replacements++
	kept := o.progress[:0]
	for _, p := range o.progress {
		if next.Has(p.HolderID) {
			kept = append(kept, p)
		}
	}
	o.progress = kept
}

// dueSetChangeMessage returns the message to a journal holder with the present step of a change of the holder set, or
// false if there is no change, the holder has acknowledged the step, or the message is not due.
func (o *Owner) dueSetChangeMessage(now time.Time, p *holderProgress) (Message, bool) {
	if o.nextSet == nil || !p.installed || now.Before(p.setChangeAt) || p.hasAckedSet(o.nextSet.Number, o.committing) {
		return Message{}, false
	}
	p.setChangeAt = now.Add(o.retransmitInterval())
	return o.addressTo(p, Message{SetChange: &SetChangeRequest{Next: *o.nextSet, Committed: o.committing}}), true
}
