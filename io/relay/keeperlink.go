package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// hedgeDelay is the time without a reply after which one more keeper is asked in parallel to confirm the
	// configuration state. A reply takes about ten milliseconds; a keeper that is partitioned from the others sends
	// none.
	hedgeDelay = 300 * time.Millisecond
	// maxParallelQueries is the number of keepers that are asked at the same time to confirm the configuration state.
	maxParallelQueries = 4
	// redialDelay is the pause before another keeper is dialled after one failed.
	redialDelay = 50 * time.Millisecond
)

// keeperLink is a connection to a keeper together with the goroutine that serves it.
type keeperLink struct {
	address string
	link    *wire.Link
	runner  linkRunner
	cancel  context.CancelFunc
}

// close ends the connection to the keeper and the goroutine that serves it.
func (kl *keeperLink) close() {
	kl.cancel()
	kl.link.Close()
}

// linkRunner serves a dialled connection to a keeper and sends the error that ended it to done.
type linkRunner struct {
	link *wire.Link
	done chan error
}

// run serves the connection to the keeper until the connection or ctx ends.
func (s *linkRunner) run(ctx context.Context) { s.done <- s.link.Serve(ctx) }

// stateQuery asks one keeper to confirm that its configuration state is the one that a quorum holds.
type stateQuery struct {
	feed    *keeperFeed
	address string
	// keeper is nil until the keeper is dialled.
	keeper *keeperLink
	err    error
}

// run asks the keeper to confirm its configuration state, and sends the finished query to the channel out. If there is no
// connection yet, it dials the keeper and does not subscribe to what it sends: most keepers that are asked are not followed.
func (q *stateQuery) run(ctx context.Context, out chan<- *stateQuery) {
	if q.keeper != nil {
		q.err = q.feed.confirmState(ctx, q.keeper.link)
	} else if q.keeper, q.err = q.feed.dialKeeper(ctx, q.address); q.err == nil {
		_, q.err = q.feed.requestState(ctx, q.keeper.link, wire.ConfigUpdateRequest{OnlyConfirm: true})
	}
	out <- q
}

// dialKeeper opens a connection to a keeper and serves it in a goroutine.
func (f *keeperFeed) dialKeeper(ctx context.Context, address string) (*keeperLink, error) {
	dialCtx, cancel := context.WithTimeout(ctx, wire.RegionalDialTimeout)
	defer cancel()
	l, err := wire.Dial(dialCtx, f.name, address, f.relay.PeerKey, f)
	if err != nil {
		return nil, err
	}
	kl := &keeperLink{address: address, link: l, runner: linkRunner{link: l, done: make(chan error, 1)}}
	ctx, kl.cancel = context.WithCancel(f.relay.ctx)
	go kl.runner.run(ctx)
	return kl, nil
}

// loop receives configuration states and lists of endpoints from one keeper and switches to another when it fails,
// until ctx ends.
func (f *keeperFeed) loop(ctx context.Context) error {
	var current *keeperLink
	for ctx.Err() == nil {
		current = f.subscribe(ctx, f.confirmWithAny(ctx, current))
		f.followKeeper(current)
		if current == nil {
			serve.Sleep(ctx, redialDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case err := <-current.runner.done:
			f.abandonKeeper(current, current.address, err)
			current = nil
		case <-time.After(confirmInterval):
		}
	}
	if current != nil {
		current.close()
	}
	return ctx.Err()
}

// subscribe subscribes this relay to what a keeper sends unless it follows that keeper already. It returns the keeper, or
// nil if it fails.
func (f *keeperFeed) subscribe(ctx context.Context, kl *keeperLink) *keeperLink {
	f.mu.Lock()
	follows := kl != nil && f.link == kl.link
	f.mu.Unlock()
	if kl == nil || follows {
		return kl
	}
	if err := f.confirmState(ctx, kl.link); err != nil {
		f.abandonKeeper(kl, kl.address, err)
		return nil
	}
	return kl
}

// followKeeper makes a keeper the one from which the relay receives its configuration and lists of endpoints, unless
// the keeper already is that one or is nil.
func (f *keeperFeed) followKeeper(kl *keeperLink) {
	f.mu.Lock()
	if kl == nil || f.link == kl.link {
		f.mu.Unlock()
		return
	}
	f.link = kl.link
	k, known := f.otherKeepers[kl.link]
	clear(f.otherKeepers)
	f.mu.Unlock()
	f.relay.Log.Info("keeper-followed", zap.String("keeper", kl.address))
	if known {
		f.updateRelayIndex(k)
	}
	f.sendReport()
	// The keeper may have missed what was sent to another one.
	f.relay.crashes.SendAll()
	f.sendLimits(f.relay.allLimits())
	f.relay.origins.sendAll()
	f.relay.origins.closeSpare()
}

// abandonKeeper logs the failure of a keeper and closes the connection to it.
func (f *keeperFeed) abandonKeeper(kl *keeperLink, address string, err error) {
	f.relay.Log.Info("keeper-abandoned", zap.String("keeper", address), zap.Error(err))
	f.closeLink(kl)
}

// closeLink closes the connection to a keeper if there is one.
func (f *keeperFeed) closeLink(kl *keeperLink) {
	if kl == nil {
		return
	}
	kl.close()
	f.mu.Lock()
	delete(f.otherKeepers, kl.link)
	f.mu.Unlock()
}

// confirmWithAny asks the current keeper, and others in parallel while none replies, to confirm its configuration
// state. It returns the first keeper that does and closes the connections to the others. It returns nil if all have
// failed.
func (f *keeperFeed) confirmWithAny(ctx context.Context, current *keeperLink) (winner *keeperLink) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := f.otherKeeperAddresses(current)
	out := make(chan *stateQuery)
	pending := 0
	start := func(q *stateQuery) {
		pending++
		go q.run(ctx, out)
	}
	if current != nil {
		start(&stateQuery{feed: f, address: current.address, keeper: current})
	} else if len(next) > 0 {
		start(&stateQuery{feed: f, address: next[0]})
		next = next[1:]
	}
	t := time.NewTimer(hedgeDelay)
	defer t.Stop()
	for pending > 0 || winner == nil && len(next) > 0 && ctx.Err() == nil {
		select {
		case <-t.C:
			if winner == nil && ctx.Err() == nil && pending < maxParallelQueries && len(next) > 0 {
				start(&stateQuery{feed: f, address: next[0]})
				next = next[1:]
			}
			t.Reset(hedgeDelay)
		case q := <-out:
			pending--
			switch {
			case q.err == nil && winner == nil:
				winner = q.keeper
				cancel()
			case winner != nil && q.keeper != current:
				// The query was cancelled because another keeper replied first, so this is no failure.
				f.closeLink(q.keeper)
			default:
				f.abandonKeeper(q.keeper, q.address, q.err)
				t.Reset(redialDelay)
			}
		}
	}
	return winner
}

// otherKeeperAddresses returns the addresses of all keepers other than the current one in random order.
func (f *keeperFeed) otherKeeperAddresses(current *keeperLink) []string {
	f.mu.Lock()
	list := slices.Concat(f.keepers, f.relay.Seeds())
	f.mu.Unlock()
	slices.Sort(list)
	list = slices.Compact(list)
	if current != nil {
		list = slices.DeleteFunc(list, func(address string) bool { return address == current.address })
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
