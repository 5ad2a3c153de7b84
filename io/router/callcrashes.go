package router

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/poison"
	"wasabiweir/io/guard"
)

// crashRecord is what the search for calls that crash endpoints knows of one call.
type crashRecord struct {
	// request identifies the call: by its idempotency key if it may run once only.
	request string
	// parts holds the fingerprint of the call once it is known.
	parts []string
	// trial is true while the call may be sent to find out whether it still crashes endpoints.
	trial bool
}

// newCrashRecord returns the crash record of the call.
func (c *serviceCall) newCrashRecord() crashRecord {
	if c.idempotent() {
		return crashRecord{request: uuid.NewString()}
	}
	return crashRecord{request: c.key}
}

// crashParts returns the fingerprint of the call as its only part. All calls of the account with the same contents share
// it; the idempotency key is not included, since a repeated call may have a new one.
func (c *serviceCall) crashParts() []string {
	if c.parts == nil {
		c.parts = []string{poison.Fingerprint(c.body, c.account.Name, c.service.Name, c.method, c.path, c.query, c.header.Get("Content-Type"))}
	}
	return c.parts
}

// refuseCrashing returns a refusal if the call must not be sent to an endpoint because it crashes endpoints.
func (c *callSender) refuseCrashing(x *serviceCall) error {
	if x.trial && x.sent == 0 || !c.router.crashes.HasCrashes() {
		return nil
	}
	index, routers := c.router.peers.position()
	if c.router.crashes.MayRetry(x.request) {
		p := c.router.crashes.Permit(x.request, x.crashParts(), index, routers, x.sent > 0)
		x.trial = p == guard.Trial
		if p != guard.Refused {
			return nil
		}
	}
	c.router.Log.Info("crashing-call-refused", zap.String("request", x.request), zap.String("service", x.service.Name),
		zap.String("account", x.account.Name), zap.String("path", x.path), zap.Strings("parts", x.crashParts()), zap.Int("attempts", x.sent))
	f := common.NewNotRunRefusal(common.ReasonCrashesEngines, "", "the call crashes the endpoints of the service")
	f.RetryAfter = c.router.crashes.RetryAfter(x.crashParts())
	return f
}

// recordFailure records what a failed attempt, which began at the given time, says about the call: a crash if its connection was
// reset and the endpoint is lost. An endpoint that only lost its response still accepts connections. One that does not answer may
// be cut off, which is no evidence against the call unless the endpoint is lost before it sends a response. Neither is a failure
// at an endpoint that this router does not reach.
func (c *callSender) recordFailure(ctx context.Context, x *serviceCall, a *attempt, sentAt time.Time, err error) {
	reason := callRetryReason(err)
	if reason == common.RetryConnect || c.router.isUnreachable(a.address) {
		return
	}
	check := c.router.newCrashCheck(x.request, a, x.crashParts(), poison.Loss{LastSign: c.router.Clock.Now()})
	switch {
	case reason == common.RetrySilent:
		c.router.crashes.RecordUnanswered(check.crash, sentAt)
	case reason == common.RetryReset && ctx.Err() == nil && check.hasCrashed(ctx):
		c.router.crashes.RecordLoss(check.crash, sentAt, check.loss.LastSign)
	}
}

// markSound records that an endpoint has responded, and that it survived the call if its response shows that.
func (c *callSender) markSound(x *serviceCall, a *attempt, out *endpointResponse, sentAt time.Time) {
	c.router.crashes.RecordSign(a.name)
	if guard.Outlived(out.status) && c.router.crashes.HasCrashes() {
		c.router.crashes.MarkSound(x.crashParts(), sentAt)
	}
}
