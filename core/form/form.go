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
	// GoneAfter is the silence after which a voter may be removed; a restart takes less.
	GoneAfter = 6 * time.Second
	// EnoughVoters is the size up to which a group of odd size keeps silent voters: five bear two losses.
	EnoughVoters = 5
)

// Gone returns a member that its leader should remove, at most one at a time. In a group of even size a silent voter
// only raises the quorum, and beyond EnoughVoters it only makes commits wait for more disks; in a small group of odd
// size it may come back and costs nothing.
func Gone(m raft.Members, leader raft.ID, silent func(raft.ID) time.Duration) (raft.ID, bool) {
	worst, longest := raft.ID{}, GoneAfter
	for _, id := range m.Learners {
		if s := silent(id); s >= longest {
			worst, longest = id, s
		}
	}
	if !worst.IsZero() {
		return worst, true
	}
	if n := len(m.Voters); n <= EnoughVoters && n%2 == 1 || n <= 2 {
		return raft.ID{}, false
	}
	for _, id := range m.Voters {
		if id == leader {
			continue
		}
		if s := silent(id); s >= longest {
			worst, longest = id, s
		}
	}
	return worst, !worst.IsZero()
}

const (
	// quietAfter is the silence from which a voter may be gone: several heartbeats.
	quietAfter = 700 * time.Millisecond
	// DisplacedAfter is the silence after which a newcomer takes a voter's place; a restart takes less.
	DisplacedAfter = 2500 * time.Millisecond
)

// Displaced returns the voter whose place a learner takes, or none if the group grows by it. It reports wait while a voter
// may be gone but is not silent for long enough: a newcomer beside a voter that is gone would raise the quorum, and the
// loss of one more member could stop the group.
func Displaced(m raft.Members, leader raft.ID, silent func(raft.ID) time.Duration) (gone raft.ID, wait bool) {
	var longest time.Duration
	for _, id := range m.Voters {
		if id == leader {
			continue
		}
		if s := silent(id); s > longest {
			gone, longest = id, s
		}
	}
	switch {
	case longest < quietAfter:
		return raft.ID{}, false
	case longest < DisplacedAfter:
		return raft.ID{}, true
	}
	return gone, false
}
