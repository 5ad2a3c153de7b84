package token

// BlockTokens is the number of token ids in one block of an engine's prefix cache.
const BlockTokens = 16

// BlockHashes returns one hash for each full block of the given token ids, by which the simulated engine identifies it
// in its prefix cache. A hash covers the model name and all ids up to the end of its block; ids after the last full
// block are left out.
func BlockHashes(model string, ids []uint32) []uint64 {
	hashes := make([]uint64, 0, len(ids)/BlockTokens)
	h := hashString(model)
	for len(ids) >= BlockTokens {
		for _, id := range ids[:BlockTokens] {
			h = mixBits(h*0x9e3779b97f4a7c15 + uint64(id) + 1)
		}
		hashes = append(hashes, h)
		ids = ids[BlockTokens:]
	}
	return hashes
}
