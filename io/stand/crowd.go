package stand

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// CrowdClients is the number of clients of most kinds of crowds.
const CrowdClients = 600

// LegalHeadBytes is the size in bytes of the heads of a crowd that are within the usual limit of 16 KiB.
const LegalHeadBytes = 15 << 10

const (
	// largeCrowd is the number of clients that would use up the descriptors of a process.
	largeCrowd = 1600
	// endlessBytes is the size in bytes after which clients end what has no end.
	endlessBytes = 1 << 20
	// crowdTimeout bounds each step of a crowd's client.
	crowdTimeout = 5 * time.Second
	// crowdDials is the number of clients that connect at the same time.
	crowdDials = 64
	// crowdPause is the time for which a crowd waits after it has sent its heads, so that they are read.
	crowdPause = 300 * time.Millisecond
)

// CrowdKind is what the clients of a crowd send instead of an ordinary request.
type CrowdKind struct {
	Name string
	// Start precedes the request; Block is repeated behind the first lines of the request up to Bytes bytes, or up to the end
	// of a line before them.
	Start, Block string
	Bytes        int
	// Distinct makes each block differ: it contains one verb for a number.
	Distinct bool
	// Body follows the head; its last line is held back with that of the head.
	Body string
	// Clients is the number of clients.
	Clients int
	// SkipsRequest leaves the request out, so that only the blocks are sent.
	SkipsRequest bool
}

// IsLegal reports whether the clients send whole requests that are within the usual limits.
func (k *CrowdKind) IsLegal() bool { return !k.SkipsRequest && k.Bytes <= LegalHeadBytes }

// CrowdKinds returns the kinds of clients that do not behave: heads of a legal size that take much memory, heads over the limit,
// and heads without end.
func CrowdKinds() []CrowdKind {
	kinds := []CrowdKind{
		{Name: "silent", SkipsRequest: true, Clients: largeCrowd},
		{Name: "ordinary"},
		{Name: "short-lines", Block: "a:\r\n", Bytes: LegalHeadBytes},
		{Name: "distinct-names", Block: "%03x:\n", Distinct: true, Bytes: LegalHeadBytes},
		{Name: "known-names", Block: "Te:\n", Bytes: LegalHeadBytes},
		{Name: "folded-lines", Block: "b:\n \n", Bytes: LegalHeadBytes},
		{Name: "connection-options", Block: "Connection: a,b,c,d,e,f,g,h,i,j,k,l,m,n,o,p\r\n", Bytes: LegalHeadBytes},
		{Name: "lines-over-the-limit", Block: "%04x:\n", Distinct: true, Bytes: 62 << 10},
		{Name: "trailers", Body: "1\r\nx\r\n0\r\n" + strings.Repeat("a:\r\n", 1000)},
		{Name: "distinct-trailers", Body: "1\r\nx\r\n0\r\n" + distinctTrailers()},
		{Name: "endless-lines", Block: "%05x:\n", Distinct: true, Bytes: endlessBytes},
		{Name: "endless-line", Block: strings.Repeat("c", 1<<10), Bytes: endlessBytes},
		{Name: "empty-lines", Block: "\r\n", Bytes: endlessBytes, SkipsRequest: true},
		{Name: "empty-lines-after-post", Start: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", Block: "\r\n", Bytes: endlessBytes, SkipsRequest: true},
	}
	for i := range kinds {
		kinds[i].Clients = max(kinds[i].Clients, CrowdClients)
	}
	return kinds
}

// LargeBodies returns the kind of clients that send the beginning of a large body of a request with the first lines.
func LargeBodies(lines string) CrowdKind {
	return CrowdKind{
		Name: "large-bodies", Start: lines + "Content-Length: 4000000\r\n\r\n", Block: strings.Repeat(" ", 1<<10), Bytes: endlessBytes, SkipsRequest: true,
		Clients: CrowdClients,
	}
}

// distinctTrailers returns lines of trailers whose names differ.
func distinctTrailers() string {
	var b strings.Builder
	for i := range 560 {
		fmt.Fprintf(&b, "%03x:\r\n", i)
	}
	return b.String()
}

// Crowd is a number of clients that connect to one address and send the same kind of bytes at the same time.
type Crowd struct {
	Address string
	Kind    CrowdKind
	// Request is the request line and the ordinary lines of the head, each with its end.
	Request string

	conns []net.Conn
}

// Open connects the clients; some may be refused.
func (c *Crowd) Open() {
	c.conns = make([]net.Conn, c.Kind.Clients)
	slots := make(chan struct{}, crowdDials)
	var wg sync.WaitGroup
	for i := range c.conns {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			nc, err := net.DialTimeout("tcp", c.Address, crowdTimeout)
			if err == nil {
				c.conns[i] = nc
			}
		})
	}
	wg.Wait()
}

// Send sends all but the last line of each head, and waits until that was read.
func (c *Crowd) Send() {
	data := c.Kind.text(c.Request)
	c.Each(func(nc net.Conn) {
		_ = nc.SetDeadline(time.Now().Add(crowdTimeout))
		// The process may refuse the client at any point.
		_, _ = nc.Write(data)
	})
	time.Sleep(crowdPause)
}

// Finish sends the last line of each head and reads what the process answers, until it closes the connection or falls silent.
func (c *Crowd) Finish() {
	c.Each(func(nc net.Conn) {
		_ = nc.SetDeadline(time.Now().Add(crowdTimeout))
		if !c.Kind.SkipsRequest {
			_, _ = nc.Write([]byte("\r\n"))
		}
		_ = nc.SetReadDeadline(time.Now().Add(crowdPause))
		_, _ = io.Copy(io.Discard, nc)
	})
}

// Single lets a single client connect and send, and returns the beginning of what it is answered, or an empty string if it is not
// answered in time.
func (c *Crowd) Single() string {
	nc, err := net.DialTimeout("tcp", c.Address, crowdTimeout)
	if err != nil {
		return ""
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(2 * crowdTimeout))
	_, _ = nc.Write(append(c.Kind.text(c.Request), "\r\n"...))
	buf := make([]byte, 1<<10)
	n, _ := nc.Read(buf)
	return string(buf[:n])
}

// Close closes the clients' connections.
func (c *Crowd) Close() {
	c.Each(func(nc net.Conn) { _ = nc.Close() })
}

// Each calls f for each connection at the same time and waits for all calls.
func (c *Crowd) Each(f func(net.Conn)) {
	var wg sync.WaitGroup
	for _, nc := range c.conns {
		if nc != nil {
			wg.Go(func() { f(nc) })
		}
	}
	wg.Wait()
}

// text returns all bytes that a client sends but for the last line.
func (k *CrowdKind) text(request string) []byte {
	var b strings.Builder
	b.WriteString(k.Start)
	if !k.SkipsRequest {
		b.WriteString(request)
	}
	if k.Body != "" {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n" + k.Body)
	}
	for i := 0; k.Block != ""; i++ {
		block := k.Block
		if k.Distinct {
			block = fmt.Sprintf(k.Block, i)
		}
		if b.Len()+len(block) > k.Bytes {
			break
		}
		b.WriteString(block)
	}
	return []byte(b.String())
}
