package repl

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wasabiweir/core/raft"
	"wasabiweir/io/store"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Machine is the replicated state machine of a Raft group; the replica calls its methods from one goroutine.
type Machine interface {
	// Apply applies the data of a committed proposal to the state and returns a result. It must be deterministic and must
	// not change the data.
	Apply(index uint64, data []byte) any
	// Snapshot returns the encoded state of the state machine, for Restore.
	Snapshot() ([]byte, error)
	// Restore replaces the state of the state machine with that of a snapshot.
	Restore(data []byte) error
}

// Transport sends Raft messages, each to the member that its field To names. It must not block and may drop messages.
type Transport interface {
	Send(messages []raft.Message)
}

// Defaults for fields of Replica that are zero.
const (
	// DefaultInterval is the default length of a Raft tick; it makes the default election timeout 1 s.
	DefaultInterval = 100 * time.Millisecond
	// DefaultSnapshotEvery is the default number of log entries between snapshots; it bounds the log that a restart
	// replays.
	DefaultSnapshotEvery = 4096
	// DefaultKeepEntries is the default number of log entries kept after a snapshot: a member that missed hundreds of
	// entries can catch up without a snapshot.
	DefaultKeepEntries = 1024
	// DefaultLogBytes is the default bound of the log in bytes. Logs of small entries reach the bounds in entries first.
	DefaultLogBytes = 256 << 20
	// DefaultMaxQueued is the default number of proposals that may be queued; it bounds their memory while there is no
	// leader.
	DefaultMaxQueued = 16384
)

// readRetryTicks is the number of Raft ticks after which a read-index request that the leader has not answered is sent
// again.
const readRetryTicks = 3

// maxInboxMessages bounds the Raft messages that are queued while the replica syncs its store. Messages beyond it are
// dropped, and their senders repeat them.
const maxInboxMessages = 4096

// Errors of Replica.Propose, Replica.ReadIndex and Replica.ConfChange.
var (
	// ErrStopped means that the replica has stopped; a pending proposal may still be applied.
	ErrStopped = eris.New("the replica is stopped")
	// ErrNotRun means that the proposal will never be applied: the context ended before it was submitted, or too many
	// proposals are queued.
	ErrNotRun = eris.New("the proposal was not submitted")
	// ErrUnknown means that the proposal was submitted and it is not known whether it was or will be applied.
	ErrUnknown = eris.New("the outcome of the proposal is unknown")
	// ErrNoSpace means that the proposal was not appended, because this member or the leader has no room for it on its
	// disk; it may be proposed again.
	ErrNoSpace = eris.New("no room on the disk for the proposal")
	// ErrDropped means that the membership change of the Raft group was lost in a change of leader and never takes effect.
	ErrDropped = eris.New("the membership change was dropped by a new leader")
)

