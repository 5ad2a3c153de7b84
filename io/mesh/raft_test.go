package mesh

import (
	"errors"
	"testing"

	"wasabiweir/core/raft"
	"wasabiweir/io/wire"
)

// Guards against messages that are attributed to the wrong member: identities are valid only for the link on which they
// were received, and change when the member at either end has a new disk.
func TestIdentitiesOfBatches(t *testing.T) {
	var s Receiver
	one, two := &wire.Link{Name: "one"}, &wire.Link{Name: "two"}
	a := identityPair{From: raft.ID{Name: "control-1", Disk: "a"}, To: raft.ID{Name: "control-2", Disk: "x"}}
	b := identityPair{From: raft.ID{Name: "control-1", Disk: "b"}, To: raft.ID{Name: "control-2", Disk: "x"}}
	if _, err := s.addIdentities(one, &raftBatch{Messages: make([]raft.Message, 1)}); !errors.Is(err, errNoIdentities) {
		t.Fatalf("first batch without identities: %v, want errNoEnds", err)
	}
	for i, c := range []struct {
		link *wire.Link
		sent *identityPair
		want identityPair
	}{{one, &a, a}, {one, nil, a}, {two, &b, b}, {one, nil, a}, {one, &b, b}, {one, nil, b}} {
		got, err := s.addIdentities(c.link, &raftBatch{Identities: c.sent, Messages: make([]raft.Message, 2)})
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range got {
			if (identityPair{m.From, m.To}) != c.want {
				t.Errorf("batch %d is from %s to %s, want %+v", i, m.From, m.To, c.want)
			}
		}
	}
}
