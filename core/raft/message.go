package raft

// ID is the identity of a Raft group member: its instance name and the identifier of the disk that holds its state.
type ID struct {
	// Name is the instance name.
	Name string `cbor:"1,keyasint,omitempty"`
	// Disk is the random identifier that is stored on the disk when its data folder is created.
	Disk string `cbor:"2,keyasint,omitempty"`
}

// IsZero reports whether both the instance name and the disk identifier are empty.
func (i ID) IsZero() bool { return i == ID{} }

// String returns the member's identity as NAME/DISK.
func (i ID) String() string { return i.Name + "/" + i.Disk }

// EntryType says what a log entry contains.
type EntryType uint8

// Types of log entries.
const (
	// EntryData contains a proposal for the state machine.
	EntryData EntryType = iota
	// EntryEmpty contains nothing; a leader appends it as the first entry of its term.
	EntryEmpty
	// EntryMembers contains the members of the group after a membership change.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	// Term is the term of the leader that appended the entry.
	Term uint64 `cbor:"1,keyasint"`
	// Index is the entry's position in the log, counted from 1.
	Index uint64 `cbor:"2,keyasint"`
	// Type says whether the entry contains a proposal, a membership change or nothing.
	Type EntryType `cbor:"3,keyasint,omitempty"`
	// Data is the data of the proposal, or the context of the membership change.
	Data []byte `cbor:"4,keyasint,omitempty"`
	// Members are the members after a membership change; nil unless Type is EntryMembers.
	Members *Members `cbor:"5,keyasint,omitempty"`
}

// entryOverhead approximates the encoded size of a log entry's fields other than its data, in bytes.
const entryOverhead = 24

// approxEncodedSize returns the approximate encoded size of the log entry in bytes.
func (e *Entry) approxEncodedSize() int { return len(e.Data) + entryOverhead }

// HardState is the part of a Raft member's state, besides its log and snapshot, that must survive a restart.
type HardState struct {
	// Term is the highest term that the member has seen.
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate for which this member voted in Term, or zero.
	Vote ID `cbor:"2,keyasint"`
	// Commit is the commit index when the state was saved. A newer one may be known, but then the member only applies
	// some entries later after a restart.
	Commit uint64 `cbor:"3,keyasint"`
}

