package repl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabiweir/core/raft"
	"wasabiweir/io/store"
)

// countingMachine is a state machine that counts how often each payload is applied.
type countingMachine struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *countingMachine) Apply(_ uint64, data []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[string(data)]++
	return c.counts[string(data)]
}

func (c *countingMachine) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Marshal(c.counts)
}

func (c *countingMachine) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = map[string]int{}
	return json.Unmarshal(data, &c.counts)
}

func (c *countingMachine) count(data string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[data]
}

// requireNoError fails the test if err is not nil.
func requireNoError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// member is one replica of a test group, with what is needed to stop and restart it.
type member struct {
	*Replica
	machine *countingMachine
	folder  *store.Folder
	cancel  context.CancelFunc
	done    chan error
}

// group is a set of replicas in one process that exchange messages directly.
type group struct {
	tb       testing.TB
	dir      string
	interval time.Duration
	// snapshotEvery and keepEntries are small by default, so that members restart and catch up from snapshots.
	snapshotEvery, keepEntries uint64
	members                    sync.Map     // running members: name to *member
	partitioned                sync.Map     // members without a network: name to true
	forwardedBytes             atomic.Int64 // data of forwarded proposals and of their refusals
}

// newGroup returns a group without members that stores its data in a temporary folder.
func newGroup(tb testing.TB, interval time.Duration) *group {
	return &group{tb: tb, dir: tb.TempDir(), interval: interval, snapshotEvery: 200, keepEntries: 50}
}

// groupTransport passes the messages of one member to the other members of its group, unless either end is partitioned.
type groupTransport struct {
	group *group
	name  string
}

func (l *groupTransport) Send(messages []raft.Message) {
	for _, m := range messages {
		if m.Type == raft.MsgPropose || m.Type == raft.MsgProposeReply {
			l.group.forwardedBytes.Add(int64(m.DataBytes()))
		}
		_, cutFrom := l.group.partitioned.Load(l.name)
		_, cutTo := l.group.partitioned.Load(m.To.Name)
		to, ok := l.group.members.Load(m.To.Name)
		if ok && !cutFrom && !cutTo {
			to.(interface{ Step(m raft.Message) }).Step(m)
		}
	}
}

// newMember opens the member's data folder and creates its replica without running it.
func (g *group) newMember(name string) *member {
	f := &store.Folder{Path: filepath.Join(g.dir, name)}
	requireNoError(g.tb, f.Open())
	c := &countingMachine{}
	return &member{machine: c, folder: f, Replica: &Replica{
		Name: name, Store: &store.Store{Folder: f, Group: "test"}, Machine: c,
		Transport: &groupTransport{group: g, name: name}, Interval: g.interval, SnapshotEvery: g.snapshotEvery, KeepEntries: g.keepEntries,
	}}
}

// startMember runs a member until the test ends or stops it.
func (g *group) startMember(m *member) {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done = make(chan error, 1)
	g.members.Store(m.Name, m)
	go func() { m.done <- m.Run(ctx) }()
	g.tb.Cleanup(func() { g.stop(m) })
}

// stop stops a member and closes its data folder; it has no effect on a stopped member.
func (g *group) stop(m *member) {
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.cancel = nil
	if err := <-m.done; err != nil {
		g.tb.Error(err)
	}
	if err := m.folder.Close(); err != nil {
		g.tb.Error(err)
	}
	g.members.Delete(m.Name)
}

// start bootstraps a group with the named members and runs them.
func (g *group) start(names ...string) []*member {
	var out []*member
	var voters raft.Members
	for _, name := range names {
		m := g.newMember(name)
		out = append(out, m)
		voters.Voters = append(voters.Voters, m.Store.MemberID(name))
	}
	for _, m := range out {
		m.Bootstrap = voters
		g.startMember(m)
	}
	return out
}

// restart runs a stopped member again from its stored state.
func (g *group) restart(name string) *member {
	m := g.newMember(name)
	g.startMember(m)
	return m
}

