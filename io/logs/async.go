package logs

import (
	"io"
	"sync/atomic"
)

// asyncLines is the number of lines that may wait for the output; at 300 bytes each they take 1.2 MB.
const asyncLines = 4096

// Async writes lines beside the caller, so that a slow output never holds up a request; lines beyond a bound are dropped
// and counted.
type Async struct {
	out     io.Writer
	lines   chan []byte
	idle    chan chan struct{}
	dropped atomic.Int64
}

// NewAsync returns a writer to out.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncLines), idle: make(chan chan struct{})}
	go a.run()
	return a
}

// Write queues a line; it never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Flush waits until the lines that were queued before are written.
func (a *Async) Flush() {
	done := make(chan struct{})
	a.idle <- done
	<-done
}

func (a *Async) run() {
	for {
		select {
		case line := <-a.lines:
			// There is nowhere to report that the log itself can not be written.
			_, _ = a.out.Write(line)
		case done := <-a.idle:
			for range len(a.lines) {
				_, _ = a.out.Write(<-a.lines)
			}
			close(done)
		}
	}
}
