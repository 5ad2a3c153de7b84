package prefix

import (
	"encoding/binary"
	"hash/fnv"
)

// BlockTokens is the number of token ids per block of a prompt.
const BlockTokens = 16

// BlockHashes returns the chained hash of each full block of a prompt's token ids. A hash covers the model name and all
// ids up to the end of its block.
func BlockHashes(model string, ids []uint32) []uint64 { return chainHashes(modelHash(model), ids) }

// modelHash returns the hash of the model name, which takes the place of a parent hash for the first block of a prompt.
func modelHash(model string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	return h.Sum64()
}

// chainHashes returns the chained hash of each full block of token ids, which follow the block with the chained hash
// parent.
func chainHashes(parent uint64, ids []uint32) []uint64 {
	out := make([]uint64, 0, len(ids)/BlockTokens)
	var buf [8 + 4*BlockTokens]byte
	for len(ids) >= BlockTokens {
		binary.LittleEndian.PutUint64(buf[:], parent)
		for i, id := range ids[:BlockTokens] {
			binary.LittleEndian.PutUint32(buf[8+4*i:], id)
		}
		h := fnv.New64a()
		_, _ = h.Write(buf[:])
		parent = h.Sum64()
		out = append(out, parent)
		ids = ids[BlockTokens:]
	}
	return out
}
