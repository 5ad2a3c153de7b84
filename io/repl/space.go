package repl

import (
	"errors"
	"math"
	"syscall"
	"time"

	"wasabiweir/core/raft"
	"wasabiweir/io/store"

	"go.uber.org/zap"
)

const (
	// spaceCheckInterval is the time between two looks at the room on the disk.
	spaceCheckInterval = 500 * time.Millisecond
	// spaceReserve is what is kept free beside the room for snapshots, in bytes: for hard states, small entries and what
	// the file system itself needs.
	spaceReserve = 512 << 10
	// spaceTransferInterval is the time between two attempts of a leader without room to transfer the leadership. A leader
	// whose log is full for so long transfers it too.
	spaceTransferInterval = 2 * time.Second
	// smallEntries is the size of entries that may use the reserve, such as the first one of a leader's term.
	smallEntries = 4 << 10
)

// diskSpace is what the replica knows of the room on its disk. Snapshots free the disk, so room for one is kept free.
type diskSpace struct {
	probe         *spaceProbe
	probing       bool      // the probe has not returned the result of the latest request
	checkedAt     time.Time // time of the latest request to the probe
	free          int64     // at the request that the latest result answers, less what was saved since
	spent         int64     // bytes saved since checkedAt
	short         bool      // there is less room than a snapshot needs
	transferredAt time.Time
	offered       int // number of voters to which the leadership was offered

	transfer   *raft.Message // request to take over the leadership that waits for a look at the disk; nil if there is none
	transferAt time.Time     // time at which it came
}

// spaceProbe looks at the room on the disk in a goroutine of its own, because a stalled disk may answer seconds late and
// the replica's loop sends heartbeats.
type spaceProbe struct {
	store    *store.Store
	requests chan struct{}
	results  chan int64
	wake     func()
}

// run answers requests until their channel is closed.
func (p *spaceProbe) run() {
	for range p.requests {
		p.results <- p.store.FreeBytes()
		p.wake()
	}
}

// startSpaceProbe looks at the room on the disk once and starts the probe.
func (r *Replica) startSpaceProbe() {
	r.space.probe = &spaceProbe{store: r.Store, requests: make(chan struct{}, 1), results: make(chan int64, 1), wake: r.wakeLoop}
	r.space.checkedAt = time.Now()
	r.recordFreeBytes(r.space.checkedAt, r.Store.FreeBytes())
	go r.space.probe.run()
}

// probeSpace requests a look at the room on the disk unless one is under way.
func (r *Replica) probeSpace(now time.Time) {
	if !r.space.probing {
		r.space.probing, r.space.checkedAt, r.space.spent = true, now, 0
		r.space.probe.requests <- struct{}{}
	}
}

// snapshotRoom returns the bytes that the next snapshot may need beside the files that it replaces. The state machine's
// state may have grown by the entries applied since the latest one, among them those that one being written covers.
func (r *Replica) snapshotRoom() int64 {
	growth := min(r.appliedBytes, r.quarterBytes())
	if r.snapshotWriter != nil {
		growth += min(r.snapshotCoversBytes, r.quarterBytes())
	}
	return spaceReserve + int64(r.snapshotBytes) + int64(growth)
}

// proposalRoom returns the size of the largest proposal for which the disk has room. An entry is written to the log and
// may become part of the next snapshot.
func (r *Replica) proposalRoom() int {
	room := (r.space.free - r.snapshotRoom()) / 2
	return int(max(0, min(room, math.MaxInt32)))
}