// Replica runs one member of a Raft group, which replicates a log; its exported fields must be set before Run.
type Replica struct {
	// Name is the instance name of this member.
	Name string
	// Store holds the member's Raft log and snapshots; Run opens it and closes it on return.
	Store *store.Store
	// Machine is the state machine to which committed proposals are applied.
	Machine Machine
	// Transport sends raft messages to the other members.
	Transport Transport
	// Bootstrap lists the first members of a new Raft group. It is used only if the store is empty. It must be equal on
	// all first members, and empty on a member that joins an existing group.
	Bootstrap raft.Members
	// FindBootstrap returns the first members of a new Raft group, or none to join an existing group. It is called if both
	// the store and Bootstrap are empty, and may block until the answer is certain. It may be nil.
	FindBootstrap func(ctx context.Context) (raft.Members, error)
	// Interval is the length of a Raft tick; DefaultInterval if it is zero.
	Interval time.Duration
	// ElectionTicks is the least number of Raft ticks without a leader before a follower campaigns;
	// raft.DefaultElectionTicks if it is zero.
	ElectionTicks int
	// HeartbeatTicks is the number of Raft ticks between two heartbeats of a leader; raft.DefaultHeartbeatTicks if it is
	// zero.
	HeartbeatTicks int
	// SnapshotEvery is the least number of log entries applied between snapshots; DefaultSnapshotEvery if it is zero. The
	// entries must also be at least as large as the last snapshot, so that snapshots at most double the bytes written.
	SnapshotEvery uint64
	// KeepEntries is the number of log entries that stay in memory after a snapshot, for members that lag behind;
	// DefaultKeepEntries if it is zero.
	KeepEntries uint64
	// LogBytes bounds the log in bytes, whatever the size of its entries; DefaultLogBytes if it is zero. A quarter of it
	// is each the size of the applied entries after which a snapshot is due, the size of those that stay in memory after
	// one, and the size of proposals that are queued, are uncommitted or are sent to a member without an
	// acknowledgement; an eighth is the size of a segment of the log on disk. While a snapshot is written, a leader delays
	// proposals, and a follower ignores large entries, once the next one would be due by the size of the entries.
	LogBytes int
	// MaxQueued is the number of proposals that may wait to be submitted; DefaultMaxQueued if it is zero.
	MaxQueued int
	// Log receives a line for each change of Raft role, term, leader or membership; nil discards them.
	Log *zap.Logger
	// Metrics receives counters of applied entries, elections, snapshots, retries and ignored messages, and the
	// durations of syncs; nil discards them.
	Metrics tally.Scope

	meter     *meter
	setupOnce sync.Once
	wake      chan struct{} // starts an iteration of the replica's loop
	status    atomic.Pointer[publishedStatus]
	inbox     requestInbox
	node      *raft.Node
	processID uint64 // random number that marks the proposals and reads of this process

	snapshotWriter *snapshotWriter // the snapshot that is being written; nil if there is none
	space          diskSpace       // room on the disk
	lastTick       time.Time       // time of the last Raft tick
	// snapshotCoversBytes is the size of the entries that the snapshot being written covers beyond the latest one, and
	// snapshotFailedAt when one could last not be written for lack of room.
	snapshotCoversBytes int
	snapshotFailedAt    time.Time
	logFullSince        time.Time             // since when isLogFull holds; zero if it doesn't
	proposalsHeld       bool                  // this leader delays proposals, because its log is full
	snapshotIndex       uint64                // index of the last log entry in the latest snapshot
	snapshotBytes       int                   // size of the latest snapshot in bytes
	appliedBytes        int                   // size in bytes of the log entries applied since the latest snapshot
	appliedTerm         uint64                // Raft term of the last applied log entry
	pendingProposals    map[uint64]*proposal  // submitted proposals by the counter part of their key
	lastKey             uint64                // counter part of the latest key of a proposal or read
	pendingReads        map[uint64]*readGroup // unanswered reads by the counter part of their key
	forwardPause        forwardPause          // delays proposals to a leader that refuses them
}

// publishedStatus is the replica's status after an iteration of its loop.
type publishedStatus struct {
	raft.Status
	confirmedAt time.Time // time at which a quorum last confirmed this leader
	spaceShort  bool
}

// Status is the Raft status of a replica together with the age of its leader lease.
type Status struct {
	raft.Status
	// SpaceShort means that the member's disk lacks the room for another snapshot, so that it takes no proposals.
	SpaceShort bool
	// Lease is the time since a quorum last confirmed this leader; it is zero on other members.
	Lease time.Duration
}

// initOnce applies the replica's defaults and creates what its exported methods need, once; these may be called before
// Run.
func (r *Replica) initOnce() {
	r.setupOnce.Do(func() {
		r.wake = make(chan struct{}, 1)
		r.status.Store(&publishedStatus{})
		setDefault(&r.Interval, DefaultInterval)
		setDefault(&r.ElectionTicks, raft.DefaultElectionTicks)
		setDefault(&r.SnapshotEvery, DefaultSnapshotEvery)
		setDefault(&r.KeepEntries, DefaultKeepEntries)
		setDefault(&r.LogBytes, DefaultLogBytes)
		setDefault(&r.MaxQueued, DefaultMaxQueued)
		if r.Log == nil {
			r.Log = zap.NewNop()
		}
		r.meter = newMeter(r.Metrics, r.Store.Group)
	})
}

// Run opens the store and runs the member of the Raft group until the context ends. It returns a store.CorruptError if
// the stored state is damaged, and other errors if the store or the state machine fails.
func (r *Replica) Run(ctx context.Context) error {
	r.initOnce()
	defer r.shutDown()
	if err := r.openState(ctx); err != nil {
		return errors.Join(fmt.Errorf("start the replica: %w", err), r.Store.Close())
	}
	r.startSpaceProbe()
	defer close(r.space.probe.requests)
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	err := r.loop(ctx, ticker.C)
	if isDiskFull(err) {
		r.meter.setSpaceShort(true)
	}
	if r.snapshotWriter != nil {
		err = errors.Join(err, <-r.snapshotWriter.done)
	}
	return errors.Join(err, r.Store.Close())
}

