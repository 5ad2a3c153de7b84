package router

import (
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/poison"
	"wasabiweir/io/guard"
	"wasabiweir/io/wall"
)

// An engine that still accepts connections for a moment after it has reset them must count as crashed.
func TestEndingEngineIsCrashed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	recorded := 0
	r := &Router{crashes: guard.Guard{
		Clock: wall.Clock{}, Log: zap.NewNop(), Metrics: tally.NoopScope, Send: func(list []poison.Crash) { recorded += len(list) },
	}}
	done := make(chan time.Time, 1)
	c := &crashCheck{
		router: r, request: "r", parts: []string{"own"}, loss: poison.Loss{LastSign: time.Now()}, done: done,
		attempt: &attempt{name: "e", address: l.Addr().String()},
	}
	time.AfterFunc(lossRecheckDelay/4, func() { _ = l.Close() })
	c.run(t.Context())
	<-done
	if recorded != 1 {
		t.Errorf("%d crashes are recorded, want one", recorded)
	}
}
