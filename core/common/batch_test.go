package common

import (
	"strconv"
	"testing"
	"time"
)

// numbered is a record of one of several things, with an age.
type numbered struct {
	thing int
	age   time.Duration
}

func (n numbered) Key() string { return strconv.Itoa(n.thing) }

func (n numbered) Aged(d time.Duration) numbered { return numbered{n.thing, n.age + d} }

// A lone record goes at once. A flood goes in few messages of bounded size, which hold the latest record of each thing with
// its age.
func TestBatchBoundsMessages(t *testing.T) {
	const things = 50
	b := Batch[numbered]{Interval: 200 * time.Millisecond}
	now := time.Unix(1000, 0)
	if got := b.Add([]numbered{{thing: 1}}, now); len(got) != 1 || got[0] != (numbered{thing: 1}) {
		t.Fatalf("the first record is sent as %v", got)
	}
	messages := 0
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		got := b.Add([]numbered{{thing: i % things}}, now)
		if len(got) == 0 {
			continue
		}
		messages++
		if len(got) != things {
			t.Errorf("a message holds %d records of %d things", len(got), things)
		}
		for _, r := range got {
			if want := time.Duration((i-r.thing)%things) * time.Millisecond; r.age != want {
				t.Errorf("the record of thing %d has the age %s, want %s", r.thing, r.age, want)
			}
		}
	}
	if messages != 5 {
		t.Errorf("%d messages in a second, want 5", messages)
	}
	if got := b.Take(now.Add(time.Second)); got != nil {
		t.Errorf("an empty batch sends %v", got)
	}
}
