package prefix

import (
	"slices"
	"strings"
	"testing"

	_ "wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// Guards against translated blocks that the engine's events did not store, also after lost events.
func TestTranslatorNamesOnlyStoredBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Translator
		ids := rapid.SliceOfN(rapid.Uint32(), 4*BlockTokens, 4*BlockTokens).Draw(t, "ids")
		want := BlockHashes("dente", ids)
		engine := []uint64{101, 102, 103, 104} // the engine's own hashes of the blocks
		held := map[uint64]bool{}
		for seq := uint64(1); seq <= 8; seq++ {
			from := rapid.IntRange(0, 3).Draw(t, "from")
			s := StoredEvent{Model: "dente", Hashes: engine[from:], IDs: ids[from*BlockTokens:], BlockTokens: BlockTokens}
			if from > 0 {
				s.Parent = engine[from-1]
			}
			if rapid.Bool().Draw(t, "lost") {
				clear(held) // a reader discards its blocks after a gap
				continue
			}
			for _, b := range tr.Stored(seq, s).Blocks {
				held[b] = true
			}
			for b := range held {
				if !slices.Contains(want, b) {
					t.Fatalf("block %x is none of the prompt's", b)
				}
			}
			if from == 0 && len(held) != len(want) {
				t.Fatalf("%d blocks after the whole prompt was stored", len(held))
			}
		}
	})
}

// Guards against a removed block that stays in the index, and against a gap in the events that is not noticed.
func TestTranslatorRemoves(t *testing.T) {
	var tr Translator
	ids := make([]uint32, 2*BlockTokens)
	stored := tr.Stored(1, StoredEvent{Model: "m", Hashes: []uint64{7, 8}, IDs: ids, BlockTokens: BlockTokens})
	if got := tr.Removed(2, []uint64{8, 9}); !slices.Equal(got.Blocks, stored.Blocks[1:]) {
		t.Fatalf("removed %v, want %v", got.Blocks, stored.Blocks[1:])
	}
	if got := tr.Removed(4, []uint64{7}); len(got.Blocks) != 0 {
		t.Fatalf("blocks %v are named after a gap", got.Blocks)
	}
}

// Guards against a text prompt for which the known blocks of a text with the same prefix are not found.
func TestTextsFindsSharedBeginning(t *testing.T) {
	var x TextIndex
	text := strings.Repeat("history of the herd at the farm ", 40)
	ids := make([]uint32, 160)
	for i := range ids {
		ids[i] = uint32(i)
	}
	x.Record("m", text, ids)
	got := x.BlockHashes("m", text[:640]+"another question")
	if len(got) == 0 || !slices.Equal(got, BlockHashes("m", ids)[:len(got)]) {
		t.Fatalf("blocks %v", got)
	}
	if x.BlockHashes("other", text) != nil || x.BlockHashes("m", "something else "+text) != nil {
		t.Fatal("blocks of another model or text")
	}
}
