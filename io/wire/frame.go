package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of a frame, such as a request for configuration updates; it determines the type of the frame's body.
type Kind string

// Kinds of frames. Control processes exchange frames with routers, and keepers exchange frames with relays.
const (
	// KindHeartbeat shows that the process that sends it is alive; it has no body.
	KindHeartbeat Kind = "heartbeat"
	// KindReply answers a request frame; its ID is that of the request.
	KindReply Kind = "reply"

	// KindRaft carries Raft messages of a replicated log between the members of its Raft group.
	KindRaft Kind = "raft"
	// KindIdentity asks a control process for its raft.ID, the instance name and disk id, in a Raft group.
	KindIdentity Kind = "identity"
	// KindJoin asks a member of a Raft group to add the sender to the group.
	KindJoin Kind = "join"
	// KindStatus asks a control process for its status in a Raft group.
	KindStatus Kind = "status"
	// KindReports passes the Reports of routers or relays on to the other control processes or keepers.
	KindReports Kind = "reports"
	// KindForward passes a command for the call ledger on to the leader of the ledger's Raft group.
	KindForward Kind = "forward"

	// KindReport carries the Report of a router or relay about its state.
	KindReport Kind = "report"
	// KindConfigUpdateRequest carries a ConfigUpdateRequest, by which a router or a relay asks for updates of its
	// configuration.
	KindConfigUpdateRequest Kind = "position"
	// KindPropose proposes a command to the ledger of non-idempotent calls.
	KindPropose Kind = "propose"

	// KindUpdate carries an update of the configuration to a router.
	KindUpdate Kind = "update"
	// KindRouters carries the list of live routers, Routers, to a router.
	KindRouters Kind = "routers"
	// KindShares carries a router's shares of the account limits to that router.
	KindShares Kind = "shares"

	// KindConfigState carries a ConfigState, which holds the relays' current configuration, to a relay.
	KindConfigState Kind = "state"
	// KindEndpoints carries the platform's list of endpoints to a relay or between keepers.
	KindEndpoints Kind = "endpoints"
	// KindCrashes carries a list of poison.Crash, engines that requests have crashed, between relays and keepers.
	KindCrashes Kind = "crashes"
	// KindLimits carries a list of place.LimitNotice, limits that endpoints have named, between relays and keepers.
	KindLimits Kind = "limits"
	// KindOrigins carries Origins, the software versions at which streams began, from relays to keepers and between keepers.
	KindOrigins Kind = "origins"
	// KindFindOrigin carries an OriginRequest of a relay to a keeper, which replies with an OriginReply.
	KindFindOrigin Kind = "find-origin"
	// KindRetryGrant carries a RetryGrantRequest of a relay to a keeper, or of that one to the leader, which replies with a RetryGrant.
	KindRetryGrant Kind = "retry-grant"
	// KindKeepers carries Keepers, the addresses of the keepers and relays, to a relay.
	KindKeepers Kind = "keepers"

	// KindJournal carries requests to the journals of generations' streams that another router holds.
	KindJournal Kind = "journal"
	// KindJournalReply carries the reply to a KindJournal request.
	KindJournalReply Kind = "journal-reply"
	// KindCounts carries, from one router to the others, the numbers of requests that it has in flight at the
	// endpoints.
	KindCounts Kind = "counts"
)

// Frame is one message on a link between two processes; it is encoded in CBOR.
type Frame struct {
	Kind Kind `cbor:"1,keyasint"`
	// Group is the name of the Raft group that the frame concerns; it is empty if there is none.
	Group string `cbor:"2,keyasint,omitempty"`
	// ID matches a reply frame to its request frame; zero means that no reply is expected.
	ID uint64 `cbor:"3,keyasint,omitempty"`
	// Error is, in a reply frame, the error text of the failed request.
	Error string `cbor:"4,keyasint,omitempty"`
	// Body is the content of the frame in CBOR; its type depends on Kind.
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// cborEncMode encodes frames and their bodies. It encodes times as RFC 3339 text with nanoseconds and sorts map keys,
// so that equal values have equal bytes.
var cborEncMode = mustEncMode()

// mustEncMode returns the CBOR encoding for frames; it panics if the library refuses its options.
func mustEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// maxCBORElements bounds the elements of one decoded CBOR array or map. A configuration snapshot of the size that the
// system is designed for has about 2,000.
const maxCBORElements = 1 << 20

// cborDecMode decodes frames and their bodies.
var cborDecMode = mustDecMode()

// mustDecMode returns the CBOR decoding for frames; it panics if the library refuses its options.
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

// Decode decodes the body of the frame f as a value of type T.
func Decode[T any](f Frame) (T, error) {
	var v T
	err := Unmarshal(f.Body, &v)
	return v, err
}
