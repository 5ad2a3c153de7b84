package relay

import (
	"context"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/state"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

// slowDecoder decodes a document whose only byte is its version, once the test releases it.
type slowDecoder struct {
	started, release chan struct{}
	decoded          []uint64
}

func (d *slowDecoder) decode(document []byte) (*state.State, error) {
	d.started <- struct{}{}
	<-d.release
	if document[0] == 4 {
		panic("malformed")
	}
	d.decoded = append(d.decoded, uint64(document[0]))
	return &state.State{Version: uint64(document[0])}, nil
}

// Guards against a relay that falls behind large configurations in quick succession: each was read in turn on the link,
// and lists of endpoints waited for all of them. Also guards against a malformed one that ends the process.
func TestOnlyNewestStateIsApplied(t *testing.T) {
	d := &slowDecoder{started: make(chan struct{}), release: make(chan struct{})}
	r := &Relay{Decode: d.decode, Log: zap.NewNop()}
	r.guard = serve.PanicGuard{Log: r.Log}
	r.feed.initFeed(r)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.feed.loopApply(ctx) }()
	receive := func(version uint64) {
		body, err := wire.Marshal(wire.ConfigState{Version: version, Exists: true, Document: []byte{byte(version)}})
		if err != nil {
			t.Fatal(err)
		}
		r.feed.HandleFrame(nil, wire.Frame{Kind: wire.KindConfigState, Body: body})
	}
	receive(0)
	<-d.started
	for version := uint64(2); version < 4; version++ {
		receive(version)
	}
	d.release <- struct{}{}
	<-d.started
	receive(4)
	d.release <- struct{}{}
	<-d.started
	d.release <- struct{}{}
	receive(5)
	<-d.started
	d.release <- struct{}{}
	for start := time.Now(); r.feed.version.Load() != 5; time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("version %d is applied, want 5", r.feed.version.Load())
		}
	}
	if want := []uint64{0, 3, 5}; !slices.Equal(d.decoded, want) {
		t.Errorf("versions %v were read, want %v", d.decoded, want)
	}
}

// Guards against a relay that no longer finds the keepers once one of them, which has not read its disk, has named none.
func TestKeeperWithoutMembersIsNotBelieved(t *testing.T) {
	r := newTestRelay(t)
	r.Seeds = func() []string { return nil }
	for _, addresses := range [][]string{{"k1", "k2"}, nil} {
		body, err := wire.Marshal(wire.Keepers{Addresses: addresses, Relays: []string{"r1"}})
		if err != nil {
			t.Fatal(err)
		}
		r.feed.HandleFrame(nil, wire.Frame{Kind: wire.KindKeepers, Body: body})
	}
	got := r.feed.otherKeeperAddresses(nil)
	slices.Sort(got)
	if !slices.Equal(got, []string{"k1", "k2"}) {
		t.Errorf("the relay knows the keepers %v, want k1 and k2", got)
	}
}
