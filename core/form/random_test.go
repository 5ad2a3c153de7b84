package form

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	_ "wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// init raises the number of random cases of each property test.
func init() { _ = flag.Set("rapid.checks", "500") }

const (
	// tickLength is the simulated time of one step, the same as in io/repl.
	tickLength = 100 * time.Millisecond
	// recoverTicks is the required bound recover_s of 12 s: the time to a working group once all machines run again.
	recoverTicks = int(12 * time.Second / tickLength)
	// settleTicks is the time to a complete group after it works again: members are removed and added one after
	// another.
	settleTicks = int(40 * time.Second / tickLength)
	// joinTicks and removalTicks are the intervals, as in io/keeper, between attempts to join and checks for members
	// to remove.
	joinTicks, removalTicks = 3, 10
	// snapshotInterval is the number of entries between snapshots; it is low, so that short simulations take several.
	snapshotInterval = 8
)

// endFaults ends all injected faults and restarts the processes that are down.
func (s *simulation) endFaults() {
	s.healPartition()
	s.faultsEnded, s.lossPercent, s.maxExtraDelay = true, 0, 0
	for _, m := range s.members {
		m.frozenUntil = 0
		if m.node == nil {
			m.restartTick = s.tick + 1
		}
	}
}

// requireRecovery fails the test unless the group commits a write within recoverTicks of the end of the faults.
func (s *simulation) requireRecovery() {
	before := s.ackedVersion
	for range recoverTicks {
		if s.tick%5 == 0 {
			s.writeOrRead()
		}
		s.step()
		if s.ackedVersion > before {
			return
		}
	}
	s.Fatalf("no write is acknowledged within %d ticks of the end of the faults:%s", recoverTicks, s.memberStatus())
}

// requireFullGroup fails the test unless, within settleTicks, all members are voters with the acknowledged state, the
// group tolerates a further loss, and the relays have the state.
func (s *simulation) requireFullGroup() {
	var err error
	for range settleTicks / removalTicks {
		for range removalTicks {
			s.step()
		}
		if err = s.checkFullGroup(); err == nil {
			return
		}
	}
	s.Fatalf("after %d ticks: %v:%s", settleTicks, err, s.memberStatus())
}

// checkFullGroup returns an error that names the first property of a complete group that does not hold, or nil.
func (s *simulation) checkFullGroup() error {
	leader := s.leader()
	if leader == nil {
		return errors.New("no leader")
	}
	st := leader.node.Status()
	for _, m := range s.members {
		if !st.Members.IsVoter(m.id()) {
			return fmt.Errorf("%s is not a voter", m.id())
		}
		if current, _ := m.machine.Current(); current.Version < s.ackedVersion {
			return fmt.Errorf("%s holds version %d, %d was acknowledged", m.id(), current.Version, s.ackedVersion)
		}
	}
	if len(s.members) <= st.Members.Quorum() {
		return fmt.Errorf("%d members do not tolerate a loss", len(s.members))
	}
	current, _ := leader.machine.Current()
	for i, r := range s.relays {
		if r.version != current.Version {
			return fmt.Errorf("relay %d holds version %d, the group has %d", i, r.version, current.Version)
		}
	}
	return nil
}

// leader returns the leader of the highest term, or nil.
func (s *simulation) leader() (best *member) {
	for _, m := range s.members {
		if s.responsive(m) && m.node.IsLeader() && (best == nil || m.node.Term() > best.node.Term()) {
			best = m
		}
	}
	return best
}

// memberStatus returns one line for each running member, for failure messages.
func (s *simulation) memberStatus() (out string) {
	for _, m := range s.members {
		if m.node != nil {
			st := m.node.Status()
			out += fmt.Sprintf("\n%s %s term %d leader %s commit %d of %d, %+v", st.ID, st.Role, st.Term, st.Leader, st.Commit, st.Last, st.Members)
		}
	}
	return out
}

// Guards against lost acknowledged writes, stale reads, two groups, relays with a newer state than the group, members
// that never join, and groups that do not recover. Simulates the first start followed by random restarts, freezes,
// partitions, machine replacements, power losses, and disk losses that leave a quorum.
func TestRandomSchedules(t *testing.T) {
	var writes, reads, lostDisks, membershipChanges int
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		faultInterval := rapid.IntRange(5, 60).Draw(rt, "ticks between faults")
		for range rapid.IntRange(100, 600).Draw(rt, "ticks") {
			if s.rng.IntN(faultInterval) == 0 {
				s.injectFault()
			}
			if s.rng.IntN(4) == 0 {
				s.writeOrRead()
			}
			s.step()
		}
		s.endFaults()
		s.requireRecovery()
		s.requireFullGroup()
		writes, reads, lostDisks = writes+int(s.ackedVersion), reads+s.readCount, lostDisks+s.lostDisks
		for _, e := range s.applied {
			if e.Members != nil {
				membershipChanges++
			}
		}
	})
	t.Logf("%d writes acknowledged, %d reads, %d disks lost, %d membership changes", writes, reads, lostDisks, membershipChanges)
}
