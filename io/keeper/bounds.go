package keeper

import (
	"math"

	"go.uber.org/zap"

	"wasabiweir/io/repl"
	"wasabiweir/io/store"
)

const (
	// logPartOfMemory and logPartOfDisk are the parts of the process's memory and disk that bound the log. The messages
	// to four other keepers, the garbage collector's reserve and the state itself are each of the log's order of size;
	// two snapshots and the log since the older one must fit on the disk.
	logPartOfMemory = 8
	logPartOfDisk   = 4
	// minLogBytes is the least bound of the log, with which several configurations of usual size fit.
	minLogBytes = 1 << 20
)

// disk returns the file system on which the files in the data folder are written.
func (k *Keeper) disk() store.Disk {
	if k.Disk == nil {
		return store.SizedDisk{Bytes: k.DiskBytes}
	}
	return k.Disk
}

// logBytes returns the bound of the log in bytes, which follows from the memory and the disk that the process has.
func (k *Keeper) logBytes() int {
	disk := k.DiskBytes
	if disk == 0 {
		var err error
		if disk, err = store.CapacityOf(k.DataDir); err != nil {
			k.Log.Warn("disk-size-unknown", zap.Error(err))
		}
	}
	n := int64(repl.DefaultLogBytes)
	if disk > 0 {
		n = min(n, disk/logPartOfDisk)
	}
	if k.Resources.MemoryBytes > 0 {
		n = min(n, k.Resources.MemoryBytes/logPartOfMemory)
	}
	return int(min(max(n, minLogBytes), math.MaxInt32))
}
