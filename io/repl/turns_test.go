package repl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"wasabiweir/core/form"
	_ "wasabiweir/core/prop"
	"wasabiweir/core/raft"

	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.checks", "2") }

const (
	turnInterval = 20 * time.Millisecond
	turnPause    = 5 * turnInterval
	turnElection = raft.DefaultElectionTicks * turnInterval
	maxTurnStall = 600 * time.Millisecond
	turnJoin     = 50 * time.Millisecond
	// turnBound is the longest time in which a member applies a proposal once all disks have room. A member that has just
	// failed starts again, and a stalled look at the disk and the next one end. Then a transfer of the leadership may time
	// out, three elections of at most two election timeouts may be needed, chunks of a snapshot are sent again after
	// an election timeout, a removed member joins, and a pause of refused proposals ends.
	turnBound = turnPause + maxTurnStall + spaceCheckInterval + (1+3*2+1)*turnElection + 4*turnJoin + maxPauseTicks*turnInterval
)

// numberedMachine is a state machine that holds the index at which each numbered proposal was applied, and the data of
// the last one.
type numberedMachine struct {
	mu sync.Mutex
	numberedState
	twice []uint64 // numbers that were applied at two indexes
}

// numberedState is the state of a numberedMachine.
type numberedState struct {
	Indexes map[uint64]uint64
	Last    []byte
}

func (n *numberedMachine) Apply(index uint64, data []byte) any {
	n.mu.Lock()
	defer n.mu.Unlock()
	number, _ := strconv.ParseUint(string(data[:turnNumberBytes]), 10, 64)
	if at, ok := n.Indexes[number]; ok && at != index {
		n.twice = append(n.twice, number)
	}
	n.Indexes[number], n.Last = index, data
	return nil
}

func (n *numberedMachine) Snapshot() ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return json.Marshal(n.numberedState)
}

func (n *numberedMachine) Restore(data []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.numberedState = numberedState{}
	return json.Unmarshal(data, &n.numberedState)
}

// applied returns whether the numbered proposal was applied.
func (n *numberedMachine) applied(number uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.Indexes[number]
	return ok
}

// turnNumberBytes is the length of the number at the start of each proposal.
const turnNumberBytes = 16

// turnMember is a member of a turnGroup.
type turnMember struct {
	limitedMember
	name    string
	machine *numberedMachine
}

// status returns the status of the running replica.
func (m *turnMember) status() Status { return m.replica.Load().Status() }

// turnGroup is a group whose members start again after each failure, with disks that are full in turn.
type turnGroup struct {
	*rapid.T
	g       *group
	members []*turnMember
	rng     *rand.Rand
	ctx     context.Context
	loops   sync.WaitGroup

	mu     sync.Mutex
	next   uint64
	acked  []uint64
	notRun []uint64
	counts map[string]int // outcomes of the load's proposals
}

// drawInt draws a number from low to high.
func (g *turnGroup) drawInt(name string, low, high int) int {
	return rapid.IntRange(low, high).Draw(g.T, name)
}

// sleepBetween sleeps for a time in milliseconds between the two. The draws of rapid are too often near the lower one.
func (g *turnGroup) sleepBetween(low, high int) {
	time.Sleep(time.Duration(low+g.rng.IntN(high-low+1)) * time.Millisecond)
}

// addMember starts a member with an empty disk and the loops in which a keeper joins the group and removes members.
func (g *turnGroup) addMember(tb testing.TB, name string, seeds []string, disk *limitedDisk) {
	m := &turnMember{name: name, machine: &numberedMachine{numberedState: numberedState{Indexes: map[uint64]uint64{}}}}
	m.limitedMember = limitedMember{t: tb, disk: disk, machine: m.machine, pause: turnPause, config: func(r *Replica) {
		r.Name, r.Interval, r.HeartbeatTicks, r.Transport = name, turnInterval, 2, &groupTransport{group: g.g, name: name}
		r.LogBytes, r.SnapshotEvery, r.KeepEntries = 4<<20, 40, 20
		r.Bootstrap = form.BootstrapMembers(name, seeds)
	}}
	m.start()
	g.g.members.Store(name, &m.limitedMember)
	g.members = append(g.members, m)
	g.loops.Go(func() { g.loopJoin(m) })
}

// loopJoin asks for a place in the group while the member is not a voter or knows no leader, and removes unreachable
// members while it leads.
func (g *turnGroup) loopJoin(m *turnMember) {
	for g.ctx.Err() == nil {
		time.Sleep(turnJoin)
		ctx, cancel := context.WithTimeout(g.ctx, time.Second)
		s := m.status()
		if s.Role == raft.Leader {
			_ = m.replica.Load().RemoveUnreachable(ctx)
		}
		if !s.ID.IsZero() && (!s.Members.IsVoter(s.ID) || s.Leader.IsZero()) {
			g.g.members.Range(func(_, other any) bool {
				return other.(*limitedMember).replica.Load().Admit(ctx, s.ID, true) != nil
			})
		}
		cancel()
	}
}

