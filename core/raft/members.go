package raft

import (
	"cmp"
	"fmt"
	"slices"
)

// Members are the identities that make up a group; only voters count towards a quorum.
type Members struct {
	// Voters elect the leader and acknowledge entries, in the order of their names.
	Voters []ID `cbor:"1,keyasint,omitempty"`
	// Learners receive the log and do not vote, in the order of their names.
	Learners []ID `cbor:"2,keyasint,omitempty"`
}

// ChangeType tells what a membership change does.
type ChangeType uint8

// Types of membership changes.
const (
	// AddLearner adds a member that receives the log and does not vote.
	AddLearner ChangeType = iota + 1
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove removes a voter or learner.
	Remove
)

var changeNames = [...]string{"none", "add learner", "promote", "remove"}

// String returns the name of the type.
func (t ChangeType) String() string { return changeNames[t] }

// ConfChange is a change of one member.
type ConfChange struct {
	// Type tells what the change does.
	Type ChangeType `cbor:"1,keyasint"`
	// ID is the member that it concerns.
	ID ID `cbor:"2,keyasint"`
	// Context is stored as the data of the entry.
	Context []byte `cbor:"3,keyasint,omitempty"`
}

// IsVoter reports whether the identity is a voter.
func (m Members) IsVoter(id ID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether the identity is a learner.
func (m Members) IsLearner(id ID) bool { return slices.Contains(m.Learners, id) }

// Has reports whether the identity is a voter or learner.
func (m Members) Has(id ID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Quorum returns the number of voters in a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// All returns the voters followed by the learners.
func (m Members) All() []ID { return slices.Concat(m.Voters, m.Learners) }

// Clone returns a copy that shares no memory with m.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// Apply returns the members after the change, or ErrMember if the change does not fit.
func (m Members) Apply(c ConfChange) (Members, error) {
	out := m.Clone()
	switch {
	case c.Type == AddLearner && !c.ID.IsZero() && !m.Has(c.ID):
		out.Learners = append(out.Learners, c.ID)
	case c.Type == Promote && m.IsLearner(c.ID):
		out.Learners = without(out.Learners, c.ID)
		out.Voters = append(out.Voters, c.ID)
	case c.Type == Remove && m.IsLearner(c.ID):
		out.Learners = without(out.Learners, c.ID)
	case c.Type == Remove && m.IsVoter(c.ID) && len(m.Voters) > 1:
		out.Voters = without(out.Voters, c.ID)
	default:
		return m, fmt.Errorf("change %d of %s: %w", c.Type, c.ID, ErrMember)
	}
	slices.SortFunc(out.Voters, compareIDs)
	slices.SortFunc(out.Learners, compareIDs)
	return out, nil
}

func without(ids []ID, id ID) []ID {
	return slices.DeleteFunc(ids, func(other ID) bool { return other == id })
}

func compareIDs(a, b ID) int {
	if c := cmp.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return cmp.Compare(a.Disk, b.Disk)
}

// quorumValue returns the highest value that a majority of the voters has reached.
func (m Members) quorumValue(value func(ID) uint64) uint64 {
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
