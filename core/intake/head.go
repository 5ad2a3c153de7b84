package intake

const (
	// byteCost, lineCost and itemCost are the bytes of memory that a byte, a line and an entry of a list in a request head take
	// while the request is served: as it was sent, parsed, and copied for an endpoint.
	byteCost = 4
	lineCost = 512
	itemCost = 64
	// ordinaryHead is the cost in bytes up to which a head takes nothing from the budget. The number of connections bounds the
	// memory of such heads.
	ordinaryHead = 24 << 10
	// defaultHeadBudget is the budget in bytes of a process whose memory is not known.
	defaultHeadBudget = 32 << 20
	// headShare is the part, as a divisor, of a process's memory that the heads beyond ordinaryHead may take.
	headShare = 8
)

// Verdict is the decision on a request head.
type Verdict int

const (
	// Admitted means that the head may be read.
	Admitted Verdict = iota
	// Busy means that the heads of other requests take the memory that the head needs.
	Busy
	// TooLarge means that the head needs more memory than all heads together may take.
	TooLarge
)

// HeadBudget bounds the memory of the request heads that are read or served at the same time. Heads of a few dozen lines are
// always admitted; the others share the budget, so that they cannot take the memory of the process, nor the room of the
// ordinary ones.
type HeadBudget struct {
	// Bytes is the memory for all heads beyond the ordinary ones; 0 means a default.
	Bytes int64

	taken int64
}

// Head is what has arrived of a request head: its bytes, lines, and commas, which separate the entries of lists.
type Head struct{ Bytes, Lines, Commas int }

// cost returns the memory in bytes that the head takes.
func (h Head) cost() int64 {
	return int64(h.Bytes)*byteCost + int64(h.Lines)*lineCost + int64(h.Commas)*itemCost
}

// Grow decides on what has arrived of a head whose request holds a part of the budget already. It returns the part that the
// request holds from now on.
func (b *HeadBudget) Grow(held int64, h Head) (int64, Verdict) {
	need := max(held, h.cost()-ordinaryHead)
	switch {
	case need > b.capacity():
		return held, TooLarge
	case b.taken-held+need > b.capacity():
		return held, Busy
	}
	b.taken += need - held
	return need, Admitted
}

// Release returns the part of the budget that a request holds.
func (b *HeadBudget) Release(held int64) { b.taken -= held }

// Taken returns the part of the budget that requests hold, in bytes.
func (b *HeadBudget) Taken() int64 { return b.taken }

// capacity returns the budget in bytes.
func (b *HeadBudget) capacity() int64 {
	if b.Bytes == 0 {
		return defaultHeadBudget
	}
	return b.Bytes
}
