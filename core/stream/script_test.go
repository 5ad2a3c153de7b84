package stream

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"wasabiweir/core/common"
)

// testCluster has journal holders at the routers a to d, and a test decides which messages reach them.
type testCluster struct {
	*testing.T
	now     time.Time
	holders map[string]*Holder
	// cutRouters has the one-letter names of the routers that receive no messages.
	cutRouters string
	// dropMessage returns true for further messages to drop; nil drops none.
	dropMessage func(Message) bool
}

// newTestCluster returns holders at the routers a to d and an Owner at router a with the holders a, b and c. Its
// generation is opened and its first attempt is running.
func newTestCluster(t *testing.T, maxTokens int) (*testCluster, *Owner) {
	g := &testCluster{T: t, now: time.Unix(1000, 0), holders: map[string]*Holder{}}
	o := &Owner{
		Record: OpenRecord{ID: simRequestID, Prompt: []Token{7}, MaxTokens: maxTokens, Seed: 5},
		Epoch:  Epoch{Number: FirstEpoch, Router: "a"},
		Set:    HolderSet{Number: 1},
	}
	for i, name := range []string{"a", "b", "c", "d"} {
		g.restart(name, 1)
		if i < 3 {
			o.Set.Members = append(o.Set.Members, g.holders[name].ID(""))
		}
	}
	g.deliver(o, o.Open(g.now))
	o.StartAttempt()
	return g, o
}

// restart replaces the holder of a router with an empty one.
func (g *testCluster) restart(name string, incarnation uint64) {
	g.holders[name] = &Holder{Router: name, Incarnation: incarnation}
}

// replyHandler is an Owner or a Transfer.
type replyHandler interface {
	Handle(time.Time, Reply) []Message
}

// deliver passes the messages to the holders and their replies to h, until there are no more messages.
func (g *testCluster) deliver(h replyHandler, ms []Message) {
	for ; len(ms) > 0; ms = ms[1:] {
		if m := ms[0]; !strings.Contains(g.cutRouters, m.To.Router) && (g.dropMessage == nil || !g.dropMessage(m)) {
			ms = append(ms, h.Handle(g.now, g.holders[m.To.Router].Handle(g.now, m))...)
		}
	}
}

// appendTokens adds output of the current attempt, after a time in which each retransmission became due, and returns
// the tokens that are then released.
func (g *testCluster) appendTokens(o *Owner, ids ...Token) []Token {
	g.now = g.now.Add(2 * maxRetransmit)
	attempt, _ := o.Running()
	o.Output(attempt, Output{IDs: ids})
	g.deliver(o, o.Flush(g.now))
	var out []Token
	for _, ev := range o.Release() {
		out = append(out, ev.IDs...)
	}
	return out
}

// startTransfer starts a Transfer at the router and delivers its messages.
func (g *testCluster) startTransfer(router string, nonce uint64, c Cursor) *Transfer {
	x := &Transfer{Router: router, Nonce: nonce, Cursor: c}
	g.deliver(x, x.Start(g.now))
	return x
}

// transferOwnership returns the new Owner at the router, with a running attempt, before it writes the journal back. It
// fails the test if the transfer does not succeed.
func (g *testCluster) transferOwnership(router string, nonce uint64, c Cursor) *Owner {
	g.Helper()
	o, err := g.startTransfer(router, nonce, c).Result()
	if o == nil {
		g.Fatalf("transfer to %s failed: %v", router, err)
	}
	o.StartAttempt()
	return o
}

// replaceHolder starts to replace the third holder of the set, which is c at first, with d.
func (g *testCluster) replaceHolder(o *Owner) {
	g.Helper()
	ms, err := o.Replace(g.now, o.Set.Members[2], g.holders["d"].ID(""))
	if err != nil {
		g.Fatal(err)
	}
	g.deliver(o, ms)
}

// isCommit reports whether the message announces a holder set as committed.
func isCommit(m Message) bool { return m.SetChange != nil && m.SetChange.Committed }

