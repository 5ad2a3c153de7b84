package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a body that is cut and taken for complete, changed, or read beyond the limit.
func TestReadBuffered(t *testing.T) {
	const limit = 3 * smallBuffer
	for _, c := range []struct {
		size     int
		complete bool
		want     int
	}{
		{0, true, 0},
		{smallBuffer - 1, true, smallBuffer - 1},
		{smallBuffer, true, smallBuffer},
		{limit - 1, true, limit - 1},
		{limit, false, limit},
		{limit + 1, false, limit},
	} {
		text := strings.Repeat("abc", c.size)[:c.size]
		q := &request{relay: &Relay{}}
		q.relay.meter.initMetrics(nil)
		data, complete, err := q.readBuffered(iotest.HalfReader(strings.NewReader(text)), limit)
		if err != nil || complete != c.complete || string(data) != text[:c.want] {
			t.Errorf("body of %d bytes: %d bytes, complete %t, %v", c.size, len(data), complete, err)
		}
		q.giveBuffers()
		if left := q.relay.buffers.used.Load(); left != 0 {
			t.Errorf("body of %d bytes: %d bytes are still taken", c.size, left)
		}
	}
	for _, size := range []int{smallBuffer / 2, 2 * smallBuffer} {
		q := &request{relay: &Relay{}}
		q.relay.meter.initMetrics(nil)
		cut := io.MultiReader(strings.NewReader(strings.Repeat("x", size)), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, complete, err := q.readBuffered(cut, limit); complete || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("a body cut after %d bytes: complete %t, %v", size, complete, err)
		}
	}
}

// Guards against buffers that together exceed the bound: without free memory, only the small part of a body is read.
func TestReadBufferedWithoutMemory(t *testing.T) {
	q := &request{relay: &Relay{}}
	q.relay.meter.initMetrics(nil)
	q.relay.buffers.used.Store(largeBuffers)
	data, complete, err := q.readBuffered(strings.NewReader(strings.Repeat("x", 2*smallBuffer)), 3*smallBuffer)
	if err != nil || complete || len(data) != smallBuffer {
		t.Errorf("%d bytes, complete %t, %v; want the first %d", len(data), complete, err, smallBuffer)
	}
}
