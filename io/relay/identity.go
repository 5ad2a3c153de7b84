package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/poison"
	"wasabiweir/io/serve"
	"wasabiweir/io/tunnel"
)

const (
	// identityTimeout bounds a check of an endpoint's identity. A sound endpoint may be silent from the end of its response on, and
	// nothing but its answer shows that the response is whole.
	identityTimeout = poison.MaxSoundSilence + poison.MinProbeTime
	// maxIdentityFailures is the number of health requests without a valid answer after which the identity stays unknown:
	// one response may be lost while the endpoint goes on.
	maxIdentityFailures = 2
)

// errOtherEndpoint is returned by a health request to an address at which another endpoint responds.
var errOtherEndpoint = eris.New("another endpoint has the address")

// identityChecker finds out by health requests whether the endpoint that has ended a connection still runs. Unlike a new
// connection, the answer tells it from a process that was started at its address since.
type identityChecker struct {
	relay *Relay

	mu sync.Mutex
	// checks holds the latest check of each endpoint by its id.
	checks map[string]*identityCheck
}

// identityCheck is one check of an endpoint's identity. Its result is valid once done is closed.
type identityCheck struct {
	startedAt time.Time
	endpoint  place.Endpoint
	path      string
	done      chan struct{}
	// confirmed is true if the endpoint responded, and did so again after lossRecheckDelay.
	confirmed bool
}

// initIdentityChecker initialises the checks of endpoints' identities for a relay.
func (l *identityChecker) initIdentityChecker(r *Relay) {
	l.relay = r
	l.checks = map[string]*identityCheck{}
}

// isRunningSince reports whether the endpoint responded to health requests that were sent at the given time or later. It
// returns false if that is not known when ctx ends. Responses that end at the same time share a check.
func (l *identityChecker) isRunningSince(ctx context.Context, e place.Endpoint, path string, since time.Time) bool {
	c := l.startCheck(e, path, since)
	select {
	case <-c.done:
		return c.confirmed
	case <-ctx.Done():
		return false
	}
}

// startCheck returns the endpoint's latest check if it started at the given time or shortly before, and starts a new one
// otherwise. A check sends its last request more than lossCheckReuse after its start.
func (l *identityChecker) startCheck(e place.Endpoint, path string, since time.Time) *identityCheck {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.checks[e.ID]; c != nil && c.path == path && !c.startedAt.Before(since.Add(-lossCheckReuse)) {
		return c
	}
	now := l.relay.Clock.Now()
	for id, old := range l.checks {
		if now.Sub(old.startedAt) > probeLifetime {
			delete(l.checks, id)
		}
	}
	c := &identityCheck{startedAt: now, endpoint: e, path: path, done: make(chan struct{})}
	l.checks[e.ID] = c
	go l.run(c)
	return c
}

// run sends health requests until two in a row had the endpoint's answer, since an endpoint that ends may still respond for
// a moment.
func (l *identityChecker) run(c *identityCheck) {
	defer l.relay.guard.Recover("identity-check")
	defer close(c.done)
	ctx, cancel := context.WithTimeout(l.relay.ctx, identityTimeout)
	defer cancel()
	var err error
	for answers, failures := 0, 0; !c.confirmed && failures < maxIdentityFailures; {
		if answers+failures > 0 && !serve.Sleep(ctx, lossRecheckDelay) {
			break
		}
		err = l.sendHealthRequest(ctx, c.endpoint, c.path)
		if errors.Is(err, tunnel.ErrCutOff) && serve.Sleep(ctx, lossRecheckDelay) {
			// The endpoint may well go on; a way to it may be found in time.
			continue
		}
		if errors.Is(err, errOtherEndpoint) || errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
		if err != nil {
			answers = 0
			failures++
			continue
		}
		answers++
		c.confirmed = answers > 1
	}
	l.relay.meter.countReason("identity-checks", aliveLabel(c.confirmed))
	if !c.confirmed {
		l.relay.Log.Info("endpoint-not-confirmed", zap.String("endpoint", c.endpoint.ID), zap.String("address", c.endpoint.Address),
			zap.String("domain", c.endpoint.Domain), zap.Error(err))
	}
}

// sendHealthRequest sends a health request on a connection of its own, and returns an error unless the endpoint itself
// responds, with whatever status. An endpoint that is not the one which the request names answers 421.
func (l *identityChecker) sendHealthRequest(ctx context.Context, e place.Endpoint, path string) error {
	ctx = l.relay.withControlCall(ctx, e)
	c, err := l.relay.pool.dialEndpoint(ctx, e)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	names := &l.relay.Names
	header := http.Header{"Connection": {"close"}}
	header.Set(names.ExpectedEndpoint, e.ID)
	if _, err := c.writeRequest(&outgoingRequest{method: http.MethodGet, requestURI: path, host: e.Address, header: header}); err != nil {
		return err
	}
	res, err := c.readHeader(http.MethodGet) //nolint:bodyclose // closing the connection ends the body
	if err != nil {
		return err
	}
	if id := res.Header.Get(names.EndpointID); res.StatusCode == http.StatusMisdirectedRequest || id != "" && id != e.ID {
		return fmt.Errorf("status %d, endpoint %q: %w", res.StatusCode, id, errOtherEndpoint)
	}
	RecordControlAnswer(ctx, res)
	return nil
}

// confirmEnd returns an error if the response, whose body was read to its end, may lack a part of it: without a length or
// chunks the end of the body is believed only if the endpoint that sent it still runs.
func (q *request) confirmEnd(ctx context.Context, e place.Endpoint, c *endpointConn, res *http.Response) error {
	return serve.ConfirmEnd(res, func() bool { return q.endpointGoesOn(ctx, e) && !c.uploadFailed.Load() }) //nolint:wrapcheck // names the cause
}

// isRequestPath reports whether the text can stand as the path in the first line of a request.
func isRequestPath(s string) bool {
	return strings.HasPrefix(s, "/") && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}

// endpointGoesOn reports whether the endpoint responds to health requests that are sent now, or accepts connections and
// keeps them if its service has no path for health requests.
func (q *request) endpointGoesOn(ctx context.Context, e place.Endpoint) bool {
	now := q.relay.Clock.Now()
	if service := q.index.Service(q.service); service != nil && isRequestPath(service.HealthPath) {
		return q.relay.identities.isRunningSince(ctx, e, service.HealthPath, now)
	}
	check := q.relay.losses.check(e, now.Add(lossCheckReuse))
	select {
	case <-check.done:
		return !check.lost
	case <-ctx.Done():
		return false
	}
}
