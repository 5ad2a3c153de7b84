package store

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	_ "wasabiweir/core/prop"
	"wasabiweir/core/raft"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

func init() { _ = flag.Set("rapid.checks", "500") }

// requireNoError fails the test if err is not nil.
func requireNoError(t rapid.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// requireError fails the test unless err wraps want.
func requireError(t rapid.TB, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
}

// openFolder opens the data folder at the path and fails the test on an error.
func openFolder(t rapid.TB, path string) *Folder {
	t.Helper()
	f := &Folder{Path: path}
	requireNoError(t, f.Open())
	return f
}

// storeModel is a store together with the state that it must return when it is reopened.
type storeModel struct {
	*rapid.T
	folder *Folder
	store  *Store
	disk   *powerDisk
	want   raft.PersistentState // what Open must return
}

// powerDisk is a file system that can lose its power.
type powerDisk struct {
	SizedDisk
	durable map[string][]byte // the files of each synced folder, by their paths
	// syncs is the number of syncs of folders before the power fails; it does not if that is negative.
	syncs int
}

// errNoPower is returned once the power has failed.
var errNoPower = errors.New("the power has failed")

// SyncFolder makes what is in the folder durable unless the power fails.
func (d *powerDisk) SyncFolder(folder string) error {
	if d.syncs == 0 {
		return errNoPower
	}
	d.syncs--
	maps.DeleteFunc(d.durable, func(path string, _ []byte) bool { return filepath.Dir(path) == folder })
	entries, err := os.ReadDir(folder)
	for _, e := range entries {
		path := filepath.Join(folder, e.Name())
		if data, err := os.ReadFile(path); err == nil {
			d.durable[path] = data
		}
	}
	return err
}

// losePower closes the store, undoes some of the removals of files that are not durable, and reopens the store.
func (m *storeModel) losePower() {
	requireNoError(m, m.store.Close())
	for _, path := range slices.Sorted(maps.Keys(m.disk.durable)) {
		if _, err := os.Stat(path); err != nil && m.drawInt("undone", 0, 1) == 1 {
			requireNoError(m, os.WriteFile(path, m.disk.durable[path], fileMode))
		}
	}
	m.disk.syncs = -1
	m.reopen()
}

// drawInt draws a number from low to high.
func (m *storeModel) drawInt(name string, low, high int) int {
	return rapid.IntRange(low, high).Draw(m.T, name)
}

// drawEntryBytes draws the size of an entry: most are small, and some are larger than several segments.
func (m *storeModel) drawEntryBytes() int {
	if m.drawInt("large", 0, 9) == 0 {
		return m.drawInt("large bytes", 300, 5000)
	}
	return m.drawInt("bytes", 0, 60)
}

// lastIndex returns the index of the last expected entry, or of the snapshot if there is no entry after it.
func (m *storeModel) lastIndex() uint64 { return m.want.Snapshot.Index + uint64(len(m.want.Entries)) }

// lastTerm returns the term of the last expected entry, or of the snapshot if there is no entry after it.
func (m *storeModel) lastTerm() uint64 {
	if k := len(m.want.Entries); k > 0 {
		return m.want.Entries[k-1].Term
	}
	return m.want.Snapshot.Term
}

// drawAppend draws a Ready with entries that follow or replace the last ones, and sometimes a hard state. It also
// returns the state that the store must have after saving it.
func (m *storeModel) drawAppend() (raft.Ready, raft.PersistentState) {
	want := m.want
	from := m.lastIndex() + 1
	if k := len(m.want.Entries); k > 0 {
		from -= uint64(m.drawInt("replaced", 0, k))
	}
	want.Entries = slices.Clone(want.Entries[:from-1-want.Snapshot.Index])
	term := m.lastTerm() + uint64(m.drawInt("term", 0, 1))
	r := raft.Ready{Sync: true}
	for i := range uint64(m.drawInt("count", 1, 5)) {
		r.Entries = append(r.Entries, raft.Entry{Term: term, Index: from + i, Data: make([]byte, m.drawEntryBytes())})
	}
	want.Entries = append(want.Entries, r.Entries...)
	if m.drawInt("hard", 0, 1) == 1 || term > want.HardState.Term {
		want.HardState = raft.HardState{Term: max(term, want.HardState.Term), Vote: raft.ID{Name: "a", Disk: "1"}}
		r.HardState = &raft.HardState{Term: want.HardState.Term, Vote: want.HardState.Vote}
	}
	return r, want
}

// drawSnapshot draws a Ready with a snapshot from the leader that replaces the log, and returns the state after saving
// it.
func (m *storeModel) drawSnapshot() (raft.Ready, raft.PersistentState) {
	s := raft.Snapshot{Index: m.lastIndex() + uint64(m.drawInt("ahead", 1, 9)), Term: m.lastTerm() + 1, Data: []byte("installed")}
	hard := raft.HardState{Term: max(s.Term, m.want.HardState.Term)}
	return raft.Ready{Snapshot: &s, HardState: &hard, Sync: true}, raft.PersistentState{HardState: hard, Snapshot: s}
}

// compact takes a snapshot of a prefix of the log; if crash is set, the store is reopened before the segments are
// deleted.
func (m *storeModel) compact(crash bool) {
	if len(m.want.Entries) == 0 {
		return
	}
	k := m.drawInt("prefix", 1, len(m.want.Entries))
	e := m.want.Entries[k-1]
	m.want.Snapshot = raft.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("compacted")}
	m.want.Entries = m.want.Entries[k:]
	requireNoError(m, m.store.WriteSnapshot(m.want.Snapshot))
	if crash {
		m.reopen()
		return
	}
	m.disk.syncs = m.drawInt("syncs", -1, 2)
	err := m.store.Trim(m.want.Snapshot)
	if err != nil {
		requireError(m, err, errNoPower)
	}
	if err != nil || m.drawInt("power", 0, 1) == 1 {
		m.losePower()
	}
	m.disk.syncs = -1
}

