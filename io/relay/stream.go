package relay

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/origin"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
)

const (
	// resumeRetryInterval is the pause between two searches for an endpoint for a stream that has none.
	resumeRetryInterval = 25 * time.Millisecond
	// maxStartWait bounds how long a stream without an event waits for an endpoint before it is refused. It is an
	// eighth of the usual latency objective, so a caller that waits this long still meets the objective.
	maxStartWait = 500 * time.Millisecond
	// maxSilenceWait bounds how long a stream waits for an endpoint while some are silent and may go on: a sound one is silent
	// for a second or so.
	maxSilenceWait = poison.MaxSoundSilence
	// resetBackoff is the pause before a stream is sent again to the holder of its KV cache copy after a reset
	// response; it doubles each time.
	resetBackoff = 10 * time.Millisecond
	// maxResets is the number of reset responses after which the relay stops using the holder of a KV cache copy. The
	// pauses until then add up to a fifth of the usual limit on a pause between events.
	maxResets = 4
	// maxResumeWait bounds how long an interrupted stream waits for an endpoint; crashed endpoints restart within it.
	maxResumeWait = 3 * time.Second
)

// streamRequest is a request for a stream of events, with the state that is needed to resume it at another endpoint.
type streamRequest struct {
	*request
	// lastEventID is the id of the last event that the caller received; 0 before the first.
	lastEventID int64
	// resumedByCaller is true if the caller itself resumes a stream, for example after its relay was lost.
	resumedByCaller bool
	// headerSent is true once the response header was sent to the caller.
	headerSent bool
	// version is the software version of the endpoint that began the stream; empty until an event has arrived, or until the origin of a
	// stream that the caller takes up is known.
	version string
	// firstVersion is the software version of the first endpoint that may have run the request. Until an event has arrived, further
	// attempts go there if they can, so that a run which still goes on shows the version that the caller has seen.
	firstVersion string
	// resumedAttempt is the caller's attempt that got the first event of a stream that the caller takes up.
	resumedAttempt origin.Attempt
	// listIsOld is true if the list of endpoints has none of the version of a stream that the caller takes up, but is old.
	listIsOld bool
	// originRecorded is true once this attempt has told the keepers where the stream began.
	originRecorded bool
	// copies records which engine holds the latest copy of the stream's KV cache.
	copies copyTracker
	// ended is true once the stream has ended or its caller has disconnected, so that its copy can be freed.
	ended atomic.Bool
	// promptEndpoints are the ids of endpoints that still have the stream's prompt in their KV cache.
	promptEndpoints []string
	// ranAt are the endpoints that may have run the stream in earlier attempts.
	ranAt []place.Endpoint
	// resets counts the responses of copy holders that were reset before their first event.
	resets int
	// lostDomain is the failure domain of the last endpoint that failed.
	lostDomain string
	// refusals counts the endpoints that refused the stream; emptyEnds counts those that resumed it without an event
	// since the last one.
	refusals  int
	emptyEnds int
	// eventCount counts the forwarded events; resumeCount counts the attempts after an interruption.
	eventCount  int
	resumeCount int
	// timeToFirstEvent is the time from arrival to the first event; lastEventAt is when the last event was forwarded.
	timeToFirstEvent time.Duration
	lastEventAt      time.Time
	// longestPause is the longest pause between two events.
	longestPause time.Duration
}

// nextPromptEndpoint returns an endpoint that is alive and still has the stream's prompt in its KV cache, even if an
// earlier response of it was lost. Each endpoint is returned once.
func (s *streamRequest) nextPromptEndpoint(t *place.EndpointTable, now time.Time) (place.Endpoint, bool) {
	for len(s.promptEndpoints) > 0 {
		id := s.promptEndpoints[0]
		s.promptEndpoints = s.promptEndpoints[1:]
		if e, ok := t.Get(id); ok && s.mayGoOnAt(e) && t.AcceptsCached(id, now) {
			return e, true
		}
	}
	return place.Endpoint{}, false
}

