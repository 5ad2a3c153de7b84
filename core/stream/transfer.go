package stream

import (
	"time"

	"wasabiweir/core/common"
)

const (
	// DefaultMaxTransferEpochs is the default of Transfer.MaxEpochs.
	DefaultMaxTransferEpochs = 8
	// backoffStep is the unit of the pause of a transfer after a holder refused its epoch as stale.
	backoffStep = 10 * time.Millisecond
	// backoffVariants is the number of different first pauses after a refusal. Concurrent transfers of a generation
	// mostly get different ones, so that one of them succeeds before the others raise the epoch again.
	backoffVariants = 7
)

// Transfer makes this router the owner of a generation. Set the exported fields and call Start, then call Handle when a
// reply arrives, MarkLost when a journal holder is lost and Tick as time passes, until Result returns an owner or an
// error.
type Transfer struct {
	// Router is the name of this router.
	Router string
	// Nonce is a number that differs for each transfer that this router starts.
	Nonce uint64
	// Cursor is the cursor that the resuming caller sent; it names the journal holders of the generation.
	Cursor Cursor
	// Retransmit is the interval between transmissions of the same promise request.
	Retransmit time.Duration
	// MaxEpochs is the maximum number of epochs that are tried while other routers transfer the same generation.
	MaxEpochs int

	// epoch is the epoch that the journal holders are asked to promise.
	epoch   Epoch
	holders []*holderAnswer
	// epochsTried is the number of epochs of this transfer that a journal holder refused as stale.
	epochsTried int
	// retryAt is the time before which no promise request is sent.
	retryAt time.Time
	owner   *Owner
	err     error
}

// holderAnswer is the answer of one journal holder to the promise request of a transfer, as far as it is known.
type holderAnswer struct {
	HolderID
	// state is the journal that came with the holder's promise, or nil without a promise.
	state *JournalState
	// lost is true when the holder has lost the journal.
	lost bool
	// refused is true when the holder answered but cannot promise, for example because its memory is full.
	refused bool
	// askAt is the time at which the promise request is sent to the holder again.
	askAt time.Time
}

// Start returns the first promise requests of a transfer, which go to the journal holders in the caller's cursor.
func (t *Transfer) Start(now time.Time) []Message {
	t.epoch = Epoch{Number: max(t.Cursor.Epoch, FirstEpoch) + 1, Router: t.Router, Nonce: t.Nonce}
	t.addHolders(t.Cursor.Set)
	return t.duePromiseRequests(now)
}

// Result returns the new owner of the generation or the error, a *common.Refusal; both are nil while the transfer is in
// progress. The first Flush of the owner writes the journal back to the holders, and its Release returns the batches
// after the cursor.
func (t *Transfer) Result() (*Owner, error) { return t.owner, t.err }

// Epoch returns the epoch that the transfer asks the journal holders to promise.
func (t *Transfer) Epoch() Epoch { return t.epoch }

// GiveUp ends a transfer that did not get the promises of a quorum of the journal holders in time. The caller may try
// again, since the journal is not known to be lost.
func (t *Transfer) GiveUp() {
	if !t.hasResult() {
		t.err = journalUnavailableRefusal("no quorum of the journal holders answered in time")
	}
}

// MarkLost records that the journal holder m has lost its journals and returns the promise requests that are due at
// now.
func (t *Transfer) MarkLost(now time.Time, m HolderID) []Message {
	for _, a := range t.holders {
		if a.SameIncarnation(m) && a.state == nil {
			a.lost = true
		}
	}
	return t.evaluateAnswers(now)
}

// Tick returns the promise requests to journal holders that are due at now.
func (t *Transfer) Tick(now time.Time) []Message { return t.evaluateAnswers(now) }

