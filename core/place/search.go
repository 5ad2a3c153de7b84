package place

import (
	"math/rand/v2"
	"time"
)

const (
	// maxSearchQueries is the number of engines that a search asks at the same time. The answers of hundreds of engines at once would keep
	// a relay with a part of a core from all else for half a second.
	maxSearchQueries = 16
	// LateQueryTime is the time after which a query counts as late: an engine responds within a few milliseconds even if all its slots are
	// busy. Further engines are asked in place of late ones, which may be down.
	LateQueryTime = 20 * time.Millisecond
)

// Search decides which engines to ask for something that some of them may have, such as a cached prompt, and when. It asks only while a
// request waits for the result. It is not safe for concurrent use.
type Search struct {
	// left are the engines that were not asked yet.
	left []Endpoint
	// startedAt holds when each query in flight was started, by the endpoint's id.
	startedAt map[string]time.Time
	// awaitedUntil is the time until which requests wait for the result.
	awaitedUntil time.Time
}

// NewSearch returns a search among the engines, in random order: relays that search at the same time should not all ask the same ones first.
func NewSearch(engines []Endpoint, r *rand.Rand) *Search {
	r.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	return &Search{left: engines, startedAt: map[string]time.Time{}}
}

// Await records that a request waits for the result until the given time.
func (s *Search) Await(until time.Time) {
	if until.After(s.awaitedUntil) {
		s.awaitedUntil = until
	}
}

// Start returns the engines to ask now. They count as asked.
func (s *Search) Start(now time.Time) []Endpoint {
	if !now.Before(s.awaitedUntil) {
		return nil
	}
	free := maxSearchQueries
	for _, at := range s.startedAt {
		if now.Sub(at) < LateQueryTime {
			free--
		}
	}
	n := min(max(0, free), len(s.left))
	out := s.left[:n]
	s.left = s.left[n:]
	for _, e := range out {
		s.startedAt[e.ID] = now
	}
	return out
}

// End records that the query of an engine has ended.
func (s *Search) End(id string) { delete(s.startedAt, id) }

// IsComplete reports whether all engines were asked and no query is in flight.
func (s *Search) IsComplete() bool { return len(s.left) == 0 && len(s.startedAt) == 0 }
