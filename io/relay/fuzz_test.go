package relay

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"wasabiweir/core/place"
)

// scriptedConn is a network connection that delivers given bytes and then ends.
type scriptedConn struct {
	net.Conn
	r io.Reader
	// delivered counts the bytes that were read.
	delivered int
}

// Read returns the next bytes of the script.
func (c *scriptedConn) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.delivered += n
	return n, err
}

// Close does nothing.
func (c *scriptedConn) Close() error { return nil }

// Guards against a panic, and against a response that is attributed to a request although it has another id, on any
// bytes that an endpoint sends.
func FuzzReadResponse(f *testing.F) {
	const id = "7"
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nX-Id: 7\r\n\r\nHTTP/1.1",
		"HTTP/1.0 200\r\nX-Id: 7\r\nX-Id: 8\r\nContent-Length: -1\r\n\r\n",
		"\x00\x01garbage\r\n\r\n",
	} {
		f.Add(http.MethodGet, []byte(seed))
		f.Add(http.MethodHead, []byte(seed))
	}
	f.Fuzz(func(t *testing.T, method string, data []byte) {
		c := newEndpointConn(&scriptedConn{r: bytes.NewReader(data)}, place.Endpoint{})
		res, err := c.readResponse(method, "X-Id", id)
		if err != nil {
			return
		}
		if got := res.Header.Get("X-Id"); got != id || res.StatusCode < 200 {
			t.Errorf("a response with status %d and id %q was returned", res.StatusCode, got)
		}
		if _, err := io.Copy(io.Discard, res.Body); err == nil && c.source.left != unlimitedBytes {
			t.Error("the bound of the header is still in force after it")
		}
	})
}

// Guards against a response header of unlimited size.
func TestResponseHeaderIsBounded(t *testing.T) {
	for name, text := range map[string]string{
		"status line":       "HTTP/1.1 200 " + strings.Repeat("x", 1<<20),
		"header line":       "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1<<20),
		"headers":           "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: x\r\n", 1<<18),
		"interim responses": strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<16),
		"foreign responses": strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: 8\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000), 10),
	} {
		conn := &scriptedConn{r: strings.NewReader(text)}
		if _, err := newEndpointConn(conn, place.Endpoint{}).readResponse(http.MethodGet, "X-Id", "7"); err == nil {
			t.Errorf("%s: accepted", name)
		}
		if limit := 2*maxResponseHeader + maxDiscardedBody + 2*readBufferSize; conn.delivered > limit {
			t.Errorf("%s: %d bytes were read, want at most %d", name, conn.delivered, limit)
		}
	}
}

// Guards against a panic, an event that is changed or split, text that is no event, and an event of unlimited size, on
// any bytes that an endpoint sends.
func FuzzNextEvent(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\nid:2\n\n", ": alive\n\n", "HTTP/1.1 500 Failed\r\n\r\n", "id: 99999999999999999999\n\n", "weight-versions: 2\nid: 3\n\n", "\n\n\n", "id: 1",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		events := &eventReader{br: bufio.NewReaderSize(bytes.NewReader(data), 16), takeBuffer: func(int64) bool { return true }}
		rest := data
		for {
			e, err := events.nextEvent()
			if err != nil {
				return
			}
			if !bytes.HasPrefix(rest, e.raw) || len(e.raw) == 0 || len(e.raw) > maxEventSize {
				t.Fatalf("event %q is not the next part of %q", e.raw, rest)
			}
			if data := bytes.Contains(append([]byte("\n"), e.raw...), []byte("\ndata")); data && e.id < 0 {
				t.Fatalf("data without an id is passed on: %q", e.raw)
			}
			rest = rest[len(e.raw):]
		}
	})
}

// Guards against large events on many streams at once that use up the memory: without free memory, an event above the
// small size is an error, and a smaller one is not.
func TestLargeEventsNeedMemory(t *testing.T) {
	for size, want := range map[int]bool{smallBuffer / 2: true, 2 * smallBuffer: false} {
		text := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n"
		events := &eventReader{br: bufio.NewReader(strings.NewReader(text)), takeBuffer: func(int64) bool { return false }}
		if _, err := events.nextEvent(); (err == nil) != want {
			t.Errorf("an event of %d bytes: %v", size, err)
		}
	}
}
