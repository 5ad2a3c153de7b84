package serve

import (
	"bufio"
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

// serveLimited serves the handler on tracked connections and returns a connection on which a request was sent.
func serveLimited(t *testing.T, h http.HandlerFunc) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := &ConnTable{Clock: wall.Clock{}, Limits: func() ConnLimits { return ConnLimits{} }}
	server := &http.Server{ConnState: table.TrackState, Handler: h}
	go func() { _ = server.Serve(table.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return nc
}

// Guards against an incomplete response that goes on for as long as its client reads slowly: net/http closes the
// connection by itself, in order, once the write deadline has passed.
func TestWriteLimitResetsConnection(t *testing.T) {
	ended := make(chan error, 1)
	nc := serveLimited(t, func(w http.ResponseWriter, _ *http.Request) {
		err := LimitWriting(w, 100*time.Millisecond)
		for chunk := make([]byte, 32<<10); err == nil; {
			_, err = w.Write(chunk)
		}
		ended <- err
		panic(http.ErrAbortHandler)
	})
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the handler ended with %v, want a timeout", err)
	}
	if n, err := io.Copy(io.Discard, nc); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the response ended after %d bytes with %v, want a reset", n, err)
	}
}

// Guards against a whole response that is lost because the process stood still beyond the write limit.
func TestResponseAfterPauseIsDelivered(t *testing.T) {
	nc := serveLimited(t, func(w http.ResponseWriter, _ *http.Request) {
		if err := LimitWriting(w, time.Millisecond); err != nil {
			t.Error(err)
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != "whole" {
		t.Errorf("the response is %q, %v", body, err)
	}
}
