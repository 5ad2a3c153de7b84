package route

import (
	"container/heap"
	"time"

	"wasabiweir/core/table"
)

// Pacer limits the rate at which interrupted streams are resumed, measured in prefilled tokens, so that the streams of
// a lost failure domain do not all prefill at once. Streams are resumed in the order of their due times.
type Pacer[T any] struct {
	// Bucket holds the rate of resumes in prefilled tokens per second and their burst in prefilled tokens.
	Bucket table.Bucket

	queue pacerQueue[T]
	seq   int
}

// pacedItem is a value, such as an interrupted stream, in the queue of a Pacer; seq orders values with the same due
// time by insertion.
type pacedItem[T any] struct {
	value  T
	due    time.Time
	tokens float64
	seq    int
}

// Push queues a value, such as an interrupted stream, that is due at the given time and needs the given number of
// prefilled tokens.
func (p *Pacer[T]) Push(v T, due time.Time, tokens int) {
	p.seq++
	heap.Push(&p.queue, pacedItem[T]{value: v, due: due, tokens: float64(tokens), seq: p.seq})
}

// Len returns the number of values, such as interrupted streams, that wait in the Pacer.
func (p *Pacer[T]) Len() int { return len(p.queue) }

// Next removes and returns the first queued value if the rate of prefilled tokens allows it to start now, and false
// otherwise. A value may overdraw the token bucket, so that a prompt longer than the burst can start too; the overdraft
// delays the values after it.
func (p *Pacer[T]) Next(now time.Time) (T, bool) {
	var zero T
	if len(p.queue) == 0 || p.Bucket.Level(now) <= 0 {
		return zero, false
	}
	v := heap.Pop(&p.queue).(pacedItem[T])
	p.Bucket.Debit(now, v.tokens)
	return v.value, true
}

// Wait returns the time until the rate of prefilled tokens allows Next to return a value; it is meaningful only if
// values are queued.
func (p *Pacer[T]) Wait(now time.Time) time.Duration {
	return p.Bucket.Wait(now, 1)
}

// pacerQueue is the queue of a Pacer, a heap.Interface ordered by due time, then by insertion.
type pacerQueue[T any] []pacedItem[T]

func (q pacerQueue[T]) Len() int { return len(q) }

func (q pacerQueue[T]) Less(i, j int) bool {
	if !q[i].due.Equal(q[j].due) {
		return q[i].due.Before(q[j].due)
	}
	return q[i].seq < q[j].seq
}

func (q pacerQueue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a value to the heap's slice, as heap.Interface requires.
func (q *pacerQueue[T]) Push(x any) { *q = append(*q, x.(pacedItem[T])) }

// Pop removes and returns the last value of the heap's slice, as heap.Interface requires.
func (q *pacerQueue[T]) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}
