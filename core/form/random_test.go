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

func init() { _ = flag.Set("rapid.checks", "500") }

const (
	// tick is the length of a step of the schedule, as in io/repl.
	tick = 100 * time.Millisecond
	// recoverTicks is the users' bound recover_s: the time to a working group once all machines are back.
	recoverTicks = int(12 * time.Second / tick)
	// settleTicks is the time to a complete group after it works: removals and places of newcomers, one after another.
	settleTicks = int(40 * time.Second / tick)
	// joinTicks and tidyTicks are the intervals of io/keeper.
	joinTicks, tidyTicks = 3, 10
	// compactEvery is the number of entries between snapshots, few so that short schedules have several.
	compactEvery = 8
)

// heal ends all disturbances.
func (s *schedule) heal() {
	s.connect()
	s.healed, s.lossy, s.slow = true, 0, 0
	for _, m := range s.members {
		m.woken = 0
		if m.node == nil {
			m.back = s.now + 1
		}
	}
}

// recover requires that the healed group acknowledges a state within the users' bound.
func (s *schedule) recover() {
	before := s.acked
	for range recoverTicks {
		if s.now%5 == 0 {
			s.operate()
		}
		s.step()
		if s.acked > before {
			return
		}
	}
	s.Fatalf("no state is acknowledged within %d ticks of the repair:%s", recoverTicks, s.describe())
}

// settle requires that all keepers end as voters, that the group then bears a further loss, and that all have the state.
func (s *schedule) settle() {
	var err error
	for range settleTicks / tidyTicks {
		for range tidyTicks {
			s.step()
		}
		if err = s.incomplete(); err == nil {
			return
		}
	}
	s.Fatalf("after %d ticks: %v:%s", settleTicks, err, s.describe())
}

// incomplete says what the group still lacks.
func (s *schedule) incomplete() error {
	leader := s.leader()
	if leader == nil {
		return errors.New("no leader")
	}
	st := leader.node.Status()
	for _, m := range s.members {
		if !st.Members.IsVoter(m.id()) {
			return fmt.Errorf("%s is not a voter", m.id())
		}
		if held, _ := m.machine.Held(); held.Version < s.acked {
			return fmt.Errorf("%s holds version %d, %d was acknowledged", m.id(), held.Version, s.acked)
		}
	}
	if len(s.members) <= st.Members.Quorum() {
		return fmt.Errorf("%d members cannot bear a loss", len(s.members))
	}
	held, _ := leader.machine.Held()
	for i, r := range s.relays {
		if r.version != held.Version {
			return fmt.Errorf("relay %d holds version %d, the group has %d", i, r.version, held.Version)
		}
	}
	return nil
}

func (s *schedule) leader() (best *member) {
	for _, m := range s.members {
		if s.live(m) && m.node.Leads() && (best == nil || m.node.Term() > best.node.Term()) {
			best = m
		}
	}
	return best
}

func (s *schedule) describe() (out string) {
	for _, m := range s.members {
		if m.node != nil {
			st := m.node.Status()
			out += fmt.Sprintf("\n%s %s term %d leader %s commit %d of %d, %+v", st.ID, st.Role, st.Term, st.Leader, st.Commit, st.Last, st.Members)
		}
	}
	return out
}

// Guards against lost acknowledged states, reads that go back, two groups, relays ahead of the group, members that stay
// outside and groups that do not recover, over losses of disks within what a quorum bears, restarts, freezes, partitions,
// replaced machines and power losses, from the first start on.
func TestRandomSchedules(t *testing.T) {
	var states, reads, losses, changes int
	rapid.Check(t, func(rt *rapid.T) {
		s := newSchedule(rt)
		rate := rapid.IntRange(5, 60).Draw(rt, "ticks between faults")
		for range rapid.IntRange(100, 600).Draw(rt, "ticks") {
			if s.rng.IntN(rate) == 0 {
				s.fault()
			}
			if s.rng.IntN(4) == 0 {
				s.operate()
			}
			s.step()
		}
		s.heal()
		s.recover()
		s.settle()
		states, reads, losses = states+int(s.acked), reads+s.reads, losses+s.losses
		for _, e := range s.log {
			if e.Members != nil {
				changes++
			}
		}
	})
	t.Logf("%d states acknowledged, %d reads, %d disks lost, %d changes of the members", states, reads, losses, changes)
}
