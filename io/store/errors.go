package store

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors returned by Folder and Store.
var (
	// ErrLocked means that another process uses the data folder.
	ErrLocked = eris.New("the data folder is locked by another process")
	// ErrInvalidGroup means that a Raft group's name is not 1 to 63 lower-case letters, digits and hyphens, or starts with
	// a hyphen.
	ErrInvalidGroup = eris.New("invalid group name")
	// ErrFailed means that an earlier write or sync of a segment or snapshot file failed, after which the state of the
	// file is unknown.
	ErrFailed = eris.New("an earlier write failed")
	// errInvalidRecord means that a stored record or snapshot is incomplete, damaged or too large.
	errInvalidRecord = eris.New("invalid record")
)

// CorruptError reports that the stored state of a Raft group, or the data folder's identity file, is damaged, and
// where.
type CorruptError struct {
	// File is the path of the damaged file or folder.
	File string
	// Offset is the start of the damaged record, in bytes from the start of the file.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error returns a message with the path of the damaged file, the offset and the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}
