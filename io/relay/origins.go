package relay

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/origin"
	"wasabiweir/core/place"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// originTimeout bounds the time in which a keeper is asked for the origin of a stream, including the wait for a connection to one.
	// If the stream would be refused otherwise, it is maxOriginTimeout, within which keepers that were all killed are back.
	originTimeout    = 300 * time.Millisecond
	maxOriginTimeout = 2 * time.Second
	// keeperPollInterval is the time between two attempts to ask a keeper, and spareDialInterval between two dials of one that this
	// relay does not follow.
	keeperPollInterval = 10 * time.Millisecond
	spareDialInterval  = 50 * time.Millisecond
	// confirmListInterval is the least time between the beginnings of two reads of the list of endpoints for streams that are taken up: the
	// platform limits the rate of reads of all processes together.
	confirmListInterval = 200 * time.Millisecond
	// keeperConfirmTimeout bounds the time in which a keeper confirms the versions, which takes about ten milliseconds; after it, the relay
	// reads the list itself.
	keeperConfirmTimeout = 100 * time.Millisecond
	// oldListAge is how much older than the caller's arrival a list may be that shows which endpoints of a known version there are.
	oldListAge = time.Second
	// minConfirmTimeout is the time that there is at least to read the list of endpoints: the pause after another read, and a read.
	minConfirmTimeout = confirmListInterval + originTimeout
)

// streamOrigins knows at which software versions streams began that this relay has forwarded, and finds out the origins of others when
// their callers take them up.
type streamOrigins struct {
	relay *Relay

	mu       sync.Mutex
	table    origin.Table
	versions origin.Versions
	// spare is a link to a keeper that is not followed, which answers questions while no followed one does: keepers need no quorum
	// for that. spareMu guards it and is held during a dial, and spareTriedAt is the time of the last one.
	spareMu      sync.Mutex
	spare        *keeperLink
	spareTriedAt time.Time
	// listTurn holds a token while versions are confirmed or the list of endpoints is read for streams that are taken up, which share the
	// result; its holder guards listTriedAt, the time of the last read.
	listTurn    chan struct{}
	listTriedAt time.Time
}

// initOrigins initialises the origins of a relay, which knows none yet.
func (o *streamOrigins) initOrigins(r *Relay) {
	o.relay = r
	o.listTurn = make(chan struct{}, 1)
}

// observe records a list of endpoints that replaces the one before, or that another one with the same content has arrived.
func (o *streamOrigins) observe(endpoints []place.Endpoint, same bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if same {
		o.versions.Reaffirm(o.relay.Clock.Now())
		return
	}
	o.versions.Observe(endpoints, o.relay.Clock.Now())
}

// confirm records a list of endpoints that this relay has read itself, beginning at readAt.
func (o *streamOrigins) confirm(endpoints []place.Endpoint, readAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Confirm(endpoints, readAt, o.relay.Clock.Now())
}

// isConfirmed reports whether the versions are known to be those at the given time or later.
func (o *streamOrigins) isConfirmed(since time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.IsConfirmed(since)
}

