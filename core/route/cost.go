package route

import "time"

// Parameters of the predicted cost and time to first token. While it generates one token on each slot, an engine can
// prefill about 20 tokens per slot, so a prefilled token counts as 1/20 of a generated one.
const (
	// PrefillWeight is the cost of a prefilled token relative to a generated one.
	PrefillWeight = 0.05
	// firstTokenOverhead is the fixed part of the time to the first token, expressed as a number of prefilled tokens.
	firstTokenOverhead = 512
	// defaultSecondsPerPrefillToken is the assumed prefill time per token, in seconds, until a first token has been
	// measured.
	defaultSecondsPerPrefillToken = 0.0001
)

// Cost returns the predicted time to complete the request on the endpoint. Its unit is the time that an endpoint with
// health 1 takes per generated token.
func (t *Table) Cost(e *Endpoint, req *Request, _ time.Time) float64 {
	slots := float64(e.slotCount())
	cost := e.Tokens()/slots + float64(req.OutputTokens)
	cost += float64(req.PrefillTokens-t.CachedTokens(e, req)) * PrefillWeight
	if excess := e.Streams() - t.slotLimit(e, req) + 1; excess > 0 {
		cost += float64(excess) * (e.Tokens() + defaultTokensLeft) / slots
	}
	return cost / e.health.score
}

// PredictTimeToFirstToken returns the predicted time from the start of the request on the endpoint to its first token.
func (t *Table) PredictTimeToFirstToken(e *Endpoint, req *Request) time.Duration {
	perToken := t.secondsPerPrefillToken.value(defaultSecondsPerPrefillToken)
	seconds := perToken * float64(req.PrefillTokens-t.CachedTokens(e, req)+firstTokenOverhead)
	if excess := e.Streams() - e.slotCount() + 1; excess > 0 {
		gap := t.medianGap
		if gap <= 0 {
			gap = defaultTokenGap
		}
		seconds += float64(excess) * t.meanTokensLeft() * gap / float64(e.slotCount())
	}
	return time.Duration(seconds / e.health.score * float64(time.Second))
}

// PredictTimeToFirstTokenIdle returns the predicted time from the start of the request to its first token on an
// endpoint with a free slot and no cached part of the prompt.
func (t *Table) PredictTimeToFirstTokenIdle(req *Request) time.Duration {
	seconds := t.secondsPerPrefillToken.value(defaultSecondsPerPrefillToken) * float64(req.PrefillTokens+firstTokenOverhead)
	return time.Duration(seconds * float64(time.Second))
}
