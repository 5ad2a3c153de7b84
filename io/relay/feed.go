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
	"wasabiweir/core/poison"
	"wasabiweir/core/reach"
	"wasabiweir/core/state"
	"wasabiweir/io/build"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// confirmInterval is the time between two requests to the keeper to confirm that its configuration state is the
	// current one.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout is the time without a confirmation of the configuration state after which the relay switches to
	// another keeper.
	confirmTimeout = 1100 * time.Millisecond
	// confirmationLifetime is how long the relay reports its configuration state as up to date after a keeper
	// confirmed it.
	confirmationLifetime = 3 * time.Second
	// reportInterval is the time between two reports of the relay to the keeper if nothing changes.
	reportInterval = time.Second
	// maxListAge is the age of the platform's list of endpoints after which the relay stops waiting for a keeper to
	// send a newer one and reads it from the platform itself.
	maxListAge = 3 * time.Second
	// listCheckInterval is the time between two checks of the age of the list of endpoints.
	listCheckInterval = 500 * time.Millisecond
	// listReadTimeout bounds one read of the list of endpoints from the platform by the relay itself.
	listReadTimeout = 900 * time.Millisecond
	// maxInitialWait bounds how long a request waits after a start for the first configuration state and list of
	// endpoints. It is an eighth of a stream's usual latency objective; the keepers elect a leader within that time
	// even if all processes were killed together.
	maxInitialWait = 500 * time.Millisecond
	// maxFirstListWait is how long after a start the relay waits for a list of endpoints before it counts as ready
	// without one.
	maxFirstListWait = 3 * time.Second
)

// errNotConfirmed is returned when a keeper does not confirm its configuration state within confirmTimeout.
var errNotConfirmed = eris.New("the keeper did not confirm its state in time")

// keeperFeed receives configuration states and lists of endpoints from one keeper, the followed one, and applies them
// to the relay.
type keeperFeed struct {
	relay *Relay
	// name identifies this start of the relay to the keepers.
	name string
	// reportWake makes loopReport send the next report at once.
	reportWake chan struct{}

	mu sync.Mutex
	// keepers are the peer addresses of all keepers, as received last from any keeper that knows them.
	keepers []string
	// link is the connection to the followed keeper.
	link *wire.Link
	// otherKeepers holds the last message about keepers and relays from each keeper that is not followed.
	otherKeepers map[*wire.Link]wire.Keepers
	// confirmedAt is when a keeper last confirmed that its configuration state is the current one.
	confirmedAt time.Time
	listReadAt  time.Time // when the read of the current list started
	listContent uint64    // hash of the current endpoints and their states
	// lastSentMS is the time of the relay's last report to a keeper, in milliseconds since the start of the process.
	lastSentMS int64
	// version is the version of the configuration state that the relay uses.
	version atomic.Uint64
	// newest is the newest configuration state that was received and is not applied yet, or one without a state.
	newest wire.ConfigState
	// applyMu is held while a state is read and indexed, so that two copies of one are not at the same time.
	applyMu sync.Mutex
	// stateWake makes loopApply apply newest.
	stateWake chan struct{}
	// initialised is closed once the relay has a configuration state and a list of endpoints.
	initialised chan struct{}
	// initOnce guards the closing of initialised.
	initOnce sync.Once
}

// awaitInitialState waits until the relay has a configuration state and a list of endpoints, for at most
// maxInitialWait.
func (f *keeperFeed) awaitInitialState(ctx context.Context) {
	select {
	case <-f.initialised:
		return
	default:
	}
	t := time.NewTimer(maxInitialWait)
	defer t.Stop()
	select {
	case <-f.initialised:
	case <-t.C:
	case <-ctx.Done():
	}
}

// closeInitialisedWhenReady closes the initialised channel, which requests wait for, once a configuration state and a
// list of endpoints have arrived.
func (f *keeperFeed) closeInitialisedWhenReady() {
	f.mu.Lock()
	hasList := !f.listReadAt.IsZero()
	f.mu.Unlock()
	if hasList && f.relay.index.Load() != nil {
		f.initOnce.Do(func() {
			close(f.initialised)
			f.requestReport()
		})
	}
}

