package route

import (
	"slices"
	"time"
)

// otherPartitionCost is the additional cost, in prefilled tokens, of resuming a stream on an endpoint outside this
// router's partition of the endpoints. It is about the length of one prompt, so that a router uses other partitions
// when prompts accumulate in its own.
const otherPartitionCost = 1500

// ResumeCost returns the number of tokens to prefill before an interrupted stream continues on the endpoint, adjusted
// for the endpoint's health and for its partition. It ignores the load: when an engine is lost, all routers resume its
// streams at the same time and would all choose the same least loaded endpoints. Instead, each router prefers its own
// partition of the endpoints.
func (t *Table) ResumeCost(e *Endpoint, req *Request, _ time.Time) float64 {
	cost := float64(e.PendingPrefill + req.PrefillTokens - t.CachedTokens(e, req))
	if !t.inOwnPartition(e) {
		cost += otherPartitionCost
	}
	return cost / e.health.score
}

// inOwnPartition reports whether the endpoint belongs to the partition of the endpoints on which this router prefers to
// resume streams. Partitions follow from the sorted names of the routers that have sent counts of their work, so that
// all routers compute the same ones without coordination.
func (t *Table) inOwnPartition(e *Endpoint) bool {
	return e.listIndex%(t.peers.Len()+1) == t.routerIndex
}

// updateRouterIndex recomputes this router's position among the sorted names of all routers.
func (t *Table) updateRouterIndex() {
	t.routerIndex, _ = slices.BinarySearch(t.peers.Keys(), t.Name)
}

// resumeBasePriority is the lowest priority value of a resumed stream; lower values run first, so that it is ahead of
// all new requests.
const resumeBasePriority = -1_000_000

// ResumePriority returns the engine priority of a resumed stream with the given number of tokens to prefill; lower
// values run first. Resumed streams run before new requests, and those with fewer tokens before those with more,
// because each delays all after it.
func ResumePriority(prefill int) int { return resumeBasePriority + prefill }
