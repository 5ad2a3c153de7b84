package relay

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/state"
)

// recordLimit records the limit that an endpoint names in its response. A success without one ends the limit.
func (q *request) recordLimit(id string, res *http.Response) {
	value := res.Header.Get(q.relay.Names.Limit)
	limit, valid := q.relay.Names.ParseLimit(value)
	var news []place.LimitNotice
	q.relay.withTable(func(t *place.EndpointTable, now time.Time) {
		switch {
		case valid:
			news = t.Limits().Name(id, limit, now)
		case value == "" && res.StatusCode < http.StatusMultipleChoices:
			news = t.Limits().End(id, q.sentAt, now)
		}
	})
	for _, n := range news {
		q.log.Info("limit-named", zap.String("endpoint", id), zap.Float64("per-second", n.PerSecond), zap.Bool("ended", n.Ended))
	}
	q.relay.feed.sendLimits(news)
}

// mergeLimits adds the limits that a keeper has sent.
func (r *Relay) mergeLimits(list []place.LimitNotice) {
	limited := 0
	r.withTable(func(t *place.EndpointTable, now time.Time) {
		t.Limits().Merge(list, now)
		limited = t.Limits().Count(now)
	})
	r.meter.limitedEndpoints.Update(float64(limited))
}

// allLimits returns all limits that this relay knows.
func (r *Relay) allLimits() (list []place.LimitNotice) {
	r.withTable(func(t *place.EndpointTable, now time.Time) { list = t.Limits().All(now) })
	return list
}

// nextTurn returns the time until the request may be sent to an endpoint that has a limit, or false if no limit holds
// it back.
func (q *request) nextTurn(req place.EndpointRequirements) (wait time.Duration, limited bool) {
	q.relay.withTable(func(t *place.EndpointTable, now time.Time) { wait, limited = t.NextTurn(req, now) })
	return wait, limited
}

// awaitTurn waits until the request may be sent to an endpoint that has a limit. It returns false if the request should
// be refused instead.
func (q *request) awaitTurn() bool {
	turn, limited := q.nextTurn(q.plainRequirements())
	waited := q.relay.Clock.Now().Sub(q.startedAt)
	return limited && place.ShouldWait(turn, waited, q.route.LatencyObjective) && q.sleep(turn)
}

// failWithoutEndpoint ends a request for which no endpoint accepts requests now.
func (q *request) failWithoutEndpoint(req place.EndpointRequirements) {
	if wait, paused := q.firstReturn(); paused {
		q.failRequest(common.ReasonEndpointLimit, place.SpreadRetry(wait, rand.Float64()))
		return
	}
	if turn, limited := q.nextTurn(req); limited {
		q.failRequest(common.ReasonEndpointLimit, q.spreadForRoom(req, turn))
		return
	}
	if q.isCutOff() {
		q.failRequest(common.ReasonCutOff, retryElsewhere)
		return
	}
	q.failRequest(common.ReasonNoEndpoint, retryAfterCrash)
}

// spreadForRoom returns the Retry-After time of a request whose next turn comes after the given time. Callers that are refused
// because brittle endpoints have no room come back over some time.
func (q *request) spreadForRoom(req place.EndpointRequirements, turn time.Duration) time.Duration {
	lacksRoom := false
	q.relay.withTable(func(t *place.EndpointTable, now time.Time) { lacksRoom = t.LacksRoom(req, now) })
	if lacksRoom {
		return place.SpreadRetry(turn, rand.Float64())
	}
	return turn
}

// abandonedStreamTime is the time within which an engine ends a stream whose connection was closed.
const abandonedStreamTime = 400 * time.Millisecond

// runsUntil returns up to when an endpoint may run the request after this relay has given it up.
func (q *request) runsUntil(now time.Time) time.Time {
	if q.route.Kind == state.Stream {
		return now.Add(abandonedStreamTime)
	}
	return q.deadline
}

// logBrittleServices logs which services have become brittle, or are no longer, since the last call.
func (r *Relay) logBrittleServices(known map[string]bool) {
	var list []place.BrittleService
	r.withTable(func(t *place.EndpointTable, now time.Time) { list = t.BrittleServices(now) })
	endpoints, current := 0, map[string]bool{}
	for _, b := range list {
		endpoints += b.Endpoints
		current[b.Service] = true
		if !known[b.Service] {
			r.Log.Info("service-brittle", zap.String("service", b.Service), zap.Int("endpoints", b.Endpoints), zap.Float64("rejections-per-second", b.Rejections))
		}
	}
	for service := range known {
		if !current[service] {
			r.Log.Info("service-brittle-ended", zap.String("service", service))
		}
	}
	clear(known)
	maps.Copy(known, current)
	r.meter.brittleEndpoints.Update(float64(endpoints))
}
