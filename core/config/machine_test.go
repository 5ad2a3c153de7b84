package config

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"wasabiweir/core/object"

	"wasabiweir/core/prop"

	"pgregory.net/rapid"
)

// encode returns the entry as it is stored in the log.
func encode(t prop.TestingT, e Entry) []byte {
	t.Helper()
	data, err := e.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return data
}

// putWeight returns an entry that sets the weight of an account; a negative weight is invalid.
func putWeight(id string, base uint64, account string, weight float64) Entry {
	accounts := map[string]object.Account{account: {Name: account, Weight: weight}}
	return Entry{Author: "ana", Change: object.Change{RequestID: id, BaseRevision: base, Put: object.Graph{Accounts: accounts}}}
}

// restoredCopy returns a machine that was restored from a snapshot of m, over a state of its own.
func restoredCopy(t prop.TestingT, m *Machine) *Machine {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	out := &Machine{Limits: m.Limits}
	out.Apply(encode(t, putWeight("other", 0, "other", 1)))
	if err := out.Restore(data); err != nil {
		t.Fatalf("restore: %v", err)
	}
	return out
}

// requireSameState fails the test if the snapshots of two machines differ.
func requireSameState(t prop.TestingT, a, b *Machine) {
	t.Helper()
	x, errX := a.Snapshot()
	y, errY := b.Snapshot()
	prop.FailIf(t, errX != nil || errY != nil || !bytes.Equal(x, y), "replicas differ at revisions %d and %d", a.Revision(), b.Revision())
}

// drawEntry returns a random log entry with a base near the revision: often one that was sent before, sometimes
// garbage.
func drawEntry(t *rapid.T, revision uint64, earlier [][]byte) []byte {
	switch {
	case len(earlier) > 0 && rapid.IntRange(0, 2).Draw(t, "resend") == 0:
		return rapid.SampledFrom(earlier).Draw(t, "sent")
	case rapid.IntRange(0, 30).Draw(t, "garbage") == 0:
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
	}
	base := revision + 1 - min(revision+1, uint64(rapid.SampledFrom([]int{0, 1, 1, 1, 1, 2, 3, 8}).Draw(t, "back")))
	id := fmt.Sprint("r", rapid.IntRange(0, 30).Draw(t, "id"))
	e := putWeight(id, base, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), float64(rapid.IntRange(-1, 5).Draw(t, "weight")))
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		e.Change.Put, e.Change.Delete = object.Graph{}, []object.Ref{{Kind: object.KindAccount, Name: "a"}}
	}
	return encode(t, e)
}

// Guards against replicas that diverge, changes that are applied in part, two changes that are accepted on the same
// base revision, a repeated change that gets another outcome or is applied twice, and memory that grows without bound.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Outcomes: rapid.IntRange(1, 12).Draw(t, "requests"), OutcomeRevisions: 6, HistoryRevisions: rapid.IntRange(1, 6).Draw(t, "revisions"), HistoryObjects: 8}
		a, b := &Machine{Limits: limits}, &Machine{Limits: limits}
		var earlier [][]byte
		winners := map[uint64]string{}
		accepted := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			data := drawEntry(t, a.Revision(), earlier)
			earlier = append(earlier, data)
			before, revision := a.Digest(), a.Revision()
			var first Outcome
			var known bool
			e, err := DecodeEntry(data)
			if err == nil {
				first, known = a.Outcome(e.Change.RequestID)
			}
			out := a.Apply(data)
			if other := b.Apply(data); !reflect.DeepEqual(out, other) {
				t.Fatalf("outcomes %+v and %+v differ", out, other)
			}
			switch {
			case out.Repeat:
				if first.Repeat = true; known && !reflect.DeepEqual(out, first) {
					t.Fatalf("repeat %+v, first outcome %+v", out, first)
				}
			case out.Status == StatusAccepted:
				if w, ok := winners[e.Change.BaseRevision]; ok || accepted[string(data)] || known {
					t.Fatalf("%s accepted on base %d after %q", out.RequestID, e.Change.BaseRevision, w)
				}
				winners[e.Change.BaseRevision], accepted[string(data)] = out.RequestID, true
				prop.FailIf(t, out.Revision != revision+1 || len(a.Graph().Validate()) > 0, "revision %d after %d, findings %v", out.Revision, revision, a.Graph().Validate())
			case out.Status == StatusConflict && out.AcceptedRevision != e.Change.BaseRevision+1:
				t.Fatalf("conflict names accepted revision %d", out.AcceptedRevision)
			}
			if out.Repeat || out.Status != StatusAccepted {
				prop.FailIf(t, a.Digest() != before || a.Revision() != revision, "outcome %+v altered the state", out)
			}
			prop.FailIf(t, a.Digest() != a.Graph().Digest(), "the digest is not that of the graph")
			requests, revisions := len(a.outcomes.order), len(a.history.records)
			prop.FailIf(t, requests > limits.Outcomes || requests != len(a.outcomes.byID) || revisions > limits.HistoryRevisions, "%d requests, %d revisions", requests, revisions)
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				b = restoredCopy(t, b)
			}
			requireSameState(t, a, b)
		}
	})
}

