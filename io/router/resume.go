package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/admit"
	"wasabiweir/core/common"
	"wasabiweir/core/object"
	"wasabiweir/core/stream"
	"wasabiweir/io/wire"
)

const (
	// transferTimeout bounds the transfer of a generation to this router, since a caller waits a few seconds at most.
	transferTimeout = 3 * time.Second
	// transferCheckInterval is the interval at which the transfer of a generation checks for lost journal holders and
	// repeats unanswered messages.
	transferCheckInterval = 20 * time.Millisecond
)

// serveResume handles a resume request: it continues a stream after the last event that the caller received. Any
// router can handle it, not only the one that started the generation.
func (r *Router) serveResume(w http.ResponseWriter, req *http.Request) {
	v, account, err := r.authenticate(req)
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	c, err := stream.ParseCursor(req.Header.Get(cursorHeader))
	if err != nil {
		r.refuse(w, req, common.NewNotRunRefusal(common.ReasonBadCursor, cursorHeader, err.Error()))
		return
	}
	ctx, cancel := r.requestContext(req)
	defer cancel()
	s, err := r.joinGeneration(ctx, v, account, c)
	if err != nil {
		r.refuse(w, req, r.stopRefusal(req, err))
		return
	}
	r.writeStream(w, req, s, streamPosition{offset: c.Offset, final: c.Final})
}

// joinGeneration adds the caller as a reader of the generation that the cursor names. If another router owns the
// generation, this router takes it over first.
func (r *Router) joinGeneration(ctx context.Context, v *ConfigView, account object.Account, c stream.Cursor) (*session, error) {
	s := r.sessions.joinSession(c.ID)
	if s == nil {
		var err error
		if s, err = r.takeOver(ctx, v, account, c); err != nil {
			return nil, err
		}
	}
	if s.account != account.Name {
		s.removeReader(r.Clock.Now())
		return nil, common.NewNotRunRefusal(common.ReasonNotAllowed, cursorHeader, "the generation belongs to another account")
	}
	if c.Offset > s.releasedTokens() && s.allReleased() {
		s.removeReader(r.Clock.Now())
		return nil, common.NewNotRunRefusal(common.ReasonBadCursor, cursorHeader, "the cursor is behind the end of the answer")
	}
	return s, nil
}

// takeOver transfers the ownership of a generation to this router and starts a session that continues it.
func (r *Router) takeOver(ctx context.Context, v *ConfigView, account object.Account, c stream.Cursor) (*session, error) {
	o, err := r.transferOwnership(ctx, c)
	if err != nil {
		return nil, err
	}
	// The transfer has checked the caller's position. The session releases all batches from the start, because its
	// readers may be at any position.
	if err := o.ResumeAfter(stream.Cursor{ID: c.ID, Set: c.Set}); err != nil {
		return nil, err
	}
	var p resumeParameters
	if err := wire.Unmarshal(o.Record.Parameters, &p); err != nil {
		return nil, common.AsRefusal(err)
	}
	s := &session{
		router: r, id: c.ID, account: o.Record.Account, service: o.Record.Service, owner: o, params: p, readers: 1, mayHaveRun: true,
		log: r.Log.With(zap.String("request", c.ID), zap.String("account", o.Record.Account)),
	}
	if s.account != account.Name {
		return nil, common.NewNotRunRefusal(common.ReasonNotAllowed, cursorHeader, "the generation belongs to another account")
	}
	// The generation skips the admission queue: its account was charged when it was first admitted.
	if s.job, err = r.dispatcher.resumeJob(s.service, r.resumedAdmission(v, s)); err != nil {
		return nil, err
	}
	r.Metrics.CountRetry(common.RetryTransferred)
	s.log.Info("generation-transferred", zap.Int("tokens", o.Tokens()), zap.Int("offset", c.Offset))
	r.sessions.startSession(s)
	return s, nil
}

// resumedAdmission returns the admission request of a generation that was transferred from another router, with the
// output so far counted as prompt.
func (r *Router) resumedAdmission(v *ConfigView, s *session) admit.Request {
	return admit.Request{
		ID: s.id, Account: s.account, Intent: s.params.Intent, PromptTokens: len(s.owner.Record.Prompt) + s.owner.Tokens(),
		MaxOutputTokens: max(1, s.owner.Record.MaxTokens-s.owner.Tokens()), MaxShortTokens: v.Graph.Intents[s.params.Intent].ShortTokens,
		Priority: s.params.Priority,
	}
}

// transferOwnership makes this router the owner of a generation once a quorum of its journal holders has agreed; its
// errors are refusals.
func (r *Router) transferOwnership(ctx context.Context, c stream.Cursor) (*stream.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	x := &transferDriver{
		router:   r,
		replies:  make(chan stream.Reply, replyQueueSize),
		transfer: stream.Transfer{Router: r.Name, Nonce: r.nonce.Add(1), Cursor: c},
	}
	r.journal.registerReceiver(c.ID, x)
	defer r.journal.unregisterReceiver(c.ID, x)
	return x.run(ctx)
}

// transferDriver exchanges messages with the journal holders of a generation to transfer its ownership to this router.
type transferDriver struct {
	router   *Router
	transfer stream.Transfer
	replies  chan stream.Reply
}

// deliverReply passes a journal holder's reply to the transfer of the generation; it drops the reply if the queue is
// full.
func (x *transferDriver) deliverReply(r stream.Reply) {
	select {
	case x.replies <- r:
	default:
	}
}

// run drives the transfer of the generation's ownership until it succeeds, fails or ctx ends.
func (x *transferDriver) run(ctx context.Context) (*stream.Owner, error) {
	ticker := time.NewTicker(transferCheckInterval)
	defer ticker.Stop()
	x.sendMessages(x.transfer.Start(x.now()))
	for {
		if o, err := x.transfer.Result(); o != nil || err != nil {
			return o, err
		}
		select {
		case r := <-x.replies:
			x.sendMessages(x.transfer.Handle(x.now(), r))
		case <-ticker.C:
			x.reportLostHolders()
			x.sendMessages(x.transfer.Tick(x.now()))
		case <-ctx.Done():
			x.transfer.GiveUp()
		}
	}
}

// now returns the time of the router's clock.
func (x *transferDriver) now() time.Time { return x.router.Clock.Now() }

// reportLostHolders tells the ownership transfer which journal holders have lost their memory and will not reply.
func (x *transferDriver) reportLostHolders() {
	for _, m := range x.transfer.Cursor.Set.Members {
		if x.router.peers.holderState(m) == holderGone {
			x.sendMessages(x.transfer.MarkLost(x.now(), m))
		}
	}
}

// sendMessages sends journal messages of the ownership transfer, including those that the local journal holder's
// replies cause.
func (x *transferDriver) sendMessages(messages []stream.Message) {
	for len(messages) > 0 {
		var more []stream.Message
		for _, r := range x.router.journal.sendMessages(messages) {
			more = append(more, x.transfer.Handle(x.now(), r)...)
		}
		messages = more
	}
}

// releasedTokens returns the number of output tokens of the generation that callers may read.
func (s *session) releasedTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.batches) == 0 {
		return 0
	}
	last := s.batches[len(s.batches)-1]
	return last.Offset + len(last.IDs)
}

// allReleased reports whether callers may read the whole output of the generation.
func (s *session) allReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.batches) > 0 && s.batches[len(s.batches)-1].Finish != ""
}