// openState loads the stored Raft state, restores the state machine from the snapshot and starts the raft node.
func (r *Replica) openState(ctx context.Context) error {
	r.Log = r.Log.With(zap.String("group", r.Store.Group))
	r.processID = rand.Uint64()
	r.pendingProposals = map[uint64]*proposal{}
	r.pendingReads = map[uint64]*readGroup{}
	setDefault(&r.Store.SegmentBytes, min(store.DefaultSegmentBytes, int64(r.LogBytes/8)))
	saved, err := r.Store.Open()
	if err != nil {
		return fmt.Errorf("open the store: %w", err)
	}
	if saved, err = r.bootstrapGroup(ctx, saved); err != nil {
		return err
	}
	if saved.Snapshot.Index > 0 {
		if err := r.Machine.Restore(saved.Snapshot.Data); err != nil {
			return fmt.Errorf("restore the snapshot: %w", err)
		}
	}
	r.snapshotIndex, r.snapshotBytes = saved.Snapshot.Index, len(saved.Snapshot.Data)
	r.appliedTerm = saved.Snapshot.Term
	r.node = &raft.Node{
		ID: r.Store.MemberID(r.Name), Seed: rand.Uint64(), Forward: true, ProposalKeyBytes: requestKeyBytes,
		ElectionTicks: r.ElectionTicks, HeartbeatTicks: r.HeartbeatTicks,
		InFlightBytes: min(raft.DefaultInFlightBytes, r.quarterBytes()), UncommittedBytes: min(raft.DefaultUncommittedBytes, r.quarterBytes()),
	}
	if err := r.node.Start(saved); err != nil {
		return fmt.Errorf("start the node: %w", err)
	}
	r.lastTick = time.Now()
	return nil
}

// bootstrapGroup saves the first members of a new Raft group if the store is empty, and returns the state to start
// from.
func (r *Replica) bootstrapGroup(ctx context.Context, saved raft.PersistentState) (raft.PersistentState, error) {
	isNew := saved.HardState == raft.HardState{} && saved.Snapshot.Index == 0 && len(saved.Entries) == 0
	if !isNew || len(saved.Snapshot.Members.Voters) > 0 {
		return saved, nil
	}
	members := r.Bootstrap.Clone()
	if len(members.Voters) == 0 && r.FindBootstrap != nil {
		var err error
		if members, err = r.FindBootstrap(ctx); err != nil {
			return saved, fmt.Errorf("find the first members: %w", err)
		}
	}
	if len(members.Voters) == 0 {
		return saved, nil
	}
	saved.Snapshot = raft.Snapshot{Members: members}
	if err := r.Store.Save(raft.Ready{Snapshot: &saved.Snapshot, Sync: true}); err != nil {
		return saved, fmt.Errorf("save the first members: %w", err)
	}
	return saved, nil
}

