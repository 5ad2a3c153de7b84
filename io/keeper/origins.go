package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/origin"
	"wasabiweir/core/place"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// originNewsInterval is the least time between two messages with origins to the other keepers. It is below the time in which a
	// caller notices a broken connection and comes to another relay.
	originNewsInterval = 20 * time.Millisecond
	// originWait is how long a request for an origin that is not known waits for a record that is on its way from another keeper.
	originWait = 2 * originNewsInterval
	// maxUnsaved bounds the records that wait for the disk; further ones are not saved. One block of them fits into a file.
	maxUnsaved = 4096
)

// originExchange knows at which software versions streams began, and which versions were listed lately. Each keeper gets the records of
// the relays that follow it, passes them on to the other keepers, and answers the questions of relays. Relays are not sent records,
// since most streams are never taken up.
type originExchange struct {
	keeper *Keeper

	mu       sync.Mutex
	table    origin.Table
	versions origin.Versions
	// news holds the records that the other keepers have not been sent.
	news common.Batch[origin.Record]
	// unsaved holds the records that are not on disk.
	unsaved []origin.Record
}

// initOrigins initialises the origins of a keeper, which knows none yet.
func (s *originExchange) initOrigins(k *Keeper) {
	s.keeper = k
	s.news.Interval = originNewsInterval
}

// observe records the platform's latest list of endpoints.
func (s *originExchange) observe(endpoints []place.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions.Observe(endpoints, s.keeper.Clock.Now())
}

// merge adds what a relay or another keeper has sent, and passes on what comes from a relay.
func (s *originExchange) merge(o wire.Origins) {
	s.mu.Lock()
	now := s.keeper.Clock.Now()
	s.versions.Merge(o.Versions, now)
	if o.Complete {
		s.versions.MarkComplete(now)
	}
	news := s.table.Add(o.Records, now)
	if len(s.unsaved)+len(news) <= maxUnsaved {
		s.unsaved = append(s.unsaved, news...)
	}
	var due []origin.Record
	if !o.PassedOn {
		due = s.news.Add(news, now)
	}
	s.mu.Unlock()
	if !o.PassedOn {
		s.passOn(due, o.Versions)
	}
}

// markComplete records that all versions are known that were listed lately.
func (s *originExchange) markComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions.MarkComplete(s.keeper.Clock.Now())
}

// restore adds what was read from the disk.
func (s *originExchange) restore(records []origin.Record, versions []origin.Sighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.keeper.Clock.Now()
	s.table.Add(records, now)
	s.versions.Merge(versions, now)
}

// markUnsaved marks the newest of all records as not on disk.
func (s *originExchange) markUnsaved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.table.All(s.keeper.Clock.Now())
	s.unsaved = all[max(0, len(all)-maxUnsaved):]
}

// takeUnsaved returns the records that are not on disk yet, which count as saved from now on, and all versions.
func (s *originExchange) takeUnsaved() ([]origin.Record, []origin.Sighting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.unsaved
	s.unsaved = nil
	return records, s.versions.All(s.keeper.Clock.Now())
}

// passOn sends records and sightings of versions to the other keepers.
func (s *originExchange) passOn(records []origin.Record, versions []origin.Sighting) {
	if len(records)+len(versions) == 0 {
		return
	}
	s.keeper.peers.broadcast(wire.KindOrigins, wire.Origins{Records: records, Versions: versions, PassedOn: true})
	if s.keeper.Metrics != nil {
		s.keeper.Metrics.Tagged(map[string]string{"kind": string(wire.KindOrigins)}).Counter("news-messages").Inc(1)
	}
}

// loop passes on the records that are due until ctx ends.
func (s *originExchange) loop(ctx context.Context) error {
	for serve.Sleep(ctx, originNewsInterval) {
		s.mu.Lock()
		due := s.news.Take(s.keeper.Clock.Now())
		s.mu.Unlock()
		s.passOn(due, nil)
	}
	return ctx.Err()
}

// sendAllTo sends everything that is known to another keeper that has just connected.
func (s *originExchange) sendAllTo(l *wire.Link) error {
	s.mu.Lock()
	now := s.keeper.Clock.Now()
	o := wire.Origins{Records: s.table.All(now), Versions: s.versions.All(now), PassedOn: true, Complete: s.versions.IsComplete(now)}
	s.mu.Unlock()
	if len(o.Records)+len(o.Versions) == 0 {
		return nil
	}
	return l.Post(wire.KindOrigins, "", o)
}

// find returns the reply to a relay that asks for the origin of the attempt's stream.
func (s *originExchange) find(ctx context.Context, req wire.OriginRequest) wire.OriginReply {
	confirmed := req.Confirm && s.confirm(ctx)
	reply, mayBeSeveral := s.lookUp(req.Attempt)
	if !reply.Known && mayBeSeveral && serve.Sleep(ctx, originWait) {
		reply, _ = s.lookUp(req.Attempt)
	}
	reply.Confirmed = confirmed
	s.keeper.Log.Debug("origin-asked", zap.Bool("known", reply.Known), zap.String("version", reply.Origin.Version))
	return reply
}

// confirm reports whether this keeper knows the versions that the leader knew when it was called or later. The leader's lists arrive on the
// same connections as the messages of the quorum, and before them.
func (s *originExchange) confirm(ctx context.Context) bool {
	if err := s.keeper.confirmApplied(ctx); err != nil {
		s.keeper.Log.Info("versions-not-confirmed", zap.Error(err))
		return false
	}
	return s.keeper.lists.isCurrent()
}

// lookUp returns what is known now of the origin of the attempt's stream, and whether it matters because several versions may serve.
func (s *originExchange) lookUp(a origin.Attempt) (reply wire.OriginReply, mayBeSeveral bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.keeper.Clock.Now()
	reply.Origin, reply.Known = s.table.Find(a, now)
	reply.Versions, reply.Complete = s.versions.All(now), s.versions.IsComplete(now)
	return reply, s.versions.MayBeSeveralAnywhere(now)
}