// Handle applies the reply of a journal holder to the transfer and returns the promise requests that are then due at
// now.
func (t *Transfer) Handle(now time.Time, r Reply) []Message {
	if t.hasResult() || r.ID != t.Cursor.ID || r.Epoch != t.epoch {
		return nil
	}
	a := t.answerOf(r.From)
	if a == nil {
		return nil
	}
	switch r.Status {
	case StatusPromised:
		if r.State != nil && a.state == nil {
			a.state = r.State
			a.lost = false
			a.refused = false
		}
	case StatusStale:
		t.raiseEpochAfterRefusal(now, r)
	case StatusRestarted, StatusGone:
		a.lost = a.state == nil
	case StatusFull, StatusInvalid:
		a.refused = a.state == nil
	case StatusAccepted, StatusMissing, StatusGap:
		// Holders do not reply to a promise request with these.
	}
	return t.evaluateAnswers(now)
}

// raiseEpochAfterRefusal handles a reply that refuses the epoch as stale: it chooses a higher epoch, to be requested
// after a pause, and discards the promises of the lower one. It ends the transfer with an error after MaxEpochs epochs.
func (t *Transfer) raiseEpochAfterRefusal(now time.Time, r Reply) {
	if !t.epoch.Less(r.PromisedEpoch) {
		return
	}
	t.epochsTried++
	if t.epochsTried >= intOr(t.MaxEpochs, DefaultMaxTransferEpochs) {
		t.err = &common.Refusal{
			Reason:  common.ReasonSuperseded,
			Outcome: common.OutcomeUnknown,
			Message: "other routers keep transferring the generation",
		}
		return
	}
	t.epoch.Number = r.PromisedEpoch.Number + 1
	t.retryAt = now.Add(t.pauseAfterRefusal())
	for _, a := range t.holders {
		a.state = nil
		a.askAt = t.retryAt
	}
	if r.State != nil {
		t.addHolders(r.State.Set)
	}
}

// pauseAfterRefusal returns a pause that grows with each epoch tried and depends on the router name and the nonce, so
// that concurrent transfers mostly wait for different times.
func (t *Transfer) pauseAfterRefusal() time.Duration {
	hash := t.Nonce
	for _, c := range t.Router {
		hash = hash*31 + uint64(c)
	}
	return backoffStep * time.Duration(1+hash%backoffVariants) * time.Duration(t.epochsTried)
}

// hasResult reports whether the transfer has an owner or an error.
func (t *Transfer) hasResult() bool { return t.owner != nil || t.err != nil }

// answerOf returns the answer of the journal holder m to the promise request, or nil if m is not asked.
func (t *Transfer) answerOf(m HolderID) *holderAnswer {
	for _, a := range t.holders {
		if a.SameIncarnation(m) {
			return a
		}
	}
	return nil
}

// addHolders adds the members of a holder set to the journal holders that are asked for a promise.
func (t *Transfer) addHolders(s HolderSet) {
	for _, m := range s.Members {
		if t.answerOf(m) == nil {
			t.holders = append(t.holders, &holderAnswer{HolderID: m, askAt: t.retryAt})
		}
	}
}

// recoveredState is the state of a generation as the answers of the journal holders to a transfer show it.
type recoveredState struct {
	// set is the committed set of journal holders, nextSet a prepared one or nil.
	set     HolderSet
	nextSet *HolderSet
	// latest has the journal that the new owner continues.
	latest *JournalState
}

// chooseRecoveredState chooses, from the answers so far, the committed holder set with the highest number, the journal
// that was accepted at the highest epoch (the longest of these) and the next holder set that was prepared at that
// epoch. A holder set prepared only at a lower epoch is ignored: no quorum of the old set acknowledged it, since such a
// quorum would share a member with the quorum that promised the higher epoch, and the owner at that epoch would have
// continued with the set.
func (t *Transfer) chooseRecoveredState() recoveredState {
	rec := recoveredState{set: t.Cursor.Set}
	for _, a := range t.holders {
		if a.state == nil {
			continue
		}
		if a.state.Set.Number > rec.set.Number {
			rec.set = a.state.Set
		}
		if rec.latest == nil || wasAcceptedLater(a.state, rec.latest) {
			rec.latest = a.state
		}
	}
	for _, a := range t.holders {
		if a.state == nil || a.state.NextSet == nil || a.state.AcceptedEpoch != rec.latest.AcceptedEpoch {
			continue
		}
		if a.state.NextSet.Number == rec.set.Number+1 {
			rec.nextSet = a.state.NextSet
		}
	}
	return rec
}

