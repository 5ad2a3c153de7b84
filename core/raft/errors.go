package raft

import "github.com/rotisserie/eris"

// Errors of proposals, membership changes and messages.
var (
	// ErrPending means that an earlier membership change is not committed yet.
	ErrPending = eris.New("a membership change is pending")
	// ErrNotReady means that the leader has not committed an entry of its own term yet.
	ErrNotReady = eris.New("the leader has not committed an entry of its term")
	// ErrLagging means that the learner is too far behind to become a voter.
	ErrLagging = eris.New("the learner is too far behind")
	// ErrQuorum means that the members after the change would have no quorum that answers the leader.
	ErrQuorum = eris.New("the members after the change have no quorum that answers")
	// ErrMember means that the membership change does not fit the current members.
	ErrMember = eris.New("the membership change does not fit the members")
	// ErrIdentity means that the message is addressed to another identity than this member's.
	ErrIdentity = eris.New("the message is addressed to another identity")
	// ErrCommitted means that a message contradicts a committed entry; the member must stop.
	ErrCommitted = eris.New("the message contradicts a committed entry")
	// ErrBusy means that too many proposals are not committed yet; the proposal was not appended.
	ErrBusy = eris.New("too many uncommitted proposals")
	// ErrTransfer means that the leader is handing over its leadership; the proposal was not appended.
	ErrTransfer = eris.New("the leadership is being transferred")
	// ErrConfig means that a field of the node or its saved state is invalid.
	ErrConfig = eris.New("invalid node configuration")
)

// NotLeaderError is returned by a member that does not lead; Leader is zero if the leader is unknown.
type NotLeaderError struct {
	// Leader is the leader's identity, or zero.
	Leader ID
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "not the leader; the leader is unknown"
	}
	return "not the leader; the leader is " + e.Leader.Name
}
