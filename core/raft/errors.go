package raft

import "github.com/rotisserie/eris"

// Errors of proposals, membership changes and messages in a Raft group.
var (
	// ErrChangePending means that an earlier membership change is not committed yet.
	ErrChangePending = eris.New("a membership change is pending")
	// ErrNotReady means that the membership change was refused because the leader has not committed an entry of its own
	// term yet.
	ErrNotReady = eris.New("the leader has not committed an entry of its term")
	// ErrLearnerLagging means that the learner lacks more entries than PromoteLag allows for its promotion to a voter.
	ErrLearnerLagging = eris.New("the learner is too far behind")
	// ErrNoQuorum means that fewer than a majority of the voters after the membership change answer the leader.
	ErrNoQuorum = eris.New("the members after the change have no quorum that answers")
	// ErrInvalidChange means that the membership change is invalid for the current members, such as the removal of an
	// unknown one.
	ErrInvalidChange = eris.New("the membership change does not fit the members")
	// ErrWrongIdentity means that the message is addressed to an identity other than this member's.
	ErrWrongIdentity = eris.New("the message is addressed to another identity")
	// ErrCommittedConflict means that a message contradicts a committed entry; the member must stop.
	ErrCommittedConflict = eris.New("the message contradicts a committed entry")
	// ErrTooManyUncommitted means that the uncommitted proposals exceed UncommittedBytes; the proposal was not
	// appended.
	ErrTooManyUncommitted = eris.New("too many uncommitted proposals")
	// ErrNoSpace means that the leader has no room on its disk for the proposal; it was not appended.
	ErrNoSpace = eris.New("no room on the disk for the proposal")
	// ErrLogFull means that the log must not grow until a snapshot is written; the proposal was not appended.
	ErrLogFull = eris.New("the log is full until a snapshot is written")
	// ErrTransferInProgress means that a leadership transfer is in progress; the proposal was not appended.
	ErrTransferInProgress = eris.New("the leadership is being transferred")
	// ErrInvalidConfig means that a field of the node, its saved state or a snapshot to compact to is invalid.
	ErrInvalidConfig = eris.New("invalid node configuration")
)

// NotLeaderError is the error of an operation that only the leader of the Raft group can do.
type NotLeaderError struct {
	// Leader is the identity of the current leader, or zero if it is unknown.
	Leader ID
}

// Error returns a message that names the leader of the Raft group if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return "not the leader; the leader is unknown"
	}
	return "not the leader; the leader is " + e.Leader.Name
}
