package route

import (
	"time"

	"wasabiweir/core/common"
)

// Stream is one attempt to serve a request, in flight on an endpoint.
type Stream struct {
	Request
	Endpoint *Endpoint

	endpointIndex   int // index of the stream in Endpoint.streams
	generatedTokens int
	cachedTokens    int  // prompt tokens in the endpoint's cache at the start
	probe           bool // started after a backoff of the endpoint and without a token yet
	startedAt       time.Time
	lastToken       time.Time // when the last token arrived, or the start of the stream before the first one
	moveProposed    bool
}

// A stream that is close to its predicted length or beyond it is assumed to generate another quarter of its length so
// far, but at least minTokensLeft tokens, because the remainder tends to grow with the length of an output.
const (
	minTokensLeft  = 32
	overrunDivisor = 4 // the assumed remaining length is the length so far divided by this
)

// tokensLeft returns the predicted number of output tokens that the stream still generates.
func (s *Stream) tokensLeft() float64 {
	return float64(max(minTokensLeft, s.OutputTokens-s.generatedTokens, s.generatedTokens/overrunDivisor))
}

// pendingPrefill returns the number of the stream's prompt tokens that the endpoint has to prefill, or 0 once the
// prefill is done.
func (s *Stream) pendingPrefill() int {
	if s.generatedTokens > 0 {
		return 0
	}
	return s.PrefillTokens - s.cachedTokens
}

// Tokens returns the number of tokens that the attempt has generated.
func (s *Stream) Tokens() int { return s.generatedTokens }

// StartStream records that the request was sent to the endpoint and returns its stream.
func (t *Table) StartStream(req *Request, e *Endpoint, now time.Time) *Stream {
	s := &Stream{Request: *req, Endpoint: e, startedAt: now, lastToken: now, cachedTokens: t.CachedTokens(e, req)}
	if e.backoff.failures > 0 {
		s.probe = true
		e.backoff.probes++
	}
	e.addStream(s)
	return s
}

// RecordTokens records that n tokens of the stream arrived together.
func (t *Table) RecordTokens(s *Stream, n int, now time.Time) {
	e := s.Endpoint
	e.recordSign(now)
	if s.generatedTokens == 0 {
		t.recordFirstToken(s, now)
	} else {
		e.health.addSample(t.tokenGap(s, now), n, now)
	}
	e.Own.Tokens -= s.tokensLeft()
	s.generatedTokens += n
	e.Own.Tokens += s.tokensLeft()
	s.lastToken = now
	t.Budget.Earn(float64(n))
}

// recordFirstToken updates the prefill rate with the time to the first token and ends the endpoint's failure state.
func (t *Table) recordFirstToken(s *Stream, now time.Time) {
	e := s.Endpoint
	e.PendingPrefill -= s.pendingPrefill()
	e.backoff.clearFailures()
	s.probe = false
	uncached := float64(s.PrefillTokens - s.cachedTokens)
	if !t.PausedSince(s.startedAt, now) && !t.waitedInSilence(s, now) {
		t.secondsPerPrefillToken.addSample(now.Sub(s.startedAt).Seconds()*e.health.score, uncached+firstTokenOverhead)
	}
	t.Budget.Earn(uncached * PrefillWeight)
}

// FinishStream records that the stream completed or was cancelled.
func (t *Table) FinishStream(s *Stream, _ time.Time) {
	if s.probe && s.Endpoint.backoff.probes > 0 {
		s.Endpoint.backoff.probes--
	}
	s.Endpoint.removeStream(s)
}

// aliveWindow is how recently another stream must have received a token for the endpoint to count as alive when one of
// its streams is silent. It is below the smallest timeout of a silent stream.
const aliveWindow = 300 * time.Millisecond

// ForgetFailures ends the backoff of the endpoints with the address, whose failures were not their own, and returns their names.
func (t *Table) ForgetFailures(address string) (names []string) {
	for _, e := range t.Endpoints() {
		if e.Address == address {
			e.backoff.clearFailures()
			names = append(names, e.Name)
		}
	}
	return names
}

// FailStream records that the stream failed for the given reason. Connect failures, resets and silence put the endpoint
// into backoff. A refusal by the endpoint does not, and neither does the silence of one stream while others receive
// tokens, because the cause may be a single connection or a wait in the endpoint's queue.
func (t *Table) FailStream(s *Stream, reason common.Reason, now time.Time) {
	t.FinishStream(s, now)
	switch reason {
	case common.RetryConnect, common.RetryReset:
		s.Endpoint.backoff.recordFailure(now)
	case common.RetrySilent:
		if now.Sub(s.Endpoint.health.lastToken) > aliveWindow {
			s.Endpoint.backoff.recordFailure(now)
		}
	case common.RetryLeaving:
		s.Endpoint.reportedLeaving = true
	}
}
