package route

import (
	"math/rand/v2"
	"time"
)

// Policy selects one of several candidates, such as endpoints, to serve a request. The candidates are sorted by name
// and must not be empty.
type Policy[E any] interface {
	Select(candidates []E, req *Request, now time.Time) E
}

// CostFunc returns the cost of serving the request with the candidate; lower is better.
type CostFunc[E any] func(candidate E, req *Request, now time.Time) float64

// RoundRobin is a Policy that selects the candidates for requests in turn.
type RoundRobin[E any] struct{ next int }

// Select returns the next candidate in turn, whatever the request.
func (p *RoundRobin[E]) Select(candidates []E, _ *Request, _ time.Time) E {
	p.next++
	return candidates[p.next%len(candidates)]
}

// LeastCost is a Policy that selects the candidate with the lowest cost of serving the request; it breaks ties at
// random.
type LeastCost[E any] struct {
	Cost CostFunc[E]
	Rand *rand.Rand
}

// Select returns the candidate with the lowest cost of serving the request.
func (p *LeastCost[E]) Select(candidates []E, req *Request, now time.Time) E {
	best := candidates[0]
	lowest := p.Cost(best, req, now)
	ties := 1
	for _, e := range candidates[1:] {
		c := p.Cost(e, req, now)
		if c == lowest {
			ties++
		}
		if c < lowest || c == lowest && p.Rand.IntN(ties) == 0 {
			best = e
		}
		if c < lowest {
			lowest, ties = c, 1
		}
	}
	return best
}

// PowerOfTwo is a Policy that selects the candidate with the lowest cost among two random ones and the one that Hint
// returns. If every router chose the lowest cost of all candidates, they would overload the same endpoint before they
// learn of each other's requests.
type PowerOfTwo[E any] struct {
	Cost CostFunc[E]
	Rand *rand.Rand
	// Hint returns an additional candidate, for example one with the prompt's prefix in its cache; it may be nil.
	Hint func(req *Request, now time.Time) (E, bool)
}

// Select returns the candidate with the lowest cost of serving the request, among two random ones and the one that Hint
// returns.
func (p *PowerOfTwo[E]) Select(candidates []E, req *Request, now time.Time) E {
	n := len(candidates)
	if n == 1 {
		return candidates[0]
	}
	i := p.Rand.IntN(n)
	j := p.Rand.IntN(n - 1)
	if j >= i {
		j++
	}
	best, lowest := candidates[i], p.Cost(candidates[i], req, now)
	if c := p.Cost(candidates[j], req, now); c < lowest {
		best, lowest = candidates[j], c
	}
	if p.Hint == nil {
		return best
	}
	if e, ok := p.Hint(req, now); ok && p.Cost(e, req, now) < lowest {
		best = e
	}
	return best
}

// TieredPolicy is a Policy that sorts the candidates into tiers by preference and applies another policy to those of
// the first tier that is not empty. If all tiers are empty, it applies the other policy to all candidates.
type TieredPolicy[E any] struct {
	// Tiers has one function per tier, the most preferred tier first; it reports whether a candidate belongs to the
	// tier.
	Tiers []func(candidate E, req *Request) bool
	// Policy selects among the candidates of one tier.
	Policy Policy[E]

	tierCandidates []E
}

// Select returns the choice of Tiers.Policy among the candidates of the first tier that is not empty.
func (p *TieredPolicy[E]) Select(candidates []E, req *Request, now time.Time) E {
	for _, inTier := range p.Tiers {
		p.tierCandidates = p.tierCandidates[:0]
		for _, e := range candidates {
			if inTier(e, req) {
				p.tierCandidates = append(p.tierCandidates, e)
			}
		}
		if len(p.tierCandidates) > 0 {
			return p.Policy.Select(p.tierCandidates, req, now)
		}
	}
	return p.Policy.Select(candidates, req, now)
}
