package place

import (
	"hash/fnv"
	"maps"
	"math"
	"time"
)

const (
	// usedShare is the part of an endpoint's limit that the relays use together; the rest covers requests that must not
	// wait, such as streams that resume from a copy.
	usedShare = 0.9
	// Endpoints bear limitFactor times their limit, and limitExtra requests more, in each limitWindow. Turns that relays
	// use late may fill up burstShare of that.
	limitFactor = 1.5
	limitExtra  = 5.0
	limitWindow = 4 * time.Second
	burstShare  = 0.85
	// minLimit is the least limit in requests per second that is applied: without any answer the end of a limit would
	// not be seen.
	minLimit = 0.1
	// minLimitLifetime and maxLimitLifetime bound the time after which a limit lapses that no answer has confirmed;
	// within them it is that of lifetimeTurns requests.
	minLimitLifetime = 10 * time.Second
	maxLimitLifetime = time.Minute
	lifetimeTurns    = 5
	// noticesPerLifetime is the number of messages about a limit that stays as it is in the time after which it lapses.
	noticesPerLifetime = 4
	// limitTolerance is the relative change of a limit that is told to the other relays at once.
	limitTolerance = 0.1
	// maxFirstTurn bounds the number of an endpoint's first turn.
	maxFirstTurn = 1 << 12
	// maxLimits bounds the number of endpoints whose limits are kept.
	maxLimits = 4096
)

// LimitNotice says how many requests an endpoint takes, as one of its answers named it.
type LimitNotice struct {
	// Endpoint is the endpoint's id.
	Endpoint string `cbor:"1,keyasint"`
	// PerSecond is the number of requests per second that the endpoint takes from all relays together.
	PerSecond float64 `cbor:"2,keyasint"`
	// Ended is set if the endpoint no longer names a limit.
	Ended bool `cbor:"3,keyasint,omitempty"`
	// Age is the time from the answer to the sending of this notice.
	Age time.Duration `cbor:"4,keyasint"`
	// Position is the number of turns of all relays that had come when the notice was sent.
	Position float64 `cbor:"5,keyasint"`
}

// Key identifies the endpoint.
func (n LimitNotice) Key() string { return n.Endpoint }

// Aged returns the notice as it is sent d later. The turns that come meanwhile are not counted: the receiver counts them by
// itself, or takes over a later position.
func (n LimitNotice) Aged(d time.Duration) LimitNotice {
	n.Age += d
	return n
}

// LimitTable holds the limits that endpoints have named. It is not safe for concurrent use.
type LimitTable struct {
	limits map[string]*endpointLimit
	// relay is this relay's position among those that have turns.
	relay relayPosition
}

// endpointLimit is the latest limit of an endpoint, and this relay's turns to send to it.
type endpointLimit struct {
	LimitNotice
	// namedAt is when the answer with the limit arrived, and sharedAt when the other relays were told of it.
	namedAt  time.Time
	sharedAt time.Time
	turns    turns
}

// lifetime returns the time after which the limit lapses if no answer confirms it.
func (l *endpointLimit) lifetime() time.Duration {
	turns := time.Duration(lifetimeTurns / max(l.PerSecond, minLimit) * float64(time.Second))
	return min(maxLimitLifetime, max(minLimitLifetime, turns))
}

// applies reports whether requests to the endpoint are limited now.
func (l *endpointLimit) applies(now time.Time) bool {
	return l != nil && !l.Ended && now.Sub(l.namedAt) < l.lifetime()
}

// notice returns the limit as it is sent to other processes.
func (l *endpointLimit) notice(now time.Time) LimitNotice {
	l.turns.update(l.rate(), now)
	n := l.LimitNotice
	n.Age, n.Position = now.Sub(l.namedAt), l.turns.position
	return n
}

// rate returns the number of turns per second of all relays together.
func (l *endpointLimit) rate() float64 { return usedShare * max(l.PerSecond, minLimit) }

// turnLifetime returns how long a relay may use a turn after it has come. Turns that wait longer would add up to too
// many requests over all relays.
func (l *endpointLimit) turnLifetime() time.Duration {
	window := limitWindow.Seconds()
	burst := burstShare * (limitFactor*max(l.PerSecond, minLimit)*window + limitExtra)
	return time.Duration((burst/l.rate() - window) * float64(time.Second))
}

// noticeInterval returns the time between two messages about the limit while it stays as it is.
func (l *endpointLimit) noticeInterval() time.Duration { return l.lifetime() / noticesPerLifetime }

// isSame reports whether the notice says the same as the latest one, but for a small change of the number.
func (l *endpointLimit) isSame(n LimitNotice) bool {
	return !l.sharedAt.IsZero() && n.Ended == l.Ended && math.Abs(n.PerSecond-l.PerSecond) <= limitTolerance*l.PerSecond
}

// isOutdated reports whether the notice is no later than the latest one. Notices look younger by the time that they were
// on the way, so one that says the same must be later by more than that.
func (l *endpointLimit) isOutdated(n LimitNotice, namedAt time.Time) bool {
	if l.isSame(n) {
		return namedAt.Sub(l.namedAt) < l.noticeInterval()/2
	}
	return !namedAt.After(l.namedAt)
}