// setDefault assigns the default value to a field that is zero.
func setDefault[T int | int64 | uint64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// loop runs one iteration of the replica at each tick and whenever the inbox or the snapshot writer wakes it.
func (r *Replica) loop(ctx context.Context, ticks <-chan time.Time) error {
	for {
		if err := r.runIteration(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case <-r.wake:
		}
	}
}

// runIteration processes the due ticks, the queued requests, the raft node's output and snapshots. Ticks come first:
// after a pause of the process, a leader must step down before it answers requests that were queued in the meantime.
func (r *Replica) runIteration() error {
	now := time.Now()
	r.updateSpace(now)
	r.advanceTicks(now)
	if err := r.drainInbox(now); err != nil {
		return err
	}
	for {
		ready := r.node.Ready()
		if ready.Empty() {
			break
		}
		if err := r.handleReady(ready); err != nil {
			return err
		}
	}
	if err := r.advanceSnapshot(); err != nil {
		return err
	}
	r.publishStatus()
	return nil
}

// advanceTicks runs the Raft ticks that are due by now, at most one election timeout's worth: after that many ticks
// without a message, a leader has stepped down and a follower has had the opportunity to campaign.
func (r *Replica) advanceTicks(now time.Time) {
	due := int(now.Sub(r.lastTick) / r.Interval)
	if due <= 0 {
		return
	}
	r.lastTick = r.lastTick.Add(time.Duration(due) * r.Interval)
	for range min(due, r.ElectionTicks) {
		r.node.Tick()
	}
	r.forwardPause.advance(due)
	r.retryReads()
	r.removeAbandonedProposals()
}

// handleReady saves the output of the raft node, sends its messages, applies its committed entries and answers its
// reads.
func (r *Replica) handleReady(ready raft.Ready) error {
	r.sendMessages(ready.MessagesBeforeSync)
	start := time.Now()
	if err := r.Store.Save(ready); err != nil {
		return fmt.Errorf("save the raft state: %w", err)
	}
	r.spend(ready.Entries)
	if ready.Sync {
		r.meter.sync.RecordDuration(time.Since(start))
	}
	r.sendMessages(ready.MessagesAfterSync)
	if s := ready.Snapshot; s != nil {
		if err := r.installSnapshot(*s); err != nil {
			return err
		}
	}
	for i := range ready.Committed {
		r.applyEntry(&ready.Committed[i])
	}
	r.meter.applied.Inc(int64(len(ready.Committed)))
	r.node.Advance()
	r.answerReads(ready.Reads)
	r.requeueRefusedProposals(ready.RefusedProposals)
	r.failProposalsWithoutRoom(ready.ProposalsWithoutRoom)
	if !ready.SnapshotNeeded {
		return nil
	}
	s, err := r.Store.LoadSnapshot()
	if err != nil {
		return fmt.Errorf("load the snapshot: %w", err)
	}
	r.node.ProvideSnapshot(s)
	return nil
}

// sendMessages passes Raft messages to the transport unless there are none.
func (r *Replica) sendMessages(messages []raft.Message) {
	if len(messages) > 0 {
		r.Transport.Send(messages)
	}
}

// installSnapshot replaces the state machine's state with a snapshot that the leader sent.
func (r *Replica) installSnapshot(s raft.Snapshot) error {
	if err := r.Machine.Restore(s.Data); err != nil {
		return fmt.Errorf("restore the snapshot: %w", err)
	}
	r.snapshotIndex, r.snapshotBytes, r.appliedBytes = s.Index, len(s.Data), 0
	r.appliedTerm = s.Term
	r.failProposalsInSnapshot(s.Term)
	return nil
}

// quarterBytes returns a quarter of LogBytes, which each of the bounds in bytes is.
func (r *Replica) quarterBytes() int { return r.LogBytes / 4 }

// publishStatus makes the raft node's status available to Status, and counts elections and logs changes of role, leader
// or term.
func (r *Replica) publishStatus() {
	old := r.status.Load()
	if r.node.IsLeader() && old.Role != raft.Leader {
		r.meter.elections.Inc(1)
	}
	s := &publishedStatus{Status: r.node.Status(), spaceShort: r.space.short}
	if s.Role == raft.Leader {
		s.confirmedAt = r.lastTick.Add(-time.Duration(s.LeaseAge) * r.Interval)
	}
	r.status.Store(s)
	if old.Role != s.Role || old.Leader != s.Leader || old.Term != s.Term {
		r.endForwardPause()
		r.Log.Info("role-changed", zap.Stringer("role", s.Role), zap.Uint64("term", s.Term),
			zap.String("leader", s.Leader.Name), zap.Uint64("commit", s.Commit))
	}
}

// Status returns the replica's status after the latest iteration of its loop; Lease is computed for the current time.
func (r *Replica) Status() Status {
	r.initOnce()
	p := r.status.Load()
	s := Status{Status: p.Status, SpaceShort: p.spaceShort}
	if s.Role == raft.Leader {
		s.Lease = time.Since(p.confirmedAt)
	}
	return s
}

// Step queues a Raft message from another member; it drops the message if too many are queued.
func (r *Replica) Step(m raft.Message) {
	r.initOnce()
	r.inbox.mu.Lock()
	// A message of any size is accepted if none is queued.
	size := m.DataBytes()
	full := len(r.inbox.messages) >= maxInboxMessages || r.inbox.messageBytes > 0 && r.inbox.messageBytes+size > r.quarterBytes()
	if !full {
		r.inbox.messages = append(r.inbox.messages, m)
		r.inbox.messageBytes += size
	}
	r.inbox.mu.Unlock()
	if full {
		r.meter.ignored[ignoreReasonInboxFull].Inc(1)
	}
	r.wakeLoop()
}

// wakeLoop starts an iteration of the replica's loop unless one is already requested; it does not block.
func (r *Replica) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
