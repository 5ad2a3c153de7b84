package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// predictWait returns the predicted time until a new request starts. The tokens ahead of it are the predicted output
// tokens of its own account's queued requests, plus those of the requests that each other account is due to start
// before the request's virtual start time.
func (a *Admission) predictWait(t *Ticket, now time.Time) time.Duration {
	if a.capacity.FreeLong > a.queuedRequests || t.Short && a.capacity.FreeShort > a.queuedReserved ||
		t.MayUseReserved && a.capacity.FreeReserved > a.queuedReserved {
		return 0
	}
	acct := t.account
	virtualTurn := max(acct.virtualStart, a.virtualTime)
	ownTokens := acct.queuedTokens
	if t.MayUseReserved {
		ownTokens = 0
		for _, queued := range acct.reservedQueue.tickets[acct.reservedQueue.head:] {
			if queued.state == StateQueued {
				ownTokens += float64(queued.PredictedTokens)
			}
		}
	}
	virtualTurn += ownTokens / acct.effectiveWeight(a.Routers, now)
	tokensAhead := ownTokens
	for _, other := range a.backlogged {
		if other == acct {
			continue
		}
		tokensAhead += min(other.queuedTokens, max(0, (virtualTurn-other.virtualStart)*other.effectiveWeight(a.Routers, now)))
	}
	return a.predictTimeToStart(tokensAhead, t)
}

// predictTimeToStart returns the predicted time until a slot is free for the request, after the requests with the given
// number of predicted tokens ahead of it have started.
func (a *Admission) predictTimeToStart(tokensAhead float64, t *Ticket) time.Duration {
	requestsAhead := 0
	if a.queuedRequests > 0 {
		requestsAhead = int(math.Ceil(tokensAhead / (a.queuedTokens / float64(a.queuedRequests))))
	}
	// FreeLong is negative if several routers started requests at the same time and together exceeded the capacity.
	requestsAhead += max(0, -a.capacity.FreeLong)
	// Add one standard deviation: the number of requests that end in a period varies by about its square root.
	if index := requestsAhead + int(math.Sqrt(float64(requestsAhead))+0.5); index < len(a.capacity.PredictedEnds) {
		return a.capacity.PredictedEnds[index]
	}
	if a.capacity.TokensPerSecond <= 0 {
		return math.MaxInt64
	}
	return time.Duration((tokensAhead + float64(t.PredictedTokens)) / a.capacity.TokensPerSecond * float64(time.Second))
}

// compareAccountName compares the account's name with the given name, for a binary search among accounts sorted by
// name.
func compareAccountName(acct *account, name string) int { return cmp.Compare(acct.name, name) }

// addBackloggedAccount inserts the account into the sorted list of accounts with queued requests.
func (a *Admission) addBackloggedAccount(acct *account) {
	i, ok := slices.BinarySearchFunc(a.backlogged, acct.name, compareAccountName)
	if !ok {
		a.backlogged = slices.Insert(a.backlogged, i, acct)
	}
}

// removeBackloggedAccount removes the account from the list of accounts with queued requests.
func (a *Admission) removeBackloggedAccount(acct *account) {
	i, ok := slices.BinarySearchFunc(a.backlogged, acct.name, compareAccountName)
	if ok {
		a.backlogged = slices.Delete(a.backlogged, i, i+1)
	}
}
