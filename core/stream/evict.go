package stream

import "time"

// scansPerAbandonPeriod is the number of scans for abandoned journals in the time Holder.AbandonAfter. They are few,
// because a scan visits every stored journal.
const scansPerAbandonPeriod = 8

// timedGenerationID is the id of a generation with the time of an event: when its journal ended or was last used, or
// was evicted.
type timedGenerationID struct {
	id string
	at time.Time
}

// idQueue is a FIFO queue of generation ids with times. The items before the index head are already removed.
type idQueue struct {
	items []timedGenerationID
	head  int
}

func (q *idQueue) push(id string, at time.Time) {
	q.items = append(q.items, timedGenerationID{id: id, at: at})
}

func (q *idQueue) len() int { return len(q.items) - q.head }

func (q *idQueue) front() timedGenerationID { return q.items[q.head] }

// pop removes the item at the front of the queue. It moves the others to the start of the slice once more than half of
// the slice is unused.
func (q *idQueue) pop() {
	q.items[q.head] = timedGenerationID{}
	q.head++
	if q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
}

// tombstones is the set of generation ids whose journals were evicted, limited to DefaultMaxTombstones.
type tombstones struct {
	ids   map[string]struct{}
	queue idQueue
}

func (t *tombstones) len() int { return len(t.ids) }

func (t *tombstones) has(id string) bool {
	_, ok := t.ids[id]
	return ok
}

// add inserts the id of an evicted journal and, above DefaultMaxTombstones ids, drops the oldest one.
func (t *tombstones) add(id string, at time.Time) {
	if t.ids == nil {
		t.ids = make(map[string]struct{})
	}
	t.ids[id] = struct{}{}
	t.queue.push(id, at)
	for t.queue.len() > DefaultMaxTombstones {
		t.dropOldest()
	}
}

// dropOldest removes the id of the journal that was evicted first.
func (t *tombstones) dropOldest() {
	delete(t.ids, t.queue.front().id)
	t.queue.pop()
}

// removeOlderThan removes the ids of journals that were evicted before the given time.
func (t *tombstones) removeOlderThan(before time.Time) {
	for t.queue.len() > 0 && t.queue.front().at.Before(before) {
		t.dropOldest()
	}
}

// Expire evicts finished journals after Retention and abandoned ones after AbandonAfter, and removes tombstones after
// TombstoneAfter. The router calls it about once a second.
func (h *Holder) Expire(now time.Time) {
	for h.evictOldestFinished(now, now.Add(-durationOr(h.Retention, DefaultRetention))) {
		h.stats.EvictedRetention++
	}
	h.evictAbandoned(now)
	h.tombstones.removeOlderThan(now.Add(-durationOr(h.TombstoneAfter, DefaultTombstoneAfter)))
}

// evictAbandoned evicts unfinished journals that received no message for AbandonAfter: their owners are gone, and no
// caller came back to resume.
func (h *Holder) evictAbandoned(now time.Time) {
	after := durationOr(h.AbandonAfter, DefaultAbandonAfter)
	if now.Sub(h.lastAbandonScan) < after/scansPerAbandonPeriod {
		return
	}
	h.lastAbandonScan = now
	before := now.Add(-after)
	h.entries.Each(func(_ string, e *journalEntry) bool {
		if !e.ended() && e.lastUsed.Before(before) {
			h.stats.EvictedAbandoned++
			h.evictEntry(now, e)
		}
		return true
	})
}

// evictOldestFinished evicts the least recently used finished journal if its last use was before the given time, and
// reports whether it evicted one. The queue is sorted lazily: an id whose journal was used after it was queued goes to
// the end again with the later time.
func (h *Holder) evictOldestFinished(now, before time.Time) bool {
	for h.finishedQueue.len() > 0 {
		oldest := h.finishedQueue.front()
		e := h.entries.Get(oldest.id)
		if e == nil || !e.ended() || e.lastUsed.After(oldest.at) {
			h.finishedQueue.pop()
			if e != nil && e.ended() {
				h.finishedQueue.push(oldest.id, e.lastUsed)
			}
			continue
		}
		if !oldest.at.Before(before) {
			return false
		}
		h.finishedQueue.pop()
		h.evictEntry(now, e)
		return true
	}
	return false
}

// makeRoom evicts finished journals until all journals of the holder take less memory than the limit in bytes, and
// reports whether they do.
func (h *Holder) makeRoom(now time.Time, limit int) bool {
	for h.stats.Bytes >= limit {
		if !h.evictOldestFinished(now, now) {
			return false
		}
		h.stats.EvictedMemory++
	}
	return true
}

// evictEntry deletes the stored journal and adds a tombstone, so that later messages for its generation are refused.
func (h *Holder) evictEntry(now time.Time, e *journalEntry) {
	h.stats.Bytes -= e.bytes
	h.entries.Delete(e.id)
	h.tombstones.add(e.id, now)
}

// updateUsedBytes corrects the holder's count of used memory after a stored journal has changed.
func (h *Holder) updateUsedBytes(e *journalEntry) {
	n := e.sizeBytes()
	h.stats.Bytes += n - e.bytes
	e.bytes = n
}

// maxBytes returns the memory limit of all journals, Holder.MaxBytes, or its default if it is not set.
func (h *Holder) maxBytes() int {
	if h.MaxBytes > 0 {
		return h.MaxBytes
	}
	return DefaultHolderBytes
}

// durationOr returns the duration d if it is positive, and the fallback otherwise.
func durationOr(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
