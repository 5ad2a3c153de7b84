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

// recordCrash records a crash if the endpoint of a failed attempt is lost. An endpoint that only lost its response
// still accepts connections. One that does not answer may be cut off, which is no evidence against the call.
func (c *callSender) recordCrash(ctx context.Context, x *serviceCall, a *attempt, err error) {
	if callRetryReason(err) != common.RetryReset || ctx.Err() != nil {
		return
	}
	check := c.router.newCrashCheck(x.request, a, x.crashParts(), poison.Loss{LastSign: c.router.Clock.Now()})
	if check.hasCrashed(ctx) {
		c.router.crashes.Record(check.crash, check.loss.LastSign)
	}
}

// markSound records that an endpoint survived the call, if its response shows that.
func (c *callSender) markSound(x *serviceCall, out *endpointResponse, sentAt time.Time) {
	if guard.Outlived(out.status) && c.router.crashes.HasCrashes() {
		c.router.crashes.MarkSound(x.crashParts(), sentAt)
	}
}
