package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/poison"
)

// streamAttempt is one attempt to serve a caller's stream at one endpoint.
type streamAttempt struct {
	endpoint place.Endpoint
	// resumeFrom is the header value that makes the endpoint resume from a copy of the KV cache that it holds; empty if
	// it starts without one.
	resumeFrom string
	// promptCached is true if the endpoint still has the prompt in its KV cache.
	promptCached bool
	// holder is the endpoint that gets copies of the KV cache of the stream in this attempt; it is valid if hasHolder
	// is true.
	holder    place.Endpoint
	hasHolder bool
}

// needsPrefill reports whether the endpoint must prefill the whole prompt.
func (a *streamAttempt) needsPrefill() bool { return a.resumeFrom == "" && !a.promptCached }

// run sends a stream to the endpoint of one attempt and forwards its events to the caller until the stream ends or the
// attempt fails.
func (s *streamRequest) run(a streamAttempt) attemptResult {
	start := s.relay.Clock.Now()
	w := &silenceWatch{stream: s, attempt: a, mayLeaveSlow: s.attempts+reservedAttempts < s.route.MaxAttempts, move: s.moveFrom(a.endpoint)}
	defer s.releaseAttempt(a, w)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	c, stop, failed := s.sendRequest(ctx, a.endpoint, defaultIdleTimeout, func(h http.Header) bool {
		s.setResumeHeaders(a, h)
		return true
	})
	if failed != nil {
		return *failed
	}
	defer stop()
	if s.headerSent {
		s.resumeCount++
		s.log.Info("stream-resumed", zap.String("endpoint", a.endpoint.ID), zap.String("domain", a.endpoint.Domain), zap.String("version", a.endpoint.Version),
			zap.Bool("from-copy", a.resumeFrom != ""), zap.Int64("last-event", s.lastEventID),
			zap.Duration("pause", start.Sub(s.lastEventAt)))
	}
	w.conn, w.use = c, c.use()
	w.lastActivity.Store(int64(s.relay.uptime()))
	go w.run(ctx)
	result := s.receiveStream(ctx, a, c, w)
	result.run = w.runProgress()
	// The caller of a stream that the relay cuts resumes it at another relay, so its copy is kept.
	s.ended.Store(result.outcome == completed || s.ctx.Err() != nil && !s.isCut())
	if result.outcome != completed {
		c.abort()
		if cause := w.closeCause.Load(); cause != nil {
			result.cause, result.err, result.retrySpent = cause.reason, errors.New(cause.text), true
		}
	}
	return result
}

// setResumeHeaders sets the request headers that tell the endpoint after which event to resume the stream, from which
// KV cache copy, and to which endpoint it sends copies of its own KV cache.
func (s *streamRequest) setResumeHeaders(a streamAttempt, h http.Header) {
	n := &s.relay.Names
	if s.lastEventID > 0 || s.resumedByCaller || a.resumeFrom != "" {
		h.Set(n.LastEvent, strconv.FormatInt(s.lastEventID, 10))
	}
	if a.hasHolder {
		h.Set(n.CopyTarget, a.holder.Address)
	}
	if a.resumeFrom != "" {
		h.Set(n.ResumeFrom, a.resumeFrom)
	}
}

// releaseAttempt removes a stream attempt's prompt and KV cache copy from the load that this relay counts for the
// endpoints.
func (s *streamRequest) releaseAttempt(a streamAttempt, w *silenceWatch) {
	s.relay.withTable(func(t *place.EndpointTable, _ time.Time) {
		if a.needsPrefill() && !w.firstEventSeen {
			t.PrefillDone(a.endpoint.ID)
		}
		if a.hasHolder {
			t.AddCopies(a.holder.ID, -1)
		}
	})
}

// receiveStream reads the response header of a stream from the endpoint and forwards the events that follow it.
func (s *streamRequest) receiveStream(ctx context.Context, a streamAttempt, c *endpointConn, w *silenceWatch) attemptResult {
	res, err := c.readResponse(s.r.Method, s.relay.Names.RequestID, s.id) //nolint:bodyclose // closing the connection ends the body
	if err != nil {
		return attemptResult{outcome: outcomeUnknown, cause: failureCause(err), err: err}
	}
	w.recordProgress()
	s.recordLoad(a.endpoint.ID, res)
	if res.Header.Get(s.relay.Names.NotExecuted) != "" || res.StatusCode == http.StatusMisdirectedRequest ||
		a.resumeFrom != "" && res.StatusCode == http.StatusServiceUnavailable {
		cause := common.RetryRefused
		if res.StatusCode == http.StatusMisdirectedRequest {
			cause = common.RetryLeaving
		}
		_ = c.Close()
		return attemptResult{outcome: notExecuted, cause: cause, err: errors.New(res.Status)}
	}
	if err := s.validateResponse(res); err != nil {
		return attemptResult{outcome: outcomeUnknown, cause: failureCause(err), err: err}
	}
	if res.StatusCode != http.StatusOK {
		body, complete, err := s.readBuffered(res.Body, maxBufferedResponse)
		if err == nil && complete {
			err = s.confirmEnd(ctx, a.endpoint, c, res)
		}
		if err != nil || !complete || s.headerSent || res.StatusCode >= 500 && s.canRetry() {
			return attemptResult{outcome: outcomeUnknown, cause: common.RetryRefused, err: errors.New(res.Status)}
		}
		_ = c.Close()
		return attemptResult{outcome: completed, res: res, body: body}
	}
	if err := checkStreamType(res); err != nil {
		return attemptResult{outcome: outcomeUnknown, cause: common.RetryForeign, err: err}
	}
	w.beganAt = s.relay.Clock.Now()
	return s.forwardEvents(ctx, a, c, res, w)
}

