package serve

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"wasabiweir/io/wall"
)

// Guards against an incomplete response that goes on for as long as its client reads slowly: net/http closes the
// connection by itself once the write deadline has passed, if the timer of the write limit runs late.
func TestLateWriteLimitResetsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := &ConnTable{Clock: wall.Clock{}, Limits: func() ConnLimits { return ConnLimits{} }}
	ended := make(chan error, 1)
	server := &http.Server{ConnState: table.TrackState, ConnContext: ContextWithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit, err := LimitWriting(w, r, time.Minute)
		if err == nil {
			defer limit.Stop()
			err = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		}
		for chunk := make([]byte, 32<<10); err == nil; {
			_, err = w.Write(chunk)
		}
		ended <- err
		panic(http.ErrAbortHandler)
	})}
	go func() { _ = server.Serve(table.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the handler ended with %v, want a timeout", err)
	}
	if err := nc.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, nc); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the response ended after %d bytes with %v, want a reset", n, err)
	}
}
