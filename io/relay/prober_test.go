package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/wall"
)

// endingEngine responds to one request for its report and then no more, like a process that ends.
type endingEngine struct {
	EngineClient
	requests atomic.Int64
}

// Report fails after the first request.
func (e *endingEngine) Report(context.Context, string) (EngineReport, error) {
	if e.requests.Add(1) > 1 {
		return EngineReport{}, errors.New("connection refused")
	}
	return EngineReport{}, nil
}

// An engine that still responds for a moment after it has reset its connections must count as lost.
func TestEndingEngineIsLost(t *testing.T) {
	r := &Relay{Clock: wall.Clock{}, Log: zap.NewNop(), Engines: &endingEngine{}, ctx: t.Context()}
	r.meter.initMetrics(nil)
	r.pool.initPool(r)
	r.prober.initProber(r)
	if !r.prober.isLostSince(t.Context(), place.Endpoint{ID: "e"}, time.Now()) {
		t.Error("the engine counts as sound")
	}
}
