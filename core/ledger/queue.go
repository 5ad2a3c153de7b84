package ledger

import (
	"bytes"
	"cmp"
	"container/heap"
)

// expiry is the time at which a claim or a key expires, in Unix milliseconds.
type expiry struct {
	atMS int64
	id   ID
}

// expiryHeap is a min-heap of expiries, ordered by time and then by ID. The order is total, so that sweeps with a
// bounded number of records take the same records on each replica.
type expiryHeap []expiry

func (d expiryHeap) Len() int { return len(d) }

func (d expiryHeap) Less(i, j int) bool {
	if d[i].atMS != d[j].atMS {
		return d[i].atMS < d[j].atMS
	}
	return d[i].id.compare(d[j].id) < 0
}

func (d expiryHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push appends an element; it implements heap.Interface.
func (d *expiryHeap) Push(x any) { *d = append(*d, x.(expiry)) }

// Pop removes the last element; it implements heap.Interface.
func (d *expiryHeap) Pop() any {
	old := *d
	n := len(old) - 1
	x := old[n]
	*d = old[:n]
	return x
}

func (d *expiryHeap) add(x expiry) { heap.Push(d, x) }

// popDue removes and returns the earliest expiry, or false if it is later than the given time.
func (d *expiryHeap) popDue(nowMS int64) (expiry, bool) {
	if len(*d) == 0 || (*d)[0].atMS > nowMS {
		return expiry{}, false
	}
	return heap.Pop(d).(expiry), true
}

// compare orders IDs by account and then by key.
func (i ID) compare(j ID) int {
	if c := cmp.Compare(i.Account, j.Account); c != 0 {
		return c
	}
	return bytes.Compare(i.Key[:], j.Key[:])
}
