package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
)

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

// run makes one send and passes the events on until the stream ends or breaks off.
func (g *generation) run(l leg) result {
	began := g.relay.Clock.Now()
	w := &watch{gen: g, leg: l}
	defer g.release(l, w)
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	c, stop, failed := g.open(ctx, l.endpoint, idleFor, func(h http.Header) { g.address(l, h) })
	if failed != nil {
		return *failed
	}
	defer stop()
	if g.wrote {
		g.resumes++
		g.log.Info("stream-resumed", zap.String("endpoint", l.endpoint.ID), zap.String("domain", l.endpoint.Domain),
			zap.Bool("from-copy", l.from != ""), zap.Int64("last-event", g.last), zap.Duration("pause", began.Sub(g.lastAt)))
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

// address sets the headers that say where the stream goes on, and from and to which copies.
func (g *generation) address(l leg, h http.Header) {
	n := &g.relay.Names
	if g.last > 0 || g.fromCaller || l.from != "" {
		h.Set(n.LastEvent, strconv.FormatInt(g.last, 10))
	}
	if l.held {
		h.Set(n.Backup, l.holder.Address)
	}
	if l.from != "" {
		h.Set(n.From, l.from)
	}
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
