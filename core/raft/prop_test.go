package raft

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Runs each property with 2000 random inputs instead of rapid's default of 100.
func init() { _ = flag.Set("rapid.checks", "2000") }

// maxPeers limits the simulated members in a random run, so that runs stay short.
const maxPeers = 7

// randomRun is a simulation that executes random actions and faults.
type randomRun struct {
	*simulation
	rt        *rapid.T
	rng       *rand.Rand
	faultRate int // faults per 400 actions
	proposals int // number of proposals so far
}

// randomInt returns a uniform random number below n. The integers that rapid draws are mostly small, which would favour
// the first actions of each list.
func (c *randomRun) randomInt(n int) int { return c.rng.IntN(n) }

// randomAction injects a fault or executes one random action on a random peer.
func (c *randomRun) randomAction() {
	p := c.peers[c.randomInt(len(c.peers))]
	if c.randomInt(400) < c.faultRate {
		c.injectFault(p)
		return
	}
	switch action := c.randomInt(100); {
	case action < 55:
		c.deliverRandomly()
	case action < 75:
		if c.isRunning(p) {
			for range 1 + c.randomInt(3) {
				p.node.Tick()
				c.checkInvariants(p)
			}
		}
		c.processReady(p, 0)
	case action < 85:
		c.proposeNext(p)
	case action < 91:
		if c.isRunning(p) {
			c.startRead(p)
			c.processReady(p, 0)
		}
	case action < 94:
		if c.isRunning(p) {
			c.compactLog(p, uint64(c.randomInt(4)), 300*c.randomInt(5))
		}
	case action < 96:
		c.changeRandomMember(p)
	case action < 97:
		if c.isRunning(p) {
			_, _ = p.node.TransferLeadership(ID{})
			c.processReady(p, 0)
		}
	default:
		p.paused = false
		if p.node == nil {
			c.startPeer(p)
		}
	}
}

// injectFault makes the peer lose its disk, crash, pause, lose its messages, or crash while it processes a Ready; or it
// ends all partitions.
func (c *randomRun) injectFault(p *peer) {
	switch c.randomInt(16) {
	case 0:
		c.loseDisk(p, false)
	case 1, 2:
		c.crash(p)
	case 3, 4, 5:
		p.paused = true
	case 6, 7:
		c.partitioned[p.id.Name] = true
	case 8, 9, 10:
		clear(c.partitioned)
	default:
		c.processReady(p, 1+c.randomInt(3))
	}
}

// deliverRandomly delivers some messages in random order, and duplicates or loses a few of them.
func (c *randomRun) deliverRandomly() {
	for range 1 + c.randomInt(8) {
		if len(c.inTransit) == 0 {
			return
		}
		i := c.randomInt(len(c.inTransit))
		m := c.inTransit[i]
		outcome := c.randomInt(40)
		if outcome != 0 { // otherwise the message stays in transit and may be delivered again
			c.inTransit = slices.Delete(c.inTransit, i, i+1)
		}
		if outcome == 1 { // the message is lost
			continue
		}
		c.deliver(m)
		p := c.peerByName(m.To)
		switch {
		case p == nil:
		case c.randomInt(2000) < c.faultRate:
			c.processReady(p, 1+c.randomInt(3))
		case c.randomInt(3) > 0:
			c.processReady(p, 0)
		}
	}
}

// proposeNext makes a proposal, mostly to the leader and otherwise to p.
func (c *randomRun) proposeNext(p *peer) {
	if leader := c.leader(); leader != nil && c.randomInt(4) > 0 {
		p = leader
	}
	if !c.isRunning(p) {
		return
	}
	c.proposals++
	data := fmt.Appendf(nil, "proposal %d", c.proposals)
	if c.randomInt(5) == 0 {
		// Larger than an append message and than what may be unacknowledged.
		data = append(data, make([]byte, 1+c.randomInt(1000))...)
	}
	_ = p.node.Propose(data)
	if c.randomInt(2) > 0 {
		c.processReady(p, 0)
	}
}