// wantTokens fails the test if the tokens differ from the wanted ones; what names them in the message.
func (g *testCluster) wantTokens(what string, got []Token, want ...Token) {
	g.Helper()
	if !slices.Equal(got, want) {
		g.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

// wantJournalLost fails the test unless the transfer was refused because the journal is lost.
func (g *testCluster) wantJournalLost(x *Transfer) {
	g.Helper()
	_, err := x.Result()
	var r *common.Refusal
	if !errors.As(err, &r) || r.Reason != common.ReasonJournalLost || r.Outcome != common.OutcomeUnknown {
		g.Fatalf("got error %v, want journal-lost with outcome unknown", err)
	}
}

// Guards against an owner that is paused while another router becomes the owner, and that then releases batches, which
// may contradict those of the new owner.
func TestPausedOwnerReleasesNothingAfterTransfer(t *testing.T) {
	for _, written := range []bool{false, true} {
		g, o := newTestCluster(t, 0)
		c := Cursor{ID: simRequestID, Set: o.Set}
		g.wantTokens("before the pause", g.appendTokens(o, 1, 2), 1, 2)
		o.Output(1, Output{IDs: []Token{3}})
		g.deliver(o, o.Flush(g.now))
		o.Output(1, Output{IDs: []Token{4}})
		g.cutRouters = "a"
		n := g.transferOwnership("d", 1, c)
		want := []Token{1, 2, 3, 5}
		if written {
			g.wantTokens("new owner", g.appendTokens(n), 1, 2, 3)
			want = want[3:]
		}
		g.cutRouters = ""
		g.wantTokens("old owner", g.appendTokens(o))
		if !o.Superseded() || o.Output(1, Output{IDs: []Token{6}}) != AttemptCancel {
			t.Fatal("the old owner is not superseded or accepts output")
		}
		g.wantTokens("new owner after the old one", g.appendTokens(n, 5), want...)
	}
}

// Guards against an owner or a transfer that counts a restarted holder, which has lost its journals, towards a quorum.
func TestRestartedHolderIsNotCounted(t *testing.T) {
	g, o := newTestCluster(t, 0)
	g.wantTokens("before the restart", g.appendTokens(o, 1, 2), 1, 2)
	g.restart("b", 2)
	g.cutRouters = "c"
	if g.wantTokens("with one holder", g.appendTokens(o, 3)); len(o.LostHolders()) != 1 || !o.LostHolders()[0].SameIncarnation(o.Set.Members[1]) {
		t.Fatalf("lost holders are %v, want b", o.LostHolders())
	}
	g.cutRouters = "a"
	x := g.startTransfer("d", 1, Cursor{ID: simRequestID, Set: o.Set})
	if n, err := x.Result(); n != nil || err != nil {
		t.Fatalf("transfer ended with %v, %v while a holder may still answer", n, err)
	}
	x.MarkLost(g.now, o.Set.Members[0])
	g.wantJournalLost(x)
}

// Guards against two concurrent transfers with the same epoch number whose owners both release batches.
func TestConcurrentTransfers(t *testing.T) {
	for _, router := range []string{"c", "d"} {
		g, o := newTestCluster(t, 0)
		c := Cursor{ID: simRequestID, Set: o.Set}
		g.wantTokens("first owner", g.appendTokens(o, 1, 2), 1, 2)
		x, y := g.transferOwnership(router, 1, c), g.transferOwnership("d", 2, c)
		first, second := g.appendTokens(x, 3), g.appendTokens(y, 4)
		g.wantTokens("first transfer", first)
		g.wantTokens("second transfer", second, 1, 2, 4)
	}
}

// Guards against a replacement that is reported as complete too early: if another holder is then lost, a transfer with
// an older cursor could not find the new holder set.
func TestHolderLostRightAfterReplacement(t *testing.T) {
	for _, unaware := range []string{"a", "b", "d"} {
		for _, lost := range []string{"a", "b"} {
			g, o := newTestCluster(t, 0)
			c := Cursor{ID: simRequestID, Set: o.Set}
			g.wantTokens("before", g.appendTokens(o, 1, 2), 1, 2)
			g.cutRouters = "c"
			g.dropMessage = func(m Message) bool { return isCommit(m) && m.To.Router == unaware }
			g.replaceHolder(o)
			if o.ReplacementInProgress() {
				t.Fatalf("the replacement is not complete without an acknowledgement of %s", unaware)
			}
			g.restart(lost, 2)
			g.wantTokens("after the loss of "+lost, g.appendTokens(g.transferOwnership("c", 1, c), 3), 1, 2, 3)
		}
	}
}

// Guards against output that is not released at the end of a replacement although a quorum of the new set has accepted
// it.
func TestReplacementEndReleasesWhatTheNewSetHolds(t *testing.T) {
	g, o := newTestCluster(t, 0)
	g.cutRouters = "c"
	g.dropMessage = func(m Message) bool { return m.To.Router == "b" && (m.Append != nil || isCommit(m)) }
	g.wantTokens("without a quorum", g.appendTokens(o, 1))
	g.replaceHolder(o)
	if ev := o.Release(); len(ev) != 1 {
		t.Fatalf("after the replacement: %v, want one batch", ev)
	}
}

// Guards against a replacement that ends while a quorum of the new set lacks released output.
func TestReplacementWaitsForReleasedPrefix(t *testing.T) {
	g, o := newTestCluster(t, 0)
	g.dropMessage = func(m Message) bool { return m.To.Router == "b" && m.Append != nil }
	g.wantTokens("by two holders", g.appendTokens(o, 1, 2), 1, 2)
	g.cutRouters = "d"
	g.replaceHolder(o)
	numberBefore := o.Set.Number
	if g.cutRouters = ""; len(g.appendTokens(o)) > 0 || numberBefore != 1 || o.Set.Number != 2 {
		t.Fatalf("set %d while one holder of the new set had the released batches, set %d when all had them", numberBefore, o.Set.Number)
	}
}

// Guards against a release with a quorum of the old set only, while a transfer may already rely on the new one.
func TestReleaseDuringReplacementNeedsBothSets(t *testing.T) {
	g, o := newTestCluster(t, 0)
	g.cutRouters = "b"
	g.dropMessage = func(m Message) bool { return isCommit(m) || m.To.Router == "d" && m.Append != nil }
	g.replaceHolder(o)
	g.wantTokens("held by a and c", g.appendTokens(o, 1))
	g.dropMessage = func(m Message) bool { return m.To.Router == "d" && m.Append != nil }
	g.wantTokens("after the replacement", g.appendTokens(o))
}

// Guards against a transfer that ends with promises of a quorum of the old set only and so misses output that was
// released with a quorum of the new one.
func TestTransferNeedsBothSetsOfAReplacement(t *testing.T) {
	g, o := newTestCluster(t, 0)
	c := Cursor{ID: simRequestID, Set: o.Set}
	g.dropMessage = func(m Message) bool { return isCommit(m) && (m.To.Router == "b" || m.To.Router == "c") }
	g.replaceHolder(o)
	g.cutRouters = "b"
	g.wantTokens("new set", g.appendTokens(o, 1), 1)
	g.restart("a", 2)
	g.cutRouters = ""
	g.wantTokens("recovered", g.appendTokens(g.transferOwnership("c", 1, c)), 1)
}

// Guards against a transfer that waits for promises of a set that was prepared but never acknowledged by a quorum,
// after a later owner has continued with the old set.
func TestTransferIgnoresAnAbandonedReplacement(t *testing.T) {
	g, o := newTestCluster(t, 0)
	c := Cursor{ID: simRequestID, Set: o.Set}
	g.cutRouters = "bc"
	g.replaceHolder(o)
	g.cutRouters = "a"
	g.wantTokens("old set", g.appendTokens(g.transferOwnership("d", 1, c), 1), 1)
	g.cutRouters = ""
	g.restart("b", 2)
	g.restart("d", 2)
	g.wantTokens("after the loss of both", g.appendTokens(g.transferOwnership("e", 2, c), 2), 1, 2)
}

// Guards against late output of an attempt that was replaced by another one: the answer would mix the output of both.
func TestLateOutputOfOlderAttemptIsDropped(t *testing.T) {
	g, o := newTestCluster(t, 0)
	g.wantTokens("first attempt", g.appendTokens(o, 1, 2), 1, 2)
	lost, between := o.EndAttempt(1), o.Output(1, Output{IDs: []Token{9}})
	req, _ := o.StartAttempt()
	g.wantTokens("resume request", req.Prompt, 7, 1, 2)
	if after := o.Output(1, Output{IDs: []Token{9}}); !lost || between != AttemptCancel || after != AttemptCancel {
		t.Fatalf("output of the old attempt returned %d and %d, want AttemptCancel", between, after)
	}
	g.wantTokens("second attempt", g.appendTokens(o, 3), 3)
}

// Guards against the loss of tokens that were not yet accepted by a quorum when their engine was lost, and against a
// maximum length that applies to each attempt instead of the whole answer.
func TestResumeKeepsUnreleasedTokens(t *testing.T) {
	g, o := newTestCluster(t, 4)
	o.SetReachable(g.now, o.Set.Members[1], false)
	g.cutRouters = "c"
	g.wantTokens("without a quorum", g.appendTokens(o, 1, 2))
	o.Output(1, Output{IDs: []Token{3}})
	o.EndAttempt(1)
	req, _ := o.StartAttempt()
	g.wantTokens("resume request", req.Prompt, 7, 1, 2, 3)
	if req.MaxTokens != 1 || req.Seed != 5 {
		t.Fatalf("resume request asks for %d tokens with seed %d", req.MaxTokens, req.Seed)
	}
	g.deliver(o, o.SetReachable(g.now, o.Set.Members[1], true))
	if g.wantTokens("after the resume", g.appendTokens(o, 4), 1, 2, 3, 4); !o.Done() {
		t.Fatal("the answer is not finished at its maximum length")
	}
}

// Guards against a reply to a promise request that arrives after the transfer and is taken for an acknowledgement of
// the journal: the owner would then never send the journal to that holder.
func TestLatePromiseReplyIsNoAcknowledgement(t *testing.T) {
	g, o := newTestCluster(t, 0)
	g.appendTokens(o, 1, 2)
	g.cutRouters = "a"
	n := g.transferOwnership("d", 1, Cursor{ID: simRequestID, Set: o.Set})
	for _, m := range n.Flush(g.now) {
		m.Install, m.Promise = nil, &PromiseRequest{}
		n.Handle(g.now, g.holders[m.To.Router].Handle(g.now, m))
	}
	g.wantTokens("after the write-back", g.appendTokens(n), 1, 2)
}

// Guards against a transfer that continues from a journal with fewer tokens than the caller has received: the caller
// would receive the tokens of two different continuations.
func TestCursorBeyondTheJournalIsLost(t *testing.T) {
	g, o := newTestCluster(t, 0)
	g.appendTokens(o, 1, 2)
	g.wantJournalLost(g.startTransfer("d", 1, Cursor{ID: simRequestID, Set: o.Set, Offset: 3}))
}

// Guards against an answer that never gets a finish reason if its owner is lost after the last token was journalled.
func TestTransferAtMaximumLengthFinishes(t *testing.T) {
	g, o := newTestCluster(t, 0)
	g.appendTokens(o, 1, 2)
	for _, m := range o.Set.Members {
		g.holders[m.Router].entries.Get(simRequestID).record.MaxTokens = 2
	}
	n := g.transferOwnership("d", 1, Cursor{ID: simRequestID, Set: o.Set})
	if g.wantTokens("recovered answer", g.appendTokens(n), 1, 2); !n.Done() || n.Stats().Attempts > 0 {
		t.Fatal("the recovered answer is not finished, or an attempt was started")
	}
}
