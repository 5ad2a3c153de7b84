package place

import (
	"testing"
	"time"

	"wasabiweir/core/common"
)

// A stream may leave an endpoint that sends no data only if another attempt may follow at once: the route and its attempts allow it,
// and an endpoint that is not known to be silent accepts the stream.
func TestMoveTargets(t *testing.T) {
	const from, holder, other = "e00", "e01", "e02"
	now := at(10)
	for name, x := range map[string]struct {
		change  func(m *Move, x *EndpointTable)
		targets int
		first   string
		reason  common.Reason
	}{
		"the holder":                   {func(*Move, *EndpointTable) {}, 1, holder, ""},
		"no copy":                      {func(m *Move, _ *EndpointTable) { m.Holder = "" }, 2, "", ""},
		"a silent holder":              {func(_ *Move, x *EndpointTable) { x.RecordSilence(holder, now) }, 1, other, ""},
		"a holder that responds again": {func(_ *Move, x *EndpointTable) { x.RecordSilence(holder, now); x.RecordResponse(holder) }, 1, holder, ""},
		"a holder that was tried":      {func(m *Move, _ *EndpointTable) { m.Requirements.Exclude = map[string]bool{holder: true} }, 1, other, ""},
		"not repeatable":               {func(m *Move, _ *EndpointTable) { m.Repeatable = false }, 0, "", common.ReasonEndpointFailed},
		"no attempts left":             {func(m *Move, _ *EndpointTable) { m.AttemptsLeft = 0 }, 0, "", common.ReasonEndpointFailed},
		"all others are silent": {
			func(_ *Move, x *EndpointTable) { x.RecordSilence(holder, now); x.RecordSilence(other, now) }, 0, "", common.ReasonNoEndpoint,
		},
		"all others were tried": {
			func(m *Move, _ *EndpointTable) { m.Requirements.Exclude = map[string]bool{holder: true, other: true} }, 0, "", common.ReasonNoEndpoint,
		},
		"all others were tried, begun": {func(m *Move, _ *EndpointTable) {
			m.Begun, m.Requirements.Exclude = true, map[string]bool{holder: true, other: true}
		}, 2, "", ""},
		"itself on another connection": {func(m *Move, x *EndpointTable) {
			m.Begun, m.FromResponds = true, true
			x.RecordSilence(holder, now)
			x.RecordSilence(other, now)
		}, 1, from, ""},
	} {
		table := newTable(3)
		m := Move{Requirements: EndpointRequirements{Service: "m", ModelEngines: true}, From: from, Arrived: at(9), Repeatable: true, AttemptsLeft: 1, Holder: holder}
		x.change(&m, table)
		targets, reason := table.MoveTargets(m, now)
		if len(targets) != x.targets || reason != x.reason || x.first != "" && targets[0].ID != x.first {
			t.Errorf("%s: targets are %v, reason %q", name, targets, reason)
		}
	}
}

// Only a silence ends with a response: an endpoint whose process has ended must not get requests because data of it arrive late.
func TestResponseEndsOnlySilence(t *testing.T) {
	table := newTable(3)
	now := at(10)
	table.RecordSilence("e00", now)
	table.RecordFailure("e01", true, now)
	if silent := table.SilentEndpoints("m", now); len(silent) != 1 || silent[0].ID != "e00" {
		t.Errorf("silent endpoints are %v", silent)
	}
	table.RecordResponse("e00")
	table.RecordResponse("e01")
	later := now.Add(time.Millisecond)
	if !table.IsUp("e00", later) || table.IsUp("e01", later) || len(table.SilentEndpoints("m", later)) > 0 {
		t.Errorf("up are %v and %v, want only the first", table.IsUp("e00", later), table.IsUp("e01", later))
	}
}
