package admit

import (
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/table"
)

// Admission is the admission control and request queue of one router. The exported fields must be set before first use.
// It is not safe for concurrent use.
type Admission struct {
	// Routers is the number of live routers; it determines this router's share of an account's limits while no lease on
	// a granted share is valid.
	Routers int
	// WaitFraction is the fraction of a caller's longest wait within which a request must be predicted to start; zero
	// means DefaultWaitFraction.
	WaitFraction float64

	accounts       table.Table[string, account]
	backlogged     []*account // accounts with queued requests, sorted by name
	outputHistory  outputHistory
	capacity       Capacity
	virtualTime    float64 // fair queueing: the highest virtual start of the started requests
	queuedRequests int
	queuedReserved int     // queued requests that may use the capacity reserved for short ones
	queuedTokens   float64 // predicted output tokens of all queued requests
	running        runningRequests
	suspended      []*Ticket
}

// DefaultWaitFraction is the default of Admission.WaitFraction. It is below 1 because requests of other accounts can
// arrive later and still start earlier.
const DefaultWaitFraction = 0.6

// reservedWaitFraction is the least WaitFraction for requests that may use the capacity reserved for short requests. It
// is larger than the default because hardly any later request starts before them.
const reservedWaitFraction = 0.9

// Bounds of the Retry-After time that a refused caller is told.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// SetLimit sets the limits of a client account, which apply to all routers together.
func (a *Admission) SetLimit(name string, l AccountLimit, now time.Time) {
	acct := a.ensureAccount(name)
	acct.limit = l
	acct.updateTokenBucket(a.Routers, now)
}

// SetShare grants this router a fraction (0 to 1) of the account's limits for five seconds.
func (a *Admission) SetShare(name string, share float64, now time.Time) {
	acct := a.ensureAccount(name)
	acct.share = share
	acct.shareExpires = now.Add(accountShareLease)
	acct.updateTokenBucket(a.Routers, now)
}

// SetCapacity sets how many requests the router may start next, with the prediction of when it may start more.
func (a *Admission) SetCapacity(c Capacity) { a.capacity = c }

// Queued returns the number of requests that are queued on this router.
func (a *Admission) Queued() int { return a.queuedRequests }

// ensureAccount returns this router's state of the client account with the name, and creates it if there is none.
func (a *Admission) ensureAccount(name string) *account {
	acct := a.accounts.Ensure(name)
	acct.name = name
	return acct
}

// Predict returns the predicted output length of the request in tokens and whether it counts as a short request.
func (a *Admission) Predict(r *Request) (tokens int, short bool) {
	return a.outputHistory.predictOutput(r)
}

// Enqueue queues the request, or refuses it with a *common.Refusal whose outcome is not-run.
func (a *Admission) Enqueue(r Request, now time.Time) (*Ticket, error) {
	if r.MaxWait <= 0 {
		r.MaxWait = DefaultMaxWait
	}
	t := &Ticket{Request: r, account: a.ensureAccount(r.Account)}
	t.PredictedTokens, t.Short = a.outputHistory.predictOutput(&r)
	t.MayUseReserved = t.Short || a.isBelowFairShare(t.account, now)
	t.Deadline = now.Add(r.MaxWait - r.TimeToFirstToken)
	t.account.updateTokenBucket(a.Routers, now)
	t.account.demand.addTokens(float64(t.PredictedTokens), now)
	if a.capacity.Slots == 0 {
		return nil, newNotRunRefusal(common.ReasonNoEndpoint, "service", "no endpoint of the service accepts work", minRetryAfter)
	}
	if err := a.checkAccountLimits(t, now); err != nil {
		return nil, err
	}
	if err := a.checkPredictedStart(t, now); err != nil {
		return nil, err
	}
	a.enqueue(t, now)
	return t, nil
}

// checkAccountLimits returns a refusal if this router's share of the account's limits does not allow the request to
// start by its deadline. It also sets the time at which the account's token rate allows the start.
func (a *Admission) checkAccountLimits(t *Ticket, now time.Time) error {
	acct := t.account
	t.readyAt = now
	if acct.limit.TokensPerSecond > 0 {
		// The account's token bucket only has to be non-negative: a request may overdraw it, which delays the requests
		// after it. That is enough to limit the rate, and a request longer than the burst could otherwise never start.
		wait := acct.bucket.Wait(now, 0)
		t.readyAt = now.Add(wait)
		if t.readyAt.After(t.Deadline) {
			return newNotRunRefusal(common.ReasonAccountLimit, "tokens-per-second", "the account's token rate is used up", wait)
		}
	}
	n := acct.maxInFlight(a.Routers, now)
	if n == 0 || acct.inFlight+acct.queueLength() < n {
		return nil
	}
	ahead := float64(acct.inFlight+acct.queueLength()-n+1) / float64(n)
	wait := time.Duration(ahead * acct.meanDuration * float64(time.Second))
	if acct.meanDuration == 0 || now.Add(wait).After(t.Deadline) {
		return newNotRunRefusal(common.ReasonAccountLimit, "max-in-flight", "the account's concurrent requests are used up", wait)
	}
	return nil
}

