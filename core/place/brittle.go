package place

import (
	"math"
	"time"
)

const (
	// brittleMemory is the time for which an endpoint that has said nothing of itself counts as brittle after another of its
	// service has said so, and after which a statement that no answer repeats lapses.
	brittleMemory = 30 * time.Second
	// growthShare and rejectionShare are the parts of the rejections a second that a brittle endpoint bears which all relays
	// together may cause while they try larger shares of its room, after a change of the relays and after rejections.
	growthShare    = 0.5
	rejectionShare = 0.25
	// minGrowthDelay is the least time before a relay tries a larger share, and maxGrowthSpan bounds the span over which the
	// relays spread their tries.
	minGrowthDelay = time.Second
	maxGrowthSpan  = 30 * time.Second
	// roomCheckInterval is the time after which a request looks again for room at brittle endpoints.
	roomCheckInterval = 5 * time.Millisecond
	// roomReleaseDelay is the time after the end of a request after which its endpoint has room for the next one.
	roomReleaseDelay = 5 * time.Millisecond
	// maxAbandoned bounds the time for which a request that was given up takes room at its endpoint.
	maxAbandoned = 2 * time.Second
)

// Brittleness says that an endpoint falls over if it has to reject too many requests.
type Brittleness struct {
	// Said is true if the answer says that the endpoint is brittle.
	Said bool
	// Unclear means that it can't be read from the answer whether the endpoint is brittle.
	Unclear bool
	// Rejections is the number of rejections in a second for want of room that the endpoint bears.
	Rejections float64
}

// brittleness is what an endpoint has said of its brittleness to this relay, or what the endpoints of a service have.
type brittleness struct {
	rejections float64
	// since is when an answer first said that the endpoint is brittle.
	since time.Time
	// saidAt is when an answer last said that the endpoint is brittle, and soundAt when the last request was sent whose answer
	// didn't.
	saidAt  time.Time
	soundAt time.Time
}

// applies reports whether the latest answer said that the endpoint is brittle, and that is not too long ago.
func (b *brittleness) applies(now time.Time) bool {
	return !b.saidAt.IsZero() && b.saidAt.After(b.soundAt) && now.Sub(b.saidAt) < brittleMemory
}

// record adds what an answer says; the request for it was sent at the given time.
func (b *brittleness) record(n Announcement, sent, now time.Time) {
	switch {
	case n.Brittle.Said:
		if !b.applies(now) {
			b.since = now
		}
		b.rejections, b.saidAt = n.Brittle.Rejections, now
	case !n.Unclear && !n.Brittle.Unclear && !n.Control && sent.After(b.soundAt):
		b.soundAt = sent
	}
}

// roomDeal is this relay's share of an endpoint's room.
type roomDeal struct {
	// share is the number of requests that the relay may have at the endpoint; it is valid if isDealt is set.
	share   int
	isDealt bool
	// growsAt is when a larger share may be used; zero if there is none.
	growsAt time.Time
}

// BrittleService is a service whose endpoints say that they are brittle.
type BrittleService struct {
	Service string
	// Rejections is the least number of rejections in a second that one of the endpoints bears.
	Rejections float64
	// Endpoints is the number of brittle endpoints.
	Endpoints int
}

// brittleAt returns the number of rejections in a second that the endpoint bears, or false if it is not known to be brittle.
// An endpoint that has said nothing later, such as one that has just started again, is taken to be like others of its service.
func (t *EndpointTable) brittleAt(s *endpointState, now time.Time) (rejections float64, brittle bool) {
	if s.brittle.applies(now) {
		return s.brittle.rejections, true
	}
	if b := t.brittleServices[s.Service]; b != nil && b.applies(now) && b.saidAt.After(s.brittle.soundAt) {
		return b.rejections, true
	}
	return 0, false
}

// recordBrittleness records what an answer of the endpoint says of its brittleness.
func (t *EndpointTable) recordBrittleness(s *endpointState, n Announcement, sent, now time.Time) {
	s.brittle.record(n, sent, now)
	if !n.Brittle.Said {
		return
	}
	if t.brittleServices == nil {
		t.brittleServices = map[string]*brittleness{}
	}
	b := t.brittleServices[s.Service]
	if b == nil {
		b = &brittleness{}
		t.brittleServices[s.Service] = b
	}
	b.record(n, sent, now)
}

// roomShare returns how many requests this relay may have at the endpoint while it is brittle. It is the part that was dealt to
// the relay, but grows to it slowly after a change of the relays, since others may still use theirs, and after a rejection.
func (t *EndpointTable) roomShare(s *endpointState, rejections float64, now time.Time) int {
	share, r := t.dealtShare(s), &s.room
	if !r.isDealt {
		r.isDealt = true
		if r.share = share; !t.relaysChangedAt.IsZero() && now.Sub(t.relaysChangedAt) < minGrowthDelay {
			r.share = 0
		}
	}
	switch {
	case share <= r.share:
		r.share, r.growsAt = share, time.Time{}
	case r.growsAt.IsZero():
		r.growsAt = now.Add(minGrowthDelay + t.spread(t.growthSpan(s, growthShare*rejections)))
	case !now.Before(r.growsAt):
		r.share++
		span := t.growthSpan(s, growthShare*rejections)
		r.growsAt = now.Add(span/2 + t.spread(span))
	}
	return r.share
}

