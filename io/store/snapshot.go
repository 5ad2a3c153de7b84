package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"wasabiweir/core/raft"
)

// snapshotPath returns the path of the snapshot file that covers the log up to the entry at the index.
func snapshotPath(dir string, index uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016d%s", index, snapshotSuffix))
}

// writeSnapshot writes and syncs the file of a Raft snapshot.
func writeSnapshot(disk Disk, dir string, s raft.Snapshot) error {
	frame, err := appendFrame(nil, s)
	if err != nil {
		return fmt.Errorf("snapshot %d: %w", s.Index, err)
	}
	if err := WriteFileAtomic(disk, snapshotPath(dir, s.Index), frame); err != nil {
		return fmt.Errorf("write snapshot %d: %w", s.Index, err)
	}
	return nil
}

// readLatestSnapshot returns the latest snapshot in the folder of a Raft group, or an empty one if there is none. If
// the latest snapshot is damaged, it returns a CorruptError instead of an older one, because the segments after an
// older one may have been deleted.
func readLatestSnapshot(dir string) (raft.Snapshot, error) {
	indexes, err := listFileNumbers(dir, snapshotSuffix)
	if err != nil || len(indexes) == 0 {
		return raft.Snapshot{}, err
	}
	path := snapshotPath(dir, indexes[len(indexes)-1])
	data, err := os.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, fmt.Errorf("read a snapshot: %w", err)
	}
	body, n, err := readFrame(data)
	if err != nil || n != len(data) {
		return raft.Snapshot{}, &CorruptError{File: path, Reason: "the snapshot is damaged"}
	}
	var s raft.Snapshot
	if err := cborDecoder.Unmarshal(body, &s); err != nil {
		return raft.Snapshot{}, &CorruptError{File: path, Offset: frameHeaderBytes, Reason: err.Error()}
	}
	return s, nil
}

// removeSnapshotsBefore removes the snapshot files that end before the log entry with the index.
func removeSnapshotsBefore(dir string, index uint64) error {
	indexes, err := listFileNumbers(dir, snapshotSuffix)
	if err != nil {
		return err
	}
	for _, i := range indexes {
		if i < index {
			err = errors.Join(err, os.Remove(snapshotPath(dir, i)))
		}
	}
	if err != nil {
		return fmt.Errorf("remove old snapshots: %w", err)
	}
	return nil
}