// checkPredictedStart returns a refusal if the request is predicted to start later than the allowed fraction of its
// caller's longest wait.
func (a *Admission) checkPredictedStart(t *Ticket, now time.Time) error {
	wait := a.predictWait(t, now)
	fraction := a.WaitFraction
	if fraction == 0 {
		fraction = DefaultWaitFraction
	}
	if t.MayUseReserved {
		fraction = max(fraction, reservedWaitFraction)
	}
	limit := time.Duration(float64(t.MaxWait)*fraction) - t.TimeToFirstToken
	if wait <= limit || wait == 0 && t.TimeToFirstToken < t.MaxWait {
		return nil
	}
	return newNotRunRefusal(common.ReasonOverloaded, "", "the predicted start is after the caller's wait", wait-limit)
}

// newNotRunRefusal returns a refusal that says that the request was not run, with a Retry-After time clamped to the
// allowed range.
func newNotRunRefusal(reason common.Reason, field, message string, after time.Duration) error {
	r := common.NewNotRunRefusal(reason, field, message)
	r.RetryAfter = min(maxRetryAfter, max(minRetryAfter, after))
	return r
}

// enqueue appends the request's ticket to its account's queue and charges its predicted tokens to the account.
func (a *Admission) enqueue(t *Ticket, now time.Time) {
	acct := t.account
	if acct.queueLength() == 0 {
		acct.virtualStart = max(acct.virtualStart, a.virtualTime)
		a.addBackloggedAccount(acct)
	}
	if acct.limit.TokensPerSecond > 0 {
		t.chargedTokens = float64(t.PredictedTokens)
		acct.bucket.Debit(now, t.chargedTokens)
	}
	acct.queueFor(t).push(t)
	acct.queuedTokens += float64(t.PredictedTokens)
	a.queuedTokens += float64(t.PredictedTokens)
	a.queuedRequests++
	if t.MayUseReserved {
		a.queuedReserved++
	}
}

// dequeue removes the request's ticket from its account's queue and sets its new state.
func (a *Admission) dequeue(t *Ticket, s TicketState) {
	acct := t.account
	t.state = s
	acct.queueFor(t).countRemoved()
	acct.queuedTokens -= float64(t.PredictedTokens)
	a.queuedTokens -= float64(t.PredictedTokens)
	a.queuedRequests--
	if t.MayUseReserved {
		a.queuedReserved--
	}
	if acct.queueLength() == 0 {
		acct.queuedTokens = 0
		a.removeBackloggedAccount(acct)
	}
	if a.queuedRequests == 0 {
		a.queuedTokens = 0
	}
}

// StartRequests returns the requests to start now, as many as the capacity allows, and marks them as running. The
// caller must report the end of each with RequestDone.
func (a *Admission) StartRequests(now time.Time) []*Ticket {
	var out []*Ticket
	for {
		t := a.startNextRequest(now)
		if t == nil {
			return out
		}
		a.capacity.FreeShort--
		if !t.Short {
			a.capacity.FreeReserved--
			a.capacity.FreeLong--
		}
		out = append(out, t)
	}
}

// hasCapacity reports whether the remaining capacity allows the request to start.
func (a *Admission) hasCapacity(t *Ticket, now time.Time) bool {
	switch {
	case t.Short:
		return a.capacity.FreeShort > 0
	case t.MayUseReserved || t.isUrgent(now):
		return a.capacity.FreeReserved > 0
	}
	return a.capacity.FreeLong > 0
}

// startNextRequest starts one suspended or queued request and returns it, or nil if none can start.
func (a *Admission) startNextRequest(now time.Time) *Ticket {
	if t := a.resumeNextSuspended(now); t != nil {
		return t
	}
	t := a.selectNextRequest(now)
	if t == nil {
		return nil
	}
	acct := t.account
	a.virtualTime = max(a.virtualTime, acct.virtualStart)
	acct.virtualStart += float64(t.PredictedTokens) / acct.effectiveWeight(a.Routers, now)
	a.dequeue(t, StateRunning)
	t.MayUseReserved = t.MayUseReserved || t.isUrgent(now)
	acct.inFlight++
	t.startedAt = now
	a.running.addTicket(t)
	return t
}

