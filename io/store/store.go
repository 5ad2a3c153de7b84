package store

import (
	"errors"
	"fmt"
	"os"

	"wasabiweir/core/raft"
)

// maxReusedBytes is the largest buffer that is kept for the next record. A larger one is left to the garbage collector,
// because a single large entry would hold its memory for the life of the process.
const maxReusedBytes = 256 << 10

// Store stores the log, hard state and snapshots of one Raft group on disk. Its exported fields must be set before
// Open. It is not safe for concurrent use, except for WriteSnapshot.
type Store struct {
	// Folder is the data folder that holds the Raft group's files; it must be open.
	Folder *Folder
	// Group is the name of the Raft group: up to 63 lower-case letters, digits and hyphens.
	Group string
	// SegmentBytes is the size in bytes of a log segment at which the next one is started; DefaultSegmentBytes if it is
	// zero.
	SegmentBytes int64

	dir         string
	segmentFile *os.File       // the last log segment, open for writing
	segmentSize int64          // size of the last segment in bytes
	segments    []logSegment   // all segments in order
	hardState   raft.HardState // latest saved Raft hard state
	writeErr    error          // first error of Save or Trim, after which nothing more is written
	buf         []byte         // reused by writeRecord
}

// Open reads the Raft group's stored state and prepares the store for writing. It truncates an incomplete last record
// and returns a CorruptError for any other damage.
func (s *Store) Open() (raft.PersistentState, error) {
	if s.SegmentBytes == 0 {
		s.SegmentBytes = DefaultSegmentBytes
	}
	dir, err := s.Folder.openGroupDir(s.Group)
	if err != nil {
		return raft.PersistentState{}, fmt.Errorf("open group %s: %w", s.Group, err)
	}
	s.dir = dir
	if err := removeTempFiles(dir); err != nil {
		return raft.PersistentState{}, err
	}
	snapshot, err := readLatestSnapshot(dir)
	if err != nil {
		return raft.PersistentState{}, fmt.Errorf("open group %s: %w", s.Group, err)
	}
	var p logReplay
	if err := s.readSegments(&p); err != nil {
		return raft.PersistentState{}, fmt.Errorf("open group %s: %w", s.Group, err)
	}
	entries, replaced, err := p.entriesAfter(snapshot)
	if err != nil {
		path := segmentPath(dir, s.segments[0].number)
		return raft.PersistentState{}, &CorruptError{File: path, Offset: int64(len(segmentMagic)), Reason: err.Error()}
	}
	s.hardState = p.hardState
	// A crash can come between a snapshot and Trim. If the disk is full, nothing could be written before this, not even a
	// reset record.
	if err := s.deleteCoveredFiles(snapshot); err != nil {
		return raft.PersistentState{}, fmt.Errorf("open group %s: %w", s.Group, err)
	}
	if replaced {
		if err := s.writeReset(snapshot); err != nil {
			return raft.PersistentState{}, fmt.Errorf("open group %s: %w", s.Group, err)
		}
	}
	return raft.PersistentState{HardState: p.hardState, Snapshot: snapshot, Entries: entries}, nil
}

// readSegments replays the records of all log segments in order and opens the last segment for writing.
func (s *Store) readSegments(p *logReplay) error {
	numbers, err := listFileNumbers(s.dir, segmentSuffix)
	if err != nil {
		return &CorruptError{File: s.dir, Reason: err.Error()}
	}
	if len(numbers) == 0 {
		return &CorruptError{File: s.dir, Reason: "all segments are missing"}
	}
	s.segments = nil
	for i, number := range numbers {
		path := segmentPath(s.dir, number)
		if number != numbers[0]+uint64(i) {
			return &CorruptError{File: path, Reason: "the previous segment is missing"}
		}
		p.highestIndex = 0
		last := i == len(numbers)-1
		s.segmentSize, err = readSegment(path, last, p.addRecord)
		if err != nil {
			return err
		}
		s.segments = append(s.segments, logSegment{number: number, highestIndex: p.highestIndex})
	}
	return s.openLastSegment()
}

// openLastSegment opens the last log segment for writing and truncates it after its last valid record.
func (s *Store) openLastSegment() error {
	path := segmentPath(s.dir, s.segments[len(s.segments)-1].number)
	file, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open a segment: %w", err)
	}
	if err = file.Truncate(s.segmentSize); err == nil {
		_, err = file.Seek(s.segmentSize, 0)
	}
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		return errors.Join(fmt.Errorf("truncate a segment: %w", err), file.Close())
	}
	s.segmentFile = file
	return nil
}

// writeReset writes the reset record of a snapshot whose installation was interrupted by a crash before that record.
func (s *Store) writeReset(snapshot raft.Snapshot) error {
	if err := s.writeRecord(Record{Reset: &EntryID{Index: snapshot.Index, Term: snapshot.Term}}); err != nil {
		return err
	}
	if err := s.segmentFile.Sync(); err != nil {
		return fmt.Errorf("sync a segment: %w", err)
	}
	return nil
}

// Save writes the Raft snapshot, log entries and hard state of r, and syncs them if r.Sync is set. After an error, all
// further writes by Save and Trim fail with ErrFailed, because a failed sync leaves the file in an unknown state.
func (s *Store) Save(r raft.Ready) error {
	if r.Snapshot == nil && r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	if s.writeErr != nil {
		return errors.Join(ErrFailed, s.writeErr)
	}
	if err := s.saveReady(r); err != nil {
		s.writeErr = err
		return fmt.Errorf("save group %s: %w", s.Group, err)
	}
	return nil
}

