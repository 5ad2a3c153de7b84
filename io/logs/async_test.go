package logs

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

// Write waits until the output is open.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against a request that waits for its log line.
func TestBlockedOutputHoldsNobodyUp(t *testing.T) {
	out := &blocked{open: make(chan struct{})}
	a := NewAsync(out)
	const lines = asyncLines + 100
	began := time.Now()
	for range lines {
		if _, err := a.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	dropped := a.Dropped()
	// One line may be in the output's hands already.
	if dropped < 99 || dropped > 100 {
		t.Errorf("%d lines dropped, want those beyond the bound", dropped)
	}
	close(out.open)
	a.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := int64(bytes.Count(out.buf.Bytes(), []byte("\n"))); got != lines-dropped {
		t.Errorf("%d lines written, want %d", got, lines-dropped)
	}
}