// saveTorn saves r, then truncates or damages its record as a crash before the sync could, and reopens the store.
func (m *storeModel) saveTorn(r raft.Ready, want raft.PersistentState) {
	recordStart := m.store.segmentSize
	segments := len(m.store.segments)
	requireNoError(m, m.store.Save(r))
	if len(m.store.segments) != segments {
		recordStart = int64(len(segmentMagic))
	}
	path := segmentPath(m.store.dir, m.store.segments[len(m.store.segments)-1].number)
	data, err := os.ReadFile(path)
	requireNoError(m, err)
	tornAt := m.drawInt("torn at", int(recordStart), len(data))
	if tornAt < len(data) && m.drawInt("damage", 0, 1) == 1 {
		data[tornAt] ^= 0x40
	} else {
		data = data[:tornAt]
	}
	requireNoError(m, os.WriteFile(path, data, fileMode))
	if tornAt == int(m.store.segmentSize) {
		m.want = want
	}
	m.reopen()
}

// interruptInstall writes the snapshot file of r without the reset record, as a crash during the installation would,
// and reopens the store.
func (m *storeModel) interruptInstall(r raft.Ready) {
	requireNoError(m, writeSnapshot(SizedDisk{}, m.store.dir, *r.Snapshot))
	m.want = raft.PersistentState{HardState: m.want.HardState, Snapshot: *r.Snapshot}
	if m.drawInt("full", 0, 1) == 1 {
		m.openOnFullDisk()
	}
	m.reopen()
}

// openOnFullDisk opens the store without room beyond its files, or without any even after some are deleted.
func (m *storeModel) openOnFullDisk() {
	requireNoError(m, m.store.Close())
	m.folder.Disk = &sizedDisk{Disk: m.disk, folder: m.folder.Path, limit: UsedBytes(m.folder.Path) * int64(m.drawInt("limit", 0, 1))}
	m.store = &Store{Folder: m.folder, Group: "config", SegmentBytes: 300}
	if _, err := m.store.Open(); err != nil && !errors.Is(err, syscall.ENOSPC) {
		m.Fatal(err)
	}
	m.folder.Disk = m.disk
}

// reopen closes the store, opens it again and fails the test unless it returns the expected state.
func (m *storeModel) reopen() {
	m.Helper()
	requireNoError(m, m.store.Close())
	m.store = &Store{Folder: m.folder, Group: "config", SegmentBytes: 300}
	got, err := m.store.Open()
	requireNoError(m, err)
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", m.want) {
		m.Fatalf("read %+v, want %+v", got, m.want)
	}
}

