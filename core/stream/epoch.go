package stream

import (
	"cmp"
	"slices"
)

// Token is the id of a token in the vocabulary of a model.
type Token = uint32

// FirstEpoch is the epoch number of the first owner of a generation, the router that received the request. Routers that
// take the ownership over later use higher numbers.
const FirstEpoch = 1

// Epoch identifies one ownership of a generation by a router. Journal holders that promised an epoch refuse writes of
// owners with lower ones.
type Epoch struct {
	// Number is compared first, so that a router that takes the generation over with a higher number fences all earlier
	// owners.
	Number uint64 `cbor:"1,keyasint"`
	// Router is the name of the owning router.
	Router string `cbor:"2,keyasint"`
	// Nonce distinguishes two ownerships by the same router, which may use a number again after a restart.
	Nonce uint64 `cbor:"3,keyasint,omitempty"`
}

// Compare compares two epochs by number, router name and nonce. It returns -1 if e is lower than o, 0 if both are equal
// and 1 if e is higher.
func (e Epoch) Compare(o Epoch) int {
	return cmp.Or(cmp.Compare(e.Number, o.Number), cmp.Compare(e.Router, o.Router), cmp.Compare(e.Nonce, o.Nonce))
}

// Less reports whether the epoch e is lower than o, so that holders that promised o refuse the writes of e.
func (e Epoch) Less(o Epoch) bool { return e.Compare(o) < 0 }

// HolderID identifies a journal holder: a router, its incarnation, which changes with each restart because journals are
// kept in memory only, and its peer address.
type HolderID struct {
	Router      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint,omitempty"`
}

// SameIncarnation reports whether the holders h and o are the same incarnation of the same router; the address is not
// compared.
func (h HolderID) SameIncarnation(o HolderID) bool {
	return h.Router == o.Router && h.Incarnation == o.Incarnation
}

// HolderSet is the set of journal holders of a generation. Its number grows by one with each replacement of a holder.
type HolderSet struct {
	Number  uint64     `cbor:"1,keyasint"`
	Members []HolderID `cbor:"2,keyasint"`
}

// Quorum returns the number of journal holders that form a majority of the set, such as two of three.
func (s HolderSet) Quorum() int { return len(s.Members)/2 + 1 }

// Has reports whether the set has a journal holder with the router name and the incarnation of m.
func (s HolderSet) Has(m HolderID) bool { return slices.ContainsFunc(s.Members, m.SameIncarnation) }

// Replace returns a copy of the holder set with the next number and with the journal holder replacement in the place of
// lost.
func (s HolderSet) Replace(lost, replacement HolderID) HolderSet {
	next := HolderSet{Number: s.Number + 1, Members: slices.Clone(s.Members)}
	for i, m := range next.Members {
		if m.SameIncarnation(lost) {
			next.Members[i] = replacement
		}
	}
	return next
}

// OpenRecord is the open record of a generation, the first entry of its journal. It has all the request parameters that
// another engine needs to continue the generation.
type OpenRecord struct {
	ID      string `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint,omitempty"`
	Model   string `cbor:"4,keyasint,omitempty"`
	// Prompt holds the token ids of the prompt.
	Prompt []Token `cbor:"5,keyasint"`
	Seed   uint64  `cbor:"6,keyasint,omitempty"`
	// MaxTokens is the maximum number of tokens of the whole answer; zero means no maximum.
	MaxTokens int `cbor:"7,keyasint,omitempty"`
	// Parameters holds the other request parameters, encoded by the router; this package does not decode them.
	Parameters []byte `cbor:"8,keyasint,omitempty"`
}

// Batch is a group of output tokens that is journalled and released to the caller as one unit.
type Batch struct {
	// IDs holds the token ids of the batch, Text their text.
	IDs  []Token `cbor:"1,keyasint,omitempty"`
	Text string  `cbor:"2,keyasint,omitempty"`
	// Finish is the finish reason in the last batch of an answer and empty in all others.
	Finish string `cbor:"3,keyasint,omitempty"`
	// Software is the software version of the engine that began the answer. Only the first batch has it; it is empty if
	// the version is unknown.
	Software string `cbor:"4,keyasint,omitempty"`
}
