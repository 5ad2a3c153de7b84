package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of a frame; it determines the type of the body.
type Kind string

// Kinds of frames. Control processes serve routers, and keepers serve relays.
const (
	// KindHeartbeat shows that the sender is alive; it has no body.
	KindHeartbeat Kind = "heartbeat"
	// KindReply answers a request; its ID is that of the request.
	KindReply Kind = "reply"

	// KindRaft carries messages of a replicated log between its members.
	KindRaft Kind = "raft"
	// KindIdentity asks a control process for its identity in a group.
	KindIdentity Kind = "identity"
	// KindJoin asks a member to add the sender to its group.
	KindJoin Kind = "join"
	// KindStatus asks a control process for its status in a group.
	KindStatus Kind = "status"
	// KindReports passes reports of routers or relays on to the other control processes or keepers.
	KindReports Kind = "reports"
	// KindForward passes a ledger command on to the leader of the ledger.
	KindForward Kind = "forward"

	// KindReport carries the Report of a router or relay.
	KindReport Kind = "report"
	// KindUpdateRequest carries an UpdateRequest.
	KindUpdateRequest Kind = "position"
	// KindPropose proposes a command to the ledger.
	KindPropose Kind = "propose"

	// KindUpdate carries a change of the configuration to a router.
	KindUpdate Kind = "update"
	// KindRouters carries Routers to a router.
	KindRouters Kind = "routers"
	// KindShares carries the routers' shares of the account limits.
	KindShares Kind = "shares"

	// KindState carries a State to a relay.
	KindState Kind = "state"
	// KindEndpoints carries a list of endpoints to a relay or between keepers.
	KindEndpoints Kind = "endpoints"
	// KindKeepers carries Keepers to a relay.
	KindKeepers Kind = "keepers"

	// KindJournal carries requests to the journal of streams on another router.
	KindJournal Kind = "journal"
	// KindJournalReply answers KindJournal.
	KindJournalReply Kind = "journal-reply"
	// KindCounts carries the numbers of requests in flight between routers.
	KindCounts Kind = "counts"
)

// Frame is one message on a link; it is encoded in CBOR.
type Frame struct {
	Kind Kind `cbor:"1,keyasint"`
	// Group is the name of the replicated log that the frame concerns; it is empty if there is none.
	Group string `cbor:"2,keyasint,omitempty"`
	// ID matches a reply to its request; zero means that no reply is expected.
	ID uint64 `cbor:"3,keyasint,omitempty"`
	// Error is the error text of a reply to a failed request.
	Error string `cbor:"4,keyasint,omitempty"`
	// Body is the content in CBOR; its type depends on Kind.
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// cborEncMode encodes times as RFC 3339 text with nanoseconds and sorts map keys, so that equal values have equal
// bytes.
var cborEncMode = mustEncMode()

// mustEncMode returns the options for encoding; it panics if the library refuses them.
func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// maxCBORElements bounds the elements of one decoded array or map. A configuration snapshot of the size that the system
// is designed for has about 2,000.
const maxCBORElements = 1 << 20

// cborDecMode decodes frames and their bodies.
var cborDecMode = mustDecMode()

// mustDecMode returns the options for decoding; it panics if the library refuses them.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxCBORElements, MaxMapPairs: maxCBORElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v as CBOR; equal values give equal bytes.
func Marshal(v any) ([]byte, error) {
	b, err := cborEncMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Unmarshal decodes the CBOR data b into v, which must be a pointer.
func Unmarshal(b []byte, v any) error {
	if err := cborDecMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// Decode decodes the body of f as a value of type T.
func Decode[T any](f Frame) (T, error) {
	var v T
	err := Unmarshal(f.Body, &v)
	return v, err
}
