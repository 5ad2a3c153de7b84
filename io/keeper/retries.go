package keeper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/place"
	"wasabiweir/core/raft"
	"wasabiweir/io/repl"
	"wasabiweir/io/wire"
)

const (
	// maxGrantLease is the time since a quorum last confirmed the leader up to which it grants extra attempts. It is half of the election
	// timeout, after which there may be another leader.
	maxGrantLease = repl.DefaultInterval * raft.DefaultElectionTicks / 2
	// grantTimeout bounds one request to the leader for extra attempts.
	grantTimeout = 80 * time.Millisecond
	// denialLogInterval is the least time between two lines that say that nothing was granted.
	denialLogInterval = time.Second
)

// errNoGrants is returned to a relay that asks for extra attempts while no leader grants any.
var errNoGrants = eris.New("no leader grants extra attempts now")

// retryGrants grants relays the part of the retry budgets that is not divided among them in advance, while this keeper leads.
type retryGrants struct {
	keeper *Keeper

	mu   sync.Mutex
	pool place.RetryPool
	// denialLoggedAt is when a request of which nothing was granted was last logged.
	denialLoggedAt time.Time
}

// initRetries initialises the grants of a keeper.
func (s *retryGrants) initRetries(k *Keeper) {
	s.keeper = k
	s.pool.RetryLimit = k.RetryLimit
}

// addReport records what a relay has counted. Reports come all the time, so that a new term is noticed at once.
func (s *retryGrants) addReport(r *wire.Report) {
	now := s.keeper.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetTerm(s.leadingTerm(), now)
	s.pool.AddReport(r.Name, r.AsksRetries, r.RetryUses, now)
}

// leadingTerm returns the term in which this keeper leads, or 0 if it does not.
func (s *retryGrants) leadingTerm() uint64 {
	if status := s.keeper.group.status(); status.Role == raft.Leader {
		return status.Term
	}
	return 0
}

// grant returns the reply to a relay, or to another keeper, that asks for extra attempts.
func (s *retryGrants) grant(ctx context.Context, req wire.RetryGrantRequest) (out wire.RetryGrant, _ error) {
	status := s.keeper.group.status()
	if status.Role != raft.Leader {
		link := s.keeper.peers.linkTo(status.Leader.Name)
		if link == nil || req.PassedOn {
			return out, errNoGrants
		}
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		req.PassedOn = true
		if err := link.Call(ctx, wire.KindRetryGrant, "", req, &out); err != nil {
			return out, fmt.Errorf("ask the leader for extra attempts: %w", err)
		}
		return out, nil
	}
	if status.Lease > maxGrantLease {
		return out, errNoGrants
	}
	now := s.keeper.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetTerm(s.leadingTerm(), now)
	out.Attempts = s.pool.Grant(req.Relay, req.Service, req.Attempts, req.Cause, now)
	if out.Attempts > 0 || now.Sub(s.denialLoggedAt) >= denialLogInterval {
		if out.Attempts == 0 {
			s.denialLoggedAt = now
		}
		s.keeper.Log.Info("retries-granted", zap.String("relay", req.Relay), zap.String("service", req.Service), zap.String("cause", string(req.Cause)),
			zap.Int("asked", req.Attempts), zap.Int("granted", out.Attempts))
	}
	if s.keeper.Metrics != nil {
		for result, n := range map[string]int{"granted": out.Attempts, "denied": req.Attempts - out.Attempts} {
			s.keeper.Metrics.Tagged(map[string]string{"result": result}).Counter("retry-grants").Inc(int64(n))
		}
	}
	return out, nil
}
