package place

import (
	"maps"
	"time"

	"wasabiweir/core/common"
)

// maxMoveTargets is the number of endpoints without a copy that MoveTargets returns.
const maxMoveTargets = 3

// Move is a stream that could leave an endpoint which sends no data, together with what may follow.
type Move struct {
	// Requirements states which other endpoints are suitable; its Exclude holds the endpoints that were tried.
	Requirements EndpointRequirements
	// From is the id of the endpoint that sends no data. FromResponds is true if it responds to probes, so that the stream may be
	// sent to it again on another connection.
	From         string
	FromResponds bool
	// Arrived is when the stream's request arrived.
	Arrived time.Time
	// Repeatable is true if the stream may be sent again, and AttemptsLeft is how often.
	Repeatable   bool
	AttemptsLeft int
	// Begun is true if the caller has got events. Then endpoints that were tried may be tried again.
	Begun bool
	// Holder is the id of the endpoint with a copy of the stream's KV cache; empty if there is none.
	Holder string
}

// MoveTargets returns the holder of the stream's copy if it could take the stream at once, otherwise other endpoints that could,
// the preferred one first, or the reason why there is none. A stream without a target stays where it is: a sound endpoint may be
// silent for a second or so, and nothing is gained by ending an attempt that no other can follow.
func (t *EndpointTable) MoveTargets(m Move, now time.Time) (targets []Endpoint, reason common.Reason) {
	if !m.Repeatable || m.AttemptsLeft < 1 {
		return nil, common.ReasonEndpointFailed
	}
	req := m.Requirements
	if m.Holder != "" && m.Holder != m.From && !req.Exclude[m.Holder] && t.AcceptsResumed(m.Holder, m.Arrived, now) {
		if e, ok := t.Get(m.Holder); ok {
			return []Endpoint{e}, ""
		}
	}
	tried := req.Exclude
	req.Exclude = map[string]bool{m.From: true}
	maps.Copy(req.Exclude, tried)
	targets = t.Candidates(req, maxMoveTargets, now)
	if len(targets) == 0 && m.Begun {
		req.Exclude = map[string]bool{m.From: !m.FromResponds}
		targets = t.Candidates(req, maxMoveTargets, now)
	}
	if len(targets) == 0 {
		return nil, common.ReasonNoEndpoint
	}
	return targets, ""
}