// mayGoOnAt reports whether what the endpoint writes fits to the events that the caller has.
func (s *streamRequest) mayGoOnAt(e place.Endpoint) bool {
	req := place.EndpointRequirements{Version: s.requiredVersion()}
	return req.Allows(&e)
}

// requiredVersion returns the software version that an endpoint must have for the next attempt; empty if any will do.
func (s *streamRequest) requiredVersion() string { return cmp.Or(s.version, s.firstVersion) }

// serveStream forwards a stream event by event and resumes it at another endpoint when one fails.
func (q *request) serveStream() {
	s := &streamRequest{request: q}
	if id, err := strconv.ParseInt(q.r.Header.Get(q.relay.Names.LastEvent), 10, 64); err == nil {
		s.lastEventID, s.resumedByCaller = id, true
		if reason := s.findOrigin(); reason != "" {
			s.abortStream(reason)
			return
		}
		s.findCachedPrompt()
		q.log.Info("stream-resumed-by-caller", zap.Int64("last-event", id), zap.Strings("prompt-endpoints", s.promptEndpoints))
	}
	for {
		a, reason := s.nextAttempt()
		if reason != "" {
			s.abortStream(reason)
			return
		}
		result := s.run(a)
		s.recordResult(a.endpoint, result)
		s.recordStreamCrash(a, result)
		s.allowHolderRetry(a, result)
		if result.outcome == outcomeUnknown {
			s.lostDomain = a.endpoint.Domain
			s.ranAt = append(s.ranAt, a.endpoint)
			s.firstVersion = cmp.Or(s.firstVersion, a.endpoint.Version)
		}
		if result.outcome == completed {
			s.finishStream(a, result)
			return
		}
		q.relay.meter.countReason("retries", string(result.cause))
		if reason, ok := s.canContinue(result); !ok {
			s.abortStream(reason)
			return
		}
	}
}

// allowHolderRetry makes the endpoint with the copy of the stream's KV cache eligible again if its response was reset
// before the first event, since it still has the copy. The last attempt that the route allows goes to another
// endpoint.
func (s *streamRequest) allowHolderRetry(a streamAttempt, result attemptResult) {
	if a.resumeFrom == "" || result.cause != common.RetryReset || errors.Is(result.err, errNoEvent) || s.copies.get().holder.ID != a.endpoint.ID {
		return
	}
	if s.resets >= maxResets || s.attempts+1 >= s.route.MaxAttempts {
		return
	}
	delete(s.tried, a.endpoint.ID)
	s.sleep(resetBackoff << s.resets)
	s.resets++
}

// canContinue reports whether another attempt may follow a stream attempt that did not complete; otherwise it returns
// the reason why not.
func (s *streamRequest) canContinue(result attemptResult) (common.Reason, bool) {
	switch {
	case s.ctx.Err() != nil:
		return common.ReasonDeadline, false
	case s.bodyStreamed:
		return common.ReasonEndpointFailed, false
	case !s.relay.crashes.MayRetry(s.id):
		return common.ReasonCrashesEngines, false
	case result.outcome == outcomeUnknown:
		if !s.route.Repeatable() || s.bodyReader != nil || s.attempts >= max(1, s.route.MaxAttempts) {
			return common.ReasonEndpointFailed, false
		}
		if result.cause != common.RetryRefused {
			return common.ReasonRetryBudget, result.retrySpent || s.awaitRetry(place.AfterLoss)
		}
	case result.hasNoCarrier():
		return common.ReasonCutOff, s.awaitCarrier()
	case result.cause == common.RetryConnect:
		// Nothing has reached an endpoint, so the next attempt does not count against the retry budget.
		return "", true
	case result.cause != common.RetryLeaving:
		// The endpoint is full or has lost its copy. If it restarted under a new id (RetryLeaving), the next attempt
		// follows without a pause.
		s.refusals++
		if !s.headerSent && s.refusals > maxRefusals || !s.sleep(refusalBackoff<<min(s.refusals, maxRefusals)) {
			return common.ReasonOverloaded, false
		}
	}
	return common.ReasonRetryBudget, result.retrySpent || s.awaitRetry(place.AfterRefusal)
}

