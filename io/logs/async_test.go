package logs

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

// Write waits until unblock is closed and then appends p to the buffer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against a request that waits while its log line is written to an output that blocks.
func TestBlockedOutputDoesNotDelayWriters(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	a := NewAsyncWriter(out)
	const lines = maxQueuedLines + 100
	start := time.Now()
	for range lines {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("%d lines took %s", lines, elapsed)
	}
	dropped := a.Dropped()
	// The writer may already have taken one line out of the queue.
	if dropped < 99 || dropped > 100 {
		t.Errorf("%d lines dropped, want 99 or 100", dropped)
	}
	close(out.unblock)
	a.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := int64(bytes.Count(out.buf.Bytes(), []byte("\n"))); got != lines-dropped {
		t.Errorf("%d lines written, want %d", got, lines-dropped)
	}
}