// initFeed initialises the feed from the keepers for a relay.
func (f *keeperFeed) initFeed(r *Relay) {
	f.relay = r
	// The name is random for each start, so that a clock that was set back can not make the reports of a restarted
	// relay look older than those before it.
	f.name = r.Name + "/" + strconv.FormatUint(rand.Uint64(), 36)
	f.reportWake = make(chan struct{}, 1)
	f.stateWake = make(chan struct{}, 1)
	f.initialised = make(chan struct{})
	f.otherKeepers = map[*wire.Link]wire.Keepers{}
}

// isEndpointListReady reports whether a list of endpoints has arrived or the wait for the first one is over.
func (f *keeperFeed) isEndpointListReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listReadAt.IsZero() || f.relay.uptime() > maxFirstListWait
}

// confirmState asks a keeper which configuration state a quorum holds now, and applies it. The first call on a link
// subscribes this relay to what the keeper sends.
func (f *keeperFeed) confirmState(ctx context.Context, l *wire.Link) error {
	u, err := f.requestState(ctx, l, wire.ConfigUpdateRequest{Revision: f.version.Load(), HasState: f.relay.index.Load() != nil})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.confirmedAt = f.relay.Clock.Now()
	f.mu.Unlock()
	return f.applyState(u)
}

// HandleFrame handles one frame from a keeper.
func (f *keeperFeed) HandleFrame(l *wire.Link, fr wire.Frame) {
	var err error
	switch fr.Kind {
	case wire.KindConfigState:
		var u wire.ConfigState
		if u, err = wire.Decode[wire.ConfigState](fr); err == nil {
			f.queueState(u)
		}
	case wire.KindEndpoints:
		var list place.EndpointList
		if list, err = wire.Decode[place.EndpointList](fr); err == nil {
			f.applyList(list)
		}
	case wire.KindKeepers:
		var k wire.Keepers
		if k, err = wire.Decode[wire.Keepers](fr); err == nil {
			f.handleKeepers(l, k)
		}
	case wire.KindCrashes:
		var list []poison.Crash
		if list, err = wire.Decode[[]poison.Crash](fr); err == nil {
			f.relay.crashes.Merge(list)
		}
	case wire.KindLimits:
		var list []place.LimitNotice
		if list, err = wire.Decode[[]place.LimitNotice](fr); err == nil {
			f.relay.mergeLimits(list)
		}
	}
	if err != nil {
		f.relay.Log.Warn("frame-rejected", zap.String("keeper", l.Name), zap.String("kind", string(fr.Kind)), zap.Error(err))
	}
}

// requestState sends the request to a keeper and returns its reply.
func (f *keeperFeed) requestState(ctx context.Context, l *wire.Link, req wire.ConfigUpdateRequest) (u wire.ConfigState, err error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := l.Call(ctx, wire.KindConfigUpdateRequest, "", req, &u); err != nil {
		if ctx.Err() != nil {
			return u, errNotConfirmed
		}
		return u, err
	}
	return u, nil
}

// queueState has loopApply apply a configuration state, unless it has received a newer one. Reading a large state takes
// longer than the time between two changes may be, and lists of endpoints on the same link must not wait for it.
func (f *keeperFeed) queueState(u wire.ConfigState) {
	f.mu.Lock()
	if u.HasState() && (!f.newest.HasState() || u.Version > f.newest.Version) {
		f.newest = u
	}
	f.mu.Unlock()
	select {
	case f.stateWake <- struct{}{}:
	default:
	}
}

// loopApply applies the newest of the configuration states that keepers have sent, until ctx ends.
func (f *keeperFeed) loopApply(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.stateWake:
		}
		f.applyNewest()
	}
}

// applyNewest applies the newest configuration state that was received. A panic costs that state and not the process.
func (f *keeperFeed) applyNewest() {
	defer f.relay.guard.Recover("apply-state")
	f.mu.Lock()
	u := f.newest
	f.newest = wire.ConfigState{}
	f.mu.Unlock()
	if err := f.applyState(u); err != nil {
		f.relay.Log.Warn("state-not-applied", zap.Uint64("version", u.Version), zap.Error(err))
	}
}

