package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/wire"
)

const (
	// grantTimeout bounds the time in which the keepers grant extra attempts. A stream that loses its engine may pause for 0.7 s.
	grantTimeout = 100 * time.Millisecond
	// grantPause is the time after a request of which not all was granted in which no other is sent. It doubles up to maxGrantPause while
	// nothing is granted, which is also the pause after no reply, as from keepers of an earlier version.
	grantPause    = 50 * time.Millisecond
	maxGrantPause = 400 * time.Millisecond
	// denialLogInterval is the least time between two lines that say that a service's retry budget is used up.
	denialLogInterval = time.Second
)

// errNoKeeper means that this relay follows no keeper that could grant extra attempts.
var errNoKeeper = eris.New("no keeper is followed")

// serviceRetries holds the retry budget of a service. The relay's mutex mu guards it.
type serviceRetries struct {
	budget place.RetryBudget
	// grants holds the requests for extra attempts beyond the relay's own part, by cause.
	grants map[place.RetryCause]*grantQueue
	// denialLoggedAt is the uptime at which a denied attempt was last logged; zero if none was.
	denialLoggedAt time.Duration
}

// grantQueue collects the requests that wait for a grant, so that one message asks for all of them.
type grantQueue struct {
	relay   *Relay
	service string
	cause   place.RetryCause
	// waiting receive whether an attempt was granted. isAsking is true while a keeper is asked.
	waiting  []chan bool
	isAsking bool
	// pausedUntil is the uptime until which no grant is asked for, and pause the latest time between two requests.
	pausedUntil time.Duration
	pause       time.Duration
}

// retriesOf returns the retries of a service. The caller must hold the relay's mutex mu.
func (r *Relay) retriesOf(service string) *serviceRetries {
	s := r.retries[service]
	if s == nil {
		s = &serviceRetries{
			budget: place.RetryBudget{RetryLimit: r.RetryLimit, SlackFrom: r.slackFrom},
			grants: map[place.RetryCause]*grantQueue{},
		}
		for _, cause := range []place.RetryCause{place.AfterLoss, place.AfterRefusal} {
			s.grants[cause] = &grantQueue{relay: r, service: service, cause: cause}
		}
		r.retries[service] = s
	}
	s.budget.Relays = r.retryRelays.Largest(r.uptime())
	return s
}

// countRequest counts a caller's request, which raises the service's retry budget.
func (r *Relay) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retriesOf(service).budget.CountRequest(r.uptime())
}

// retryUses returns what this relay has counted for each service, for the keepers' part of the retry budgets.
func (r *Relay) retryUses() (uses []place.RetryUse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.retries {
		if u := s.budget.Use(name, r.uptime()); u != (place.RetryUse{Service: name}) {
			uses = append(uses, u)
		}
	}
	return uses
}

// spendRetry takes an extra attempt of the request from the retry budget of its service: from this relay's own part, or else from what the
// keepers grant. It returns false if neither allows it.
func (q *request) spendRetry(cause place.RetryCause) bool { return q.spendRetryWithin(q.ctx, cause) }

