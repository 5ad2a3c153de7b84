package table

import (
	"slices"
	"testing"
	"time"

	_ "wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// Guards against iteration out of key order after Put and Delete, which would make replicas diverge.
func TestTableVisitsInKeyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tab Table[int, int]
		want := map[int]int{}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			k := rapid.IntRange(0, 9).Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				tab.Delete(k)
				delete(want, k)
				continue
			}
			tab.Put(k, k*2)
			want[k] = k * 2
		}
		var keys []int
		tab.Each(func(k int, v *int) bool {
			keys = append(keys, k)
			if *v != want[k] {
				t.Fatalf("key %d holds %d, want %d", k, *v, want[k])
			}
			return true
		})
		if !slices.IsSorted(keys) || len(keys) != len(want) {
			t.Fatalf("visited %v, want the sorted keys of %v", keys, want)
		}
	})
}

// Guards against a bucket from which more can be taken than its burst and rate allow.
func TestBucketNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0).Add(time.Hour)
		start := now
		b := Bucket{Rate: 10, Burst: 5}
		var taken float64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			n := float64(rapid.IntRange(1, 3).Draw(t, "n"))
			if b.Take(now, n) {
				taken += n
			}
			if limit := 5 + 10*now.Sub(start).Seconds(); taken > limit+1e-9 {
				t.Fatalf("took %v, limit %v", taken, limit)
			}
		}
	})
}
