package keeper

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/codec"
	"wasabiweir/core/origin"
	"wasabiweir/io/serve"
)

const (
	// originFileName is the name of the file in the data folder to which origins of streams are appended; formerSuffix is added to the
	// name of the one before it.
	originFileName = "origins.log"
	formerSuffix   = ".former"
	// originSaveInterval is the least time between two writes, and originSyncInterval between two syncs. What is not written yet is lost
	// with all processes, and what is not synced with the power of all machines.
	originSaveInterval = 50 * time.Millisecond
	originSyncInterval = 200 * time.Millisecond
	// versionSaveInterval is the time between two writes of the listed versions while there are no new origins.
	versionSaveInterval = 10 * time.Second
	// maxOriginFileBytes bounds each of the two files; a record has about 40 bytes.
	maxOriginFileBytes = 512 << 10
	// blockHeaderBytes is the length of a block's header: the length of the body and its CRC-32C.
	blockHeaderBytes = 8
	// originFileMode is the access mode of the files.
	originFileMode = 0o600
)

// errOriginFileSize is logged for a file that is larger than any that a keeper writes.
var errOriginFileSize = eris.New("the file of origins is too large")

// crcTable is the table of the checksum of blocks.
var crcTable = crc32.MakeTable(crc32.Castagnoli)

// originFile keeps the origins of streams and the versions that were listed on disk, so that they outlive the loss of power of all
// machines. Origins come all the time, so they are appended in blocks, several of which are synced together, and a new file is begun when the records
// of the one before have lapsed. It is a copy of what the processes have in memory; a keeper that cannot read or write it goes on without.
type originFile struct {
	keeper *Keeper
	// file is the current file; nil before the first write.
	file *os.File
	size int64
	// openedAt is when the current file was begun, savedAt when the last block was written, and syncedAt when the file was synced last.
	openedAt time.Time
	savedAt  time.Time
	syncedAt time.Time
	// unsynced is true if blocks were written since then.
	unsynced bool
}

// savedOrigins is the content of a block.
type savedOrigins struct {
	// SavedMS is the time of writing in Unix milliseconds.
	SavedMS  int64             `cbor:"1,keyasint"`
	Records  []origin.Record   `cbor:"2,keyasint,omitempty"`
	Versions []origin.Sighting `cbor:"3,keyasint,omitempty"`
}

// path returns the path of the current file.
func (f *originFile) path() string { return filepath.Join(f.keeper.DataDir, originFileName) }

// load adds what the files hold to what is known.
func (f *originFile) load() {
	var blocks []savedOrigins
	for _, path := range []string{f.path() + formerSuffix, f.path()} {
		data, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil && len(data) > maxOriginFileBytes {
			err = errOriginFileSize
		}
		if err != nil {
			f.keeper.Log.Warn("origins-not-read", zap.String("path", path), zap.Error(err))
			continue
		}
		list, rest := readBlocks(data)
		blocks = append(blocks, list...)
		f.keeper.Log.Info("origins-read", zap.String("path", path), zap.Int("blocks", len(list)), zap.Int("unreadable-bytes", rest))
	}
	f.restore(blocks)
}

// readBlocks returns the blocks up to the first that is incomplete or damaged, and the number of bytes after them.
func readBlocks(data []byte) (list []savedOrigins, rest int) {
	for len(data) >= blockHeaderBytes {
		n := int64(binary.BigEndian.Uint32(data))
		if int64(len(data)) < blockHeaderBytes+n {
			break
		}
		body := data[blockHeaderBytes : blockHeaderBytes+n]
		var content savedOrigins
		if crc32.Checksum(body, crcTable) != binary.BigEndian.Uint32(data[4:]) || codec.Decode(body, &content) != nil {
			break
		}
		list = append(list, content)
		data = data[blockHeaderBytes+n:]
	}
	return list, len(data)
}

