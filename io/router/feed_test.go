package router

import (
	"testing"
	"time"

	"wasabiweir/core/clock"
	"wasabiweir/core/config"

	"go.uber.org/zap"
)

// A router that was paused reads configuration updates that waited in its buffers. They must not make its
// configuration count as confirmed to be current.
func TestUpdatesReadAfterPauseAreNotFresh(t *testing.T) {
	now := &clock.Manual{}
	now.Set(time.Unix(1000, 0))
	r := &Router{Clock: now, Log: zap.NewNop()}
	r.dispatcher.Clock = now
	r.dispatcher.initTables()
	s := &r.feed
	s.router = r
	s.reportRequested = make(chan struct{}, 1)
	s.follower.Attach("c1#1", now.Now())
	s.lastRun = now.Now()
	m := &config.Machine{}
	push := func(n uint64) {
		revision, digest := s.follower.Position()
		u := m.Update(revision, digest, config.FreshnessProof{Term: 1, Index: 1, Confirmed: n})
		s.updateFollower("c1#1", &u)
		s.updateFreshness()
	}
	push(1)
	push(2)
	if !s.fresh.Load() {
		t.Fatal("not fresh after two proofs")
	}
	now.Advance(time.Minute)
	for n := uint64(3); n < 10; n++ {
		push(n)
	}
	s.updateFreshness()
	if s.fresh.Load() {
		t.Fatal("fresh after reading updates that waited for a minute")
	}
}
