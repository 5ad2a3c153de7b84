package mesh

import (
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"wasabiweir/core/raft"
	"wasabiweir/io/wire"
)

// raftBatch holds messages between two identities. The identities are most of a heartbeat, so that they are sent only
// when they differ from those of the batch before on the same link; the messages themselves carry none.
type raftBatch struct {
	Ends     *ends          `cbor:"1,keyasint,omitempty"`
	Messages []raft.Message `cbor:"2,keyasint"`
}

// ends are the identities at both ends of a batch.
type ends struct {
	From raft.ID `cbor:"1,keyasint"`
	To   raft.ID `cbor:"2,keyasint"`
}

// errNoEnds is returned for a batch that relies on identities which the link has not carried.
var errNoEnds = eris.New("the batch names no identities and is the first one on its link")

// Sender sends the messages of one replica, whose goroutine is the only one that uses it; its fields are set before that.
type Sender struct {
	// Group is the name of the replicated log.
	Group string
	// Peer returns the link to a member by its instance name, or nil if there is none.
	Peer func(name string) *wire.Link

	last map[string]lastBatch
}

// lastBatch is what the latest batch to a member was sent on.
type lastBatch struct {
	link *wire.Link
	ends ends
}

// Send posts raft messages to the members that they name; a message without a link is lost and repeated by raft.
func (s *Sender) Send(messages []raft.Message) {
	byEnds := map[ends][]raft.Message{}
	for _, m := range messages {
		e := ends{From: m.From, To: m.To}
		m.From, m.To = raft.ID{}, raft.ID{}
		byEnds[e] = append(byEnds[e], m)
	}
	for e, list := range byEnds {
		s.post(e, list)
	}
}

func (s *Sender) post(e ends, messages []raft.Message) {
	l := s.Peer(e.To.Name)
	if l == nil {
		return
	}
	if s.last == nil {
		s.last = map[string]lastBatch{}
	}
	now := lastBatch{link: l, ends: e}
	batch := raftBatch{Messages: messages}
	if s.last[e.To.Name] != now {
		batch.Ends = &e
	}
	// A full queue of the link is the same as a lost message.
	if err := l.Post(wire.KindRaft, s.Group, batch); err != nil {
		delete(s.last, e.To.Name)
		return
	}
	s.last[e.To.Name] = now
}

// Receiver knows the identities of the latest batch on each link.
type Receiver struct {
	mu    sync.Mutex
	known map[*wire.Link]ends
}

// complete returns the messages of a batch with their identities.
func (s *Receiver) complete(l *wire.Link, b *raftBatch) ([]raft.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Ends != nil {
		s.learn(l, *b.Ends)
	}
	e, ok := s.known[l]
	if !ok {
		return nil, errNoEnds
	}
	for i := range b.Messages {
		b.Messages[i].From, b.Messages[i].To = e.From, e.To
	}
	return b.Messages, nil
}

// learn records the identities of a link and forgets the links that are closed.
func (s *Receiver) learn(l *wire.Link, e ends) {
	if s.known == nil {
		s.known = map[*wire.Link]ends{}
	}
	for other := range s.known {
		select {
		case <-other.Done():
			delete(s.known, other)
		default:
		}
	}
	s.known[l] = e
}

// Messages returns the log messages of a frame with their identities.
func (s *Receiver) Messages(l *wire.Link, f wire.Frame) ([]raft.Message, error) {
	batch, err := wire.Decode[raftBatch](f)
	if err != nil {
		return nil, fmt.Errorf("messages from %s: %w", l.Name, err)
	}
	return s.complete(l, &batch)
}
