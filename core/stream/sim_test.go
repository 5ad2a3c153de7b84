package stream

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	// simRequestID is the request id of the only generation.
	simRequestID = "request"
	// simEngines is the number of engines.
	simEngines = 3
	// saltBits is the number of low bits of a token id that identify its engine.
	saltBits = 6
)

// simRouter is a simulated router with its journal holder and its owners and transfers of the generation.
type simRouter struct {
	name        string
	holder      *Holder
	alive       bool
	paused      bool
	generations []*simGeneration
}

// up reports whether the router runs: it is neither killed nor paused.
func (r *simRouter) up() bool { return r.alive && !r.paused }

// simGeneration is the generation at one router. Its Owner is nil while its transfer is in progress.
type simGeneration struct {
	*Owner
	transfer *Transfer
	// handler receives replies: the transfer at first and then the owner.
	handler replyHandler
	// callerConn is the number of the caller's connection to which the output goes.
	callerConn int
	attempts   []*simAttempt
}

// simAttempt is an attempt that runs on a simulated engine.
type simAttempt struct {
	attempt int
	engine  int
	// prefix has the tokens of the prompt and of the output so far.
	prefix []Token
	// remaining is the number of tokens that the attempt may still generate.
	remaining int
}

// packet is a message, or a reply if that is set, on its way between two routers.
type packet struct {
	from, to string
	msg      Message
	reply    *Reply
}

// simulation is a cluster with one generation, one caller and a network that drops, duplicates and reorders messages.
type simulation struct {
	t         *rapid.T
	now       time.Time
	routers   []*simRouter
	cutLinks  map[string]bool
	inFlight  []packet
	engines   [simEngines]struct{ dead, paused bool }
	maxTokens int
	prompt    []Token
	healing   bool

	// answer has the tokens that any owner has released, answerFinal is true once the last one is among them.
	// fencedTokens is the number of tokens that the newest owner recovered; older owners may release no later ones.
	// newestEpoch is its epoch, set and nextSet are its holder sets.
	answer       []Token
	answerFinal  bool
	fencedTokens int
	newestEpoch  Epoch
	set          HolderSet
	nextSet      *HolderSet

	// callerRouter is the router to which the caller is connected, or nil, and callerConn the number of that
	// connection. callerOffset is the number of tokens that the caller has received, callerDone is true once it has the
	// last batch. cursors are all cursors that it received, callerErr is the error of its last transfer.
	callerConn, callerOffset int
	callerRouter             *simRouter
	callerDone               bool
	cursors                  []Cursor
	callerErr                error
}

// newSimulation returns a cluster of five routers, where router a owns a new generation and the caller is connected to
// it.
func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), cutLinks: map[string]bool{}, prompt: []Token{7, 8, 9}, set: HolderSet{Number: 1}}
	s.maxTokens = s.drawInt(1, 40, "max")
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		s.routers = append(s.routers, &simRouter{name: name, alive: true, holder: &Holder{Router: name, Incarnation: 1}})
		if i < 3 {
			s.set.Members = append(s.set.Members, s.routers[i].holder.ID(""))
		}
	}
	s.newestEpoch = Epoch{Number: FirstEpoch, Router: "a"}
	o := &Owner{Record: OpenRecord{ID: simRequestID, Prompt: s.prompt, MaxTokens: s.maxTokens}, Epoch: s.newestEpoch, Set: s.set}
	if s.drawInt(0, 1, "text prompt") == 1 {
		o.Record.Prompt = nil
	}
	s.callerRouter = s.routers[0]
	s.callerRouter.generations = []*simGeneration{{Owner: o, handler: o}}
	s.send(s.callerRouter, o.Open(s.now))
	return s
}

// router returns the router with the name.
func (s *simulation) router(name string) *simRouter { return s.routers[name[0]-'a'] }

// send passes messages of a router to its own holder at once and puts those to other routers on the network.
func (s *simulation) send(r *simRouter, ms []Message) {
	for _, m := range ms {
		if m.To.Router == r.name {
			s.receive(r, r.holder.Handle(s.now, m))
			continue
		}
		s.inFlight = append(s.inFlight, packet{from: r.name, to: m.To.Router, msg: m})
	}
}

// receive passes a reply to the owners and transfers of a router and sends the messages that they return.
func (s *simulation) receive(r *simRouter, reply Reply) {
	for _, g := range r.generations {
		s.send(r, g.handler.Handle(s.now, reply))
		// The holder set of the newest owner is in effect once a quorum of it has accepted the open record.
		if g.Owner != nil && g.Epoch == s.newestEpoch && !g.Superseded() && g.Opened() {
			s.set, s.nextSet = g.Set, g.nextSet
		}
	}
}

