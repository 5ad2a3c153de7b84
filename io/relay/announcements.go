package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/serve"
)

// errPaused is the error of an attempt that was not sent because the endpoint has asked for a pause meanwhile.
var errPaused = eris.New("the endpoint wants no requests for some time")

// errLeft is the error of an attempt that was not sent because the endpoint has left meanwhile.
var errLeft = eris.New("the endpoint has left")

// recordAnnouncement records what an endpoint's answer to the request says of the endpoint. Status 421 comes from another
// endpoint at the address.
func (q *request) recordAnnouncement(id string, res *http.Response) {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	n := q.relay.Names.ParseAnnouncement(res.StatusCode, res.Header)
	// An answer without the endpoint's signature may have lost other headers too.
	n.Unclear = n.Unclear || res.Header.Get(q.relay.Names.Signature) == ""
	q.relay.recordAnnouncement(q.log, id, n, q.sentAt)
}

// recordAnnouncement records what an endpoint's answer says of the endpoint; the request for the answer was sent at the given
// time.
func (r *Relay) recordAnnouncement(log *zap.Logger, id string, n place.Announcement, sent time.Time) {
	var change place.AnnouncementChange
	r.withTable(func(t *place.EndpointTable, now time.Time) { change = t.RecordAnnouncement(id, n, sent, now) })
	if change == (place.AnnouncementChange{}) {
		return
	}
	log.Info("endpoint-announced", zap.String("endpoint", id), zap.Bool("leaving-began", change.LeavingBegan),
		zap.Bool("leaving-ended", change.LeavingEnded), zap.Duration("paused-for", change.PausedFor), zap.Bool("control", n.Control))
	if change.LeavingBegan {
		r.meter.countReason("endpoint-announcements", "leaving")
	}
	if change.LeavingEnded {
		r.meter.countReason("endpoint-announcements", "stays")
	}
	if change.PausedFor > 0 {
		r.meter.countReason("endpoint-announcements", "pause")
	}
}

// announcementSweepInterval is the time between two searches for pauses that have ended.
const announcementSweepInterval = 500 * time.Millisecond

// loopAnnouncements logs the ends of the endpoints' pauses and which services are brittle, and counts the endpoints with announcements, until ctx ends.
func (r *Relay) loopAnnouncements(ctx context.Context) error {
	brittle := map[string]bool{}
	for serve.Sleep(ctx, announcementSweepInterval) {
		r.logBrittleServices(brittle)
		var ended []string
		var leaving, paused int
		r.withTable(func(t *place.EndpointTable, now time.Time) { ended, leaving, paused = t.SweepAnnouncements(now) })
		for _, id := range ended {
			r.Log.Info("endpoint-pause-ended", zap.String("endpoint", id))
		}
		r.meter.leavingEndpoints.Update(float64(leaving))
		r.meter.pausedEndpoints.Update(float64(paused))
	}
	return ctx.Err()
}

// controlCall is a call of the relay itself to an endpoint.
type controlCall struct {
	relay    *Relay
	endpoint place.Endpoint
	sentAt   time.Time
}

// controlCallKey is the key of a controlCall in a context.
type controlCallKey struct{}

// withControlCall returns a context for a control call to the endpoint, whose answers are recorded with RecordControlAnswer.
func (r *Relay) withControlCall(ctx context.Context, e place.Endpoint) context.Context {
	return context.WithValue(ctx, controlCallKey{}, &controlCall{relay: r, endpoint: e, sentAt: r.Clock.Now()})
}

// RecordControlAnswer records what the answer to a control call says of the endpoint. Implementations of EngineClient call it
// for each answer, with the context of the call.
func RecordControlAnswer(ctx context.Context, res *http.Response) {
	c, ok := ctx.Value(controlCallKey{}).(*controlCall)
	if !ok {
		return
	}
	n := c.relay.Names.ParseAnnouncement(res.StatusCode, res.Header)
	n.Control = true
	c.relay.recordAnnouncement(c.relay.Log, c.endpoint.ID, n, c.sentAt)
}

// isPaused reports whether the endpoint has asked for a pause that is not over.
func (r *Relay) isPaused(id string) (paused bool) {
	r.withTable(func(t *place.EndpointTable, now time.Time) { paused = t.IsPaused(id, now) })
	return paused
}

// hasLeft reports whether the endpoint must not be sent any request because it is leaving or gone by the platform's list.
func (r *Relay) hasLeft(id string) (left bool) {
	r.withTable(func(t *place.EndpointTable, now time.Time) { left = t.HasLeft(id, now) })
	return left
}

// keepsCopies reports whether the endpoint is up and not about to end with the KV cache copies that it holds.
func (r *Relay) keepsCopies(id string) (ok bool) {
	r.withTable(func(t *place.EndpointTable, now time.Time) { ok = t.KeepsCopies(id, now) })
	return ok
}

// acceptsResumed reports whether the endpoint may be sent the stream to resume from a copy that it holds.
func (s *streamRequest) acceptsResumed(id string) (ok bool) {
	s.relay.withTable(func(t *place.EndpointTable, now time.Time) { ok = t.AcceptsResumed(id, s.startedAt, now) })
	return ok
}

// firstReturn returns the time until the first endpoint of the request's service accepts requests again, or false if none of
// them has asked for a pause or one accepts requests now.
func (q *request) firstReturn() (wait time.Duration, paused bool) {
	q.relay.withTable(func(t *place.EndpointTable, now time.Time) { wait, paused = t.FirstReturn(q.service, now) })
	return wait, paused
}

// firstTurn returns the time until the stream may be sent to an endpoint that has asked for a pause or has a limit, or false if
// none of these holds it back.
func (s *streamRequest) firstTurn() (wait time.Duration, limited bool) {
	if wait, paused := s.firstReturn(); paused {
		return wait, true
	}
	return s.nextTurn(s.requirements())
}
