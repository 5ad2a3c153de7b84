package mesh

import (
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"wasabiweir/core/raft"
	"wasabiweir/io/wire"
)

// raftBatch contains Raft messages from one member to another, without their From and To. The identities would be most
// of a heartbeat's size, so they are sent only if they differ from those of the previous batch on the same link.
type raftBatch struct {
	Identities *identityPair  `cbor:"1,keyasint,omitempty"`
	Messages   []raft.Message `cbor:"2,keyasint"`
}

// identityPair contains the Raft identities of the sender and the receiver of a batch of messages.
type identityPair struct {
	From raft.ID `cbor:"1,keyasint"`
	To   raft.ID `cbor:"2,keyasint"`
}

// errNoIdentities is returned for a batch of Raft messages without the sender's and receiver's identities if none were
// received on the link before.
var errNoIdentities = eris.New("the batch names no identities and is the first one on its link")

// Sender sends the Raft messages of one replica to the other members. Its exported fields must be set before the first
// call. It is not safe for concurrent use; only the replica's goroutine calls it.
type Sender struct {
	// Group is the name of the Raft group whose messages are sent.
	Group string
	// LinkTo returns the link to the Raft member with the instance name, or nil if there is none.
	LinkTo func(name string) *wire.Link

	lastBatches map[string]lastBatch // latest batch to each member, by the member's instance name
}

// lastBatch is the link and the Raft identities that the latest batch of messages to a member used.
type lastBatch struct {
	link       *wire.Link
	identities identityPair
}

// Send sends each Raft message to the member that its field To names. A message is dropped if there is no link to the
// member; raft then sends it again.
func (s *Sender) Send(messages []raft.Message) {
	byIdentities := map[identityPair][]raft.Message{}
	for _, m := range messages {
		ids := identityPair{From: m.From, To: m.To}
		m.From, m.To = raft.ID{}, raft.ID{}
		byIdentities[ids] = append(byIdentities[ids], m)
	}
	for ids, list := range byIdentities {
		s.postBatch(ids, list)
	}
}

// postBatch sends Raft messages that have the same sender and receiver, with the identities of both if the receiver
// does not know them.
func (s *Sender) postBatch(ids identityPair, messages []raft.Message) {
	l := s.LinkTo(ids.To.Name)
	if l == nil {
		return
	}
	if s.lastBatches == nil {
		s.lastBatches = map[string]lastBatch{}
	}
	current := lastBatch{link: l, identities: ids}
	batch := raftBatch{Messages: messages}
	if s.lastBatches[ids.To.Name] != current {
		batch.Identities = &ids
	}
	// If the link's queue is full, the batch is dropped like a lost message, and the next one carries the identities
	// again.
	if err := l.Post(wire.KindRaft, s.Group, batch); err != nil {
		delete(s.lastBatches, ids.To.Name)
		return
	}
	s.lastBatches[ids.To.Name] = current
}

// Receiver decodes Raft messages and restores their sender's and receiver's identities, for which it remembers those of
// the latest batch on each link. It is safe for concurrent use.
type Receiver struct {
	mu         sync.Mutex
	identities map[*wire.Link]identityPair
}

// addIdentities sets From and To of the Raft messages in a batch and returns the messages. It returns errNoIdentities
// if the identities are not known.
func (r *Receiver) addIdentities(l *wire.Link, b *raftBatch) ([]raft.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.Identities != nil {
		r.storeIdentities(l, *b.Identities)
	}
	ids, ok := r.identities[l]
	if !ok {
		return nil, errNoIdentities
	}
	for i := range b.Messages {
		b.Messages[i].From, b.Messages[i].To = ids.From, ids.To
	}
	return b.Messages, nil
}

// storeIdentities stores the sender's and receiver's identities of the latest batch on a link and removes those of
// closed links.
func (r *Receiver) storeIdentities(l *wire.Link, ids identityPair) {
	if r.identities == nil {
		r.identities = map[*wire.Link]identityPair{}
	}
	for other := range r.identities {
		select {
		case <-other.Done():
			delete(r.identities, other)
		default:
		}
	}
	r.identities[l] = ids
}

// Messages decodes the Raft messages in a frame from the link and sets their From and To. It fails if the frame is not
// valid, or if its batch has no identities and is the first one on the link.
func (r *Receiver) Messages(l *wire.Link, f wire.Frame) ([]raft.Message, error) {
	batch, err := wire.Decode[raftBatch](f)
	if err != nil {
		return nil, fmt.Errorf("messages from %s: %w", l.Name, err)
	}
	return r.addIdentities(l, &batch)
}
