package router

import (
	"net/http"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/object"
	"wasabiweir/io/serve"
)

const (
	// maxHeaderBytes is the largest size of a request's headers in bytes.
	maxHeaderBytes = 64 << 10
	// headerTimeout is the longest time in which a caller must send the request headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle keep-alive connection of a caller is closed.
	idleTimeout = 2 * time.Minute
)

// callerHandler returns the HTTP routes for callers, health checks and metrics.
func (r *Router) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", r.trackRequest(r.serveAddresses))
	mux.HandleFunc("POST /v1/completions", r.trackRequest(r.serveCompletion))
	mux.HandleFunc("GET /v1/completions/resume", r.trackRequest(r.serveResume))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.trackRequest(r.serveCall))
	mux.HandleFunc("GET /healthz", r.serveHealth)
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.Handle("GET /metrics", r.Metrics)
	mux.HandleFunc("/", r.serveUnknownPath)
	return mux
}

// trackRequest wraps a handler to count the requests in flight, which a drain waits for.
func (r *Router) trackRequest(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		r.openRequests.Add(1)
		defer r.openRequests.Add(-1)
		r.closeConnOnDrain(w)
		f(w, req)
	}
}

// newCallerServer returns an HTTP server with the limits for connections of callers.
func (r *Router) newCallerServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       r.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serveUnknownPath refuses a request whose method and path have no handler.
func (r *Router) serveUnknownPath(w http.ResponseWriter, req *http.Request) {
	r.refuse(w, req, common.NewNotRunRefusal(common.ReasonBadRequest, "path", "there is no call "+req.Method+" "+req.URL.Path))
}

// serveHealth handles the liveness check; it succeeds whenever the process can answer.
func (r *Router) serveHealth(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// readiness is the JSON body of the readiness check.
type readiness struct {
	Ready    bool   `json:"ready"`
	Revision uint64 `json:"revision"`
	// Fresh tells whether a control quorum has recently confirmed that the configuration is current.
	Fresh    bool `json:"fresh"`
	Draining bool `json:"draining"`
	// Detail says why the router is not ready.
	Detail string `json:"detail,omitempty"`
}

// serveReady handles the readiness check: the router is ready when it has a configuration and is not draining.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := r.view.Load()
	out := readiness{Draining: r.draining.Load(), Fresh: r.configFresh()}
	switch {
	case v == nil:
		out.Detail = "no configuration has been confirmed by a control quorum yet"
	case out.Draining:
		out.Detail = "the router is draining"
	default:
		out.Ready = true
	}
	if v != nil {
		out.Revision = v.Revision
	}
	status := http.StatusOK
	if !out.Ready {
		status = http.StatusServiceUnavailable
	}
	serve.WriteJSON(w, status, out)
}

// servingView returns the current configuration, or a refusal if the router is draining or has no configuration yet.
func (r *Router) servingView() (*ConfigView, error) {
	if f := r.drainRefusal(); f != nil {
		return nil, f
	}
	v := r.view.Load()
	if v == nil {
		f := common.NewNotRunRefusal(common.ReasonNoConfiguration, "", "this router has no confirmed configuration yet")
		f.RetryAfter = time.Second
		f.Address = r.otherRouterAddress()
		return nil, f
	}
	return v, nil
}

// authenticate returns the current configuration and the client account that the request's access token belongs to.
func (r *Router) authenticate(req *http.Request) (*ConfigView, object.Account, error) {
	v, err := r.servingView()
	if err != nil {
		return nil, object.Account{}, err
	}
	account, err := v.requestAccount(req)
	return v, account, err
}
