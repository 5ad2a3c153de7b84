package admit

import "time"

// Resume registers a request that is already running, such as a generation that another router started, and returns its
// ticket. It is never refused and charges nothing, because the account was charged when the request was first admitted.
func (a *Admission) Resume(r Request, now time.Time) *Ticket {
	t := &Ticket{Request: r, account: a.ensureAccount(r.Account), Deadline: now}
	t.PredictedTokens, t.Short = a.outputHistory.predictOutput(&r)
	t.state = StateRunning
	t.startedAt = now
	t.account.inFlight++
	a.running.addTicket(t)
	return t
}