// leader waits up to 20 s for a leader that is not partitioned.
func (g *group) leader() (found *member) {
	g.tb.Helper()
	for end := time.Now().Add(20 * time.Second); found == nil; time.Sleep(g.interval / 4) {
		g.members.Range(func(_, v any) bool {
			m := v.(*member)
			if _, cut := g.partitioned.Load(m.Name); !cut && m.Status().Role == raft.Leader {
				found = m
			}
			return found == nil
		})
		if time.Now().After(end) {
			g.tb.Fatal("waited 20 s for a leader")
		}
	}
	return found
}

// propose proposes data at a member and fails the test if it is not applied within 20 s.
func (g *group) propose(m *member, data string) {
	g.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, _, err := m.Propose(ctx, []byte(data)); err != nil {
		g.tb.Fatalf("propose %s: %v", data, err)
	}
}

// requireAppliedOnce fails the test unless each member has applied each of the numbered proposals exactly once.
func (g *group) requireAppliedOnce(members []*member, proposals int) {
	g.tb.Helper()
	for _, m := range members {
		_, err := m.ReadIndex(g.tb.Context())
		requireNoError(g.tb, err)
		for i := range proposals {
			if n := m.machine.count(fmt.Sprint(i)); n != 1 {
				g.tb.Fatalf("%s applied proposal %d %d times", m.Name, i, n)
			}
		}
	}
}

// testInterval is the length of a tick in tests.
const testInterval = 10 * time.Millisecond

// Guards against proposals that are applied only on the leader, and against state that is lost in a restart.
func TestReplicaRestartsFromDisk(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}} {
		t.Run(fmt.Sprint(len(names)), func(t *testing.T) {
			g := newGroup(t, testInterval)
			members := g.start(names...)
			for i := range 500 {
				g.propose(members[i%len(members)], fmt.Sprint(i))
			}
			for _, m := range members {
				g.stop(m)
				if m.Status().Role != raft.Follower {
					t.Fatalf("%s claims to lead after it stopped", m.Name)
				}
			}
			for i, m := range members {
				members[i] = g.restart(m.Name)
			}
			g.requireAppliedOnce(members, 500)
		})
	}
}

// Guards against a member that votes with damaged state, a replacement that counts as a voter before it has the log,
// and a replacement that is reported as complete while the loss of another member would still stop the group.
func TestDamagedMemberIsReplaced(t *testing.T) {
	g := newGroup(t, testInterval)
	damaged := g.start("a", "b", "c")[0]
	for i := range 300 {
		g.propose(damaged, fmt.Sprint(i))
	}
	old := damaged.Store.MemberID("a")
	g.stop(damaged)
	segments, err := filepath.Glob(filepath.Join(g.dir, "a", old.Disk, "test", "*.log"))
	requireNoError(t, err)
	data, err := os.ReadFile(segments[0])
	requireNoError(t, err)
	data[len(data)/2] ^= 1
	requireNoError(t, os.WriteFile(segments[0], data, 0o600))
	damaged = g.newMember("a")
	var corrupt *store.CorruptError
	if err := damaged.Run(t.Context()); !errors.As(err, &corrupt) {
		t.Fatalf("a member with a damaged segment ran: %v", err)
	}
	requireNoError(t, damaged.folder.RenewDiskID())
	requireNoError(t, damaged.folder.Close())
	replacement := g.restart("a")
	err = g.leader().Replace(t.Context(), old, replacement.Store.MemberID("a"))
	for _, moved := raft.IsNotLeader(err); moved; _, moved = raft.IsNotLeader(err) {
		err = g.leader().Replace(t.Context(), old, replacement.Store.MemberID("a"))
	}
	requireNoError(t, err)
	g.stop(g.leader())
	g.members.Range(func(_, v any) bool {
		m := v.(*member)
		g.propose(m, "after")
		if m.machine.count("299") != 1 {
			t.Fatalf("%s lacks an acknowledged proposal", m.Name)
		}
		return true
	})
}

