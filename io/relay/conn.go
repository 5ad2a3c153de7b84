package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/serve"
)

const (
	// dialTimeout bounds a new connection to an endpoint; within a region one takes a few milliseconds, and an endpoint
	// that is dark answers nothing.
	dialTimeout = 250 * time.Millisecond
	// dialAgain is the time after which a second connection is opened beside the first: the system sends a lost opening
	// packet again only after a second.
	dialAgain = 40 * time.Millisecond
	// idleFor is how long a connection is kept if the endpoint states no time, and idleMargin is taken off the stated one.
	idleFor    = 3 * time.Second
	idleMargin = time.Second
	// unsafeIdle is the idle time up to which a connection carries a request that may not be repeated: one that the
	// endpoint closes at the same moment would leave the outcome unknown.
	unsafeIdle = 1500 * time.Millisecond
	// poolInterval is the time between two looks for connections that have been idle for too long.
	poolInterval = 500 * time.Millisecond
	// readBuffer holds an answer of the usual size.
	readBuffer = 4 << 10
	// maxForeign is the number of answers to earlier requests that are skipped on a connection.
	maxForeign = 2
)

// errForeign is returned when no answer to the request comes, only ones to others.
var errForeign = eris.New("the answer belongs to another request")

// conn is one connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	endpoint place.Endpoint
	br       *bufio.Reader
	idle     time.Time
	keep     time.Duration
	// uploads says that a body is sent beside the reading of the answer.
	uploads bool
}

// pool keeps idle connections to endpoints by the endpoint's id, since an address may pass to another endpoint.
type pool struct {
	relay *Relay
	dial  func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
}

func (p *pool) prepare(r *Relay) {
	p.relay = r
	p.idle = map[string][]*conn{}
	p.dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
}

// get returns a connection that was idle for at most the time, or a new one.
func (p *pool) get(ctx context.Context, e place.Endpoint, idle time.Duration) (*conn, error) {
	for {
		c := p.take(e.ID, idle)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.connect(ctx, e.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", e.Address, err)
	}
	return &conn{Conn: nc, endpoint: e, br: bufio.NewReaderSize(nc, readBuffer), keep: idleFor}, nil
}

// opening is one of the connections that are opened beside each other.
type opening struct {
	conn net.Conn
	err  error
}

func (o *opening) run(ctx context.Context, p *pool, address string, out chan<- *opening) {
	o.conn, o.err = p.dial(ctx, "tcp", address)
	out <- o
}

// connect opens a connection, and a second one if the first takes longer than one whose packets all arrive.
func (p *pool) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	out := make(chan *opening, 2)
	first, second := &opening{}, &opening{}
	open := 1
	go first.run(ctx, p, address, out)
	t := time.NewTimer(dialAgain)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			open++
			go second.run(ctx, p, address, out)
		case o := <-out:
			open--
			if o.err != nil && open > 0 {
				continue
			}
			cancel()
			if open > 0 {
				late := &lateClose{out: out}
				go late.run()
			}
			return o.conn, o.err
		}
	}
}

// lateClose closes the connection that lost the race.
type lateClose struct{ out <-chan *opening }

func (l *lateClose) run() {
	if o := <-l.out; o.conn != nil {
		_ = o.conn.Close()
	}
}

func (p *pool) take(id string, idle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.relay.Clock.Now()
	for list := p.idle[id]; len(list) > 0; {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[id] = list
		if now.Sub(c.idle) <= min(idle, c.keep) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection whose answer is complete.
func (p *pool) put(c *conn) {
	if c.br.Buffered() > 0 {
		_ = c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		_ = c.Close()
		return
	}
	c.idle = p.relay.Clock.Now()
	p.mu.Lock()
	p.idle[c.endpoint.ID] = append(p.idle[c.endpoint.ID], c)
	p.mu.Unlock()
}

// drop closes the idle connections to an endpoint.
func (p *pool) drop(id string) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// loop closes connections that have been idle for too long.
func (p *pool) loop(ctx context.Context) error {
	for serve.Pause(ctx, poolInterval) {
		p.sweep()
	}
	return ctx.Err()
}

func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.relay.Clock.Now()
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idle) <= c.keep {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

// quiet reports whether the connection is open and nothing has arrived while it was idle.
func (c *conn) quiet() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var buf [1]byte
	var n int
	var got error
	err = raw.Read(func(fd uintptr) bool {
		n, _, got = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && errors.Is(got, syscall.EAGAIN)
}

// outbound is a request as it goes to an endpoint.
type outbound struct {
	method string
	// target is the path and query as the caller sent them.
	target string
	host   string
	header http.Header
	// body is the whole body if it was collected.
	body []byte
	// stream is the body if it was not collected; length is -1 if the caller states none.
	stream io.Reader
	length int64
}

// write sends the request; sent reports whether any byte may have left.
func (c *conn) write(o *outbound) (sent bool, err error) {
	var head bytes.Buffer
	head.WriteString(o.method + " " + o.target + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	if err := o.header.Write(&head); err != nil {
		return false, fmt.Errorf("write the header: %w", err)
	}
	switch {
	case o.stream != nil && o.length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case o.stream != nil:
		head.WriteString("Content-Length: " + strconv.FormatInt(o.length, 10) + "\r\n")
	case len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead:
		head.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(o.body)
	n, err := c.Write(head.Bytes())
	if err != nil {
		return n > 0, fmt.Errorf("send the request: %w", err)
	}
	return true, nil
}

// upload sends the rest of a body that was not collected, beside the reading of the answer.
type upload struct {
	q    *request
	conn *conn
	out  *outbound
}

// run sends the body. One that can not be sent shows in the answer, or in its absence.
func (u *upload) run() {
	if err := u.send(); err != nil {
		u.q.log.Info("body-not-sent", zap.String("endpoint", u.conn.endpoint.ID), zap.Error(err))
	}
}

// upload begins to send a body that was not collected; it can be sent once only.
func (q *request) upload(c *conn, o *outbound) {
	if o.stream == nil {
		return
	}
	c.uploads, q.uploaded = true, true
	u := &upload{q: q, conn: c, out: o}
	go u.run()
}

func (u *upload) send() error {
	if u.out.length >= 0 {
		if _, err := io.Copy(u.conn, u.out.stream); err != nil {
			return fmt.Errorf("send the body: %w", err)
		}
		return nil
	}
	w := httputil.NewChunkedWriter(u.conn)
	if _, err := io.Copy(w, u.out.stream); err != nil {
		return fmt.Errorf("send the body: %w", err)
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("end the body: %w", err)
	}
	if _, err := io.WriteString(u.conn, "\r\n"); err != nil {
		return fmt.Errorf("end the body: %w", err)
	}
	return nil
}

// answer reads the header of the answer to a request. Answers to earlier requests, which the id tells apart, are skipped.
func (c *conn) answer(method, idName, id string) (*http.Response, error) {
	for range maxForeign + 1 {
		res, err := c.header(method)
		if err != nil {
			return nil, err
		}
		if res.Header.Get(idName) == id {
			return res, nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

func (c *conn) header(method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		if res.StatusCode >= http.StatusOK {
			c.keep = keepFor(res.Header)
			return res, nil
		}
	}
}

// keepFor returns how long the endpoint lets the connection be idle.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return idleFor
}

// release keeps the connection for another request if the answer was read whole and nothing follows it. An endpoint may
// still read a body that is sent beside its answer; what follows on the connection would be taken for its rest.
func (p *pool) release(c *conn, res *http.Response) {
	if res.Close || c.uploads || c.br.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.put(c)
}
