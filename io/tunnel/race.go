package tunnel

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/reach"
)

// race opens one connection to an endpoint in several ways, each of which begins when those before have failed or take long, and keeps
// the first that succeeds.
type race struct {
	dialer           *Dialer
	network, address string
	plan             reach.Plan
	cancel           context.CancelFunc
	// out receives each finished attempt.
	out chan *attempt
	// pending is the number of attempts that have not finished; a direct one goes on after the race to show whether the endpoint is out
	// of reach.
	pending int
	// asked is the number of carriers that have not answered.
	asked int
	// isQueued is true while the next carrier is not asked since too many are being asked, and late once it is too late to wait for that.
	isQueued, late bool
	// directStarted is true once the endpoint is dialled directly.
	directStarted bool
	// directErr is the error of the direct connection, and err that of the latest attempt.
	directErr, err error
	// down counts the carriers that found the endpoint down, and unsure those that could not tell.
	down, unsure int
}

// attempt is one attempt of a race; carrier is empty for a direct connection.
type attempt struct {
	race    *race
	carrier string
	conn    net.Conn
	err     error
	result  reach.Result
	// answer is what came of asking the carrier.
	answer reach.Answer
}

// run runs the race and returns the connection.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	r.startNext(ctx)
	if r.plan.Probe {
		r.startDirect(ctx)
	}
	t := time.NewTimer(carrierDelay)
	defer t.Stop()
	giveUp := time.NewTimer(dialTimeout)
	defer giveUp.Stop()
	for r.pending > 0 || r.mustAsk() {
		select {
		case <-ctx.Done():
			r.leave()
			return nil, ctx.Err() //nolint:wrapcheck // callers compare it with the errors of contexts
		case <-giveUp.C:
			r.late = true
		case r.freeSlot() <- struct{}{}:
			r.askNext(ctx)
			t.Reset(carrierDelay)
		case <-t.C:
			r.startNext(ctx)
			t.Reset(carrierDelay)
		case a := <-r.out:
			r.pending--
			if a.err == nil {
				r.leave()
				return a.conn, nil
			}
			r.recordFailure(a)
			if r.isDecided() || ctx.Err() != nil {
				r.leave()
				return nil, r.failure()
			}
			r.startNext(ctx)
			t.Reset(carrierDelay)
		}
	}
	r.cancel()
	return nil, r.failure()
}

// mustAsk reports whether the only ways left are carriers that were not asked since too many are being asked, and one may still be.
func (r *race) mustAsk() bool { return r.plan.CarriedOnly && r.isQueued && !r.late }

// freeSlot returns the channel that takes an element once another carrier may be asked, or nil if the race waits for none.
func (r *race) freeSlot() chan<- struct{} {
	if r.isQueued && r.hasNextCarrier() {
		return r.dialer.asked
	}
	return nil
}

// hasNextCarrier reports whether there is a carrier to ask now.
func (r *race) hasNextCarrier() bool {
	return len(r.plan.Carriers) > 0 || len(r.plan.Reserves) > 0 && r.asked == 0
}

// recordFailure keeps the error of an attempt.
func (r *race) recordFailure(a *attempt) {
	r.err = a.err
	if a.carrier == "" {
		r.directErr = a.err
		return
	}
	r.asked--
	switch {
	case a.result == reach.Refused || a.result == reach.Silent:
		r.down++
	case a.answer == reach.Unsure:
		r.unsure++
	}
}

// isDecided reports whether the endpoint is down: two carriers do not reach it. A single one may be cut off itself, with this process,
// without knowing it yet.
func (r *race) isDecided() bool { return r.down >= 2 }

// failure returns the error of a race in which no attempt succeeded.
func (r *race) failure() error {
	if r.isDecided() {
		r.dialer.recordDown(r.address)
	}
	err := r.directErr
	if err == nil {
		err = r.err
	}
	cutOff := r.dialer.IsCutOff()
	switch {
	case err == nil:
		// Too many carriers are being asked.
		return ErrNoCarrier
	case r.down > 0 || !r.plan.CarriedOnly && !cutOff:
		return err
	case r.unsure > 0 || !cutOff:
		// If the verdict on the cut has lapsed, the error is that of a carrier, and other endpoints may be within reach.
		return fmt.Errorf("%w: %w", ErrCutOff, err)
	}
	return fmt.Errorf("%w: %w", ErrNoCarrier, err)
}

