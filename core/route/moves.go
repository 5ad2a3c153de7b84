package route

import (
	"cmp"
	"slices"
	"time"
)

// minTimeSavedByMove is the least predicted time that the move of a stream to another endpoint must save; smaller gains
// are within the error of the prediction.
const minTimeSavedByMove = 500 * time.Millisecond

// StreamMove is a proposal to continue a stream on another endpoint than its slowed one.
type StreamMove struct {
	Stream *Stream
	// Cost is the extra work of the move, in generated tokens, that was deducted from Table.Budget.
	Cost float64
	gain float64 // predicted time saved, in seconds
}

// ProposeMoves returns the streams of idempotent requests to move off slowed endpoints, those that save the most time
// first, as far as the budget allows; it deducts their costs. A stream is proposed only once. The caller cancels the
// attempt and resumes the stream on an endpoint from PickEndpoint, with the slowed endpoint excluded.
func (t *Table) ProposeMoves(now time.Time) []StreamMove {
	var moves []StreamMove
	for _, e := range t.ordered {
		if !e.health.slowed || e.health.smoothedGap <= t.medianGap || !t.hasMoveTarget(e, now) {
			continue
		}
		for _, s := range e.streams {
			if m, ok := t.proposeMove(s, now); ok {
				moves = append(moves, m)
			}
		}
	}
	slices.SortFunc(moves, func(a, b StreamMove) int {
		if c := cmp.Compare(b.gain, a.gain); c != 0 {
			return c
		}
		return cmp.Compare(a.Stream.ID, b.Stream.ID)
	})
	affordable := moves[:0]
	for _, m := range moves {
		if !t.Budget.SpendMove(m.Cost) {
			break
		}
		m.Stream.moveProposed = true
		affordable = append(affordable, m)
	}
	return affordable
}

// hasMoveTarget reports whether another endpoint of the slowed endpoint's software version may take its streams. Without
// one, a move would only interrupt them. During a release, all endpoints of the slower version may count as slowed.
func (t *Table) hasMoveTarget(from *Endpoint, now time.Time) bool {
	version := from.SoftwareVersion()
	if version == "" {
		return true
	}
	return slices.ContainsFunc(t.ordered, func(e *Endpoint) bool {
		return e != from && e.Service == from.Service && !e.Unavailable() && !e.health.slowed && e.acceptsRequest(now) && e.runsSoftware(version)
	})
}

// proposeMove returns the move of a stream off its slowed endpoint, or false if the stream cannot be moved, was already
// proposed or would gain too little.
func (t *Table) proposeMove(s *Stream, _ time.Time) (StreamMove, bool) {
	if s.moveProposed || !s.Idempotent || s.generatedTokens == 0 {
		return StreamMove{}, false
	}
	prefill := float64(s.PrefillTokens + s.generatedTokens)
	gain := s.tokensLeft()*(s.Endpoint.health.smoothedGap-t.medianGap) - (prefill+firstTokenOverhead)*t.secondsPerPrefillToken.value(defaultSecondsPerPrefillToken)
	if gain < minTimeSavedByMove.Seconds() {
		return StreamMove{}, false
	}
	return StreamMove{Stream: s, Cost: prefill * PrefillWeight, gain: gain}, true
}
