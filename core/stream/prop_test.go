package stream

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabiweir/core/common"
	_ "wasabiweir/core/prop"
)

// init sets the default number of cases, which the flag -rapid.checks overrides.
func init() { _ = flag.Set("rapid.checks", "4000") }

// Guards against a caller that receives an answer with missing, repeated or foreign tokens or with tokens of two software
// versions, against output released by a fenced owner, and against a generation that does not complete although a quorum of its holders and an engine are
// alive.
func TestAnswerStaysConsistentUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 3 * s.drawInt(10, 200, "steps") {
			s.randomStep()
		}
		s.heal()
	})
}

// uniformByte generates integers from 0 to 255 with equal probability. rapid.IntRange prefers small values, so that the
// first actions of randomStep would be chosen most of the time.
var uniformByte = rapid.Custom(func(t *rapid.T) int {
	n := 0
	for range 8 {
		n <<= 1
		if rapid.Bool().Draw(t, "bit") {
			n++
		}
	}
	return n
})

// drawInt returns a random integer from low to high, both included. While heal runs it returns high without drawing, so
// that no shrunk test case prevents the generation from completing.
func (s *simulation) drawInt(low, high int, name string) int {
	if s.healing {
		return high
	}
	return low + uniformByte.Draw(s.t, name)%(high-low+1)
}

// randomRouter draws one of the routers.
func (s *simulation) randomRouter() *simRouter {
	return s.routers[s.drawInt(0, len(s.routers)-1, "router")]
}

// randomStep lets up to 30 ms pass and performs one random action: it delivers messages, runs periodic work or engines,
// injects a fault, or reconnects the caller.
func (s *simulation) randomStep() {
	s.now = s.now.Add(time.Duration(s.drawInt(0, 30, "ms")) * time.Millisecond)
	switch n := s.drawInt(0, 99, "action"); {
	case n < 40:
		s.deliverPackets()
	case n < 60:
		for _, r := range s.routers {
			s.tick(r)
		}
	case n < 86:
		for _, r := range s.routers {
			s.runEngines(r)
		}
	case n < 90:
		e := &s.engines[s.drawInt(0, simEngines-1, "engine")]
		e.dead = s.drawInt(0, 1, "dead") == 1
		e.paused = s.drawInt(0, 1, "paused") == 1
	case n < 93:
		r := s.randomRouter()
		r.paused = r.alive && !r.paused
	case n < 95:
		a, b := s.randomRouter().name, s.randomRouter().name
		s.cutLinks[a+b] = !s.cutLinks[a+b]
	case n < 96:
		s.killOrStart(s.randomRouter())
	case len(s.cursors) > 0:
		s.connectCaller(s.randomRouter(), s.cursors[s.drawInt(0, len(s.cursors)-1, "cursor")])
	}
}

// deliverPackets delivers, drops or duplicates a few random packets.
func (s *simulation) deliverPackets() {
	for n := s.drawInt(1, 4, "packets"); n > 0 && len(s.inFlight) > 0; n-- {
		i := s.drawInt(0, len(s.inFlight)-1, "packet")
		if s.drawInt(0, 9, "lose") == 0 {
			s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
			continue
		}
		s.deliver(i, s.drawInt(0, 9, "again") == 0)
	}
}

// runEngines generates output for the attempts of a router, and may replace a holder or start another attempt.
func (s *simulation) runEngines(r *simRouter) {
	for _, g := range r.generations {
		if !r.up() || g.Owner == nil {
			continue
		}
		for _, x := range slices.Clone(g.attempts) {
			for range s.drawInt(0, 2, "tokens") {
				s.generateToken(g, x)
			}
		}
		if s.drawInt(0, 15, "replace") == 0 {
			s.replaceHolder(r, g)
		}
		s.restartAttempts(g, s.drawInt(0, 1, "stalled") == 1)
	}
}

// heal repairs all faults and runs until the caller has the whole answer or the journal is lost. It fails the test if
// the answer is incomplete although the journal is reachable.
func (s *simulation) heal() {
	s.healing, s.callerErr = true, nil
	if len(s.cursors) > 0 {
		s.callerRouter = nil // All holders in the cursor of a transfer in progress may have been replaced and lost.
		s.callerConn++
	}
	s.cutLinks = map[string]bool{}
	clear(s.engines[:])
	for _, r := range s.routers {
		r.paused, r.alive = false, true
	}
	for i := 0; i < 400 && !s.callerDone; i++ {
		s.now = s.now.Add(60 * time.Millisecond)
		if s.callerRouter == nil && len(s.cursors) == 0 {
			return // A caller without a cursor would send a new request, since no output was released.
		}
		if s.callerRouter == nil {
			s.connectCaller(s.routers[i%len(s.routers)], s.cursors[len(s.cursors)-1])
		}
		for len(s.inFlight) > 0 {
			s.deliver(0, false)
		}
		for _, r := range s.routers {
			s.runEngines(r)
			s.tick(r)
		}
		if s.callerErr != nil {
			break
		}
	}
	cursors := append([]Cursor{{Set: s.set}}, s.cursors...)
	lost := s.callerErr == nil || common.AsRefusal(s.callerErr).Reason == common.ReasonJournalLost
	if !s.callerDone && (!lost || s.journalReachable(cursors[len(cursors)-1])) {
		s.t.Fatalf("incomplete at %d of %d tokens, the holders are %v %v: %v", s.callerOffset, s.maxTokens, s.set, s.nextSet, s.callerErr)
	}
}
