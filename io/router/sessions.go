package router

import (
	"context"
	"sort"
	"sync"
	"time"

	"wasabiweir/core/common"
)

// sessionTable holds the sessions of the generations that this router owns, by request id.
type sessionTable struct {
	mu sync.Mutex
	// ctx ends all sessions when the router stops.
	ctx  context.Context
	byID map[string]*session
}

// initSessions sets the context that ends all sessions.
func (s *sessionTable) initSessions(ctx context.Context) {
	s.ctx = ctx
	s.byID = map[string]*session{}
}

// startSession adds a session and runs it in a goroutine of its own.
func (s *sessionTable) startSession(x *session) {
	x.initChannels()
	ctx, cancel := context.WithCancel(s.ctx)
	x.stop = cancel
	s.mu.Lock()
	s.byID[x.id] = x
	s.mu.Unlock()
	x.router.journal.registerReceiver(x.id, x)
	go x.loop(ctx)
}

// joinSession adds a reader to the session with the request id and returns the session. It returns nil if this router
// does not own the generation or the generation has failed.
func (s *sessionTable) joinSession(id string) *session {
	s.mu.Lock()
	x := s.byID[id]
	s.mu.Unlock()
	if x == nil {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.refusal != nil {
		return nil
	}
	x.readers++
	x.unreadSince = time.Time{}
	return x
}

// removeSession deletes an ended session, unless another one with the same request id has replaced it.
func (s *sessionTable) removeSession(x *session) {
	x.router.journal.unregisterReceiver(x.id, x)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[x.id] == x {
		delete(s.byID, x.id)
	}
}

// sessionCount returns the number of sessions, one for each generation that this router owns.
func (s *sessionTable) sessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

// streamPosition is how far a reader has read a generation: offset is the number of tokens that it has, and final
// tells whether it also has the end.
type streamPosition struct {
	offset int
	final  bool
}

// batchesAfter returns the generation's released output batches after a position, the refusal if the generation
// failed, and a channel that is closed at the next change. The position is a token offset and not an index of batches,
// because a session that was just taken over has not released its earlier batches yet.
func (s *session) batchesAfter(at streamPosition) ([]cursorBatch, *common.Refusal, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.final {
		return nil, s.refusal, s.changed
	}
	i := sort.Search(len(s.batches), func(i int) bool { return s.batches[i].Offset >= at.offset })
	return s.batches[i:], s.refusal, s.changed
}

// endPosition returns the position of a reader that has read the generation's output up to the end of the batch.
func (e cursorBatch) endPosition() streamPosition {
	return streamPosition{offset: e.Offset + len(e.IDs), final: e.Finish != ""}
}

// removeReader removes a caller from the generation's readers. Without readers, the generation continues for
// OrphanGrace, so that the caller can reconnect.
func (s *session) removeReader(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers == 0 {
		s.unreadSince = now
	}
}
