package router

import (
	"maps"
	"time"

	"wasabiweir/core/route"
	"wasabiweir/core/stream"
)

const (
	// maxResumeWait is the longest time that an interrupted generation should wait in the resume queue; a longer queue
	// is emptied at a higher rate. Output must continue within 4 s of a loss in total, and detecting the stall and
	// generating the first token take the rest.
	maxResumeWait = 1500 * time.Millisecond
)

// resumeQueueKey identifies a resume queue: generations of different software versions continue on different engines.
type resumeQueueKey struct {
	service  string
	software string // version that began the generations; empty if it is unknown
}

// resumeQueue limits the rate at which interrupted generations of one service and software version resume, because
// each of them prefills its prompt and output again.
type resumeQueue struct {
	// pacer orders the sessions of the waiting generations and releases them at a limited rate.
	pacer route.Pacer[*session]
	// queuedTokens is the number of tokens to prefill of all sessions that were queued since the queue was last
	// empty.
	queuedTokens int
}

// queueResume queues an interrupted session for its next attempt. Sessions resume in order of their last output
// (due), at a rate that the engines can prefill; tokens is what the session has to prefill.
func (d *dispatcher) queueResume(s *session, due time.Time, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := resumeQueueKey{service: s.service, software: s.owner.Software()}
	p := d.resumeQueues[key]
	if p == nil {
		p = &resumeQueue{}
		d.resumeQueues[key] = p
	}
	p.pacer.Push(s, due, tokens)
	p.queuedTokens += tokens
	d.startDueResumes(key, p, d.Clock.Now())
}

// startDueResumes lets the queued sessions continue that the resume rate of the queue's engines allows at the time now.
func (d *dispatcher) startDueResumes(key resumeQueueKey, p *resumeQueue, now time.Time) {
	rate := max(d.prefillRate(key)*route.ResumePrefillFraction/float64(max(1, d.routerCount)), float64(p.queuedTokens)/maxResumeWait.Seconds())
	p.pacer.Bucket.Rate = rate
	p.pacer.Bucket.Burst = rate * route.ResumeBurst.Seconds()
	for {
		s, ok := p.pacer.Next(now)
		if !ok {
			break
		}
		select {
		case s.resumeTurn <- struct{}{}:
		default:
		}
	}
	if p.pacer.Len() == 0 {
		p.queuedTokens = 0
	}
}

// prefillRate returns the estimated number of tokens that all available engines of a service, or of one software version
// of it, prefill per second.
func (d *dispatcher) prefillRate(key resumeQueueKey) float64 {
	rate := 0.0
	for _, e := range d.table.Endpoints() {
		if e.Service == key.service && !e.Unavailable() && (key.software == "" || e.SoftwareVersion() == key.software) {
			rate += d.prefillEstimator(e.Name).Rate()
		}
	}
	return rate
}

// prefillEstimator returns the estimator of an engine's prefill time and creates it if needed.
func (d *dispatcher) prefillEstimator(name string) *stream.PrefillEstimator {
	e := d.prefillEstimators[name]
	if e == nil {
		e = &stream.PrefillEstimator{}
		d.prefillEstimators[name] = e
	}
	return e
}

// excludeLostEndpoints adds recently lost endpoints, and those that seem silent, to the excluded ones if the request is a
// resume. Only new requests test whether an endpoint has recovered, because the caller of a resume is already waiting for output.
func (d *dispatcher) excludeLostEndpoints(req *route.Request, exclude route.NameSet, now time.Time) route.NameSet {
	if !req.Resume {
		return exclude
	}
	all := d.recentlyLost(now)
	maps.Copy(all, exclude)
	for _, e := range d.table.Endpoints() {
		if d.table.SeemsSilent(e, now) {
			all[e.Name] = struct{}{}
		}
	}
	return all
}

// recentlyLost returns the names of the endpoints that were lost recently and have returned no token since.
func (d *dispatcher) recentlyLost(now time.Time) route.NameSet {
	out := route.NameSet{}
	for name, at := range d.lostEndpoints {
		if now.Sub(at) < stream.ResumeWithin {
			out[name] = struct{}{}
		}
	}
	return out
}

// recordFirstToken updates the engine's prefill rate with an attempt's time to the first token.
func (d *dispatcher) recordFirstToken(a *attempt, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	if !d.table.PausedSince(now.Add(-took), now) {
		d.prefillEstimator(a.name).Observe(a.stream.PrefillTokens, took)
	}
}

// predictFirstToken returns the predicted time to the first token of an attempt, after the prompts that already wait
// on the same engine. It assumes that every other router resumes as many generations there as this one.
func (d *dispatcher) predictFirstToken(a *attempt) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	waiting := 0
	for _, o := range d.attempts {
		if o != a && o.name == a.name && o.stream.Tokens() == 0 {
			waiting += o.stream.PrefillTokens
		}
	}
	return d.prefillEstimator(a.name).Predict(a.stream.PrefillTokens + waiting*max(1, d.routerCount))
}
