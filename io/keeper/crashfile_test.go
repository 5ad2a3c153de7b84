package keeper

import (
	"bytes"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wasabiweir/core/clock"
	"wasabiweir/core/poison"
	"wasabiweir/io/store"
	"wasabiweir/io/wire"
)

// newCrashKeeper returns a keeper with the data folder that is not running, and its log.
func newCrashKeeper(dir string, c clock.Clock) (*Keeper, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.InfoLevel)
	k := &Keeper{DataDir: dir, Clock: c, Log: zap.New(core)}
	k.crashes = newExchange[poison.Crash](k, wire.KindCrashes, &poison.Table{}, crashResendInterval)
	k.crashFile.keeper = k
	return k, logs
}

// Crashes outlive a restart with the age that they have then, also if the time of day was set back or far ahead.
func TestCrashesOutliveRestart(t *testing.T) {
	for _, x := range []struct {
		name  string
		after time.Duration
		age   time.Duration
	}{
		{"soon", 5 * time.Second, 6 * time.Second},
		{"set back", -time.Hour, time.Second},
		{"far ahead", time.Hour, time.Second},
	} {
		dir, now := t.TempDir(), &clock.Manual{}
		now.Set(time.Unix(10000, 0))
		k, _ := newCrashKeeper(dir, now)
		k.crashes.merge([]poison.Crash{poison.NewCrash("r", "e", "a", []string{"first", "own"})})
		now.Advance(time.Second)
		if err := k.crashFile.save(); err != nil {
			t.Fatal(err)
		}
		later := &clock.Manual{}
		later.Set(now.Now().Add(x.after))
		k, _ = newCrashKeeper(dir, later)
		k.crashFile.load()
		list, _ := k.crashes.all()
		if len(list) != 1 || list[0].Age != x.age || list[0].Domain != "a" {
			t.Errorf("%s: the keeper knows %+v, want one crash of age %s", x.name, list, x.age)
		}
	}
}

// A file that is damaged or too large is logged, and the keeper starts without it.
func TestUnreadableCrashFile(t *testing.T) {
	for name, data := range map[string][]byte{"damaged": []byte("not a file of crashes"), "too large": bytes.Repeat([]byte{0xa0}, maxCrashFileBytes+1)} {
		k, logs := newCrashKeeper(t.TempDir(), &clock.Manual{})
		if err := os.WriteFile(k.crashFile.path(), data, 0o600); err != nil {
			t.Fatal(err)
		}
		k.crashFile.load()
		if list, _ := k.crashes.all(); len(list) > 0 || logs.FilterMessage("crashes-not-read").Len() != 1 {
			t.Errorf("%s: the keeper knows %d crashes, and has logged %v", name, len(list), logs.All())
		}
	}
}

// fullDisk is a disk on which no write succeeds.
type fullDisk struct{ store.SizedDisk }

// Write appends half of the data.
func (d fullDisk) Write(f *os.File, data []byte) (int, error) {
	n, err := d.SizedDisk.Write(f, data[:len(data)/2])
	return n, errors.Join(err, syscall.ENOSPC)
}

// Guards against a keeper that loses the crashes on its disk when that is full, or does not save the later ones once it has room.
func TestCrashFileOnFullDisk(t *testing.T) {
	dir, now := t.TempDir(), &clock.Manual{}
	now.Set(time.Unix(10000, 0))
	k, _ := newCrashKeeper(dir, now)
	crash := func(part string) []poison.Crash {
		return []poison.Crash{poison.NewCrash("r-"+part, "e", "a", []string{"first", part})}
	}
	saved := func() int {
		later, _ := newCrashKeeper(dir, now)
		later.crashFile.load()
		list, _ := later.crashes.all()
		return len(list)
	}
	k.crashes.merge(crash("own"))
	if err := k.crashFile.save(); err != nil {
		t.Fatal(err)
	}
	k.crashes.merge(crash("other"))
	k.Disk = fullDisk{}
	if err := k.crashFile.save(); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("save on a full disk: %v", err)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 || saved() != 1 {
		t.Errorf("the full disk holds %v with %d crashes, %v; want one file with the earlier crash", files, saved(), err)
	}
	k.Disk = nil
	if err := k.crashFile.save(); err != nil || saved() != 2 {
		t.Errorf("%d crashes are saved once the disk has room, %v; want 2", saved(), err)
	}
}
