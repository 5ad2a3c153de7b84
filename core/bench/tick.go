package bench

import (
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/route"
)

// handleTick does the router's periodic work: it handles stalled attempts, resumes interrupted jobs, moves streams off
// slow engines and dispatches queued requests. It returns whether the run goes on.
func (r *router) handleTick() bool {
	now := r.sim.now
	r.table.Tick(now)
	var stalled []*attempt
	for _, a := range r.openAttempts {
		if now.Sub(a.lastTokenAt) > r.tokenTimeout(a) {
			stalled = append(stalled, a)
		}
	}
	for _, a := range stalled {
		reason := common.RetrySilent
		if !a.connected {
			reason = common.RetryConnect
		}
		r.handleAttemptLoss(a, reason)
	}
	r.startResumes()
	if !r.isBaseline() {
		r.moveStreams()
		r.dispatchQueued()
	}
	return r.sim.hasOpenJobs()
}

// tokenTimeout returns how long the attempt to run a job on an engine may wait for its connection or its next token.
func (r *router) tokenTimeout(a *attempt) time.Duration {
	switch {
	case !a.connected:
		return connectTimeout
	case a.received > 0 || r.isBaseline():
		return a.detector.Timeout()
	case r.sim.policy.ideal:
		return maxRunTime
	}
	return firstTokenTimeout
}

// firstTokenTimeout is the longest time to the first token of an attempt to run a job on an engine. It is long because
// an engine's queue can hold a request for most of callerWait, and limited because a resume must continue within 4 s
// in total.
const firstTokenTimeout = 2000 * time.Millisecond

// moveStreams moves output streams of the router from slow engines to others.
func (r *router) moveStreams() {
	slow := route.NameSet{}
	for _, e := range r.table.Endpoints() {
		if e.Slowed() {
			slow[e.Name] = struct{}{}
		}
	}
	for _, m := range r.table.ProposeMoves(r.sim.now) {
		a := r.openAttemptOf(m.Stream)
		if a == nil {
			continue
		}
		r.sim.stats.moveCount++
		r.cancelAttempt(a)
		a.job.nextCause = causeMove
		r.startAttempt(a.job, slow)
	}
}

// openAttemptOf returns the router's open attempt that produces the stream, or nil.
func (r *router) openAttemptOf(s *route.Stream) *attempt {
	for _, a := range r.openAttempts {
		if a.stream == s {
			return a
		}
	}
	return nil
}
