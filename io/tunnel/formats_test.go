package tunnel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/uber-go/tally/v4"

	"wasabiweir/core/reach"
)

// The request for a connection and the replies to it as the code of ab74be3 writes them; earlier code knows no carriers.
const (
	earlierRequest = "CONNECT 10.0.0.9:80 HTTP/1.1\r\nHost: 10.0.0.9:80\r\nAuthorization: Bearer key\r\n\r\n"
	earlierOpened  = "HTTP/1.1 200 Connected\r\n\r\n"
)

// earlierReply returns the reply with the status line and the result, but for its date.
func earlierReply(status, result string) string {
	return "HTTP/1.1 " + status + "\r\nWasabiweir-Result: " + result + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
}

// askEarlier sends a request for a connection to a carrier that gives the reply, and returns the request as well.
func askEarlier(reply string) (request string, r reach.Result, a reach.Answer, err error) {
	own, other := net.Pipe()
	defer func() { _ = own.Close() }()
	sent := make(chan string, 1)
	go func() {
		defer func() { _ = other.Close() }()
		b := make([]byte, len(earlierRequest)+200)
		n, _ := other.Read(b)
		sent <- string(b[:n])
		_, _ = io.WriteString(other, reply)
	}()
	r, a, err = (&Dialer{Key: "key", id: "id"}).requestConnection(own, "10.0.0.1:9000", "10.0.0.9:80")
	return <-sent, r, a, err
}

// Guards against a relay and a carrier of two versions that do not understand each other. A process that knows no carriers answers with
// 404, which says nothing about the endpoint.
func TestEarlierCarriersAreUnderstood(t *testing.T) {
	for name, x := range map[string]struct {
		reply  string
		result reach.Result
		answer reach.Answer
		err    error
	}{
		"opened":      {earlierOpened, reach.Connected, reach.Helped, nil},
		"refused":     {earlierReply("502 Bad Gateway", "refused"), reach.Refused, reach.Helped, syscall.ECONNREFUSED},
		"silent":      {earlierReply("502 Bad Gateway", "silent"), reach.Silent, reach.Helped, errNotCarried},
		"unsure":      {earlierReply("502 Bad Gateway", "unsure"), reach.Unknown, reach.Unsure, errNotCarried},
		"unlisted":    {earlierReply("403 Forbidden", "unlisted"), reach.Unknown, reach.Unsure, errNotCarried},
		"cut off":     {earlierReply("503 Service Unavailable", "cut-off"), reach.Unknown, reach.Declined, errNotCarried},
		"busy":        {earlierReply("503 Service Unavailable", "busy"), reach.Unknown, reach.Declined, errNotCarried},
		"no carriers": {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", reach.Unknown, reach.Declined, errNotCarried},
		"new result":  {earlierReply("502 Bad Gateway", "new"), reach.Unknown, reach.Declined, errNotCarried},
	} {
		request, result, answer, err := askEarlier(x.reply)
		// Earlier carriers ignore the field that they do not know.
		if want := strings.TrimSuffix(earlierRequest, "\r\n") + "Wasabiweir-Asker: id\r\n\r\n"; request != want || result != x.result || answer != x.answer || !errors.Is(err, x.err) {
			t.Errorf("%s: request %q, result %v, answer %v, error %v", name, request, result, answer, err)
		}
	}
}

// Guards against replies that a relay of ab74be3 does not understand.
func TestEarlierRelaysUnderstandReplies(t *testing.T) {
	for result, x := range map[string]struct {
		status int
		line   string
	}{
		resultRefused: {http.StatusBadGateway, "502 Bad Gateway"}, resultCutOff: {http.StatusServiceUnavailable, "503 Service Unavailable"},
		resultSilent: {http.StatusBadGateway, "502 Bad Gateway"}, resultBusy: {http.StatusServiceUnavailable, "503 Service Unavailable"},
		resultUnsure: {http.StatusBadGateway, "502 Bad Gateway"}, resultUnlisted: {http.StatusForbidden, "403 Forbidden"},
	} {
		s := &Server{Dialer: &Dialer{Metrics: tally.NoopScope}}
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["Date"] = nil
			w.Header().Set("Connection", "close")
			s.refuse(w, x.status, result)
		}))
		nc, err := net.Dial("tcp", h.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(nc, earlierRequest)
		got, err := io.ReadAll(bufio.NewReader(nc))
		want := earlierReply(x.line, result)
		if err != nil || !equalLines(string(got), want) {
			t.Errorf("%s: replied %q, %v, want %q", result, got, err, want)
		}
		_ = nc.Close()
		h.Close()
	}
}

// equalLines reports whether two heads have the same lines but for the order of the fields.
func equalLines(a, b string) bool {
	lines := strings.Split(a, "\r\n")
	other := strings.Split(b, "\r\n")
	counts := map[string]int{}
	for i := range lines {
		counts[lines[i]]++
	}
	for i := range other {
		counts[other[i]]--
	}
	for _, n := range counts {
		if n != 0 {
			return false
		}
	}
	return lines[0] == other[0]
}
