package store

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"syscall"
)

// CapacityOf returns the size in bytes of the file system that holds the path, or that would hold it.
func CapacityOf(path string) (int64, error) {
	s, err := statFS(path)
	if err != nil {
		return 0, err
	}
	return int64(s.Blocks) * s.Bsize, nil
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