// Snapshot is the state of the replicated state machine after it has applied the log up to an entry.
type Snapshot struct {
	// Index and Term identify the last entry that the snapshot contains.
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Members are the members of the group at that entry.
	Members Members `cbor:"3,keyasint"`
	// Data is the serialised state of the state machine.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// PersistentState is the state that a member loads from its disk when it starts.
type PersistentState struct {
	// HardState is the hard state that was saved last.
	HardState HardState
	// Snapshot is the latest snapshot. For a new group it has index 0 and contains only the initial members.
	Snapshot Snapshot
	// Entries are the log entries after the snapshot, without a gap.
	Entries []Entry
}

// MessageType is the kind of a message between members of a Raft group.
type MessageType uint8

// Types of messages between members of a Raft group.
const (
	// MsgPreVote asks whether a member would vote for the sender in the next term.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers a MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote in the sender's new term.
	MsgVote
	// MsgVoteReply answers a MsgVote.
	MsgVoteReply
	// MsgAppend carries log entries that follow the entry with Index and LogTerm, and the leader's commit index.
	MsgAppend
	// MsgAppendReply acknowledges all entries up to Index, or rejects an append.
	MsgAppendReply
	// MsgHeartbeat shows that the leader is alive. It carries a commit index that lies within the receiver's log.
	MsgHeartbeat
	// MsgHeartbeatReply answers a MsgHeartbeat and confirms that the sender still follows the leader.
	MsgHeartbeatReply
	// MsgSnapshot carries one chunk of a snapshot. Hint is the offset of the chunk and HintTerm the size of the whole
	// data, both in bytes; LogTerm identifies the attempt to send the snapshot.
	MsgSnapshot
	// MsgPropose forwards proposals to the leader.
	MsgPropose
	// MsgRead forwards a read to the leader.
	MsgRead
	// MsgReadReply answers a MsgRead with the index that the reader must apply before it reads.
	MsgReadReply
	// MsgTransfer asks a voter to start an election at once, so that it takes over from the leader.
	MsgTransfer
	// MsgProposeReply returns forwarded proposals that the receiver of the MsgPropose has refused.
	MsgProposeReply
	// MsgSnapshotReply acknowledges chunks of a snapshot: Hint is the number of bytes received so far.
	MsgSnapshotReply
)

// messageNames holds the text of each MessageType, for logs and errors.
var messageNames = map[MessageType]string{
	MsgPreVote: "pre-vote", MsgPreVoteReply: "pre-vote-reply",
	MsgVote: "vote", MsgVoteReply: "vote-reply",
	MsgAppend: "append", MsgAppendReply: "append-reply",
	MsgHeartbeat: "heartbeat", MsgHeartbeatReply: "heartbeat-reply",
	MsgSnapshot: "snapshot", MsgPropose: "propose",
	MsgRead: "read", MsgReadReply: "read-reply", MsgTransfer: "transfer",
	MsgProposeReply: "propose-reply", MsgSnapshotReply: "snapshot-reply",
}

// String returns the message type in kebab case, such as "append-reply".
func (t MessageType) String() string { return messageNames[t] }

// Message is a message from one member of a Raft group to another; which fields are set depends on its type.
type Message struct {
	// Type is the kind of the message.
	Type MessageType `cbor:"1,keyasint"`
	// From and To are the sender and the receiver; a member ignores a message to an identity other than its own.
	From ID `cbor:"2,keyasint"`
	To   ID `cbor:"3,keyasint"`
	// Term is the sender's term, or the next one in a pre-vote.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// Index and LogTerm identify the candidate's last entry in a vote request, and the entry before Entries in an
	// append. In a reply to an append, Index is the last acknowledged entry or that of the rejected append; in a reply
	// to a read, it is the index of the read.
	Index   uint64 `cbor:"5,keyasint,omitempty"`
	LogTerm uint64 `cbor:"6,keyasint,omitempty"`
	// Commit is a log index up to which the receiver may commit.
	Commit uint64 `cbor:"7,keyasint,omitempty"`
	// Reject is set in a reply that refuses the request; in a MsgProposeReply, it is set if the leader has no room. In the rejection of an append, Hint and HintTerm are the index
	// and term of the entry from which the leader retries.
	Reject   bool   `cbor:"8,keyasint,omitempty"`
	Hint     uint64 `cbor:"9,keyasint,omitempty"`
	HintTerm uint64 `cbor:"10,keyasint,omitempty"`
	// Entries are the entries to append, or the proposals of a MsgPropose or MsgProposeReply.
	Entries []Entry `cbor:"11,keyasint,omitempty"`
	// Snapshot is set in a MsgSnapshot; its Data is one chunk of the whole data.
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
	// Seq is the number of the leader's heartbeat round and Sent the leader's tick at which the message was sent; a
	// reply repeats both. In a MsgPropose, Sent identifies the sender's process and Seq numbers its messages.
	Seq  uint64 `cbor:"13,keyasint,omitempty"`
	Sent uint64 `cbor:"14,keyasint,omitempty"`
	// Transfer is set in a MsgVote if the leader asked the candidate to take over.
	Transfer bool `cbor:"16,keyasint,omitempty"`
	// Context identifies the read in a MsgRead or MsgReadReply.
	Context []byte `cbor:"15,keyasint,omitempty"`
}

// DataBytes returns the size of the entries and of the part of a snapshot in the message, in bytes.
func (m *Message) DataBytes() int {
	size := 0
	for i := range m.Entries {
		size += m.Entries[i].approxEncodedSize()
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}
