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

// event is an action that the virtual clock runs at a time; seq keeps the order of events at the same time.
type event struct {
	at     time.Time
	seq    int
	action func()
}

// scheduleAfter schedules the action at the virtual time that is the duration d from now.
func (t *virtualClock) scheduleAfter(d time.Duration, action func()) {
	t.seq++
	heap.Push(&t.queue, event{at: t.now.Add(d), seq: t.seq, action: action})
}

// scheduleEvery schedules the action after each interval d of virtual time until the action returns false.
func (t *virtualClock) scheduleEvery(d time.Duration, action func() bool) {
	t.scheduleAfter(d, func() {
		if action() {
			t.scheduleEvery(d, action)
		}
	})
}

// run executes the scheduled events up to the virtual time end, or until none is left.
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
