package stand

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wasabiweir/core/token"
)

// maxKeptEvents is the largest number of prefix cache events kept. A reader that falls further behind sees a gap in
// the sequence numbers.
const maxKeptEvents = 4096

// Types of events of the simulated engine's prefix cache.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
)

// cacheEvent reports which token blocks were stored in or removed from the prefix cache. The JSON names are those of
// the event stream of real engines.
type cacheEvent struct {
	Seq             uint64   `json:"seq"`
	Type            string   `json:"type"`
	Model           string   `json:"model,omitempty"`
	BlockHashes     []uint64 `json:"block_hashes"`
	ParentBlockHash uint64   `json:"parent_block_hash,omitempty"`
	TokenIDs        []uint32 `json:"token_ids,omitempty"`
	BlockSize       int      `json:"block_size,omitempty"`

	occurredAt time.Time
}

// cacheEventLog keeps the newest prefix cache events of the simulated engine and simulates the loss of some.
type cacheEventLog struct {
	lossRate float64 // share of events that are dropped
	rng      *rand.Rand
	lastSeq  uint64 // sequence number of the newest event, dropped ones included
	entries  []cacheEvent
}

// addEvent numbers a prefix cache event and appends it to the log, or drops it at the configured loss rate. A full log
// is cut to half its size.
func (v *cacheEventLog) addEvent(ev cacheEvent) {
	v.lastSeq++
	ev.Seq = v.lastSeq
	if v.rng.Float64() < v.lossRate {
		return
	}
	v.entries = append(v.entries, ev)
	if len(v.entries) > maxKeptEvents {
		v.entries = append([]cacheEvent(nil), v.entries[len(v.entries)-maxKeptEvents/2:]...)
	}
}

// publishedAfter returns the prefix cache events that occurred no later than due and have a sequence number above seq.
// It also returns the greatest sequence number published by then.
func (v *cacheEventLog) publishedAfter(seq uint64, due time.Time) ([]cacheEvent, uint64) {
	out, last := []cacheEvent{}, uint64(0)
	for _, ev := range v.entries {
		if ev.occurredAt.After(due) {
			break
		}
		last = ev.Seq
		if ev.Seq > seq {
			out = append(out, ev)
		}
	}
	return out, last
}

// prefixCache is the simulated engine's LRU cache of token blocks, keyed by block hash.
type prefixCache struct {
	capacity int // largest number of blocks; zero disables the cache
	blocks   map[uint64]*list.Element
	lru      list.List // block hashes, most recently used first
	events   cacheEventLog
}

// countCachedTokens returns the number of leading tokens of the sequence whose blocks are cached, and marks these
// blocks as recently used.
func (c *prefixCache) countCachedTokens(model string, ids []uint32) int {
	n := 0
	for _, h := range token.BlockHashes(model, ids) {
		el := c.blocks[h]
		if el == nil {
			break
		}
		c.lru.MoveToFront(el)
		n += token.BlockTokens
	}
	return n
}

// storeBlocks adds the full blocks of a token sequence to the prefix cache, logs an event for the new ones and evicts
// the oldest blocks if the cache is over capacity.
func (c *prefixCache) storeBlocks(now time.Time, model string, ids []uint32) {
	if c.capacity == 0 {
		return
	}
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	hashes := token.BlockHashes(model, ids)
	first := -1
	for i, h := range hashes {
		if el := c.blocks[h]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		if first < 0 {
			first = i
		}
		c.blocks[h] = c.lru.PushFront(h)
	}
	if first >= 0 {
		ev := cacheEvent{
			Type: eventStored, Model: model, BlockHashes: hashes[first:], BlockSize: token.BlockTokens, occurredAt: now,
			TokenIDs: append([]uint32(nil), ids[first*token.BlockTokens:len(hashes)*token.BlockTokens]...),
		}
		if first > 0 {
			ev.ParentBlockHash = hashes[first-1]
		}
		c.events.addEvent(ev)
	}
	c.evictOldest(now)
}

// evictOldest removes the least recently used token blocks above the prefix cache's capacity and logs an event for
// them.
func (c *prefixCache) evictOldest(now time.Time) {
	var removed []uint64
	for c.lru.Len() > c.capacity {
		h := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, h)
		removed = append(removed, h)
	}
	if len(removed) > 0 {
		c.events.addEvent(cacheEvent{Type: eventRemoved, BlockHashes: removed, occurredAt: now})
	}
}

// handleCacheEvents handles GET /v1/cache-events. The query parameter named after is the sequence number of the last
// prefix cache event that the reader has.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, "bad_request", "after: "+err.Error())
			return
		}
		after = n
	}
	e.engineMu.Lock()
	evs, last := e.cache.events.publishedAfter(after, e.Clock.Now().Add(-e.CacheEventLag))
	e.engineMu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"events": evs, "last": last})
}
