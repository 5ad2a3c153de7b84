package serve

import (
	"bytes"

	"wasabiweir/core/intake"
)

// headMeter counts the bytes of the head of the request that is read from a connection, as net/http reads them.
type headMeter struct {
	intake.Head
	// tail is what the last read has got behind the head.
	tail intake.Head
	// lineBytes is the length of the line that has not ended yet, and lineStart its first byte.
	lineBytes int
	lineStart byte
	// begun is true once a line that is not empty was read, and ended once the empty line behind the head was.
	begun, ended bool
	// unread is true from the end of a request until the next read, which shows how much of the next head net/http has got
	// together with that request.
	unread bool
}

// add counts the bytes of a read.
func (m *headMeter) add(p []byte) {
	for len(p) > 0 && !m.ended {
		if m.lineBytes == 0 {
			m.lineStart = p[0]
		}
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			m.lineBytes += len(p)
			m.count(p)
			return
		}
		m.endLine(m.lineBytes + i)
		m.count(p[:i+1])
		p = p[i+1:]
	}
	m.tail = headOf(p)
}

// count adds bytes of the head.
func (m *headMeter) count(p []byte) {
	h := headOf(p)
	m.Bytes += h.Bytes
	m.Lines += h.Lines
	m.Commas += h.Commas
}

// headOf returns what a part of a head counts.
func headOf(p []byte) intake.Head {
	return intake.Head{Bytes: len(p), Lines: bytes.Count(p, []byte{'\n'}), Commas: bytes.Count(p, []byte{','})}
}

// endLine ends a line of n bytes. The first empty one behind others is the end of the head.
func (m *headMeter) endLine(n int) {
	empty := n == 0 || n == 1 && m.lineStart == '\r'
	m.ended = empty && m.begun
	m.begun = m.begun || !empty
	m.lineBytes = 0
}

// next prepares for the head of the next request on the connection.
func (m *headMeter) next() { *m = headMeter{tail: m.tail, unread: true} }

// startWith counts n bytes of the head that net/http has read together with the request before; which of the tail they are is not
// known.
func (m *headMeter) startWith(n int) {
	if !m.unread {
		return
	}
	tail := m.tail
	*m = headMeter{}
	if n > 0 {
		// The line that goes on is not taken for the end of the head.
		m.Head, m.lineBytes, m.begun = intake.Head{Bytes: n, Lines: min(n, tail.Lines), Commas: min(n, tail.Commas)}, n, true
	}
}
