package prefix

import "hash/fnv"

const (
	// chunkBytes is the granularity of the prefixes of a text that TextIndex records: their lengths are multiples of
	// it.
	chunkBytes = 128
	// defaultMaxPrefixes bounds the number of text prefixes in memory: about 6 MB at 64 blocks each.
	defaultMaxPrefixes = 8192
	// maxTextPrefixes bounds the number of prefixes that are recorded for one text.
	maxTextPrefixes = 64
)

// TextIndex maps prefixes of prompt texts to the hashes of their token blocks. It records them from texts that engines
// have tokenised, so that the blocks of a new text with the same prefix are known before an engine tokenises it. The
// result is only a hint, because the last token of a prefix may differ in another text.
type TextIndex struct {
	// Max bounds the number of text prefixes in memory; zero means 8192.
	Max int

	byPrefix       map[uint64][]uint64 // hashes of the token blocks by the hash of the text prefix
	insertionOrder []uint64            // hashes of the prefixes, the oldest first
}

// Record records the token ids to which an engine has tokenised a prompt text for the model.
func (x *TextIndex) Record(model, text string, ids []uint32) {
	if len(text) < chunkBytes || len(ids) == 0 {
		return
	}
	blocks := BlockHashes(model, ids)
	for n, key := range prefixHashes(model, text) {
		// Assume that the prefix covers the blocks of token ids in proportion to its part of the text, rounded down.
		covered := len(blocks) * (n + 1) * chunkBytes / len(text)
		x.storePrefix(key, blocks[:min(covered, len(blocks))])
	}
}

// storePrefix saves the block hashes of a text prefix and removes the oldest prefixes beyond the limit.
func (x *TextIndex) storePrefix(key uint64, blocks []uint64) {
	if x.byPrefix == nil {
		x.byPrefix = map[uint64][]uint64{}
	}
	if _, ok := x.byPrefix[key]; !ok {
		x.insertionOrder = append(x.insertionOrder, key)
	}
	x.byPrefix[key] = blocks
	limit := x.Max
	if limit == 0 {
		limit = defaultMaxPrefixes
	}
	for len(x.insertionOrder) > limit {
		delete(x.byPrefix, x.insertionOrder[0])
		x.insertionOrder = x.insertionOrder[1:]
	}
}

// BlockHashes returns the hashes of the token blocks of the longest recorded prefix of a prompt text, or nil if none is
// recorded.
func (x *TextIndex) BlockHashes(model, text string) []uint64 {
	keys := prefixHashes(model, text)
	for i := len(keys) - 1; i >= 0; i-- {
		if b, ok := x.byPrefix[keys[i]]; ok {
			return b
		}
	}
	return nil
}

// prefixHashes returns the hashes of the text's prefixes whose lengths are multiples of chunkBytes, the shortest first.
// A hash also covers the model name.
func prefixHashes(model, text string) []uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	var out []uint64
	for len(text) >= chunkBytes && len(out) < maxTextPrefixes {
		_, _ = h.Write([]byte(text[:chunkBytes]))
		out = append(out, h.Sum64())
		text = text[chunkBytes:]
	}
	return out
}
