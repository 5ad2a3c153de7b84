package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"mime"
	"net/http"
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
	errEventSize  = eris.New("an event of the stream is too large")
	errNoEvent    = eris.New("the stream ended before its first event")
	errEventOrder = eris.New("an event does not follow the last one")
	// errForeign is wrapped by the errors for what an endpoint sends in a stream, or instead of one, that is no part of
	// it.
	errForeign = eris.New("no part of the stream")
)

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// checkStreamType returns errForeign if the response names a content type other than that of a stream of events.
func checkStreamType(res *http.Response) error {
	value := res.Header.Get("Content-Type")
	if value == "" {
		return nil
	}
	if mediaType, _, err := mime.ParseMediaType(value); err != nil || mediaType != eventStreamType {
		return fmt.Errorf("content type %q: %w", value, errForeign)
	}
	return nil
}

// streamEvent is one complete server-sent event of a stream from an endpoint, unparsed except for its id, or a block of
// comments and retry times.
type streamEvent struct {
	raw []byte
	// id is the event's id, or -1 for a block without an event.
	id int64
	// needsID is true if a line belongs to an event.
	needsID bool
}

// addLine adds a line without its end. It returns errForeign if no event of a stream can have the line: each of them has
// exactly one id, and field names in lower case. An endpoint that fails in the middle of a stream may write the text or
// the header of an error into it.
func (e *streamEvent) addLine(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case found && len(name) == 0:
		return nil
	case !found && string(name) != "data", bytes.ContainsFunc(name, isNoFieldCharacter):
		return fmt.Errorf("a line without a field: %w", errForeign)
	case string(name) == "id":
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || id < 0 || e.id >= 0 {
			return fmt.Errorf("an event without one numeric id: %w", errForeign)
		}
		e.id = id
	case string(name) == "retry":
		return nil
	}
	e.needsID = true
	return nil
}

// isNoFieldCharacter reports whether the character cannot be in the name of a field of an event.
func isNoFieldCharacter(r rune) bool {
	return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_'
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

// nextEvent returns the next complete server-sent event or block of comments. Its bytes are valid until the following
// call. An event that is cut short by the end of the stream is an error, and so is what is no part of a stream.
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
			if e.needsID && e.id < 0 {
				return e, fmt.Errorf("an event without an id: %w", errForeign)
			}
			e.raw = s.buf
			return e, nil
		}
		if err := e.addLine(line); err != nil {
			return e, err
		}
	}
}
