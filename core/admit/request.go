package admit

import "time"

// DefaultMaxWait is the longest wait for the first token of a request that does not specify one.
const DefaultMaxWait = 3 * time.Second

// Request holds the properties of a caller's request on which its admission depends.
type Request struct {
	ID      string
	Account string
	// Intent is the declared kind of use; output lengths are predicted by account and intent.
	Intent string
	// PromptTokens is the length of the request's prompt in tokens.
	PromptTokens int
	// MaxOutputTokens is the maximum output length in tokens that the caller declared; zero means none.
	MaxOutputTokens int
	// MaxShortTokens is the largest output in tokens at which a request with the intent counts as short; zero means
	// never.
	MaxShortTokens int
	// Priority is the engine priority of the request's intent; requests with a lower value run first.
	Priority int
	// MaxWait is how long the caller waits for the first token at most; zero means DefaultMaxWait.
	MaxWait time.Duration
	// TimeToFirstToken is the predicted time from the start of the request to its first token.
	TimeToFirstToken time.Duration
}

// TicketState is the state of an admitted request.
type TicketState int

// The states of an admitted request.
const (
	// StateQueued means that the request is queued and has not started.
	StateQueued TicketState = iota
	// StateRunning means that the request has started: StartRequests or Resume has returned its ticket.
	StateRunning
	// StateSuspended means that the request was interrupted as a straggler and will be resumed.
	StateSuspended
	// StateDone means that the request has ended, expired or left the queue.
	StateDone
)

// Ticket is an admitted request and its scheduling state.
type Ticket struct {
	Request
	// PredictedTokens is the predicted output length of the request in tokens.
	PredictedTokens int
	// Short says that the request counts as short by its predicted or declared output length.
	Short bool
	// MayUseReserved says that the request may use the capacity reserved for short requests.
	MayUseReserved bool
	// Deadline is the latest start at which the first token is still predicted to arrive within the caller's wait.
	Deadline time.Time

	state           TicketState
	account         *account
	readyAt         time.Time // when the account's token rate allows the start
	startedAt       time.Time
	generatedTokens int
	chargedTokens   float64 // output tokens charged to the account's token bucket
	demotionLevel   int     // 0 to maxDemotionLevel; a higher level lowers the engine priority
	suspendedAt     time.Time
}

// State returns the current state of the request.
func (t *Ticket) State() TicketState { return t.state }

// Tokens returns the number of output tokens of the request so far, as recorded by Progress.
func (t *Ticket) Tokens() int { return t.generatedTokens }

// isUrgent reports whether the request's deadline is so close that the request starts before all others.
func (t *Ticket) isUrgent(now time.Time) bool { return t.Deadline.Sub(now) < urgentWindow }

// EnginePriority returns the priority to pass to the engine, where a lower value runs first. It orders by the intent's
// priority, then short requests before others, then stragglers last.
func (t *Ticket) EnginePriority() int {
	p := t.Priority * priorityStep
	if !t.Short {
		p += longPenalty
	}
	return p + t.demotionLevel*demotionPenalty
}

// Steps of the engine priority of a request. A step of the intent's priority outweighs the penalties for long requests
// and stragglers together.
const (
	priorityStep     = 100
	longPenalty      = 10
	demotionPenalty  = 20
	maxDemotionLevel = 3
)

// Capacity is the number of requests of a service that the router may start now, and the prediction of when it may
// start more.
type Capacity struct {
	// Slots is the number of slots on all endpoints that accept requests; if it is zero, all requests are refused.
	Slots int
	// FreeShort is the number of short requests that may start, FreeReserved that of other requests that may use the
	// capacity reserved for short requests, and FreeLong that of all other requests.
	FreeShort, FreeReserved, FreeLong int
	// PredictedEnds are the predicted times from now until this router's running requests end and free their slots, in
	// ascending order.
	PredictedEnds []time.Duration
	// TokensPerSecond is this router's share of the generated tokens per second; it predicts starts beyond the last of
	// PredictedEnds.
	TokensPerSecond float64
}