// Guards against a proposal that waits for ever, or is reported as applied, when its leader loses the quorum. The
// partitioned leader must report that the outcome is unknown or that the proposal was not submitted.
func TestProposalOfPartitionedLeader(t *testing.T) {
	g := newGroup(t, testInterval)
	g.start("a", "b", "c")
	old := g.leader()
	g.propose(old, "before")
	g.partitioned.Store(old.Name, true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*testInterval)
	defer cancel()
	if _, _, err := old.Propose(ctx, []byte("cut off")); !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrNotRun) {
		t.Fatalf("got %v, want an unknown outcome or a proposal that was not submitted", err)
	}
	if _, err := old.ReadIndex(ctx); err == nil {
		t.Fatal("a read completed without a quorum")
	}
	g.propose(g.leader(), "other side")
	g.partitioned.Delete(old.Name)
	g.propose(old, "healed")
	if old.machine.count("other side") != 1 || old.machine.count("cut off") != 0 {
		t.Fatal("the old leader applied the wrong proposals")
	}
}

// Guards against ErrUnknown at the deadline of a proposal that the raft node is just refusing, or whose outcome is known.
func TestOutcomeAtDeadlineIsCertain(t *testing.T) {
	r := &Replica{Store: &store.Store{}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		p := &proposal{done: make(chan requestOutcome, 1)}
		p.state.Store(stateSubmitted)
		p.deliverOutcome(requestOutcome{err: ErrNoSpace})
		if o := r.queueAndWait(ctx, p); !errors.Is(o.err, ErrNoSpace) {
			t.Fatalf("a failed proposal ended with %v, want ErrNoSpace", o.err)
		}
	}
	p := &proposal{done: make(chan requestOutcome, 1)}
	p.mu.Lock()
	p.state.Store(stateSubmitted)
	refuse := time.AfterFunc(50*time.Millisecond, func() {
		p.state.Store(stateQueued)
		p.mu.Unlock()
	})
	defer refuse.Stop()
	if o := r.queueAndWait(ctx, p); !errors.Is(o.err, ErrNotRun) {
		t.Fatalf("a refused proposal ended with %v, want ErrNotRun", o.err)
	}
}

// Guards against proposals that fail or stall while the leadership is transferred, and against forwarded proposals that
// the leader refuses during the transfer and that are never submitted again.
func TestTransferUnderLoad(t *testing.T) {
	g := newGroup(t, testInterval)
	// A member that installs a snapshot does not learn the outcome of its proposals, so no snapshot may be sent here.
	g.keepEntries = DefaultKeepEntries
	members := g.start("a", "b", "c")
	leader := g.leader()
	var remaining atomic.Int64
	remaining.Store(900)
	var done sync.WaitGroup
	for i := range 12 {
		done.Go(func() {
			for n := remaining.Add(-1); n >= 0; n = remaining.Add(-1) {
				g.propose(members[i%3], fmt.Sprint(n))
				if n%300 == 299 {
					if err := g.leader().Transfer(t.Context(), raft.ID{}); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	done.Wait()
	if s := leader.Status(); s.Term < 3 {
		t.Fatalf("the leadership never moved: term %d", s.Term)
	}
	g.requireAppliedOnce(members, 900)
}

// Guards against membership changes that fail while the leadership is offered to a voter that does not take it over,
// which a leader without room on its disk repeats every 2 s: members could not be admitted or removed meanwhile.
func TestChangeWaitsForTransfer(t *testing.T) {
	g := newGroup(t, testInterval)
	members := g.start("a", "b", "c")
	leader := g.leader()
	g.propose(leader, "0")
	target := members[0]
	if target == leader {
		target = members[1]
	}
	g.partitioned.Store(target.Name, true)
	id := target.Store.MemberID(target.Name)
	requireNoError(t, leader.queueAndWait(t.Context(), &proposal{transfer: &id, done: make(chan requestOutcome, 1)}).err)
	requireNoError(t, leader.ConfChange(t.Context(), raft.ConfChange{Type: raft.AddLearner, ID: raft.ID{Name: "d", Disk: "1"}}))
}