// deliver passes packet i to its receiver. The packet is lost if the receiver is killed or the link is cut. It stays on
// the network while the receiver is paused and, to be delivered a second time, if again is true.
func (s *simulation) deliver(i int, again bool) {
	p := s.inFlight[i]
	r := s.router(p.to)
	if r.paused {
		return
	}
	if !again {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if !r.alive || s.cutLinks[p.from+p.to] {
		return
	}
	if p.reply != nil {
		s.receive(r, *p.reply)
		return
	}
	reply := r.holder.Handle(s.now, p.msg)
	s.inFlight = append(s.inFlight, packet{from: p.to, to: p.from, reply: &reply})
}

// simSoftware returns the software version of an engine: engine 0 has one of its own, the others share one.
func simSoftware(engine int) string { return []string{"1.0", "1.1", "1.1"}[engine] }

// simToken returns the token that an engine generates after a prefix: a hash of the prefix in the upper bits and the
// number of the engine in the lower bits.
func simToken(prefix []Token, engine int) Token {
	h := fnv.New32a()
	fmt.Fprint(h, prefix)
	return h.Sum32()>>saltBits<<saltBits | Token(engine)
}

// generateToken generates the next token of an attempt and passes it to the owner. The token may be the last one.
func (s *simulation) generateToken(g *simGeneration, x *simAttempt) {
	if e := s.engines[x.engine]; x.remaining == 0 || e.dead || e.paused {
		return
	}
	id := simToken(x.prefix, x.engine)
	out := Output{IDs: []Token{id}, Text: fmt.Sprint(id), Prompt: s.prompt, Software: simSoftware(x.engine)}
	x.prefix = append(x.prefix, id)
	x.remaining--
	if x.remaining == 0 {
		out.Finish = FinishLength
	} else if len(x.prefix) > len(s.prompt)+3 && id>>saltBits%29 == 0 {
		out.Finish = FinishStop
	}
	current, running := g.Running()
	v := g.Output(x.attempt, out)
	if (v == AttemptCancel) != (x.attempt != current || !running) {
		s.t.Fatalf("action %d on attempt %d, the current one is %d (%v)", v, x.attempt, current, running)
	}
	if v != AttemptContinue {
		g.attempts = slices.DeleteFunc(g.attempts, func(y *simAttempt) bool { return x == y })
	}
}

// restartAttempts starts the next attempt if none is running or if the engine of the current one is dead or stalled.
func (s *simulation) restartAttempts(g *simGeneration, stalled bool) {
	attempt, running := g.Running()
	for _, x := range g.attempts {
		if e := s.engines[x.engine]; x.attempt == attempt && running && (e.dead || stalled && e.paused) {
			running = !g.EndAttempt(attempt)
		}
	}
	// The router may not know the version of the engine that it selects.
	engine := s.drawInt(0, simEngines-1, "engine")
	if s.healing && !g.acceptsSoftware(simSoftware(engine)) {
		engine = 0
	}
	if running || s.engines[engine].dead {
		return
	}
	if req, ok := g.StartAttempt(); ok {
		prefix := slices.Concat(req.Prompt, s.prompt[:len(s.prompt)-min(len(req.Prompt), len(s.prompt))])
		g.attempts = append(g.attempts, &simAttempt{attempt: req.Attempt, engine: engine, prefix: prefix, remaining: req.MaxTokens})
	}
}

// replaceHolder makes an owner replace a lost holder or, if none is lost, a random one.
func (s *simulation) replaceHolder(r *simRouter, g *simGeneration) {
	lost := append(g.LostHolders(), g.Set.Members[s.drawInt(0, len(g.Set.Members)-1, "lost")])[0]
	replacement := s.routers[s.drawInt(0, len(s.routers)-1, "fresh")].holder.ID("")
	if ms, err := g.Replace(s.now, lost, replacement); err == nil {
		s.send(r, ms)
	}
}

// tick runs the router's periodic work.
func (s *simulation) tick(r *simRouter) {
	if !r.up() {
		return
	}
	for _, g := range r.generations {
		if g.Owner == nil {
			s.send(r, g.transfer.Tick(s.now))
			s.finishTransfer(g)
		}
		if g.Owner != nil {
			s.send(r, g.Flush(s.now))
			s.release(r, g)
		}
	}
	r.generations = slices.DeleteFunc(r.generations, func(g *simGeneration) bool {
		ended := g.Owner == nil && g.transfer.err != nil || g.Owner != nil && g.Superseded()
		if ended && s.callerConn == g.callerConn {
			s.callerRouter = nil
		}
		return ended && len(g.attempts) == 0
	})
}

// finishTransfer stores the result of a transfer that has ended. Its owner becomes the newest one if its epoch is
// higher than those of the others.
func (s *simulation) finishTransfer(g *simGeneration) {
	owner, err := g.transfer.Result()
	if err != nil && s.callerConn == g.callerConn {
		s.callerErr = err
	}
	if owner == nil {
		return
	}
	g.Owner, g.handler = owner, owner
	if s.newestEpoch.Less(g.Epoch) {
		s.newestEpoch, s.fencedTokens = g.Epoch, g.Tokens()
	}
}

// release checks the batches that an owner releases and passes them to the caller if it is connected to that router.
func (s *simulation) release(r *simRouter, g *simGeneration) {
	connected := s.callerConn == g.callerConn && s.callerRouter == r
	if len(s.cursors) == 0 && connected && g.Opened() {
		s.cursors = append(s.cursors, g.Cursor(ReleasedBatch{}))
	}
	for _, ev := range g.Release() {
		if g.Epoch.Less(s.newestEpoch) && ev.Offset+len(ev.IDs) > s.fencedTokens {
			s.t.Fatalf("owner %v released offset %d after %v took over %d tokens", g.Epoch, ev.Offset, s.newestEpoch, s.fencedTokens)
		}
		s.checkReleasedBatch(g, ev)
		if !connected {
			continue
		}
		c, err := ParseCursor(g.Cursor(ev).String())
		if err != nil || ev.Offset != s.callerOffset || s.callerDone {
			s.t.Fatalf("the caller at offset %d (end %v) received offset %d: %v", s.callerOffset, s.callerDone, ev.Offset, err)
		}
		s.callerOffset, s.callerDone = c.Offset, c.Final
		s.cursors = append(s.cursors, c)
	}
}

// checkReleasedBatch fails the test if the released batch contradicts the answer released so far. Tokens that correctly
// continue the answer are appended to it.
func (s *simulation) checkReleasedBatch(o *simGeneration, ev ReleasedBatch) {
	text := ""
	for i, id := range ev.IDs {
		text += fmt.Sprint(id)
		at := ev.Offset + i
		if at == len(s.answer) && !s.answerFinal && id>>saltBits == simToken(slices.Concat(s.prompt, s.answer), 0)>>saltBits {
			s.answer = append(s.answer, id)
		}
		if engine := int(id & (1<<saltBits - 1)); simSoftware(engine) != simSoftware(int(s.answer[0]&(1<<saltBits-1))) {
			s.t.Fatalf("%v released a token of engine %d at %d, which has not the version that began the answer", o.Epoch, engine, at)
		}
		if at >= len(s.answer) || s.answer[at] != id {
			s.t.Fatalf("%v released token %d at %d, which contradicts the answer %v", o.Epoch, id, at, s.answer)
		}
	}
	end := ev.Offset+len(ev.IDs) == len(s.answer)
	if text != ev.Text || ev.Finish != "" && !end {
		s.t.Fatalf("%v released %+v when the answer had %d tokens", o.Epoch, ev, len(s.answer))
	}
	s.answerFinal = s.answerFinal || ev.Finish != ""
}

// connectCaller makes the caller resume at a router with one of its cursors.
func (s *simulation) connectCaller(r *simRouter, c Cursor) {
	if !r.up() {
		return
	}
	s.callerConn++
	s.callerRouter, s.callerOffset, s.callerDone, s.callerErr = r, c.Offset, c.Final, nil
	for _, g := range r.generations {
		if g.Owner != nil && !g.Superseded() && g.ResumeAfter(c) == nil {
			g.callerConn = s.callerConn
			return
		}
	}
	x := &Transfer{Router: r.name, Nonce: uint64(s.callerConn), Cursor: c}
	r.generations = append(r.generations, &simGeneration{transfer: x, handler: x, callerConn: s.callerConn})
	s.send(r, x.Start(s.now))
}

// killOrStart kills a router that is alive, which loses its journals, or starts one that is not.
func (s *simulation) killOrStart(r *simRouter) {
	if !r.alive {
		r.alive = true
		return
	}
	if s.callerRouter == r {
		s.callerRouter = nil
	}
	*r = simRouter{name: r.name, holder: &Holder{Router: r.name, Incarnation: r.holder.Incarnation + 1}}
}

// memberAlive returns 1 if the router of the member is alive and has not restarted since, and 0 otherwise.
func (s *simulation) memberAlive(m HolderID) int {
	if r := s.router(m.Router); r.alive && r.holder.Incarnation == m.Incarnation {
		return 1
	}
	return 0
}

// journalReachable reports whether a quorum of the current holder set is alive and can be found from the cursor,
// through the sets that the live holders know. A quorum of a set that was prepared at the highest epoch is needed too,
// since output may have been released that only this quorum has accepted.
func (s *simulation) journalReachable(c Cursor) bool {
	found := HolderSet{Members: slices.Clone(c.Set.Members)}
	last := &journalEntry{}
	var entries []*journalEntry
	for i := 0; i < len(found.Members); i++ {
		e := s.router(found.Members[i].Router).holder.entries.Get(simRequestID)
		if s.memberAlive(found.Members[i]) == 0 || e == nil {
			continue
		}
		entries = append(entries, e)
		if last.accepted.Less(e.accepted) {
			last = e
		}
		known := e.set.Members
		if e.nextSet != nil {
			known = slices.Concat(known, e.nextSet.Members)
		}
		for _, m := range known {
			if !found.Has(m) {
				found.Members = append(found.Members, m)
			}
		}
	}
	reachable := func(m HolderID) int {
		if !found.Has(m) {
			return 0
		}
		return s.memberAlive(m)
	}
	for _, e := range entries {
		if e.nextSet != nil && e.accepted == last.accepted && valueReachedByQuorum(*e.nextSet, reachable) == 0 {
			return false
		}
	}
	return valueReachedByQuorum(s.set, reachable) == 1 && (s.nextSet == nil || valueReachedByQuorum(*s.nextSet, reachable) == 1)
}
