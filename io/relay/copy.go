package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/serve"
)

const (
	// copyCheckInterval is the time between two checks whether the holder of a KV cache copy is alive.
	copyCheckInterval = 100 * time.Millisecond
	// copyInterval is the time between two copies of a stream's KV cache that the relay requests. After a failover the
	// holder (the engine with the copy) prefills the tokens that its copy lacks, which takes a tenth of that time.
	copyInterval = time.Second
	// copyTimeout bounds one copy of a KV cache from one engine to another. Copying 5,000 tokens takes a few
	// milliseconds, but transfers queue behind each other.
	copyTimeout = 500 * time.Millisecond
)

// cacheCopy describes a copy of a running request's KV cache on another engine, the holder.
type cacheCopy struct {
	holder place.Endpoint
	// resumeFrom is the request header value that makes the holder resume the stream from the KV cache copy.
	resumeFrom string
	// name identifies the KV cache copy at its source engine if the relay requested it.
	name string
	// exists is false if there is no KV cache copy.
	exists bool
}

// copyTracker records which engine holds the latest copy of a stream's KV cache and how to resume from it; it does not
// hold the data. The stream and its copyMaintainer share it.
type copyTracker struct {
	mu      sync.Mutex
	current cacheCopy
}

// set replaces the record of the latest copy of the stream's KV cache.
func (c *copyTracker) set(copied cacheCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = copied
}

// get returns the record of the latest copy of the stream's KV cache.
func (c *copyTracker) get() cacheCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// copyMaintainer keeps a copy of a running stream's KV cache on another engine, the holder. The serving engine sends
// copies to the holder that the request names; if that holder is lost, the maintainer requests copies to another
// engine.
type copyMaintainer struct {
	stream  *streamRequest
	attempt streamAttempt
	// requested is the KV cache copy that the relay has requested from the serving engine, if any.
	requested cacheCopy
}

// run checks until ctx ends whether the holder of the stream's KV cache copy is alive, and requests copies to another
// engine while the serving engine sends none on its own.
func (m *copyMaintainer) run(ctx context.Context) {
	defer m.stream.relay.guard.Recover("copy-maintainer")
	defer m.freeRequestedCopy()
	next := time.Time{}
	for serve.Sleep(ctx, copyCheckInterval) {
		now := m.stream.relay.Clock.Now()
		if now.Before(next) || m.engineSendsCopies() {
			continue
		}
		if !m.requestCopy(ctx) {
			return
		}
		next = now.Add(copyInterval)
	}
}

// engineSendsCopies reports whether the serving engine still sends KV cache copies, unasked, to a holder that keeps
// them.
func (m *copyMaintainer) engineSendsCopies() bool {
	if m.requested.exists || !m.attempt.hasHolder {
		return false
	}
	return m.stream.relay.keepsCopies(m.attempt.holder.ID)
}

// requestCopy makes the serving engine copy the stream's KV cache to another engine. It returns false if the serving
// engine no longer runs the request.
func (m *copyMaintainer) requestCopy(ctx context.Context) bool {
	s := m.stream
	if !m.requested.exists || !s.relay.keepsCopies(m.requested.holder.ID) {
		m.releaseHolder()
		s.relay.withTable(func(t *place.EndpointTable, now time.Time) {
			m.requested.holder, m.requested.exists = t.ChooseCopyHolder(m.attempt.endpoint, "", now)
			if m.requested.exists {
				t.AddCopies(m.requested.holder.ID, 1)
			}
		})
	}
	if !m.requested.exists {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	ctx = s.relay.withControlCall(ctx, m.attempt.endpoint)
	name, err := s.relay.Engines.RequestCopy(ctx, m.attempt.endpoint.Address, s.id, m.requested.holder.Address)
	if err != nil {
		s.log.Info("copy-failed", zap.String("from", m.attempt.endpoint.ID), zap.String("to", m.requested.holder.ID), zap.Error(err))
		m.releaseHolder()
		return !errors.Is(err, ErrRequestNotRunning)
	}
	if m.requested.resumeFrom == "" {
		s.log.Info("copy-made", zap.String("from", m.attempt.endpoint.ID), zap.String("to", m.requested.holder.ID))
	}
	m.requested.name = name
	m.requested.resumeFrom = s.relay.Names.ResumeFromValue(m.attempt.endpoint.Address, name)
	s.copies.set(m.requested)
	return true
}

// releaseHolder stops counting the requested KV cache copy as load of its holder in the table of endpoints and forgets
// it.
func (m *copyMaintainer) releaseHolder() {
	if !m.requested.exists {
		return
	}
	m.stream.relay.withTable(func(t *place.EndpointTable, _ time.Time) { t.AddCopies(m.requested.holder.ID, -1) })
	m.requested = cacheCopy{}
}

// freeRequestedCopy frees the requested KV cache copy on its holder if the stream has ended and will not be resumed
// from it.
func (m *copyMaintainer) freeRequestedCopy() {
	name := m.requested.name
	m.releaseHolder()
	if name == "" || !m.stream.ended.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(m.stream.relay.ctx, copyTimeout)
	defer cancel()
	ctx = m.stream.relay.withControlCall(ctx, m.attempt.endpoint)
	if err := m.stream.relay.Engines.FreeCopy(ctx, m.attempt.endpoint.Address, name); err != nil {
		m.stream.log.Debug("copy-not-freed", zap.String("from", m.attempt.endpoint.ID), zap.Error(err))
	}
}

// isEndpointUp reports whether an endpoint is not known to be down.
func (r *Relay) isEndpointUp(id string) (ok bool) {
	r.withTable(func(t *place.EndpointTable, now time.Time) { ok = t.IsUp(id, now) })
	return ok
}
