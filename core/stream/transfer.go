package stream

import (
	"time"

	"wasabiweir/core/common"
)

const (
	// DefaultMaxTransferEpochs is the default of Transfer.MaxEpochs.
	DefaultMaxTransferEpochs = 8
	// backoffStep is the unit of the pause after a refusal.
	backoffStep = 10 * time.Millisecond
	// backoffVariants is the number of different first pauses. Concurrent transfers mostly get different ones, so that
	// one of them succeeds before the others raise the epoch again.
	backoffVariants = 7
)

// Transfer makes this router the owner of a generation. Set the exported fields and call Start, then call Handle,
// MarkLost and Tick as replies arrive, holders are lost and time passes, until Result returns an owner or an error.
type Transfer struct {
	// Router is the name of this router.
	Router string
	// Nonce is a number that differs for each transfer that this router starts.
	Nonce uint64
	// Cursor is the cursor that the caller sent; it names the journal holders.
	Cursor Cursor
	// Retransmit is the interval between transmissions of the same message.
	Retransmit time.Duration
	// MaxEpochs is the maximum number of epochs that are tried while other routers transfer the same generation.
	MaxEpochs int

	// epoch is the epoch that the holders are asked to promise.
	epoch   Epoch
	holders []*holderAnswer
	// epochsTried is the number of epochs that a holder refused as stale.
	epochsTried int
	// retryAt is the time before which no request is sent.
	retryAt time.Time
	owner   *Owner
	err     error
}

// holderAnswer is the answer of one holder to the promise request of a transfer, as far as it is known.
type holderAnswer struct {
	HolderID
	// state is the state that came with the promise, or nil without a promise.
	state *State
	// lost is true when the holder has lost the journal.
	lost bool
	// refused is true when the holder answered but cannot promise, for example because its memory is full.
	refused bool
	// askAt is the time at which the request is sent again.
	askAt time.Time
}

// Start returns the first promise requests, which go to the holders in the cursor.
func (t *Transfer) Start(now time.Time) []Message {
	t.epoch = Epoch{Number: max(t.Cursor.Epoch, FirstEpoch) + 1, Router: t.Router, Nonce: t.Nonce}
	t.addHolders(t.Cursor.Set)
	return t.dueRequests(now)
}

// Result returns the new owner or the error, a *common.Refusal; both are nil while the transfer is in progress. The
// first Flush of the owner writes the journal back to the holders, and its Release returns the batches after the
// cursor.
func (t *Transfer) Result() (*Owner, error) { return t.owner, t.err }

// Epoch returns the epoch that the holders are asked to promise.
func (t *Transfer) Epoch() Epoch { return t.epoch }

// GiveUp ends a transfer that did not get the promises of a quorum in time. The caller may try again, since the journal
// is not known to be lost.
func (t *Transfer) GiveUp() {
	if !t.ended() {
		t.err = journalUnavailableRefusal("no quorum of the journal holders answered in time")
	}
}

// MarkLost records that the holder m has lost its journals and returns the requests that are due at now.
func (t *Transfer) MarkLost(now time.Time, m HolderID) []Message {
	for _, a := range t.holders {
		if a.SameIncarnation(m) && a.state == nil {
			a.lost = true
		}
	}
	return t.evaluate(now)
}

// Tick returns the requests that are due at now.
func (t *Transfer) Tick(now time.Time) []Message { return t.evaluate(now) }

// Handle applies the reply of a holder and returns the requests that are then due at now.
func (t *Transfer) Handle(now time.Time, r Reply) []Message {
	if t.ended() || r.ID != t.Cursor.ID || r.Epoch != t.epoch {
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
		t.raiseEpoch(now, r)
	case StatusRestarted, StatusGone:
		a.lost = a.state == nil
	case StatusFull, StatusInvalid:
		a.refused = a.state == nil
	case StatusAccepted, StatusMissing, StatusGap:
		// Holders do not reply to a promise request with these.
	}
	return t.evaluate(now)
}

// raiseEpoch handles a stale reply: it chooses a higher epoch, to be requested after a pause, and discards the promises
// of the lower one. It ends the transfer with an error after MaxEpochs epochs.
func (t *Transfer) raiseEpoch(now time.Time, r Reply) {
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
	t.retryAt = now.Add(t.backoff())
	for _, a := range t.holders {
		a.state = nil
		a.askAt = t.retryAt
	}
	if r.State != nil {
		t.addHolders(r.State.Set)
	}
}