// applyState makes a configuration state the one that the relay uses, unless its version is not newer.
func (f *keeperFeed) applyState(u wire.ConfigState) error {
	if !u.HasState() {
		return nil
	}
	defer f.closeInitialisedWhenReady()
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if current := f.relay.index.Load(); current != nil && current.State.Version >= u.Version {
		// Decoding a large state takes longer than most requests.
		return nil
	}
	e := state.LogEntry{Version: u.Version, Document: u.Document, Compressed: u.Compressed}
	document, err := e.Text()
	if err != nil {
		return err
	}
	s, err := f.relay.Decode(document)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.relay.index.Load(); current != nil && current.State.Version >= s.Version {
		return nil
	}
	f.relay.index.Store(state.NewConfigIndex(s))
	f.version.Store(s.Version)
	f.relay.Log.Info("state-applied", zap.Uint64("version", s.Version), zap.Int("routes", len(s.Routes)),
		zap.Int("accounts", len(s.Accounts)))
	f.requestReport()
	return nil
}

// applyList makes a list of endpoints the one that the relay uses, unless the relay's was read from the platform
// later.
func (f *keeperFeed) applyList(list place.EndpointList) {
	readAt := f.relay.Clock.Now().Add(-list.Age)
	f.mu.Lock()
	same := !f.listReadAt.IsZero() && list.ContentHash == f.listContent
	// A list without endpoints refers to an earlier one with the same content; if that one is not the relay's current
	// list, another keeper sent it.
	newer := readAt.After(f.listReadAt) && (same || len(list.Endpoints) > 0)
	if newer {
		f.listReadAt, f.listContent = readAt, list.ContentHash
	}
	f.mu.Unlock()
	if !newer {
		return
	}
	if !same {
		f.relay.withTable(func(t *place.EndpointTable, now time.Time) { t.Update(list.Endpoints, now) })
	}
	f.relay.origins.observe(list.Endpoints, same)
	f.closeInitialisedWhenReady()
}

// hasListSince reports whether the read of the current list began at the given time or later, as far as its sender and this process have
// not stood still since.
func (f *keeperFeed) hasListSince(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.listReadAt.Before(since)
}

// handleKeepers stores a keeper's message with the addresses of keepers and relays. Only the followed keeper
// determines among which relays the endpoints are divided, because a keeper that is partitioned from the others does
// not know most relays.
func (f *keeperFeed) handleKeepers(l *wire.Link, k wire.Keepers) {
	f.mu.Lock()
	// A keeper that has not opened its store knows no keepers.
	if len(k.Addresses) > 0 {
		f.keepers = k.Addresses
	}
	isFollowed := f.link == nil || f.link == l
	if !isFollowed {
		f.otherKeepers[l] = k
	}
	f.mu.Unlock()
	if isFollowed {
		f.updateRelayIndex(k)
	}
}

// updateRelayIndex tells the table of endpoints how many relays there are and the position of this relay among them,
// which determines the endpoints that it prefers and its turns at endpoints with a limit.
func (f *keeperFeed) updateRelayIndex(k wire.Keepers) {
	serving := slices.Concat(k.Relays, k.Draining)
	slices.Sort(serving)
	serving = slices.Compact(serving)
	f.relay.mu.Lock()
	f.relay.retryRelays.Set(len(serving), f.relay.uptime())
	f.relay.relayCount, f.relay.relayIndex = len(k.Relays), slices.Index(k.Relays, f.relay.CallerAddress)
	f.relay.table.SetRelayIndex(f.relay.relayIndex, f.relay.relayCount)
	f.relay.table.SetTurns(slices.Index(serving, f.relay.CallerAddress), len(serving), f.relay.Clock.Now())
	f.relay.mu.Unlock()
	carriers := slices.DeleteFunc(slices.Clone(k.Carriers), func(c reach.Carrier) bool { return c.Address == f.relay.PeerAddress })
	for _, address := range k.Addresses {
		carriers = append(carriers, reach.Carrier{Address: address, Reserve: true})
	}
	f.relay.pool.dialer.SetCarriers(carriers)
	f.relay.Log.Info("keepers-updated", zap.Strings("keepers", k.Addresses), zap.Int("relays", len(k.Relays)), zap.Int("carriers", len(carriers)),
		zap.Int("draining", len(k.Draining)), zap.Int("turn-index", slices.Index(serving, f.relay.CallerAddress)))
}

