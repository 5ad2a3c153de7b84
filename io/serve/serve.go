package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
)

// closeGrace bounds the time for which a graceful end waits for the responses that are being written.
const closeGrace = time.Second

// Listen opens the listener for clients and the one for the system's processes.
func Listen(front, back string) (clients, peers net.Listener, err error) {
	if clients, err = ListenOne(front); err != nil {
		return nil, nil, fmt.Errorf("clients: %w", err)
	}
	if peers, err = ListenOne(back); err != nil {
		_ = clients.Close()
		return nil, nil, fmt.Errorf("peers: %w", err)
	}
	return clients, peers, nil
}

// ListenOne opens the listener of an address.
func ListenOne(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// Loop adds a loop that runs until ctx ends or another part of the group stops.
func Loop(ctx context.Context, g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// HTTP adds a server that runs until another part of the group stops. If graceful is set and reports so at that time, the
// responses that are being written may end.
func HTTP(g *run.Group, s *http.Server, l net.Listener, graceful func() bool) {
	g.Add(func() error {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}, func(error) {
		if graceful != nil && graceful() {
			shutDown(s)
			return
		}
		_ = s.Close()
	})
}

// shutDown closes a server's listener and lets the responses end that are being written.
func shutDown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close()
	}
}

// JSON answers with the value as JSON; a failed write means that the client is gone.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Pause waits for d and returns false if ctx ended first.
func Pause(ctx context.Context, d time.Duration) bool {
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
