package relay

import (
	"fmt"
	"io"
	"sync/atomic"

	"wasabiweir/io/serve"
)

const (
	// smallBuffer is the size in bytes of the part of a body or an event that each request may buffer.
	smallBuffer = 16 << 10
	// largeBuffers bounds the size in bytes of all larger buffers of the process together. Without the bound, endpoints
	// or callers that send without end on many connections at once could use up the memory of the instance.
	largeBuffers = 32 << 20
)

// bufferBudget bounds the memory of the requests' large buffers. Requests give back what they take when they end.
type bufferBudget struct {
	// used is the size in bytes of all buffers that are taken.
	used atomic.Int64
}

// take reserves n bytes and reports whether that many were free.
func (b *bufferBudget) take(n int64) bool {
	if b.used.Add(n) > largeBuffers {
		b.used.Add(-n)
		return false
	}
	return true
}

// give returns n bytes that were taken.
func (b *bufferBudget) give(n int64) { b.used.Add(-n) }

// takeBuffer reserves n bytes for the request until it ends, and reports whether that many were free.
func (q *request) takeBuffer(n int64) bool {
	if !q.relay.buffers.take(n) {
		q.relay.meter.countReason("buffers-refused", "budget")
		return false
	}
	q.bufferBytes += n
	return true
}

// giveBuffers returns all bytes that were reserved for the request.
func (q *request) giveBuffers() {
	q.relay.buffers.give(q.bufferBytes)
	q.bufferBytes = 0
}

// readBuffered reads a body up to a limit in bytes, or up to smallBuffer if there is no memory for more. It reports
// whether that is the whole body; otherwise the rest is still unread.
func (q *request) readBuffered(body io.Reader, limit int64) (data []byte, complete bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, smallBuffer))
	if err != nil {
		return nil, false, fmt.Errorf("read a body: %w", err)
	}
	if len(data) < smallBuffer {
		return data, true, nil
	}
	if limit <= smallBuffer || !q.takeBuffer(limit) {
		return data, false, nil
	}
	// One allocation: a buffer that grows leaves several times its size to the garbage collector.
	buf := make([]byte, limit)
	n := copy(buf, data)
	m, complete, err := serve.ReadPart(body, buf[n:])
	if err != nil {
		return nil, false, err //nolint:wrapcheck // names what was read
	}
	return buf[:n+m], complete, nil
}