// backoff returns a pause that grows with each epoch tried and depends on the router name and the nonce, so that
// concurrent transfers mostly wait for different times.
func (t *Transfer) backoff() time.Duration {
	hash := t.Nonce
	for _, c := range t.Router {
		hash = hash*31 + uint64(c)
	}
	return backoffStep * time.Duration(1+hash%backoffVariants) * time.Duration(t.epochsTried)
}

// ended reports whether the transfer has an owner or an error.
func (t *Transfer) ended() bool { return t.owner != nil || t.err != nil }

// answerOf returns the answer of the member, or nil if the member is not asked.
func (t *Transfer) answerOf(m HolderID) *holderAnswer {
	for _, a := range t.holders {
		if a.SameIncarnation(m) {
			return a
		}
	}
	return nil
}

// addHolders adds the members of a set to the holders that are asked for a promise.
func (t *Transfer) addHolders(s HolderSet) {
	for _, m := range s.Members {
		if t.answerOf(m) == nil {
			t.holders = append(t.holders, &holderAnswer{HolderID: m, askAt: t.retryAt})
		}
	}
}

// recovery is the state of a generation as the answers of the holders show it.
type recovery struct {
	// set is the committed holder set, nextSet a prepared one or nil.
	set     HolderSet
	nextSet *HolderSet
	// latest has the journal to continue.
	latest *State
}

// chooseRecovery chooses, from the answers so far, the committed set with the highest number, the journal that was
// accepted at the highest epoch (the longest of these) and the set that was prepared at that epoch. A set prepared only
// at a lower epoch is ignored: no quorum of the old set acknowledged it, since such a quorum would share a member with
// the quorum that promised the higher epoch, and the owner at that epoch would have continued with the set.
func (t *Transfer) chooseRecovery() recovery {
	rec := recovery{set: t.Cursor.Set}
	for _, a := range t.holders {
		if a.state == nil {
			continue
		}
		if a.state.Set.Number > rec.set.Number {
			rec.set = a.state.Set
		}
		if rec.latest == nil || acceptedLater(a.state, rec.latest) {
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

// acceptedLater reports whether a was accepted after b: at a higher epoch or, at the same one, with more batches. At
// one epoch, the shorter journal is a prefix of the longer one.
func acceptedLater(a, b *State) bool {
	if c := a.AcceptedEpoch.Compare(b.AcceptedEpoch); c != 0 {
		return c > 0
	}
	return len(a.Batches) > len(b.Batches)
}

// evaluate adds the members of newly known holder sets, ends the transfer if the answers suffice or no more can come,
// and otherwise returns the requests that are due at now.
func (t *Transfer) evaluate(now time.Time) []Message {
	if t.ended() {
		return nil
	}
	for _, a := range t.holders {
		t.addKnownSets(a.state)
	}
	rec := t.chooseRecovery()
	if t.quorumPromised(rec.set) && (rec.nextSet == nil || t.quorumPromised(*rec.nextSet)) {
		t.finish(rec)
		return nil
	}
	if t.allAnswered() {
		t.err = t.quorumFailure()
		return nil
	}
	return t.dueRequests(now)
}

// addKnownSets adds the members of the committed and of the prepared set that a holder knows to the holders to ask.
func (t *Transfer) addKnownSets(s *State) {
	if s == nil {
		return
	}
	t.addHolders(s.Set)
	if s.NextSet != nil {
		t.addHolders(*s.NextSet)
	}
}

// quorumPromised reports whether a quorum of the set has promised the epoch.
func (t *Transfer) quorumPromised(s HolderSet) bool {
	n := 0
	for _, m := range s.Members {
		if a := t.answerOf(m); a != nil && a.state != nil {
			n++
		}
	}
	return n >= s.Quorum()
}

// allAnswered reports whether each holder has promised, has refused or is lost.
func (t *Transfer) allAnswered() bool {
	for _, a := range t.holders {
		if a.state == nil && !a.lost && !a.refused {
			return false
		}
	}
	return true
}

// quorumFailure returns the error of a transfer in which every holder has answered or is lost, without a quorum of
// promises.
func (t *Transfer) quorumFailure() error {
	for _, a := range t.holders {
		if a.refused && !a.lost {
			return journalUnavailableRefusal("a journal holder has no room for another journal")
		}
	}
	return journalLostRefusal("fewer than a quorum of the journal holders remain")
}

// finish makes this router the owner of the recovered journal. It fails if there is none or if the journal does not
// reach the cursor of the caller.
func (t *Transfer) finish(rec recovery) {
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

// dueRequests returns the promise requests that are due at now, and records them as sent.
func (t *Transfer) dueRequests(now time.Time) []Message {
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

// intOr returns n if it is positive, and the fallback otherwise.
func intOr(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
