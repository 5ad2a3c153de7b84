package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"wasabiweir/core/common"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"wasabiweir/io/serve"
)

// maxCallReplyBytes is the largest accepted reply to a service call, in bytes.
const maxCallReplyBytes = 1 << 20

// keyHeader is the HTTP header with the idempotency key of a service call.
const keyHeader = "Idempotency-Key"

// NewKey returns a new idempotency key, a version 7 UUID, or an error if no random bytes can be read.
func NewKey() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("make key: %w", err)
	}
	return id.String(), nil
}

// Call is a non-idempotent request to a plain service, identified by its idempotency key.
type Call struct {
	// Token is the account's access token.
	Token   string
	Service string
	Path    string
	Key     string
	Body    string
	// Due is the scheduled time of the call, from which latencies are measured; zero means the time at which the call
	// is made.
	Due time.Time
}

// CallResult is the result of one service call, over all times that it was sent.
type CallResult struct {
	Key     string
	Outcome common.Outcome
	// Status and Reply are the HTTP status and body of the service's reply if the call's outcome is done.
	Status int
	Reply  []byte
	// Refusal is the refusal that ended the call, or nil if the call ended otherwise. Refusals are all refusals of the
	// call, and RefusalTimes the times from sending the call to each of them.
	Refusal      *common.Refusal
	Refusals     []*common.Refusal
	RefusalTimes []time.Duration
	Err          error
	// Sends is the number of times that the call was sent.
	Sends int
	// AllReplied means that a reply was received each time the call was sent. Only then does a refusal with the outcome
	// not-run prove that the call was never executed.
	AllReplied bool
	Completion time.Duration // time from Due to the result
}

// Call sends a service call to a router and, after a broken connection, sends it again with the same idempotency key
// until its outcome is known or the time limit is reached.
func (c *Caller) Call(ctx context.Context, call Call) CallResult {
	if call.Due.IsZero() {
		call.Due = time.Now()
	}
	res := CallResult{Key: call.Key, Outcome: common.OutcomeUnknown, AllReplied: true}
	p := retryState{caller: c}
	address := c.Addresses.Pick(ctx)
	for {
		res.Err = c.sendCall(ctx, call, address, &res)
		res.Refusal = asRefusal(res.Err)
		if !res.needsResend(&p) || !p.recordFailure(address) || !serve.Sleep(ctx, retryDelay) {
			break
		}
		if res.Refusal != nil && res.Refusal.Address != "" {
			address = res.Refusal.Address
			continue
		}
		address = c.Addresses.Pick(ctx, p.failedAddresses...)
	}
	if res.Refusal != nil {
		res.Outcome = res.Refusal.Outcome
	}
	if res.Outcome == common.OutcomeNotRun && !res.AllReplied {
		res.Outcome = common.OutcomeUnknown // the call may have run when it was sent before
	}
	res.Completion = time.Since(call.Due)
	return res
}

// needsResend reports whether sending the service call again may still determine its outcome.
func (r *CallResult) needsResend(p *retryState) bool {
	switch {
	case r.Err == nil:
		return false
	case r.Refusal == nil:
		return true
	case r.Refusal.Outcome != common.OutcomeNotRun:
		return false
	case !r.AllReplied:
		return true
	}
	return r.Refusal.Address != "" && p.hasAttemptsLeft()
}

// sendCall sends the service call once to the router at the address and stores the reply or the refusal in res.
// Without a valid reply it returns an error, which is a *common.Refusal if the router refused the call.
func (c *Caller) sendCall(ctx context.Context, call Call, address string, res *CallResult) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.StallTimeout, defaultStallTimeout))
	defer cancel()
	res.Sends++
	url := "http://" + address + "/v1/services/" + call.Service + "/" + strings.TrimPrefix(call.Path, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(call.Body))
	if err != nil {
		return fmt.Errorf("make call: %w", err)
	}
	// net/http silently resends a request with an idempotency key after a connection error. A body that cannot be read
	// again and a new connection prevent that, so that every send is counted.
	req.GetBody = nil
	req.Header.Set(keyHeader, call.Key)
	if call.Token != "" {
		req.Header.Set("Authorization", "Bearer "+call.Token)
	}
	sent := time.Now()
	r, err := c.Transport.RoundTripper(true).RoundTrip(req)
	if err != nil {
		res.AllReplied = false
		return fmt.Errorf("call %s: %w", address, err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxCallReplyBytes+1))
	if err != nil || len(b) > maxCallReplyBytes {
		res.AllReplied = false
		return eris.Errorf("reply of %d bytes from %s is cut or too large", len(b), address)
	}
	if r.StatusCode >= http.StatusBadRequest {
		if refusal, err := parseRefusal(b); err == nil {
			res.Refusals = append(res.Refusals, refusal)
			res.RefusalTimes = append(res.RefusalTimes, time.Since(sent))
			return refusal
		}
	}
	res.Outcome = common.OutcomeDone
	res.Status = r.StatusCode
	res.Reply = b
	return nil
}
