package serve_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"wasabiweir/io/serve"
)

// maxAnswerDelay bounds the time until a client has the response of a handler that does not read the request body.
const maxAnswerDelay = time.Second

// maxCloseDelay bounds the time until the connection of a client that never sends its whole request body is closed.
const maxCloseDelay = 5 * time.Second

// startServer serves a handler behind a panic guard and returns the server's address and the guard's log.
func startServer(t *testing.T, h http.HandlerFunc) (string, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.ErrorLevel)
	guard := &serve.PanicGuard{Log: zap.New(core)}
	s := httptest.NewServer(guard.Handler(h))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), logs
}

// refuse responds without reading the request body.
func refuse(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusServiceUnavailable, "not run")
}

// connect opens a connection to the server that is closed at the end of the test.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// bodySender sends a request body in parts.
type bodySender struct {
	conn  net.Conn
	part  string
	parts int
	pause time.Duration
	// err is the error that ended the sending; it is set before done is closed.
	err  error
	done chan struct{}
}

// run sends the parts until one fails.
func (s *bodySender) run() {
	defer close(s.done)
	for range s.parts {
		if _, s.err = io.WriteString(s.conn, s.part); s.err != nil {
			return
		}
		time.Sleep(s.pause)
	}
}

// Guards against a response that a client never reads, because the connection is reset while the client still sends
// its body. Clients are slow, read only after they have sent everything, or never stop sending.
func TestEarlyResponseIsReadable(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		sender bodySender
		// readLast is true if the client reads the response after it has sent the whole body.
		readLast bool
	}{
		"whole body before the response is read": {"Content-Length: 921600", bodySender{part: strings.Repeat("z", 64<<10), parts: 14, pause: 80 * time.Millisecond}, true},
		"chunked":                                {"Transfer-Encoding: chunked", bodySender{part: "10000\r\n" + strings.Repeat("z", 64<<10) + "\r\n", parts: 14, pause: 80 * time.Millisecond}, true},
		"1 KB a second":                          {"Content-Length: 102400", bodySender{part: strings.Repeat("z", 1<<10), parts: 100, pause: time.Second}, false},
		"never stops":                            {"Content-Length: 1099511627776", bodySender{part: strings.Repeat("z", 64<<10), parts: 1 << 24}, false},
		"never sends":                            {"Content-Length: 1024", bodySender{}, false},
		"chunks, no ending":                      {"Transfer-Encoding: chunked", bodySender{part: "1\r\nz\r\n", parts: 1 << 24}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := startServer(t, refuse)
			s := c.sender
			s.conn, s.done = connect(t, address), make(chan struct{})
			fmt.Fprintf(s.conn, "POST / HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", c.header)
			began := time.Now()
			go s.run()
			if c.readLast {
				<-s.done
				if s.err != nil {
					t.Errorf("the body could not be sent: %v", s.err)
				}
			}
			res, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			body, err := io.ReadAll(res.Body)
			if res.StatusCode != http.StatusServiceUnavailable || string(body) != "\"not run\"\n" || err != nil {
				t.Errorf("status %d, %q, %v", res.StatusCode, body, err)
			}
			if took := time.Since(began); !c.readLast && took > maxAnswerDelay {
				t.Errorf("the response took %s", took)
			}
			if c.readLast {
				return
			}
			// The server must close the connection of a client that never sends the whole body.
			_, err = io.Copy(io.Discard, s.conn)
			if closed := time.Since(began); errors.Is(err, os.ErrDeadlineExceeded) || closed > maxCloseDelay {
				t.Errorf("the connection is open after %s: %v", closed, err)
			}
		})
	}
}

// Guards against a connection that is closed, or a request that is read from the rest of a body, after a short body
// that the handler did not read.
func TestConnectionIsKeptAfterShortBody(t *testing.T) {
	address, _ := startServer(t, refuse)
	c := connect(t, address)
	br := bufio.NewReader(c)
	for range 3 {
		body := "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if res.StatusCode != http.StatusServiceUnavailable || res.Close {
			t.Errorf("status %d, close %t", res.StatusCode, res.Close)
		}
	}
}

// Guards against a panic in one request that ends the process, leaves the request without a response, or lets a
// response look complete that is not.
func TestPanicIsAnswered(t *testing.T) {
	address, logs := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
		}
		panic("unexpected")
	})
	res, err := http.Get("http://" + address + "/")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d; only 502 does not state whether the request ran", res.StatusCode)
	}
	if res, err = http.Get("http://" + address + "/late"); err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err == nil {
		t.Errorf("the response looks complete: %q", body)
	}
	res.Body.Close()
	if got := logs.FilterMessage("panic-recovered").Len(); got != 2 {
		t.Errorf("%d panics were logged, want 2", got)
	}
}

// Guards against a kept connection on which each later request begins with a cancelled context, because a read of an earlier
// body timed out.
func TestRequestAfterTimedOutBodyHasContext(t *testing.T) {
	guard := &serve.PanicGuard{Log: zap.NewNop()}
	failed := make(chan struct{}, 1)
	arrived := make(chan struct{})
	s := httptest.NewUnstartedServer(guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			failed <- struct{}{}
			<-arrived
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err := r.Context().Err(); err != nil {
			t.Errorf("the request begins with its context ended: %v", err)
		}
	})))
	s.Config.ReadTimeout = 100 * time.Millisecond
	s.Start()
	t.Cleanup(s.Close)
	c := connect(t, s.Listener.Addr().String())
	br := bufio.NewReader(c)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	<-failed
	_, _ = io.WriteString(c, "body")
	close(arrived)
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.Close {
		return
	}
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if res, err = http.ReadResponse(br, nil); err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}
