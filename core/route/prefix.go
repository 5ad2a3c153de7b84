package route

import "time"

// CacheKind is the kind of change that an engine reports of its prefix cache.
type CacheKind int

// The kinds of changes of an engine's prefix cache.
const (
	// CacheStored means that the engine added the blocks to its prefix cache.
	CacheStored CacheKind = iota
	// CacheRemoved means that the engine evicted the blocks from its prefix cache.
	CacheRemoved
	// CacheCleared means that the engine emptied its whole prefix cache.
	CacheCleared
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	// Seq is the sequence number, which increases by one with each event of an engine.
	Seq  uint64
	Kind CacheKind
	// Blocks are the chained hashes of the blocks that were stored or removed.
	Blocks []uint64
}

// maxCachedBlocks bounds the prefix cache blocks that the router indexes for one endpoint. With 8 bytes of hash, a map
// entry and a pointer to the endpoint per block the index of an endpoint takes less than 8 MB.
const maxCachedBlocks = 1 << 16

// cachedBlocks is the set of prompt blocks that one endpoint is known to have in its prefix cache, and the sequence
// number of its last cache event.
type cachedBlocks struct {
	lastSeq uint64
	hashes  map[uint64]struct{}
}

// ApplyCacheEvents applies the prefix cache events of the endpoint with the name to the index, in order. After a gap in
// the sequence numbers it drops the endpoint's known blocks, because a missed event may have removed any of them.
func (t *Table) ApplyCacheEvents(name string, events []CacheEvent) {
	e := t.byName.Get(name)
	if e == nil {
		return
	}
	for _, v := range events {
		switch {
		case v.Kind == CacheCleared:
			// A restarted engine starts a new sequence of event numbers.
			t.clearCachedBlocks(e)
		case v.Seq <= e.cachedBlocks.lastSeq && e.cachedBlocks.lastSeq > 0:
			continue
		case v.Seq != e.cachedBlocks.lastSeq+1:
			t.clearCachedBlocks(e)
		}
		e.cachedBlocks.lastSeq = v.Seq
		t.applyCacheEvent(e, v)
	}
}

// applyCacheEvent updates the index of cached prompt blocks with one event of the endpoint.
func (t *Table) applyCacheEvent(e *Endpoint, v CacheEvent) {
	switch v.Kind {
	case CacheCleared:
		t.clearCachedBlocks(e)
	case CacheRemoved:
		for _, b := range v.Blocks {
			if _, ok := e.cachedBlocks.hashes[b]; ok {
				delete(e.cachedBlocks.hashes, b)
				t.removeCachedBlock(b, e)
			}
		}
	case CacheStored:
		if e.cachedBlocks.hashes == nil {
			e.cachedBlocks.hashes = make(map[uint64]struct{})
		}
		for _, b := range v.Blocks {
			if _, ok := e.cachedBlocks.hashes[b]; ok || len(e.cachedBlocks.hashes) >= maxCachedBlocks {
				continue
			}
			e.cachedBlocks.hashes[b] = struct{}{}
			t.endpointsByBlock[b] = append(t.endpointsByBlock[b], e)
		}
	}
}

// clearCachedBlocks removes all blocks of the endpoint from the index of cached prompt blocks.
func (t *Table) clearCachedBlocks(e *Endpoint) {
	for b := range e.cachedBlocks.hashes {
		t.removeCachedBlock(b, e)
	}
	e.cachedBlocks.hashes = nil
}

// removeCachedBlock records that the endpoint no longer has the prompt block in its prefix cache.
func (t *Table) removeCachedBlock(block uint64, e *Endpoint) {
	holders := t.endpointsByBlock[block]
	for i, holder := range holders {
		if holder != e {
			continue
		}
		holders[i] = holders[len(holders)-1]
		holders = holders[:len(holders)-1]
		break
	}
	if len(holders) == 0 {
		delete(t.endpointsByBlock, block)
		return
	}
	t.endpointsByBlock[block] = holders
}

// CachedTokens returns the number of the request's prompt tokens that the endpoint has in its prefix cache, as far as
// this router's index knows.
func (t *Table) CachedTokens(e *Endpoint, req *Request) int {
	n := 0
	for _, b := range req.Blocks {
		if _, ok := e.cachedBlocks.hashes[b]; !ok {
			break
		}
		n++
	}
	return min(n*t.BlockTokens, req.PrefillTokens)
}

// endpointWithCachedPrefix returns the eligible endpoint with a free slot and the lowest cost among those that cache
// the longest prefix of the prompt that the router has in its index, or false if there is none.
func (t *Table) endpointWithCachedPrefix(req *Request, now time.Time) (*Endpoint, bool) {
	var holders []*Endpoint
	for _, b := range req.Blocks {
		blockHolders := t.endpointsByBlock[b]
		if len(blockHolders) == 0 {
			break
		}
		holders = blockHolders
	}
	var best *Endpoint
	lowest := 0.0
	for _, e := range holders {
		if e.listIndex >= len(t.eligible) || !t.eligible[e.listIndex] || !t.HasFreeSlot(e, req) {
			continue
		}
		if c := t.Cost(e, req, now); best == nil || c < lowest || c == lowest && e.Name < best.Name {
			best, lowest = e, c
		}
	}
	return best, best != nil
}
