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
	// askNext is the time without an answer after which another keeper is asked beside the ones that were. An answer takes
	// some ten milliseconds; a keeper that is cut off from the others gives none.
	askNext = 300 * time.Millisecond
	// maxAsked is the number of keepers that are asked at a time.
	maxAsked = 4
	// moveTick is the pause before another keeper is dialled after one failed.
	moveTick = 50 * time.Millisecond
)

// track is a link to a keeper.
type track struct {
	address string
	link    *wire.Link
	server  linkServer
	cancel  context.CancelFunc
}

func (t *track) close() {
	t.cancel()
	t.link.Close()
}

// linkServer runs a link that was dialled.
type linkServer struct {
	link *wire.Link
	done chan error
}

func (s *linkServer) run(ctx context.Context) { s.done <- s.link.Serve(ctx) }

// proof is a question to one keeper whether its state is the one that a quorum holds.
type proof struct {
	feed    *feed
	address string
	// track is nil until the keeper is dialled.
	track *track
	err   error
}

// run dials the keeper unless there is a link, and asks it.
func (p *proof) run(ctx context.Context, out chan<- *proof) {
	if p.track == nil {
		p.track, p.err = p.feed.dial(ctx, p.address)
	}
	if p.err == nil {
		p.err = p.feed.confirm(ctx, p.track.link)
	}
	out <- p
}

// dial opens a link to a keeper and serves it.
func (f *feed) dial(ctx context.Context, address string) (*track, error) {
	short, done := context.WithTimeout(ctx, wire.ShortDial)
	defer done()
	l, err := wire.Dial(short, f.name, address, f.relay.PeerKey, f)
	if err != nil {
		return nil, err
	}
	t := &track{address: address, link: l, server: linkServer{link: l, done: make(chan error, 1)}}
	ctx, t.cancel = context.WithCancel(f.relay.ctx)
	go t.server.run(ctx)
	return t, nil
}

// loop follows one keeper after another until ctx ends.
func (f *feed) loop(ctx context.Context) error {
	var now *track
	for ctx.Err() == nil {
		now = f.round(ctx, now)
		f.switchTo(now)
		if now == nil {
			serve.Pause(ctx, moveTick)
			continue
		}
		select {
		case <-ctx.Done():
		case err := <-now.server.done:
			f.leave(now, now.address, err)
			now = nil
		case <-time.After(proofInterval):
		}
	}
	if now != nil {
		now.close()
	}
	return ctx.Err()
}

// switchTo makes a keeper the one that is followed, if it is not yet.
func (f *feed) switchTo(t *track) {
	f.mu.Lock()
	if t == nil || f.link == t.link {
		f.mu.Unlock()
		return
	}
	f.link = t.link
	k, told := f.others[t.link]
	clear(f.others)
	f.mu.Unlock()
	f.relay.Log.Info("keeper-followed", zap.String("keeper", t.address))
	if told {
		f.divide(k)
	}
	f.report()
}

// leave gives a keeper up.
func (f *feed) leave(t *track, address string, err error) {
	f.relay.Log.Info("keeper-left", zap.String("keeper", address), zap.Error(err))
	f.drop(t)
}

// drop closes a link to a keeper, if there is one.
func (f *feed) drop(t *track) {
	if t == nil {
		return
	}
	t.close()
	f.mu.Lock()
	delete(f.others, t.link)
	f.mu.Unlock()
}

// round asks the keeper that is followed, and others beside it while none answers. It returns the first that proves its
// state, which is followed from then on; the links to the others are closed. It returns nil if all have failed.
func (f *feed) round(ctx context.Context, now *track) (winner *track) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := f.candidates(now)
	out := make(chan *proof)
	open := 0
	ask := func(p *proof) {
		open++
		go p.run(ctx, out)
	}
	if now != nil {
		ask(&proof{feed: f, address: now.address, track: now})
	} else if len(next) > 0 {
		ask(&proof{feed: f, address: next[0]})
		next = next[1:]
	}
	t := time.NewTimer(askNext)
	defer t.Stop()
	for open > 0 || winner == nil && len(next) > 0 && ctx.Err() == nil {
		select {
		case <-t.C:
			if winner == nil && ctx.Err() == nil && open < maxAsked && len(next) > 0 {
				ask(&proof{feed: f, address: next[0]})
				next = next[1:]
			}
			t.Reset(askNext)
		case p := <-out:
			open--
			switch {
			case p.err == nil && winner == nil:
				winner = p.track
				cancel()
			case winner != nil && p.track != now:
				// It was asked for nothing: another one answered first.
				f.drop(p.track)
			default:
				f.leave(p.track, p.address, p.err)
				t.Reset(moveTick)
			}
		}
	}
	return winner
}

// candidates returns the keepers other than the one that is followed, in random order.
func (f *feed) candidates(now *track) []string {
	f.mu.Lock()
	list := slices.Concat(f.keepers, f.relay.Seeds())
	f.mu.Unlock()
	slices.Sort(list)
	list = slices.Compact(list)
	if now != nil {
		list = slices.DeleteFunc(list, func(address string) bool { return address == now.address })
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
