package tunnel

import (
	"context"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/reach"
)

// Guards against a sound carrier that is not asked for a while since a request with little time left did not wait for its answer.
func TestDeadlineOfRequestIsNoFaultOfCarrier(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	d := newTestDialer(func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
	sound, slow := "10.0.0.2:1", l.Addr().String()
	d.SetCarriers([]reach.Carrier{{Address: slow}})
	ctx, cancel := context.WithTimeout(t.Context(), carrierTimeout/5)
	defer cancel()
	if _, err := d.DialContext(ctx, "tcp", "10.0.0.1:1"); err == nil {
		t.Fatal("a connection without an answer of the carrier")
	}
	for began := time.Now(); len(d.asked) > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > time.Second {
			t.Fatal("the carrier still counts as being asked")
		}
	}
	// The second carrier keeps the first from being asked in spite of a backoff.
	d.SetCarriers([]reach.Carrier{{Address: slow}, {Address: sound}})
	d.mu.Lock()
	plan := d.table.Plan("10.0.0.1:1", time.Now())
	d.mu.Unlock()
	if !slices.Contains(plan.Carriers, slow) {
		t.Errorf("carriers %v, want %s among them", plan.Carriers, slow)
	}
}
