package router

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/core/ledger"
	"wasabiweir/core/route"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
	"wasabiweir/io/wire"
)

const (
	// claimTimeout bounds the wait for a reply of the call ledger to one command, since a caller waits a few seconds
	// at most.
	claimTimeout = 5 * time.Second
	// recordTimeout bounds the attempts to record a call's outcome in the call ledger; after it, the router's claim of
	// the idempotency key ends by its own timeout in the ledger.
	recordTimeout = 60 * time.Second
	// ledgerRetryDelay is the pause before a command is proposed to the call ledger again.
	ledgerRetryDelay = 100 * time.Millisecond
	// outcomePollInterval is the time between two queries of the call ledger for the outcome of a call with the same
	// idempotency key that is in progress.
	outcomePollInterval = 100 * time.Millisecond
)

// errResponseTooLarge is returned for a response body larger than maxResponseBytes.
var errResponseTooLarge = eris.New("the response is too large")

// sendOnce sends a non-idempotent call at most once for its idempotency key. If a call with the key has already run,
// it returns the response that the call ledger has recorded.
func (c *callSender) sendOnce(ctx context.Context, x *serviceCall) (*endpointResponse, error) {
	if x.key == "" {
		return nil, common.NewNotRunRefusal(common.ReasonKeyMissing, idempotencyKeyHeader, "a call that may not be repeated needs a version 7 UUID as its key")
	}
	deadline := time.Now().Add(x.deadline)
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	running := false
	for {
		cmd := c.newCommand(x, ledger.OpClaim)
		cmd.TimeoutMS = x.deadline.Milliseconds()
		out, err := c.claimKey(waitCtx, cmd)
		if err != nil && running {
			return nil, pendingOutcomeRefusal()
		}
		if err != nil {
			return nil, err
		}
		switch out.Verdict {
		case ledger.VerdictGranted:
			cmd.Claim = out.Claim
			return c.executeCall(ctx, x, cmd, deadline)
		case ledger.VerdictInProgress:
			running = true
			if !serve.Sleep(waitCtx, outcomePollInterval) {
				return nil, pendingOutcomeRefusal()
			}
		case ledger.VerdictDone:
			return recordedResponse(out.Response), nil
		default:
			return nil, out.Refusal()
		}
	}
}

// pendingOutcomeRefusal returns the refusal for a resend while the first send has no outcome yet. Its outcome is
// never not-run, because the first send may have run.
func pendingOutcomeRefusal() *common.Refusal {
	return &common.Refusal{Reason: common.ReasonOutcomeUnknown, Outcome: common.OutcomeUnknown, Message: "the outcome of an earlier send with this key is not known yet"}
}

// newCommand returns a command to the call ledger for the call, with a claimant that is unique to this attempt to
// claim the call's idempotency key.
func (c *callSender) newCommand(x *serviceCall, op ledger.Op) ledger.Command {
	return ledger.Command{
		Op: op, Account: x.account.Name, Key: x.key, Digest: x.digest(),
		Claimant: ledger.Claimant{Router: c.router.Name, Incarnation: c.router.incarnation, Attempt: c.claimAttempts.Add(1)},
	}
}

// claimKey claims the call's idempotency key in the call ledger, which gives this router the right to send the call.
// If there is no result within claimTimeout, the claim is abandoned in the background, and the caller is told not-run:
// the router has not sent the call and never will.
func (c *callSender) claimKey(ctx context.Context, cmd ledger.Command) (ledger.Result, error) {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	out, err := c.proposeCommand(claimCtx, cmd)
	if err == nil {
		return out, nil
	}
	c.unrecorded.Add(1)
	go c.runAbandonClaim(cmd)
	f := common.NewNotRunRefusal(common.ReasonLedgerUnavailable, "", "the call ledger can not be reached")
	f.RetryAfter = time.Second
	return out, f
}

// runAbandonClaim records not-run in the call ledger for a claim of an idempotency key whose result is unknown, so
// that the claim does not block its key if it was granted.
func (c *callSender) runAbandonClaim(cmd ledger.Command) {
	defer c.unrecorded.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	out, err := c.proposeCommand(ctx, cmd)
	if err != nil || out.Verdict != ledger.VerdictGranted {
		return
	}
	cmd.Op, cmd.Claim = ledger.OpNotRun, out.Claim
	_, _ = c.proposeCommand(ctx, cmd)
}

