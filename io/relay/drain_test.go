package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/io/wall"
)

// Guards against a request that gets neither a response nor a refusal, because it arrives after the relay has seen the end
// of the last request and the relay then cuts off what is in progress.
func TestRequestAtEndOfDrainIsAnswered(t *testing.T) {
	r := &Relay{Clock: wall.Clock{}, Log: zap.NewNop(), StopGrace: 200 * time.Millisecond, ctx: t.Context()}
	r.feed.initFeed(r)
	r.drain.setRelay(r)
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	for name, running := range map[string]bool{"no request runs": false, "one outlasts the grace period": true} {
		if running {
			r.drain.requestStarted()
		}
		if err := r.drain.run(stopped); !errors.Is(err, errDrained) {
			t.Fatal(err)
		}
		if !running {
			r.drain.requestStarted()
		}
		if got := r.drain.endsGracefully(); got == running {
			t.Errorf("%s: the server finishes what is in progress: %t", name, got)
		}
		r.drain.requestEnded()
	}
}
