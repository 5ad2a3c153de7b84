package token

import (
	"fmt"
	"slices"
)

// lookahead is the number of correct token ids, from the expected one on, that a wrong token id is compared with. A
// match means that the tokens before it are missing; otherwise the id is foreign: it belongs to another generation or
// follows another prefix.
const lookahead = 256

// FaultKind says what is wrong with a received output token.
type FaultKind string

// Kinds of faults of a received output token.
const (
	// KindMissing means that one or more tokens before the received one are missing.
	KindMissing FaultKind = "missing"
	// KindRepeated means that the same output token was received before.
	KindRepeated FaultKind = "repeated"
	// KindForeign means that the token belongs to another generation or follows another prefix.
	KindForeign FaultKind = "foreign"
	// KindText means that the received text is not the text of the received token ids.
	KindText FaultKind = "text"
)

// TokenFault is the error for a wrong token in the output of a generation. Position is the zero-based index of the
// output token, Got and Want are token ids.
type TokenFault struct {
	Position int
	Kind     FaultKind
	Got      uint32
	Want     uint32
}

// Error returns the kind of fault, the position in the output and both token ids as one line of text.
func (f *TokenFault) Error() string {
	return fmt.Sprintf("%s token at position %d: got %#x, want %#x in the upper bits", f.Kind, f.Position, f.Got, f.Want)
}

// Checker verifies the output token ids of one generation as they arrive. It accepts any salt in a token id, but the
// next id depends on it, so that a wrong salt is detected everywhere but in the last token.
type Checker struct {
	Model  string
	Seed   uint64
	Prompt []uint32

	chain   OutputChain
	started bool
	ids     []uint32
	fault   *TokenFault
}

// Push verifies the next output token id that was received. Its error is a *TokenFault, and each later call returns the
// first one again.
func (c *Checker) Push(id uint32) error {
	c.startChain()
	if c.fault != nil {
		return c.fault
	}
	want := c.chain.Next(id)
	if id != want {
		c.fault = &TokenFault{Position: len(c.ids), Kind: c.classifyMismatch(id), Got: id, Want: want}
		return c.fault
	}
	c.chain.Add(id)
	c.ids = append(c.ids, id)
	return nil
}

// PushText verifies the next output token ids that were received and that text is their text. Its error is a
// *TokenFault.
func (c *Checker) PushText(ids []uint32, text string) error {
	want := ""
	for _, id := range ids {
		if err := c.Push(id); err != nil {
			return err
		}
		want += TokenText(id)
	}
	if text == want {
		return nil
	}
	c.fault = &TokenFault{Position: len(c.ids) - len(ids), Kind: KindText}
	return c.fault
}

// Finish verifies that the output received is as long as that of a request for at most maxTokens tokens. Its error is a
// *TokenFault.
func (c *Checker) Finish(maxTokens int) error {
	c.startChain()
	if c.fault != nil {
		return c.fault
	}
	want := OutputLength(c.Seed, len(c.Prompt), maxTokens)
	switch n := len(c.ids); {
	case n < want:
		c.fault = &TokenFault{Position: n, Kind: KindMissing, Want: c.chain.Next(0)}
	case n > want:
		c.fault = &TokenFault{Position: want, Kind: KindForeign, Got: c.ids[want]}
	default:
		return nil
	}
	return c.fault
}

// IDs returns the output token ids that were received and verified so far; the caller must not modify the slice.
func (c *Checker) IDs() []uint32 { return c.ids }

// startChain initialises, on the first call, the hash chain of the expected output with the prompt.
func (c *Checker) startChain() {
	if c.started {
		return
	}
	c.started = true
	c.chain = NewOutputChain(c.Model, c.Seed)
	c.chain.AddAll(c.Prompt)
}

// classifyMismatch returns the kind of fault of a received token id that is not the expected one.
func (c *Checker) classifyMismatch(id uint32) FaultKind {
	if slices.Contains(c.ids, id) {
		return KindRepeated
	}
	ahead := c.chain
	for range lookahead {
		next := ahead.Next(id)
		if next == id {
			return KindMissing
		}
		ahead.Add(next)
	}
	return KindForeign
}
