package origin

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// Lifetime is the age at which a record is given up. Taking up a stream renews its record, so the lifetime only has to exceed
	// the time of one attempt, at most half a minute, and the pauses of a caller between two.
	Lifetime = 2 * time.Minute
	// maxRecords bounds the records of a table, whose oldest go first. It is Lifetime at 270 new streams per second.
	maxRecords = 1 << 15
	// freedShare is the part of a full table that is given up at once, so that the search for the oldest is rare.
	freedShare = 8
	// maxNameBytes bounds the length of the names in a record; a stream with longer ones is not recorded.
	maxNameBytes = 128
	// renewalAge is the age of a record at which a renewal is told to other processes.
	renewalAge = Lifetime / 4
)

// Attempt identifies a caller's attempt: a hash of its client account and its request id. Callers choose the ids, so the hash is too
// long to find two attempts with the same one.
type Attempt [16]byte

// NewAttempt returns the identity of the attempt with the request id by the client account, which may be empty.
func NewAttempt(account, id string) (a Attempt) {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(account)))
	h.Write(length[:])
	h.Write([]byte(account))
	h.Write([]byte(id))
	copy(a[:], h.Sum(nil))
	return a
}

// Origin is where a stream began.
type Origin struct {
	// Service is the service whose endpoint began the stream, and Version the version of its software.
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// isValid reports whether the origin is complete and within the bounds.
func (o Origin) isValid() bool {
	return o.Service != "" && o.Version != "" && max(len(o.Service), len(o.Version)) <= maxNameBytes
}

// Record is the origin of the stream of which the attempt has got the first event, or one after it.
type Record struct {
	Attempt Attempt `cbor:"3,keyasint"`
	Origin
	// Age is the time from the recording to the sending of this record.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// Key identifies the attempt.
func (r Record) Key() string { return string(r.Attempt[:]) }

// Aged returns the record as it is sent d later.
func (r Record) Aged(d time.Duration) Record {
	r.Age += d
	return r
}

// Table holds the origins of streams. It is not safe for concurrent use.
type Table struct {
	entries map[Attempt]entry
}

// entry is an origin and when it was recorded last.
type entry struct {
	Origin
	at time.Time
}

// Add records origins with their ages. A recorded origin stays as it is; a later record with the same one renews it. Add returns
// what other processes should be told.
func (t *Table) Add(list []Record, now time.Time) (news []Record) {
	for _, r := range list {
		if r.Age < 0 || r.Age >= Lifetime || !r.isValid() {
			continue
		}
		at := now.Add(-r.Age)
		e, known := t.entries[r.Attempt]
		known = known && now.Sub(e.at) < Lifetime
		if known && (e.Origin != r.Origin || !at.After(e.at)) {
			continue
		}
		if !known || at.Sub(e.at) >= renewalAge {
			news = append(news, r)
		}
		t.put(r.Attempt, entry{Origin: r.Origin, at: at}, now)
	}
	return news
}

// put stores an entry, and removes the oldest ones if the table is full.
func (t *Table) put(a Attempt, e entry, now time.Time) {
	if t.entries == nil {
		t.entries = map[Attempt]entry{}
	}
	if _, known := t.entries[a]; !known && len(t.entries) >= maxRecords {
		t.shrink(now)
	}
	t.entries[a] = e
}

// shrink removes the records that have lapsed, or the oldest ones if there are few.
func (t *Table) shrink(now time.Time) {
	times := make([]time.Time, 0, len(t.entries))
	for _, e := range t.entries {
		times = append(times, e.at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	oldest := times[len(times)/freedShare]
	for a, e := range t.entries {
		if !e.at.After(oldest) || now.Sub(e.at) >= Lifetime {
			delete(t.entries, a)
		}
	}
}

// Find returns the origin of the stream of the attempt, or false if it is not known.
func (t *Table) Find(a Attempt, now time.Time) (Origin, bool) {
	e, ok := t.entries[a]
	return e.Origin, ok && now.Sub(e.at) < Lifetime
}

// All returns all records that have not lapsed, from the oldest to the newest, so that a full table keeps the newest.
func (t *Table) All(now time.Time) []Record {
	out := make([]Record, 0, len(t.entries))
	for a, e := range t.entries {
		if age := now.Sub(e.at); age < Lifetime {
			out = append(out, Record{Attempt: a, Origin: e.Origin, Age: max(0, age)})
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(b.Age, a.Age) })
	return out
}
