package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrOversized is wrapped by the errors for responses that exceed a bound in bytes.
var ErrOversized = eris.New("the response is too large")

// ErrExpired is returned for a request that could not be written in time.
var ErrExpired = eris.New("the request has expired")

// CheckExpiry returns ErrExpired from notAfter on; zero means no limit. A connection that calls it before each write sends nothing
// late for a process that was paused after the request's deadline was last looked at.
func CheckExpiry(notAfter time.Time) error {
	if notAfter.IsZero() || time.Now().Before(notAfter) {
		return nil
	}
	return ErrExpired
}

// The reasons for which a read from another party fails, as FailureReason returns them.
const (
	ReadOversized = "oversized"
	ReadTimeout   = "timeout"
	ReadFailed    = "failed"
)

// FailureReason returns the reason under which a failed HTTP request is counted: oversized, timeout or failed.
func FailureReason(err error) string {
	var n net.Error
	switch {
	// net/http exports no error for a header above Transport.MaxResponseHeaderBytes.
	case errors.Is(err, ErrOversized), strings.Contains(err.Error(), "response headers exceeded"):
		return ReadOversized
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &n) && n.Timeout():
		return ReadTimeout
	}
	return ReadFailed
}

// NewUnpooledClient returns an HTTP client that opens a new connection for each request and accepts response headers of
// at most maxHeader bytes; net/http's own bound of 10 MB is too high for many connections at once.
func NewUnpooledClient(maxHeader int64) *http.Client {
	t := &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeader}
	return &http.Client{Transport: t}
}

// LimitBody returns a reader of the first n bytes of a response body. Unlike that of io.LimitReader, a read fails with
// ErrOversized if there are more.
func LimitBody(body io.Reader, n int64) io.Reader { return &limitedBody{body, n} }

// limitedBody is a response body that may have a limited number of bytes.
type limitedBody struct {
	body io.Reader
	left int64
}

// Read reads from the body.
func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.body.Read(p)
	if int64(n) > b.left {
		return int(b.left), ErrOversized
	}
	b.left -= int64(n)
	return n, err //nolint:wrapcheck // readers compare the error with io.EOF
}