// Guards against two concurrent changes to the same revision that are both accepted, and against a conflict that does
// not name what the accepted change modified.
func TestConcurrentOperatorsOnOneRevision(t *testing.T) {
	m := &Machine{}
	m.Apply(encode(t, putWeight("setup", 0, "vets", 1)))
	first := m.Apply(encode(t, putWeight("ana-1", 1, "vets", 2)))
	second := m.Apply(encode(t, putWeight("rui-1", 1, "vets", 3)))
	prop.FailIf(t, first.Status != StatusAccepted || first.Revision != 2, "first operator got %+v", first)
	want := []object.Difference{{Ref: object.Ref{Kind: object.KindAccount, Name: "vets"}, Change: object.DiffChanged, Fields: []string{"weight"}}}
	prop.FailIf(t, second.Status != StatusConflict || second.AcceptedRevision != 2 || !reflect.DeepEqual(second.Differences, want), "second operator got %+v", second)
	if w := m.Graph().Accounts["vets"].Weight; w != 2 {
		t.Fatalf("weight %v after the conflict, want the winner's", w)
	}
}

// Guards against a change that is applied twice because its sender lost the reply and sent it again: to the same
// replica, to one restored from a snapshot, and after the outcome or the history was trimmed.
func TestChangeResentAfterLostReply(t *testing.T) {
	m := &Machine{Limits: Limits{Outcomes: 2, OutcomeRevisions: 100, HistoryRevisions: 3, HistoryObjects: 100}}
	lost := encode(t, putWeight("ana-1", 0, "vets", 1))
	first := m.Apply(lost)
	for i := uint64(1); i < 6; i++ {
		want := first
		want.Repeat = true
		if again := restoredCopy(t, m).Apply(lost); i < 4 && !reflect.DeepEqual(again, want) {
			t.Fatalf("resend after %d revisions got %+v, want %+v", i, again, want)
		}
		m.Apply(encode(t, putWeight(fmt.Sprint("other-", i), i, "farms", float64(i))))
	}
	out := m.Apply(lost)
	prop.FailIf(t, out.Status != StatusConflict || !out.BaseForgotten || m.Revision() != 6, "resend after the history ended got %+v", out)
	reused := m.Apply(encode(t, putWeight("other-5", 6, "vets", 9)))
	prop.FailIf(t, reused.Status != StatusReused, "another change with the same request id got %+v", reused)
}

// Guards against a dry run that modifies the state or has another outcome than the change itself, and against a wrong
// diff between revisions.
func TestDryRunAndDiff(t *testing.T) {
	m := &Machine{}
	for i, w := range []float64{1, -1, 2} {
		e := putWeight(fmt.Sprint("r", i), m.Revision(), fmt.Sprint("a", i), w)
		dry, revision := m.DryRun(&e.Change), m.Revision()
		if out := m.Apply(encode(t, e)); !reflect.DeepEqual(out, dry) || dry.Status == StatusAccepted && out.Revision != revision+1 {
			t.Fatalf("dry run %+v, change %+v", dry, out)
		}
	}
	diff, err := m.Diff(0, 2)
	if err != nil || len(diff) != 2 || diff[0].Change != object.DiffAdded || len(m.History(10)) != 2 {
		t.Fatalf("diff %v, error %v", diff, err)
	}
	if _, err := m.Diff(0, 3); err == nil {
		t.Fatal("diff to a revision that does not exist")
	}
}

// BenchmarkApplyAtTargetSize measures one change to a graph of 940 endpoints and 830 accounts, the target size in
// section 1.7 of the design document.
func BenchmarkApplyAtTargetSize(b *testing.B) {
	g := object.Graph{Services: map[string]object.Service{"llm": {Name: "llm", Type: object.ServiceModel}}, Accounts: map[string]object.Account{}, Endpoints: map[string]object.Endpoint{}}
	for i := range 940 {
		n := fmt.Sprint("n-", i)
		g.Endpoints[n] = object.Endpoint{Name: n, Service: "llm", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, 1+i%250), Domain: "d", Slots: 64}
		if i < 830 {
			g.Accounts[n] = object.Account{Name: n, Weight: 1, TokenHashes: []string{object.HashToken(n)}}
		}
	}
	m := &Machine{}
	m.Apply(encode(b, Entry{Change: object.Change{RequestID: "setup", Put: g}}))
	entries := make([][]byte, b.N)
	for i := range entries {
		entries[i] = encode(b, putWeight(fmt.Sprint("r", i), uint64(i+1), "n-1", float64(i%2)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, e := range entries {
		if out := m.Apply(e); out.Status != StatusAccepted {
			b.Fatal(out)
		}
	}
	b.StopTimer()
	data, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}
