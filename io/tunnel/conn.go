package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"wasabiweir/core/reach"
	"wasabiweir/io/serve"
)

const (
	// carrierTimeout bounds the time in which a carrier must have connected to the endpoint; the carrier's own bound is
	// carriedDialTimeout.
	carrierTimeout = 250 * time.Millisecond
	// maxReplyHeader bounds the size in bytes of a carrier's reply.
	maxReplyHeader = 4 << 10
	// resultHeader is the header in which a carrier says why it does not carry a connection.
	resultHeader = "Wasabiweir-Result"
)

// The values of resultHeader. Only resultRefused and resultSilent say something about the endpoint.
const (
	resultRefused  = "refused"
	resultSilent   = "silent"
	resultCutOff   = "cut-off"
	resultBusy     = "busy"
	resultUnlisted = "unlisted"
	resultUnsure   = "unsure"
)

// errNotCarried is wrapped by the errors for connections that a carrier does not open.
var errNotCarried = eris.New("the carrier does not connect to the endpoint")

// Conn is a connection to an endpoint that a carrier passes on. Its socket is the one to the carrier.
type Conn struct {
	net.Conn
	// Carrier is the peer address of the carrier.
	Carrier string

	release func()
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.release()
	return c.Conn.Close() //nolint:wrapcheck // callers compare it with the errors of sockets
}

// SyscallConn returns the raw connection to the carrier, or an error if the connection is no socket of the operating system.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return serve.RawConn(c.Conn) }

// dialThrough asks a carrier to connect to the endpoint at the address. The result tells what that shows about the endpoint, and the
// answer what it shows about the carrier.
func (d *Dialer) dialThrough(ctx context.Context, carrier, address string) (net.Conn, reach.Result, reach.Answer, error) {
	nc, result, answer, err := d.request(ctx, carrier, address)
	if err != nil {
		return nil, result, answer, err
	}
	return &Conn{Conn: nc, Carrier: carrier, release: d.holdPresence(carrier)}, result, answer, nil
}

// request connects to a carrier and asks for a connection to the address, which it returns.
func (d *Dialer) request(ctx context.Context, carrier, address string) (net.Conn, reach.Result, reach.Answer, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", carrier)
	if err != nil {
		return nil, reach.Unknown, reach.NoAnswer, fmt.Errorf("connect to the carrier %s: %w", carrier, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	result, answer, err := d.requestConnection(nc, carrier, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		return nil, result, answer, err
	}
	return nc, reach.Connected, reach.Helped, nil
}

// requestConnection sends the request for a connection to a carrier and reads its reply.
func (d *Dialer) requestConnection(nc net.Conn, carrier, address string) (reach.Result, reach.Answer, error) {
	request := "CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\nAuthorization: Bearer " + d.Key + "\r\n" + askerHeader + ": " + d.id + "\r\n\r\n"
	if _, err := nc.Write([]byte(request)); err != nil {
		return reach.Unknown, reach.NoAnswer, fmt.Errorf("ask the carrier %s: %w", carrier, err)
	}
	br := bufio.NewReaderSize(&replyReader{Conn: nc, left: maxReplyHeader}, 1)
	res, err := http.ReadResponse(br, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return reach.Unknown, reach.NoAnswer, fmt.Errorf("read the reply of the carrier %s: %w", carrier, err)
	}
	_ = res.Body.Close()
	if res.StatusCode == http.StatusOK {
		return reach.Connected, reach.Helped, nil
	}
	reason := res.Header.Get(resultHeader)
	err = fmt.Errorf("carrier %s, %s %s: %w", carrier, res.Status, reason, errNotCarried)
	switch reason {
	case resultRefused:
		return reach.Refused, reach.Helped, fmt.Errorf("%w: %w", err, syscall.ECONNREFUSED)
	case resultSilent:
		return reach.Silent, reach.Helped, err
	case resultUnsure, resultUnlisted:
		return reach.Unknown, reach.Unsure, err
	}
	return reach.Unknown, reach.Declined, err
}

// replyReader reads a carrier's reply byte by byte, so that nothing of what the endpoint sends after it is taken.
type replyReader struct {
	net.Conn
	left int
}

// Read reads one byte, and fails after maxReplyHeader of them.
func (r *replyReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, errReplySize
	}
	r.left--
	return r.Conn.Read(p[:min(1, len(p))]) //nolint:wrapcheck // http.ReadResponse compares the error with io.EOF
}

// errReplySize is returned for a reply of a carrier that exceeds maxReplyHeader.
var errReplySize = eris.New("the carrier's reply is too large")

// resultLabel returns the label of a result in metrics and replies.
func resultLabel(r reach.Result) string {
	switch r {
	case reach.Connected:
		return "connected"
	case reach.Refused:
		return resultRefused
	case reach.Silent:
		return resultSilent
	}
	return "failed"
}
