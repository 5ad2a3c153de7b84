package wire

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
)

// panicHandler panics on each frame.
type panicHandler struct{}

// HandleFrame panics.
func (panicHandler) HandleFrame(*Link, Frame) { panic("unexpected frame") }

// Guards against a frame that cannot be handled and ends the process: it must cost only the link, and the server must
// accept the next one.
func TestHandlerPanic(t *testing.T) {
	s := httptest.NewServer(&Server{Key: "k", HandlerFor: func(*Link) Handler { return panicHandler{} }, Log: zap.NewNop()})
	defer s.Close()
	for range 2 {
		l, err := Dial(t.Context(), "test", s.Listener.Addr().String(), "k", panicHandler{})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		go func() { done <- l.Serve(context.Background()) }()
		if err := l.Post(KindReport, "", Report{Name: "r"}); err != nil {
			t.Fatal(err)
		}
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the link is still open")
		}
	}
	l := &Link{handler: panicHandler{}}
	if err := l.handleFrame(Frame{}); !errors.Is(err, ErrPanic) {
		t.Errorf("error is %v, want one that wraps ErrPanic", err)
	}
}
