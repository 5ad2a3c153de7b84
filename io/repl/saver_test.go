package repl

import (
	"context"
	"io/fs"
	"path/filepath"
	"testing"
	"time"

	"wasabiweir/core/raft"
	"wasabiweir/io/store"
)

// slowEncoder is a state machine that copies its state at once and encodes it only when the test releases it.
type slowEncoder struct{ encoding, release chan struct{} }

func (s *slowEncoder) Apply(uint64, []byte) any  { return nil }
func (s *slowEncoder) Restore([]byte) error      { return nil }
func (s *slowEncoder) Snapshot() ([]byte, error) { return s.Encode() }
func (s *slowEncoder) CopyState() StateCopy      { return s }

// Encode reports that it was called and waits until the test closes release.
func (s *slowEncoder) Encode() ([]byte, error) {
	close(s.encoding)
	<-s.release
	return []byte("state"), nil
}

// Guards against a loop that blocks while a large state is encoded, so that the leader sends no heartbeats and loses
// its leadership.
func TestLoopRunsWhileStateIsEncoded(t *testing.T) {
	folder := &store.Folder{Path: t.TempDir()}
	if err := folder.Open(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = folder.Close() }()
	m := &slowEncoder{encoding: make(chan struct{}), release: make(chan struct{})}
	r := &Replica{Name: "a", Machine: m, Transport: noTransport{}, Interval: 5 * time.Millisecond, SnapshotEvery: 4}
	r.Store = &store.Store{Folder: folder, Group: "config"}
	r.Bootstrap = raft.Members{Voters: []raft.ID{{Name: "a", Disk: folder.DiskID()}}}
	run := &replicaRun{replica: r, done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	go run.run(ctx)
	defer run.stop(cancel)
	defer close(m.release)
	timeoutCtx, cancelTimeout := context.WithTimeout(ctx, 10*time.Second)
	defer cancelTimeout()
	for range 4 {
		if _, _, err := r.Propose(timeoutCtx, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	<-m.encoding
	if _, _, err := r.Propose(timeoutCtx, []byte("y")); err != nil {
		t.Errorf("proposal while the state is encoded: %v", err)
	}
}

// lastValue is a state machine whose state is the data of the last proposal.
type lastValue struct{ data []byte }

func (l *lastValue) Apply(_ uint64, data []byte) any { l.data = data; return nil }
func (l *lastValue) Restore(data []byte) error       { l.data = data; return nil }
func (l *lastValue) Snapshot() ([]byte, error)       { return l.data, nil }

// Guards against a log that is bounded only in entries: with large ones it fills the disk and the memory before the
// first snapshot is due. The sizes are mixed, so that a large entry follows many small ones.
func TestLogIsBoundedInBytes(t *testing.T) {
	const logBytes, large, count = 1 << 20, 100 << 10, 120
	folder := &store.Folder{Path: t.TempDir()}
	if err := folder.Open(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = folder.Close() }()
	r := &Replica{Name: "a", Machine: &lastValue{}, Transport: noTransport{}, Interval: 5 * time.Millisecond, LogBytes: logBytes}
	r.Store = &store.Store{Folder: folder, Group: "config"}
	r.Bootstrap = raft.Members{Voters: []raft.ID{{Name: "a", Disk: folder.DiskID()}}}
	run := &replicaRun{replica: r, done: make(chan error, 1)}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	go run.run(ctx)
	peak := int64(0)
	for i := range count {
		size := large
		if i%3 > 0 {
			size = 10
		}
		if _, _, err := r.Propose(ctx, make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		peak = max(peak, folderBytes(t, folder.Path))
	}
	run.stop(cancel)
	if peak > logBytes {
		t.Errorf("the data folder had %d bytes, want at most %d", peak, logBytes)
	}
}

// folderBytes returns the size of all files below the path.
func folderBytes(t *testing.T, path string) (size int64) {
	t.Helper()
	// Files may be renamed or removed during the walk.
	_ = filepath.WalkDir(path, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		if info, err := d.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size
}

// noTransport is the transport of a group with a single member.
type noTransport struct{}

// Send drops all messages.
func (noTransport) Send([]raft.Message) {}

// replicaRun runs a replica in a goroutine.
type replicaRun struct {
	replica *Replica
	done    chan error
}

func (r *replicaRun) run(ctx context.Context) { r.done <- r.replica.Run(ctx) }

func (r *replicaRun) stop(cancel func()) {
	cancel()
	<-r.done
}
