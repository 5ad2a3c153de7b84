package route

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// shortWorkTimeout is how long endpoints stay dedicated to short requests after the last short request.
const shortWorkTimeout = 30 * time.Second

// chooseDedicatedEndpoints selects the endpoints that serve only short requests while there are any. All routers select
// the same ones, because the order depends only on the endpoints' names. Reserved slots alone do not protect short
// requests, because these would share each batch step with the prefills of long requests.
func (t *Table) chooseDedicatedEndpoints() {
	byService := map[string][]*Endpoint{}
	for _, e := range t.ordered {
		e.dedicated = false
		if !e.Unavailable() {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b *Endpoint) int {
			if c := cmp.Compare(endpointNameHash(a.Name), endpointNameHash(b.Name)); c != 0 {
				return c
			}
			return cmp.Compare(a.Name, b.Name)
		})
		for _, e := range list[:int(float64(len(list))*t.DedicatedFraction)] {
			e.dedicated = true
		}
	}
}

// endpointNameHash returns a hash that orders endpoints independently of their naming scheme.
func endpointNameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never returns an error
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// servesOnlyShortRequests reports whether the endpoint currently serves only short requests.
func (t *Table) servesOnlyShortRequests(e *Endpoint) bool { return e.dedicated && t.shortWorkActive }

// isPreferredFor reports whether the endpoint belongs to the first choice for the request: it has a free slot, is not
// slowed, and is dedicated to short requests exactly if the request is short.
func (t *Table) isPreferredFor(e *Endpoint, req *Request) bool {
	return t.servesOnlyShortRequests(e) == req.Short && t.HasFreeSlot(e, req) && !e.health.slowed
}

// HasFreeSlot reports whether the request would get a slot on the endpoint immediately.
func (t *Table) HasFreeSlot(e *Endpoint, req *Request) bool { return e.Streams() < t.slotLimit(e, req) }

// slotLimit returns the number of the endpoint's slots that the request may use: it gets one if fewer streams than that
// are in flight.
func (t *Table) slotLimit(e *Endpoint, req *Request) int {
	switch {
	case req.Short || req.Resume:
		return e.slotCount()
	case req.MayUseReserved && !t.servesOnlyShortRequests(e):
		return e.slotCount()
	}
	return t.unreservedSlots(e)
}

// unreservedSlots returns the number of the endpoint's slots that are not reserved for short requests and resumed
// streams, so that every request may use them.
func (t *Table) unreservedSlots(e *Endpoint) int {
	if t.servesOnlyShortRequests(e) {
		return 0
	}
	return e.slotCount() - int(t.ReservedFraction*float64(e.slotCount())+0.5)
}
