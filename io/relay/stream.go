package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
)

const (
	// resumeTick is the pause between two tries of a stream that waits for an endpoint.
	resumeTick = 25 * time.Millisecond
	// startWait bounds how long a stream without an event waits for an endpoint before it is refused: an eighth of the
	// usual objective, within which nothing is lost to the caller.
	startWait = 500 * time.Millisecond
	// resumeWait bounds how long a stream that was interrupted waits for an endpoint: crashed ones come back within it.
	resumeWait = 3 * time.Second
)

// generation is a stream on its way.
type generation struct {
	*request
	// last is the id of the last event that the caller has; 0 before the first.
	last int64
	// fromCaller says that the caller itself resumes.
	fromCaller bool
	// wrote says that the answer's header has left.
	wrote bool
	// copies knows where a copy of the run's memory is.
	copies copies
	// over says that the stream has ended or its caller has left, so that no copy is needed any more.
	over atomic.Bool
	// kept are the ids of endpoints that still have the prompt of a stream that the caller resumes.
	kept []string
	// events counts the events that were passed on, and resumes the sends after an interruption.
	events  int
	resumes int
	// firstIn is the time to the first event, and lastAt is when the last one was passed on.
	firstIn time.Duration
	lastAt  time.Time
	// longest is the longest pause between two events.
	longest time.Duration
}

// leg is one send of a stream to one endpoint.
type leg struct {
	endpoint place.Endpoint
	// from is how the endpoint is told to go on from the copy that it holds; empty if it does not.
	from string
	// kept is true if the endpoint still has the prompt.
	kept bool
	// holder gets the copy of this leg's run.
	holder place.Endpoint
	held   bool
}

// reads reports whether the endpoint reads the prompt.
func (l *leg) reads() bool { return l.from == "" && !l.kept }

// keeper returns an endpoint that still has the prompt.
func (g *generation) keeper(t *place.Table, now time.Time) (place.Endpoint, bool) {
	for _, id := range g.kept {
		if !g.tried[id] && t.Lives(id, now) {
			return t.Get(id)
		}
	}
	return place.Endpoint{}, false
}

// serveStream forwards a stream, event by event, and goes on at another endpoint when one fails.
func (q *request) serveStream() {
	g := &generation{request: q}
	if id, err := strconv.ParseInt(q.r.Header.Get(q.relay.Names.LastEvent), 10, 64); err == nil {
		g.last, g.fromCaller = id, true
		n := &q.relay.Names
		g.kept = q.relay.finder.find(q.ctx, q.service, n.LastPart(q.header.Get(n.Prompt)))
		q.log.Info("stream-resumed-by-caller", zap.Int64("last-event", id), zap.Strings("prompt-at", g.kept))
	}
	refused := 0
	for {
		l, ok := g.next()
		if !ok {
			g.giveUp(common.ReasonNoEndpoint)
			return
		}
		out := g.run(l)
		g.note(l.endpoint, out)
		if out.verdict == answered {
			g.done(l, out)
			return
		}
		q.relay.meter.count("retries", string(out.cause))
		if q.ctx.Err() != nil {
			g.giveUp(common.ReasonDeadline)
			return
		}
		switch {
		case out.cause == common.RetryConnect && out.verdict == notRun:
		case out.cause == common.RetryLeaving && q.relay.spendRefusal(q.service):
		case out.verdict == notRun:
			if refused++; !g.wrote && refused > maxRefused || !q.pause(refusedPause<<min(refused, maxRefused)) {
				g.giveUp(common.ReasonOverloaded)
				return
			}
			fallthrough
		default:
			if out.verdict == unknown && (!q.route.Repeatable() || q.stream != nil || q.sends >= max(1, q.route.Attempts)) {
				g.giveUp(common.ReasonEndpointFailed)
				return
			}
			lost := out.verdict == unknown && out.cause != common.RetryRefused
			if lost && !q.relay.spendLoss(q.service) || !lost && !q.relay.spendRefusal(q.service) {
				g.giveUp(common.ReasonRetryBudget)
				return
			}
		}
	}
}

// next returns the next send: to the holder of the copy if there may be one, and otherwise to the endpoint with the least
// cost. It waits while no endpoint takes requests.
func (g *generation) next() (leg, bool) {
	wait := startWait
	if g.wrote {
		wait = resumeWait
	}
	until := g.relay.Clock.Now().Add(wait)
	for {
		if l, ok := g.pick(); ok {
			return l, true
		}
		if g.relay.Clock.Now().After(until) || !g.pause(resumeTick) {
			return leg{}, false
		}
	}
}

