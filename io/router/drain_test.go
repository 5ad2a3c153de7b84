package router

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/io/wall"
)

// Guards against a request that gets neither a response nor a refusal, because it arrives after the router has seen the end
// of its drain and the router then cuts off what is in progress.
func TestRequestAtEndOfDrainIsAnswered(t *testing.T) {
	r := &Router{Clock: wall.Clock{}, Log: zap.NewNop()}
	r.draining.Store(true)
	r.drainStart.Store(time.Now().Add(-time.Hour).UnixNano())
	if err := r.loop(t.Context()); !errors.Is(err, errDrained) {
		t.Fatal(err)
	}
	r.openRequests.Add(1)
	if r.answerTime() <= 0 {
		t.Error("a late request makes the server cut off what is in progress")
	}
}
