package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/wall"
)

// Guards against a request that gets a connection from the pool which another one is about to close, after a refusal.
func TestConnectionIsNotPooledAfterRefusal(t *testing.T) {
	for _, text := range []string{"503 Full\r\nX-Not: 1", "421 Gone", "429 Later\r\nX-Not: 1", "400 Bad\r\nX-Not: 1"} {
		r := &Relay{Clock: wall.Clock{}, Log: zap.NewNop(), Names: HeaderNames{
			RequestID: "X-Id", NotExecuted: "X-Not", Limit: "X-Limit", Load: "X-Load",
			ParseLimit: func(string) (float64, bool) { return 0, false }, ParseLoad: func(string) (place.EndpointLoad, bool) { return place.EndpointLoad{}, false },
			ParseAnnouncement: func(int, http.Header) place.Announcement { return place.Announcement{} },
		}}
		r.pool.initPool(r)
		q := &request{relay: r, r: httptest.NewRequest(http.MethodPost, "/", http.NoBody), id: "7", log: r.Log}
		conn := &openConn{scriptedConn{r: strings.NewReader("HTTP/1.1 " + text + "\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n")}}
		if got := q.receiveResponse(newEndpointConn(conn, place.Endpoint{ID: "e"})); got.outcome != notExecuted || len(r.pool.idleConns["e"]) != 0 {
			t.Errorf("%s: outcome %d, %d connections in the pool", text, got.outcome, len(r.pool.idleConns["e"]))
		}
	}
}

// openConn is a scripted connection without deadlines.
type openConn struct{ scriptedConn }

func (*openConn) SetDeadline(time.Time) error { return nil }
