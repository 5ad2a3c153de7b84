package bench

import (
	"container/heap"
	"time"
)

// virtualClock is a simulated clock with a queue of events; events at the same time run in the order in which they
// were added.
type virtualClock struct {
	now   time.Time
	queue eventHeap
	seq   int
}

// event is an action that runs at a virtual time; seq keeps the order of events at the same time.
type event struct {
	at     time.Time
	seq    int
	action func()
}

// after schedules the action at the duration from now.
func (t *virtualClock) after(d time.Duration, action func()) {
	t.seq++
	heap.Push(&t.queue, event{at: t.now.Add(d), seq: t.seq, action: action})
}

// every runs the action at each interval until it returns false.
func (t *virtualClock) every(d time.Duration, action func() bool) {
	t.after(d, func() {
		if action() {
			t.every(d, action)
		}
	})
}

// run executes events up to the time end, or until none is left.
func (t *virtualClock) run(end time.Time) {
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.action()
	}
}

// eventHeap is a min-heap of events by time and then by order of insertion.
type eventHeap []event

func (q eventHeap) Len() int { return len(q) }

func (q eventHeap) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; it implements heap.Interface.
func (q *eventHeap) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; it implements heap.Interface.
func (q *eventHeap) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}
