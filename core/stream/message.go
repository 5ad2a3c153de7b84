package stream

// Message is a request of an Owner or of a Transfer to one journal holder. Exactly one of the pointers, its body, is
// set.
type Message struct {
	// To is the journal holder that receives the message.
	To HolderID `cbor:"1,keyasint"`
	// ID is the request id of the generation.
	ID string `cbor:"2,keyasint"`
	// Epoch is the epoch at which the sender owns the generation, or at which it wants to own it.
	Epoch Epoch `cbor:"3,keyasint"`

	Open      *OpenRequest      `cbor:"4,keyasint,omitempty"`
	Append    *AppendRequest    `cbor:"5,keyasint,omitempty"`
	Promise   *PromiseRequest   `cbor:"6,keyasint,omitempty"`
	Install   *InstallRequest   `cbor:"7,keyasint,omitempty"`
	SetChange *SetChangeRequest `cbor:"8,keyasint,omitempty"`
	Close     *CloseRequest     `cbor:"9,keyasint,omitempty"`
}

// OpenRequest asks a journal holder to create the journal of a new generation with its open record.
type OpenRequest struct {
	Record OpenRecord `cbor:"1,keyasint"`
	Set    HolderSet  `cbor:"2,keyasint"`
}

// AppendRequest asks a journal holder to add batches to the journal of a generation.
type AppendRequest struct {
	// FirstBatch is the index of the first batch in the journal, Offset the number of answer tokens before it.
	FirstBatch int     `cbor:"1,keyasint,omitempty"`
	Offset     int     `cbor:"2,keyasint,omitempty"`
	Batches    []Batch `cbor:"3,keyasint"`
}

// PromiseRequest asks a journal holder to refuse owners with lower epochs from now on and to return the journal that it
// accepted.
type PromiseRequest struct{}

// InstallRequest asks a journal holder to replace its whole journal of a generation. A router that became the owner
// sends it to all journal holders, and any owner sends it to a holder that joins the holder set.
type InstallRequest struct {
	Record  OpenRecord `cbor:"1,keyasint"`
	Set     HolderSet  `cbor:"2,keyasint"`
	NextSet *HolderSet `cbor:"3,keyasint,omitempty"`
	Batches []Batch    `cbor:"4,keyasint,omitempty"`
}

// SetChangeRequest asks a journal holder to store Next as the prepared set of journal holders or, if Committed is true,
// as the committed one.
type SetChangeRequest struct {
	Next      HolderSet `cbor:"1,keyasint"`
	Committed bool      `cbor:"2,keyasint,omitempty"`
}

// CloseRequest tells a journal holder that no more output of a generation follows.
type CloseRequest struct {
	// Forget makes the holder evict the journal at once instead of after the retention time.
	Forget bool `cbor:"1,keyasint,omitempty"`
}

// ReplyStatus is the result of a message at a journal holder.
type ReplyStatus uint8

// Results of a message at a journal holder.
const (
	// StatusAccepted means that the holder applied the message, now or when an earlier transmission of it arrived.
	StatusAccepted ReplyStatus = iota + 1
	// StatusPromised means that the holder promised to refuse writes of lower epochs; it does not acknowledge any
	// batch.
	StatusPromised
	// StatusStale means that the message was refused because the holder promised a higher epoch.
	StatusStale
	// StatusMissing means that the holder has no journal that was accepted at the epoch of the message, and needs the
	// whole journal.
	StatusMissing
	// StatusGap means that the holder's journal lacks batches before those of the append request.
	StatusGap
	// StatusRestarted means that the router has restarted since the incarnation in the message and has lost its
	// journals.
	StatusRestarted
	// StatusGone means that the holder has evicted the journal or deleted it on request.
	StatusGone
	// StatusFull means that the holder has reached its memory limit.
	StatusFull
	// StatusInvalid means that the message is not well-formed by Message.Check.
	StatusInvalid
)

// Reply is the answer of a journal holder to one message.
type Reply struct {
	// From is the journal holder to which the message was addressed, without its address.
	From HolderID `cbor:"1,keyasint"`
	// ID is the request id of the generation.
	ID string `cbor:"2,keyasint"`
	// Epoch is the epoch of the message that this replies to.
	Epoch  Epoch       `cbor:"3,keyasint"`
	Status ReplyStatus `cbor:"4,keyasint"`
	// PromisedEpoch is the highest epoch that the holder promised for the generation.
	PromisedEpoch Epoch `cbor:"5,keyasint"`
	// AcceptedBatches is the number of batches that the holder accepted at the epoch of the message.
	AcceptedBatches int `cbor:"6,keyasint,omitempty"`
	// SetNumber and NextNumber are the numbers of the committed and of the prepared holder set that the holder knows,
	// or zero.
	SetNumber  uint64 `cbor:"7,keyasint,omitempty"`
	NextNumber uint64 `cbor:"8,keyasint,omitempty"`

	// State is the journal that the holder accepted. Only replies to a PromiseRequest have one; if the request is
	// stale, it has the holder sets only.
	State *JournalState `cbor:"9,keyasint,omitempty"`
}

// JournalState is the journal of one generation as a journal holder accepted it, with the sets of journal holders that
// it knows.
type JournalState struct {
	// AcceptedEpoch is the epoch of the last accepted write, or zero if the holder never received the open record.
	AcceptedEpoch Epoch      `cbor:"1,keyasint"`
	Record        OpenRecord `cbor:"2,keyasint"`
	Set           HolderSet  `cbor:"3,keyasint"`
	NextSet       *HolderSet `cbor:"4,keyasint,omitempty"`
	Batches       []Batch    `cbor:"5,keyasint,omitempty"`
}
