package store

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"syscall"
)

// Disk is the file system on which a data folder's files are written; tests replace it by one that can be full.
type Disk interface {
	// Write appends the data to the file. If there is no room for all of it, it returns an error that wraps
	// syscall.ENOSPC, after any part of the data.
	Write(f *os.File, data []byte) (int, error)
	// FreeBytes returns how many bytes can still be written to files in the folder, or math.MaxInt64 if that is unknown.
	FreeBytes(folder string) int64
	// SyncFolder makes the creations, renames and removals of files in the folder durable. After a loss of power without it,
	// each of them may be kept or lost by itself.
	SyncFolder(folder string) error
}

// SizedDisk is the file system of the operating system. The platform may limit the files of a process to fewer bytes than
// the file system has, and then counts only theirs.
type SizedDisk struct {
	// Bytes is the limit of the process's files in bytes; zero means no limit but that of the file system.
	Bytes int64
}

// Write appends the data to the file.
func (SizedDisk) Write(f *os.File, data []byte) (int, error) { return f.Write(data) }

// FreeBytes returns the smaller one of the room below the limit and in the file system.
func (d SizedDisk) FreeBytes(folder string) int64 {
	free := int64(math.MaxInt64)
	if s, err := statFS(folder); err == nil && s.Blocks > 0 {
		free = int64(s.Bavail) * blockBytes(&s)
	}
	if d.Bytes > 0 {
		free = min(free, d.Bytes-UsedBytes(folder))
	}
	return free
}

// SyncFolder syncs the folder.
func (SizedDisk) SyncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open a folder to sync it: %w", err)
	}
	if err := errors.Join(dir.Sync(), dir.Close()); err != nil {
		return fmt.Errorf("sync a folder: %w", err)
	}
	return nil
}

// UsedBytes returns the size of all files below the path. Files that are removed meanwhile may count.
func UsedBytes(path string) (size int64) {
	_ = filepath.WalkDir(path, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return nil
		}
		if info, err := e.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size
}

// CapacityOf returns the size in bytes of the file system that holds the path, or that would hold it.
func CapacityOf(path string) (int64, error) {
	s, err := statFS(path)
	if err != nil {
		return 0, err
	}
	return int64(s.Blocks) * blockBytes(&s), nil
}

// blockBytes returns the size in bytes of the blocks that a file system counts, which is not always that of its transfers.
func blockBytes(s *syscall.Statfs_t) int64 {
	if s.Frsize > 0 {
		return s.Frsize
	}
	return s.Bsize
}

// statFS returns the sizes of the file system of the path or, while that doesn't exist, of the nearest folder above it.
func statFS(path string) (syscall.Statfs_t, error) {
	var s syscall.Statfs_t
	for {
		err := syscall.Statfs(path, &s)
		if err == nil {
			return s, nil
		}
		parent := filepath.Dir(path)
		if !errors.Is(err, fs.ErrNotExist) || parent == path {
			return s, fmt.Errorf("read the size of the file system of %s: %w", path, err)
		}
		path = parent
	}
}
