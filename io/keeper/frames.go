package keeper

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/io/wire"
)

// errUnknownKind is returned for a request that a keeper does not answer.
var errUnknownKind = eris.New("a keeper does not answer this kind of request")

func (k *Keeper) accepted(*wire.Link) wire.Handler { return k }

// HandleFrame handles one frame from another keeper or from a relay.
func (k *Keeper) HandleFrame(l *wire.Link, f wire.Frame) {
	var err error
	switch f.Kind {
	case wire.KindRaft:
		k.group.step(l, f)
	case wire.KindReport:
		var r wire.Report
		if r, err = wire.Decode[wire.Report](f); err == nil {
			k.roster.own(l, r)
		}
	case wire.KindReports:
		var list []wire.Report
		if list, err = wire.Decode[[]wire.Report](f); err == nil {
			k.roster.merge(list)
		}
	case wire.KindEndpoints:
		var list place.List
		if list, err = wire.Decode[place.List](f); err == nil {
			k.lists.take(list)
		}
	case wire.KindPosition, wire.KindJoin:
		k.work.Add(1)
		go k.runRequest(l, f)
	default:
		err = errUnknownKind
	}
	if err != nil {
		k.Log.Warn("frame-refused", zap.String("peer", l.Name), zap.String("kind", string(f.Kind)), zap.Error(err))
	}
}

// runRequest answers a request that waits for a quorum, so that it does not hold up the link's other frames.
func (k *Keeper) runRequest(l *wire.Link, f wire.Frame) {
	defer k.work.Done()
	ctx, cancel := context.WithTimeout(k.ctx, joinTimeout)
	defer cancel()
	body, err := k.answer(ctx, l, f)
	if err := l.Reply(f, body, err); err != nil && !errors.Is(err, wire.ErrClosed) {
		k.Log.Debug("reply-lost", zap.String("peer", l.Name), zap.Error(err))
	}
}

func (k *Keeper) answer(ctx context.Context, l *wire.Link, f wire.Frame) (any, error) {
	switch f.Kind {
	case wire.KindJoin:
		req, err := wire.Decode[joinRequest](f)
		if err != nil {
			return nil, err
		}
		return k.group.join(ctx, req), nil
	case wire.KindPosition:
		p, err := wire.Decode[wire.Position](f)
		if err != nil {
			return nil, err
		}
		return k.feeds.answer(ctx, l, p)
	}
	return nil, errUnknownKind
}
