package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind names the type of a frame's body.
type Kind string

// The kinds of frames.
const (
	KindHeartbeat Kind = "heartbeat"
	KindReply     Kind = "reply"

	// Between control processes.
	KindRaft     Kind = "raft"
	KindIdentity Kind = "identity"
	KindJoin     Kind = "join"
	KindStatus   Kind = "status"
	KindReports  Kind = "reports"
	KindForward  Kind = "forward"

	// From a router to control.
	KindReport   Kind = "report"
	KindPosition Kind = "position"
	KindPropose  Kind = "propose"

	// From control to a router.
	KindUpdate  Kind = "update"
	KindRouters Kind = "routers"
	KindShares  Kind = "shares"

	// From a keeper to a relay, or between keepers.
	KindState     Kind = "state"
	KindEndpoints Kind = "endpoints"
	KindKeepers   Kind = "keepers"

	// Between routers.
	KindJournal      Kind = "journal"
	KindJournalReply Kind = "journal-reply"
	KindCounts       Kind = "counts"
)

// Frame is one message on a link.
type Frame struct {
	Kind Kind `cbor:"1,keyasint"`
	// Group names the replicated log that the frame belongs to, if any.
	Group string `cbor:"2,keyasint,omitempty"`
	// ID pairs a reply with its request; zero means that no reply is expected.
	ID uint64 `cbor:"3,keyasint,omitempty"`
	// Error is the text of the error in a reply that carries no result.
	Error string          `cbor:"4,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// encoding writes times as nanosecond integers and sorts map keys, so that equal values have equal bytes.
var encoding = mustEncMode()

func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// maxElements bounds the entries of one decoded array or map; a configuration snapshot of the target size has about 2,000.
const maxElements = 1 << 20

var decoding = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) {
	b, err := encoding.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Unmarshal decodes CBOR into v.
func Unmarshal(b []byte, v any) error {
	if err := decoding.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// Decode returns the body of f as a T.
func Decode[T any](f Frame) (T, error) {
	var v T
	err := Unmarshal(f.Body, &v)
	return v, err
}