// awaitRetry takes an extra attempt for a stream whose attempt has failed from the retry budget. While that is used up, or no keeper grants
// one, it waits as long as for an endpoint. A stream that has not begun does not wait after a refusal, since its caller may ask again.
func (s *streamRequest) awaitRetry(cause place.RetryCause) bool {
	wait := maxStartWait
	switch {
	case s.headerSent:
		wait = maxResumeWait
	case cause == place.AfterRefusal:
		wait = 0
	}
	for until := s.relay.Clock.Now().Add(wait); !s.spendRetry(cause); {
		if s.relay.Clock.Now().After(until) || !s.sleep(resumeRetryInterval) {
			return false
		}
	}
	return true
}

// nextAttempt chooses the next endpoint for a stream: the holder of its KV cache copy if there is one, otherwise the
// endpoint with the lowest cost. It waits while no endpoint accepts requests. If there is no attempt, it returns the
// reason.
func (s *streamRequest) nextAttempt() (streamAttempt, common.Reason) {
	wait := maxStartWait
	if s.headerSent {
		wait = maxResumeWait
	}
	began := s.relay.Clock.Now()
	until := began.Add(wait)
	if s.headerSent && !s.hasUsableCopy() {
		// An engine whose response was lost may still have the prompt in its KV cache.
		s.findCachedPrompt()
	}
	for {
		if !s.passesQuarantine() {
			return streamAttempt{}, common.ReasonCrashesEngines
		}
		if a, ok := s.chooseAttempt(s.surveyCandidates()); ok {
			return a, ""
		}
		if s.isSoftwareGone() {
			return streamAttempt{}, common.ReasonSoftwareGone
		}
		if s.version == "" && s.firstVersion != "" {
			s.firstVersion = ""
			continue
		}
		now := s.relay.Clock.Now()
		if s.relay.probeSilent(s.service, nil) {
			until = began.Add(max(wait, maxSilenceWait))
		}
		if turn, limited := s.firstTurn(); limited && !s.headerSent && now.Add(turn).After(until) {
			return streamAttempt{}, common.ReasonEndpointLimit
		}
		if now.After(until) || !s.sleep(resumeRetryInterval) {
			if _, limited := s.firstTurn(); limited {
				return streamAttempt{}, common.ReasonEndpointLimit
			}
			if s.isCutOff() {
				return streamAttempt{}, common.ReasonCutOff
			}
			return streamAttempt{}, common.ReasonNoEndpoint
		}
	}
}

// findCachedPrompt searches for the engines that still have the stream's prompt in their KV cache.
//
// A relay that cannot reach engines asks none: a search through other relays takes a connection of theirs for each engine, at the moment
// when all streams of all relays that are cut off with this one need it. The engines that ran the stream go on behind the cut.
func (s *streamRequest) findCachedPrompt() {
	if s.isBehindCut() {
		s.promptEndpoints = nil
		for _, e := range slices.Backward(s.ranAt) {
			s.promptEndpoints = append(s.promptEndpoints, e.ID)
		}
		return
	}
	if len(s.parts) > 0 {
		s.promptEndpoints = s.relay.findCachedPrompt(s.ctx, s.service, s.parts[len(s.parts)-1])
	}
}

// isBehindCut reports whether the relay is cut off from all endpoints or from one that ran the stream.
func (s *streamRequest) isBehindCut() bool {
	d := &s.relay.pool.dialer
	return d.IsCutOff() || slices.ContainsFunc(s.ranAt, func(e place.Endpoint) bool { return d.IsOutOfReach(e.Address) })
}

// hasUsableCopy reports whether there is a copy of the stream's KV cache whose holder was not tried yet and accepts the
// stream.
func (s *streamRequest) hasUsableCopy() bool {
	c := s.copies.get()
	return c.exists && s.mayGoOnAt(c.holder) && !s.tried[c.holder.ID] && s.acceptsResumed(c.holder.ID)
}

