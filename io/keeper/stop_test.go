package keeper

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/stand"
	"wasabiweir/io/wall"
)

// emptyLister is a list of no endpoints.
type emptyLister struct{}

// Read returns the list.
func (emptyLister) Read(context.Context) ([]place.Endpoint, error) { return nil, nil }

// Guards against an operator's request that ends without an answer, because the keeper stops while there is no quorum.
func TestPutDuringStopIsAnswered(t *testing.T) {
	self, operators := stand.FreeAddress(), stand.FreeAddress()
	seeds := []string{self, stand.FreeAddress(), stand.FreeAddress()}
	k := &Keeper{
		PeerAddress: self, Seeds: func() []string { return seeds }, Bootstrap: true, PeerKey: "test-key-of-the-peers", DataDir: t.TempDir(),
		Decode:         func([]byte) (*state.State, error) { return &state.State{Version: 1}, nil },
		EndpointLister: emptyLister{}, Clock: wall.Clock{}, Log: zap.NewNop(),
	}
	began := make(chan struct{}, 1)
	k.Servers = []Server{{Address: operators, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		if err := k.PutConfiguration(context.WithoutCancel(r.Context()), []byte("{}")); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	for begin := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", operators); err == nil {
			_ = c.Close()
			break
		}
		if time.Since(begin) > 10*time.Second {
			t.Fatal("the keeper does not listen")
		}
	}
	go func() { <-began; stop() }()
	res, err := http.Post("http://"+operators, "application/json", http.NoBody)
	if err != nil {
		t.Errorf("the request ended without an answer: %v", err)
	} else {
		_ = res.Body.Close()
		if res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d", res.StatusCode)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
