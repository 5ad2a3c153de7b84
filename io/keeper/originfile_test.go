package keeper

import (
	"errors"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/origin"
	"wasabiweir/io/wire"
)

// newOriginKeeper returns a keeper with the data folder that is not running and has read its file of origins.
func newOriginKeeper(dir string, c clock.Clock) *Keeper {
	k := &Keeper{DataDir: dir, Clock: c, Log: zap.NewNop()}
	k.origins.initOrigins(k)
	k.originFile.keeper = k
	k.originFile.load()
	return k
}

// record makes n origins known to the keeper, the first with the number from.
func (k *Keeper) record(from, n int) {
	for i := from; i < from+n; i++ {
		r := origin.Record{Attempt: origin.NewAttempt("", strconv.Itoa(i)), Origin: origin.Origin{Service: "m", Version: "v1"}}
		k.origins.merge(wire.Origins{Records: []origin.Record{r}, Versions: []origin.Sighting{{Origin: r.Origin}}, PassedOn: true})
	}
}

// countKnown returns how many of the n origins from the number on the keeper knows.
func (k *Keeper) countKnown(from, n int) (known int) {
	for i := from; i < from+n; i++ {
		if reply, _ := k.origins.lookUp(origin.NewAttempt("", strconv.Itoa(i))); reply.Known {
			known++
		}
	}
	return known
}

// Guards against origins that are lost with the power of all machines, also when the last write was cut off, when the disk was full for
// a time, when it is lost twice, or when the time of day has jumped.
func TestOriginsOutliveLossOfPower(t *testing.T) {
	dir, now := t.TempDir(), &clock.Manual{}
	now.Set(time.Unix(10000, 0))
	k := newOriginKeeper(dir, now)
	for i := range 30 {
		k.record(i, 1)
		if err := k.originFile.save(); err != nil {
			t.Fatal(err)
		}
		now.Advance(5 * time.Second)
	}
	k.Disk = fullDisk{}
	k.record(30, 1)
	if err := k.originFile.save(); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("save on a full disk: %v", err)
	}
	k.Disk = nil
	if err := k.originFile.save(); err != nil {
		t.Error(err)
	}
	// The last 24 records are younger than the lifetime.
	f, err := os.OpenFile(k.originFile.path(), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = f.WriteString("\x00\x00\x10\x00cut")
	_ = f.Close()
	for _, after := range []time.Duration{-time.Millisecond, -time.Hour, time.Hour} {
		later := &clock.Manual{}
		later.Set(now.Now().Add(after))
		x := newOriginKeeper(dir, later)
		reply, _ := x.origins.lookUp(origin.Attempt{})
		if n := x.countKnown(7, 24); n != 24 || len(reply.Versions) != 1 {
			t.Errorf("after %s: %d of 24 origins are known, versions %v", after, n, reply.Versions)
		}
		// Power is lost again just after the keeper has begun a new file.
		if err := x.originFile.save(); err != nil {
			t.Error(err)
		}
	}
	now.Advance(time.Hour + origin.Lifetime)
	x := newOriginKeeper(dir, now)
	if reply, _ := x.origins.lookUp(origin.Attempt{}); x.countKnown(0, 30) != 0 || len(reply.Versions) != 0 {
		t.Error("origins or versions outlive their lifetime on disk")
	}
}

// Guards against files that grow without bound, and against a flood of origins that is written piece by piece.
func TestOriginFilesAreBounded(t *testing.T) {
	dir, now := t.TempDir(), &clock.Manual{}
	now.Set(time.Unix(10000, 0))
	k := newOriginKeeper(dir, now)
	for i := range 15 {
		k.record(i*maxUnsaved, maxUnsaved+100)
		if err := k.originFile.save(); err != nil {
			t.Fatal(err)
		}
		now.Advance(time.Millisecond)
	}
	for _, path := range []string{k.originFile.path(), k.originFile.path() + formerSuffix} {
		if info, err := os.Stat(path); err != nil || info.Size() > maxOriginFileBytes || info.Size() < maxOriginFileBytes/4 {
			t.Errorf("%s: %v, %v", path, info, err)
		}
	}
	if n := newOriginKeeper(dir, now).countKnown(14*maxUnsaved, maxUnsaved); n != maxUnsaved {
		t.Errorf("%d of the %d last origins are known", n, maxUnsaved)
	}
}
