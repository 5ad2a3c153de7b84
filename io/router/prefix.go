package router

import (
	"context"
	"sync"
	"time"

	"wasabiweir/core/prefix"
	"wasabiweir/core/route"
	"wasabiweir/io/engine"
)

// cacheEventInterval is the time between two reads of an engine's cache events.
const cacheEventInterval = time.Second

// prefixTracker tracks which prompt prefixes the engines have in their KV caches. The result is only a hint for
// routing: it lags behind, and is discarded when events were missed.
type prefixTracker struct {
	router *Router

	mu sync.Mutex
	// texts maps prompts given as text to the hashes of their token blocks.
	texts prefix.TextIndex
	// engines holds the state of reading each engine's cache events, by endpoint name.
	engines map[string]*engineCache
}

// engineCache is the state of reading one engine's cache events.
type engineCache struct {
	address string
	// reading is true while a read is in progress, so that a slow engine is not read twice at once.
	reading bool
	// translator converts the engine's own block hashes to the router's.
	translator prefix.Translator
}

// promptBlocks returns the block hashes of a prompt. For a prompt given as text, these are the blocks of its longest
// beginning for which an engine has returned token ids.
func (s *prefixTracker) promptBlocks(model string, ids []uint32, text string) []uint64 {
	if len(ids) > 0 {
		return prefix.BlockHashes(model, ids)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.texts.BlockHashes(model, text)
}

// recordTokenIDs records the token ids that an engine returned for a prompt given as text.
func (s *prefixTracker) recordTokenIDs(model, text string, ids []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.texts.Record(model, text, ids)
}

// loop starts a read of each engine's cache events every cacheEventInterval.
func (s *prefixTracker) loop(ctx context.Context) error {
	ticker := time.NewTicker(cacheEventInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for name, cache := range s.enginesToRead() {
			go s.runReadCacheEvents(ctx, name, cache)
		}
	}
}

// enginesToRead returns the engines whose cache events are not being read and marks them as being read. It forgets
// engines that are gone or have a new address.
func (s *prefixTracker) enginesToRead() map[string]*engineCache {
	engines := s.router.dispatcher.engineAddresses()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines == nil {
		s.engines = map[string]*engineCache{}
	}
	for name, cache := range s.engines {
		if engines[name] != cache.address {
			delete(s.engines, name)
		}
	}
	due := map[string]*engineCache{}
	for name, address := range engines {
		cache := s.engines[name]
		if cache == nil {
			cache = &engineCache{address: address}
			s.engines[name] = cache
		}
		if !cache.reading {
			cache.reading = true
			due[name] = cache
		}
	}
	return due
}

// runReadCacheEvents reads an engine's new cache events and applies them. The reading flag keeps other goroutines from
// using the translator meanwhile.
func (s *prefixTracker) runReadCacheEvents(ctx context.Context, name string, cache *engineCache) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	client := engine.Client{Address: cache.address}
	got, err := client.CacheEvents(ctx, cache.translator.Seq())
	if err == nil {
		s.router.dispatcher.applyCacheEvents(name, cache.translateEvents(got))
	}
	s.mu.Lock()
	cache.reading = false
	s.mu.Unlock()
}

// translateEvents converts cache events of the engine to events for the endpoint table. It returns one event that
// clears the cache if the sequence numbers show that the engine was restarted.
func (r *engineCache) translateEvents(got engine.CacheEventBatch) []route.CacheEvent {
	var out []route.CacheEvent
	if got.LastSeq < r.translator.Seq() {
		// Sequence numbers that start over mean that the engine was restarted with an empty cache.
		r.translator.Reset()
		return []route.CacheEvent{{Kind: route.CacheCleared}}
	}
	for _, e := range got.Events {
		switch e.Type {
		case engine.CacheStored:
			out = append(out, r.translator.Stored(e.Seq, prefix.StoredEvent{
				Model: e.Model, Hashes: e.BlockHashes, Parent: e.ParentBlockHash, IDs: e.TokenIDs, BlockTokens: e.BlockSize,
			}))
		case engine.CacheRemoved:
			out = append(out, r.translator.Removed(e.Seq, e.BlockHashes))
		}
	}
	return out
}
