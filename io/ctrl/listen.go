package ctrl

import (
	"encoding/json"
	"net/http"
	"time"

	"wasabiweir/core/common"
)

const (
	// maxHeaderBytes is the largest size of a request's headers.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time that a client takes to send a request's headers.
	headerTimeout = 5 * time.Second
	// requestReadTimeout bounds the time that a client takes to send a whole request, body included.
	requestReadTimeout = 30 * time.Second
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = time.Minute
	// maxConfirmWait bounds how long an operator's request may wait until the routers have confirmed that they have a
	// changed configuration in force.
	maxConfirmWait = 10 * time.Minute
	// maxOperatorConnections bounds the open connections of operators, each of which costs a goroutine and its buffers.
	maxOperatorConnections = 256
	// maxPeerConnections bounds the open connections of routers and control processes; a system of the target size has 320
	// processes.
	maxPeerConnections = 1024
	// operatorShare and peerShare are the parts, in hundredths, of all connections that those of operators and peers may take.
	operatorShare, peerShare = 20, 60
)

// headRefusalBody returns the content type and the body of the response to a request that was refused for its head.
func headRefusalBody(reason common.Reason) (contentType string, body []byte) {
	// The marshalling of the body does not fail: its field is a string.
	body, _ = json.Marshal(apiError{Error: "header: " + string(reason) + ": it takes too much memory"})
	return "application/json", body
}

// newHTTPServer returns an HTTP server with limits against clients that are slow or never complete a request. The
// timeouts do not apply to WebSocket links between the system's processes, which have their own.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestReadTimeout,
		WriteTimeout:      maxConfirmWait + requestReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
