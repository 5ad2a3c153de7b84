package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/state"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// proofInterval is the time between two questions to the keeper for the state in force.
	proofInterval = 500 * time.Millisecond
	// proofTimeout is the time without a confirmed answer after which the relay moves to another keeper.
	proofTimeout = 1100 * time.Millisecond
	// freshFor is how long a confirmation counts in the relay's reports.
	freshFor = 3 * time.Second
	// reportInterval is the time between two reports without news.
	reportInterval = time.Second
	// ownListAge is the age of the list after which the relay reads the platform's list itself.
	ownListAge = 3 * time.Second
	// listTick is the time between two looks at the list's age.
	listTick = 500 * time.Millisecond
	// ownListTimeout bounds one reading by the relay itself.
	ownListTimeout = 900 * time.Millisecond
	// startHold bounds how long a request waits for the first state and list after a start: an eighth of the usual objective
	// of a stream, within which the keepers have a leader even if all processes were killed together.
	startHold = 500 * time.Millisecond
	// firstListWait is how long a list may be missing before the relay counts as ready without one.
	firstListWait = 3 * time.Second
)

var errStale = eris.New("the keeper has not confirmed its state in time")

// feed follows one keeper and applies what it sends.
type feed struct {
	relay *Relay
	name  string
	wake  chan struct{}

	mu      sync.Mutex
	keepers []string
	// link is the link to the keeper that is followed.
	link *wire.Link
	// others is what keepers that are not followed have last said of keepers and relays.
	others    map[*wire.Link]wire.Keepers
	confirmed time.Time
	listed    time.Time // when the reading of the present list began
	content   uint64    // what identifies its endpoints
	sent      int64
	version   atomic.Uint64
	// begun is closed once the relay has a state and a list.
	begun chan struct{}
	once  sync.Once
}

// awaitStart waits until the relay has a state and a list, for startHold at the most.
func (f *feed) awaitStart(ctx context.Context) {
	select {
	case <-f.begun:
		return
	default:
	}
	t := time.NewTimer(startHold)
	defer t.Stop()
	select {
	case <-f.begun:
	case <-t.C:
	case <-ctx.Done():
	}
}

// checkBegun ends the wait of awaitStart once both have arrived.
func (f *feed) checkBegun() {
	f.mu.Lock()
	listed := !f.listed.IsZero()
	f.mu.Unlock()
	if listed && f.relay.index.Load() != nil {
		f.once.Do(func() {
			close(f.begun)
			f.soon()
		})
	}
}

func (f *feed) prepare(r *Relay) {
	f.relay = r
	// Each start is another relay to the keepers, so that no step of the clock makes a new one look old.
	f.name = r.Name + "/" + strconv.FormatUint(rand.Uint64(), 36)
	f.wake = make(chan struct{}, 1)
	f.begun = make(chan struct{})
	f.others = map[*wire.Link]wire.Keepers{}
}

// known reports whether a list of endpoints has arrived.
func (f *feed) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listed.IsZero() || f.relay.since() > firstListWait
}

// confirm asks the keeper which state a quorum holds now.
func (f *feed) confirm(ctx context.Context, l *wire.Link) error {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	var u wire.State
	if err := l.Call(ctx, wire.KindPosition, "", wire.Position{Revision: f.version.Load()}, &u); err != nil {
		if ctx.Err() != nil {
			return errStale
		}
		return err
	}
	f.mu.Lock()
	f.confirmed = f.relay.Clock.Now()
	f.mu.Unlock()
	return f.apply(u)
}

// HandleFrame handles one frame from the keeper.
func (f *feed) HandleFrame(l *wire.Link, fr wire.Frame) {
	var err error
	switch fr.Kind {
	case wire.KindState:
		var u wire.State
		if u, err = wire.Decode[wire.State](fr); err == nil {
			err = f.apply(u)
		}
	case wire.KindEndpoints:
		var list place.List
		if list, err = wire.Decode[place.List](fr); err == nil {
			f.take(list)
		}
	case wire.KindKeepers:
		var k wire.Keepers
		if k, err = wire.Decode[wire.Keepers](fr); err == nil {
			f.learn(l, k)
		}
	}
	if err != nil {
		f.relay.Log.Warn("frame-refused", zap.String("keeper", l.Name), zap.String("kind", string(fr.Kind)), zap.Error(err))
	}
}

