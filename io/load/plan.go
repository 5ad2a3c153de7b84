package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"wasabiweir/core/token"
)

// Kinds of work in the load test: short and long generations, and service calls.
const (
	kindShort = "short"
	kindLong  = "long"
	kindCall  = "call"
)

// Account is a client account on whose behalf requests are sent.
type Account struct {
	Name string `json:"name"`
	// Token is the account's access token.
	Token string `json:"token"`
	// Share is the account's weight when the account of each arrival is drawn; zero means 1.
	Share float64 `json:"share"`
}

// Workload describes the requests of a load test: what arrives and when. The same workload, which includes the seed,
// always gives the same arrivals.
type Workload struct {
	Seed uint64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Rate is the mean number of arrivals per second.
	Rate float64
	// PeakFactor multiplies the arrival rate for the duration PeakFor, starting at PeakAt; zero means no peak.
	PeakFactor float64
	PeakAt     time.Duration
	PeakFor    time.Duration
	// Accounts are the accounts that send requests; none means a single account without an access token.
	Accounts []Account
	// CallShare is the share of arrivals that are service calls; LongShare is the share of generations that are long.
	CallShare float64
	LongShare float64
	// ShortTokens and LongTokens are the mean output lengths of short and long generations in tokens; zero means 40
	// and 800.
	ShortTokens int
	LongTokens  int
	// StragglerShare is the share of long generations whose mean output length is multiplied by StragglerFactor; a
	// factor of zero means 8.
	StragglerShare  float64
	StragglerFactor float64
	// PrefixWords is the number of words at the start of the prompt that all requests of an account share. PromptWords
	// is the mean number of words in the rest of the prompt; zero means 60.
	PrefixWords int
	PromptWords int
}

// arrival is a generation or a service call of the workload, and the time at which to send it.
type arrival struct {
	at           time.Duration
	kind         string
	account      Account
	prompt       string
	outputTokens int // output length that the seed sets
	maxTokens    int // max_tokens of the request
	seed         uint64
}

// maxTokensFactor is the ratio of max_tokens, the output limit that a generation request states, to the mean output
// length.
const maxTokensFactor = 4

// arrivalSchedule generates the arrivals of a workload in chronological order.
type arrivalSchedule struct {
	Workload
	rng         *rand.Rand
	lastArrival time.Duration // time of the last candidate that was drawn
	totalShare  float64       // sum of the shares of all accounts
}

// newArrivalSchedule returns the schedule of a workload's arrivals, with the workload's default settings applied.
func newArrivalSchedule(w Workload) *arrivalSchedule {
	p := &arrivalSchedule{Workload: w, rng: rand.New(rand.NewPCG(w.Seed, 1))}
	if len(p.Accounts) == 0 {
		p.Accounts = []Account{{Name: "default"}}
	}
	p.ShortTokens = orDefault(p.ShortTokens, 40)
	p.LongTokens = orDefault(p.LongTokens, 800)
	p.StragglerFactor = orDefault(p.StragglerFactor, 8)
	p.PromptWords = orDefault(p.PromptWords, 60)
	for _, a := range p.Accounts {
		p.totalShare += orDefault(a.Share, 1)
	}
	return p
}

// nextArrival returns the next arrival of the workload, or false if there are no more.
func (p *arrivalSchedule) nextArrival() (arrival, bool) {
	if p.Rate <= 0 {
		return arrival{}, false
	}
	// Candidate arrivals are drawn at the peak rate and rejected in proportion to the current rate (thinning). This
	// yields an exact Poisson process even though the rate changes in steps.
	maxRate := p.Rate * max(1, p.PeakFactor)
	for {
		p.lastArrival += time.Duration(p.rng.ExpFloat64() / maxRate * float64(time.Second))
		if p.lastArrival >= p.Duration {
			return arrival{}, false
		}
		if p.rng.Float64()*maxRate < p.rateAt(p.lastArrival) {
			return p.drawArrival(), true
		}
	}
}

// rateAt returns the workload's arrival rate per second at a time after its start.
func (p *arrivalSchedule) rateAt(at time.Duration) float64 {
	if p.PeakFactor > 0 && at >= p.PeakAt && at < p.PeakAt+p.PeakFor {
		return p.Rate * p.PeakFactor
	}
	return p.Rate
}

// drawArrival returns a random arrival of the workload at the schedule's current time.
func (p *arrivalSchedule) drawArrival() arrival {
	a := arrival{at: p.lastArrival, account: p.drawAccount(), kind: kindShort}
	if p.rng.Float64() < p.CallShare {
		a.kind = kindCall
		return a
	}
	mean := float64(p.ShortTokens)
	if p.rng.Float64() < p.LongShare {
		a.kind = kindLong
		mean = float64(p.LongTokens)
		if p.rng.Float64() < p.StragglerShare {
			mean *= p.StragglerFactor
		}
	}
	a.maxTokens = int(mean) * maxTokensFactor
	a.outputTokens = min(a.maxTokens, 1+int(mean*p.logNormalFactor()))
	a.prompt = p.makePrompt(a.account)
	a.seed = token.SeedEndingAt(p.rng.Uint32(), len(token.Tokenize(a.prompt))+a.outputTokens)
	return a
}

// logNormalFactor returns a log-normally distributed factor with mean 1, by which the lengths of outputs and prompts
// vary.
func (p *arrivalSchedule) logNormalFactor() float64 {
	const sigma = 0.5
	return math.Exp(sigma*p.rng.NormFloat64() - sigma*sigma/2)
}

// drawAccount returns a client account chosen at random by share, its weight among the accounts.
func (p *arrivalSchedule) drawAccount() Account {
	remaining := p.rng.Float64() * p.totalShare
	for _, a := range p.Accounts {
		remaining -= orDefault(a.Share, 1)
		if remaining < 0 {
			return a
		}
	}
	return p.Accounts[len(p.Accounts)-1]
}

// makePrompt returns a prompt that consists of the account's shared prefix and random words.
func (p *arrivalSchedule) makePrompt(a Account) string {
	var b strings.Builder
	b.WriteString(a.Name)
	for i := range p.PrefixWords {
		_, _ = fmt.Fprintf(&b, " p%d", i) // strings.Builder never returns an error
	}
	for range 1 + int(float64(p.PromptWords)*p.logNormalFactor()) {
		_, _ = fmt.Fprintf(&b, " %x", p.rng.Uint32N(1<<20))
	}
	return b.String()
}
