package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Suffixes of the names of log segments, snapshots and temporary files, and the default size of segments.
const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
	// DefaultSegmentBytes is the default size in bytes of a log segment at which the next one is started.
	DefaultSegmentBytes = 16 << 20
)

// segmentMagic is the header of a segment file of the log; its last byte is the version of the format.
var segmentMagic = []byte{'w', 'w', 'l', 'o', 'g', 0, 0, 1}

// logSegment describes one segment file of a Raft group's log.
type logSegment struct {
	number       uint64 // position in the sequence of segment files; also the file name
	highestIndex uint64 // highest index of a log entry or reset in the file
}

// segmentPath returns the path of the log segment with the number in the folder of a Raft group.
func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016d%s", number, segmentSuffix))
}

// createSegment creates an empty log segment and syncs it. It replaces an existing file of that number, which can exist
// only if a crash interrupted an earlier creation.
func createSegment(disk Disk, dir string, number uint64) error {
	if err := WriteFileAtomic(disk, segmentPath(dir, number), segmentMagic); err != nil {
		return fmt.Errorf("create segment %d: %w", number, err)
	}
	return nil
}

// listFileNumbers returns the numbers in the names of all files in a folder that have the suffix, in ascending order.
func listFileNumbers(dir, suffix string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", dir, err)
	}
	var numbers []uint64
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(name, 10, 64)
		if err != nil {
			continue
		}
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// removeTempFiles removes temporary files that a crash left behind before they were renamed.
func removeTempFiles(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+tempSuffix))
	if err != nil {
		return fmt.Errorf("list temporary files: %w", err)
	}
	for _, path := range paths {
		err = errors.Join(err, os.Remove(path))
	}
	if err != nil {
		return fmt.Errorf("remove temporary files: %w", err)
	}
	return nil
}

// readSegment passes each record of a log segment to visit and returns the length of the segment's valid part in bytes.
// Only the last segment may end with an incomplete record; any other damage is returned as a CorruptError.
func readSegment(path string, last bool, visit func(Record) error) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read a segment: %w", err)
	}
	if len(data) < len(segmentMagic) || string(data[:len(segmentMagic)]) != string(segmentMagic) {
		return 0, &CorruptError{File: path, Reason: "the segment header is damaged"}
	}
	offset := len(segmentMagic)
	for offset < len(data) {
		r, n, err := DecodeRecord(data[offset:])
		if errors.Is(err, errInvalidRecord) && last && !containsRecord(data[offset+1:]) {
			return int64(offset), nil
		}
		if err == nil {
			err = visit(r)
		}
		if err != nil {
			return 0, &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += n
	}
	return int64(offset), nil
}
