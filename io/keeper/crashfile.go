package keeper

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"wasabiweir/core/codec"
	"wasabiweir/core/poison"
	"wasabiweir/io/serve"
	"wasabiweir/io/store"
)

const (
	// crashFileName is the name of the file in the data folder that keeps the crashes of engines.
	crashFileName = "crashes.cbor"
	// crashSaveInterval is the time between two checks whether the file must be written.
	crashSaveInterval = 300 * time.Millisecond
	// maxCrashFileBytes bounds the size of a file that is read.
	maxCrashFileBytes = 1 << 20
)

// errCrashFileSize is logged for a file that is larger than any that a keeper writes.
var errCrashFileSize = eris.New("the file of crashes is too large")

// crashFile keeps the crashes of engines on disk, so that they outlive the loss of all processes: otherwise the prompts
// that crash engines would have to be found once more. It is a copy of what the processes have in memory; a keeper
// that cannot read it starts without.
type crashFile struct {
	keeper *Keeper
	// saved is the number of changes of the known crashes that the file includes.
	saved uint64
}

// savedCrashes is the content of the file.
type savedCrashes struct {
	// SavedMS is the time of writing in Unix milliseconds.
	SavedMS int64          `cbor:"1,keyasint"`
	Crashes []poison.Crash `cbor:"2,keyasint"`
}

// path returns the path of the file.
func (f *crashFile) path() string { return filepath.Join(f.keeper.DataDir, crashFileName) }

// load adds the crashes in the file to those that are known.
func (f *crashFile) load() {
	data, err := os.ReadFile(f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var content savedCrashes
	switch {
	case err != nil:
	case len(data) > maxCrashFileBytes:
		err = errCrashFileSize
	default:
		err = codec.Decode(data, &content)
	}
	if err != nil {
		f.keeper.Log.Warn("crashes-not-read", zap.Error(err))
		return
	}
	// The time of day may have jumped; then the crashes count as recent ones.
	since := max(0, f.keeper.Clock.Now().Sub(time.UnixMilli(content.SavedMS)))
	if since > poison.CrashLifetime {
		since = 0
	}
	for i := range content.Crashes {
		content.Crashes[i].Age += since
	}
	f.keeper.crashes.merge(content.Crashes)
	f.keeper.Log.Info("crashes-read", zap.Int("crashes", len(content.Crashes)), zap.Duration("saved-ago", since))
}

// loop writes the file after changes until ctx ends.
func (f *crashFile) loop(ctx context.Context) error {
	failing := false
	for serve.Sleep(ctx, crashSaveInterval) {
		err := f.save()
		if err != nil && !failing {
			f.keeper.Log.Warn("crashes-not-saved", zap.Error(err))
		}
		failing = err != nil
	}
	return ctx.Err()
}

// save writes the file if the known crashes have changed.
func (f *crashFile) save() error {
	if f.keeper.crashes.changeCount() == f.saved {
		return nil
	}
	list, changes := f.keeper.crashes.all()
	data, err := codec.Encode(savedCrashes{SavedMS: f.keeper.Clock.Now().UnixMilli(), Crashes: list})
	if err != nil {
		return err
	}
	if err := store.WriteFileAtomic(f.keeper.disk(), f.path(), data); err != nil {
		return err
	}
	f.saved = changes
	return nil
}
