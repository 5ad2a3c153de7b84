package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// arrival is one request of the simulated workload; all policies get the same requests.
type arrival struct {
	at             time.Duration // from the start of the run
	id             string
	account        int
	router         int // index of the router that the caller uses
	promptTokens   int
	outputTokens   int
	declaredTokens int // output limit that the caller declares
	short          bool
	blocks         []uint64 // chained hashes of the prompt's blocks
}

// Limits of the simulated requests and clients.
const (
	maxShortTokens  = 128
	maxOutputTokens = 6000
	maxPromptTokens = 6000
	// callerWait is how long a simulated caller waits for the first token.
	callerWait = 3 * time.Second
	// addressTTL is how long a simulated client keeps using the address of a router.
	addressTTL = 10 * time.Second
	// subjectsPerAccount is the number of subjects (horses or members, in the two deployments) on whose records an
	// account's prompts are based; prompts on the same subject share a prefix.
	subjectsPerAccount = 200
)

// requestSource generates random requests of a simulated deployment.
type requestSource struct {
	rand     *rand.Rand
	requests requestMix
}

// newRequestSource returns a source of requests with the mix m; the same seed gives the same requests.
func newRequestSource(seed uint64, m requestMix) *requestSource {
	return &requestSource{rand: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), requests: m}
}

// logNormal returns a log-normally distributed random value with the median and sigma.
func (s *requestSource) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*s.rand.NormFloat64())
}

// drawRequest returns a random short or long request, without its time, id and router.
func (s *requestSource) drawRequest(short bool) arrival {
	a := arrival{short: short, account: s.drawAccount()}
	if short {
		a.promptTokens = int(s.logNormal(s.requests.shortPromptTokens, 0.3)) + 1
		a.outputTokens = min(maxShortTokens, int(s.logNormal(s.requests.shortOutputTokens, 0.4))+1)
		a.declaredTokens = maxShortTokens
	} else {
		a.promptTokens = min(maxPromptTokens, int(s.logNormal(s.requests.longPromptTokens, 0.5))+1)
		out := s.logNormal(s.requests.longOutputTokens, 0.5)
		if s.rand.Float64() < s.requests.stragglerShare {
			out *= 6
		}
		a.outputTokens = min(maxOutputTokens, int(out)+maxShortTokens)
		a.declaredTokens = min(maxOutputTokens, int(float64(a.outputTokens)*(1.2+s.rand.Float64()*2)))
	}
	a.blocks = s.drawBlocks(a)
	return a
}

// drawAccount returns a random client account, weighted by accountTrafficShares.
func (s *requestSource) drawAccount() int {
	x := s.rand.Float64()
	for i, p := range accountTrafficShares {
		x -= p
		if x < 0 {
			return i
		}
	}
	return len(accountTrafficShares) - 1
}

// drawBlocks returns the chained block hashes of a request's prompt: a prefix that all requests of the account share,
// a part that all requests on one subject share, and a part of its own.
func (s *requestSource) drawBlocks(a arrival) []uint64 {
	n := a.promptTokens / blockTokens
	subject := s.rand.IntN(subjectsPerAccount)
	own := s.rand.Uint64()
	out := make([]uint64, n)
	h := uint64(14695981039346656037)
	for i := range n {
		v := uint64(a.account)
		switch {
		case i >= 2*s.requests.sharedBlocks:
			v = own
		case i >= s.requests.sharedBlocks:
			v = uint64(a.account*subjectsPerAccount+subject) << 8
		}
		h = (h ^ v ^ uint64(i)<<48) * 1099511628211
		h ^= h >> 29
		out[i] = h
	}
	return out
}

// engineTime returns how long an engine with a full batch works for the request, in seconds.
func (a *arrival) engineTime() float64 {
	return float64(a.promptTokens)*prefillTokenTime + float64(a.outputTokens)*generatedTokenTime
}

// Engine time of a prefilled token and of a generated token at a full batch, in seconds; the cost of work is stated in
// engine time.
var (
	prefillTokenTime   = 1.0 / prefillRate
	generatedTokenTime = (stepBaseTime + engineSlots*stepTimePerSlot).Seconds() / engineSlots
)

// loadStep sets the offered load, as a fraction of the engines' capacity, from a time of the run on.
type loadStep struct {
	from     time.Duration
	fraction float64
}

// drawArrivals returns the random long and short requests that arrive until the end, at the offered load of the steps.
func drawArrivals(o Options, d deployment, shortShare float64, steps []loadStep, end time.Duration) []arrival {
	s := newRequestSource(o.Seed, d.requests)
	mean := s.meanEngineTime(shortShare)
	var out []arrival
	for at := time.Duration(0); ; {
		rate := offeredLoadAt(steps, at) * float64(d.engines) / mean
		at += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return out
		}
		a := s.drawRequest(s.rand.Float64() < shortShare)
		a.at = at
		a.id = fmt.Sprintf("%06d", len(out))
		a.router = s.drawRouter(a.account, at)
		out = append(out, a)
	}
}

// meanEngineTime estimates the mean engine time of a request, in seconds, from 20,000 samples.
func (s *requestSource) meanEngineTime(shortShare float64) float64 {
	x := newRequestSource(1, s.requests)
	const n = 20000
	sum := 0.0
	for range n {
		a := x.drawRequest(x.rand.Float64() < shortShare)
		sum += a.engineTime()
	}
	return sum / n
}

// offeredLoadAt returns the load that callers offer at the time, as a fraction of the engines' capacity.
func offeredLoadAt(steps []loadStep, at time.Duration) float64 {
	fraction := steps[0].fraction
	for i, l := range steps {
		if at < l.from {
			// The offered load changes linearly during the second before the next step.
			if i > 0 && l.from-at < time.Second {
				done := 1 - (l.from - at).Seconds()
				return fraction + (l.fraction-fraction)*done
			}
			return fraction
		}
		fraction = l.fraction
	}
	return fraction
}

// drawRouter returns the router that a random client of the account uses; a client changes its router every
// addressTTL.
func (s *requestSource) drawRouter(account int, at time.Duration) int {
	clients := max(2, int(accountTrafficShares[account]*100))
	c := s.rand.IntN(clients)
	h := uint64(account*1000+c)*0x9e3779b97f4a7c15 + uint64(at/addressTTL)*0xbf58476d1ce4e5b9
	h ^= h >> 31
	h *= 0x94d049bb133111eb
	h ^= h >> 29
	return int(h % routerCount)
}