// requirements returns which endpoints are suitable for the stream's prompt.
func (s *streamRequest) requirements() place.EndpointRequirements {
	n := &s.relay.Names
	return place.EndpointRequirements{
		Service: s.service, ModelEngines: true, Tokens: n.ParseTokenCount(s.header.Get(n.TokenCount)), Exclude: s.tried, LostDomain: s.lostDomain,
		Version: s.requiredVersion(),
	}
}

// chooseAttempt chooses an endpoint for a stream and another one that holds copies of its KV cache, and adds the load
// of both to the table of endpoints. A survey of candidates decides among them if there is one.
func (s *streamRequest) chooseAttempt(v *survey) (a streamAttempt, ok bool) {
	s.relay.withTable(func(t *place.EndpointTable, now time.Time) {
		if c := s.copies.get(); c.exists && s.mayGoOnAt(c.holder) && !s.tried[c.holder.ID] && t.AcceptsResumed(c.holder.ID, s.startedAt, now) {
			a.endpoint, a.resumeFrom, ok = c.holder, c.resumeFrom, true
		} else if a.endpoint, ok = s.nextPromptEndpoint(t, now); ok {
			a.promptCached = true
		} else if a.endpoint, ok = v.choose(t, s.requirements(), now); !ok && s.headerSent {
			// Endpoints that refused may have capacity again, and those that crashed may have restarted.
			clear(s.tried)
			a.endpoint, ok = t.ChooseEndpoint(s.requirements(), now)
		}
		if !ok {
			return
		}
		t.RequestStarted(a.endpoint.ID, a.needsPrefill(), now)
		if service := s.index.Service(s.service); s.route.Resumable && service != nil && service.Model != nil && service.Model.Backups {
			a.holder, a.hasHolder = t.ChooseCopyHolder(a.endpoint, s.lostDomain, now)
			if a.hasHolder {
				t.AddCopies(a.holder.ID, 1)
			}
		}
	})
	return a, ok
}

// finishStream logs a complete stream and records its metrics, or forwards an endpoint's error response if no event
// was sent.
func (s *streamRequest) finishStream(a streamAttempt, result attemptResult) {
	if !s.headerSent {
		s.writeResponse(a.endpoint, result)
		return
	}
	s.relay.meter.longestPause.RecordDuration(s.longestPause)
	s.log.Info("stream-ended", zap.String("route", s.route.Name), zap.String("endpoint", a.endpoint.ID),
		zap.Int("events", s.eventCount), zap.Int64("last-event", s.lastEventID), zap.Int("resumes", s.resumeCount),
		zap.Int("attempts", s.attempts), zap.Duration("waited", s.timeToFirstSend), zap.Duration("first", s.timeToFirstEvent),
		zap.Duration("longest-pause", s.longestPause), zap.Duration("took", s.relay.Clock.Now().Sub(s.startedAt)), s.carrierField())
}

// abortStream ends a stream for which no further attempt is possible. Once the response has begun, it resets the
// caller's connection, so that the stream does not look complete and the caller can resume it at another relay.
func (s *streamRequest) abortStream(reason common.Reason) {
	if !s.headerSent {
		s.failRequest(reason, s.retryAfter(reason))
		return
	}
	if s.isCut() {
		s.countCut("incomplete")
		reason = common.ReasonDraining
	}
	disconnected := s.r.Context().Err() != nil
	s.log.Info("stream-aborted", zap.String("reason", string(reason)), zap.Bool("caller-disconnected", disconnected),
		zap.Int64("last-event", s.lastEventID), zap.Int("resumes", s.resumeCount), zap.Int("attempts", s.attempts),
		zap.Duration("after", s.relay.Clock.Now().Sub(s.startedAt)))
	s.relay.meter.countReason("streams-broken-off", string(reason))
	if s.ctx.Err() != nil {
		s.resetCaller()
	}
	panic(http.ErrAbortHandler)
}
