package stream

import (
	"time"

	"wasabiweir/core/table"
)

// Defaults of the fields of a Holder.
const (
	// DefaultHolderBytes is the default of Holder.MaxBytes.
	DefaultHolderBytes = 512 << 20
	// DefaultRetention is the default of Holder.Retention.
	DefaultRetention = 2 * time.Minute
	// DefaultAbandonAfter is the default of Holder.AbandonAfter.
	DefaultAbandonAfter = 10 * time.Minute
	// DefaultTombstoneAfter is the default of Holder.TombstoneAfter. Until then, a late message cannot create an
	// evicted journal again, which would lack the promises that the holder gave for it.
	DefaultTombstoneAfter = time.Hour
	// DefaultMaxTombstones is the maximum number of tombstones, the ids of evicted journals.
	DefaultMaxTombstones = 200_000
)

const (
	// entryOverheadBytes is an estimate of the memory that a stored journal takes besides its prompt, parameters and
	// batches.
	entryOverheadBytes = 512
	// admissionShare is the fraction of Holder.MaxBytes above which new journals are refused, so that existing ones can
	// still grow.
	admissionShare = 0.9
)

// Holder stores the journals of generations in the memory of a router, for that router and for others.
type Holder struct {
	// Router is the name of this router.
	Router string
	// Incarnation changes with each start of the router; messages to another incarnation are refused, because a restart
	// loses the journals.
	Incarnation uint64
	// MaxBytes is the maximum memory of all journals in bytes.
	MaxBytes int
	// Retention is the time for which a finished journal is kept after its last use.
	Retention time.Duration
	// AbandonAfter is the time without any message after which an unfinished journal is evicted.
	AbandonAfter time.Duration
	// TombstoneAfter is the time after the eviction of a journal for which messages for its generation are refused.
	TombstoneAfter time.Duration

	entries         table.Table[string, journalEntry]
	tombstones      tombstones
	finishedQueue   idQueue
	lastAbandonScan time.Time
	stats           HolderStats
}

// HolderStats counts what a Holder keeps, refuses and evicts.
type HolderStats struct {
	// Entries, Tombstones and Bytes describe what the holder keeps now: the number of journals, the number of
	// remembered ids of evicted journals, and the memory in bytes.
	Entries    int
	Tombstones int
	Bytes      int

	// Appends and Tokens count the append messages that added batches, and the tokens of these batches.
	Appends int
	Tokens  int

	// These four count refused messages to the holder by the status of the reply.
	StaleRefused     int
	RestartedRefused int
	FullRefused      int
	InvalidRefused   int

	// These four count evicted journals by reason: retention time over, memory needed, no owner, and removed on
	// request.
	EvictedRetention int
	EvictedMemory    int
	EvictedAbandoned int
	Forgotten        int
}

// journalEntry is the stored journal of one generation, with the highest epoch that the holder promised for it, the
// epoch of the last accepted write, and its holder sets.
type journalEntry struct {
	id       string
	record   OpenRecord
	promised Epoch
	accepted Epoch
	journal  journal
	set      HolderSet
	nextSet  *HolderSet
	// closed is true once the owner has sent a CloseRequest.
	closed bool
	// lastUsed is the time of the last message for the generation that was not refused as stale.
	lastUsed time.Time
	// bytes is the memory of this journal that is included in HolderStats.Bytes.
	bytes int
}

// ended reports whether no more output of the generation follows, so that its journal may be evicted after the
// retention time.
func (e *journalEntry) ended() bool { return e.closed || e.journal.finished() }

// sizeBytes returns an estimate of the memory that the stored journal takes.
func (e *journalEntry) sizeBytes() int {
	return entryOverheadBytes + len(e.record.Prompt)*tokenBytes + len(e.record.Parameters) + e.journal.sizeBytes()
}

// Stats returns the holder's counts since it was created and the size of its present content.
func (h *Holder) Stats() HolderStats {
	s := h.stats
	s.Entries = h.entries.Len()
	s.Tombstones = h.tombstones.len()
	return s
}

// ID returns the identity by which holder sets name this journal holder, with the given address of the router.
func (h *Holder) ID(address string) HolderID {
	return HolderID{Router: h.Router, Incarnation: h.Incarnation, Address: address}
}

// Handle applies a message from the owner of a generation, or from a router that takes it over, that arrived at the
// time now, and returns the reply for its sender.
func (h *Holder) Handle(now time.Time, m Message) Reply {
	r := Reply{From: m.To, ID: m.ID, Epoch: m.Epoch}
	r.From.Address = ""
	if m.To.Router != h.Router || m.To.Incarnation != h.Incarnation {
		h.stats.RestartedRefused++
		r.Status = StatusRestarted
		return r
	}
	if m.Check() != nil {
		h.stats.InvalidRefused++
		r.Status = StatusInvalid
		return r
	}
	if h.tombstones.has(m.ID) {
		r.Status = StatusGone
		return r
	}
	e := h.entries.Get(m.ID)
	if e != nil && m.Epoch.Less(e.promised) {
		h.stats.StaleRefused++
		r.Status = StatusStale
		e.fillReply(&r)
		r.State = e.holderSetsIfRequested(m.Promise != nil)
		return r
	}
	if e == nil {
		if r.Status = h.admitNewEntry(now, m); r.Status != StatusAccepted {
			return r
		}
		e = h.entries.Put(m.ID, journalEntry{id: m.ID})
	}
	wasEnded := e.ended()
	e.lastUsed = now
	r.Status = h.applyMessage(e, m)
	e.fillReply(&r)
	if m.Promise != nil {
		r.State = e.acceptedState()
	}
	if e.ended() && !wasEnded {
		h.finishedQueue.push(e.id, now)
	}
	h.updateUsedBytes(e)
	if m.Close != nil && m.Close.Forget {
		h.stats.Forgotten++
		h.evictEntry(now, e)
	}
	return r
}

