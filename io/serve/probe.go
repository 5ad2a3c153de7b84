package serve

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// errForeignStart is returned if a response does not begin with the bytes that were sent ahead of it.
var errForeignStart = eris.New("the response does not begin with the bytes sent ahead of it")

// interimStart is the start of the status lines of interim responses, after which the final response still follows.
const interimStart = "HTTP/1.1 1"

// earlyStart sends the first bytes of a response ahead of the rest, one at a time. They are the same for each status, so
// they commit the server to nothing, and they make the kernel of a client that has closed its connection reset it: the end
// of a connection stays behind data of the client that nobody reads, but data that arrive after a close are refused at once.
type earlyStart struct {
	mu sync.Mutex
	// sent holds the bytes that were sent ahead of the response.
	sent string
	// begun is true once the response itself has begun.
	begun bool
}

// reset prepares for the next response on the connection.
func (s *earlyStart) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent, s.begun = "", false
}

// sendNext sends the next byte of start, unless the response has begun or all bytes were sent.
func (s *earlyStart) sendNext(nc net.Conn, start string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun || len(s.sent) == len(start) {
		return
	}
	next := start[len(s.sent) : len(s.sent)+1]
	// A write fails only on a connection that has ended.
	if _, err := io.WriteString(nc, next); err == nil {
		s.sent += next
	}
}

// begin returns the number of bytes at the start of p, the next part of a response, that were sent already.
func (s *earlyStart) begin(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return 0, nil
	}
	if !bytes.HasPrefix(p, []byte(s.sent)) {
		return 0, errForeignStart
	}
	n := len(s.sent)
	s.sent, s.begun = "", !bytes.HasPrefix(p, []byte(interimStart))
	return n, nil
}

// responseStart returns the bytes with which net/http begins each response to the request.
func responseStart(r *http.Request) string {
	if r.ProtoAtLeast(1, 1) {
		return "HTTP/1.1 "
	}
	return "HTTP/1.0 "
}

// ProbeClient sends the next of the few bytes with which any response to the request begins, so that a client that has
// closed its connection resets it, which HasPeerClosed then reports. It does nothing once they are sent or the response has
// begun, or if the connection is in no ConnTable.
func ProbeClient(r *http.Request) {
	if c, ok := ConnOf(r.Context()).(*clientConn); ok {
		c.early.sendNext(c.Conn, responseStart(r))
	}
}
