package serve

import (
	"errors"
	"net/http"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// panicsName is the name of the counter of recovered panics; its tag "where" names the goroutine.
const panicsName = "panics"

// PanicGuard keeps a panic in one request or one message from ending the process. Its fields are set before use.
type PanicGuard struct {
	// Log receives an error line with the stack for each recovered panic.
	Log *zap.Logger
	// Metrics holds the counter of recovered panics; it may be nil.
	Metrics tally.Scope
}

// Recover must be deferred; it ends a panic of its goroutine, logs it and counts it. The name states what the
// goroutine does.
func (g *PanicGuard) Recover(name string) {
	if p := recover(); p != nil {
		g.Record(name, p)
	}
}

// Record logs and counts a recovered panic.
func (g *PanicGuard) Record(name string, p any) {
	g.Log.Error("panic-recovered", zap.String("where", name), zap.Any("panic", p), zap.Stack("stack"))
	if g.Metrics != nil {
		g.Metrics.Tagged(map[string]string{"where": name}).Counter(panicsName).Inc(1)
	}
}

// Handler returns a handler that calls h for each request, and that responds to a request whose handling panics with
// status 502, which does not state whether the request ran. A response that has already begun is cut off.
// http.ErrAbortHandler keeps its meaning. Each client can read its response even if h does not read the request body;
// see lingerWriter.
func (g *PanicGuard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lw := newLingerWriter(w, r)
		defer g.endRequest(lw)
		h.ServeHTTP(lw, r)
		lw.finish()
	})
}

// endRequest must be deferred; it ends a panic of a request's handler. It responds with status 502 if the response has
// not begun, and otherwise closes the connection.
func (g *PanicGuard) endRequest(w *lingerWriter) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	g.Record("request", p)
	if w.headerSent {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "internal error", http.StatusBadGateway)
	w.finish()
}
