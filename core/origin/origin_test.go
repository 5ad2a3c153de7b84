package origin

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabiweir/core/place"
)

var start = time.Unix(1000, 0)

// Guards against a stream that goes on at a version which did not begin it because records were merged in another order, came
// twice or were lost: each table must name a version that was recorded for the attempt, and never change it.
func TestMergedOriginsNameNoOtherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]Table, 3)
		recorded := map[Attempt]map[Origin]bool{}
		named := make([]map[Attempt]Origin, len(tables))
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			to := rapid.IntRange(0, len(tables)-1).Draw(t, "to")
			if from := rapid.IntRange(0, 2*len(tables)).Draw(t, "from"); from < len(tables) {
				list := tables[from].All(now)
				kept := rapid.Permutation(list).Draw(t, "order")
				tables[to].Add(kept[:rapid.IntRange(0, len(kept)).Draw(t, "kept")], now)
			} else {
				a := NewAttempt("", strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "attempt")))
				o := Origin{Service: "m", Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
				if recorded[a] == nil {
					recorded[a] = map[Origin]bool{}
				}
				recorded[a][o] = true
				tables[to].Add([]Record{{Attempt: a, Origin: o}}, now)
			}
			for i := range tables {
				if named[i] == nil {
					named[i] = map[Attempt]Origin{}
				}
				for a := range recorded {
					o, ok := tables[i].Find(a, now)
					if ok && !recorded[a][o] {
						t.Fatalf("table %d names %v, which was not recorded", i, o)
					}
					if before, was := named[i][a]; was && (!ok || o != before) {
						t.Fatalf("table %d named %v and now %v, %v", i, before, o, ok)
					}
					if ok {
						named[i][a] = o
					}
				}
			}
		}
	})
}

