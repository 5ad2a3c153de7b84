package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/raft"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// listReadInterval is the time between two reads of the platform's list of endpoints by the leader.
	listReadInterval = 400 * time.Millisecond
	// listReadTimeout bounds one read of the list of endpoints from the platform.
	listReadTimeout = 900 * time.Millisecond
	// maxListAge is the age of the list of endpoints after which a keeper that is not the leader reads it from the
	// platform itself.
	maxListAge = 1500 * time.Millisecond
	// currentListAge is the age up to which a list counts as the latest: the leader reads the next one before.
	currentListAge = 2 * listReadInterval
)

// endpointLists reads the platform's list of endpoints for all processes. The leader of the Raft group reads it; other
// keepers do so only when no list from the leader reaches them.
type endpointLists struct {
	keeper *Keeper

	mu     sync.Mutex
	list   place.EndpointList
	readAt time.Time // when the read of list started
	// sentContent is the content hash of the list of endpoints that each link was sent last.
	sentContent map[*wire.Link]uint64
}

// loop reads the platform's list of endpoints every listReadInterval if this keeper should read it, until ctx ends.
func (s *endpointLists) loop(ctx context.Context) error {
	failing := false
	for next := time.Duration(0); serve.Sleep(ctx, next); next = listReadInterval {
		if !s.shouldReadList() {
			continue
		}
		err := s.readAndSendList(ctx)
		if err != nil {
			s.countFailure(err, !failing)
		}
		if err == nil && failing {
			s.keeper.Log.Info("list-read-recovered")
		}
		failing = err != nil
	}
	return ctx.Err()
}

// countFailure counts a failed read of the list of endpoints by its reason, and logs it if log is set.
func (s *endpointLists) countFailure(err error, log bool) {
	reason := serve.FailureReason(err)
	if s.keeper.Metrics != nil {
		s.keeper.Metrics.Tagged(map[string]string{"reason": reason}).Counter("list-failures").Inc(1)
	}
	if log {
		s.keeper.Log.Warn("list-not-read", zap.String("reason", reason), zap.Error(err))
	}
}

// shouldReadList reports whether this keeper must read the list of endpoints from the platform, because it is the
// leader or has no recent list from the leader.
func (s *endpointLists) shouldReadList() bool {
	if s.keeper.group.currentReplica().Status().Role == raft.Leader {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Clock.Now().Sub(s.readAt) > maxListAge
}

// isCurrent reports whether this keeper has a list of endpoints that is not older than currentListAge.
func (s *endpointLists) isCurrent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Clock.Now().Sub(s.readAt) <= currentListAge
}

// readAndSendList reads the list of endpoints from the platform and sends it to the relays and the other keepers.
func (s *endpointLists) readAndSendList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	start := s.keeper.Clock.Now()
	endpoints, err := s.keeper.EndpointLister.Read(ctx)
	if err != nil {
		return err
	}
	s.acceptList(place.NewList(endpoints, s.keeper.Clock.Now().Sub(start)))
	for _, l := range s.keeper.peers.links() {
		if err := s.sendListTo(l); err != nil {
			s.keeper.Log.Debug("list-not-sent", zap.String("peer", l.Name), zap.Error(err))
		}
	}
	return nil
}

// acceptList stores a list of endpoints if it was read from the platform later than the current one, and sends it to
// the relays.
func (s *endpointLists) acceptList(list place.EndpointList) {
	readAt := s.keeper.Clock.Now().Add(-list.Age)
	s.mu.Lock()
	newer := readAt.After(s.readAt)
	if len(list.Endpoints) == 0 && list.ContentHash == s.list.ContentHash {
		list.Endpoints = s.list.Endpoints
	}
	// A list without endpoints stands for an earlier one with the same content. If that one is not this keeper's
	// current list, another keeper has sent it; the next list that includes endpoints replaces it.
	newer = newer && (len(list.Endpoints) > 0 || list.ContentHash == place.NewList(nil, 0).ContentHash)
	if newer {
		s.list, s.readAt = list, readAt
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	s.keeper.origins.observe(list.Endpoints)
	s.keeper.feeds.forEachRelay(func(l *wire.Link, _ *relayFeed) error { return s.sendListTo(l) })
}

// sendListTo sends the current list of endpoints over a link to a relay or keeper. The endpoints are left out if the
// link has already carried the same content.
func (s *endpointLists) sendListTo(l *wire.Link) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readAt.IsZero() {
		return nil
	}
	if s.sentContent == nil {
		s.sentContent = map[*wire.Link]uint64{}
	}
	list := s.list
	list.Age = s.keeper.Clock.Now().Sub(s.readAt)
	if content, ok := s.sentContent[l]; ok && content == list.ContentHash {
		return l.Post(wire.KindEndpoints, "", list.WithoutEndpoints())
	}
	for other := range s.sentContent {
		select {
		case <-other.Done():
			delete(s.sentContent, other)
		default:
		}
	}
	s.sentContent[l] = list.ContentHash
	return l.Post(wire.KindEndpoints, "", list)
}

// hasAddress reports whether the latest list has an endpoint with the address.
func (s *endpointLists) hasAddress(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list.Endpoints, func(e place.Endpoint) bool { return e.Address == address })
}
