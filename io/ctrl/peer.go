package ctrl

import (
	"context"
	"net/http"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/member"
	"wasabiweir/io/wire"
)

// errUnknownGroup is returned for a request that names a Raft group of which this process is not a member.
var errUnknownGroup = eris.New("this process does not replicate the group")

// peerHandler returns the HTTP handler that accepts WebSocket links from routers and other control processes.
func (c *Control) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.Path, &wire.Server{Key: c.PeerKey, HandlerFor: c.handlerFor, Log: c.Log})
	return mux
}

// handlerFor returns the receiver of the frames of a newly accepted link, which is the same for all links.
func (c *Control) handlerFor(*wire.Link) wire.Handler { return c }

// HandleFrame handles one frame from another control process or from a router. A request that may wait for a control
// quorum is answered by a goroutine of its own.
func (c *Control) HandleFrame(l *wire.Link, f wire.Frame) {
	switch f.Kind {
	case wire.KindRaft:
		if g := c.groups[f.Group]; g != nil {
			g.stepRaftMessages(l, f)
		}
	case wire.KindConfigUpdateRequest:
		if p, err := wire.Decode[wire.ConfigUpdateRequest](f); err == nil {
			c.feeds.setRouterPosition(l, p)
		}
	case wire.KindReport:
		if r, err := wire.Decode[wire.Report](f); err == nil {
			c.routers.recordReport(r)
		}
	case wire.KindReports:
		if list, err := wire.Decode[[]wire.Report](f); err == nil {
			c.routers.mergeReports(list)
		}
	case wire.KindShares:
		if list, err := wire.Decode[[]member.RouterShares](f); err == nil {
			c.feeds.sendAccountShares(list)
		}
	case wire.KindIdentity, wire.KindStatus, wire.KindJoin, wire.KindPropose, wire.KindForward:
		c.pendingRequests.Add(1)
		go c.runRequest(l, f)
	default:
		c.Log.Warn("frame-rejected", zap.String("peer", l.Name), zap.String("kind", string(f.Kind)))
	}
}

// runRequest answers a request of a router or another control process that may wait for a control quorum. It runs as a
// goroutine, so that the request does not delay the other frames of the link.
func (c *Control) runRequest(l *wire.Link, f wire.Frame) {
	defer c.pendingRequests.Done()
	defer c.guard.Recover("peer-request")
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	body, err := c.handleRequest(ctx, f)
	if err := l.Reply(f, body, err); err != nil {
		c.Log.Debug("reply-not-sent", zap.String("peer", l.Name), zap.Error(err))
	}
}

// handleRequest returns the body of the reply to a request of a router or another control process.
func (c *Control) handleRequest(ctx context.Context, f wire.Frame) (any, error) {
	g := c.groups[f.Group]
	if g == nil {
		return nil, errUnknownGroup
	}
	switch f.Kind {
	case wire.KindIdentity:
		return g.localIdentity()
	case wire.KindStatus:
		return g.leaderStatus(ctx)
	case wire.KindJoin:
		req, err := wire.Decode[joinRequest](f)
		if err != nil {
			return nil, err
		}
		return struct{}{}, g.admitVoter(ctx, req)
	default:
		return c.handleLedgerCommand(ctx, g, f)
	}
}
