package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/stream"
	"wasabiweir/io/serve"
)

// replaceLostHolders replaces one journal holder of the generation that is gone, unreachable or draining, so that the
// journal survives the next loss, for example the next restart of a rolling upgrade. If fewer holders than a quorum are
// reachable, no output is released until one comes back; the generation fails once fewer than a quorum can have the
// journal.
func (s *session) replaceLostHolders(now time.Time) {
	for _, m := range s.owner.Set.Members {
		s.sendMessages(s.owner.SetReachable(now, m, s.router.peers.holderConnected(m)))
	}
	if len(s.owner.Set.Members) == 1 || s.owner.ReplacementInProgress() {
		return
	}
	var lost *stream.HolderID
	count := map[holderState]int{}
	for i, m := range s.owner.Set.Members {
		state := s.router.peers.holderState(m)
		count[state]++
		switch {
		case state == holderGone, state == holderUnreachable && count[holderGone] == 0, lost == nil && s.router.peers.holderDraining(m):
			lost = &s.owner.Set.Members[i]
		}
	}
	if len(s.owner.Set.Members)-count[holderGone] < s.owner.Set.Quorum() {
		s.failGeneration(&common.Refusal{
			Reason: common.ReasonJournalLost, Outcome: common.OutcomeUnknown, Message: "fewer than two journal holders are left",
		})
		return
	}
	if lost != nil && count[holderAvailable] >= s.owner.Set.Quorum() {
		s.replaceHolder(now, *lost)
	}
}

// replaceHolder starts the replacement of a lost journal holder of the generation by another router; it does nothing
// if no router is available.
func (s *session) replaceHolder(now time.Time, lost stream.HolderID) {
	fresh, ok := s.router.journal.chooseReplacement(s.id, s.owner.Set, lost)
	if !ok {
		return
	}
	messages, err := s.owner.Replace(now, lost, fresh)
	if err != nil {
		s.log.Warn("holder-not-replaced", zap.String("holder", lost.Router), zap.Error(err))
		return
	}
	s.log.Info("holder-replacement-started", zap.String("holder", lost.Router), zap.String("replacement", fresh.Router))
	s.sendMessages(messages)
}

const (
	// maxHolderWait bounds the wait for connections to the routers that the control process lists; a router that has just
	// started has them within milliseconds.
	maxHolderWait = 500 * time.Millisecond
	// holderWaitInterval is the time between two checks for these connections.
	holderWaitInterval = 5 * time.Millisecond
)

// awaitHolders waits until this router is connected to enough others for the journal of a new generation, unless too few are
// listed. A router that has just started would otherwise keep the only copy, and its loss would end the generation.
func (s *journal) awaitHolders(ctx context.Context) {
	until := s.router.Clock.Now().Add(maxHolderWait)
	for s.lacksHolders() && s.router.Clock.Now().Before(until) && serve.Sleep(ctx, holderWaitInterval) {
	}
}

// lacksHolders reports whether this router is connected to too few others for a journal although enough are listed, or none
// are listed yet.
func (s *journal) lacksHolders() bool {
	listed := len(s.router.peers.liveRouters())
	return (listed == 0 || listed >= stream.HolderCount) && len(s.router.peers.holderCandidates()) < stream.HolderCount-1
}

// chooseHolders selects the journal holders of a new generation: this router and two others, in different failure
// domains if possible. With fewer than three routers, this router is the only holder: a quorum of two holders needs
// both, so a second holder would only add a point of failure.
func (s *journal) chooseHolders(id string) stream.HolderSet {
	others := s.router.peers.holderCandidates()
	if len(others) < stream.HolderCount-1 {
		others = nil
	}
	return stream.PlaceHolders(id, stream.Candidate{HolderID: s.localHolderID(), Domain: s.router.Domain}, others)
}

// chooseReplacement selects the router that replaces a lost journal holder of a generation; it returns false if no
// router is available.
func (s *journal) chooseReplacement(id string, set stream.HolderSet, lost stream.HolderID) (stream.HolderID, bool) {
	self := stream.Candidate{HolderID: s.localHolderID(), Domain: s.router.Domain}
	return stream.PlaceReplacement(id, set, lost, append(s.router.peers.holderCandidates(), self))
}

// holderConnected reports whether the router of the journal holder is connected, and starts to connect to it otherwise.
func (s *peers) holderConnected(m stream.HolderID) bool {
	if m.Router == s.router.Name {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ensurePeer(m.Address).Link() != nil
}

// holderDraining reports whether the router of the journal holder is draining.
func (s *peers) holderDraining(m stream.HolderID) bool {
	if m.Router == s.router.Name {
		return false
	}
	for _, r := range s.liveRouters() {
		if r.Name == m.Router {
			return r.Draining
		}
	}
	return false
}
