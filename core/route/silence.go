package route

import "time"

const (
	// trialInterval is the time between two streams that are moved to an endpoint which has no others, to find out whether it is sound.
	trialInterval = time.Second
	// minQuiet is the time without any token from which on an endpoint that should send some may have been silent.
	minQuiet = time.Second
	// quietFactor is the ratio of the time to the first token to the predicted one from which on a silence explains it better than
	// the prefill.
	quietFactor = 4
)

// ReserveReplacement reports whether the stream, whose endpoint is silent, is to be given up because another attempt may follow: an
// endpoint of the service that is not in the set exclude accepts the request and is not known to be silent. A sound endpoint may be
// silent for a second or so and then goes on, so that giving up its streams for others that are silent too repeats work for
// nothing. An endpoint on which no token is awaited takes only one stream until it sends one.
func (t *Table) ReserveReplacement(s *Stream, exclude NameSet, now time.Time) bool {
	var idle *Endpoint
	version := s.beganAtSoftware()
	for _, e := range t.ordered {
		if e.Service != s.Service || e.Unavailable() || exclude.Has(e.Name) || e.lacksModel(s.Model) || !e.runsSoftware(version) || !e.acceptsRequest(now) {
			continue
		}
		// After a silence, the other streams of the endpoint, and those of others that were silent with it, go on within moments.
		if t.isSending(e, now) && now.Sub(e.quietEnd) >= aliveWindow {
			return true
		}
		if len(e.streams) == 0 && now.Sub(e.trialAt) >= trialInterval {
			idle = e
		}
	}
	if idle == nil {
		return false
	}
	idle.trialAt = now
	return true
}

// beganAtSoftware returns the software version that began the stream's generation, or an empty string if any may go on with it.
func (s *Stream) beganAtSoftware() string {
	if s.Software == "" && s.generatedTokens > 0 {
		return s.Endpoint.SoftwareVersion()
	}
	return s.Software
}

// isSending reports whether a token of a stream on the endpoint has arrived within aliveWindow.
func (t *Table) isSending(e *Endpoint, now time.Time) bool {
	for _, s := range e.streams {
		if s.generatedTokens > 0 && t.tokenGap(s, now) <= aliveWindow {
			return true
		}
	}
	return false
}

// SeemsSilent reports whether this router awaits tokens of streams on the endpoint and none has arrived within aliveWindow.
func (t *Table) SeemsSilent(e *Endpoint, now time.Time) bool {
	for _, s := range e.streams {
		if s.generatedTokens > 0 {
			return !t.isSending(e, now)
		}
	}
	return false
}

// recordSign records that a token has arrived from the endpoint, and whether it was quiet before while a stream waited.
func (e *Endpoint) recordSign(now time.Time) {
	if now.Sub(e.lastSign) >= minQuiet {
		for _, s := range e.streams {
			if now.Sub(s.startedAt) >= minQuiet {
				e.quietEnd = now
			}
		}
	}
	e.lastSign = now
}

// waitedInSilence reports whether the stream, whose first token arrives now, has waited for its endpoint's silence rather than for
// its prefill. Two silences in a row, with no shorter prefill between them, are taken for slow prefills.
func (t *Table) waitedInSilence(s *Stream, now time.Time) bool {
	e := s.Endpoint
	silent := !e.quietEnd.Before(s.startedAt) && now.Sub(s.startedAt) > quietFactor*t.PredictTimeToFirstTokenIdle(&s.Request) &&
		(e.skippedQuiet.IsZero() || e.skippedQuiet.Equal(e.quietEnd))
	e.skippedQuiet = time.Time{}
	if silent {
		e.skippedQuiet = e.quietEnd
	}
	return silent
}