// wasAcceptedLater reports whether the journal in a was accepted after that in b: at a higher epoch or, at the same
// one, with more batches. At one epoch, the shorter journal is a prefix of the longer one.
func wasAcceptedLater(a, b *JournalState) bool {
	if c := a.AcceptedEpoch.Compare(b.AcceptedEpoch); c != 0 {
		return c > 0
	}
	return len(a.Batches) > len(b.Batches)
}

// evaluateAnswers adds the members of newly known holder sets, ends the transfer if the answers of the journal holders
// suffice or no more can come, and otherwise returns the promise requests that are due at now.
func (t *Transfer) evaluateAnswers(now time.Time) []Message {
	if t.hasResult() {
		return nil
	}
	for _, a := range t.holders {
		t.addHoldersKnownTo(a.state)
	}
	rec := t.chooseRecoveredState()
	if t.quorumPromised(rec.set) && (rec.nextSet == nil || t.quorumPromised(*rec.nextSet)) {
		t.becomeOwner(rec)
		return nil
	}
	if t.allHoldersAnswered() {
		t.err = t.noQuorumError()
		return nil
	}
	return t.duePromiseRequests(now)
}

// addHoldersKnownTo adds the members of the committed and of the prepared holder set in the state s to the journal
// holders that are asked for a promise.
func (t *Transfer) addHoldersKnownTo(s *JournalState) {
	if s == nil {
		return
	}
	t.addHolders(s.Set)
	if s.NextSet != nil {
		t.addHolders(*s.NextSet)
	}
}

// quorumPromised reports whether a quorum of the holder set has promised the epoch of the transfer.
func (t *Transfer) quorumPromised(s HolderSet) bool {
	n := 0
	for _, m := range s.Members {
		if a := t.answerOf(m); a != nil && a.state != nil {
			n++
		}
	}
	return n >= s.Quorum()
}

// allHoldersAnswered reports whether each journal holder has promised the epoch, has refused it or is lost.
func (t *Transfer) allHoldersAnswered() bool {
	for _, a := range t.holders {
		if a.state == nil && !a.lost && !a.refused {
			return false
		}
	}
	return true
}

// noQuorumError returns the error of a transfer in which every journal holder has answered or is lost, without a quorum
// of promises.
func (t *Transfer) noQuorumError() error {
	for _, a := range t.holders {
		if a.refused && !a.lost {
			return journalUnavailableRefusal("a journal holder has no room for another journal")
		}
	}
	return journalLostRefusal("fewer than a quorum of the journal holders remain")
}

// becomeOwner makes this router the owner of the generation with the recovered journal. It fails if there is no journal
// or if the journal does not reach the cursor of the caller.
func (t *Transfer) becomeOwner(rec recoveredState) {
	if rec.latest == nil || rec.latest.AcceptedEpoch == (Epoch{}) {
		t.err = journalLostRefusal("no holder has the open record")
		return
	}
	o := &Owner{
		Record:     rec.latest.Record,
		Epoch:      t.epoch,
		Set:        rec.set,
		Retransmit: t.Retransmit,
		journal:    newJournal(rec.latest.Batches),
		nextSet:    rec.nextSet,
	}
	o.recoveredBatches = o.journal.numBatches()
	if err := o.ResumeAfter(t.Cursor); err != nil {
		t.err = err
		return
	}
	o.finishAtMaxTokens()
	t.owner = o
}

// duePromiseRequests returns the promise requests that are due at now, and records them as sent.
func (t *Transfer) duePromiseRequests(now time.Time) []Message {
	if now.Before(t.retryAt) {
		return nil
	}
	var out []Message
	for _, a := range t.holders {
		if a.state != nil || a.lost || a.refused || now.Before(a.askAt) {
			continue
		}
		a.askAt = now.Add(durationOr(t.Retransmit, DefaultRetransmit))
		out = append(out, Message{To: a.HolderID, ID: t.Cursor.ID, Epoch: t.epoch, Promise: &PromiseRequest{}})
	}
	return out
}

// intOr returns the number n if it is positive, and the fallback otherwise.
func intOr(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
