package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/io/serve"
)

const (
	// answerLives is how many lives of the directory's answer some callers keep it for.
	answerLives = 3
	// drainMargin is added to that, for the way of the report to the directory.
	drainMargin = 300 * time.Millisecond
	// killMargin is how long before the kill the process ends by itself.
	killMargin = 300 * time.Millisecond
	// drainTick is the time between two looks whether all requests are answered.
	drainTick = 50 * time.Millisecond
)

// errDrained ends the run group after a planned stop.
var errDrained = eris.New("all requests are answered after a planned stop")

// drain runs a planned stop: callers are sent elsewhere at once, requests are accepted until no caller's answer of the
// directory names this relay any more, and the process ends when the last one is answered.
type drain struct {
	relay *Relay

	mu      sync.Mutex
	since   time.Time
	running int
}

func (d *drain) prepare(r *Relay) { d.relay = r }

func (d *drain) enter() {
	d.mu.Lock()
	d.running++
	d.mu.Unlock()
}

func (d *drain) leave() {
	d.mu.Lock()
	d.running--
	d.mu.Unlock()
}

func (d *drain) open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running
}

// begun reports whether a planned stop has begun.
func (d *drain) begun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero()
}

// window is the time for which requests are accepted after the signal.
func (d *drain) window() time.Duration {
	return min(answerLives*d.relay.AddressLife+drainMargin, d.relay.StopGrace/2)
}

// refuses reports whether new requests are refused by now. A stream lasts about as long as the whole stop and would be cut
// off; its caller starts it elsewhere at once.
func (d *drain) refuses(stream bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero() && (stream || d.relay.Clock.Now().Sub(d.since) > d.window())
}

// run waits for the signal and then for the last answer.
func (d *drain) run(stop context.Context) error {
	<-stop.Done()
	d.mu.Lock()
	d.since = d.relay.Clock.Now()
	running := d.running
	d.mu.Unlock()
	d.relay.Log.Info("stop-began", zap.Int("running", running))
	d.relay.feed.report()
	// The wait below is part of a stop and must not end with the context that began it.
	ctx := d.relay.ctx
	for serve.Pause(ctx, drainTick) {
		took := d.relay.Clock.Now().Sub(d.since)
		if took > d.window() && d.open() == 0 || took > d.relay.StopGrace-killMargin {
			break
		}
	}
	d.relay.Log.Info("stop-ended", zap.Int("running", d.open()), zap.Duration("took", d.relay.Clock.Now().Sub(d.since)))
	return errDrained
}