// proposeCommand sends a command to the call ledger until it replies or ctx ends. Repeating is safe, because the
// ledger gives a repeated command the same reply.
func (c *callSender) proposeCommand(ctx context.Context, cmd ledger.Command) (ledger.Result, error) {
	for {
		var out ledger.Result
		err := c.router.feed.callControl(ctx, wire.KindPropose, c.ledgerGroup(cmd), cmd, &out)
		if err == nil {
			return out, nil
		}
		if !serve.Sleep(ctx, ledgerRetryDelay) {
			return out, fmt.Errorf("propose %s: %w", cmd.Op, err)
		}
	}
}

// ledgerGroup returns the name of the Raft group that stores the command's idempotency key.
func (c *callSender) ledgerGroup(cmd ledger.Command) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cmd.Account + "/" + cmd.Key))
	return "ledger-" + strconv.FormatUint(h.Sum64()%uint64(max(1, c.router.LedgerGroups)), 10)
}

// executeCall sends a non-idempotent call whose idempotency key this router has claimed. If the caller disconnects, it
// continues in the background until the call ledger has recorded the outcome.
func (c *callSender) executeCall(ctx context.Context, x *serviceCall, cmd ledger.Command, deadline time.Time) (*endpointResponse, error) {
	e := &execution{calls: c, call: x, command: cmd, deadline: deadline, done: make(chan struct{})}
	c.unrecorded.Add(1)
	go e.run()
	select {
	case <-e.done:
		return e.response, e.err
	case <-ctx.Done():
		return nil, &common.Refusal{Reason: common.ReasonOutcomeUnknown, Outcome: common.OutcomeUnknown, Message: "the caller left before the outcome was known"}
	}
}

// execution sends one non-idempotent call whose idempotency key this router has claimed, and records its outcome in
// the call ledger.
type execution struct {
	calls   *callSender
	call    *serviceCall
	command ledger.Command
	// deadline is when the call must have ended. It is fixed before the idempotency key is claimed, so that a router
	// that was paused after its claim sends nothing late.
	deadline time.Time
	// response and err are the result for the caller; they are set before done is closed.
	response *endpointResponse
	err      error
	done     chan struct{}
}

// run sends the non-idempotent call and records its outcome in the call ledger.
func (e *execution) run() {
	defer e.calls.router.guard.Recover("call-execution")
	defer e.calls.unrecorded.Add(-1)
	if op := e.sendAndRecord(); op != "" {
		e.loopRecordOutcome(op)
	}
}

// sendAndRecord sends the call, sets the result for the caller, and returns the outcome that the call ledger has not
// recorded yet, or an empty one. If the outcome is unknown, the caller gets its result before the ledger has recorded
// it.
func (e *execution) sendAndRecord() (unrecorded ledger.Op) {
	defer close(e.done)
	ctx, cancel := context.WithDeadline(context.Background(), e.deadline)
	defer cancel()
	out, wrote, err := e.sendUntilWritten(ctx)
	switch {
	case err == nil:
		e.response = out
		if _, err := e.recordOutcome(ledger.OpDone); err != nil {
			return ledger.OpDone
		}
	case wrote:
		e.err = &common.Refusal{Reason: common.ReasonOutcomeUnknown, Outcome: common.OutcomeUnknown, Message: callErrorMessage(err)}
		return ledger.OpUnknown
	default:
		return e.recordNotRun(err)
	}
	return ""
}

// loopRecordOutcome repeats recording the call's outcome in the call ledger after the caller got its result, so that a
// resend gets the same result.
func (e *execution) loopRecordOutcome(op ledger.Op) {
	end := time.Now().Add(recordTimeout)
	for time.Now().Before(end) {
		if _, err := e.recordOutcome(op); err == nil {
			return
		}
	}
}

// recordNotRun tells the caller that the call has not run only after the call ledger has recorded it, so that the
// caller and a resend get the same result.
func (e *execution) recordNotRun(err error) (unrecorded ledger.Op) {
	verdict, failure := e.recordOutcome(ledger.OpNotRun)
	if failure != nil {
		unrecorded = ledger.OpNotRun
	}
	if verdict != ledger.VerdictRecorded {
		e.err = &common.Refusal{Reason: common.ReasonOutcomeUnknown, Outcome: common.OutcomeUnknown, Message: "not sent, but this could not be recorded"}
		return unrecorded
	}
	f := *common.AsRefusal(err)
	if f.Reason == common.ReasonInternal {
		f = common.Refusal{Reason: common.ReasonEndpointFailed, Message: callErrorMessage(err)}
	}
	f.Outcome = common.OutcomeNotRun
	e.err = &f
	return ""
}