// leader returns a member that leads, or any.
func (g *turnGroup) leader() *turnMember {
	for _, m := range g.members {
		if m.status().Role == raft.Leader {
			return m
		}
	}
	return g.members[0]
}

// propose proposes a new number with data of the size at the member and records the outcome.
func (g *turnGroup) propose(m *turnMember, size int, wait time.Duration) error {
	g.mu.Lock()
	g.next++
	number := g.next
	g.mu.Unlock()
	data := make([]byte, max(size, turnNumberBytes))
	copy(data, fmt.Sprintf("%0*d", turnNumberBytes, number))
	ctx, cancel := context.WithTimeout(g.ctx, wait)
	defer cancel()
	_, _, err := m.replica.Load().Propose(ctx, data)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil:
		g.acked = append(g.acked, number)
		g.counts["acknowledged"]++
	case errors.Is(err, ErrNotRun):
		g.notRun = append(g.notRun, number)
		g.counts["not run"]++
	default:
		g.counts["unknown"]++
	}
	return err
}

// loopLoad proposes at random members until the channel is closed.
func (g *turnGroup) loopLoad(seed uint64, members []*turnMember, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+rng.IntN(40)) * time.Millisecond):
		}
		size := []int{20, 20, 20, 2 << 10, 20 << 10, 300 << 10}[rng.IntN(6)]
		_ = g.propose(members[rng.IntN(len(members))], size, time.Duration(50+rng.IntN(1500))*time.Millisecond)
	}
}

// read fails the test unless a read at the member returns all proposals that were acknowledged before.
func (g *turnGroup) read(m *turnMember, deadline time.Time) error {
	g.mu.Lock()
	acked := g.acked[:len(g.acked):len(g.acked)]
	g.mu.Unlock()
	ctx, cancel := context.WithDeadline(g.ctx, deadline)
	defer cancel()
	if _, err := m.replica.Load().ReadIndex(ctx); err != nil {
		return err
	}
	for _, number := range acked {
		if !m.machine.applied(number) {
			g.Fatalf("a read at %s lacks the acknowledged proposal %d", m.name, number)
		}
	}
	return nil
}

// fillDisk fills one disk for some time, at a moment and beside a change that are drawn.
func (g *turnGroup) fillDisk(tb testing.TB) {
	m := g.members[g.drawInt("member", 0, len(g.members)-1)]
	if g.drawInt("of leader", 0, 1) == 1 {
		m = g.leader()
	}
	at := &fillMoment{
		suffix: rapid.SampledFrom([]string{"", ".log", ".log.tmp", ".snap.tmp"}).Draw(g.T, "moment"),
		after:  g.drawInt("after", 0, 1) == 1,
		left:   int64(g.drawInt("left", 0, []int{0, 300, 900 << 10}[g.drawInt("left kind", 0, 2)])),
	}
	if g.drawInt("stalled", 0, 3) == 0 {
		m.disk.stallsLate.Store(true)
		m.disk.stall.Store(int64(g.drawInt("stall ms", 50, int(maxTurnStall/time.Millisecond))) * int64(time.Millisecond))
	}
	other := g.members[g.drawInt("other", 0, len(g.members)-1)]
	ctx, cancel := context.WithTimeout(g.ctx, time.Second)
	defer cancel()
	var changes sync.WaitGroup
	defer changes.Wait()
	beside := rapid.SampledFrom([]string{"", "transfer to", "transfer from", "lag", "lag of other", "remove", "join"}).Draw(g.T, "beside")
	lagging := m
	if beside == "lag of other" {
		lagging = other
	}
	switch beside {
	case "transfer to", "transfer from":
		to := m.status().ID
		if beside == "transfer from" {
			to = other.status().ID
		}
		l := g.leader()
		changes.Go(func() {
			_ = l.replica.Load().queueAndWait(ctx, &proposal{transfer: &to, done: make(chan requestOutcome, 1)})
		})
	case "lag", "lag of other":
		g.g.partitioned.Store(lagging.name, true)
		g.sleepBetween(300, 900)
	case "remove":
		l, id := g.leader(), other.status().ID
		if other != l {
			changes.Go(func() { _ = l.replica.Load().ConfChange(ctx, raft.ConfChange{Type: raft.Remove, ID: id}) })
		}
	case "join":
		if len(g.members) < 5 {
			disk := &limitedDisk{folder: filepath.Join(filepath.Dir(m.disk.folder), fmt.Sprint(len(g.members))), limit: m.disk.limit}
			m.disk.stall.Store(0)
			disk.fillAt.Store(at)
			g.addMember(tb, filepath.Base(disk.folder), nil, disk)
			m = g.members[len(g.members)-1]
		}
	}
	m.disk.fillAt.Store(at)
	g.g.partitioned.Delete(lagging.name)
	// Not every moment comes: without one, the disk is filled at the next write of any file.
	g.sleepBetween(0, 300)
	if m.disk.fillAt.CompareAndSwap(at, nil) {
		m.disk.fill(at.left)
	}
	g.sleepBetween(100, 1400)
	m.disk.others.Store(0)
	m.disk.stall.Store(0)
}

