package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/place"
	"wasabiweir/core/state"
)

const (
	// maxAnswer is the size up to which an answer is collected, so that one that breaks off can be asked for again.
	maxAnswer = 512 << 10
	// patience is the number of objectives after which a request that may be repeated goes to another endpoint, if there is
	// one.
	patience = 2.5
	// refusedPause is the pause before another endpoint is tried after one refused the request; it doubles with each one.
	refusedPause = 5 * time.Millisecond
	// maxRefused is the number of refusals after which a request is given up.
	maxRefused = 6
	// fullPause is how long an endpoint that said that it is full gets nothing.
	fullPause = 100 * time.Millisecond
)

// verdict is what is known after a send.
type verdict int

const (
	// answered: the endpoint's answer is complete.
	answered verdict = iota
	// notRun: the request has certainly not run at the endpoint.
	notRun
	// unknown: the request may have run, and there is no answer.
	unknown
)

// result is the outcome of one send.
type result struct {
	verdict verdict
	// cause is why there is no answer.
	cause common.Reason
	err   error
	res   *http.Response
	body  []byte
	// rest is the part of a large answer that was not collected, on conn.
	rest *conn
}

// servePlain forwards a request whose answer is complete before it is passed on.
func (q *request) servePlain() {
	refused := 0
	for {
		e, ok := q.choose()
		if !ok {
			q.fail(common.ReasonNoEndpoint, afterCrash)
			return
		}
		out := q.send(e)
		q.note(e, out)
		switch {
		case out.verdict == answered && !q.repeats(out):
			q.pass(e, out)
			return
		case out.verdict == notRun && q.uploaded:
			q.fail(common.ReasonOverloaded, soon)
			return
		case out.cause == common.RetryConnect && out.verdict == notRun:
			// Nothing has arrived anywhere, so that the next send is no extra one.
		case out.cause == common.RetryLeaving && q.relay.spendRefusal(q.service):
		case out.verdict == notRun:
			refused++
			if refused > maxRefused || !q.pause(refusedPause<<refused) || !q.relay.spendRefusal(q.service) {
				q.fail(common.ReasonOverloaded, soon)
				return
			}
		case !q.mayRepeat() || !q.relay.spendRefusal(q.service):
			if out.verdict == answered {
				q.pass(e, out)
				return
			}
			q.fail(common.ReasonEndpointFailed, 0)
			return
		}
		q.relay.meter.count("retries", string(out.cause))
	}
}

// choose picks an endpoint that the request was not sent to yet.
func (q *request) choose() (e place.Endpoint, ok bool) {
	if q.ctx.Err() != nil {
		return e, false
	}
	q.relay.placed(func(t *place.Table, now time.Time) {
		w := place.Want{Service: q.service, Not: q.tried}
		if e, ok = t.Choose(w, now); ok {
			t.Began(e.ID, false)
			q.tried[e.ID] = true
		}
	})
	return e, ok
}

// repeats reports whether an endpoint's own failure should be tried elsewhere: requests that may be repeated are.
func (q *request) repeats(out result) bool { return out.res.StatusCode >= 500 && q.mayRepeat() }

// mayRepeat reports whether the request may run once more.
func (q *request) mayRepeat() bool {
	return q.route.Repeatable() && q.stream == nil && q.sends < max(1, q.route.Attempts) && q.ctx.Err() == nil
}

// mayMove reports whether the request could go to another endpoint next.
func (q *request) mayMove() (ok bool) {
	if q.sends+1 >= max(1, q.route.Attempts) {
		return false
	}
	q.relay.placed(func(t *place.Table, now time.Time) { ok = t.Any(place.Want{Service: q.service, Not: q.tried}, now) })
	return ok
}

func (q *request) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-q.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// note records what a send says of the endpoint.
func (q *request) note(e place.Endpoint, out result) {
	q.tried[e.ID] = true
	if out.verdict != notRun {
		q.sends++
		q.ran = true
	}
	gone := q.r.Context().Err() != nil
	var suspended time.Duration
	q.relay.placed(func(t *place.Table, now time.Time) {
		t.Ended(e.ID)
		switch {
		case out.verdict == answered:
			t.Served(e.ID)
		case out.cause == common.RetryLeaving:
			t.Gone(e.ID, now)
		case out.cause == common.RetryRefused:
			t.Full(e.ID, fullPause, now)
		case !gone && out.cause == common.RetryConnect:
			suspended = t.Failed(e.ID, q.route.Kind == state.Stream, now)
		case !gone && out.cause == common.RetryReset && q.route.Kind != state.Stream:
			suspended = t.Failed(e.ID, false, now)
		}
	})
	if !gone && out.cause == common.RetryReset && q.route.Kind == state.Stream {
		// An engine that crashed resets its connections, but so does one that only lost an answer.
		q.relay.prober.check(e)
	}
	if out.verdict != answered {
		q.log.Info("send-failed", zap.String("endpoint", e.ID), zap.String("address", e.Address),
			zap.String("domain", e.Domain), zap.String("cause", string(out.cause)), zap.Bool("may-have-run", out.verdict == unknown),
			zap.Duration("after", q.relay.Clock.Now().Sub(q.began)), zap.Duration("suspended", suspended), zap.Error(out.err))
	}
}