// Guards against synced state that a reopened store does not return, and against unsynced records that it returns in
// part. Random appends, conflicts, snapshots, segment changes and crashes at any byte are tried.
func TestStoreReturnsWhatWasSynced(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(rt *rapid.T) {
		run++
		path := filepath.Join(dir, fmt.Sprint(run))
		m := &storeModel{T: rt, folder: openFolder(rt, path), disk: &powerDisk{durable: map[string][]byte{}, syncs: -1}}
		m.folder.Disk = m.disk
		defer os.RemoveAll(path)
		defer m.folder.Close()
		m.store = &Store{Folder: m.folder, Group: "config", SegmentBytes: 300}
		_, err := m.store.Open()
		requireNoError(rt, err)
		for range m.drawInt("steps", 1, 15) {
			r, want := m.drawAppend()
			installed, after := m.drawSnapshot()
			switch m.drawInt("action", 0, 9) {
			case 0:
				m.losePower()
			case 1:
				m.saveTorn(r, want)
			case 2:
				m.compact(m.drawInt("cut", 0, 1) == 1)
			case 3:
				requireNoError(rt, m.store.Save(installed))
				m.want = after
			case 4:
				m.interruptInstall(installed)
			default:
				requireNoError(rt, m.store.Save(r))
				m.want = want
			}
		}
		m.reopen()
		requireNoError(rt, m.store.Close())
	})
}

// filledFolder returns the data folder of a closed store with several segments.
func filledFolder(t *testing.T) *Folder {
	t.Helper()
	f := openFolder(t, t.TempDir())
	t.Cleanup(func() { f.Close() })
	s := &Store{Folder: f, Group: "config", SegmentBytes: 400}
	_, err := s.Open()
	requireNoError(t, err)
	for i := range uint64(30) {
		entry := raft.Entry{Term: 1, Index: i + 1, Data: fmt.Appendf(nil, "entry %d", i)}
		requireNoError(t, s.Save(raft.Ready{HardState: &raft.HardState{Term: 1}, Sync: true, Entries: []raft.Entry{entry}}))
	}
	requireNoError(t, s.Close())
	return f
}

// Guards against damage before the last record that is silently truncated, which would lose acknowledged entries.
func TestCorruptionIsReported(t *testing.T) {
	f := filledFolder(t)
	dir := filepath.Join(f.Path, f.DiskID(), "config")
	numbers, err := listFileNumbers(dir, segmentSuffix)
	requireNoError(t, err)
	if len(numbers) < 3 {
		t.Fatalf("%d segments", len(numbers))
	}
	var c *CorruptError
	for i, number := range numbers {
		path := segmentPath(dir, number)
		data, err := os.ReadFile(path)
		requireNoError(t, err)
		for at := len(segmentMagic); at < len(data); {
			_, n, err := DecodeRecord(data[at:])
			requireNoError(t, err)
			if i == len(numbers)-1 && at+n == len(data) {
				break
			}
			for pos := at; pos < at+n; pos += 3 {
				damaged := slices.Clone(data)
				damaged[pos] ^= 0x11
				requireNoError(t, os.WriteFile(path, damaged, fileMode))
				_, err := (&Store{Folder: f, Group: "config"}).Open()
				if !errors.As(err, &c) || c.File != path || c.Offset != int64(at) {
					t.Fatalf("damage at %d of record %d: %v", pos, at, err)
				}
				left, err := os.ReadFile(path)
				requireNoError(t, err)
				if string(left) != string(damaged) {
					t.Fatal("the damaged segment was changed")
				}
			}
			at += n
		}
		requireNoError(t, os.WriteFile(path, data, fileMode))
	}
	requireNoError(t, os.Remove(segmentPath(dir, numbers[1])))
	if _, err := (&Store{Folder: f, Group: "config"}).Open(); !errors.As(err, &c) {
		t.Fatalf("a missing segment: %v", err)
	}
}

// Guards against temporary files that stay on a full disk, one for each snapshot whose file could not be renamed.
func TestFailedRenameLeavesNoFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "target")
	requireNoError(t, os.MkdirAll(filepath.Join(path, "not-empty"), folderMode))
	if err := WriteFileAtomic(SizedDisk{}, path, []byte("data")); err == nil {
		t.Fatal("a folder was replaced by a file")
	}
	if _, err := os.Stat(path + tempSuffix); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the temporary file is left: %v", err)
	}
}

