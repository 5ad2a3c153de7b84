package router

import (
	"testing"

	"wasabiweir/core/route"
	"wasabiweir/io/engine"
)

// A restarted engine has an empty cache. The prefix index must drop the engine's blocks when the sequence numbers of
// its cache events start over.
func TestRestartedEngineLosesCachedBlocks(t *testing.T) {
	ids := make([]uint32, 16)
	req := &route.Request{Service: "dente-llm", Blocks: (&prefixTracker{}).promptBlocks("dente", ids, ""), PrefillTokens: 16}
	table := route.Table{}
	table.Configure([]route.EndpointSpec{{Name: "engine-1", Service: "dente-llm", Address: "127.0.0.1:1"}})
	cache := &engineCache{}
	storedEvent := func(seq uint64) engine.CacheEventBatch {
		return engine.CacheEventBatch{LastSeq: seq, Events: []engine.CacheEvent{
			{Seq: seq, Type: engine.CacheStored, Model: "dente", BlockHashes: []uint64{5}, TokenIDs: ids, BlockSize: 16},
		}}
	}
	table.ApplyCacheEvents("engine-1", cache.translateEvents(storedEvent(7)))
	if n := table.CachedTokens(table.Endpoint("engine-1"), req); n != 16 {
		t.Fatalf("%d tokens are known as cached, want 16", n)
	}
	table.ApplyCacheEvents("engine-1", cache.translateEvents(engine.CacheEventBatch{LastSeq: 2}))
	if n := table.CachedTokens(table.Endpoint("engine-1"), req); n != 0 {
		t.Fatalf("%d tokens are known as cached after the restart", n)
	}
	table.ApplyCacheEvents("engine-1", cache.translateEvents(storedEvent(3)))
	if n := table.CachedTokens(table.Endpoint("engine-1"), req); n != 16 {
		t.Fatalf("%d tokens are known as cached after a new event, want 16", n)
	}
}
