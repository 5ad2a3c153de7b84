package router

import (
	"context"
	"sync"
	"time"

	"wasabiweir/core/stream"
	"wasabiweir/io/wire"
)

const (
	// journalFlushDelay is how long journal messages to one router are collected before they are sent in one frame.
	journalFlushDelay = 5 * time.Millisecond
	// journalExpiryInterval is the interval at which expired journals are removed.
	journalExpiryInterval = time.Second
)

// journal is this router's part of the replicated generation journal: the journals it stores in memory as a holder,
// and the outgoing messages of the generations that it owns.
type journal struct {
	router *Router
	// flushRequested tells loop that there are journal messages to send to other routers.
	flushRequested chan struct{}

	mu sync.Mutex
	// holder stores the journals of this router's generations and of other routers' in memory.
	holder stream.Holder
	// outboxes holds the journal messages to send, by the peer address of the receiving router.
	outboxes map[string][]stream.Message
	// receivers holds, by the request id of a generation, the receiver of the replies that its journal holders send.
	receivers map[string]replyReceiver
}

// replyReceiver receives the replies of journal holders for one generation; deliverReply must not block.
type replyReceiver interface {
	deliverReply(r stream.Reply)
}

// initHolder creates the journal's maps and sets the identity of this router as a journal holder.
func (s *journal) initHolder(r *Router) {
	s.router = r
	s.flushRequested = make(chan struct{}, 1)
	s.outboxes = map[string][]stream.Message{}
	s.receivers = map[string]replyReceiver{}
	s.holder.Router = r.Name
	s.holder.Incarnation = r.incarnation
}

// localHolderID returns the identity under which this router appears among the journal holders of a generation.
func (s *journal) localHolderID() stream.HolderID { return s.holder.ID(s.router.PeerAddress) }

// registerReceiver sets the receiver of journal replies for the generation with the request id, in place of any
// earlier one.
func (s *journal) registerReceiver(id string, u replyReceiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivers[id] = u
}

// unregisterReceiver removes the receiver of journal replies for the generation with the request id, unless another
// one has been registered since.
func (s *journal) unregisterReceiver(id string, u replyReceiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receivers[id] == u {
		delete(s.receivers, id)
	}
}

// sendMessages applies journal messages for this router's own holder at once and returns their replies; messages for
// other routers are sent with the next flush.
func (s *journal) sendMessages(messages []stream.Message) []stream.Reply {
	if len(messages) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var local []stream.Reply
	now := s.router.Clock.Now()
	for _, m := range messages {
		if m.To.Router == s.router.Name {
			local = append(local, s.holder.Handle(now, m))
			continue
		}
		s.outboxes[m.To.Address] = append(s.outboxes[m.To.Address], m)
	}
	if len(s.outboxes) > 0 {
		select {
		case s.flushRequested <- struct{}{}:
		default:
		}
	}
	return local
}

// handleMessages applies another router's journal messages to the local holder and sends the replies.
func (s *journal) handleMessages(l *wire.Link, list []stream.Message) {
	s.mu.Lock()
	now := s.router.Clock.Now()
	replies := make([]stream.Reply, 0, len(list))
	for _, m := range list {
		replies = append(replies, s.holder.Handle(now, m))
	}
	s.mu.Unlock()
	// If this reply is lost, the owner repeats its message and gets another reply.
	_ = l.Post(wire.KindJournalReply, "", replies)
}

// deliverReplies passes the replies of other routers' journal holders to the registered receivers and drops those
// without a receiver.
func (s *journal) deliverReplies(list []stream.Reply) {
	for _, r := range list {
		s.mu.Lock()
		u := s.receivers[r.ID]
		s.mu.Unlock()
		if u != nil {
			u.deliverReply(r)
		}
	}
}

// loop sends the collected journal messages and removes expired journals until ctx ends.
func (s *journal) loop(ctx context.Context) error {
	ticker := time.NewTicker(journalExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.mu.Lock()
			s.holder.Expire(s.router.Clock.Now())
			s.mu.Unlock()
		case <-s.flushRequested:
			time.Sleep(journalFlushDelay)
			s.flushOutboxes()
		}
	}
}

// flushOutboxes sends all collected journal messages, one frame for each router.
func (s *journal) flushOutboxes() {
	s.mu.Lock()
	boxes := s.outboxes
	s.outboxes = map[string][]stream.Message{}
	s.mu.Unlock()
	for address, list := range boxes {
		s.router.peers.postToRouter(address, wire.KindJournal, list)
	}
}
