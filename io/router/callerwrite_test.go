package router

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wasabiweir/io/stand"
)

// Guards against a caller that does not read the response of a call and holds its handler without a limit.
func TestUnreadCallResponseEnds(t *testing.T) {
	ended := make(chan time.Duration, 1)
	l := stand.Listen(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		start := time.Now()
		defer func() { ended <- time.Since(start) }()
		writeResponse(w, &endpointResponse{status: http.StatusOK, body: make([]byte, maxResponseBytes)}, 100*time.Millisecond)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(callerWriteDeadline + time.Second):
		t.Error("the handler still runs")
	}
}
