package stand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// EndlessResponse is a response of a faulty server: its first bytes, and those that follow without end.
type EndlessResponse struct{ Start, Filler string }

// EndlessResponses returns the endless responses by name; body and filler are the first bytes of the endless body and
// those that follow.
func EndlessResponses(body, filler string) map[string]EndlessResponse {
	const success, size = "HTTP/1.1 200 OK\r\n", 32 << 10
	x := strings.Repeat("x", size)
	return map[string]EndlessResponse{
		"status":  {"HTTP/1.1 200 ", x},
		"line":    {success + "X-Filler: ", x},
		"headers": {success, strings.Repeat("X-Filler: "+x[:100]+"\r\n", size/100)},
		"interim": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", size/40)},
		"body":    {success + "Connection: close\r\n\r\n" + body, strings.Repeat(filler, size/len(filler)+1)},
	}
}

// EndlessServer responds to each request with an endless response until the client closes the connection.
type EndlessServer struct {
	Listener net.Listener
	Response EndlessResponse

	written atomic.Int64
}

// Run serves the listener until it closes.
func (s *EndlessServer) Run() {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			return
		}
		go s.run(c)
	}
}

// Written returns the number of bytes that the server could send.
func (s *EndlessServer) Written() int64 { return s.written.Load() }

// run responds to the first request on the connection.
func (s *EndlessServer) run(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	n, err := io.WriteString(c, s.Response.Start)
	for s.written.Add(int64(n)); err == nil; s.written.Add(int64(n)) {
		n, err = io.WriteString(c, s.Response.Filler)
	}
}
