package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
)

const (
	// surveySize is the number of engines that are asked for their work before a prompt is sent to one of them.
	surveySize = 3
	// surveyTimeout bounds a survey. An engine responds within a few milliseconds even if all its slots are busy; one
	// that does not may have crashed.
	surveyTimeout = 40 * time.Millisecond
)

// survey asks a few candidate engines for their current work, which includes that of other relays.
type survey struct {
	relay      *Relay
	candidates []place.Endpoint

	mu      sync.Mutex
	reports map[string]place.EngineWork
}

// engineQuery asks one engine for its work.
type engineQuery struct {
	survey   *survey
	endpoint place.Endpoint
}

// run asks the engine and adds its report to the survey; it then sends to done.
func (q *engineQuery) run(ctx context.Context, done chan<- struct{}) {
	defer q.survey.relay.guard.Recover("engine-survey")
	defer func() { done <- struct{}{} }()
	report, err := q.survey.relay.Engines.Report(q.survey.relay.withControlCall(ctx, q.endpoint), q.endpoint.Address)
	if err != nil {
		q.survey.relay.Log.Debug("survey-unanswered", zap.String("endpoint", q.endpoint.ID), zap.Error(err))
		if !errors.Is(err, ErrCallRefused) {
			// No prompt is sent to this engine, so nothing else would show that it is down.
			q.survey.relay.prober.startProbe(q.endpoint)
		}
		return
	}
	q.survey.mu.Lock()
	defer q.survey.mu.Unlock()
	q.survey.reports[q.endpoint.ID] = report.Work
}

// surveyCandidates asks the engines that could take the stream's prompt for their work. It returns nil if the stream
// can resume without a prompt, or if there is no choice.
func (s *streamRequest) surveyCandidates() *survey {
	if s.hasUsableCopy() || len(s.promptEndpoints) > 0 {
		return nil
	}
	v := &survey{relay: s.relay, reports: map[string]place.EngineWork{}}
	s.relay.withTable(func(t *place.EndpointTable, now time.Time) {
		v.candidates = t.Candidates(s.requirements(), surveySize, now)
	})
	if len(v.candidates) < 2 {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, surveyTimeout)
	defer cancel()
	done := make(chan struct{}, len(v.candidates))
	for _, e := range v.candidates {
		q := &engineQuery{survey: v, endpoint: e}
		go q.run(ctx, done)
	}
	for range v.candidates {
		<-done
	}
	return v
}

// choose returns the best of the surveyed candidates, or the endpoint with the lowest cost if there was no survey.
func (v *survey) choose(t *place.EndpointTable, req place.EndpointRequirements, now time.Time) (place.Endpoint, bool) {
	if v != nil {
		v.mu.Lock()
		defer v.mu.Unlock()
		if e, ok := t.ChooseSurveyed(req, v.candidates, v.reports, now); ok {
			return e, true
		}
	}
	return t.ChooseEndpoint(req, now)
}