// Guards against files of an operator, such as a copy of damaged state, that are deleted with the state under earlier disk
// ids.
func TestOnlyEarlierStateIsDeleted(t *testing.T) {
	f := openFolder(t, t.TempDir())
	defer f.Close()
	earlier := uuid.NewString()
	for _, name := range []string{earlier, "first", "copy", f.DiskID()} {
		requireNoError(t, os.MkdirAll(filepath.Join(f.Path, name, "config"), folderMode))
		requireNoError(t, createSegment(SizedDisk{}, filepath.Join(f.Path, name, "config"), 1))
	}
	requireNoError(t, f.DeleteEarlierState("first"))
	for name, want := range map[string]bool{earlier: false, "first": false, "copy": true, f.DiskID(): true} {
		if _, err := os.Stat(filepath.Join(f.Path, name)); (err == nil) != want {
			t.Errorf("%s is there: %t, want %t", name, err == nil, want)
		}
	}
}

// Guards against the loss of the hard state, and so of a vote, when older segments are deleted: a crash can leave the
// newest segment empty, without the record that repeats the hard state.
func TestEmptySegmentKeepsHardState(t *testing.T) {
	f := filledFolder(t)
	s := &Store{Folder: f, Group: "config"}
	_, err := s.Open()
	requireNoError(t, err)
	requireNoError(t, createSegment(SizedDisk{}, s.dir, s.segments[len(s.segments)-1].number+1))
	for range 2 {
		requireNoError(t, s.Close())
		saved, err := s.Open()
		requireNoError(t, err)
		if saved.HardState.Term != 1 {
			t.Fatalf("the hard state is %+v, want term 1", saved.HardState)
		}
		requireNoError(t, s.Save(raft.Ready{Entries: []raft.Entry{{Term: 1, Index: 31}}, Sync: true}))
		requireNoError(t, s.WriteSnapshot(raft.Snapshot{Index: 31, Term: 1}))
		requireNoError(t, s.Trim(raft.Snapshot{Index: 31, Term: 1}))
	}
}

// Guards against a group that restarts as an empty one under the same disk id after its files were lost, and against a
// folder that still reads the old state or keeps the old disk id after RenewDiskID.
func TestLostGroupKeepsNoIdentity(t *testing.T) {
	f := filledFolder(t)
	old := f.DiskID()
	requireNoError(t, os.RemoveAll(filepath.Join(f.Path, old, "config")))
	var c *CorruptError
	if _, err := (&Store{Folder: f, Group: "config"}).Open(); !errors.As(err, &c) {
		t.Fatalf("a missing group: %v", err)
	}
	requireNoError(t, f.RenewDiskID())
	requireNoError(t, f.Close())
	f = openFolder(t, f.Path)
	defer f.Close()
	if f.DiskID() == old {
		t.Fatal("the disk id is the old one")
	}
	for _, group := range []string{"config", "ledger"} {
		s := &Store{Folder: f, Group: group}
		saved, err := s.Open()
		requireNoError(t, err)
		requireNoError(t, s.Close())
		if saved.HardState.Term != 0 || s.MemberID("a").Disk != f.DiskID() {
			t.Fatalf("group %s has the state %+v of %s", group, saved.HardState, s.MemberID("a"))
		}
	}
	requireNoError(t, f.DeleteEarlierState("first"))
	if left, err := filepath.Glob(filepath.Join(f.Path, "*-*")); err != nil || len(left) != 1 {
		t.Fatalf("after the old state was discarded, the folder has %v", left)
	}
	requireNoError(t, os.Remove(filepath.Join(f.Path, identityFile)))
	if err := (&Folder{Path: f.Path}).loadIdentity(); !errors.As(err, &c) {
		t.Fatalf("a missing identity: %v", err)
	}
}