// updateSpace takes over the result of the probe, and requests the next look at the disk if that is due.
func (r *Replica) updateSpace(now time.Time) {
	select {
	case free := <-r.space.probe.results:
		r.space.probing = false
		r.recordFreeBytes(now, free-r.space.spent)
	default:
	}
	waiting := r.space.transfer != nil && r.space.transferAt.After(r.space.checkedAt)
	if waiting || now.Sub(r.space.checkedAt) >= spaceCheckInterval {
		r.probeSpace(now)
	}
	if !r.isLogFull() {
		r.logFullSince = time.Time{}
	} else if r.logFullSince.IsZero() {
		r.logFullSince = now
	}
	stalled := !r.logFullSince.IsZero() && now.Sub(r.logFullSince) >= spaceTransferInterval
	if (r.space.short || stalled) && now.Sub(r.space.transferredAt) >= spaceTransferInterval {
		r.space.transferredAt = now
		r.offerLeadership()
	}
}

// recordFreeBytes records the room that was on the disk at checkedAt, less what was saved since, and reports when it
// becomes too small or large enough again.
func (r *Replica) recordFreeBytes(now time.Time, free int64) {
	age := now.Sub(r.space.checkedAt)
	if age >= spaceCheckInterval {
		r.Log.Warn("disk-space-late", zap.Duration("age", age))
	}
	r.space.free = free
	r.node.LimitProposals(r.proposalRoom())
	r.meter.freeBytes.Update(float64(free))
	if short := free < r.snapshotRoom(); short != r.space.short {
		r.space.short = short
		r.meter.setSpaceShort(short)
		r.Log.Warn("disk-space-changed", zap.Bool("short", short), zap.Int64("free-bytes", free),
			zap.Int64("reserved-bytes", r.snapshotRoom()), zap.Duration("age", age))
	}
}

// holdTransfer keeps a request to take over the leadership until the disk was looked at again. Disks that one writer
// fills are often full at the same time, so an earlier look may be too old.
func (r *Replica) holdTransfer(m *raft.Message, now time.Time) {
	if r.space.transfer == nil {
		r.space.transferAt = now
		r.probeSpace(now)
	}
	r.space.transfer = m
}

// takeTransfer returns the request to take over the leadership if the disk was looked at since it came. It returns nil
// if the disk is short of room, if the log is full, or if the leader has given the transfer up by now.
func (r *Replica) takeTransfer(now time.Time) *raft.Message {
	m := r.space.transfer
	if m == nil || r.space.probing || r.space.checkedAt.Before(r.space.transferAt) {
		return nil
	}
	r.space.transfer = nil
	if r.space.short || r.isLogFull() || now.Sub(r.space.transferAt) >= time.Duration(r.ElectionTicks)*r.Interval {
		r.meter.ignored[ignoreReasonNoSpace].Inc(1)
		return nil
	}
	return m
}

// offerLeadership asks one voter after the other to take over the leadership from a leader that takes no proposals. Those that are
// short of space themselves don't; a leader that can't append the first entry of its term could not even confirm reads.
func (r *Replica) offerLeadership() {
	voters := r.node.Status().Members.Voters
	if len(voters) < 2 {
		return
	}
	r.space.offered++
	if to := voters[r.space.offered%len(voters)]; to != r.node.ID {
		_, _ = r.node.TransferLeadership(to)
	}
}

// spend records that entries were written to the disk.
func (r *Replica) spend(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	for i := range entries {
		r.space.free -= int64(len(entries[i].Data))
		r.space.spent += int64(len(entries[i].Data))
	}
	r.node.LimitProposals(r.proposalRoom())
}

// hasRoomFor reports whether the entries or the snapshot in a message fit on the disk. Large entries leave room for a
// snapshot; a snapshot replaces the log.
func (r *Replica) hasRoomFor(m *raft.Message) bool {
	size := int64(m.DataBytes())
	switch {
	case m.Type == raft.MsgSnapshot:
		// The message carries a chunk; HintTerm is the size of the whole snapshot, which is saved at once.
		return r.space.free >= int64(min(m.HintTerm, math.MaxInt32))+spaceReserve
	case m.Type != raft.MsgAppend || size <= smallEntries:
		return true
	}
	return r.space.free-size >= r.snapshotRoom()
}

// isDiskFull reports whether an error means that the disk has no room.
func isDiskFull(err error) bool { return errors.Is(err, syscall.ENOSPC) }