// confirmVersions asks until the versions are known to be those at the given time or later, or ctx ends, and reports whether they are. A list
// that a keeper has sent unasked does not show that: this relay or the keeper may have stood still or been cut off since it was read.
func (o *streamOrigins) confirmVersions(ctx context.Context, since time.Time) bool {
	for !o.tryConfirmVersions(ctx, since) {
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// tryConfirmVersions does the same and asks once: a keeper, or the platform if none confirms.
func (o *streamOrigins) tryConfirmVersions(ctx context.Context, since time.Time) bool {
	select {
	case o.listTurn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-o.listTurn }()
	return o.isConfirmed(since) || o.confirmByKeeper(ctx) || o.readList(ctx, since)
}

// confirmByKeeper asks the followed keeper whether a quorum confirms the versions that it knows; no quorum has confirmed another one.
func (o *streamOrigins) confirmByKeeper(ctx context.Context) bool {
	l := o.relay.feed.followedLink()
	if l == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, keeperConfirmTimeout)
	defer cancel()
	askedAt := o.relay.Clock.Now()
	var reply wire.OriginReply
	if err := l.Call(ctx, wire.KindFindOrigin, "", wire.OriginRequest{Confirm: true}, &reply); err != nil {
		o.relay.Log.Info("versions-not-confirmed", zap.String("keeper", l.Name), zap.Error(err))
		return false
	}
	o.mergeReply(reply, askedAt)
	return reply.Confirmed
}

// mergeReply records which versions a keeper knows that was asked at the given time.
func (o *streamOrigins) mergeReply(reply wire.OriginReply, askedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Merge(reply.Versions, o.relay.Clock.Now())
	if reply.Complete {
		o.versions.MarkComplete(askedAt)
	}
	if reply.Confirmed {
		o.versions.MarkConfirmed(askedAt)
	}
}

// readList reads the list of endpoints if the last time was long enough ago, and reports whether it was read since the given time. The caller
// must hold the token of listTurn.
func (o *streamOrigins) readList(ctx context.Context, since time.Time) bool {
	if wait := confirmListInterval - o.relay.Clock.Now().Sub(o.listTriedAt); wait > 0 && !serve.Sleep(ctx, wait) {
		return false
	}
	o.listTriedAt = o.relay.Clock.Now()
	o.relay.feed.readList(ctx, "a stream is taken up")
	return o.isConfirmed(since)
}

// renewList reads the list of endpoints unless the current one was read since the given time, by its age as the sender has told it. It reports
// whether there is such a list.
func (o *streamOrigins) renewList(ctx context.Context, since time.Time) bool {
	for !o.relay.feed.hasListSince(since) {
		select {
		case o.listTurn <- struct{}{}:
		case <-ctx.Done():
			return false
		}
		if !o.relay.feed.hasListSince(since) {
			o.readList(ctx, since)
		}
		<-o.listTurn
	}
	return true
}

// record records where a stream began and tells the followed keeper, which passes it on.
func (o *streamOrigins) record(list []origin.Record) {
	o.mu.Lock()
	news := o.table.Add(list, o.relay.Clock.Now())
	o.mu.Unlock()
	if len(news) > 0 {
		o.relay.feed.postNews(wire.KindOrigins, wire.Origins{Records: news})
	}
}

// sendAll tells a keeper that this relay has not followed until now everything that it knows, since the keepers may have restarted.
func (o *streamOrigins) sendAll() {
	o.mu.Lock()
	now := o.relay.Clock.Now()
	all := wire.Origins{Records: o.table.All(now), Versions: o.versions.All(now), Complete: o.versions.IsComplete(now)}
	o.mu.Unlock()
	if len(all.Records)+len(all.Versions) > 0 {
		o.relay.feed.postNews(wire.KindOrigins, all)
	}
}

// mayBeSeveral reports whether several versions of the service are listed or were lately, or may have been for all that this relay knows.
func (o *streamOrigins) mayBeSeveral(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.MayBeSeveral(service, o.relay.Clock.Now())
}

// onlyVersion returns the only version of the service that is listed or was lately, or false if there may be several or no list was read
// since the given time, at which a caller came.
func (o *streamOrigins) onlyVersion(service string, since time.Time) (version string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Only(service, since, o.relay.Clock.Now())
}

// mayBeSeveralAnywhere reports whether several versions of any service are listed or were lately, or may have been.
func (o *streamOrigins) mayBeSeveralAnywhere() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.MayBeSeveralAnywhere(o.relay.Clock.Now())
}

// isServing reports whether an endpoint of that version is listed that is not draining.
func (o *streamOrigins) isServing(x origin.Origin) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.IsServing(x)
}

// isGone reports whether no endpoint of that version is listed that is not draining, while others of the service are. A crashed one stays
// listed until its restart shows.
func (o *streamOrigins) isGone(x origin.Origin) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.versions.IsServing(x) && o.versions.IsServiceServing(x.Service)
}

