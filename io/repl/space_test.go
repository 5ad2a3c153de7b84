package repl

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/form"
	"wasabiweir/core/raft"
	"wasabiweir/io/store"

	"github.com/uber-go/tally/v4"
)

// limitedDisk is a file system of a limited size, which other writers can fill. A write beyond it is cut off.
type limitedDisk struct {
	store.SizedDisk
	folder string
	limit  int64
	others atomic.Int64
	// snapshots delays the writes of large snapshots while it is locked.
	snapshots sync.RWMutex
	// stall is for how long a look at the free bytes blocks; its result is then old if stallsLate is set.
	stall      atomic.Int64
	stallsLate atomic.Bool
	// fillAt fills the disk at the next write to a file of a kind; nil if there is none.
	fillAt atomic.Pointer[fillMoment]
}

// fillMoment is a write at which a limitedDisk becomes full.
type fillMoment struct {
	suffix string // end of the file's name
	after  bool   // fill the disk after the write instead of before it
	left   int64  // bytes that stay free
}

func (d *limitedDisk) FreeBytes(string) int64 {
	free, late := d.free(), d.stallsLate.Load()
	if stall := d.stall.Load(); stall > 0 {
		time.Sleep(time.Duration(stall))
		if !late {
			free = d.free()
		}
	}
	return free
}

// free returns the bytes that can still be written.
func (d *limitedDisk) free() int64 { return max(0, d.limit-d.others.Load()-store.UsedBytes(d.folder)) }

// fill lets other writers take all room but the left bytes.
func (d *limitedDisk) fill(left int64) {
	d.others.Store(max(0, d.limit-store.UsedBytes(d.folder)-left))
}

func (d *limitedDisk) Write(f *os.File, data []byte) (int, error) {
	if at := d.fillAt.Load(); at != nil && strings.HasSuffix(f.Name(), at.suffix) && d.fillAt.CompareAndSwap(at, nil) {
		if at.after {
			defer d.fill(at.left)
		} else {
			d.fill(at.left)
		}
	}
	if len(data) > 4<<10 && strings.Contains(f.Name(), ".snap") {
		d.snapshots.RLock()
		defer d.snapshots.RUnlock()
	}
	if free := d.free(); int64(len(data)) > free {
		n, err := f.Write(data[:free])
		return n, errors.Join(err, syscall.ENOSPC)
	}
	return f.Write(data)
}

// limitedMember is a member of a group on a limited disk. It is started again when it fails, as a keeper does.
type limitedMember struct {
	t       testing.TB
	disk    *limitedDisk
	folder  *store.Folder
	machine Machine
	config  func(*Replica) // sets the fields of a new replica that differ between tests
	pause   time.Duration  // between a failure and the next start
	replica atomic.Pointer[Replica]
	scope   tally.TestScope
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan error
}

// newLimitedMember starts the only member of a group in the folder on a disk with the limit.
func newLimitedMember(t *testing.T, dir string, limit int64, logBytes int) *limitedMember {
	return newMemberOnDisk(t, &limitedDisk{folder: dir, limit: limit}, logBytes)
}

// newMemberOnDisk starts the only member of a group on the disk.
func newMemberOnDisk(t *testing.T, disk *limitedDisk, logBytes int) *limitedMember {
	m := &limitedMember{t: t, disk: disk, machine: &lastValue{}, pause: 10 * time.Millisecond, config: func(r *Replica) {
		r.Name, r.Transport, r.Interval, r.LogBytes = "a", noTransport{}, 5*time.Millisecond, logBytes
		r.Bootstrap = form.BootstrapMembers("a", []string{"a"})
	}}
	m.start()
	t.Cleanup(m.stop)
	return m
}

