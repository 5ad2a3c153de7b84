package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/run"
)

// ListenPair returns two TCP listeners: one for clients and one for peers, the other processes of the system.
func ListenPair(clientAddress, peerAddress string) (clients, peers net.Listener, err error) {
	if clients, err = Listen(clientAddress); err != nil {
		return nil, nil, fmt.Errorf("clients: %w", err)
	}
	if peers, err = Listen(peerAddress); err != nil {
		_ = clients.Close()
		return nil, nil, fmt.Errorf("peers: %w", err)
	}
	return clients, peers, nil
}

// Listen returns a TCP listener on the address.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// AddLoop adds a function to the run group; the function's context ends with ctx or as soon as another member of the
// run group returns.
func AddLoop(ctx context.Context, g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// answerMargin is how long before a server closes its requests end, so that they can be answered.
const answerMargin = 200 * time.Millisecond

// EndRequests returns an answer time for AddHTTPServer, the timeout, and calls end as the last moment at which the requests that
// still run can be answered has come; end ends their contexts.
func EndRequests(timeout time.Duration, end func()) func() time.Duration {
	return func() time.Duration {
		time.AfterFunc(timeout-answerMargin, end)
		return timeout
	}
}

// WriteJSON responds with the status and v encoded as JSON, or with status 500 if v cannot be encoded. It ignores write
// errors, which mean that the client has disconnected.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "the response cannot be encoded", http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	// With a length, the response is complete for a client that still sends its request body.
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Sleep waits for the duration d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