// requestReport makes loopReport send the next report at once.
func (f *keeperFeed) requestReport() {
	select {
	case f.reportWake <- struct{}{}:
	default:
	}
}

// loopReport sends the relay's reports to the followed keeper until ctx ends.
func (f *keeperFeed) loopReport(ctx context.Context) error {
	for {
		t := time.NewTimer(reportInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-f.reportWake:
			t.Stop()
		case <-t.C:
		}
		f.sendReport()
	}
}

// sendReport sends the relay's readiness and configuration version to the followed keeper.
func (f *keeperFeed) sendReport() {
	ready, uses := f.relay.Ready(), f.relay.retryUses()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link == nil {
		return
	}
	// Reports are ordered by this time, so two within one millisecond must differ.
	f.lastSentMS = max(f.lastSentMS+1, f.relay.uptime().Milliseconds())
	r := wire.Report{
		Name: f.name, Address: f.relay.CallerAddress, PeerAddress: f.relay.PeerAddress, CutOff: f.relay.pool.dialer.IsCutOff(), Domain: f.relay.Domain, Revision: f.version.Load(), SentMS: f.lastSentMS,
		Fresh: ready && f.relay.Clock.Now().Sub(f.confirmedAt) < confirmationLifetime, Draining: !ready,
		InFlight: f.relay.drain.inFlightCount(), AsksRetries: true, RetryUses: uses, Build: build.Current().Name(),
	}
	if err := f.link.Post(wire.KindReport, "", r); err != nil {
		f.relay.Log.Debug("report-lost", zap.String("keeper", f.link.Name), zap.Error(err))
	}
}

// sendCrashes sends crashes of engines to the followed keeper, which passes them on.
func (f *keeperFeed) sendCrashes(list []poison.Crash) { f.postNews(wire.KindCrashes, list) }

// sendLimits sends limits of endpoints to the followed keeper, which passes them on.
func (f *keeperFeed) sendLimits(list []place.LimitNotice) {
	if len(list) > 0 {
		f.postNews(wire.KindLimits, list)
	}
}

// postNews sends what this relay has learnt to the followed keeper. It is lost if there is none; the next followed keeper
// is sent everything.
func (f *keeperFeed) postNews(kind wire.Kind, news any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link == nil {
		return
	}
	if err := f.link.Post(kind, "", news); err != nil {
		f.relay.Log.Debug("news-lost", zap.String("keeper", f.link.Name), zap.String("kind", string(kind)), zap.Error(err))
	}
}

// loopList reads the list of endpoints from the platform itself while no keeper sends it, until ctx ends.
func (f *keeperFeed) loopList(ctx context.Context) error {
	for serve.Sleep(ctx, listCheckInterval) {
		f.mu.Lock()
		age := f.relay.Clock.Now().Sub(f.listReadAt)
		f.mu.Unlock()
		if age < maxListAge || f.relay.uptime() < maxListAge {
			continue
		}
		f.readList(ctx, "no keeper sends it")
	}
	return ctx.Err()
}

// readList reads the list of endpoints from the platform, for the reason, and applies it.
func (f *keeperFeed) readList(ctx context.Context, reason string) {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	start := f.relay.Clock.Now()
	endpoints, err := f.relay.EndpointLister.Read(ctx)
	if err != nil {
		failure := serve.FailureReason(err)
		f.relay.meter.countReason("list-failures", failure)
		f.relay.Log.Warn("list-not-read", zap.String("reason", failure), zap.Error(err))
		return
	}
	f.relay.Log.Info("list-read", zap.Int("endpoints", len(endpoints)), zap.String("reason", reason))
	f.applyList(place.NewList(endpoints, f.relay.Clock.Now().Sub(start)))
	f.relay.origins.confirm(endpoints, start)
}
