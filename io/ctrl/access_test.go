package ctrl

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wasabiweir/core/object"
	"wasabiweir/io/serve"
	"wasabiweir/io/stand"
	"wasabiweir/io/wire"
)

// Guards against operator requests and peer links that are accepted without the right access token or key, and against
// bodies and headers above their limits.
func TestAccess(t *testing.T) {
	r := startWithEmptyMember(t)
	operators, peers := httptest.NewServer(r.apiHandler()), httptest.NewServer(r.peerHandler())
	defer operators.Close()
	defer peers.Close()
	websocket := map[string]string{
		"Connection": "Upgrade", "Upgrade": "websocket", "Sec-WebSocket-Version": "13",
		"Sec-WebSocket-Key": "AAAAAAAAAAAAAAAAAAAAAA==",
	}
	large := strings.Repeat(" ", object.MaxFileBytes+1)
	for _, c := range []struct {
		name, method, url, authorization, body string
		header                                 map[string]string
		want                                   int
	}{
		{"no token", http.MethodGet, operators.URL + "/v1/status", "", "", nil, http.StatusUnauthorized},
		{"wrong token", http.MethodGet, operators.URL + "/v1/status", "Bearer stranger", "", nil, http.StatusUnauthorized},
		{"another scheme", http.MethodGet, operators.URL + "/v1/status", testToken, "", nil, http.StatusUnauthorized},
		{"wrong token for a change", http.MethodPost, operators.URL + "/v1/changes", "Bearer stranger", "{}", nil, http.StatusUnauthorized},
		{"right token", http.MethodGet, operators.URL + "/v1/history", "Bearer " + testToken, "", nil, http.StatusOK},
		{"large body", http.MethodPost, operators.URL + "/v1/changes", "Bearer " + testToken, large, nil, http.StatusRequestEntityTooLarge},
		{"no key", http.MethodGet, peers.URL + wire.Path, "", "", websocket, http.StatusUnauthorized},
		{"wrong key", http.MethodGet, peers.URL + wire.Path, "Bearer wrong-key-of-the-peers", "", websocket, http.StatusUnauthorized},
		{"operator's token as the key", http.MethodGet, peers.URL + wire.Path, "Bearer " + testToken, "", websocket, http.StatusUnauthorized},
	} {
		req, err := http.NewRequest(c.method, c.url, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", c.authorization)
		for k, v := range c.header {
			req.Header.Set(k, v)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode != c.want {
			t.Errorf("%s: status %d, want %d", c.name, res.StatusCode, c.want)
		}
	}
	if res := rawRequest(t, r.Listen, "GET /v1/status HTTP/1.1\r\nHost: x\r\nA: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n\r\n"); !strings.Contains(res, " 431 ") {
		t.Errorf("large header: %q, want status 431", res)
	}
}

// rawRequest sends the text on a new connection and returns the first 64 bytes of the response at most.
func rawRequest(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	// The server may answer and close before it has read everything.
	_, _ = io.WriteString(c, text)
	b := make([]byte, 64)
	n, _ := c.Read(b)
	return string(b[:n])
}

// Guards against idle connections that exhaust a process because their number is not limited, and against closed
// connections that still count towards the limit.
func TestConnectionLimit(t *testing.T) {
	inner := stand.Listen(t)
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: headerTimeout}
	defer func() { _ = server.Close() }()
	s := &testServer{server: server, listener: serve.LimitListener(inner, 2)}
	go s.run()
	var open []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
		defer func() { _ = c.Close() }()
	}
	const request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	if got := rawRequest(t, inner.Addr().String(), request); got != "" {
		t.Errorf("third connection: %q, want it closed without an answer", got)
	}
	_ = open[0].Close()
	for deadline := time.Now().Add(10 * time.Second); rawRequest(t, inner.Addr().String(), request) == ""; {
		if time.Now().After(deadline) {
			t.Fatal("a closed connection still counts towards the limit")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// testServer is an HTTP server that run serves on the listener.
type testServer struct {
	server   *http.Server
	listener net.Listener
}

// run serves requests until the server is closed.
func (s *testServer) run() { _ = s.server.Serve(s.listener) }