// spendRetryWithin does the same, and asks the keepers only until ctx ends.
func (q *request) spendRetryWithin(ctx context.Context, cause place.RetryCause) bool {
	if q.hasPaidRetry.Swap(false) {
		return true
	}
	r := q.relay
	r.mu.Lock()
	s := r.retriesOf(q.service)
	paidBy := ""
	if s.budget.Spend(cause, r.uptime()) {
		paidBy = "own"
	}
	r.mu.Unlock()
	if paidBy == "" && s.grants[cause].await(ctx) {
		paidBy = "granted"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.uptime()
	if paidBy != "" {
		r.meter.scope.Tagged(map[string]string{"reason": string(cause), "paid-by": paidBy}).Counter("retries-paid").Inc(1)
		q.log.Info("retry-paid", append(s.fields(q.service, cause, now), zap.String("paid-by", paidBy))...)
		return true
	}
	r.meter.countReason("retries-denied", string(cause))
	if s.denialLoggedAt == 0 || now-s.denialLoggedAt >= denialLogInterval {
		s.denialLoggedAt = now
		q.log.Info("retry-denied", s.fields(q.service, cause, now)...)
	}
	return false
}

// await returns whether the keepers have granted an extra attempt. It returns false at once if they have just denied one.
func (g *grantQueue) await(ctx context.Context) bool {
	r := g.relay
	r.mu.Lock()
	if r.uptime() < g.pausedUntil {
		r.mu.Unlock()
		return false
	}
	granted := make(chan bool, 1)
	g.waiting = append(g.waiting, granted)
	if !g.isAsking {
		g.isAsking = true
		go g.run()
	}
	r.mu.Unlock()
	select {
	case ok := <-granted:
		return ok
	case <-ctx.Done():
		return false
	}
}

// run asks the keepers for as many attempts as requests wait for, until none waits.
func (g *grantQueue) run() {
	r := g.relay
	var waiting []chan bool
	defer func() { g.denyAll(waiting) }()
	defer r.guard.Recover("retry-grants")
	for {
		r.mu.Lock()
		waiting = g.waiting
		g.waiting = nil
		g.isAsking = len(waiting) > 0
		r.mu.Unlock()
		if len(waiting) == 0 {
			return
		}
		n, err := g.ask(len(waiting))
		g.recordReply(len(waiting), n, err)
		for i, granted := range waiting {
			granted <- i < n
		}
	}
}

// denyAll denies the requests that wait, and those that were being asked for, if the queue ends by a panic.
func (g *grantQueue) denyAll(asked []chan bool) {
	g.relay.mu.Lock()
	defer g.relay.mu.Unlock()
	if len(asked) == 0 {
		// Another run may ask already.
		return
	}
	for _, granted := range append(asked, g.waiting...) {
		select {
		case granted <- false:
		default:
			// It has been told.
		}
	}
	g.waiting, g.isAsking = nil, false
}

// recordReply records how many of the attempts that were asked for the keepers have granted, or why they did not reply.
func (g *grantQueue) recordReply(asked, granted int, err error) {
	r := g.relay
	if err != nil {
		r.meter.countReason("grants-failed", string(g.cause))
		r.Log.Info("grant-failed", zap.String("service", g.service), zap.String("cause", string(g.cause)), zap.Int("asked", asked), zap.Error(err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.uptime()
	var remote *wire.RemoteError
	switch {
	case granted == asked:
		g.pause = 0
	case err != nil && !errors.As(err, &remote):
		g.pause = maxGrantPause
	default:
		g.pause = min(maxGrantPause, max(grantPause, 2*g.pause))
	}
	g.pausedUntil = now + g.pause
	r.retriesOf(g.service).budget.AddGranted(g.cause, granted, now)
}

// ask asks the followed keeper for n extra attempts and returns how many are granted.
func (g *grantQueue) ask(n int) (int, error) {
	link := g.relay.feed.followedLink()
	if link == nil {
		return 0, errNoKeeper
	}
	ctx, cancel := context.WithTimeout(g.relay.ctx, grantTimeout)
	defer cancel()
	var out wire.RetryGrant
	req := wire.RetryGrantRequest{Relay: g.relay.feed.name, Service: g.service, Cause: g.cause, Attempts: n}
	if err := link.Call(ctx, wire.KindRetryGrant, "", req, &out); err != nil {
		return 0, fmt.Errorf("ask a keeper for extra attempts: %w", err)
	}
	return min(n, max(0, out.Attempts)), nil
}

// fields returns what a decision on an extra attempt was based on, for the log.
func (s *serviceRetries) fields(service string, cause place.RetryCause, now time.Duration) []zap.Field {
	status := s.budget.Status(now)
	return []zap.Field{
		zap.String("service", service), zap.String("cause", string(cause)), zap.Float64("share", status.Share),
		zap.Float64("after-losses", status.Losses), zap.Float64("after-refusals", status.Refusals), zap.Float64("granted", status.Granted),
		zap.Int("relays", s.budget.Relays), zap.Duration("uptime", now),
	}
}
