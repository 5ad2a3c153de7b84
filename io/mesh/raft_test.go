package mesh

import (
	"errors"
	"testing"

	"wasabiweir/core/raft"
	"wasabiweir/io/wire"
)

// Guards against messages that are taken for those of another identity: a link's identities hold for that link only, and
// change when the member at either end has a new disk.
func TestIdentitiesOfBatches(t *testing.T) {
	var s Receiver
	one, two := &wire.Link{Name: "one"}, &wire.Link{Name: "two"}
	a := ends{From: raft.ID{Name: "control-1", Disk: "a"}, To: raft.ID{Name: "control-2", Disk: "x"}}
	b := ends{From: raft.ID{Name: "control-1", Disk: "b"}, To: raft.ID{Name: "control-2", Disk: "x"}}
	if _, err := s.complete(one, &raftBatch{Messages: make([]raft.Message, 1)}); !errors.Is(err, errNoEnds) {
		t.Fatalf("first batch without identities: %v, want errNoEnds", err)
	}
	for i, c := range []struct {
		link *wire.Link
		sent *ends
		want ends
	}{{one, &a, a}, {one, nil, a}, {two, &b, b}, {one, nil, a}, {one, &b, b}, {one, nil, b}} {
		got, err := s.complete(c.link, &raftBatch{Ends: c.sent, Messages: make([]raft.Message, 2)})
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range got {
			if (ends{m.From, m.To}) != c.want {
				t.Errorf("batch %d is from %s to %s, want %+v", i, m.From, m.To, c.want)
			}
		}
	}
}