// changeRandomMember proposes a random membership change to the leader, if there is one; p is the candidate for an
// addition.
func (c *randomRun) changeRandomMember(p *peer) {
	leader := c.leader()
	if leader == nil {
		return
	}
	change := ConfChange{Type: ChangeType(1 + c.randomInt(3)), ID: p.id}
	if all := leader.node.log.members().All(); change.Type != AddLearner && len(all) > 0 {
		change.ID = all[c.randomInt(len(all))]
	}
	if change.Type == AddLearner && len(c.peers) < maxPeers && c.randomInt(2) == 0 {
		c.uniqueNumber++
		change.ID = c.addPeer(ID{Name: fmt.Sprint("p", c.uniqueNumber), Disk: "0"}, PersistentState{}).id
	}
	_ = leader.node.ProposeConfChange(change)
	c.processReady(leader, 0)
}

// heal ends all partitions and pauses and starts all peers that are down.
func (c *randomRun) heal() {
	clear(c.partitioned)
	for _, p := range c.peers {
		p.paused = false
		if p.node == nil {
			c.startPeer(p)
		}
	}
}

// canRecover reports whether each membership in any peer's log has a quorum of voters that still have their disks.
func (c *randomRun) canRecover() bool {
	known := false
	for _, p := range c.peers {
		for _, conf := range p.node.log.memberships {
			lost := slices.DeleteFunc(slices.Clone(conf.members.Voters), func(id ID) bool {
				current := c.peerByName(id)
				return current != nil && current.id == id
			})
			if voters := len(conf.members.Voters); voters > 0 && voters-len(lost) < conf.members.Quorum() {
				return false
			}
			known = known || len(conf.members.Voters) > 0
		}
	}
	return known
}

// Guards against two leaders in a term, lost or changed committed entries, diverging state machines, lost acknowledged
// proposals and stale reads. The causes tried are message loss, delay, reordering and duplication, pauses, crashes
// before a sync, lost disks, membership changes and compaction. Also guards against a group that does not recover
// afterwards.
func TestRandomInterleavings(t *testing.T) {
	var recovered, committed, reads, changes int
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		c := &randomRun{rt: rt, rng: rand.New(rand.NewPCG(seed, 0))}
		c.simulation = newSimulation(rt, 1+c.randomInt(5))
		c.inFlightBytes = 600
		for _, p := range c.peers {
			p.node.InFlightBytes = c.inFlightBytes
		}
		c.faultRate = rapid.IntRange(1, 20).Draw(rt, "faults")
		for range rapid.IntRange(300, 1500).Draw(rt, "steps") {
			c.randomAction()
		}
		c.heal()
		committed += len(c.committed)
		reads += len(c.answeredReads)
		for _, e := range c.committed {
			if e.Type == EntryMembers {
				changes++
			}
		}
		if !c.canRecover() {
			return
		}
		recovered++
		c.requireRecovery()
	})
	t.Logf("%d runs recovered; %d entries, %d membership changes and %d reads", recovered, committed, changes, reads)
}

// requireRecovery requires that the healed group commits a new proposal and that each voter applies all entries. It
// first runs for two election timeouts, because a lost snapshot chunk is sent again only after one, and the first
// leader may commit its own removal.
func (c *randomRun) requireRecovery() {
	c.electLeader()
	c.runTicks(2 * DefaultElectionTicks)
	c.proposeAndCommit(c.electLeader(), "last")
	c.runTicks(60)
	leader := c.electLeader()
	for i := uint64(1); i <= leader.node.log.commitIndex; i++ {
		if _, ok := c.committed[i]; !ok {
			c.rt.Fatalf("entry %d was committed and is lost", i)
		}
	}
	for _, id := range leader.node.log.members().Voters {
		if p := c.peerByName(id); p.id == id {
			c.requireCaughtUp(p, leader)
		}
	}
	if c.highestCommit > leader.node.log.commitIndex {
		c.rt.Fatalf("the leader has %d entries, %d were committed", leader.node.log.commitIndex, c.highestCommit)
	}
}