// start runs the member.
func (m *limitedMember) start() {
	m.folder = &store.Folder{Path: m.disk.folder, Disk: m.disk}
	m.done, m.scope = make(chan error, 1), tally.NewTestScope("", nil)
	m.ctx, m.cancel = context.WithTimeout(context.Background(), 2*time.Minute)
	m.replica.Store(m.newReplica())
	go m.loop()
}

// newReplica returns a replica that is not started.
func (m *limitedMember) newReplica() *Replica {
	r := &Replica{Machine: m.machine, Metrics: m.scope, Store: &store.Store{Folder: m.folder, Group: "config"}}
	m.config(r)
	if len(r.Bootstrap.Voters) > 0 {
		m.folder.InitialDiskID = form.BootstrapDiskID
	}
	return r
}

// loop opens the folder and runs a replica again and again until the member is stopped.
func (m *limitedMember) loop() {
	for {
		err := m.folder.Open()
		if err == nil {
			err = m.replica.Load().Run(m.ctx)
			err = errors.Join(err, m.folder.Close())
		}
		if m.ctx.Err() != nil {
			m.done <- err
			return
		}
		if !isDiskFull(err) {
			m.t.Errorf("the replica failed: %v", err)
		}
		time.Sleep(m.pause)
		m.replica.Store(m.newReplica())
	}
}

// Step passes a Raft message to the running replica.
func (m *limitedMember) Step(msg raft.Message) { m.replica.Load().Step(msg) }

// stop stops the member.
func (m *limitedMember) stop() {
	m.cancel()
	if err := <-m.done; err != nil && !isDiskFull(err) {
		m.t.Error(err)
	}
}

// propose proposes the data and waits at most for the time.
func (m *limitedMember) propose(size int, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(m.ctx, wait)
	defer cancel()
	_, _, err := m.replica.Load().Propose(ctx, make([]byte, size))
	return err
}

// awaitProposal proposes until a proposal is applied.
func (m *limitedMember) awaitProposal(size int) {
	m.t.Helper()
	var err error
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		if err = m.propose(size, time.Second); err == nil {
			return
		}
	}
	m.t.Fatalf("no proposal of %d bytes was applied: %v", size, err)
}

// Guards against a disk that large entries fill, and against a proposal that is half written because there is no room
// for the rest: it is refused before, and goes through once there is room again.
func TestProposalWithoutRoomIsRefused(t *testing.T) {
	const limit, size = 16 << 20, 400 << 10
	m := newLimitedMember(t, t.TempDir(), limit, 4<<20)
	m.awaitProposal(size)
	for range 60 {
		m.awaitProposal(size)
		if free := m.disk.FreeBytes(""); free < limit/2 {
			t.Fatalf("%d of %d bytes are free", free, limit)
		}
	}
	m.disk.others.Store(limit)
	time.Sleep(spaceCheckInterval + 100*time.Millisecond)
	before := store.UsedBytes(m.folder.Path)
	if err := m.propose(size, time.Second); !errors.Is(err, ErrNoSpace) || !errors.Is(err, ErrNotRun) {
		t.Errorf("a proposal without room: %v, want ErrNoSpace and ErrNotRun", err)
	}
	if s := m.replica.Load().Status(); !s.SpaceShort || s.Role != raft.Leader {
		t.Errorf("status is %+v, want a leader short of space", s)
	}
	if after := store.UsedBytes(m.folder.Path); after > before {
		t.Errorf("the refused proposal took %d bytes", after-before)
	}
	m.disk.others.Store(0)
	m.awaitProposal(size)
}