// find returns the origin of the stream of a caller's attempt, who came at the time since, as this relay or its keeper knows it.
func (o *streamOrigins) find(ctx context.Context, a origin.Attempt, since time.Time) (found origin.Origin, source string) {
	o.mu.Lock()
	found, known := o.table.Find(a, o.relay.Clock.Now())
	o.mu.Unlock()
	if known {
		return found, "relay"
	}
	reply, askedAt, err := o.askKeeper(ctx, a, since)
	if err != nil {
		o.relay.Log.Info("origin-not-asked", zap.Error(err))
		return found, ""
	}
	o.mergeReply(reply, askedAt)
	if reply.Known {
		return reply.Origin, "keeper"
	}
	return found, ""
}

// askKeeper asks the followed keeper for the origin of a stream, or any other one that answers. It asks again while links fail: what breaks
// the connections of callers often breaks those to keepers too. While none answers, it gives up once each service is known to have one version
// only. The reply is not older than askedAt.
func (o *streamOrigins) askKeeper(ctx context.Context, a origin.Attempt, since time.Time) (reply wire.OriginReply, askedAt time.Time, err error) {
	err = errNotConfirmed
	silent := false
	for {
		l := o.relay.feed.followedLink()
		if l == nil || silent {
			if o.isEachOnlyVersion(ctx, since) {
				return reply, askedAt, err
			}
			l = o.spareLink(ctx)
		}
		askedAt = o.relay.Clock.Now()
		if l != nil {
			callCtx, cancel := context.WithTimeout(ctx, originTimeout)
			err = l.Call(callCtx, wire.KindFindOrigin, "", wire.OriginRequest{Attempt: a}, &reply)
			silent = callCtx.Err() != nil
			cancel()
			var refused *wire.RemoteError
			if err == nil || errors.As(err, &refused) {
				return reply, askedAt, err
			}
		}
		waited := o.relay.Clock.Now().Sub(since)
		if waited >= maxOriginTimeout || !serve.Sleep(ctx, keeperPollInterval) {
			return reply, askedAt, err
		}
	}
}

// isEachOnlyVersion reports whether each service has one version only since the given time, and reads the list of endpoints for that unless
// several are known.
func (o *streamOrigins) isEachOnlyVersion(ctx context.Context, since time.Time) bool {
	if o.mayBeSeveralAnywhere() {
		return false
	}
	select {
	case o.listTurn <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-o.listTurn }()
	return (o.isConfirmed(since) || o.readList(ctx, since)) && !o.mayBeSeveralAnywhere()
}

// spareLink returns a link to a keeper that is not followed, or nil if there is none now.
func (o *streamOrigins) spareLink(ctx context.Context) *wire.Link {
	o.spareMu.Lock()
	defer o.spareMu.Unlock()
	if o.spare != nil {
		select {
		case <-o.spare.link.Done():
			o.relay.feed.closeLink(o.spare)
			o.spare = nil
		default:
			return o.spare.link
		}
	}
	now := o.relay.Clock.Now()
	addresses := o.relay.feed.otherKeeperAddresses(nil)
	if len(addresses) == 0 || now.Sub(o.spareTriedAt) < spareDialInterval || ctx.Err() != nil {
		return nil
	}
	o.spareTriedAt = now
	kl, err := o.relay.feed.dialKeeper(ctx, addresses[0])
	if err != nil {
		o.relay.Log.Debug("spare-keeper-not-dialled", zap.String("keeper", addresses[0]), zap.Error(err))
		return nil
	}
	o.spare = kl
	return kl.link
}

// closeSpare closes the spare link, if any, once this relay follows a keeper.
func (o *streamOrigins) closeSpare() {
	// A dial holds the mutex, and the feed must not wait for that; the new link is used or closed later.
	if !o.spareMu.TryLock() {
		return
	}
	defer o.spareMu.Unlock()
	o.relay.feed.closeLink(o.spare)
	o.spare = nil
}

// followedLink returns the link to the followed keeper, or nil if there is none or it has failed.
func (f *keeperFeed) followedLink() *wire.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link == nil {
		return nil
	}
	select {
	case <-f.link.Done():
		return nil
	default:
		return f.link
	}
}

