package form

import (
	"slices"
	"time"

	"wasabiweir/core/raft"
)

// FirstDisk is the disk id of a founder. It is fixed, so that all founders know each other's identities without a
// message; a disk that is lost later gets a random id, because the system's first start is over then.
const FirstDisk = "first"

// Founders returns the first voters of the group, the same on each seed. It returns none on a process that is not a
// seed, which joins.
func Founders(self string, seeds []string) raft.Members {
	if !slices.Contains(seeds, self) {
		return raft.Members{}
	}
	names := slices.Compact(slices.Sorted(slices.Values(seeds)))
	var m raft.Members
	for _, name := range names {
		m.Voters = append(m.Voters, raft.ID{Name: name, Disk: FirstDisk})
	}
	return m
}

const (
	// quietAfter is the silence from which a voter may be gone: several heartbeats.
	quietAfter = 700 * time.Millisecond
	// GoneAfter is the silence after which a voter counts as gone; a restart takes less.
	GoneAfter = 2500 * time.Millisecond
	// KeptFor is the silence up to which a member is kept that costs the group nothing.
	KeptFor = 6 * time.Second
	// EnoughVoters is the size up to which a group of odd size keeps silent voters: five bear two losses.
	EnoughVoters = 5
)

// Gone returns a member that its leader should remove, at most one at a time. In a group of even size a silent voter
// only raises the quorum, and beyond EnoughVoters it only makes commits wait for more disks; in a small group of odd
// size it may come back and costs nothing.
func Gone(m raft.Members, leader raft.ID, silent func(raft.ID) time.Duration) (raft.ID, bool) {
	if id, ok := quietest(m.Learners, leader, silent, KeptFor); ok {
		return id, true
	}
	switch n := len(m.Voters); {
	case n <= 2:
		return raft.ID{}, false
	case n%2 == 0:
		return quietest(m.Voters, leader, silent, GoneAfter)
	case n > EnoughVoters:
		return quietest(m.Voters, leader, silent, KeptFor)
	}
	return raft.ID{}, false
}

// quietest returns the member that has been silent for longest, if that is at least the limit.
func quietest(ids []raft.ID, leader raft.ID, silent func(raft.ID) time.Duration, limit time.Duration) (raft.ID, bool) {
	worst, longest := raft.ID{}, limit
	for _, id := range ids {
		if id == leader {
			continue
		}
		if s := silent(id); s >= longest {
			worst, longest = id, s
		}
	}
	return worst, !worst.IsZero()
}

// uncertain reports whether the voter that has been silent for longest may be gone or may only be slow.
func uncertain(m raft.Members, leader raft.ID, silent func(raft.ID) time.Duration) bool {
	id, quiet := quietest(m.Voters, leader, silent, quietAfter)
	return quiet && silent(id) < GoneAfter
}