// Guards against a log that grows without a bound, on the disk and in memory, while a snapshot is written slowly; and
// against a proposal that is dropped instead of delayed until the snapshot is written.
func TestLogIsBoundedWhileSnapshotIsWritten(t *testing.T) {
	const logBytes, size = 4 << 20, 400 << 10
	dir := t.TempDir()
	disk := &limitedDisk{folder: dir, limit: 64 << 20}
	disk.snapshots.Lock()
	m := newMemberOnDisk(t, disk, logBytes)
	release := sync.OnceFunc(disk.snapshots.Unlock)
	defer release()
	m.awaitProposal(size)
	var err error
	for range 60 {
		if err = m.propose(size, 2*time.Second); err != nil {
			break
		}
	}
	if used := store.UsedBytes(dir); used > logBytes {
		t.Errorf("the log has %d bytes, want at most %d", used, logBytes)
	}
	if !errors.Is(err, ErrNotRun) || errors.Is(err, ErrNoSpace) {
		t.Errorf("the last proposal: %v, want ErrNotRun at its deadline", err)
	}
	if c := m.scope.Snapshot().Counters()["replica.log-full+group=config"]; c == nil || c.Value() != 1 {
		t.Errorf("the counter of full logs is %v, want 1 while the snapshot is written", c)
	}
	release()
	requireNoError(t, m.propose(size, 10*time.Second))
}

// Guards against a member that stays out of service once its disk was full, at runtime or at a start: the log is not
// trimmed, because nothing can be written before.
func TestMemberRecoversFromFullDisk(t *testing.T) {
	const size = 100 << 10
	m := newLimitedMember(t, t.TempDir(), 16<<20, 4<<20)
	m.awaitProposal(size)
	m.disk.others.Store(1 << 40)
	for range 3 {
		if err := m.propose(size, 300*time.Millisecond); err == nil {
			t.Fatal("a proposal was applied on a full disk")
		}
	}
	time.Sleep(spaceCheckInterval)
	m.disk.others.Store(0)
	m.awaitProposal(size)
	if tmp, _ := filepath.Glob(filepath.Join(m.folder.Path, "*", "*", "*.tmp")); len(tmp) > 0 {
		t.Errorf("temporary files are left: %v", tmp)
	}
}

// Guards against a keeper that can't be started on a disk that its log has filled: a snapshot makes most of the log
// unnecessary, and was taken only after more entries.
func TestStartOnFullDisk(t *testing.T) {
	const large, count = 400 << 10, 30
	dir := t.TempDir()
	folder := &store.Folder{Path: dir}
	requireNoError(t, folder.Open())
	r := &Replica{Name: "a", Machine: &lastValue{}, Transport: noTransport{}, Interval: 5 * time.Millisecond, SnapshotEvery: 1 << 20, LogBytes: 1 << 30}
	r.Store = &store.Store{Folder: folder, Group: "config", SegmentBytes: 1 << 20}
	r.Bootstrap = raft.Members{Voters: []raft.ID{{Name: "a", Disk: folder.DiskID()}}}
	run := &replicaRun{replica: r, done: make(chan error, 1)}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	go run.run(ctx)
	for i := range count {
		size := large
		if i == count-1 {
			size = 1000
		}
		_, _, err := r.Propose(ctx, make([]byte, size))
		requireNoError(t, err)
	}
	run.stop(cancel)
	requireNoError(t, folder.Close())
	start := time.Now()
	m := newLimitedMember(t, dir, store.UsedBytes(dir)+40<<10, 4<<20)
	m.awaitProposal(1000)
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the start took %v, want at most 2 s", took)
	}
	if used := store.UsedBytes(dir); used > 4<<20 {
		t.Errorf("the data folder has %d bytes, want at most %d", used, 4<<20)
	}
}

// newLimitedGroup starts a group of three members, each on a disk of its own, which the map has by the member's name.
func newLimitedGroup(t *testing.T, interval time.Duration) (*group, []*member, map[string]*limitedDisk) {
	g := newGroup(t, interval)
	var members []*member
	disks := map[string]*limitedDisk{}
	var voters raft.Members
	for _, name := range []string{"a", "b", "c"} {
		m := g.newMember(name)
		disks[name] = &limitedDisk{folder: m.folder.Path, limit: 64 << 20}
		m.folder.Disk, m.LogBytes = disks[name], 4<<20
		members = append(members, m)
		voters.Voters = append(voters.Voters, m.Store.MemberID(name))
	}
	for _, m := range members {
		m.Bootstrap = voters
		g.startMember(m)
	}
	return g, members, disks
}