// findOrigin finds out at which service and software version a stream began that the caller takes up. It returns the reason if the
// stream must be refused: what another version generates does not fit to the events that the caller has.
func (s *streamRequest) findOrigin() common.Reason {
	if s.lastEventID <= 0 {
		return ""
	}
	id := cmp.Or(s.r.Header.Get(s.relay.Names.ResumedRequest), s.id)
	s.resumedAttempt = origin.NewAttempt(s.account, id)
	began := s.relay.Clock.Now()
	o := &s.relay.origins
	wereSeveral := o.mayBeSeveral(s.service)
	found, source := o.find(s.ctx, s.resumedAttempt, s.startedAt)
	confirmed := source == "" && s.confirmVersions()
	if source == "" && !wereSeveral && o.mayBeSeveral(s.service) {
		// The keeper did not wait for records on their way, or was asked for a short time only, while one version was known.
		found, source = o.find(s.ctx, s.resumedAttempt, s.startedAt)
	}
	if source == "" && confirmed && o.mayBeSeveral(s.service) && s.renewList() {
		if found.Version = s.relay.findRun(s.ctx, s.service, id); found.Version != "" {
			found.Service, source = s.service, "engine"
		}
	}
	isKnown := source != "" && s.route.HasService(found.Service)
	if isKnown && !o.isServing(found) {
		s.listIsOld = !s.renewList()
	}
	if source != "" && !isKnown {
		confirmed = s.confirmVersions()
	}
	var refusal common.Reason
	only, isOnly := o.onlyVersion(s.service, s.startedAt)
	switch {
	case isKnown:
		s.service, s.version = found.Service, found.Version
	case isOnly:
		// Other versions may be listed before the next event arrives.
		source, s.version = "only-version", only
	case source != "":
		source, refusal = "other-service", common.ReasonOriginUnknown
	default:
		source, refusal = "unknown", common.ReasonOriginUnknown
	}
	s.relay.meter.countReason("origins", source)
	s.log.Info("origin-sought", zap.String("source", source), zap.String("resumes", id), zap.String("service", s.service),
		zap.String("version", cmp.Or(found.Version, s.version)), zap.Bool("versions-confirmed", confirmed), zap.Duration("took", s.relay.Clock.Now().Sub(began)))
	return refusal
}

// confirmVersions confirms the versions after the caller has come: what was known before may lack the engine that began the stream. It
// reports whether it could.
func (s *streamRequest) confirmVersions() bool {
	timeout := max(minConfirmTimeout, maxOriginTimeout-s.relay.Clock.Now().Sub(s.startedAt))
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	return s.relay.origins.confirmVersions(ctx, s.startedAt)
}

// renewList has this relay read the list of endpoints if the current one is old: it may not hold the engines of the stream's version, or
// name the former version of one that was replaced at its address. It reports whether there is a newer list.
func (s *streamRequest) renewList() bool {
	ctx, cancel := context.WithTimeout(s.ctx, minConfirmTimeout)
	defer cancel()
	return s.relay.origins.renewList(ctx, s.startedAt.Add(-oldListAge))
}

// isSoftwareGone reports whether the stream can not go on because all endpoints of its version have left or are leaving. A list that may be
// older than the stream does not show that: they may have joined since.
func (s *streamRequest) isSoftwareGone() bool {
	return s.version != "" && !s.listIsOld && s.relay.origins.isGone(origin.Origin{Service: s.service, Version: s.version})
}

// recordOrigin records at which version the stream has begun or gone on, under the id of this attempt and of the one that the caller has
// taken up, if any.
func (s *streamRequest) recordOrigin() {
	if s.id == "" || s.originRecorded {
		return
	}
	s.originRecorded = true
	o := origin.Origin{Service: s.service, Version: s.version}
	list := []origin.Record{{Attempt: origin.NewAttempt(s.account, s.id), Origin: o}}
	if s.lastEventID > 0 {
		list = append(list, origin.Record{Attempt: s.resumedAttempt, Origin: o})
	}
	s.relay.origins.record(list)
}
