package token

import (
	"errors"
	"slices"
	"testing"

	_ "wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// generate returns the n token ids that an engine generates after the previous ones.
func generate(model string, seed uint64, salt uint32, previous []uint32, n int) []uint32 {
	c := NewOutputChain(model, seed)
	c.AddAll(previous)
	var out []uint32
	for range n {
		id := c.Next(salt)
		c.Add(id)
		out = append(out, id)
	}
	return out
}

// check returns the error of a Checker that receives the output token ids of a whole answer.
func check(seed uint64, prompt, ids []uint32, maxTokens int) error {
	c := Checker{Model: "m", Seed: seed, Prompt: prompt}
	for _, id := range ids {
		if err := c.Push(id); err != nil {
			return err
		}
	}
	return c.Finish(maxTokens)
}

// kindOf returns the kind of a *TokenFault, or an empty string for any other error.
func kindOf(err error) FaultKind {
	var f *TokenFault
	if !errors.As(err, &f) {
		return ""
	}
	return f.Kind
}

// Guards against a Checker that accepts an answer with a missing, repeated, swapped or foreign token.
func TestCheckerDetectsDamagedOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.SliceOfN(rapid.Uint32(), 0, 20).Draw(t, "prompt")
		seed := uint64(rapid.Uint32().Draw(t, "seed"))
		salt := rapid.Uint32Range(0, SaltMask).Draw(t, "salt")
		n := rapid.IntRange(2, 40).Draw(t, "n")
		ids := generate("m", seed, salt, prompt, n)
		if err := check(seed, prompt, ids, n); err != nil {
			t.Fatalf("intact answer: %v", err)
		}
		at := rapid.IntRange(0, n-2).Draw(t, "at")
		other := generate("m", seed+1, salt, prompt, n)
		short := append(slices.Clone(prompt), ids[:at]...)
		retokenized := generate("m", seed, salt, append(short, Tokenize(TokenText(ids[at]))...), 1)
		swapped := slices.Clone(ids)
		swapped[at], swapped[at+1] = swapped[at+1], swapped[at]
		for name, c := range map[string]struct {
			ids  []uint32
			kind FaultKind
		}{
			"dropped":     {slices.Delete(slices.Clone(ids), at, at+1), KindMissing},
			"cut":         {ids[:at+1], KindMissing},
			"repeated":    {slices.Insert(slices.Clone(ids), at+1, ids[at]), KindRepeated},
			"swapped":     {swapped, KindMissing},
			"foreign":     {append(slices.Clone(ids[:at]), other[at:]...), KindForeign},
			"retokenized": {append(slices.Clone(ids[:at+1]), retokenized...), KindForeign},
		} {
			if err := check(seed, prompt, c.ids, n); kindOf(err) != c.kind {
				t.Fatalf("%s at %d: got %v, want a fault of kind %s", name, at, err, c.kind)
			}
		}
	})
}

// Guards against a Checker that accepts an answer joined from the outputs of two engines with different salts, where
// the second engine did not continue from the output of the first.
func TestCheckerDetectsSplicedOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.SliceOfN(rapid.Uint32(), 1, 20).Draw(t, "prompt")
		n := rapid.IntRange(3, 40).Draw(t, "n")
		at := rapid.IntRange(1, n-2).Draw(t, "at")
		a := generate("m", 7, rapid.Uint32Range(0, 30).Draw(t, "salt a"), prompt, n)
		salt := rapid.Uint32Range(31, SaltMask).Draw(t, "salt b")
		b := generate("m", 7, salt, prompt, n)
		err := check(7, prompt, append(slices.Clone(a[:at]), b[at:]...), n)
		var f *TokenFault
		if !errors.As(err, &f) || f.Position != at {
			t.Fatalf("splice at %d: got %v", at, err)
		}
		rest := generate("m", 7, salt, append(slices.Clone(prompt), a[:at]...), n-at)
		if err := check(7, prompt, append(slices.Clone(a[:at]), rest...), n); err != nil {
			t.Fatalf("continued from the right prefix: %v", err)
		}
	})
}

// Guards against a resumed generation that ends at another token than the original one, and against a Checker that
// accepts text that differs from the token ids.
func TestLengthAndText(t *testing.T) {
	seed := SeedEndingAt(5, 30)
	if a, b := OutputLength(seed, 10, 100), 7+OutputLength(seed, 17, 93); a != 20 || b != 20 {
		t.Fatalf("lengths %d and %d, want 20", a, b)
	}
	c := Checker{Model: "m", Seed: seed}
	id := NextToken("m", seed, nil)
	if err := c.PushText([]uint32{id}, TokenText(id+1)); kindOf(err) != KindText {
		t.Fatalf("got %v, want a text fault", err)
	}
	if got := len(Tokenize("a longwordlongword  b ")); got != 5 {
		t.Fatalf("got %d tokens, want 5", got)
	}
}
