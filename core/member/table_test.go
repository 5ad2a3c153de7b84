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

// listAddresses returns the addresses of the table without weights and domains.
func listAddresses(t *RouterTable, now time.Time) []string {
	var out []string
	for _, a := range t.Addresses(now) {
		out = append(out, a.Address)
	}
	return out
}

// newTestReport returns a report of a router with a fresh configuration of revision 7, changed by f unless it is nil.
func newTestReport(name string, sent int64, f func(*RouterReport)) *RouterReport {
	r := &RouterReport{Name: name, Incarnation: 1, SentMS: sent, Address: name + ":80", Domain: "d", Fresh: true, Revision: 7}
	if f != nil {
		f(r)
	}
	return r
}

// Guards against sending callers to routers that are draining, leaving, silent or have an old configuration, and
// against an empty list of addresses when no live router has a fresh configuration.
func TestAddressesOmitUnusableRouters(t *testing.T) {
	tab := &RouterTable{}
	now := t0
	for name, f := range map[string]func(*RouterReport){
		"good":     nil,
		"busy":     func(r *RouterReport) { r.Load = 0.95 },
		"broken":   func(r *RouterReport) { r.Load = -1 },
		"draining": func(r *RouterReport) { r.Draining = true },
		"stale":    func(r *RouterReport) { r.Fresh = false },
		"leaving":  func(r *RouterReport) { r.Address = "10.0.0.9:80" },
	} {
		tab.AddReport(newTestReport(name, 1, f), now)
	}
	tab.AddReport(newTestReport("restarted", 1, nil), now)
	tab.AddReport(newTestReport("restarted", 2, func(r *RouterReport) { r.Incarnation, r.Fresh = 2, false }), now)
	tab.SetInstances([]ListedInstance{{"good", "10.0.0.1", StateLive}, {"other", "10.0.0.9", StateLeaving}}, now)
	want := []RouterAddress{{"broken:80", MinWeight, "d"}, {"busy:80", MinWeight, "d"}, {"good:80", MaxWeight, "d"}}
	if got := tab.Addresses(now); !slices.Equal(got, want) {
		t.Fatalf("addresses %v, want %v", got, want)
	}
	now = now.Add(2900 * time.Millisecond)
	tab.AddReport(newTestReport("stale", 2, func(r *RouterReport) { r.Fresh = false }), now)
	now = now.Add(200 * time.Millisecond)
	if got := listAddresses(tab, now); !slices.Equal(got, []string{"stale:80"}) {
		t.Fatalf("addresses %v when no fresh router is live", got)
	}
	prop.FailIf(t, !tab.IsLeaving("10.0.0.9:99") || tab.IsLeaving("10.0.0.1:80") || tab.IsLeaving(""), "the list's leaving instances are not recognised by their IP number")
	tab.SetInstances([]ListedInstance{{"old", "10.0.0.1", StateLeaving}}, t0)
	prop.FailIf(t, tab.IsLeaving("10.0.0.1:80"), "an older poll of the list is taken")
}

// Guards against reporting a change as confirmed while a router that may still serve callers has not applied it.
func TestUnconfirmedIncludesSilentRouters(t *testing.T) {
	tab := &RouterTable{}
	digest := object.Digest{1}
	for name, f := range map[string]func(*RouterReport){
		"a-done":   func(r *RouterReport) { r.Digest = digest },
		"b-behind": func(r *RouterReport) { r.Revision = 6 },
		"c-ahead":  func(r *RouterReport) { r.Revision = 8 },
		"d-other":  nil,
		"e-silent": func(r *RouterReport) { r.Revision = 5 },
		"f-listed": func(r *RouterReport) { r.Revision = 5 },
	} {
		tab.AddReport(newTestReport(name, 1, f), t0)
	}
	tab.SetInstances([]ListedInstance{{"f-listed", "10.0.0.1", StateLive}}, t0)
	heard := t0.Add(20 * time.Second)
	for _, name := range []string{"a-done", "b-behind", "c-ahead", "d-other"} {
		r := tab.routers.Get(name).report
		r.SentMS++
		tab.AddReport(&r, heard)
	}
	want := []UnconfirmedRouter{{"b-behind", 6, true, false}, {"d-other", 7, true, true}, {"e-silent", 5, false, false}, {"f-listed", 5, false, false}}
	if got := tab.UnconfirmedRouters(7, digest, heard); !reflect.DeepEqual(got, want) {
		t.Fatalf("waiting for %v, want %v", got, want)
	}
	later := t0.Add(DefaultForgetAfter)
	if got := tab.UnconfirmedRouters(7, digest, later); len(got) != 3 || slices.Contains(tab.Names(later), "e-silent") {
		t.Fatalf("waiting for %v, want no router that has stopped", got)
	}
	tab.SetInstances(nil, later)
	if got := tab.UnconfirmedRouters(7, digest, later); len(got) != 2 {
		t.Fatalf("waiting for %v, want no router that is not listed any more", got)
	}
}

// Guards against delayed or repeated reports that replace a newer state of a router.
func TestOlderReportsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := &RouterTable{}
		now := t0
		var newest *RouterReport
		var batch ReportBatch
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			r := newTestReport("r", int64(rapid.IntRange(0, 20).Draw(t, "sent")), func(r *RouterReport) {
				r.Incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				r.Load = rapid.Float64Range(0, 1).Draw(t, "load")
			})
			accepted := tab.AddReport(r, now)
			if want := newest == nil || r.isNewerThan(newest); accepted != want {
				t.Fatalf("report %+v after %+v: taken %v", r, newest, accepted)
			}
			prop.FailIf(t, batch.Add(r) != accepted, "the batch and the table disagree on whether report %+v is newer", r)
			if accepted {
				newest = r
			}
			i := tab.Instances(now)
			prop.FailIf(t, len(i) != 1 || !reflect.DeepEqual(i[0].Report, *newest), "instances %+v, want %+v", i, newest)
			if load := tab.routers.Get("r").smoothedLoad; load < 0 || load > 1 {
				t.Fatalf("smoothed load %v", load)
			}
		}
		if out := batch.Take(); len(out) != 1 || !reflect.DeepEqual(out[0], *newest) || len(batch.Take()) != 0 {
			t.Fatalf("batch %+v, want the newest report once", out)
		}
	})
}
