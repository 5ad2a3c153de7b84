package serve

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout bounds the time for which the rest of a request body is read and dropped after the response. A
	// connection that is closed with unread bytes is reset, and the client could lose the response.
	lingerTimeout = 2 * time.Second
	// maxLingerBytes bounds the size in bytes of the rest of a request body that is read and dropped.
	maxLingerBytes = 16 << 20
	// maxEarlyDrainBytes is the size in bytes up to which the rest of a request body is read before an early response,
	// so that the connection can be kept; earlyDrainTimeout bounds that read.
	maxEarlyDrainBytes = 64 << 10
	earlyDrainTimeout  = 10 * time.Millisecond
)

// lingerWriter is a response writer that lets a client which still sends its request body read an early response: it
// sends the response at once, announces that the connection closes, and reads the rest of the body for a bounded time.
type lingerWriter struct {
	http.ResponseWriter
	request *http.Request
	// body is the request body; nil if the request has none.
	body *trackedBody
	// length is the length of the request body in bytes, or -1 if the client did not send it.
	length     int64
	headerSent bool
}

// trackedBody is a request body that records how much of it was read. A handler and a goroutine that it started may
// read it at the same time.
type trackedBody struct {
	io.ReadCloser
	bytesRead atomic.Int64
	// ended is true once the whole body was read.
	ended atomic.Bool
}

// Read reads from the request body and records the number of bytes and its end.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytesRead.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err //nolint:wrapcheck // readers compare the error with io.EOF
}

// newLingerWriter returns a response writer for a request and replaces the request's body by one that the writer
// observes.
func newLingerWriter(w http.ResponseWriter, r *http.Request) *lingerWriter {
	lw := &lingerWriter{ResponseWriter: w, request: r, length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		return lw
	}
	// Otherwise net/http reads up to 256 KB of the body before it sends a response, however slow the client is.
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return lw
	}
	lw.body = &trackedBody{ReadCloser: r.Body}
	r.Body = lw.body
	return lw
}

// Unwrap returns the underlying response writer to http.ResponseController.
func (w *lingerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the response header. If the request body was not read to its end, or a read of it failed, the header
// announces that the connection closes: after a failed read, net/http cancels the contexts of all further requests on it.
func (w *lingerWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.headerSent = true
		// If the connection closes anyway, reading the rest of the body first would only delay the response.
		if w.Header().Get("Connection") == "close" || !w.drainEarly() || w.request.Context().Err() != nil {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response body.
func (w *lingerWriter) Write(p []byte) (int, error) {
	if !w.headerSent {
		w.WriteHeader(http.StatusOK)
	}
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		return n, fmt.Errorf("write the response: %w", err)
	}
	return n, nil
}

// isBodyRead reports whether the whole request body was read.
func (w *lingerWriter) isBodyRead() bool {
	return w.body == nil || w.body.ended.Load() || w.length >= 0 && w.body.bytesRead.Load() >= w.length
}

// drainEarly reads the rest of a short request body, which has usually arrived already. It reports whether the whole
// body has been read.
func (w *lingerWriter) drainEarly() bool {
	if w.isBodyRead() {
		return true
	}
	if w.length < 0 || w.length-w.body.bytesRead.Load() > maxEarlyDrainBytes {
		return false
	}
	w.dropBody(earlyDrainTimeout, maxEarlyDrainBytes)
	_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Time{})
	return w.isBodyRead()
}

// dropBody reads and drops the rest of the request body, up to a number of bytes and a time, after which no read of the
// connection succeeds.
func (w *lingerWriter) dropBody(timeout time.Duration, limit int64) {
	rc := http.NewResponseController(w.ResponseWriter)
	if err := rc.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return
	}
	// A failed read means that the client has gone or is too slow; the connection is closed then.
	_, _ = io.CopyN(io.Discard, w.body, limit)
}

// finish sends what is left of the response and reads the rest of the request body for a bounded time.
func (w *lingerWriter) finish() {
	if w.isBodyRead() {
		return
	}
	if !w.headerSent {
		w.WriteHeader(http.StatusOK)
	}
	if http.NewResponseController(w.ResponseWriter).Flush() != nil {
		return
	}
	w.dropBody(lingerTimeout, maxLingerBytes)
	// net/http reads on from a body that was not read to its end, without a bound on the time.
	_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now())
}