// Guards against changes that are refused or stay unanswered for good after the disks of the members were full in turn.
// Once all have room, each member, asked alone, applies small and large proposals within a bound and reads the latest
// state; no acknowledged proposal is lost, and none that was reported as not submitted is applied.
func TestDisksAreFullInTurn(t *testing.T) {
	dir, run := t.TempDir(), 0
	rapid.Check(t, func(rt *rapid.T) {
		run++
		ctx, cancel := context.WithCancel(context.Background())
		g := &turnGroup{T: rt, ctx: ctx, counts: map[string]int{}, g: &group{tb: t}}
		g.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "pauses"), 0))
		defer os.RemoveAll(filepath.Join(dir, fmt.Sprint(run)))
		defer g.stop(cancel)
		names := []string{"a", "b", "c", "d", "e"}[:g.drawInt("members", 3, 5)]
		for _, name := range names {
			g.addMember(t, name, names, &limitedDisk{folder: filepath.Join(dir, fmt.Sprint(run), name), limit: 16 << 20})
		}
		stop := make(chan struct{})
		var load sync.WaitGroup
		for range 5 {
			seed, members := rapid.Uint64().Draw(rt, "load"), g.members[:len(names):len(names)]
			load.Go(func() { g.loopLoad(seed, members, stop) })
		}
		for range g.drawInt("disks", 2, 5) {
			g.sleepBetween(0, 500)
			g.fillDisk(t)
		}
		if g.drawInt("quiet", 0, 1) == 1 {
			close(stop)
			g.requireProgress()
		} else {
			g.requireProgress()
			close(stop)
		}
		load.Wait()
		for _, m := range g.members {
			if err := g.read(m, time.Now().Add(turnBound)); err != nil {
				rt.Fatalf("read at %s: %v", m.name, err)
			}
			for _, number := range g.notRun {
				if m.machine.applied(number) {
					rt.Fatalf("%s applied the proposal %d that ended with ErrNotRun", m.name, number)
				}
			}
			m.machine.mu.Lock()
			twice := m.machine.twice
			m.machine.mu.Unlock()
			if len(twice) > 0 {
				rt.Fatalf("%s applied the proposals %d twice", m.name, twice)
			}
		}
		t.Logf("run %d: %d members, %v", run, len(g.members), g.counts)
	})
}

// requireProgress fails the test unless each member, asked alone, applies a small and a large proposal and answers a read
// within the bound.
func (g *turnGroup) requireProgress() {
	first := g.drawInt("first asked", 0, len(g.members)-1)
	for i := range g.members {
		m := g.members[(first+i)%len(g.members)]
		start := time.Now()
		for _, size := range []int{20, 300 << 10} {
			var errs []error
			for time.Since(start) < turnBound {
				err := g.propose(m, size, turnBound-time.Since(start))
				if err == nil {
					break
				}
				errs = append(errs, err)
				time.Sleep(turnInterval)
			}
			if time.Since(start) >= turnBound {
				for _, x := range g.members {
					s := x.status()
					s.MatchIndex, s.TicksSinceReply = nil, nil
					g.Logf("%s: %+v", x.name, s)
				}
				g.Fatalf("%s applied no proposal of %d bytes within %v; %d errors, the last one %v", m.name, size, turnBound, len(errs), errs[max(0, len(errs)-1):])
			}
		}
		var err error
		for time.Since(start) < turnBound {
			if err = g.read(m, start.Add(turnBound)); err == nil {
				break
			}
			time.Sleep(turnInterval)
		}
		if err != nil {
			g.Fatalf("read at %s: %v", m.name, err)
		}
		g.Logf("%s took %v", m.name, time.Since(start))
	}
}

// stop stops all members.
func (g *turnGroup) stop(cancel func()) {
	cancel()
	g.loops.Wait()
	for _, m := range g.members {
		m.stop()
	}
}
