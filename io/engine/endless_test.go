package engine

import (
	"errors"
	"testing"

	"wasabiweir/io/stand"
)

// maxEndlessSent bounds the bytes that an engine may send in an endless reply, with what the sockets hold.
const maxEndlessSent = 10 << 20

// Guards against a client that reads bytes without end from an engine, or whose error says that the request did not run
// then.
func TestEndlessReplies(t *testing.T) {
	for name, response := range stand.EndlessResponses("{", `"x":1,`) {
		t.Run(name, func(t *testing.T) {
			s := &stand.EndlessServer{Listener: stand.Listen(t), Response: response}
			go s.Run()
			c, ctx := newClient(t, s.Listener.Addr().String())
			_, report := c.Metrics(ctx)
			_, order := c.SendOrder(ctx, Order{Action: ActionLoadModel, Model: "m"})
			_, generation := c.StartGeneration(ctx, Request{Model: "m", PromptIDs: []uint32{1}, MaxTokens: 1})
			for call, err := range map[string]error{"report": report, "order": order, "generation": generation} {
				var e *Error
				if !errors.As(err, &e) || e.Kind != KindProtocol || !e.Sent {
					t.Errorf("%s: the error is %v", call, err)
				}
			}
			if got := s.Written(); got > 3*maxEndlessSent {
				t.Errorf("the engine could send %d KB", got>>10)
			}
		})
	}
}