// replace makes the notice the endpoint's latest one, and reports whether other processes should be told.
func (l *endpointLimit) replace(n LimitNotice, namedAt, now time.Time) bool {
	same := l.isSame(n)
	l.LimitNotice, l.namedAt = n, namedAt
	if same && now.Sub(l.sharedAt) < l.noticeInterval() {
		return false
	}
	l.sharedAt = now
	return true
}

// Name records that an answer of the endpoint named a limit in requests per second. It returns what other processes
// should be told.
func (t *LimitTable) Name(endpoint string, perSecond float64, now time.Time) (news []LimitNotice) {
	l := t.get(endpoint, now)
	if l == nil || !l.replace(LimitNotice{Endpoint: endpoint, PerSecond: perSecond}, now, now) {
		return nil
	}
	return []LimitNotice{l.notice(now)}
}

// End records that an answer of the endpoint named no limit; the request was sent at the given time. It returns what
// other processes should be told.
func (t *LimitTable) End(endpoint string, sent, now time.Time) (news []LimitNotice) {
	l := t.limits[endpoint]
	if l == nil || l.Ended || sent.Before(l.namedAt) {
		return nil
	}
	n := LimitNotice{Endpoint: endpoint, Ended: true}
	l.replace(n, now, now)
	return []LimitNotice{n}
}

// Merge adds limits that another process has sent. It returns those that further processes should be told.
func (t *LimitTable) Merge(list []LimitNotice, now time.Time) (news []LimitNotice) {
	for _, n := range list {
		if n.Age < 0 || n.Age > maxLimitLifetime || !isCount(n.PerSecond) || !isCount(n.Position) {
			continue
		}
		namedAt := now.Add(-n.Age)
		isNew := t.limits[n.Endpoint] == nil
		l := t.get(n.Endpoint, now)
		if l == nil {
			continue
		}
		l.turns.adopt(n.Position, l.rate(), now)
		if isNew {
			l.turns.skipPast()
		}
		if !l.isOutdated(n, namedAt) && l.replace(n, namedAt, now) {
			news = append(news, l.notice(now))
		}
	}
	return news
}

// isCount reports whether a number that another process sent is finite and not negative.
func isCount(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// All returns all limits that have not lapsed, for a process that may not know them.
func (t *LimitTable) All(now time.Time) []LimitNotice {
	t.expire(now)
	out := make([]LimitNotice, 0, len(t.limits))
	for _, l := range t.limits {
		out = append(out, l.notice(now))
	}
	return out
}

// get returns the endpoint's limit, which is a new one if there is none, or nil if the table is full.
func (t *LimitTable) get(endpoint string, now time.Time) *endpointLimit {
	if l := t.limits[endpoint]; l != nil {
		return l
	}
	if t.limits == nil {
		t.limits = map[string]*endpointLimit{}
	}
	if len(t.limits) >= maxLimits {
		t.expire(now)
	}
	if len(t.limits) >= maxLimits {
		return nil
	}
	l := &endpointLimit{turns: newTurns(firstTurn(endpoint), t.relay)}
	t.limits[endpoint] = l
	return l
}

// firstTurn returns the number at which the turns of an endpoint begin. It differs between endpoints, so that a relay does
// not have its turns at all of them at the same time.
func firstTurn(endpoint string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(endpoint))
	return float64(h.Sum32() % maxFirstTurn)
}

// expire removes the limits that have lapsed.
func (t *LimitTable) expire(now time.Time) {
	maps.DeleteFunc(t.limits, func(_ string, l *endpointLimit) bool { return now.Sub(l.namedAt) >= l.lifetime() })
}

// setRelay sets this relay's position among those that have turns. Turns that have come stay with the relays that had them.
func (t *LimitTable) setRelay(relay relayPosition, now time.Time) {
	if relay == t.relay {
		return
	}
	t.relay = relay
	for _, l := range t.limits {
		l.turns.redeal(relay, l.rate(), now)
	}
}

// keep removes the limits of all other endpoints.
func (t *LimitTable) keep(endpoints map[string]bool) {
	maps.DeleteFunc(t.limits, func(endpoint string, _ *endpointLimit) bool { return !endpoints[endpoint] })
}

// Count returns the number of endpoints with a limit that applies now.
func (t *LimitTable) Count(now time.Time) (n int) {
	for _, l := range t.limits {
		if l.applies(now) {
			n++
		}
	}
	return n
}

// wait returns the time until this relay may send a request to the endpoint.
func (t *LimitTable) wait(endpoint string, now time.Time) time.Duration {
	l := t.limits[endpoint]
	if !l.applies(now) {
		return 0
	}
	l.turns.update(l.rate(), now)
	return l.turns.wait(l.rate(), l.turnLifetime())
}

// take counts a request that this relay sends to the endpoint.
func (t *LimitTable) take(endpoint string, now time.Time) {
	if l := t.limits[endpoint]; l.applies(now) {
		l.turns.update(l.rate(), now)
		l.turns.take(l.rate(), l.turnLifetime())
	}
}
