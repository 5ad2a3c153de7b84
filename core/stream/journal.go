package stream

import "sort"

// batchEnd is the position at which a batch of output ends in a journal: an index into its token ids and one into its
// text.
type batchEnd struct {
	ids  uint32
	text uint32
}

// journal is the output of a generation as a sequence of batches, stored in three flat slices. Most batches have one or
// two tokens, and a slice header per batch would take several times the memory of its tokens.
type journal struct {
	ids  []Token
	text []byte
	ends []batchEnd
	// finish is the finish reason, or empty if the last batch has not been added yet.
	finish string
	// software is the software version of the engine that began the answer, or empty if it is unknown.
	software string
}

// Sizes in bytes of a Token and of a batchEnd.
const (
	tokenBytes    = 4
	batchEndBytes = 8
)

// sizeBytes returns the bytes that the slices of the journal take, unused capacity included.
func (j *journal) sizeBytes() int {
	return cap(j.ids)*tokenBytes + cap(j.text) + cap(j.ends)*batchEndBytes + len(j.software)
}

func (j *journal) numBatches() int { return len(j.ends) }

func (j *journal) numTokens() int { return len(j.ids) }

func (j *journal) finished() bool { return j.finish != "" }

// addBatch appends a batch to the journal; callers add none after the batch with the finish reason.
func (j *journal) addBatch(b Batch) {
	if len(j.ends) == 0 {
		j.software = b.Software
	}
	j.ids = append(j.ids, b.IDs...)
	j.text = append(j.text, b.Text...)
	j.ends = append(j.ends, batchEnd{ids: uint32(len(j.ids)), text: uint32(len(j.text))})
	j.finish = b.Finish
}

// batchStart returns the position in the journal at which the batch with index i begins.
func (j *journal) batchStart(i int) batchEnd {
	if i == 0 {
		return batchEnd{}
	}
	return j.ends[i-1]
}

// batch returns the batch of the journal with index i. Its ids share memory with the journal, which is safe because
// stored tokens never change.
func (j *journal) batch(i int) Batch {
	a, b := j.batchStart(i), j.ends[i]
	out := Batch{IDs: j.ids[a.ids:b.ids:b.ids], Text: string(j.text[a.text:b.text])}
	if i == len(j.ends)-1 {
		out.Finish = j.finish
	}
	if i == 0 {
		out.Software = j.software
	}
	return out
}

// batchRange returns the batches of the journal with indices in the half-open range [from, to).
func (j *journal) batchRange(from, to int) []Batch {
	if from >= to {
		return nil
	}
	out := make([]Batch, 0, to-from)
	for i := from; i < to; i++ {
		out = append(out, j.batch(i))
	}
	return out
}

func (j *journal) allBatches() []Batch { return j.batchRange(0, len(j.ends)) }

// batchAt returns the index of the first batch that begins at the token offset, or the number of batches if the journal
// ends there. It returns false if the offset is inside a batch or beyond the end.
func (j *journal) batchAt(offset int) (int, bool) {
	if offset == 0 {
		return 0, true
	}
	i := sort.Search(len(j.ends), func(i int) bool { return int(j.ends[i].ids) >= offset })
	if i == len(j.ends) || int(j.ends[i].ids) != offset {
		return 0, false
	}
	return i + 1, true
}

// newJournal returns a journal that consists of the given batches.
func newJournal(batches []Batch) journal {
	var j journal
	for _, b := range batches {
		j.addBatch(b)
	}
	return j
}