// apply puts a state in force unless a later one is.
func (f *feed) apply(u wire.State) error {
	if len(u.Document) == 0 {
		return nil
	}
	defer f.checkBegun()
	s, err := f.relay.Decode(u.Document)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.relay.index.Load(); held != nil && held.State.Version >= s.Version {
		return nil
	}
	f.relay.index.Store(state.NewIndex(s))
	f.version.Store(s.Version)
	f.relay.Log.Info("state-in-force", zap.Uint64("version", s.Version), zap.Int("routes", len(s.Routes)),
		zap.Int("accounts", len(s.Accounts)))
	f.soon()
	return nil
}

// take puts a list of endpoints in force unless a later reading is.
func (f *feed) take(list place.List) {
	began := f.relay.Clock.Now().Add(-list.Age)
	f.mu.Lock()
	same := !f.listed.IsZero() && list.Content == f.content
	// A list without endpoints that is not the present one belongs to another keeper's feed.
	newer := began.After(f.listed) && (same || len(list.Endpoints) > 0)
	if newer {
		f.listed, f.content = began, list.Content
	}
	f.mu.Unlock()
	if !newer || same {
		return
	}
	f.relay.placed(func(t *place.Table, _ time.Time) { t.Update(list.Endpoints) })
	f.checkBegun()
}

// learn takes what a keeper says of the others. Only the one that is followed tells which relays share the endpoints; one
// that is cut off from the others misses most of them.
func (f *feed) learn(l *wire.Link, k wire.Keepers) {
	f.mu.Lock()
	f.keepers = k.Addresses
	follows := f.link == nil || f.link == l
	if !follows {
		f.others[l] = k
	}
	f.mu.Unlock()
	if follows {
		f.divide(k)
	}
}

func (f *feed) divide(k wire.Keepers) {
	f.relay.mu.Lock()
	f.relay.relays = len(k.Relays)
	f.relay.table.Divide(slices.Index(k.Relays, f.relay.Front), len(k.Relays))
	f.relay.mu.Unlock()
	f.relay.Log.Info("keepers-known", zap.Strings("keepers", k.Addresses), zap.Int("relays", len(k.Relays)))
}

// soon makes the next report leave at once.
func (f *feed) soon() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// loopReport reports to the keeper.
func (f *feed) loopReport(ctx context.Context) error {
	for {
		t := time.NewTimer(reportInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-f.wake:
			t.Stop()
		case <-t.C:
		}
		f.report()
	}
}

func (f *feed) report() {
	ready := f.relay.Ready()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link == nil {
		return
	}
	// Two reports of one millisecond must differ, too.
	f.sent = max(f.sent+1, f.relay.since().Milliseconds())
	r := wire.Report{
		Name: f.name, Address: f.relay.Front, Domain: f.relay.Domain, Revision: f.version.Load(), SentMS: f.sent,
		Fresh: ready && f.relay.Clock.Now().Sub(f.confirmed) < freshFor, Draining: !ready,
		InFlight: f.relay.drain.open(),
	}
	if err := f.link.Post(wire.KindReport, "", r); err != nil {
		f.relay.Log.Debug("report-lost", zap.String("keeper", f.link.Name), zap.Error(err))
	}
}

// loopList reads the platform's list itself while no keeper sends it.
func (f *feed) loopList(ctx context.Context) error {
	for serve.Pause(ctx, listTick) {
		f.mu.Lock()
		age := f.relay.Clock.Now().Sub(f.listed)
		f.mu.Unlock()
		if age < ownListAge || f.relay.since() < ownListAge {
			continue
		}
		f.readList(ctx)
	}
	return ctx.Err()
}

func (f *feed) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownListTimeout)
	defer cancel()
	began := f.relay.Clock.Now()
	endpoints, err := f.relay.List.Read(ctx)
	if err != nil {
		f.relay.Log.Warn("list-not-read", zap.Error(err))
		return
	}
	f.relay.Log.Info("list-read", zap.Int("endpoints", len(endpoints)), zap.String("reason", "no keeper sends it"))
	f.take(place.NewList(endpoints, f.relay.Clock.Now().Sub(began)))
}
