package member

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"wasabiweir/core/prop"

	"wasabiweir/core/object"

	"pgregory.net/rapid"
)

func addressesOf(t *Table, now time.Time) []string {
	var out []string
	for _, a := range t.Addresses(now) {
		out = append(out, a.Address)
	}
	return out
}

func reportOf(name string, sent int64, f func(*Report)) *Report {
	r := &Report{Name: name, Incarnation: 1, SentMS: sent, Address: name + ":80", Domain: "d", Fresh: true, Revision: 7}
	if f != nil {
		f(r)
	}
	return r
}

// Guards against callers who are sent to routers that drain, leave, are silent or have an old configuration, and
// against an empty answer while only routers that are not fresh are left.
func TestAddressesLeaveOutRoutersThatCallersMustNotUse(t *testing.T) {
	tab := &Table{}
	now := t0
	for name, f := range map[string]func(*Report){
		"good":     nil,
		"busy":     func(r *Report) { r.Load = 0.95 },
		"broken":   func(r *Report) { r.Load = -1 },
		"draining": func(r *Report) { r.Draining = true },
		"stale":    func(r *Report) { r.Fresh = false },
		"leaving":  func(r *Report) { r.Address = "10.0.0.9:80" },
	} {
		tab.Report(reportOf(name, 1, f), now)
	}
	tab.Report(reportOf("restarted", 1, nil), now)
	tab.Report(reportOf("restarted", 2, func(r *Report) { r.Incarnation, r.Fresh = 2, false }), now)
	tab.List([]Listed{{"good", "10.0.0.1", StateLive}, {"other", "10.0.0.9", StateLeaving}}, now)
	want := []Address{{"broken:80", MinWeight, "d"}, {"busy:80", MinWeight, "d"}, {"good:80", MaxWeight, "d"}}
	if got := tab.Addresses(now); !slices.Equal(got, want) {
		t.Fatalf("addresses %v, want %v", got, want)
	}
	now = now.Add(2900 * time.Millisecond)
	tab.Report(reportOf("stale", 2, func(r *Report) { r.Fresh = false }), now)
	now = now.Add(200 * time.Millisecond)
	if got := addressesOf(tab, now); !slices.Equal(got, []string{"stale:80"}) {
		t.Fatalf("addresses %v when no fresh router is live", got)
	}
	prop.FailIf(t, !tab.Leaving("10.0.0.9:99") || tab.Leaving("10.0.0.1:80") || tab.Leaving(""), "the list's leaving instances are not recognised by their IP number")
	tab.List([]Listed{{"old", "10.0.0.1", StateLeaving}}, t0)
	prop.FailIf(t, tab.Leaving("10.0.0.1:80"), "an older poll of the list is taken")
}

// Guards against a change that is called confirmed while a router that may still serve callers does not have it.
func TestUnconfirmedNamesSilentRouters(t *testing.T) {
	tab := &Table{}
	digest := object.Digest{1}
	for name, f := range map[string]func(*Report){
		"a-done":   func(r *Report) { r.Digest = digest },
		"b-behind": func(r *Report) { r.Revision = 6 },
		"c-ahead":  func(r *Report) { r.Revision = 8 },
		"d-other":  nil,
		"e-silent": func(r *Report) { r.Revision = 5 },
		"f-listed": func(r *Report) { r.Revision = 5 },
	} {
		tab.Report(reportOf(name, 1, f), t0)
	}
	tab.List([]Listed{{"f-listed", "10.0.0.1", StateLive}}, t0)
	heard := t0.Add(20 * time.Second)
	for _, name := range []string{"a-done", "b-behind", "c-ahead", "d-other"} {
		r := tab.routers.Get(name).report
		r.SentMS++
		tab.Report(&r, heard)
	}
	want := []Waiting{{"b-behind", 6, true, false}, {"d-other", 7, true, true}, {"e-silent", 5, false, false}, {"f-listed", 5, false, false}}
	if got := tab.Unconfirmed(7, digest, heard); !reflect.DeepEqual(got, want) {
		t.Fatalf("waiting for %v, want %v", got, want)
	}
	later := t0.Add(DefaultForgetAfter)
	if got := tab.Unconfirmed(7, digest, later); len(got) != 3 || slices.Contains(tab.Names(later), "e-silent") {
		t.Fatalf("waiting for %v, want no router that is gone", got)
	}
	tab.List(nil, later)
	if got := tab.Unconfirmed(7, digest, later); len(got) != 2 {
		t.Fatalf("waiting for %v, want no router that is not listed any more", got)
	}
}

// Guards against reports that are forwarded late or twice and bring back an older state of a router.
func TestReportsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := &Table{}
		now := t0
		var newest *Report
		var batch Batch
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			r := reportOf("r", int64(rapid.IntRange(0, 20).Draw(t, "sent")), func(r *Report) {
				r.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				r.Load = rapid.Float64Range(0, 1).Draw(t, "load")
			})
			taken := tab.Report(r, now)
			if want := newest == nil || r.newer(newest); taken != want {
				t.Fatalf("report %+v after %+v: taken %v", r, newest, taken)
			}
			prop.FailIf(t, batch.Add(r) != taken, "the batch judges report %+v otherwise than the table", r)
			if taken {
				newest = r
			}
			i := tab.Instances(now)
			prop.FailIf(t, len(i) != 1 || !reflect.DeepEqual(i[0].Report, *newest), "instances %+v, want %+v", i, newest)
			if load := tab.routers.Get("r").load; load < 0 || load > 1 {
				t.Fatalf("smoothed load %v", load)
			}
		}
		if out := batch.Take(); len(out) != 1 || !reflect.DeepEqual(out[0], *newest) || len(batch.Take()) != 0 {
			t.Fatalf("batch %+v, want the newest report once", out)
		}
	})
}
