package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// maxEventSize bounds the size of one server-sent event in bytes.
	maxEventSize = 128 << 10
	// maxIdlessBytes bounds the size in bytes of all comments and events without an id between two events with one.
	maxIdlessBytes = 128 << 10
)

var (
	errEventSize = eris.New("an event of the stream is too large")
	errNoEvent   = eris.New("the stream ended before its first event")
	errEventGap  = eris.New("the stream skips event ids")
)

// streamEvent is one complete server-sent event of a stream from an endpoint, unparsed except for its id.
type streamEvent struct {
	raw []byte
	// id is the event's id, or -1 if it is missing or not a number.
	id int64
}

// eventReader splits the body of an endpoint's response into complete server-sent events.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
	// takeBuffer reserves memory in bytes for events above smallBuffer; it reports whether that much was free.
	takeBuffer func(n int64) bool
	large      bool
}

// reserve makes sure that the buffer may grow to the size of an event; it returns errEventSize if it may not.
func (s *eventReader) reserve(size int) error {
	if size <= smallBuffer || s.large && size <= maxEventSize {
		return nil
	}
	if size > maxEventSize || !s.takeBuffer(maxEventSize) {
		return errEventSize
	}
	s.large = true
	return nil
}

// nextEvent returns the next complete server-sent event. Its bytes are valid until the following call. An event that
// is cut short by the end of the stream is an error.
func (s *eventReader) nextEvent() (streamEvent, error) {
	s.buf = s.buf[:0]
	e := streamEvent{id: -1}
	for {
		start := len(s.buf)
		for {
			part, err := s.br.ReadSlice('\n')
			if err := s.reserve(len(s.buf) + len(part)); err != nil {
				return e, err
			}
			s.buf = append(s.buf, part...)
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return e, fmt.Errorf("read an event: %w", err)
			}
		}
		line := bytes.TrimRight(s.buf[start:], "\r\n")
		if len(line) == 0 {
			e.raw = s.buf
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				e.id = id
			}
		}
	}
}
