package route

import (
	"math"
	"time"
)

// Capacity is the number of requests of one service that a router may start now, and the data to predict when it may
// start more.
type Capacity struct {
	// Slots is the number of slots on the endpoints that accept requests.
	Slots int
	// Streams is the predicted number of requests of the service that all routers have in flight.
	Streams int
	// FreeShort is the number of short requests that this router may start, FreeReserved that of other requests that
	// may use the slots reserved for short requests, and FreeLong that of all other requests. A negative number means
	// that this router already exceeds its share of the slots.
	FreeShort, FreeReserved, FreeLong int
	// TokensPerSecond is the predicted number of generated tokens per second of all endpoints of the service together.
	TokensPerSecond float64
	// PredictedEnds are the predicted times from now until the first, second and further of this router's long streams
	// end, as far as the prediction reaches. The slice is valid until the next call of Table.Capacity.
	PredictedEnds []time.Duration
}

// Capacity returns the number of requests of the service that this router may start, given the number of its queued
// requests. Each router's share of all slots is proportional to its running and queued requests. Dividing only the free
// slots performed worse: when few are free, a router with one queued request got as many of them as one with ten.
func (t *Table) Capacity(service string, waiting int, now time.Time) Capacity {
	t.refreshPeerLoads(now)
	tokenGap := t.medianGap
	if tokenGap <= 0 {
		tokenGap = defaultTokenGap
	}
	var c Capacity
	var ownStreams int
	var sharedSlots, unreservedSlots, ownSharedStreams, allSharedStreams int // on endpoints that also serve long requests
	for _, e := range t.ordered {
		if e.Service != service || e.Unavailable() || !e.acceptsRequest(now) {
			continue
		}
		endpointSlots := e.slotCount()
		c.Slots += endpointSlots
		if !t.servesOnlyShortRequests(e) {
			sharedSlots += endpointSlots
			unreservedSlots += t.unreservedSlots(e)
			ownSharedStreams += e.Own.Streams
			allSharedStreams += e.Streams()
		}
		c.Streams += e.Streams()
		ownStreams += e.Own.Streams
		c.TokensPerSecond += float64(endpointSlots) * e.health.score / tokenGap
	}
	c.PredictedEnds = t.predictedStreamEnds(service, now)
	allWaiting := float64(waiting) + t.requestsQueuedOnPeers(service, now)
	c.FreeShort = slotShare(c.Slots, float64(ownStreams+waiting), float64(c.Streams)+allWaiting) - ownStreams
	c.FreeReserved = slotShare(sharedSlots, float64(ownSharedStreams+waiting), float64(allSharedStreams)+allWaiting) - ownSharedStreams
	c.FreeLong = slotShare(unreservedSlots, float64(ownSharedStreams+waiting), float64(allSharedStreams)+allWaiting) - ownSharedStreams
	return c
}

// slotShare returns the number of a service's slots that a router may use, in proportion to its demand (running and
// queued requests) relative to that of all routers. It rounds up: that puts at most one request per router into an
// engine's queue, while rounding down would leave slots idle.
func slotShare(slots int, demand, totalDemand float64) int {
	if totalDemand <= float64(slots) {
		return slots - int(totalDemand-demand)
	}
	return int(math.Ceil(float64(slots) * demand / totalDemand))
}

// requestsQueuedOnPeers returns the number of requests of the service that are queued on the other routers, by the
// latest counts that they sent.
func (t *Table) requestsQueuedOnPeers(service string, now time.Time) float64 {
	n := 0
	t.peers.Each(func(_ string, p *receivedCounts) bool {
		if now.Sub(p.receivedAt) <= peerCountsTTL {
			n += p.waiting[service]
		}
		return true
	})
	return float64(n)
}
