package stream

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
)

// HolderCount is the number of journal holders of a generation if there are enough routers.
const HolderCount = 3

// Candidate is a router that can be a journal holder, with its failure domain.
type Candidate struct {
	HolderID
	Domain string
}

// PlaceHolders returns the set of routers that hold the journal of a new generation: its owner and other candidates, in
// different failure domains as far as possible. It has fewer than HolderCount members only if there are fewer routers.
func PlaceHolders(id string, owner Candidate, candidates []Candidate) HolderSet {
	set := HolderSet{Number: 1, Members: []HolderID{owner.HolderID}}
	chosen := []Candidate{owner}
	for len(chosen) < HolderCount {
		c, ok := bestCandidate(id, chosen, candidates)
		if !ok {
			break
		}
		chosen = append(chosen, c)
		set.Members = append(set.Members, c.HolderID)
	}
	return set
}

// PlaceReplacement returns the router that replaces a lost journal holder of a generation, in another failure domain
// than the remaining holders if possible. It returns false if there is no further candidate.
func PlaceReplacement(id string, set HolderSet, lost HolderID, candidates []Candidate) (HolderID, bool) {
	var kept []Candidate
	for _, m := range set.Members {
		if m.SameIncarnation(lost) {
			continue
		}
		k := Candidate{HolderID: m}
		for _, c := range candidates {
			if c.Router == m.Router {
				k.Domain = c.Domain
			}
		}
		kept = append(kept, k)
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.SameIncarnation(lost) })
	c, ok := bestCandidate(id, kept, others)
	return c.HolderID, ok
}

// bestCandidate returns the router among the candidates not yet chosen that has the highest hash for the request id
// (rendezvous hashing), which spreads the journals of one router over all others. Candidates in a failure domain
// without a chosen router come first. It returns false if all are chosen.
func bestCandidate(id string, chosen, candidates []Candidate) (best Candidate, ok bool) {
	rank := func(c Candidate) (int, uint64) {
		newDomain := 1
		if slices.ContainsFunc(chosen, func(o Candidate) bool { return o.Domain == c.Domain }) {
			newDomain = 0
		}
		return newDomain, candidateHash(id, c.Router)
	}
	for _, c := range candidates {
		if slices.ContainsFunc(chosen, func(o Candidate) bool { return o.Router == c.Router }) {
			continue
		}
		newDomain, hash := rank(c)
		bestNewDomain, bestHash := rank(best)
		if !ok || cmp.Or(cmp.Compare(newDomain, bestNewDomain), cmp.Compare(hash, bestHash)) > 0 {
			best, ok = c, true
		}
	}
	return best, ok
}

// candidateHash returns the FNV hash of a request id and a router name, passed through the finalizer of SplitMix64,
// because the high bits of the FNV hash alone vary little between short texts.
func candidateHash(id, router string) uint64 {
	f := fnv.New64a()
	_, _ = io.WriteString(f, id+"/"+router)
	h := f.Sum64()
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