// Guards against a table that grows without bound, or gives up records that callers still need before old ones.
func TestOldestOriginsGoFirst(t *testing.T) {
	var x Table
	o := Origin{Service: "m", Version: "v1"}
	for i := range maxRecords + 1 {
		x.Add([]Record{{Attempt: NewAttempt("", strconv.Itoa(i)), Origin: o}}, start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(maxRecords * time.Millisecond)
	if _, ok := x.Find(NewAttempt("", "0"), now); ok || len(x.entries) > maxRecords {
		t.Errorf("%d records, with the oldest: %v", len(x.entries), ok)
	}
	if _, ok := x.Find(NewAttempt("", strconv.Itoa(maxRecords/4)), now); !ok {
		t.Error("a record was lost that is younger than three quarters of all")
	}
	if list := x.All(now.Add(Lifetime)); len(list) != 0 {
		t.Errorf("%d records outlive their lifetime", len(list))
	}
}

// Guards against a record that lapses while its stream is taken up again and again, against messages about each renewal, and
// against records of one client account that name the streams of another.
func TestTakingUpRenewsOrigin(t *testing.T) {
	var x Table
	r := Record{Attempt: NewAttempt("vets", "a"), Origin: Origin{Service: "m", Version: "v1"}}
	told := 0
	for i := range 20 {
		told += len(x.Add([]Record{r}, start.Add(time.Duration(i)*10*time.Second)))
	}
	if _, ok := x.Find(r.Attempt, start.Add(4*time.Minute)); !ok || told == 0 || told > 7 {
		t.Errorf("found: %v, told %d times", ok, told)
	}
	if _, ok := x.Find(NewAttempt("cats", "a"), start); ok {
		t.Error("an attempt of another account has the same record")
	}
}

// Guards against a stream of unknown origin that goes on shortly after a release, and against one that is refused on a day without.
func TestVersionsSeenLately(t *testing.T) {
	list := func(versions ...string) (out []place.Endpoint) {
		for _, v := range versions {
			out = append(out, place.Endpoint{ID: v, Service: "m", Version: v})
		}
		return append(out, place.Endpoint{ID: "p", Service: "p", Version: "other"})
	}
	var x, started Versions
	x.Observe(list("v1"), start)
	var steady Versions
	steady.Observe(list("v1"), start)
	for at := time.Duration(0); at <= Lifetime; at += time.Second {
		steady.Reaffirm(start.Add(at))
	}
	if x.AreSeveral("m", start.Add(time.Hour)) || !x.MayBeSeveral("m", start) || steady.MayBeSeveral("m", start.Add(Lifetime)) {
		t.Error("one version counts as several, or as the only one before others could have been seen")
	}
	if !x.MayBeSeveral("m", start.Add(Lifetime)) {
		t.Error("one version counts as the only one without a list since")
	}
	x.Observe(list("v1", "v2"), start.Add(time.Second))
	draining := list("v1", "v2")
	draining[0].Draining = true
	x.Observe(draining, start.Add(1500*time.Millisecond))
	if o := (Origin{Service: "m", Version: "v1"}); x.IsServing(o) || !x.IsServiceServing("m") || !x.AreSeveral("m", start.Add(1500*time.Millisecond)) {
		t.Error("a version whose endpoints drain serves, or does not count as listed")
	}
	x.Observe(list("v2"), start.Add(2*time.Second))
	started.Observe(list("v2"), start.Add(3*time.Second))
	started.Merge(x.All(start.Add(3*time.Second)), start.Add(3*time.Second))
	for name, v := range map[string]*Versions{"process": &x, "process that was told": &started} {
		if now := start.Add(time.Second + Lifetime); !v.AreSeveral("m", now) || v.AreSeveral("p", now) || v.AreSeveral("m", now.Add(2*time.Second)) {
			t.Errorf("%s: several versions count wrongly", name)
		}
		if v.IsServing(Origin{Service: "m", Version: "v1"}) || !v.IsServing(Origin{Service: "m", Version: "v2"}) {
			t.Errorf("%s: listed versions are wrong", name)
		}
	}
}

// versionList returns a list of endpoints of the service m with one of each version.
func versionList(versions ...string) (out []place.Endpoint) {
	for _, v := range versions {
		out = append(out, place.Endpoint{ID: v, Service: "m", Version: v})
	}
	return out
}

// Guards against a version that counts as the only one by a list that is older than the caller's stream: other versions may have joined
// since it was read, and it may have waited on its way.
func TestOnlyVersionNeedsListReadSince(t *testing.T) {
	var x Versions
	x.MarkComplete(start)
	x.Observe(versionList("v1"), start)
	if _, ok := x.Only("m", start, start); ok {
		t.Error("a list that another process has sent shows the only version")
	}
	x.Confirm(versionList("v1"), start, start.Add(200*time.Millisecond))
	if v, ok := x.Only("m", start, start.Add(time.Second)); !ok || v != "v1" {
		t.Errorf("version %q, %v; want v1", v, ok)
	}
	if _, ok := x.Only("m", start.Add(time.Millisecond), start.Add(200*time.Millisecond)); ok {
		t.Error("a list whose read began before the caller came shows the only version")
	}
	x.Confirm(versionList("v1", "v2"), start.Add(time.Second), start.Add(time.Second))
	x.Observe(versionList("v1"), start.Add(time.Second))
	if _, ok := x.Only("m", start.Add(time.Second), start.Add(2*time.Second)); ok {
		t.Error("an old list that arrives late hides a version")
	}
	x.Confirm(versionList("v1"), start.Add(time.Second/2), start.Add(2*time.Second))
	if !x.IsConfirmed(start.Add(time.Second)) {
		t.Error("a read that took longer replaces a later one")
	}
}

// Guards against a process that has missed versions while it stood still or was cut off, and takes what it knows for all.
func TestVersionsAreIncompleteAfterTimeWithoutLists(t *testing.T) {
	var x Versions
	x.MarkComplete(start)
	x.Observe(versionList("v1"), start)
	now := start.Add(maxListGap)
	x.Reaffirm(now)
	if !x.IsComplete(now) {
		t.Error("a process that gets lists is incomplete")
	}
	if x.IsComplete(now.Add(maxListGap + 1)) {
		t.Error("a process without lists is complete")
	}
	now = now.Add(maxListGap + 1)
	x.Reaffirm(now)
	if x.IsComplete(now) {
		t.Error("the list after a gap makes a process complete")
	}
	told := x
	told.MarkComplete(now)
	if !told.IsComplete(now) {
		t.Error("a process that was told everything is incomplete")
	}
	for range Lifetime / maxListGap {
		now = now.Add(maxListGap)
		x.Reaffirm(now)
	}
	if !x.IsComplete(now) {
		t.Error("a process is incomplete that has had lists for the lifetime of a record")
	}
}

// Guards against what another process knows being lost because the next list comes after the same gap, and against news of the past that
// close a gap.
func TestCompleteSourceClosesGap(t *testing.T) {
	var x, late Versions
	now := start.Add(time.Minute)
	for _, v := range []*Versions{&x, &late} {
		v.MarkComplete(start)
		v.Observe(versionList("v1"), start)
	}
	x.MarkComplete(now)
	x.Observe(versionList("v1"), now.Add(time.Second))
	late.MarkComplete(start.Add(time.Second))
	late.Observe(versionList("v1"), now)
	if !x.IsComplete(now.Add(time.Second)) || late.IsComplete(now) {
		t.Errorf("complete: %v, and by old news: %v", x.IsComplete(now.Add(time.Second)), late.IsComplete(now))
	}
}
