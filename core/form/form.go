package form

import (
	"slices"
	"time"

	"wasabiweir/core/raft"
)

// BootstrapDiskID is the disk id, the part of a member's id that identifies its data folder, of the Raft group's first
// voters. It is fixed, so that they know each other's ids without exchanging messages. A process that later loses its
// disk gets a random disk id, because the group already exists then.
const BootstrapDiskID = "first"

// BootstrapMembers returns the first voters of the Raft group, which are the same on each seed (a process in the
// configured initial list). It returns none on a process that is not a seed, which joins the existing group instead.
func BootstrapMembers(self string, seeds []string) raft.Members {
	if !slices.Contains(seeds, self) {
		return raft.Members{}
	}
	names := slices.Compact(slices.Sorted(slices.Values(seeds)))
	var m raft.Members
	for _, name := range names {
		m.Voters = append(m.Voters, raft.ID{Name: name, Disk: BootstrapDiskID})
	}
	return m
}

const (
	// uncertainAfter is the time without an answer to the leader, several heartbeats long, after which a voter may
	// have failed.
	uncertainAfter = 700 * time.Millisecond
	// VoterRemovalDelay is the time without an answer to the leader after which a voter counts as failed; a restart
	// takes less.
	VoterRemovalDelay = 2500 * time.Millisecond
	// SpareRemovalDelay is the time without an answer to the leader after which a learner, or a voter of a Raft group
	// of odd size above MaxRetainedVoters, is removed. It is longer than VoterRemovalDelay, because keeping such a
	// member costs the group nothing.
	SpareRemovalDelay = 6 * time.Second
	// MaxRetainedVoters is the number of voters up to which a Raft group of odd size keeps unresponsive voters; five
	// voters tolerate two losses.
	MaxRetainedVoters = 5
)

// MemberToRemove returns the member that the leader should remove from the Raft group, at most one at a time, or false
// if there is none; silence returns the time since a member last answered the leader. In a group of even size, an
// unresponsive voter only raises the quorum, and in a group of more than MaxRetainedVoters it only makes commits wait
// for more disks. In a smaller group of odd size, keeping it costs nothing and it may come back.
func MemberToRemove(m raft.Members, leader raft.ID, silence func(raft.ID) time.Duration) (raft.ID, bool) {
	if id, ok := longestSilentMember(m.Learners, leader, silence, SpareRemovalDelay); ok {
		return id, true
	}
	switch n := len(m.Voters); {
	case n <= 2:
		return raft.ID{}, false
	case n%2 == 0:
		return longestSilentMember(m.Voters, leader, silence, VoterRemovalDelay)
	case n > MaxRetainedVoters:
		return longestSilentMember(m.Voters, leader, silence, SpareRemovalDelay)
	}
	return raft.ID{}, false
}

// longestSilentMember returns the member of the Raft group that has not answered the leader for the longest time, or
// false if that is less than minSilence.
func longestSilentMember(ids []raft.ID, leader raft.ID, silence func(raft.ID) time.Duration, minSilence time.Duration) (raft.ID, bool) {
	candidate, longest := raft.ID{}, minSilence
	for _, id := range ids {
		if id == leader {
			continue
		}
		if d := silence(id); d >= longest {
			candidate, longest = id, d
		}
	}
	return candidate, !candidate.IsZero()
}

// hasUncertainVoter reports whether the voter that has not answered the leader for the longest time may have failed,
// but has not been silent long enough to count as failed.
func hasUncertainVoter(m raft.Members, leader raft.ID, silence func(raft.ID) time.Duration) bool {
	id, found := longestSilentMember(m.Voters, leader, silence, uncertainAfter)
	return found && silence(id) < VoterRemovalDelay
}