// sendUntilWritten sends the call to one endpoint after another until one accepts a connection. Once a byte may have
// been written, there is no further attempt.
func (e *execution) sendUntilWritten(ctx context.Context) (out *endpointResponse, wrote bool, err error) {
	failed := route.NameSet{}
	for e.call.hasAttemptsLeft() {
		a, pickErr := e.calls.pickEndpoint(ctx, e.call, failed)
		if pickErr != nil && errors.Is(err, tunnel.ErrCutOff) {
			return nil, false, newCutOffRefusal(common.OutcomeNotRun)
		}
		if pickErr != nil {
			return nil, false, pickErr
		}
		client, written := newSingleUseClient(e.calls.router.dialer.DialContext, e.deadline)
		out, err = e.calls.sendAttempt(ctx, e.call, a, client)
		if err == nil || written.Load() {
			return out, true, err
		}
		if errors.Is(err, tunnel.ErrNoCarrier) || errors.Is(err, tunnel.ErrCutOff) && !e.call.hasAttemptsLeft() {
			return nil, false, newCutOffRefusal(common.OutcomeNotRun)
		}
		if ctx.Err() != nil {
			break
		}
		failed[a.name] = struct{}{}
		e.calls.router.Metrics.CountRetry(callRetryReason(err))
	}
	return nil, false, err
}

// recordOutcome proposes the call's outcome to the call ledger and returns the ledger's verdict; the error means that
// the ledger did not reply.
func (e *execution) recordOutcome(op ledger.Op) (ledger.Verdict, error) {
	cmd := e.command
	cmd.Op = op
	if op == ledger.OpDone {
		cmd.Response = &ledger.Response{Status: e.response.status, Header: e.response.header, Body: e.response.body}
		cmd.Response = cmd.Response.LimitSize(ledger.DefaultLimits.MaxResponseBytes)
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	out, err := e.calls.proposeCommand(ctx, cmd)
	if err != nil || out.Verdict != ledger.VerdictRecorded {
		e.calls.router.Log.Warn("outcome-not-recorded", zap.String("key", e.call.key), zap.String("op", string(op)),
			zap.String("verdict", string(out.Verdict)), zap.Error(err))
	}
	return out.Verdict, err
}

// maxResponseHeader bounds the size in bytes of the header of a plain service's response.
const maxResponseHeader = 64 << 10

// newSingleUseClient returns an HTTP client that opens a new connection with dial for its one request. A pooled connection may
// have died unnoticed, which would needlessly make the call's outcome unknown, and an endpoint may send a second copy
// of its last response on it, which would be taken for the next one. written is set once a byte may have been sent. From notAfter on,
// no byte is written, since a router that is paused while it connects would otherwise send a call whose claim has ended; zero means no
// limit.
func newSingleUseClient(dial tunnel.DialFunc, notAfter time.Time) (client *http.Client, written *atomic.Bool) {
	written = &atomic.Bool{}
	dialTracked := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, &connectError{err}
		}
		return &writeTrackingConn{ResetConn: &serve.ResetConn{Conn: conn}, written: written, notAfter: notAfter}, nil
	}
	client = &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DialContext: dialTracked, MaxResponseHeaderBytes: maxResponseHeader},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client, written
}

// writeTrackingConn sets written at the first write on the connection, and refuses writes from notAfter on.
type writeTrackingConn struct {
	*serve.ResetConn
	written  *atomic.Bool
	notAfter time.Time
}

// Write sets written before it passes any byte on, so that written is also set if the write fails.
func (c *writeTrackingConn) Write(b []byte) (int, error) {
	if err := serve.CheckExpiry(c.notAfter); err != nil {
		return 0, err //nolint:wrapcheck // net/http wraps the errors of writes
	}
	c.written.Store(true)
	return c.ResetConn.Write(b) //nolint:wrapcheck // as above
}

// recordedResponse returns the endpoint's response that the call ledger has recorded, with a header that tells the
// caller so.
func recordedResponse(r *ledger.Response) *endpointResponse {
	out := &endpointResponse{status: r.Status, header: http.Header(r.Header), body: r.Body}
	if out.header == nil {
		out.header = http.Header{}
	}
	out.header.Set("Wasabiweir-Recorded", "true")
	return out
}
