package keeper

import (
	"bytes"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"wasabiweir/core/clock"
	"wasabiweir/core/poison"
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
