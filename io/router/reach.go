package router

import (
	"errors"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/reach"
	"wasabiweir/io/tunnel"
	"wasabiweir/io/wire"
)

// carryTimeout is the time from the beginning of a drain for which the connections of other routers are passed on.
const carryTimeout = 30 * time.Second

// initReach initialises the connections to endpoints and the server for those of other routers.
func (r *Router) initReach() {
	r.dialer = tunnel.Dialer{
		Key: r.PeerKey, Domain: r.Domain, DialDirect: r.DialDirect, Clock: r.Clock, Log: r.Log,
		OnCutOff:     func(bool) { r.feed.requestReport() },
		OnOutOfReach: r.dispatcher.forgetFailures,
	}
	if r.Metrics != nil {
		r.dialer.Metrics = r.Metrics
	}
	r.dialer.Init()
	r.engines.Dialer = &r.dialer
	r.carried = tunnel.Server{
		Dialer: &r.dialer, IsListed: r.isEndpointAddress, IsClosed: r.isStopping,
		MaxConnections: int64(r.Resources.Connections(carriedShare, tunnel.DefaultMaxConnections)),
	}
}

// isEndpointAddress reports whether the configuration has an endpoint with the address.
func (r *Router) isEndpointAddress(address string) bool {
	v := r.view.Load()
	return v != nil && v.addresses[address]
}

// isStopping reports whether this router is draining or stops.
func (r *Router) isStopping() bool { return r.draining.Load() || r.ctx.Err() != nil }

// mustCarryOn reports whether a draining router has to wait for the connections of other routers.
func (r *Router) mustCarryOn() bool {
	return r.carried.Open() > 0 && r.Clock.Now().Sub(time.Unix(0, r.drainStart.Load())) < carryTimeout
}

// setCarriers takes the other routers that reach endpoints for the ones that can carry connections.
func (r *Router) setCarriers(list []wire.Report) {
	var out []reach.Carrier
	for _, o := range list {
		if o.Name != r.Name && o.PeerAddress != "" && !o.Draining && !o.CutOff {
			out = append(out, reach.Carrier{Address: o.PeerAddress, Domain: o.Domain})
		}
	}
	r.dialer.SetCarriers(out)
}

// isUnreachable reports whether this router reaches the endpoint at the address only through another one, if at all.
func (r *Router) isUnreachable(address string) bool {
	return r.dialer.IsCutOff() || r.dialer.IsOutOfReach(address)
}

// recordAttemptFailure records that an attempt failed for the reason with the error, which may be nil. The endpoint is not to blame
// if this router does not reach it.
func (r *Router) recordAttemptFailure(a *attempt, reason common.Reason, err error) {
	cut := errors.Is(err, tunnel.ErrCutOff)
	if reason == common.RetryReset || reason == common.RetrySilent {
		cut = r.isUnreachable(a.address)
	}
	if cut {
		r.dispatcher.attemptFinished(a)
		return
	}
	r.dispatcher.attemptFailed(a, reason)
}

// newCutOffRefusal returns the refusal of a request for which no process can connect to an endpoint.
func newCutOffRefusal(outcome common.Outcome) *common.Refusal {
	return &common.Refusal{Reason: common.ReasonCutOff, Outcome: outcome, Message: "this router reaches no endpoint now", RetryAfter: time.Second}
}
