package token

import (
	"hash/fnv"
	"strconv"
)

// SaltBits is the number of low bits of a generated token id that hold the salt of the simulated engine, a number by
// which the outputs of two simulated engines differ.
const SaltBits = 6

// SaltMask is the bit mask that selects the salt of the simulated engine in a token id.
const SaltMask = 1<<SaltBits - 1

// maxPieceBytes is the maximum length of the part of a word that is encoded as one token, leading spaces not counted.
const maxPieceBytes = 8

// OutputChain is a hash over a model name, a sampling seed and the token ids of a generation so far, from which a
// simulated engine computes the next token id.
type OutputChain struct {
	state  uint64
	length int
}

// NewOutputChain returns the hash chain with which a simulated engine generates output for the model and the sampling
// seed; no prompt token has been added yet.
func NewOutputChain(model string, seed uint64) OutputChain {
	return OutputChain{state: mixBits(hashString(model) ^ mixBits(seed+1))}
}

// Add appends one token id of the prompt or of the output to the hashed sequence of the generation.
func (c *OutputChain) Add(id uint32) {
	c.state = mixBits(c.state*0x9e3779b97f4a7c15 + uint64(id) + 1)
	c.length++
}

// AddAll appends token ids of the prompt or of the output, in order, to the hashed sequence of the generation.
func (c *OutputChain) AddAll(ids []uint32) {
	for _, id := range ids {
		c.Add(id)
	}
}

// Next returns the token id that a simulated engine with the salt generates next: the salt in the low SaltBits bits and
// a hash of the whole sequence so far in the others. It does not append the id.
func (c *OutputChain) Next(salt uint32) uint32 {
	return uint32(mixBits(c.state^0xd6e8feb86659fd93)>>32)&^SaltMask | salt&SaltMask
}

// Len returns the number of token ids that were added to the chain, those of the prompt included.
func (c *OutputChain) Len() int { return c.length }

// NextToken returns the token id that a simulated engine with salt zero generates after previous, the ids of the prompt
// and of the output so far.
func NextToken(model string, seed uint64, previous []uint32) uint32 {
	c := NewOutputChain(model, seed)
	c.AddAll(previous)
	return c.Next(0)
}

// Tokenize returns the token ids that the simulated engine assigns to a text. Each token covers up to eight bytes of a
// word, with the spaces before them.
func Tokenize(text string) []uint32 {
	var ids []uint32
	for len(text) > 0 {
		n := pieceLen(text)
		ids = append(ids, uint32(hashString(text[:n])>>32))
		text = text[n:]
	}
	return ids
}

// pieceLen returns the number of bytes at the start of the text that form one token, leading spaces included.
func pieceLen(text string) int {
	n := 0
	for n < len(text) && text[n] == ' ' {
		n++
	}
	start := n
	for n < len(text) && text[n] != ' ' && n-start < maxPieceBytes {
		n++
	}
	return n
}

// TokenText returns the text of a generated token id. Tokenize does not return the same id for that text.
func TokenText(id uint32) string { return " " + strconv.FormatUint(uint64(id), 36) }

// SeedEndingAt returns a sampling seed with which the simulated engine ends a generation when prompt and output
// together have n tokens. The end is an absolute position, so that a generation resumed from a part of its output ends
// at the same token.
func SeedEndingAt(seed uint32, n int) uint64 { return uint64(n)<<32 | uint64(seed) }

// OutputLength returns the number of output tokens that a simulated engine generates with the sampling seed for a
// prompt of the given number of tokens. It is at most maxTokens.
func OutputLength(seed uint64, prompt, maxTokens int) int {
	end := int(seed >> 32)
	if end == 0 {
		return maxTokens
	}
	return min(maxTokens, max(0, end-prompt))
}

// hashString returns the 64-bit FNV-1a hash of s, passed through mix.
func hashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // hash.Hash.Write never returns an error
	return mixBits(h.Sum64())
}

// mixBits spreads each bit of x over the whole result; it is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
