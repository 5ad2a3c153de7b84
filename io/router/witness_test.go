package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wasabiweir/io/stand"
)

// Guards against the half response of an endpoint that was killed, which looks whole without a length or chunks.
func TestCallResponseWithoutLength(t *testing.T) {
	for _, killed := range []bool{false, true} {
		l, err := net.Listen("tcp", net.JoinHostPort(stand.LoopbackHost(), "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
			_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second))
			other, _ := l.Accept()
			time.Sleep(10 * time.Millisecond)
			_ = c.Close()
			if killed && other != nil {
				_ = other.Close()
			}
		}()
		x := &serviceCall{method: http.MethodGet, path: "/", dial: (&net.Dialer{}).DialContext}
		out, err := x.roundTrip(t.Context(), &http.Client{}, l.Addr().String())
		if (err != nil) != killed || err == nil && string(out.body) != "half" {
			t.Errorf("killed %t: %v", killed, err)
		}
	}
}
