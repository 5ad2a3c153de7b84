package itest

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"wasabiweir/core/token"
	"wasabiweir/io/stand"
)

// failingEngines are proxies in front of engines. They break the first attempt of a generation off in the middle of its
// output, answer the next ones with an error, and pass on all others.
type failingEngines struct {
	attempts atomic.Int32
	// failures is the number of attempts that get an error.
	failures int32
	// failure is the whole error response, from its status line on.
	failure atomic.Value
}

// brokenAfter is the number of lines with output after which the first attempt breaks off.
const brokenAfter = 5

// handler returns the proxy in front of the engine at the address.
func (f *failingEngines) handler(address string) http.Handler {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.FlushInterval = -1
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/completions" {
			proxy.ServeHTTP(w, r)
			return
		}
		switch n := f.attempts.Add(1); {
		case n == 1:
			breakOff(w, r, address)
		case n <= 1+f.failures:
			f.fail(w, r)
		default:
			proxy.ServeHTTP(w, r)
		}
	})
}

// breakOff passes on the first lines of the engine's output and resets the connection.
func breakOff(w http.ResponseWriter, r *http.Request, address string) {
	res, err := http.Post("http://"+address+r.URL.Path, "application/json", r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = res.Body.Close() }()
	w.Header().Set("Content-Type", res.Header.Get("Content-Type"))
	lines := bufio.NewReader(res.Body)
	for n := 0; n < brokenAfter; {
		line, err := lines.ReadString('\n')
		if err != nil {
			break
		}
		if strings.HasPrefix(line, "data:") {
			n++
		}
		_, _ = io.WriteString(w, line)
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// fail answers with the failure and closes the connection.
func (f *failingEngines) fail(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, f.failure.Load().(string))
	_ = conn.Close()
}

// start puts a proxy in front of each engine of the system.
func (f *failingEngines) start(s *system) {
	var objects []map[string]any
	for i, a := range s.engineAddresses {
		l := stand.Listen(s.t)
		server := httptest.NewUnstartedServer(f.handler(a))
		server.Listener = l
		server.Start()
		s.t.Cleanup(server.Close)
		objects = append(objects, engineObject(i, l.Addr().String(), true))
	}
	s.apply(encodeChange(s.t, map[string]any{"objects": objects}), "-wait", "15s")
}

// Answers of an engine to a generation that an earlier engine has begun.
const (
	statusOK     = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	streamHead   = statusOK + "Content-Type: text/event-stream\r\n\r\n"
	serverError  = "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n"
	badRequest   = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: application/json\r\n\r\n"
	plainError   = "engine failure: out of memory\n"
	jsonError    = `{"error":{"message":"engine failure: out of memory","code":500}}`
	chunkOfError = `{"choices":[{"text":"engine failure: out of memory","token_ids":[],"finish_reason":"error"}]}`
	chunkOfFault = `{"choices":[{"text":"engine failure: out of memory","token_ids":[17],"finish_reason":"error"}]}`
)

// Guards against the text or head of an engine's error in the middle of a stream that another engine has begun, and against
// a stream that ends there as if it were complete.
func TestErrorAfterBrokenStream(t *testing.T) {
	t.Parallel()
	const tokens = 40
	s := newSystem(t, systemSpec{controls: 1, routers: 1, engines: 3, engineArgs: []string{"-tokens-per-second", "300"}})
	f := &failingEngines{failures: 1}
	f.start(s)
	for _, x := range []struct{ name, failure string }{
		{"json", serverError + "Content-Type: application/json\r\n\r\n" + jsonError},
		{"invalid request", badRequest + jsonError},
		{"html", "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\nContent-Type: text/html\r\n\r\n<html>" + plainError + "</html>"},
		{"error status with event stream", serverError + "Content-Type: text/event-stream\r\n\r\ndata: " + jsonError + "\n\n"},
		{"plain text with status 200", statusOK + "Content-Type: text/plain\r\n\r\n" + plainError},
		{"json with status 200", statusOK + "Content-Type: application/json\r\n\r\n" + jsonError},
		{"plain text in an event stream", streamHead + plainError},
		{"plain text as an event", streamHead + "data: " + plainError + "\n"},
		{"error event", streamHead + "event: error\ndata: " + jsonError + "\n\ndata: [DONE]\n\n"},
		{"error event with another object", streamHead + "event: error\ndata: {\"message\":\"engine failure\"}\n\ndata: [DONE]\n\n"},
		{"error as finish reason", streamHead + "data: " + chunkOfError + "\n\ndata: [DONE]\n\n"},
		{"error as finish reason with a token", streamHead + "data: " + chunkOfFault + "\n\ndata: [DONE]\n\n"},
		{"head in an event stream", streamHead + serverError + "\r\n" + jsonError},
		{"second head", statusOK + "\r\n" + serverError + "\r\n" + jsonError},
		{"truncated head", "HTTP/1.1 200 OK\r\nContent-Ty"},
		{"truncated event", streamHead + "data: " + chunkOfError[:40]},
		{"empty event stream", streamHead},
		{"end at once", streamHead + "data: [DONE]\n\n"},
	} {
		t.Run(x.name, func(t *testing.T) {
			f.failure.Store(x.failure)
			f.attempts.Store(0)
			l := s.startCompletion(0, tokens).readToEnd()
			if n := f.attempts.Load(); n < 3 {
				t.Errorf("%d attempts, want the failure and another engine", n)
			}
			l.t = t
			l.verifyCompletion(tokens)
			l.verifyText()
		})
	}
}

// Guards against a stream that all engines reject as invalid after one of them has begun it, and that is tried without end.
func TestStreamThatEnginesReject(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 1, routers: 1, engines: 4})
	f := &failingEngines{failures: 1000}
	f.failure.Store(badRequest + jsonError)
	f.start(s)
	l := s.startCompletion(0, 40).readToEnd()
	if got := l.received.String(); !strings.Contains(got, `event: error`) || !strings.Contains(got, `"reason":"bad-request","outcome":"ran"`) {
		t.Errorf("the stream ended with %s", lastLines(got, 2))
	}
	if n := f.attempts.Load(); n != 3 {
		t.Errorf("%d attempts, want the first and two that are rejected", n)
	}
}

// verifyText checks that the text of each event is that of its tokens, and that the stream ended as a complete one.
func (l *streamResponse) verifyText() {
	l.t.Helper()
	for line := range strings.Lines(l.received.String()) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var e struct {
			Choices []struct {
				Text     string   `json:"text"`
				TokenIDs []uint32 `json:"token_ids"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil || len(e.Choices) != 1 {
			l.t.Errorf("event %s", line)
			continue
		}
		want := ""
		for _, id := range e.Choices[0].TokenIDs {
			want += token.TokenText(id)
		}
		if e.Choices[0].Text != want {
			l.t.Errorf("the event's text is %q, that of its tokens %q", e.Choices[0].Text, want)
		}
	}
	if !strings.HasSuffix(l.received.String(), "data: [DONE]\n\n") {
		l.t.Errorf("the stream ended with %s", lastLines(l.received.String(), 2))
	}
}
