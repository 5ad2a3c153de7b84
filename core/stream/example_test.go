package stream_test

import (
	"fmt"
	"time"

	"wasabiweir/core/stream"
)

// holders are the journal holders by router name.
var holders = map[string]*stream.Holder{}

// exchange delivers messages to the holders and their replies to handle, until there are no more messages.
func exchange(handle func(time.Time, stream.Reply) []stream.Message, ms []stream.Message) {
	for ; len(ms) > 0; ms = ms[1:] {
		reply := holders[ms[0].To.Router].Handle(time.Time{}, ms[0])
		ms = append(ms, handle(time.Time{}, reply)...)
	}
}

// The router petrolina releases two tokens to a caller and restarts. The router caruaru becomes the owner with the
// cursor of the caller and continues with the third token.
func Example() {
	now := time.Time{}
	set := stream.HolderSet{Number: 1}
	for _, name := range []string{"petrolina", "juazeiro", "caruaru"} {
		holders[name] = &stream.Holder{Router: name, Incarnation: 1}
		set.Members = append(set.Members, holders[name].ID("127.0.0.1:7000"))
	}
	first := &stream.Owner{
		Record: stream.OpenRecord{ID: "plan-1", Account: "vets", Prompt: []stream.Token{11, 12}, MaxTokens: 3},
		Epoch:  stream.Epoch{Number: stream.FirstEpoch, Router: "petrolina"},
		Set:    set,
	}
	exchange(first.Handle, first.Open(now))
	req, _ := first.StartAttempt()
	first.Output(req.Attempt, stream.Output{IDs: []stream.Token{21, 22}, Text: "Float the"})
	exchange(first.Handle, first.Flush(now))
	released := first.Release()
	fmt.Println(released[0].Offset, released[0].IDs, released[0].Text)

	holders["petrolina"] = &stream.Holder{Router: "petrolina", Incarnation: 2}
	cursor, _ := stream.ParseCursor(first.Cursor(released[0]).String())
	transfer := &stream.Transfer{Router: "caruaru", Nonce: 1, Cursor: cursor}
	exchange(transfer.Handle, transfer.Start(now))
	second, _ := transfer.Result()
	req, _ = second.StartAttempt()
	fmt.Println("prompt", req.Prompt, "remaining", req.MaxTokens)
	second.Output(req.Attempt, stream.Output{IDs: []stream.Token{23}, Text: " molars."})
	exchange(second.Handle, second.Flush(now))
	last := second.Release()[0]
	fmt.Println(last.Offset, last.IDs, last.Text, last.Finish)
	// Output:
	// 0 [21 22] Float the
	// prompt [11 12 21 22] remaining 1
	// 2 [23]  molars. length
}
