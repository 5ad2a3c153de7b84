package raft

import (
	"cmp"
	"fmt"
	"slices"
)

// Members lists the members of a Raft group; only voters count towards a quorum.
type Members struct {
	// Voters elect the leader and count towards the quorum that commits an entry; they are sorted by name.
	Voters []ID `cbor:"1,keyasint,omitempty"`
	// Learners receive the log and do not vote; they are sorted by name.
	Learners []ID `cbor:"2,keyasint,omitempty"`
}

// ChangeType is the kind of a membership change of a Raft group.
type ChangeType uint8

// Types of membership changes of a Raft group.
const (
	// AddLearner adds a member that receives the log and does not vote.
	AddLearner ChangeType = iota + 1
	// Promote turns a learner that has caught up into a voter.
	Promote
	// Remove removes a voter or a learner from the group.
	Remove
)

// changeNames holds the text of each ChangeType, indexed by its value.
var changeNames = [...]string{"none", "add learner", "promote", "remove"}

// String returns the change type as words, such as "add learner".
func (t ChangeType) String() string { return changeNames[t] }

// ConfChange is a membership change that adds, promotes or removes one member.
type ConfChange struct {
	// Type says whether the member is added, promoted or removed.
	Type ChangeType `cbor:"1,keyasint"`
	// ID is the member that is added, promoted or removed.
	ID ID `cbor:"2,keyasint"`
	// Context is opaque data of the caller; it becomes the Data of the log entry.
	Context []byte `cbor:"3,keyasint,omitempty"`
}

// IsVoter reports whether the identity is a voter of the Raft group.
func (m Members) IsVoter(id ID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether the identity is a learner of the Raft group.
func (m Members) IsLearner(id ID) bool { return slices.Contains(m.Learners, id) }

// Has reports whether the identity is a voter or a learner of the Raft group.
func (m Members) Has(id ID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Quorum returns the number of voters that form a majority of the Raft group.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// All returns the identities of all voters of the Raft group, followed by those of all learners.
func (m Members) All() []ID { return slices.Concat(m.Voters, m.Learners) }

// Clone returns a copy of the members that shares no memory with m.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// Apply returns the group members after the membership change, or ErrInvalidChange if the change is invalid for m, such
// as the removal of the last voter.
func (m Members) Apply(c ConfChange) (Members, error) {
	out := m.Clone()
	switch {
	case c.Type == AddLearner && !c.ID.IsZero() && !m.Has(c.ID):
		out.Learners = append(out.Learners, c.ID)
	case c.Type == Promote && m.IsLearner(c.ID):
		out.Learners = removeID(out.Learners, c.ID)
		out.Voters = append(out.Voters, c.ID)
	case c.Type == Remove && m.IsLearner(c.ID):
		out.Learners = removeID(out.Learners, c.ID)
	case c.Type == Remove && m.IsVoter(c.ID) && len(m.Voters) > 1:
		out.Voters = removeID(out.Voters, c.ID)
	default:
		return m, fmt.Errorf("change %d of %s: %w", c.Type, c.ID, ErrInvalidChange)
	}
	slices.SortFunc(out.Voters, compareIDs)
	slices.SortFunc(out.Learners, compareIDs)
	return out, nil
}

// removeID returns the member identities ids without id; it reuses the memory of ids.
func removeID(ids []ID, id ID) []ID {
	return slices.DeleteFunc(ids, func(other ID) bool { return other == id })
}

// compareIDs orders member identities by instance name, then by disk identifier.
func compareIDs(a, b ID) int {
	if c := cmp.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return cmp.Compare(a.Disk, b.Disk)
}

// valueReachedByQuorum returns the highest value that a majority of the voters has reached, where value returns that of
// one voter, such as the last entry that it has synced. It returns 0 if there are no voters.
func (m Members) valueReachedByQuorum(value func(ID) uint64) uint64 {
	if len(m.Voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(m.Voters))
	for _, id := range m.Voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-m.Quorum()]
}
