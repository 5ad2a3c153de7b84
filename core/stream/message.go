package stream

// Message is a request of an Owner or of a Transfer to one journal holder. Exactly one of the pointers, its body, is
// set.
type Message struct {
	// To is the holder that the message is for.
	To HolderID `cbor:"1,keyasint"`
	// ID is the request id of the generation.
	ID string `cbor:"2,keyasint"`
	// Epoch is the epoch of the sender.
	Epoch Epoch `cbor:"3,keyasint"`

	Open      *OpenRequest      `cbor:"4,keyasint,omitempty"`
	Append    *AppendRequest    `cbor:"5,keyasint,omitempty"`
	Promise   *PromiseRequest   `cbor:"6,keyasint,omitempty"`
	Install   *InstallRequest   `cbor:"7,keyasint,omitempty"`
	SetChange *SetChangeRequest `cbor:"8,keyasint,omitempty"`
	Close     *CloseRequest     `cbor:"9,keyasint,omitempty"`
}

// OpenRequest asks a holder to create the journal of a new generation with its open record.
type OpenRequest struct {
	Record OpenRecord `cbor:"1,keyasint"`
	Set    HolderSet  `cbor:"2,keyasint"`
}

// AppendRequest asks a holder to add batches to the journal.
type AppendRequest struct {
	// FirstBatch is the index of the first batch in the journal, Offset the number of answer tokens before it.
	FirstBatch int     `cbor:"1,keyasint,omitempty"`
	Offset     int     `cbor:"2,keyasint,omitempty"`
	Batches    []Batch `cbor:"3,keyasint"`
}

// PromiseRequest asks a holder to refuse lower epochs from now on and to return the journal that it accepted.
type PromiseRequest struct{}

// InstallRequest asks a holder to replace its whole journal. A new owner sends it to all holders, and any owner to a
// holder that joins the set.
type InstallRequest struct {
	Record  OpenRecord `cbor:"1,keyasint"`
	Set     HolderSet  `cbor:"2,keyasint"`
	NextSet *HolderSet `cbor:"3,keyasint,omitempty"`
	Batches []Batch    `cbor:"4,keyasint,omitempty"`
}

// SetChangeRequest asks a holder to store Next as the prepared holder set or, if Committed is true, as the committed
// one.
type SetChangeRequest struct {
	Next      HolderSet `cbor:"1,keyasint"`
	Committed bool      `cbor:"2,keyasint,omitempty"`
}

// CloseRequest tells a holder that no more output follows.
type CloseRequest struct {
	// Forget makes the holder evict the journal at once instead of after the retention time.
	Forget bool `cbor:"1,keyasint,omitempty"`
}

// ReplyStatus is the result of a message at a holder.
type ReplyStatus uint8

// Results of a message.
const (
	// StatusAccepted means that the message was applied, now or when an earlier copy of it arrived.
	StatusAccepted ReplyStatus = iota + 1
	// StatusPromised means that the holder promised the epoch; it does not acknowledge any batch.
	StatusPromised
	// StatusStale means that the message was refused because the holder promised a higher epoch.
	StatusStale
	// StatusMissing means that the holder has no journal at the epoch of the message and needs the whole one.
	StatusMissing
	// StatusGap means that the holder lacks batches before those of the append request.
	StatusGap
	// StatusRestarted means that the router has restarted since the incarnation in the message and has lost its
	// journals.
	StatusRestarted
	// StatusGone means that the holder has evicted or forgotten the journal.
	StatusGone
	// StatusFull means that the holder has reached its memory limit.
	StatusFull
	// StatusInvalid means that Message.Check returns an error.
	StatusInvalid
)

// Reply is the answer of a holder to one message.
type Reply struct {
	// From is the member to which the message was addressed, without its address.
	From HolderID `cbor:"1,keyasint"`
	// ID is the request id of the generation.
	ID string `cbor:"2,keyasint"`
	// Epoch is the epoch of the message.
	Epoch  Epoch       `cbor:"3,keyasint"`
	Status ReplyStatus `cbor:"4,keyasint"`
	// PromisedEpoch is the highest epoch that the holder promised.
	PromisedEpoch Epoch `cbor:"5,keyasint"`
	// AcceptedBatches is the number of batches that the holder accepted at the epoch of the message.
	AcceptedBatches int `cbor:"6,keyasint,omitempty"`
	// SetNumber and NextNumber are the numbers of the committed and of the prepared holder set that the holder knows,
	// or zero.
	SetNumber  uint64 `cbor:"7,keyasint,omitempty"`
	NextNumber uint64 `cbor:"8,keyasint,omitempty"`

	// State is the journal that the holder accepted. Only replies to a PromiseRequest have one; if the request is
	// stale, it has the holder sets only.
	State *State `cbor:"9,keyasint,omitempty"`
}

// State is the journal of one generation as a holder accepted it.
type State struct {
	// AcceptedEpoch is the epoch of the last accepted write, or zero if the holder never received the open record.
	AcceptedEpoch Epoch      `cbor:"1,keyasint"`
	Record        OpenRecord `cbor:"2,keyasint"`
	Set           HolderSet  `cbor:"3,keyasint"`
	NextSet       *HolderSet `cbor:"4,keyasint,omitempty"`
	Batches       []Batch    `cbor:"5,keyasint,omitempty"`
}
