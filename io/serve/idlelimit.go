package serve

import (
	"net/http"
	"strconv"
	"time"
)

// idleMarginShare is the part, as a divisor, of the limit on idle connections that clients are not told of.
const idleMarginShare = 5

// idleLimitWriter is a response writer that tells the client in the response header how long its connection may stay idle.
type idleLimitWriter struct {
	http.ResponseWriter
	limit func() time.Duration
	// headerSent is true once the header of the final response was sent.
	headerSent bool
}

// AnnounceIdleLimit returns a response writer that announces the limit on idle connections which limit returns as the header is
// sent.
func AnnounceIdleLimit(w http.ResponseWriter, limit func() time.Duration) http.ResponseWriter {
	return &idleLimitWriter{ResponseWriter: w, limit: limit}
}

// Unwrap returns the underlying response writer to http.ResponseController.
func (w *idleLimitWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the response header. Without an announcement that the connection closes, it announces the limit less
// a margin for a request that is on its way, in whole seconds, unless that is less than a second.
func (w *idleLimitWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.headerSent {
		w.headerSent = true
		if h := w.Header(); h.Get("Connection") == "" {
			limit := w.limit()
			if seconds := int64((limit - limit/idleMarginShare) / time.Second); seconds > 0 {
				h.Set("Connection", "keep-alive")
				h.Set("Keep-Alive", "timeout="+strconv.FormatInt(seconds, 10))
			}
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response body.
func (w *idleLimitWriter) Write(p []byte) (int, error) {
	if !w.headerSent {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // the caller of the writer wraps the error
}