// growthSpan returns the time in which each relay that has a part of the endpoint's room may cause one rejection, so that all
// together cause about the given number in a second.
func (t *EndpointTable) growthSpan(s *endpointState, perSecond float64) time.Duration {
	seconds := float64(min(max(1, t.limits.relay.relays), s.roomSlots())) / max(perSecond, 1/maxGrowthSpan.Seconds())
	return time.Duration(math.Min(maxGrowthSpan.Seconds(), seconds) * float64(time.Second))
}

// recordRejection reduces this relay's share of a brittle endpoint's room to what the endpoint has taken. It grows again late
// enough that all relays together stay within what the endpoint bears.
func (t *EndpointTable) recordRejection(s *endpointState, now time.Time) {
	rejections, brittle := t.brittleAt(s, now)
	if b := t.brittleServices[s.Service]; !brittle || b != nil && now.Sub(b.since) < minGrowthDelay {
		// Requests that were sent before the relays knew of it may still take the room.
		return
	}
	r, span := &s.room, t.growthSpan(s, rejectionShare*rejections)
	r.share = min(t.roomShare(s, rejections, now), s.running)
	r.growsAt = now.Add(max(minGrowthDelay, span) + t.spread(span))
}

// spread returns a random time up to the span.
func (t *EndpointTable) spread(span time.Duration) time.Duration {
	return time.Duration(t.Rand.Float64() * float64(span))
}

// dealtShare returns this relay's part of the endpoint's room. The endpoint's slots are dealt to
// the relays by their index, so that all relays together never need more without a message for a request; the endpoint's rank
// makes different relays get the rest of the division.
func (t *EndpointTable) dealtShare(s *endpointState) int {
	relay := t.limits.relay
	if !relay.isListed() {
		return 0
	}
	slots := s.roomSlots()
	position := (relay.index - s.rank*slots%relay.relays + relay.relays) % relay.relays
	share := slots / relay.relays
	if position < slots%relay.relays {
		share++
	}
	return share
}

// roomSlots returns the number of requests that the endpoint certainly has room for, by the platform's list and its own reports.
func (s *endpointState) roomSlots() int {
	slots := s.Slots
	if reported := s.reportedLoad.Slots; reported > 0 && (slots <= 0 || reported < slots) {
		slots = reported
	}
	return max(1, slots)
}

// roomWait returns the time until the endpoint may have room for a request of this relay, or 0 if it has now or is not brittle.
func (t *EndpointTable) roomWait(s *endpointState, now time.Time) time.Duration {
	rejections, brittle := t.brittleAt(s, now)
	if !brittle {
		s.room.isDealt = false
		return 0
	}
	share := t.roomShare(s, rejections, now)
	if share == 0 {
		return unlistedWait
	}
	if s.running+s.leavingRoom(now) < share {
		return 0
	}
	return roomCheckInterval
}

// leavingRoom returns the number of requests that still take room at the endpoint although this relay no longer waits for them.
func (s *endpointState) leavingRoom(now time.Time) (n int) {
	for _, until := range s.roomFreeAt {
		if now.Before(until) {
			s.roomFreeAt[n] = until
			n++
		}
	}
	s.roomFreeAt = s.roomFreeAt[:n]
	return n
}

// keepRoom counts that a request which has ended still takes room at the endpoint until the given time.
func (t *EndpointTable) keepRoom(s *endpointState, until, now time.Time) {
	if _, brittle := t.brittleAt(s, now); brittle && s.leavingRoom(now) < maxKept {
		s.roomFreeAt = append(s.roomFreeAt, until)
	}
}

// maxKept bounds the number of ended requests that are kept for an endpoint.
const maxKept = 1024

// RequestAbandoned counts that this relay no longer waits for a request, which the endpoint may run until the given time.
func (t *EndpointTable) RequestAbandoned(id string, until, now time.Time) {
	s := t.endpoints.Get(id)
	if s == nil {
		return
	}
	if last := now.Add(maxAbandoned); until.After(last) {
		until = last
	}
	t.keepRoom(s, until, now)
}

// LacksRoom reports whether an endpoint that meets the request's requirements gets no request now because it is brittle and
// this relay has used its share of the room.
func (t *EndpointTable) LacksRoom(req EndpointRequirements, now time.Time) (lacks bool) {
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		lacks = s.isSuitable(req, now) && t.roomWait(s, now) > 0
		return !lacks
	})
	return lacks
}

// BrittleServices returns the services with brittle endpoints, in order of their names.
func (t *EndpointTable) BrittleServices(now time.Time) (out []BrittleService) {
	byName := map[string]int{}
	t.endpoints.Each(func(_ string, s *endpointState) bool {
		rejections, brittle := t.brittleAt(s, now)
		if !s.listed || !brittle {
			return true
		}
		i, ok := byName[s.Service]
		if !ok {
			i = len(out)
			byName[s.Service] = i
			out = append(out, BrittleService{Service: s.Service, Rejections: rejections})
		}
		out[i].Endpoints++
		out[i].Rejections = min(out[i].Rejections, rejections)
		return true
	})
	return out
}