// Guards against two processes that write to the same folder, and against writes after a failed write.
func TestExclusiveAndFailedWrites(t *testing.T) {
	f := filledFolder(t)
	requireError(t, (&Folder{Path: f.Path}).Open(), ErrLocked)
	s := &Store{Folder: f, Group: "config"}
	_, err := s.Open()
	requireNoError(t, err)
	requireNoError(t, s.segmentFile.Close())
	r := raft.Ready{HardState: &raft.HardState{Term: 9}, Sync: true}
	if s.Save(r) == nil {
		t.Fatal("a write to a closed file succeeded")
	}
	requireError(t, s.Save(r), ErrFailed)
}

// Guards against a decoder that panics, reads past the end of the record, or returns a record that changes when it is
// encoded and decoded again.
func FuzzDecodeRecord(f *testing.F) {
	hard := raft.HardState{Term: 3, Vote: raft.ID{Name: "a", Disk: "1"}, Commit: 2}
	members := raft.Members{Voters: []raft.ID{hard.Vote}}
	for _, r := range []Record{
		{},
		{HardState: &hard, Reset: &EntryID{Index: 7, Term: 2}},
		{HardState: &hard, Entries: []raft.Entry{{Term: 3, Index: 1, Data: []byte("x")}, {Term: 3, Index: 2, Members: &members}}},
	} {
		data, err := EncodeRecord(nil, r)
		requireNoError(f, err)
		f.Add(data)
		f.Add(append(data, data...))
		f.Add(data[:len(data)-1])
		f.Add(append(slices.Clone(data[:frameHeaderBytes-2]), 0, 0))
	}
	f.Add(append(slices.Clone(recordMarker), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		// The checksum rejects nearly all mutated inputs, so the data is also decoded as the body of a valid frame.
		frame := append(make([]byte, frameHeaderBytes), data...)
		fillFrameHeader(frame)
		for _, input := range [][]byte{data, frame} {
			r, n, err := DecodeRecord(input)
			if err != nil {
				continue
			}
			if n < frameHeaderBytes || n > len(input) {
				t.Fatalf("length %d of %d bytes", n, len(input))
			}
			again, err := EncodeRecord(nil, r)
			requireNoError(t, err)
			r2, n2, err := DecodeRecord(again)
			requireNoError(t, err)
			twice, err := EncodeRecord(nil, r2)
			requireNoError(t, err)
			if n2 != len(again) || string(twice) != string(again) {
				t.Fatalf("%+v became %+v", r, r2)
			}
		}
	})
}

// sizedDisk is a file system on which the files of a folder have at most limit bytes.
type sizedDisk struct {
	Disk
	folder string
	limit  int64
}

func (d *sizedDisk) Write(f *os.File, data []byte) (int, error) {
	if free := max(0, d.limit-UsedBytes(d.folder)); int64(len(data)) > free {
		n, err := f.Write(data[:free])
		return n, errors.Join(err, syscall.ENOSPC)
	}
	return f.Write(data)
}

// Guards against a store that can't be opened again after the disk was full between the file of a snapshot from the
// leader and its reset record: the log that the snapshot replaces takes the room of that record. The hard state must
// stay, also if the newest segment is empty.
func TestInterruptedInstallOnFullDisk(t *testing.T) {
	for _, emptySegment := range []bool{false, true} {
		f := filledFolder(t)
		s := &Store{Folder: f, Group: "config", SegmentBytes: 400}
		_, err := s.Open()
		requireNoError(t, err)
		snapshot := raft.Snapshot{Index: 100, Term: 2, Data: []byte("installed")}
		requireNoError(t, writeSnapshot(SizedDisk{}, s.dir, snapshot))
		if emptySegment {
			requireNoError(t, createSegment(SizedDisk{}, s.dir, s.segments[len(s.segments)-1].number+1))
		}
		requireNoError(t, s.Close())
		full := &sizedDisk{Disk: SizedDisk{}, folder: f.Path}
		limit := UsedBytes(f.Path)
		f.Disk = full
		_, err = s.Open()
		requireError(t, err, syscall.ENOSPC)
		requireNoError(t, s.Close())
		full.limit = limit
		for range 2 {
			saved, err := s.Open()
			requireNoError(t, err)
			requireNoError(t, s.Close())
			if saved.HardState.Term != 1 || saved.Snapshot.Index != snapshot.Index || len(saved.Entries) > 0 {
				t.Fatalf("the state is %+v, want term 1 and the snapshot", saved)
			}
		}
	}
}
