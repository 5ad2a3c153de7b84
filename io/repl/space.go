package repl

import (
	"errors"
	"math"
	"slices"
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
	spaceTransferInterval = 5 * time.Second
)

// diskSpace is what the replica knows of the room on its disk. Snapshots free the disk, so room for one is kept free.
type diskSpace struct {
	checkedAt     time.Time
	free          int64 // at checkedAt, less what was saved since
	short         bool  // there is less room than a snapshot needs
	transferredAt time.Time
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
		// Another voter may have room. If none has, the leadership returns.
		r.space.transferredAt = now
		_, _ = r.node.TransferLeadership(raft.ID{})
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

// hasRoomFor reports whether the entries or the snapshot in a message fit on the disk. Entries leave room for a snapshot,
// except for those without a proposal: without the first entry of its term, a new leader can't answer reads. A snapshot
// replaces the log.
func (r *Replica) hasRoomFor(m *raft.Message) bool {
	switch {
	case m.Type == raft.MsgAppend && slices.ContainsFunc(m.Entries, isProposal):
		return r.space.free-int64(m.DataBytes()) >= r.snapshotRoom()
	case m.Type == raft.MsgSnapshot:
		// The message carries a chunk; HintTerm is the size of the whole snapshot, which is saved at once.
		return r.space.free >= int64(min(m.HintTerm, math.MaxInt32))+spaceReserve
	}
	return true
}

// isProposal reports whether the entry holds a proposal.
func isProposal(e raft.Entry) bool { return e.Type == raft.EntryData }

// isDiskFull reports whether an error means that the disk has no room.
func isDiskFull(err error) bool { return errors.Is(err, syscall.ENOSPC) }
