package relay

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

const (
	// lossCheckReuse is the time before the loss of a response in which a check of the endpoint may have started and still
	// counts for it. The requests on an endpoint that ends notice it within this time.
	lossCheckReuse = 20 * time.Millisecond
	// lossCheckWait bounds how long a request waits for the check of the endpoint that it may have crashed before it is sent to a
	// third one.
	lossCheckWait = 100 * time.Millisecond
	// checkTimeout bounds the connection of a check.
	checkTimeout = 400 * time.Millisecond
)

// lossChecker finds out by new connections whether endpoints of plain services, which have no liveness requests, are lost or
// just a response was.
type lossChecker struct {
	relay *Relay

	mu sync.Mutex
	// checks holds the latest check of each endpoint by its id.
	checks map[string]*lossCheck
}

// lossCheck is one check of an endpoint. Its result is valid once done is closed.
type lossCheck struct {
	startedAt time.Time
	done      chan struct{}
	// lost is true if the endpoint accepts no connection, or closed the new one at once.
	lost bool
	// refused is true if its host responds, but the endpoint does not listen.
	refused bool
}

// initLossChecker initialises the checks of endpoints for a relay.
func (l *lossChecker) initLossChecker(r *Relay) {
	l.relay = r
	l.checks = map[string]*lossCheck{}
}

// check returns the endpoint's latest check if it started at the given time or shortly before, and starts a new one otherwise.
func (l *lossChecker) check(e place.Endpoint, since time.Time) *lossCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.relay.Clock.Now()
	if c := l.checks[e.ID]; c != nil && !c.startedAt.Before(since.Add(-lossCheckReuse)) {
		return c
	}
	for id, old := range l.checks {
		if now.Sub(old.startedAt) > probeLifetime {
			delete(l.checks, id)
		}
	}
	c := &lossCheck{startedAt: now, done: make(chan struct{})}
	l.checks[e.ID] = c
	go l.run(c, e)
	return c
}

// run dials the endpoint, and looks at the connection again after a moment, since an endpoint that ends may still accept
// one. A connection that stays open is kept for the next request.
func (l *lossChecker) run(c *lossCheck, e place.Endpoint) {
	defer l.relay.guard.Recover("loss-check")
	defer close(c.done)
	ctx, cancel := context.WithTimeout(l.relay.ctx, checkTimeout)
	defer cancel()
	conn, err := l.relay.pool.dialEndpoint(ctx, e)
	if err != nil {
		c.lost = l.relay.ctx.Err() == nil && !errors.Is(err, tunnel.ErrCutOff)
		c.refused = c.lost && errors.Is(err, syscall.ECONNREFUSED)
	} else {
		serve.Sleep(ctx, lossRecheckDelay)
		if c.lost = !conn.isReusable(); c.lost {
			_ = conn.Close()
		} else {
			l.relay.pool.putIdle(conn)
		}
	}
	l.relay.meter.countReason("endpoint-checks", aliveLabel(!c.lost))
	if c.lost {
		l.relay.Log.Info("endpoint-lost", zap.String("endpoint", e.ID), zap.String("domain", e.Domain), zap.Bool("refused", c.refused), zap.Error(err))
	}
}

// crashCheck records the loss of an endpoint of a plain service, noticed by a request, if the endpoint is lost.
type crashCheck struct {
	relay    *Relay
	endpoint place.Endpoint
	crash    poison.Crash
	// sent is when the request was sent, and at when its response was lost.
	sent, at time.Time
	// silent is true if the endpoint sent nothing in time. Then it counts only if it does not listen any more: a host that does
	// not respond may be cut off.
	silent bool
	done   chan struct{}
}

// run waits for the check of the endpoint, which does not delay the response to the caller.
func (c *crashCheck) run() {
	defer c.relay.guard.Recover("crash-check")
	defer close(c.done)
	check := c.relay.losses.check(c.endpoint, c.at)
	<-check.done
	if check.refused || check.lost && !c.silent {
		c.relay.crashes.RecordLoss(c.crash, c.sent, c.at)
	}
}