func (g *generation) pick() (l leg, ok bool) {
	g.relay.placed(func(t *place.Table, now time.Time) {
		if b := g.copies.get(); b.any && !g.tried[b.holder.ID] && t.Lives(b.holder.ID, now) {
			l.endpoint, l.from, ok = b.holder, b.from, true
		} else if l.endpoint, ok = g.keeper(t, now); ok {
			l.kept = true
		} else if l.endpoint, ok = t.Choose(place.Want{Service: g.service, Model: true, Not: g.tried}, now); !ok && g.wrote {
			// Endpoints that refused may have room by now, and those that crashed may be back.
			clear(g.tried)
			l.endpoint, ok = t.Choose(place.Want{Service: g.service, Model: true}, now)
		}
		if !ok {
			return
		}
		t.Began(l.endpoint.ID, l.reads())
		if s := g.index.Service(g.service); s != nil && s.Model != nil && s.Model.Backups {
			l.holder, l.held = t.Holder(l.endpoint, map[string]bool{l.endpoint.ID: true}, now)
			if l.held {
				t.Copied(l.holder.ID, 1)
			}
		}
	})
	return l, ok
}

// run makes one send and passes the events on until the stream ends or breaks off.
func (g *generation) run(l leg) result {
	began := g.relay.Clock.Now()
	w := &watch{gen: g, leg: l, from: began, wake: make(chan struct{}, 1)}
	defer g.release(l, w)
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	c, err := g.relay.pool.get(ctx, l.endpoint, idleFor)
	if err != nil {
		return result{verdict: notRun, cause: common.RetryConnect, err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	o := g.outbound(l.endpoint, g.relay.Clock.Now())
	n := &g.relay.Names
	if g.last > 0 || g.fromCaller || l.from != "" {
		o.header.Set(n.LastEvent, strconv.FormatInt(g.last, 10))
	}
	if l.held {
		o.header.Set(n.Backup, l.holder.Address)
	}
	if l.from != "" {
		o.header.Set(n.From, l.from)
	}
	if g.wrote {
		g.resumes++
		g.log.Info("stream-resumed", zap.String("endpoint", l.endpoint.ID), zap.String("domain", l.endpoint.Domain),
			zap.Bool("from-copy", l.from != ""), zap.Int64("last-event", g.last), zap.Duration("pause", began.Sub(g.lastAt)))
	}
	sent, err := c.write(o)
	if err != nil {
		_ = c.Close()
		if !sent {
			return result{verdict: notRun, cause: common.RetryConnect, err: err}
		}
		return result{verdict: unknown, cause: common.RetryReset, err: err}
	}
	w.conn = c
	w.last.Store(int64(g.relay.since()))
	go w.run(ctx)
	out := g.receiveStream(ctx, l, c, w)
	g.over.Store(out.verdict == answered || g.ctx.Err() != nil)
	if out.verdict != answered {
		_ = c.Close()
		if cause := w.cause.Load(); cause != nil {
			out.cause, out.err = common.RetrySilent, errors.New(*cause)
		}
	}
	return out
}

// release takes a leg off the table of endpoints.
func (g *generation) release(l leg, w *watch) {
	g.relay.placed(func(t *place.Table, _ time.Time) {
		if l.reads() && !w.read {
			t.Read(l.endpoint.ID)
		}
		if l.held {
			t.Copied(l.holder.ID, -1)
		}
	})
}

// receiveStream reads the header of the answer and passes its events on.
func (g *generation) receiveStream(ctx context.Context, l leg, c *conn, w *watch) result {
	res, err := c.answer(g.r.Method, g.relay.Names.RequestID, g.id) //nolint:bodyclose // the body ends with the connection
	if err != nil {
		return result{verdict: unknown, cause: common.RetryReset, err: err}
	}
	w.heard()
	g.noteLoad(l.endpoint.ID, res.Header)
	if res.Header.Get(g.relay.Names.NotRun) != "" || res.StatusCode == http.StatusMisdirectedRequest ||
		l.from != "" && res.StatusCode == http.StatusServiceUnavailable {
		cause := common.RetryRefused
		if res.StatusCode == http.StatusMisdirectedRequest {
			cause = common.RetryLeaving
		}
		_ = c.Close()
		return result{verdict: notRun, cause: cause, err: errors.New(res.Status)}
	}
	if err := g.sound(res); err != nil {
		return result{verdict: unknown, cause: common.RetryReset, err: err}
	}
	if res.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
		if err != nil || g.wrote || res.StatusCode >= 500 && g.mayRepeat() {
			return result{verdict: unknown, cause: common.RetryRefused, err: errors.New(res.Status)}
		}
		_ = c.Close()
		return result{verdict: answered, res: res, body: body}
	}
	return g.forward(ctx, l, c, res, w)
}

// forward passes whole events on as they arrive.
func (g *generation) forward(ctx context.Context, l leg, c *conn, res *http.Response, w *watch) result {
	if !g.wrote {
		copyHeader(g.w.Header(), res.Header)
		g.w.WriteHeader(http.StatusOK)
		g.wrote = true
		g.lastAt = g.relay.Clock.Now()
	}
	flusher := http.NewResponseController(g.w)
	s := &events{br: bufio.NewReaderSize(res.Body, readBuffer)}
	for {
		e, err := s.next()
		if errors.Is(err, io.EOF) && g.last == 0 {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) && len(s.buf) == 0 && framed(res) {
			g.relay.pool.release(c, res)
			return result{verdict: answered, res: res}
		}
		if err != nil {
			return result{verdict: unknown, cause: common.RetryReset, err: err}
		}
		w.heard()
		if !w.read {
			w.read = true
			g.resumed(l)
			g.relay.placed(func(t *place.Table, _ time.Time) {
				if l.reads() {
					t.Read(l.endpoint.ID)
				}
				t.Served(l.endpoint.ID)
			})
			g.copies.set(g.sent(l))
			k := &guard{gen: g, leg: l}
			go k.run(ctx)
		}
		w.at.Store(e.id)
		if e.id >= 0 && e.id <= g.last {
			continue
		}
		if e.id >= 0 && e.id != g.last+1 {
			return result{verdict: unknown, cause: common.RetryReset, err: errGap}
		}
		if _, err := g.w.Write(e.raw); err != nil {
			return result{verdict: unknown, cause: common.RetryReset, err: err}
		}
		if err := flusher.Flush(); err != nil {
			return result{verdict: unknown, cause: common.RetryReset, err: err}
		}
		g.passed(e)
	}
}

// resumed logs how long the caller had no event before the first one of a leg.
func (g *generation) resumed(l leg) {
	if g.events > 0 {
		g.log.Info("stream-goes-on", zap.String("endpoint", l.endpoint.ID), zap.Bool("from-copy", l.from != ""),
			zap.Duration("pause", g.relay.Clock.Now().Sub(g.lastAt)))
	}
}

// sent returns the copy that the engine of a leg sends as its run grows.
func (g *generation) sent(l leg) backup {
	return backup{holder: l.holder, from: g.relay.Names.CopyOf(l.holder.Address, g.id), any: l.held}
}

// framed reports whether the end of the answer can be told from a connection that was cut.
func framed(res *http.Response) bool { return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 }

// passed records that the caller was sent an event.
func (g *generation) passed(e event) {
	now := g.relay.Clock.Now()
	if g.events == 0 {
		g.firstIn = now.Sub(g.began)
		g.relay.meter.first.RecordDuration(g.firstIn)
	} else if pause := now.Sub(g.lastAt); pause > g.longest {
		g.longest = pause
	}
	g.lastAt = now
	g.events++
	if e.id >= 0 {
		g.last = e.id
	}
}

// done ends a stream that is complete, or passes an endpoint's own failure on.
func (g *generation) done(l leg, out result) {
	if !g.wrote {
		g.pass(l.endpoint, out)
		return
	}
	g.relay.meter.pause.RecordDuration(g.longest)
	g.log.Info("stream-ended", zap.String("route", g.route.Name), zap.String("endpoint", l.endpoint.ID),
		zap.Int("events", g.events), zap.Int64("last-event", g.last), zap.Int("resumes", g.resumes), zap.Int("sends", g.sends),
		zap.Duration("first", g.firstIn), zap.Duration("longest-pause", g.longest), zap.Duration("took", g.relay.Clock.Now().Sub(g.began)))
}

// giveUp ends a stream for which nothing more can be tried. The connection of one that has begun is reset, so that it
// does not look complete and the caller can resume it elsewhere.
func (g *generation) giveUp(reason common.Reason) {
	if !g.wrote {
		g.fail(reason, afterCrash)
		return
	}
	gone := g.r.Context().Err() != nil
	g.log.Info("stream-broken-off", zap.String("reason", string(reason)), zap.Bool("caller-gone", gone),
		zap.Int64("last-event", g.last), zap.Int("resumes", g.resumes), zap.Int("sends", g.sends),
		zap.Duration("after", g.relay.Clock.Now().Sub(g.began)))
	g.relay.meter.count("streams-broken-off", string(reason))
	panic(http.ErrAbortHandler)
}

// watch notices that an endpoint has fallen silent; it closes the connection then, which ends the leg.
type watch struct {
	gen  *generation
	leg  leg
	conn *conn
	from time.Time
	wake chan struct{}
	// last is when bytes arrived last, as time since the start of the process.
	last atomic.Int64
	// cause is why the connection was closed.
	cause atomic.Pointer[string]
	// read says that the first event has arrived; only the reader uses it.
	read bool
	// got counts the header of the answer and the events that arrived, and at is the id of the last event.
	got atomic.Int64
	at  atomic.Int64
}

// heard records that bytes arrived.
func (w *watch) heard() {
	now := w.gen.relay.since()
	w.last.Store(int64(now))
	w.got.Add(1)
	w.gen.relay.prober.heard(w.leg.endpoint.ID, now)
}
