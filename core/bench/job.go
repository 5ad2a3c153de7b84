package bench

import (
	"time"

	"wasabiweir/core/admit"
	"wasabiweir/core/common"
)

// jobResult says how a simulated request has ended for its caller.
type jobResult int

const (
	resultNone jobResult = iota
	resultComplete
	resultRefused
	resultCallerLeft // the caller left before the first token
	resultLost       // unfinished when the run ended
)

// job is one request of a simulated run, with what its caller has observed.
type job struct {
	*arrival
	started      time.Time // when the caller sent it
	ticket       *admit.Ticket
	current      *attempt // nil while no attempt is open
	attempts     int      // number of attempts so far
	received     int      // tokens that the caller has received
	position     int      // tokens received from the current generation; baselines start again from 0
	result       jobResult
	reason       common.Reason // why it was refused
	firstTokenAt time.Time
	lastTokenAt  time.Time
	endedAt      time.Time
	gapsMS       []float64 // between consecutive tokens
	// interruptedAt and interruption are the time and kind of the current interruption; the kind is empty if there is
	// none.
	interruptedAt  time.Time
	interruption   string
	nextCause      attemptCause // why the next attempt is started
	tokensInWindow int          // tokens that the caller has received within the run's measurement window
}

// servedInTarget reports whether the job's caller received the first token within callerWait and then the whole
// answer.
func (j *job) servedInTarget() bool {
	return j.result == resultComplete && j.firstTokenAt.Sub(j.started) <= callerWait
}

// Kinds of interruption of an output stream, as the report names them: a connection reset, a silent engine and the
// loss of a failure domain.
const (
	interruptionReset  = "reset"
	interruptionSilent = "silent"
	interruptionDomain = "domain"
)

// interruptionStats holds samples of the interruptions of output streams of one kind.
type interruptionStats struct {
	latenciesMS     []float64 // from the fault to the next new token
	beyondPrefillMS []float64 // the same less the time that the prefill takes
}

// attemptCause says why an attempt to run a job on an engine is started; all but causeFirst are extra work.
type attemptCause int

const (
	causeFirst  attemptCause = iota
	causeResume              // after the loss of the engine
	causeMove                // a move off a slow engine, or a retry before the first token
)

// extraWorkStats sums up the extra work of a run that moves, retries and resumes cause; costs are in seconds of engine
// time at a full batch.
type extraWorkStats struct {
	discardedTokens   float64 // tokens that were generated again or discarded
	silentTokens      float64 // tokens generated for silent connections until the engine noticed
	reprefilledTokens float64 // tokens prefilled by resumes
	resumeCost        float64 // cost of the resumes after lost attempts
	restartCost       float64 // what it would cost to start the same generations again
	moveCost          float64 // cost of moves off slow engines and of retries
	firstPrefillCost  float64 // cost of the prefills of first attempts
	moveCount         int     // streams moved off slow engines
	interruptions     map[string]*interruptionStats
}

// interruptionsOf returns the samples for the kind of interruption, and adds an empty entry for the kind if there is
// none.
func (t *extraWorkStats) interruptionsOf(kind string) *interruptionStats {
	if t.interruptions == nil {
		t.interruptions = map[string]*interruptionStats{}
	}
	l := t.interruptions[kind]
	if l == nil {
		l = &interruptionStats{}
		t.interruptions[kind] = l
	}
	return l
}

// addPrefillCost adds the cost of the prefill that an engine starts for the attempt to the work of the attempt's cause.
func (t *extraWorkStats) addPrefillCost(a *attempt) {
	cost := float64(a.prefillLeft) * prefillTokenTime
	cause := a.cause
	if cause == causeMove && a.job.interruption != "" {
		cause = causeResume // the engine that it was moved off had failed
	}
	switch cause {
	case causeFirst:
		t.firstPrefillCost += cost
	case causeMove:
		t.moveCost += cost
	case causeResume:
		generationCost := float64(a.priorTokens) * generatedTokenTime
		t.reprefilledTokens += float64(a.prefillLeft)
		if a.router.isBaseline() {
			t.resumeCost += cost + generationCost
			t.restartCost += cost + generationCost
			return
		}
		t.resumeCost += cost
		t.restartCost += float64(max(0, a.prefillLeft-a.priorTokens))*prefillTokenTime + generationCost
	}
}