// forwardEvents sends complete events to the caller as they arrive and checks that each follows the last.
func (s *streamRequest) forwardEvents(
	ctx context.Context, a streamAttempt, c *endpointConn, res *http.Response, w *silenceWatch,
) attemptResult {
	if !s.headerSent {
		s.limitWriting()
		copyHeader(s.w.Header(), res.Header)
		s.w.WriteHeader(http.StatusOK)
		s.headerSent = true
		s.lastEventAt = s.relay.Clock.Now()
	}
	flusher := http.NewResponseController(s.w)
	events := &eventReader{br: bufio.NewReaderSize(res.Body, readBufferSize), takeBuffer: s.takeBuffer}
	idlessBytes := 0
	for {
		e, err := events.nextEvent()
		if errors.Is(err, io.EOF) && s.lastEventID == 0 {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) && len(events.buf) == 0 {
			return s.endEvents(ctx, a, c, res, w)
		}
		if err != nil {
			return attemptResult{outcome: outcomeUnknown, cause: failureCause(err), err: err}
		}
		w.recordActivity()
		if e.id < 0 {
			// Comments keep the caller's connection alive, but do not continue the stream.
			if idlessBytes += len(e.raw); idlessBytes > maxIdlessBytes {
				return attemptResult{outcome: outcomeUnknown, cause: common.RetryOversized, err: errEventSize}
			}
			if err := s.forwardEvent(w, flusher, e); err != nil {
				return attemptResult{outcome: outcomeUnknown, cause: common.RetryReset, err: err}
			}
			continue
		}
		if e.id != s.lastEventID+1 {
			// An engine that repeats events does not go on with the run that the caller has seen, but runs the request anew.
			return attemptResult{outcome: outcomeUnknown, cause: common.RetryForeign, err: errEventOrder}
		}
		if !w.firstEventSeen {
			w.firstEventSeen = true
			s.version = a.endpoint.Version
			s.recordOrigin()
			s.logResumed(a)
			s.relay.withTable(func(t *place.EndpointTable, _ time.Time) {
				if a.needsPrefill() {
					t.PrefillDone(a.endpoint.ID)
				}
				t.RecordSuccess(a.endpoint.ID)
			})
			s.copies.set(s.engineSentCopy(a))
			maintainer := &copyMaintainer{stream: s, attempt: a}
			go maintainer.run(ctx)
		}
		w.lastEventID.Store(e.id)
		w.recordProgress()
		idlessBytes = 0
		if err := s.forwardEvent(w, flusher, e); err != nil {
			return attemptResult{outcome: outcomeUnknown, cause: common.RetryReset, err: err}
		}
		s.recordForwarded(e)
		if w.runProgress().Lasted() >= poison.BeginWindow {
			s.markSound(w)
		}
	}
}

// endEvents returns the result of an attempt whose response has ended between two events.
func (s *streamRequest) endEvents(
	ctx context.Context, a streamAttempt, c *endpointConn, res *http.Response, w *silenceWatch,
) attemptResult {
	if err := s.confirmEnd(ctx, a.endpoint, c, res); err != nil {
		return attemptResult{outcome: outcomeUnknown, cause: common.RetryReset, err: err}
	}
	if !w.firstEventSeen && s.needsConfirmation() {
		return attemptResult{outcome: outcomeUnknown, cause: common.RetryReset, err: errNoEvent}
	}
	s.markSound(w)
	s.relay.pool.releaseConn(c, res)
	return attemptResult{outcome: completed, res: res}
}

// forwardEvent sends an event to the caller at once.
func (s *streamRequest) forwardEvent(w *silenceWatch, flusher *http.ResponseController, e streamEvent) error {
	w.beginForwarding()
	defer w.endForwarding()
	if _, err := s.w.Write(e.raw); err != nil {
		return fmt.Errorf("forward an event: %w", err)
	}
	if err := flusher.Flush(); err != nil {
		return fmt.Errorf("forward an event: %w", err)
	}
	return nil
}

// logResumed logs the pause between the last event that the caller got and the first event of this stream attempt.
func (s *streamRequest) logResumed(a streamAttempt) {
	if s.eventCount > 0 {
		s.log.Info("stream-goes-on", zap.String("endpoint", a.endpoint.ID), zap.String("version", a.endpoint.Version), zap.Bool("from-copy", a.resumeFrom != ""),
			zap.Duration("pause", s.relay.Clock.Now().Sub(s.lastEventAt)))
	}
}

// engineSentCopy describes the copy of the stream's KV cache that the engine of an attempt sends to the holder on its
// own while it generates.
func (s *streamRequest) engineSentCopy(a streamAttempt) cacheCopy {
	return cacheCopy{holder: a.holder, resumeFrom: s.relay.Names.ResumeFromValue(a.holder.Address, s.id), exists: a.hasHolder}
}

// needsConfirmation reports whether a resumed stream in which an attempt found nothing left must be resumed once more
// before it counts as complete. The response of an engine that has failed can look the same, and streams have no mark
// for their end.
func (s *streamRequest) needsConfirmation() bool {
	s.emptyEnds++
	return s.emptyEnds == 1 && s.route.Repeatable() && s.route.MaxAttempts > 1
}

// recordForwarded updates a stream's event count, pauses and last event id after an event was sent to the caller.
func (s *streamRequest) recordForwarded(e streamEvent) {
	now := s.relay.Clock.Now()
	if s.eventCount == 0 {
		s.timeToFirstEvent = now.Sub(s.startedAt)
		s.relay.meter.firstResponse.RecordDuration(s.timeToFirstEvent)
	} else if pause := now.Sub(s.lastEventAt); pause > s.longestPause {
		s.longestPause = pause
	}
	s.lastEventAt = now
	s.eventCount++
	s.lastEventID, s.emptyEnds = e.id, 0
}