// saveReady writes a snapshot file if r has a Raft snapshot, and then one record with the hard state and the log
// entries of r.
func (s *Store) saveReady(r raft.Ready) error {
	record := Record{HardState: r.HardState, Entries: r.Entries}
	if r.Snapshot != nil {
		if err := writeSnapshot(s.Folder.disk(), s.dir, *r.Snapshot); err != nil {
			return err
		}
		record.Reset = &EntryID{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
	}
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if s.segmentSize >= s.SegmentBytes {
		if err := s.startNextSegment(); err != nil {
			return err
		}
	}
	if err := s.writeRecord(record); err != nil {
		return err
	}
	if r.Sync {
		if err := s.segmentFile.Sync(); err != nil {
			return fmt.Errorf("sync a segment: %w", err)
		}
	}
	if r.Snapshot != nil {
		return s.deleteCoveredFiles(*r.Snapshot)
	}
	return nil
}

// writeRecord appends a record to the last log segment. The first record of a segment contains the hard state, so that
// older segments can be deleted. Whether it is the first is decided by the segment's size, because a crash can leave a
// new segment empty.
func (s *Store) writeRecord(r Record) error {
	if r.HardState == nil && s.segmentSize == int64(len(segmentMagic)) {
		hard := s.hardState
		r.HardState = &hard
	}
	buf, err := EncodeRecord(s.buf[:0], r)
	if err != nil {
		return err
	}
	s.buf = nil
	if cap(buf) <= maxReusedBytes {
		s.buf = buf
	}
	n, err := s.Folder.disk().Write(s.segmentFile, buf)
	s.segmentSize += int64(n)
	if err != nil {
		return fmt.Errorf("write a record: %w", err)
	}
	current := &s.segments[len(s.segments)-1]
	if r.Reset != nil {
		current.highestIndex = max(current.highestIndex, r.Reset.Index)
	}
	if count := len(r.Entries); count > 0 {
		current.highestIndex = max(current.highestIndex, r.Entries[count-1].Index)
	}
	return nil
}

// startNextSegment starts a new log segment. It syncs the old one first, because an incomplete record is accepted only
// in the last segment.
func (s *Store) startNextSegment() error {
	if err := errors.Join(s.segmentFile.Sync(), s.segmentFile.Close()); err != nil {
		return fmt.Errorf("close a segment: %w", err)
	}
	number := s.segments[len(s.segments)-1].number + 1
	if err := createSegment(s.Folder.disk(), s.dir, number); err != nil {
		return err
	}
	s.segments = append(s.segments, logSegment{number: number})
	s.segmentSize = int64(len(segmentMagic))
	return s.openLastSegment()
}

// WriteSnapshot writes a snapshot of the state machine's applied state and syncs it. It may run concurrently with the
// other methods. Pass the snapshot to Trim afterwards, to delete the files that it makes unnecessary.
func (s *Store) WriteSnapshot(snapshot raft.Snapshot) error {
	if err := writeSnapshot(s.Folder.disk(), s.dir, snapshot); err != nil {
		return fmt.Errorf("save a snapshot of group %s: %w", s.Group, err)
	}
	return nil
}

// LoadSnapshot reads the Raft group's latest snapshot from disk. It returns a CorruptError if the snapshot is damaged.
func (s *Store) LoadSnapshot() (raft.Snapshot, error) {
	snapshot, err := readLatestSnapshot(s.dir)
	if err != nil {
		return raft.Snapshot{}, fmt.Errorf("load a snapshot of group %s: %w", s.Group, err)
	}
	return snapshot, nil
}

// Trim deletes the older snapshots and the log segments that the written snapshot covers. After an error, all further
// writes by Save and Trim fail with ErrFailed.
func (s *Store) Trim(snapshot raft.Snapshot) error {
	if s.writeErr != nil {
		return errors.Join(ErrFailed, s.writeErr)
	}
	if err := s.deleteCoveredFiles(snapshot); err != nil {
		s.writeErr = err
		return fmt.Errorf("trim group %s: %w", s.Group, err)
	}
	return nil
}

// deleteCoveredFiles deletes the older snapshots and the log segments before the one that contains the snapshot's last
// entry. That entry is kept, because Open compares its term with the snapshot's. The last segment with a record is kept
// too, because it has the hard state.
func (s *Store) deleteCoveredFiles(snapshot raft.Snapshot) error {
	if err := removeSnapshotsBefore(s.dir, snapshot.Index); err != nil {
		return err
	}
	kept := 1
	if s.segmentSize == int64(len(segmentMagic)) {
		kept = 2
	}
	for len(s.segments) > kept && s.segments[0].highestIndex < snapshot.Index {
		if err := os.Remove(segmentPath(s.dir, s.segments[0].number)); err != nil {
			return fmt.Errorf("remove a segment: %w", err)
		}
		s.segments = s.segments[1:]
		// A power loss that undoes the removal of this segment but not that of the next one would leave a gap, which is damage.
		if err := s.Folder.disk().SyncFolder(s.dir); err != nil {
			return fmt.Errorf("remove a segment: %w", err)
		}
	}
	return nil
}

// FreeBytes returns how many bytes can still be written to the data folder, or math.MaxInt64 if that is unknown.
func (s *Store) FreeBytes() int64 { return s.Folder.disk().FreeBytes(s.Folder.Path) }

// MemberID returns the Raft identity of the member with the instance name: the name and the data folder's disk id.
func (s *Store) MemberID(name string) raft.ID { return raft.ID{Name: name, Disk: s.Folder.DiskID()} }

// Close closes the last log segment's file without syncing it; it may be called twice.
func (s *Store) Close() error {
	if s.segmentFile == nil {
		return nil
	}
	err := s.segmentFile.Close()
	s.segmentFile = nil
	if err != nil {
		return fmt.Errorf("close group %s: %w", s.Group, err)
	}
	return nil
}
