package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/serve"
)

const (
	// copyTick is the time between two looks whether the holder of a copy lives.
	copyTick = 100 * time.Millisecond
	// copyInterval is the time between two copies that were asked for; an engine reads what is missing in a tenth of it.
	copyInterval = time.Second
	// copyTimeout bounds a copy; 5,000 tokens take a few milliseconds, and moves queue behind each other.
	copyTimeout = 500 * time.Millisecond
)

// backup is where a copy of a run's memory is.
type backup struct {
	holder place.Endpoint
	// from is how the holder is told to go on from the copy.
	from string
	// name is the copy's name at its source if it was asked for.
	name string
	any  bool
}

// copies knows the copy of a generation's run; the stream and its guard use it.
type copies struct {
	mu  sync.Mutex
	now backup
}

func (c *copies) set(b backup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = b
}

func (c *copies) get() backup {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// guard keeps a copy of a run somewhere else: engines send copies to the holder that the request named, and when that
// one is lost, the engine is asked to copy to another one.
type guard struct {
	gen *generation
	leg leg
	// asked is the holder of the copy that was asked for.
	asked backup
}

// run watches the holder until the leg ends.
func (k *guard) run(ctx context.Context) {
	defer k.end()
	next := time.Time{}
	for serve.Pause(ctx, copyTick) {
		now := k.gen.relay.Clock.Now()
		if now.Before(next) || k.safe() {
			continue
		}
		if !k.copy(ctx) {
			return
		}
		next = now.Add(copyInterval)
	}
}

// safe reports whether the engine still sends copies to a holder that lives.
func (k *guard) safe() bool {
	if k.asked.any || !k.leg.held {
		return false
	}
	return k.gen.relay.lives(k.leg.holder.ID)
}

// copy asks for a copy on another engine; it reports whether to go on.
func (k *guard) copy(ctx context.Context) bool {
	g := k.gen
	if !k.asked.any || !g.relay.lives(k.asked.holder.ID) {
		k.release()
		g.relay.placed(func(t *place.Table, now time.Time) {
			k.asked.holder, k.asked.any = t.Holder(k.leg.endpoint, "", now)
			if k.asked.any {
				t.Copied(k.asked.holder.ID, 1)
			}
		})
	}
	if !k.asked.any {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	name, err := g.relay.Engines.Copy(ctx, k.leg.endpoint.Address, g.id, k.asked.holder.Address)
	if err != nil {
		g.log.Info("copy-not-made", zap.String("from", k.leg.endpoint.ID), zap.String("to", k.asked.holder.ID), zap.Error(err))
		k.release()
		return !errors.Is(err, ErrNoRun)
	}
	if k.asked.from == "" {
		g.log.Info("copy-made", zap.String("from", k.leg.endpoint.ID), zap.String("to", k.asked.holder.ID))
	}
	k.asked.name = name
	k.asked.from = g.relay.Names.CopyOf(k.leg.endpoint.Address, name)
	g.copies.set(k.asked)
	return true
}

// release takes the copy that was asked for off the table.
func (k *guard) release() {
	if !k.asked.any {
		return
	}
	k.gen.relay.placed(func(t *place.Table, _ time.Time) { t.Copied(k.asked.holder.ID, -1) })
	k.asked = backup{}
}

// end frees the copy that was asked for, unless the stream goes on from it.
func (k *guard) end() {
	name := k.asked.name
	k.release()
	if name == "" || !k.gen.over.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(k.gen.relay.ctx, copyTimeout)
	defer cancel()
	if err := k.gen.relay.Engines.Drop(ctx, k.leg.endpoint.Address, name); err != nil {
		k.gen.log.Debug("copy-not-freed", zap.String("from", k.leg.endpoint.ID), zap.Error(err))
	}
}

// lives reports whether an endpoint is not known to be down.
func (r *Relay) lives(id string) (ok bool) {
	r.placed(func(t *place.Table, now time.Time) { ok = t.Lives(id, now) })
	return ok
}
