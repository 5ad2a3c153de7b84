package repl

import (
	"errors"
	"math"
	"syscall"
	"time"

	"wasabiweir/core/raft"

	"go.uber.org/zap"
)

const (
	// spaceCheckInterval is the time between two looks at the room on the disk.
	spaceCheckInterval = 500 * time.Millisecond
	// spaceReserve is what is kept free beside the room for snapshots, in bytes: for hard states, small entries and what
	// the file system itself needs.
	spaceReserve = 512 << 10
	// spaceTransferInterval is the time between two attempts of a leader without room to transfer the leadership.
	spaceTransferInterval = 2 * time.Second
	// smallEntries is the size of entries that may use the reserve, such as the first one of a leader's term.
	smallEntries = 4 << 10
)

// diskSpace is what the replica knows of the room on its disk. Snapshots free the disk, so room for one is kept free.
type diskSpace struct {
	checkedAt     time.Time
	free          int64 // at checkedAt, less what was saved since
	short         bool  // there is less room than a snapshot needs
	transferredAt time.Time
	offered       int // number of voters to which the leadership was offered
}

// snapshotRoom returns the bytes that the next snapshot may need beside the files that it replaces. The state machine's
// state may have grown by the entries applied since the latest one.
func (r *Replica) snapshotRoom() int64 {
	return spaceReserve + int64(r.snapshotBytes) + int64(min(r.appliedBytes, r.quarterBytes()))
}

// proposalRoom returns the size of the largest proposal for which the disk has room. An entry is written to the log and
// may become part of the next snapshot.
func (r *Replica) proposalRoom() int {
	room := (r.space.free - r.snapshotRoom()) / 2
	return int(max(0, min(room, math.MaxInt32)))
}

// updateSpace looks at the room on the disk if that is due, and reports when it becomes too small or large enough again.
func (r *Replica) updateSpace(now time.Time) {
	if !r.space.checkedAt.IsZero() && now.Sub(r.space.checkedAt) < spaceCheckInterval {
		return
	}
	r.space.checkedAt, r.space.free = now, r.Store.FreeBytes()
	r.node.LimitProposals(r.proposalRoom())
	r.meter.freeBytes.Update(float64(r.space.free))
	short := r.space.free < r.snapshotRoom()
	if short != r.space.short {
		r.space.short = short
		r.meter.setSpaceShort(short)
		r.Log.Warn("disk-space-changed", zap.Bool("short", short), zap.Int64("free-bytes", r.space.free), zap.Int64("reserved-bytes", r.snapshotRoom()))
	}
	if short && now.Sub(r.space.transferredAt) >= spaceTransferInterval {
		r.space.transferredAt = now
		r.offerLeadership()
	}
}

// offerLeadership asks one voter after the other to take over the leadership from a leader without room. Those that are
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
	}
	r.node.LimitProposals(r.proposalRoom())
}

// hasRoomFor reports whether the entries or the snapshot in a message fit on the disk. Large entries leave room for a
// snapshot; a snapshot replaces the log. A member that is short of space does not take over the leadership.
func (r *Replica) hasRoomFor(m *raft.Message) bool {
	size := int64(m.DataBytes())
	switch {
	case m.Type == raft.MsgTransfer:
		// Disks that one writer fills are often full at the same time, so an earlier look may be too old.
		r.space.checkedAt = time.Time{}
		r.updateSpace(time.Now())
		return !r.space.short
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