// startNext starts the next attempt, if there is one.
func (r *race) startNext(ctx context.Context) {
	switch {
	case !r.plan.CarriedFirst && !r.directStarted:
		r.startDirect(ctx)
	case r.hasNextCarrier() && r.takeSlot():
		r.askNext(ctx)
	case !r.directStarted && !r.plan.CarriedOnly:
		r.startDirect(ctx)
	}
}

// takeSlot reports whether another carrier may be asked. If too many are being asked, the race waits for its turn.
func (r *race) takeSlot() bool {
	select {
	case r.dialer.asked <- struct{}{}:
		return true
	default:
	}
	if !r.isQueued {
		r.isQueued = true
		r.dialer.count("not-asked")
	}
	return false
}

// askNext asks the next carrier for the connection; a slot was taken for it.
func (r *race) askNext(ctx context.Context) {
	r.isQueued = false
	list := &r.plan.Carriers
	if len(*list) == 0 {
		list = &r.plan.Reserves
	}
	carrier := (*list)[0]
	*list = (*list)[1:]
	r.pending++
	r.asked++
	go (&attempt{race: r, carrier: carrier}).run(ctx)
}

// startDirect dials the endpoint directly.
func (r *race) startDirect(ctx context.Context) {
	if r.directStarted {
		return
	}
	r.directStarted = true
	r.pending++
	go (&attempt{race: r}).run(ctx)
}

// leave closes the connections of the attempts that are still pending as they finish. A direct one is not interrupted, since its result
// shows whether the endpoint is out of reach.
func (r *race) leave() {
	if r.pending == 0 {
		r.cancel()
		return
	}
	go (&lateAttemptCloser{race: r}).run()
}

// lateAttemptCloser waits for the attempts that are pending at the end of a race.
type lateAttemptCloser struct{ race *race }

// run closes the connections of the attempts.
func (l *lateAttemptCloser) run() {
	defer l.race.cancel()
	for ; l.race.pending > 0; l.race.pending-- {
		if a := <-l.race.out; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}

// run makes the attempt, records its result and sends it to the race.
func (a *attempt) run(ctx context.Context) {
	d := a.race.dialer
	if a.carrier == "" {
		// The result is worth knowing even if the request has ended.
		a.conn, a.err = d.dialDirect(context.WithoutCancel(ctx), a.race.network, a.race.address, dialTimeout)
		a.result = resultOf(context.Background(), a.err)
		d.recordDirect(a.race.address, a.result)
	} else {
		a.dialCarrier(ctx)
	}
	a.race.out <- a
}

// dialCarrier asks the carrier for a connection.
func (a *attempt) dialCarrier(outer context.Context) {
	d := a.race.dialer
	ctx, cancel := context.WithTimeout(outer, carrierTimeout)
	defer cancel()
	defer func() { <-d.asked }()
	a.conn, a.result, a.answer, a.err = d.dialThrough(ctx, a.carrier, a.race.address)
	if outer.Err() != nil && a.err != nil {
		// The request has ended, by its deadline or otherwise, which shows nothing about the carrier.
		return
	}
	d.record(a.race.address, func(t *reach.Table, now time.Time) bool {
		t.RecordCarrier(a.carrier, a.answer, now)
		return t.RecordCarried(a.race.address, a.result, now)
	})
	d.count(resultLabel(a.result))
	if a.err == nil {
		d.Log.Debug("connection-carried", zap.String("address", a.race.address), zap.String("carrier", a.carrier))
		return
	}
	d.Log.Debug("connection-not-carried", zap.String("address", a.race.address), zap.String("carrier", a.carrier), zap.Error(a.err))
}
