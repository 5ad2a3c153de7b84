package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEvent bounds one event of a stream.
const maxEvent = 256 << 10

var (
	errEventSize = eris.New("an event of the stream is too large")
	errNoEvent   = eris.New("the stream ended before its first event")
	errGap       = eris.New("the stream does not go on behind the last event")
)

// event is one whole event of a stream, as the endpoint sent it.
type event struct {
	raw []byte
	// id is the event's id, or -1 if it has none or one that is no number.
	id int64
}

// events splits a stream into whole events.
type events struct {
	br  *bufio.Reader
	buf []byte
}

// next returns the next whole event; the bytes are valid until the following call. An event that ends early is an error.
func (s *events) next() (event, error) {
	s.buf = s.buf[:0]
	e := event{id: -1}
	for {
		start := len(s.buf)
		for {
			part, err := s.br.ReadSlice('\n')
			s.buf = append(s.buf, part...)
			if len(s.buf) > maxEvent {
				return e, errEventSize
			}
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
