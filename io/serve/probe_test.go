package serve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"wasabiweir/io/wall"
)

// newProbingServer starts a server that probes its client as often as the header X-Probes says, before and after it has
// read the body, and then responds with the body. It returns its address.
func newProbingServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := &ConnTable{Clock: wall.Clock{}, Limits: func() ConnLimits { return ConnLimits{} }}
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, ConnState: table.TrackState, ConnContext: ContextWithConn,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := strconv.Atoi(r.Header.Get("X-Probes"))
			for range n {
				ProbeClient(r)
			}
			body, _ := io.ReadAll(r.Body)
			for range n {
				ProbeClient(r)
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
			ProbeClient(r)
		}),
	}
	go func() { _ = server.Serve(table.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// Guards against a response that is spoilt by the bytes that were sent ahead of it, also on a connection that is used
// again, after an interim response and with an older version of HTTP.
func TestProbedClientGetsWholeResponse(t *testing.T) {
	address := newProbingServer(t)
	body := strings.Repeat("body", 1<<10)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, ExpectContinueTimeout: time.Minute}}
	defer client.CloseIdleConnections()
	for _, probes := range []string{"1", "0", "20", "3"} {
		for _, expect := range []string{"", "100-continue"} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Probes", probes)
			req.Header.Set("Expect", expect)
			res, err := client.Do(req)
			if err != nil {
				t.Fatalf("%s probes, expect %q: %v", probes, expect, err)
			}
			got, err := io.ReadAll(res.Body)
			_ = res.Body.Close()
			if err != nil || string(got) != body {
				t.Errorf("%s probes, expect %q: %d bytes, %v", probes, expect, len(got), err)
			}
		}
	}
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.0\r\nX-Probes: 20\r\nContent-Length: 2\r\n\r\nok")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.Proto != "HTTP/1.0" || res.ContentLength != 2 {
		t.Errorf("the response to HTTP/1.0 is %v, %v", res, err)
	}
}

// Guards against a response that goes on after it was begun with other bytes than its own.
func TestForeignResponseFailsAfterProbe(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	c := &clientConn{Conn: a}
	c.early.sendNext(a, "HTTP/1.1 ")
	if _, err := c.Write([]byte("GET")); err == nil {
		t.Error("the write succeeded")
	}
}