// restore adds the blocks to what is known, with the ages that they have by now.
func (f *originFile) restore(blocks []savedOrigins) {
	if len(blocks) > 0 || f.keeper.Bootstrap {
		// The versions are written while the keeper runs, and on the first start of the whole system there was nothing before.
		f.keeper.origins.markComplete()
	}
	if len(blocks) == 0 {
		return
	}
	newest := blocks[len(blocks)-1].SavedMS
	since := f.keeper.Clock.Now().Sub(time.UnixMilli(newest))
	if since < 0 || since > origin.Lifetime {
		// The time of day may have jumped; then the newest block counts as a recent one.
		since = 0
	}
	for _, b := range blocks {
		age := since + time.Duration(max(0, newest-b.SavedMS))*time.Millisecond
		for i := range b.Records {
			b.Records[i].Age += age
		}
		for i := range b.Versions {
			b.Versions[i].Age += age
		}
		f.keeper.origins.restore(b.Records, b.Versions)
	}
	// The next file replaces the former one, so it must hold what is in both.
	f.keeper.origins.markUnsaved()
}

// loop writes what is new until ctx ends.
func (f *originFile) loop(ctx context.Context) error {
	failing := false
	for serve.Sleep(ctx, originSaveInterval) {
		err := errors.Join(f.save(), f.sync())
		if err != nil && !failing {
			f.keeper.Log.Warn("origins-not-saved", zap.Error(err))
		}
		failing = err != nil
	}
	_ = f.save()
	f.close()
	return ctx.Err()
}

// save appends the records that are not on disk yet, and the versions, in one block.
func (f *originFile) save() error {
	now := f.keeper.Clock.Now()
	records, versions := f.keeper.origins.takeUnsaved()
	if len(records) == 0 && (len(versions) == 0 || now.Sub(f.savedAt) < versionSaveInterval) {
		return nil
	}
	body, err := codec.Encode(savedOrigins{SavedMS: now.UnixMilli(), Records: records, Versions: versions})
	if err != nil {
		return err
	}
	block := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	block = binary.BigEndian.AppendUint32(block, crc32.Checksum(body, crcTable))
	f.savedAt = now
	err = f.append(append(block, body...), now)
	if err != nil {
		f.keeper.origins.markUnsaved()
	}
	return err
}

// append writes a block to the current file or to a new one.
func (f *originFile) append(block []byte, now time.Time) error {
	if len(block) > maxOriginFileBytes {
		return errOriginFileSize
	}
	if f.file == nil || now.Sub(f.openedAt) >= origin.Lifetime || f.size+int64(len(block)) > maxOriginFileBytes {
		if err := f.rotate(now); err != nil {
			return err
		}
	}
	if _, err := f.keeper.disk().Write(f.file, block); err != nil {
		// Later blocks are only read if no incomplete one is before them.
		return errors.Join(fmt.Errorf("write origins: %w", err), f.file.Truncate(f.size))
	}
	f.size += int64(len(block))
	f.unsynced = true
	return nil
}

// sync makes the blocks durable that were written, at most each originSyncInterval.
func (f *originFile) sync() error {
	now := f.keeper.Clock.Now()
	if f.file == nil || !f.unsynced || now.Sub(f.syncedAt) < originSyncInterval {
		return nil
	}
	f.unsynced, f.syncedAt = false, now
	if err := f.file.Sync(); err != nil {
		return fmt.Errorf("sync origins: %w", err)
	}
	return nil
}

// rotate begins a new file, and keeps the current one as the former one.
func (f *originFile) rotate(now time.Time) error {
	f.close()
	if err := os.Rename(f.path(), f.path()+formerSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("keep the file of origins: %w", err)
	}
	file, err := os.OpenFile(f.path(), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, originFileMode)
	if err != nil {
		return fmt.Errorf("begin a file of origins: %w", err)
	}
	f.file, f.size, f.openedAt = file, 0, now
	return f.keeper.disk().SyncFolder(f.keeper.DataDir)
}

// close closes the current file.
func (f *originFile) close() {
	if f.file != nil {
		_ = f.file.Sync()
		_ = f.file.Close()
		f.file = nil
	}
}