// urgentWindow is the time before its deadline in which a queued request is urgent: it starts before all others and may
// use the capacity reserved for short requests. It was admitted because it was predicted to start in time, but the
// router's share of the slots may have shrunk since then.
const urgentWindow = 600 * time.Millisecond

// selectNextRequest returns the queued request to start next, or nil: the urgent request with the earliest deadline if
// there is any, otherwise the first request of the account with the lowest virtual start time.
func (a *Admission) selectNextRequest(now time.Time) *Ticket {
	var best, urgent *Ticket
	for _, acct := range a.backlogged {
		if acct.isAtMaxInFlight(a.Routers, now) {
			continue
		}
		t := acct.nextReadyTicket(now)
		if t == nil || now.After(t.Deadline) || !a.hasCapacity(t, now) {
			continue
		}
		if t.isUrgent(now) && (urgent == nil || t.Deadline.Before(urgent.Deadline)) {
			urgent = t
		}
		if best == nil || acct.virtualStart < best.account.virtualStart {
			best = t
		}
	}
	if urgent != nil {
		return urgent
	}
	return best
}

// ExpiredRequest is a queued request that missed its deadline, with the refusal to send to its caller.
type ExpiredRequest struct {
	Ticket *Ticket
	Err    *common.Refusal
}

// Expire removes and returns the queued requests whose latest time to start, their deadline, has passed.
func (a *Admission) Expire(now time.Time) []ExpiredRequest {
	var out []ExpiredRequest
	for _, acct := range a.backlogged {
		for _, queue := range []*ticketQueue{&acct.reservedQueue, &acct.regularQueue} {
			for _, t := range queue.tickets[queue.head:] {
				if t.state == StateQueued && now.After(t.Deadline) {
					r := common.NewNotRunRefusal(common.ReasonDeadline, "", "the request did not start within the caller's wait")
					r.RetryAfter = minRetryAfter
					out = append(out, ExpiredRequest{Ticket: t, Err: r})
				}
			}
		}
	}
	for _, expired := range out {
		a.refundUnusedTokens(expired.Ticket, 0, now)
		a.dequeue(expired.Ticket, StateDone)
	}
	return out
}

// refundUnusedTokens settles the account's charge for a request that generated the given number of tokens: it returns
// to the account's token bucket what was charged beyond them.
func (a *Admission) refundUnusedTokens(t *Ticket, tokens int, now time.Time) {
	if t.chargedTokens == 0 {
		return
	}
	t.account.bucket.Debit(now, float64(tokens)-t.chargedTokens)
	t.chargedTokens = 0
}

// Progress records that a running request has generated n more tokens. Tokens beyond the predicted number are charged
// to the account as they are generated.
func (a *Admission) Progress(t *Ticket, n int, now time.Time) {
	t.generatedTokens += n
	if over := float64(t.generatedTokens) - t.chargedTokens; t.chargedTokens > 0 && over > 0 {
		t.account.bucket.Debit(now, over)
		t.chargedTokens += over
	}
}

// RequestDone records the end of a request. complete says whether it generated its whole output; only then is its
// length used for predictions. A request that is still queued, such as one whose caller has disconnected, is removed
// from the queue.
func (a *Admission) RequestDone(t *Ticket, complete bool, now time.Time) {
	switch t.state {
	case StateDone:
		return
	case StateQueued:
		a.refundUnusedTokens(t, 0, now)
		a.dequeue(t, StateDone)
		return
	case StateSuspended:
		a.removeSuspended(t)
	case StateRunning:
		a.running.removeTicket(t)
	}
	acct := t.account
	t.state = StateDone
	acct.inFlight--
	a.refundUnusedTokens(t, t.generatedTokens, now)
	seconds := now.Sub(t.startedAt).Seconds()
	if acct.meanDuration == 0 {
		acct.meanDuration = seconds
	}
	acct.meanDuration += durationSmoothing * (seconds - acct.meanDuration)
	if complete {
		a.outputHistory.recordOutput(&t.Request, t.generatedTokens)
		a.running.recordOutput(t.generatedTokens)
	}
}

// durationSmoothing is the weight of a new sample in the exponentially smoothed duration of an account's requests.
const durationSmoothing = 0.1
