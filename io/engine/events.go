package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// DefaultMaxEvent is the default limit in bytes of an event in a stream of server-sent events, together with the
// comments before it.
const DefaultMaxEvent = 1 << 20

// ErrMalformed is wrapped by the errors for input that is not a valid stream of server-sent events.
var ErrMalformed = eris.New("malformed event stream")

// Event is one server-sent event of a reply.
type Event struct {
	// ID is the last event id received so far on the stream; as the specification of server-sent events requires, it
	// is kept for later events without an id.
	ID string
	// Name is the type of the server-sent event from its event line; it is empty if there is none.
	Name string
	// Data holds the event's data lines, joined by line feeds.
	Data string
}

// EventReader parses a stream of server-sent events. Unlike the specification, it rejects unknown fields, lines
// without a colon and invalid UTF-8.
type EventReader struct {
	// R is the stream of server-sent events to parse.
	R io.Reader
	// MaxEvent is the largest size in bytes of an event, together with the comments and empty lines before it; zero
	// means DefaultMaxEvent.
	MaxEvent int

	buf    *bufio.Reader
	line   []byte // reused for each line
	size   int    // bytes read since the last event
	lastID string // last event id received
}

// Next returns the next server-sent event. It returns io.EOF if the stream ends between events, and otherwise an error
// that wraps ErrMalformed, io.ErrUnexpectedEOF or the read error.
func (r *EventReader) Next() (Event, error) {
	ev := Event{}
	data, started := []string(nil), false
	r.size = 0
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && (started || len(line) > 0) {
				return Event{}, fmt.Errorf("read event: %w", io.ErrUnexpectedEOF)
			}
			return Event{}, err
		}
		if len(line) == 0 {
			if !started {
				continue
			}
			ev.ID = r.lastID
			ev.Data = strings.Join(data, "\n")
			return ev, nil
		}
		field, value, ok := strings.Cut(string(line), ":")
		if !ok {
			return Event{}, fmt.Errorf("line without a colon: %w", ErrMalformed)
		}
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "": // comments are sent to keep the connection alive
			continue
		case "data":
			data = append(data, value)
		case "event":
			ev.Name = value
		case "id":
			r.lastID = value
		case "retry":
		default:
			return Event{}, fmt.Errorf("unknown field %.20q: %w", field, ErrMalformed)
		}
		started = true
	}
}

// readLine returns the next line of the event stream without its line ending. At the end of the stream it returns the
// unfinished line, if any, and io.EOF.
func (r *EventReader) readLine() ([]byte, error) {
	if r.buf == nil {
		r.buf = bufio.NewReader(r.R)
	}
	limit := r.MaxEvent
	if limit == 0 {
		limit = DefaultMaxEvent
	}
	r.line = r.line[:0]
	for {
		part, err := r.buf.ReadSlice('\n')
		r.line = append(r.line, part...)
		if r.size += len(part); r.size > limit {
			return nil, fmt.Errorf("event above %d bytes: %w", limit, ErrMalformed)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return r.line, io.EOF
		}
		if err != nil {
			return nil, fmt.Errorf("read line: %w", err)
		}
		break
	}
	line := bytes.TrimSuffix(r.line[:len(r.line)-1], []byte("\r"))
	if !utf8.Valid(line) || bytes.ContainsAny(line, "\r\x00") {
		return nil, fmt.Errorf("line with invalid characters: %w", ErrMalformed)
	}
	return line, nil
}
