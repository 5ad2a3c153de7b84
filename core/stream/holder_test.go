package stream

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// installTestJournal stores a journal with one batch of zero token ids at the holder, and returns the status of the
// reply.
func installTestJournal(h *Holder, now time.Time, id string, tokens int, finish string) ReplyStatus {
	a := InstallRequest{Record: OpenRecord{ID: id}, Set: HolderSet{Number: 1, Members: []HolderID{h.ID("")}}}
	a.Batches = []Batch{{IDs: make([]Token, tokens), Finish: finish}}
	return h.Handle(now, Message{To: h.ID(""), ID: id, Epoch: Epoch{Number: 1, Router: "a"}, Install: &a}).Status
}

// Guards against a Holder that exceeds its memory limit, evicts unfinished journals while there are finished ones, or
// does not count its evictions.
func TestHolderEvictsFinishedBeforeItRefuses(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &Holder{Router: "a", Incarnation: 1, MaxBytes: 100_000}
	installTestJournal(h, now, "open", 2000, "")
	for i := range 50 {
		now = now.Add(time.Millisecond)
		if s := installTestJournal(h, now, fmt.Sprint("done", i), 2000, FinishStop); s != StatusAccepted {
			t.Fatalf("status %d with finished journals to evict", s)
		}
	}
	if s := h.Stats(); s.Bytes > h.MaxBytes || s.EvictedMemory != 51-s.Entries || h.entries.Get("open") == nil {
		t.Fatalf("after the finished journals: %+v", s)
	}
	for i := range 50 {
		installTestJournal(h, now.Add(time.Second), fmt.Sprint("open", i), 2000, "")
	}
	if s := h.Stats(); s.FullRefused == 0 || s.FullRefused+s.Entries != 51 || s.Bytes > h.MaxBytes {
		t.Fatalf("with open journals only: %+v", s)
	}
	h.Expire(now.Add(time.Hour))
	if s := h.Stats(); s.Entries != 0 || s.Bytes != 0 || s.EvictedAbandoned == 0 {
		t.Fatalf("after the abandon time: %+v", s)
	}
}

// Guards against the eviction of a finished journal before the retention time, in which a caller may still fetch the
// end of the answer, and against a late message that creates an evicted journal again.
func TestFinishedAnswerIsKeptForRetentionTime(t *testing.T) {
	g, o := newTestCluster(t, 2)
	c := Cursor{ID: simRequestID, Set: o.Set}
	g.wantTokens("answer", g.appendTokens(o, 1, 2), 1, 2)
	g.restart("a", 2)
	wait := func(d time.Duration) {
		g.now = g.now.Add(d)
		g.holders["b"].Expire(g.now)
		g.holders["c"].Expire(g.now)
	}
	wait(DefaultRetention - time.Second)
	g.wantTokens("after the owner's loss", g.appendTokens(g.transferOwnership("d", 1, c)), 1, 2)
	wait(DefaultRetention + time.Second)
	if s := installTestJournal(g.holders["b"], g.now, simRequestID, 1, ""); s != StatusGone {
		t.Fatalf("status %d for an evicted journal, want gone", s)
	}
	g.wantJournalLost(g.startTransfer("d", 3, c))
}

// Guards against cursors that change when they are encoded and decoded, and against damaged ones that are accepted.
func TestCursorText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Cursor{
			ID:     rapid.StringN(1, 40, 60).Draw(t, "id"),
			Offset: rapid.IntRange(0, 1<<30).Draw(t, "offset"),
			Final:  rapid.Bool().Draw(t, "final"),
			Set:    HolderSet{Number: rapid.Uint64().Draw(t, "set"), Members: []HolderID{{"a", 1, "127.0.0.1:1"}, {"b", 1 << 60, ""}}},
		}
		text := []byte(c.String())
		if got, err := ParseCursor(string(text)); err != nil || fmt.Sprint(got) != fmt.Sprint(c) {
			t.Fatalf("%v became %v: %v", c, got, err)
		}
		text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] ^= rapid.ByteRange(1, 255).Draw(t, "damage")
		var refused *CursorError
		if _, err := ParseCursor(string(text)); !errors.As(err, &refused) {
			t.Fatalf("damaged cursor gave error %v", err)
		}
	})
}

// BenchmarkHolderAppend measures the time to handle an append of one batch with one token, and the memory per batch.
func BenchmarkHolderAppend(b *testing.B) {
	const batches = 1000
	now := time.Unix(1000, 0)
	h := &Holder{Router: "a", Incarnation: 1, MaxBytes: 1 << 40}
	m := Message{To: h.ID(""), Epoch: Epoch{Number: 1, Router: "a"}}
	one := []Batch{{IDs: []Token{1}, Text: "word"}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%batches == 0 {
			m.ID = fmt.Sprint(i)
			installTestJournal(h, now, m.ID, 0, "")
		}
		m.Append = &AppendRequest{FirstBatch: 1 + i%batches, Offset: i % batches, Batches: one}
		if r := h.Handle(now, m); r.Status != StatusAccepted {
			b.Fatal(r.Status)
		}
	}
	b.ReportMetric(float64(h.Stats().Bytes)/float64(b.N), "held-B/batch")
}
