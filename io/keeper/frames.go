package keeper

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/io/wire"
)

// errUnknownKind is returned for a request of a kind that keepers do not handle.
var errUnknownKind = eris.New("a keeper does not answer this kind of request")

// handlerFor returns the handler of the frames on an accepted link from another process, which is the keeper itself.
func (k *Keeper) handlerFor(*wire.Link) wire.Handler { return k }

// HandleFrame handles one frame from another keeper or from a relay.
func (k *Keeper) HandleFrame(l *wire.Link, f wire.Frame) {
	var err error
	switch f.Kind {
	case wire.KindRaft:
		k.group.stepMessages(l, f)
	case wire.KindReport:
		var r wire.Report
		if r, err = wire.Decode[wire.Report](f); err == nil {
			k.roster.recordReport(l, r)
		}
	case wire.KindReports:
		var list []wire.Report
		if list, err = wire.Decode[[]wire.Report](f); err == nil {
			k.roster.mergeForwardedReports(list)
		}
	case wire.KindEndpoints:
		var list place.EndpointList
		if list, err = wire.Decode[place.EndpointList](f); err == nil {
			k.lists.acceptList(list)
		}
	case wire.KindCrashes:
		var list []poison.Crash
		if list, err = wire.Decode[[]poison.Crash](f); err == nil {
			k.crashes.merge(list)
		}
	case wire.KindLimits:
		var list []place.LimitNotice
		if list, err = wire.Decode[[]place.LimitNotice](f); err == nil {
			k.limits.merge(list)
		}
	case wire.KindOrigins:
		var o wire.Origins
		if o, err = wire.Decode[wire.Origins](f); err == nil {
			k.origins.merge(o)
		}
	case wire.KindConfigUpdateRequest, wire.KindJoin, wire.KindFindOrigin, wire.KindRetryGrant:
		k.requests.Add(1)
		go k.runRequest(l, f)
	default:
		err = errUnknownKind
	}
	if err != nil {
		k.Log.Warn("frame-rejected", zap.String("peer", l.Name), zap.String("kind", string(f.Kind)), zap.Error(err))
	}
}

// runRequest handles a peer's request that waits, mostly for a quorum, in its own goroutine, so that it does not block the
// link's other frames.
func (k *Keeper) runRequest(l *wire.Link, f wire.Frame) {
	defer k.requests.Done()
	defer k.guard.Recover("peer-request")
	ctx, cancel := context.WithTimeout(k.ctx, joinTimeout)
	defer cancel()
	body, err := k.handleRequest(ctx, l, f)
	if err := l.Reply(f, body, err); err != nil && !errors.Is(err, wire.ErrClosed) {
		k.Log.Debug("reply-not-sent", zap.String("peer", l.Name), zap.Error(err))
	}
}

// handleRequest returns the reply to a peer's request to join the Raft group, to confirm the configuration state, for the origin of a
// stream, or for extra attempts.
func (k *Keeper) handleRequest(ctx context.Context, l *wire.Link, f wire.Frame) (any, error) {
	switch f.Kind {
	case wire.KindJoin:
		req, err := wire.Decode[joinRequest](f)
		if err != nil {
			return nil, err
		}
		return k.group.admitMember(ctx, req), nil
	case wire.KindConfigUpdateRequest:
		p, err := wire.Decode[wire.ConfigUpdateRequest](f)
		if err != nil {
			return nil, err
		}
		return k.feeds.confirmState(ctx, l, p)
	case wire.KindFindOrigin:
		p, err := wire.Decode[wire.OriginRequest](f)
		if err != nil {
			return nil, err
		}
		return k.origins.find(ctx, p), nil
	case wire.KindRetryGrant:
		p, err := wire.Decode[wire.RetryGrantRequest](f)
		if err != nil {
			return nil, err
		}
		return k.retries.grant(ctx, p)
	}
	return nil, errUnknownKind
}