// admitNewEntry returns StatusAccepted if the message may create the journal of a generation that this holder does not
// know, and the status of the refusal otherwise.
func (h *Holder) admitNewEntry(now time.Time, m Message) ReplyStatus {
	if m.Append != nil || m.SetChange != nil || m.Close != nil {
		return StatusMissing
	}
	if !h.makeRoom(now, int(admissionShare*float64(h.maxBytes()))) {
		h.stats.FullRefused++
		return StatusFull
	}
	return StatusAccepted
}

// applyMessage changes a stored journal as the message asks; the caller has checked that the epoch of the message is
// not lower than the promised one.
func (h *Holder) applyMessage(e *journalEntry, m Message) ReplyStatus {
	switch {
	case m.Promise != nil:
		e.promised = m.Epoch
		return StatusPromised
	case m.Open != nil:
		return e.installJournal(m.Epoch, m.Open.Record, m.Open.Set, nil, nil)
	case m.Install != nil:
		return e.installJournal(m.Epoch, m.Install.Record, m.Install.Set, m.Install.NextSet, m.Install.Batches)
	}
	if e.accepted != m.Epoch {
		return StatusMissing
	}
	switch {
	case m.Append != nil:
		return h.appendBatches(e, *m.Append)
	case m.SetChange != nil:
		e.applySetChange(*m.SetChange)
	case m.Close != nil:
		e.closed = true
	}
	return StatusAccepted
}

// appendBatches adds the batches of an append request that the stored journal does not have yet. The others need no
// comparison, since all batches of one epoch come from the same owner.
func (h *Holder) appendBatches(e *journalEntry, a AppendRequest) ReplyStatus {
	existing := e.journal.numBatches()
	if a.FirstBatch > existing || a.FirstBatch < 0 {
		return StatusGap
	}
	if int(e.journal.batchStart(a.FirstBatch).ids) != a.Offset {
		return StatusMissing
	}
	skip := min(existing-a.FirstBatch, len(a.Batches))
	if skip == len(a.Batches) {
		return StatusAccepted
	}
	if e.ended() {
		return StatusGone
	}
	if !h.makeRoom(e.lastUsed, h.maxBytes()) {
		h.stats.FullRefused++
		return StatusFull
	}
	for _, b := range a.Batches[skip:] {
		e.journal.addBatch(b)
		h.stats.Tokens += len(b.IDs)
	}
	h.stats.Appends++
	return StatusAccepted
}

// installJournal replaces the stored journal with that of the owner at the given epoch. If a journal was installed at
// that epoch before, only the missing batches are added.
func (e *journalEntry) installJournal(epoch Epoch, record OpenRecord, set HolderSet, next *HolderSet, batches []Batch) ReplyStatus {
	e.promised = epoch
	if e.accepted != epoch {
		e.accepted = epoch
		e.record = record
		e.journal = journal{}
		e.closed = false
		e.nextSet = nil
	}
	for i := e.journal.numBatches(); i < len(batches); i++ {
		e.journal.addBatch(batches[i])
	}
	if e.set.Number < set.Number {
		e.set = set
	}
	if next != nil {
		e.applySetChange(SetChangeRequest{Next: *next})
	}
	return StatusAccepted
}

// applySetChange stores a prepared or committed holder set, unless its number is not higher than that of the committed
// holder set that the journal already has.
func (e *journalEntry) applySetChange(c SetChangeRequest) {
	if c.Next.Number <= e.set.Number {
		return
	}
	if c.Committed {
		e.set = c.Next
	} else if e.nextSet == nil || e.nextSet.Number < c.Next.Number {
		e.nextSet = &c.Next
	}
	if e.nextSet != nil && e.nextSet.Number <= e.set.Number {
		e.nextSet = nil
	}
}

// fillReply sets the fields of the reply that describe the stored journal.
func (e *journalEntry) fillReply(r *Reply) {
	r.PromisedEpoch = e.promised
	r.SetNumber = e.set.Number
	if e.nextSet != nil {
		r.NextNumber = e.nextSet.Number
	}
	if e.accepted == r.Epoch {
		r.AcceptedBatches = e.journal.numBatches()
	}
}

// acceptedState returns the accepted journal and the holder sets, which the reply to a promise request carries.
func (e *journalEntry) acceptedState() *JournalState {
	return &JournalState{
		AcceptedEpoch: e.accepted,
		Record:        e.record,
		Set:           e.set,
		NextSet:       e.nextSet,
		Batches:       e.journal.allBatches(),
	}
}

// holderSetsIfRequested returns a State with the sets of journal holders only, or nil if they are not requested. A
// refused transfer needs them to find the members of a newer holder set.
func (e *journalEntry) holderSetsIfRequested(requested bool) *JournalState {
	if !requested {
		return nil
	}
	return &JournalState{Set: e.set, NextSet: e.nextSet}
}
