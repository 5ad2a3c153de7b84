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

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if h[i].atMS != h[j].atMS {
		return h[i].atMS < h[j].atMS
	}
	return h[i].id.compare(h[j].id) < 0
}

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element; it implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop removes the last element; it implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	*h = old[:n]
	return x
}

// add inserts an expiry at its place in the order.
func (h *expiryHeap) add(x expiry) { heap.Push(h, x) }

// popDue removes and returns the earliest expiry, or false if it is later than the given time.
func (h *expiryHeap) popDue(nowMS int64) (expiry, bool) {
	if len(*h) == 0 || (*h)[0].atMS > nowMS {
		return expiry{}, false
	}
	return heap.Pop(h).(expiry), true
}

// compare orders IDs by account and then by key.
func (i ID) compare(j ID) int {
	if c := cmp.Compare(i.Account, j.Account); c != 0 {
		return c
	}
	return bytes.Compare(i.Key[:], j.Key[:])
}
