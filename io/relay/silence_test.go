package relay

import (
	"testing"
	"time"

	"wasabiweir/core/clock"
	"wasabiweir/core/state"
)

// Guards against a stream that waits for an engine which was lost without a reset and has been restarted: its successor responds to
// probes, and only its report shows that it does not run the stream. An engine that was silent for a moment still runs it.
func TestRestartedEngineIsLeft(t *testing.T) {
	dead, running, restarted := &livenessProbe{}, &livenessProbe{alive: true}, &livenessProbe{alive: true}
	running.report.Events = map[string]int{"r": 0}
	for name, x := range map[string]struct {
		probes []*livenessProbe
		data   bool
		leaves bool
	}{
		"no response":                 {probes: []*livenessProbe{dead}, leaves: true},
		"goes on":                     {probes: []*livenessProbe{dead, running}},
		"restarted":                   {probes: []*livenessProbe{dead, restarted}, leaves: true},
		"data since the silence":      {probes: []*livenessProbe{dead, restarted}, data: true},
		"responds, unknown to report": {probes: []*livenessProbe{restarted}},
	} {
		now := &clock.Manual{}
		now.Set(time.Unix(1000, 0))
		q := &request{relay: &Relay{Clock: now, started: now.Now()}, id: "r", route: &state.Route{}}
		q.relay.pool.initPool(q.relay)
		w := &silenceWatch{stream: &streamRequest{request: q}, conn: &endpointConn{}}
		now.Advance(time.Second)
		var cause *closeCause
		for i, p := range x.probes {
			if x.data && i > 0 {
				w.received.Add(1)
			}
			cause = w.closeReason(t.Context(), p)
		}
		if (cause != nil) != x.leaves {
			t.Errorf("%s: the cause to leave is %+v, want one: %v", name, cause, x.leaves)
		}
	}
}
