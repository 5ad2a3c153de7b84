package logs

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines is the number of log lines that may wait until the output accepts them; at 300 bytes each they take
// 1.2 MB.
const maxQueuedLines = 4096

// AsyncWriter queues log lines and writes them in a goroutine, so that a slow output never delays a request; it drops
// and counts lines that do not fit in the queue.
type AsyncWriter struct {
	out           io.Writer
	lines         chan []byte
	flushRequests chan chan struct{}
	dropped       atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter for out and starts its goroutine, which never ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of the log line, or drops the line if the queue is full; the error is always nil.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of log lines that have been dropped since the start because the queue was full.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Flush waits until all log lines that were queued before the call have been written.
func (a *AsyncWriter) Flush() {
	done := make(chan struct{})
	a.flushRequests <- done
	<-done
}

// run writes the queued log lines to the output; on a flush request it empties the queue and then signals the caller
// of Flush.
func (a *AsyncWriter) run() {
	for {
		select {
		case line := <-a.lines:
			// A failed write of the log can not be logged, so the error is ignored.
			_, _ = a.out.Write(line)
		case done := <-a.flushRequests:
			for range len(a.lines) {
				_, _ = a.out.Write(<-a.lines)
			}
			close(done)
		}
	}
}