// Guards against a proposal that a follower and the leader send to and fro until its deadline, because the leader has no
// room for it: the caller gets the reason at once, and a smaller proposal goes through.
func TestForwardedProposalWithoutRoomIsRefused(t *testing.T) {
	g, members, disks := newLimitedGroup(t, 50*time.Millisecond)
	leader := g.leader()
	g.propose(leader, "0")
	d := disks[leader.Name]
	d.others.Store(d.limit - store.UsedBytes(d.folder) - spaceReserve - 300<<10)
	time.Sleep(spaceCheckInterval + 100*time.Millisecond)
	follower := members[0]
	if follower == leader {
		follower = members[1]
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	start := time.Now()
	_, _, err := follower.Propose(ctx, make([]byte, 200<<10))
	if took := time.Since(start); !errors.Is(err, ErrNoSpace) || !errors.Is(err, ErrNotRun) || took > time.Second {
		t.Errorf("a proposal without room: %v after %v, want ErrNoSpace and ErrNotRun at once", err, took)
	}
	if s := leader.Status(); s.Role != raft.Leader || s.SpaceShort {
		t.Errorf("status is %+v, want a leader with room for a snapshot", s)
	}
	g.propose(follower, "1")
}

// Guards against a leader that sends no heartbeats while its disk does not say how much room it has.
func TestStalledDiskKeepsLeader(t *testing.T) {
	g, members, disks := newLimitedGroup(t, 50*time.Millisecond)
	leader := g.leader()
	g.propose(leader, "0")
	before := leader.Status()
	for _, d := range disks {
		d.stall.Store(int64(2 * time.Second))
	}
	time.Sleep(spaceCheckInterval)
	var longest time.Duration
	for start := time.Now(); time.Since(start) < 3*time.Second; {
		at := time.Now()
		g.propose(members[0], "1")
		longest = max(longest, time.Since(at))
	}
	after := leader.Status()
	if after.Role != raft.Leader || after.Term != before.Term || longest > time.Second {
		t.Errorf("role %v in term %d after %d, %d ticks, a proposal took %v", after.Role, after.Term, before.Term, after.Now-before.Now, longest)
	}
}

// Guards against a follower that sends all its proposals again with each refusal of a leader whose log is full, which
// filled the network; and against proposals that don't go on when the leader takes them again.
func TestRefusedProposalsAreForwardedWithPauses(t *testing.T) {
	const size, callers = 100 << 10, 8
	g, members, disks := newLimitedGroup(t, 5*time.Millisecond)
	release := sync.OnceFunc(func() {
		for _, d := range disks {
			d.snapshots.Unlock()
		}
	})
	for _, d := range disks {
		d.snapshots.Lock()
	}
	defer release()
	propose := func(m *member, wait time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		_, _, err := m.Propose(ctx, make([]byte, size))
		return err
	}
	leader := g.leader()
	g.propose(leader, "0")
	var err error
	for i := 0; i < 100 && err == nil; i++ {
		err = propose(leader, 500*time.Millisecond)
	}
	if !errors.Is(err, ErrNotRun) {
		t.Fatalf("proposals are not held: %v", err)
	}
	follower := members[0]
	if follower == leader {
		follower = members[1]
	}
	before := g.forwardedBytes.Load()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			if err := propose(follower, time.Second); err == nil {
				t.Error("a proposal was applied while proposals are held")
			}
		})
	}
	wg.Wait()
	if sent := g.forwardedBytes.Load() - before; sent > 10*callers*size {
		t.Errorf("%d bytes were sent for %d proposals of %d bytes", sent, callers, size)
	}
	release()
	requireNoError(t, propose(follower, 10*time.Second))
}

