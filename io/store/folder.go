package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"syscall"

	"github.com/google/uuid"
)

// Names and modes of the files in a data folder.
const (
	identityFile = "identity.json"
	lockFile     = "lock"
	folderMode   = 0o750
	fileMode     = 0o640
)

// groupPattern matches the valid names of Raft groups, which are also the names of their folders.
var groupPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Folder is a data folder on disk, which holds the state of all Raft groups of a process. Its disk id identifies that
// state: a member whose state was lost gets a new one, so that it isn't taken for the earlier member. The exported
// fields must be set before Open.
type Folder struct {
	// Path is the path of the data folder, which Open creates if it does not exist.
	Path string
	// InitialDiskID is the disk id that a new data folder gets; a random UUID if it is empty.
	InitialDiskID string
	// Disk writes the files; nil means that of the operating system without a limit.
	Disk Disk

	mu       sync.Mutex
	identity folderIdentity
	lock     *os.File
}

// folderIdentity is the content of the data folder's identity file. It lists the Raft groups, so that a group whose
// files were lost is not mistaken for a new one.
type folderIdentity struct {
	DiskID string   `json:"disk-id"`
	Groups []string `json:"groups"`
}

// disk returns the file system on which the files are written.
func (f *Folder) disk() Disk {
	if f.Disk == nil {
		return SizedDisk{}
	}
	return f.Disk
}

// Open locks the data folder and reads its disk id; it assigns one if the folder is new. It returns ErrLocked if
// another process has the folder open, and a CorruptError if the identity file is damaged, or missing although there is
// stored state.
func (f *Folder) Open() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := os.MkdirAll(f.Path, folderMode); err != nil {
		return fmt.Errorf("create the data folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(f.Path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("open the lock file: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.Join(fmt.Errorf("lock %s: %w", f.Path, ErrLocked), lock.Close())
	}
	if err := f.loadIdentity(); err != nil {
		return errors.Join(fmt.Errorf("read the identity: %w", err), lock.Close())
	}
	f.lock = lock
	return nil
}

// Close releases the lock of the data folder; it may be called twice.
func (f *Folder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lock == nil {
		return nil
	}
	err := f.lock.Close()
	f.lock = nil
	if err != nil {
		return fmt.Errorf("close the lock file: %w", err)
	}
	return nil
}

// DiskID returns the disk id of the data folder, which identifies its stored state; it is empty before Open.
func (f *Folder) DiskID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.identity.DiskID
}

// RenewDiskID assigns a new disk id to the data folder after a CorruptError; no Raft group has state under it yet. The
// old state stays on disk under the old id and is never read again. All stores of the folder must be closed before.
func (f *Folder) RenewDiskID() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.saveIdentity(folderIdentity{DiskID: uuid.NewString()})
}

// DeleteEarlierState deletes the Raft groups' state under earlier disk ids, which RenewDiskID keeps for inspection: under
// those that are UUIDs and under those that are named. It has no effect while the current disk id is unknown.
func (f *Folder) DeleteEarlierState(named ...string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.identity.DiskID == "" {
		return nil
	}
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return fmt.Errorf("list the data folder: %w", err)
	}
	for _, e := range entries {
		isDiskID := uuid.Validate(e.Name()) == nil || slices.Contains(named, e.Name())
		if isDiskID && e.Name() != f.identity.DiskID {
			err = errors.Join(err, os.RemoveAll(filepath.Join(f.Path, e.Name())))
		}
	}
	if err != nil {
		return fmt.Errorf("delete the state under an earlier disk id: %w", err)
	}
	return nil
}

// loadIdentity reads the identity file, which holds the disk id, or creates it in a new data folder.
func (f *Folder) loadIdentity() error {
	path := filepath.Join(f.Path, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return f.createIdentity()
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", identityFile, err)
	}
	if err := json.Unmarshal(data, &f.identity); err != nil || f.identity.DiskID == "" {
		return &CorruptError{File: path, Reason: "the identity file has no disk id"}
	}
	return nil
}

// createIdentity writes the identity file of a new data folder. It returns a CorruptError if the folder already
// contains folders.
func (f *Folder) createIdentity() error {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return fmt.Errorf("list the data folder: %w", err)
	}
	for _, e := range entries {
		if e.IsDir() {
			return &CorruptError{File: filepath.Join(f.Path, identityFile), Reason: "the identity file is missing although there is stored state"}
		}
	}
	id := f.InitialDiskID
	if id == "" {
		id = uuid.NewString()
	}
	return f.saveIdentity(folderIdentity{DiskID: id})
}

// saveIdentity replaces the data folder's identity file and then the identity in memory.
func (f *Folder) saveIdentity(id folderIdentity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return fmt.Errorf("encode the identity: %w", err)
	}
	if err := WriteFileAtomic(f.disk(), filepath.Join(f.Path, identityFile), data); err != nil {
		return fmt.Errorf("write the identity: %w", err)
	}
	f.identity = id
	return nil
}

// openGroupDir returns the path of a Raft group's folder, which it creates if the group is new. The group is added to
// the identity file only after its folder and first segment are synced.
func (f *Folder) openGroupDir(name string) (string, error) {
	if !groupPattern.MatchString(name) {
		return "", fmt.Errorf("group %q: %w", name, ErrInvalidGroup)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	path := filepath.Join(f.Path, f.identity.DiskID, name)
	if slices.Contains(f.identity.Groups, name) {
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
			return "", &CorruptError{File: path, Reason: "the folder of the group is missing"}
		}
		return path, nil
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return "", fmt.Errorf("create the folder of group %s: %w", name, err)
	}
	if err := createSegment(f.disk(), path, 1); err != nil {
		return "", err
	}
	for _, dir := range []string{filepath.Dir(path), f.Path} {
		if err := f.disk().SyncFolder(dir); err != nil {
			return "", fmt.Errorf("create the folder of group %s: %w", name, err)
		}
	}
	id := folderIdentity{DiskID: f.identity.DiskID, Groups: append(slices.Clone(f.identity.Groups), name)}
	return path, f.saveIdentity(id)
}

// WriteFileAtomic replaces a file on the disk and syncs it. It returns an error if the disk fails; after a crash, the file has
// either its old or its new contents.
func WriteFileAtomic(disk Disk, path string, data []byte) error {
	tmp := path + tempSuffix
	file, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create a temporary file: %w", err)
	}
	_, err = disk.Write(file, data)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		// On a full disk, others need the room of the incomplete file.
		return errors.Join(fmt.Errorf("write a temporary file: %w", err), os.Remove(tmp))
	}
	if err := os.Rename(tmp, path); err != nil {
		return errors.Join(fmt.Errorf("rename a temporary file: %w", err), os.Remove(tmp))
	}
	return disk.SyncFolder(filepath.Dir(path))
}
