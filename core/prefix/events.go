package prefix

import "wasabiweir/core/route"

// StoredEvent is the content of an engine's event that consecutive blocks of a token sequence were added to its prefix
// cache.
type StoredEvent struct {
	// Model is the name of the model or adapter that processed the token sequence.
	Model string
	// Hashes are the engine's own hashes of the stored blocks.
	Hashes []uint64
	// Parent is the engine's own hash of the block before them; zero means that the blocks start the sequence.
	Parent uint64
	// IDs are the token ids of all stored blocks.
	IDs []uint32
	// BlockTokens is the number of token ids in each block of the engine's prefix cache.
	BlockTokens int
}

// Translator translates one engine's prefix cache events from the engine's own block hashes to the chained hashes of
// this package. After a gap in the events' sequence numbers it discards the known hashes of the engine, because a lost
// event may have reused them.
type Translator struct {
	lastSeq       uint64
	chainedHashes map[uint64]uint64 // chained hash of a block by the engine's own hash
}

// Stored translates an engine's event that blocks were added to its prefix cache. The result has no blocks if their
// parent is unknown, their size is not BlockTokens or token ids are missing.
func (t *Translator) Stored(seq uint64, s StoredEvent) route.CacheEvent {
	t.checkSequence(seq)
	out := route.CacheEvent{Seq: seq, Kind: route.CacheStored}
	parent := modelHash(s.Model)
	if s.Parent != 0 {
		chainedHash, ok := t.chainedHashes[s.Parent]
		if !ok {
			return out
		}
		parent = chainedHash
	}
	if s.BlockTokens != BlockTokens || len(s.IDs) < len(s.Hashes)*BlockTokens {
		return out
	}
	out.Blocks = chainHashes(parent, s.IDs[:len(s.Hashes)*BlockTokens])
	for i, chainedHash := range out.Blocks {
		t.chainedHashes[s.Hashes[i]] = chainedHash
	}
	return out
}

// Removed translates an engine's event that blocks were removed from its prefix cache, given by the engine's own
// hashes; unknown ones are left out.
func (t *Translator) Removed(seq uint64, hashes []uint64) route.CacheEvent {
	t.checkSequence(seq)
	out := route.CacheEvent{Seq: seq, Kind: route.CacheRemoved}
	for _, h := range hashes {
		if chainedHash, ok := t.chainedHashes[h]; ok {
			out.Blocks = append(out.Blocks, chainedHash)
			delete(t.chainedHashes, h)
		}
	}
	return out
}

// checkSequence records the sequence number of an engine's cache event and discards all known hashes if events are
// missing before it.
func (t *Translator) checkSequence(seq uint64) {
	if seq != t.lastSeq+1 || t.chainedHashes == nil {
		t.chainedHashes = map[uint64]uint64{}
	}
	t.lastSeq = seq
}

// Seq returns the sequence number of the engine's last translated cache event.
func (t *Translator) Seq() uint64 { return t.lastSeq }

// Reset discards all known hashes and the sequence number, for an engine that was restarted and numbers its events
// anew.
func (t *Translator) Reset() { *t = Translator{} }
