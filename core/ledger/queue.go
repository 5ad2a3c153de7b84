package ledger

import (
	"bytes"
	"cmp"
	"container/heap"
)

// expiry is the time, in Unix milliseconds, at which the claim to a call expires or the retention of a call's record
// ends; id identifies the call.
type expiry struct {
	atMS int64
	id   CallID
}

// expiryHeap is a min-heap of expiries, ordered by time and then by the call's ID. The order is total, so that a sweep
// over a bounded number of records takes the same records on each replica.
type expiryHeap []expiry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if h[i].atMS != h[j].atMS {
		return h[i].atMS < h[j].atMS
	}
	return h[i].id.compare(h[j].id) < 0
}

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an expiry to the heap's slice; it implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop removes the last expiry of the heap's slice; it implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	n := len(old) - 1
	x := old[n]
	*h = old[:n]
	return x
}

// addExpiry inserts an expiry into the heap at its place in the order.
func (h *expiryHeap) addExpiry(x expiry) { heap.Push(h, x) }

// popDueExpiry removes the earliest expiry from the heap and returns it, or returns false if it is later than the given
// time.
func (h *expiryHeap) popDueExpiry(nowMS int64) (expiry, bool) {
	if len(*h) == 0 || (*h)[0].atMS > nowMS {
		return expiry{}, false
	}
	return heap.Pop(h).(expiry), true
}

// compare orders call IDs by client account and then by idempotency key.
func (i CallID) compare(j CallID) int {
	if c := cmp.Compare(i.Account, j.Account); c != 0 {
		return c
	}
	return bytes.Compare(i.Key[:], j.Key[:])
}
