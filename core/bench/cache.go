package bench

import (
	"container/list"

	"wasabiweir/core/route"
)

// blockCache is the prefix cache of a fake engine: an LRU cache of prompt blocks, by hash, that records its changes as
// events.
type blockCache struct {
	entries map[uint64]*list.Element // by block hash
	recency list.List                // block hashes, the most recently used first
	events  []route.CacheEvent       // changes since the last takeEvents
	seq     uint64                   // sequence number of the latest event
}

// matchPrefix returns the number of leading blocks of the prompt that are cached and marks them as recently used.
func (c *blockCache) matchPrefix(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := c.entries[b]
		if !ok {
			return i
		}
		c.recency.MoveToFront(e)
	}
	return len(blocks)
}

// storeBlocks adds the prompt's blocks to the cache and evicts the least recently used ones above the capacity.
func (c *blockCache) storeBlocks(blocks []uint64) {
	if c.entries == nil {
		c.entries = make(map[uint64]*list.Element)
	}
	var added, removed []uint64
	for _, b := range blocks {
		if _, ok := c.entries[b]; ok {
			continue
		}
		c.entries[b] = c.recency.PushFront(b)
		added = append(added, b)
	}
	for len(c.entries) > cacheCapacity {
		b := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.entries, b)
		removed = append(removed, b)
	}
	c.addCacheEvent(route.CacheStored, added)
	c.addCacheEvent(route.CacheRemoved, removed)
}

// clearBlocks removes all blocks from the cache and records that as one event.
func (c *blockCache) clearBlocks() {
	c.entries = nil
	c.recency.Init()
	c.seq++
	c.events = append(c.events, route.CacheEvent{Seq: c.seq, Kind: route.CacheCleared})
}

// addCacheEvent records a cache event of the kind for the given blocks; it does nothing if there are none.
func (c *blockCache) addCacheEvent(kind route.CacheKind, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	c.seq++
	c.events = append(c.events, route.CacheEvent{Seq: c.seq, Kind: kind, Blocks: blocks})
}

// takeCacheEvents returns the cache events since its last call and forgets them.
func (c *blockCache) takeCacheEvents() []route.CacheEvent {
	v := c.events
	c.events = nil
	return v
}