// send makes one attempt at the endpoint.
func (q *request) send(e place.Endpoint) result {
	ctx := q.ctx
	if q.route.Kind == state.Safe && q.route.Objective > 0 && q.mayMove() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(patience*float64(q.route.Objective)))
		defer cancel()
	}
	idle := idleFor
	if !q.route.Repeatable() {
		idle = unsafeIdle
	}
	c, stop, failed := q.open(ctx, e, idle, nil)
	if failed != nil {
		return *failed
	}
	defer stop()
	out := q.receive(c)
	if out.verdict != answered {
		_ = c.Close()
		if out.verdict == unknown && ctx.Err() != nil {
			out.cause = common.RetrySilent
		}
	}
	return out
}

// open sends the request to the endpoint, with the headers that set adds, if it is not nil. The connection is closed when
// ctx ends, until stop is called. It returns the outcome if the request could not be sent.
func (q *request) open(ctx context.Context, e place.Endpoint, idle time.Duration, set func(http.Header)) (c *conn, stop func() bool, failed *result) {
	c, err := q.relay.pool.get(ctx, e, idle)
	if err != nil {
		return nil, nil, &result{verdict: notRun, cause: common.RetryConnect, err: err}
	}
	o := q.outbound(e, q.relay.Clock.Now())
	if set != nil {
		set(o.header)
	}
	stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if sent, err := c.write(o); err != nil {
		stop()
		_ = c.Close()
		if !sent {
			return nil, nil, &result{verdict: notRun, cause: common.RetryConnect, err: err}
		}
		return nil, nil, &result{verdict: unknown, cause: common.RetryReset, err: err}
	}
	q.upload(c, o)
	return c, stop, nil
}

// receive reads the answer to what was sent on the connection.
func (q *request) receive(c *conn) result {
	res, err := c.answer(q.r.Method, q.relay.Names.RequestID, q.id)
	if err != nil {
		return result{verdict: unknown, cause: common.RetryReset, err: err}
	}
	q.noteLoad(c.endpoint.ID, res.Header)
	if res.Header.Get(q.relay.Names.NotRun) != "" || res.StatusCode == http.StatusMisdirectedRequest {
		cause := common.RetryRefused
		if res.StatusCode == http.StatusMisdirectedRequest {
			cause = common.RetryLeaving
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			_ = c.Close()
		} else {
			q.relay.pool.release(c, res)
		}
		return result{verdict: notRun, cause: cause}
	}
	if err := q.sound(res); err != nil {
		return result{verdict: unknown, cause: common.RetryReset, err: err}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return result{verdict: unknown, cause: common.RetryReset, err: err}
	}
	if len(body) > maxAnswer {
		return result{verdict: answered, res: res, body: body, rest: c}
	}
	q.relay.pool.release(c, res)
	return result{verdict: answered, res: res, body: body}
}

var errUnsound = errors.New("the answer lacks the endpoint's signature or has an encoding")

// sound checks that an answer is the endpoint's own.
func (q *request) sound(res *http.Response) error {
	if res.Header.Get(q.relay.Names.Signature) == "" || res.Header.Get("Content-Encoding") != "" {
		return errUnsound
	}
	return nil
}

func (q *request) noteLoad(id string, h http.Header) {
	if l, ok := q.relay.Names.ParseLoad(h.Get(q.relay.Names.Load)); ok {
		q.relay.placed(func(t *place.Table, now time.Time) { t.Loaded(id, l, now) })
	}
}

// pass hands a complete answer to the caller.
func (q *request) pass(e place.Endpoint, out result) {
	copyHeader(q.w.Header(), out.res.Header)
	if out.rest == nil {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(out.body)))
	}
	q.w.WriteHeader(out.res.StatusCode)
	_, err := q.w.Write(out.body)
	if out.rest != nil {
		if err == nil {
			_, err = io.Copy(q.w, out.res.Body)
		}
		_ = out.rest.Close()
		if err != nil {
			q.log.Warn("answer-broken-off", zap.String("endpoint", e.ID), zap.Error(err))
			panic(http.ErrAbortHandler)
		}
	}
	took := q.relay.Clock.Now().Sub(q.began)
	q.relay.meter.first.RecordDuration(took)
	q.log.Info("request-answered", zap.Int("status", out.res.StatusCode), zap.String("route", q.route.Name),
		zap.String("endpoint", e.ID), zap.Int("sends", q.sends),
		zap.Duration("waited", q.waited), zap.Duration("took", took), zap.Error(err))
}