// Guards against a group that can't be read while the disks of all members are short of room: a new leader's first
// entry is dropped like a proposal, and no read is answered before it is committed.
func TestReadsWhileAllDisksAreShort(t *testing.T) {
	g, members, disks := newLimitedGroup(t, 5*time.Millisecond)
	g.propose(g.leader(), "0")
	for _, d := range disks {
		d.others.Store(d.limit - store.UsedBytes(d.folder) - 300<<10)
	}
	// By then, each leader has seen that its disk is short and has transferred the leadership.
	time.Sleep(2 * spaceCheckInterval)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for _, m := range members {
		if _, err := m.ReadIndex(ctx); err != nil {
			t.Fatalf("%s, short of space %v: %v", m.Name, m.Status().SpaceShort, err)
		}
		if !m.Status().SpaceShort {
			t.Errorf("%s is not short of space", m.Name)
		}
	}
}

// Guards against a member that takes a snapshot chunk by chunk although the whole does not fit on its disk, and fails when
// it saves it.
func TestSnapshotWithoutRoomIsDropped(t *testing.T) {
	const size = 4 << 20
	m := raft.Message{Type: raft.MsgSnapshot, HintTerm: size, Snapshot: &raft.Snapshot{Data: make([]byte, 64<<10)}}
	for free, want := range map[int64]bool{size / 2: false, size: false, size + spaceReserve: true} {
		r := &Replica{space: diskSpace{free: free}}
		if got := r.hasRoomFor(&m); got != want {
			t.Errorf("a snapshot of %d bytes fits in %d: %t, want %t", size, free, got, want)
		}
	}
}

// Guards against proposals that take the room of a snapshot that is being written: the state grows by the entries that it
// covers and by those that are applied meanwhile, and the next snapshot needs room for both.
func TestRoomIsKeptForSnapshotInProgress(t *testing.T) {
	r := &Replica{LogBytes: 4 << 20, snapshotBytes: 300 << 10, appliedBytes: 800 << 10}
	before := r.snapshotRoom()
	r.beginSnapshot(raft.Snapshot{}, nil)
	if during := r.snapshotRoom(); during != before {
		t.Errorf("%d bytes are kept free, want %d as before the snapshot", during, before)
	}
	r.appliedBytes = 500 << 10
	if during := r.snapshotRoom(); during != before+500<<10 {
		t.Errorf("%d bytes are kept free, want %d with the entries applied since", during, before+500<<10)
	}
}

// Guards against a member whose log grows without a bound while its own snapshot is written slowly, against one that
// gets no entries afterwards, and against a leader that keeps the leadership and takes no proposals meanwhile.
func TestMemberWithSlowSnapshot(t *testing.T) {
	for _, role := range []raft.Role{raft.Follower, raft.Leader} {
		t.Run(role.String(), func(t *testing.T) {
			g, members, disks := newLimitedGroup(t, 50*time.Millisecond)
			slow := g.leader()
			if role == raft.Follower {
				slow = members[(slices.Index(members, slow)+1)%len(members)]
			}
			other := members[(slices.Index(members, slow)+1)%len(members)]
			d := disks[slow.Name]
			d.snapshots.Lock()
			release := sync.OnceFunc(d.snapshots.Unlock)
			defer release()
			data := make([]byte, 200<<10)
			for i := range 30 {
				data[0] = 'a' + byte(i)
				g.propose(other, string(data))
			}
			time.Sleep(500 * time.Millisecond)
			if used := store.UsedBytes(d.folder); used > int64(slow.LogBytes) {
				t.Errorf("the log has %d bytes, want at most %d", used, slow.LogBytes)
			}
			release()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := slow.ReadIndex(ctx)
			requireNoError(t, err)
			if n := slow.machine.count(string(data)); n != 1 {
				t.Errorf("the member applied the last proposal %d times", n)
			}
		})
	}
}
