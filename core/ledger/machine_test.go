package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/prop"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// startMS is the time at which tests start, in Unix milliseconds; the value is arbitrary.
const startMS = int64(1_800_000_000_000)

// keyAt returns a version 7 UUID with the creation time in Unix milliseconds; n makes keys of one time distinct.
func keyAt(ms int64, n int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(ms)<<16)
	binary.BigEndian.PutUint32(id[12:], uint32(n))
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

// applyCommand encodes a command and applies it.
func applyCommand(t prop.TestingT, m *Machine, c Command) Result {
	t.Helper()
	data, err := c.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return m.Apply(data)
}

// encodeSnapshot returns the machine's encoded state.
func encodeSnapshot(t prop.TestingT, m *Machine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	return data
}

// attempt is the state that a router keeps about one call.
type attempt struct {
	claim        Command
	grantedClaim uint64
	sent         bool
	finished     bool // the router reports nothing more about the call
}

// simulation models routers that send only after a granted claim, a network that delays, repeats and loses proposals
// and replies, and two replicas, one of which is restarted from snapshots.
type simulation struct {
	t                         *rapid.T
	replica, restartedReplica *Machine
	nowMS                     int64
	incarnations              map[string]uint64 // by router; a restart increments it
	attempts                  []*attempt
	proposals                 []Command // all proposals, any of which may still be delivered again
	sendsByKey                map[string]int
	keys                      []string
	deletedKeys               map[string]bool // keys whose records were deleted
}

// isActive reports whether the router still works on the attempt: it has neither restarted nor finished the call.
func (r *simulation) isActive(a *attempt) bool {
	return a.claim.Claimant.Incarnation == r.incarnations[a.claim.Claimant.Router] && !a.finished
}

// startCall claims a new or an existing key at one of the routers.
func (r *simulation) startCall(t *rapid.T) {
	router := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "router")
	if len(r.keys) == 0 || rapid.IntRange(0, 7).Draw(t, "new") == 0 {
		age := rapid.SampledFrom([]time.Duration{0, 0, 0, time.Minute, 23 * time.Hour, 25 * time.Hour, -5 * time.Minute, -11 * time.Minute}).Draw(t, "age")
		r.keys = append(r.keys, keyAt(r.nowMS-age.Milliseconds(), len(r.keys)))
	}
	c := Command{
		Op: OpClaim, Account: "vets", Key: rapid.SampledFrom(r.keys).Draw(t, "key"), TimeoutMS: 60_000,
		Claimant: Claimant{Router: router, Incarnation: r.incarnations[router], Attempt: uint64(len(r.attempts))},
	}
	if rapid.IntRange(0, 19).Draw(t, "other") == 0 {
		c.Digest[0] = 1
	}
	r.attempts = append(r.attempts, &attempt{claim: c})
	r.propose(t, c)
}

// propose adds a command to the proposals in flight and commits it at once in most cases.
func (r *simulation) propose(t *rapid.T, c Command) {
	r.proposals = append(r.proposals, c)
	if rapid.IntRange(0, 3).Draw(t, "commit") > 0 {
		r.apply(t, c)
	}
}

// continueAttempt takes the next step of an attempt with a granted claim: it sends the call, reports the outcome of a
// call that it sent, or proposes not-run and never sends.
func (r *simulation) continueAttempt(t *rapid.T) {
	var usable []*attempt
	for _, a := range r.attempts {
		if r.isActive(a) && a.grantedClaim > 0 {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return
	}
	a := rapid.SampledFrom(usable).Draw(t, "attempt")
	report := a.claim
	report.Claim = a.grantedClaim
	switch {
	case a.sent && rapid.IntRange(0, 3).Draw(t, "no answer") == 0:
		report.Op = OpUnknown
	case a.sent:
		report.Op, report.Response = OpDone, &Response{Status: 200, Body: []byte(fmt.Sprint(a.claim.Claimant.Attempt))}
		a.finished = rapid.Bool().Draw(t, "finished")
	case rapid.Bool().Draw(t, "abandon"):
		report.Op = OpNotRun
		a.finished = true
	default:
		a.sent = true
		r.sendsByKey[report.Key]++
		if n := r.sendsByKey[report.Key]; n > 1 {
			r.t.Fatalf("key %s is sent %d times", report.Key, n)
		}
		return
	}
	r.propose(t, report)
}

// commitDelayed applies one of the latest proposals, which may be delayed or repeated; it stays in flight.
func (r *simulation) commitDelayed(t *rapid.T) {
	if n := len(r.proposals); n > 0 {
		r.apply(t, r.proposals[n-1-rapid.IntRange(0, min(n-1, 12)).Draw(t, "back")])
	}
}

// apply applies a command to both replicas, with the timestamp of a leader whose clock is up to a minute off, and
// checks that their results and states are equal.
func (r *simulation) apply(t *rapid.T, c Command) {
	c.TimeMS = r.nowMS + rapid.Int64Range(-60_000, 60_000).Draw(t, "skew")
	before := r.replica.Now()
	due := r.replica.DueSweeps(time.UnixMilli(c.TimeMS))
	out := applyCommand(r.t, r.replica, c)
	if other := applyCommand(r.t, r.restartedReplica, c); !reflect.DeepEqual(out, other) {
		r.t.Fatalf("results %+v and %+v differ", out, other)
	}
	prop.FailIf(r.t, r.replica.Now().Before(before) || !bytes.Equal(encodeSnapshot(r.t, r.replica), encodeSnapshot(r.t, r.restartedReplica)), "the time went back or the replicas differ")
	prop.FailIf(r.t, out.Verdict == VerdictSwept && (len(out.IDs) > 0) != slices.Contains(due, c.Op), "%s changed %d records, due were %v", c.Op, len(out.IDs), due)
	if c.Op == OpDeleteExpired {
		for _, id := range out.IDs {
			r.deletedKeys[id.Key.String()] = true
		}
	}
	if c.Op == OpClaim {
		r.checkClaimResult(t, c, out)
	}
}

// checkClaimResult checks the result of a claim and delivers it to the router, unless the simulated network loses it.
func (r *simulation) checkClaimResult(t *rapid.T, c Command, out Result) {
	refusal := out.Refusal()
	switch {
	case r.deletedKeys[c.Key] && (refusal == nil || refusal.Outcome == common.OutcomeNotRun):
		r.t.Fatalf("deleted key %s got %+v", c.Key, out)
	case refusal != nil && refusal.Outcome == common.OutcomeNotRun && out.Reason != common.ReasonKeyReused && r.sendsByKey[c.Key] > 0:
		r.t.Fatalf("key %s was sent and got %+v", c.Key, out)
	case out.Verdict == VerdictDone && r.sendsByKey[c.Key] != 1:
		r.t.Fatalf("key %s is done and was sent %d times", c.Key, r.sendsByKey[c.Key])
	}
	if out.Verdict == VerdictGranted && rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		if a := r.attempts[c.Claimant.Attempt]; a.grantedClaim == 0 && r.isActive(a) {
			a.grantedClaim = out.Claim
		}
	}
}

// checkRecords compares the recorded state of each call with the number of times it was sent.
func (r *simulation) checkRecords() {
	for _, rec := range r.replica.records {
		n := r.sendsByKey[rec.ID.Key.String()]
		prop.FailIf(r.t, rec.State == StateNotRun && n > 0 || rec.State == StateDone && n != 1, "key %s is recorded as %s and was sent %d times", rec.ID.Key, rec.State, n)
	}
}

// Guards against a repeated call that waits for the claim's timeout although the router has reported an unknown
// outcome, and against the loss of a response that arrives after that report.
func TestClaimantReportsUnknown(t *testing.T) {
	m := &Machine{}
	c := newClaim(keyAt(startMS, 0), 1)
	c.Claim = wantVerdict(t, m, c, VerdictGranted, "", "").Claim
	other := newClaim(c.Key, 2)
	c.Op = OpUnknown
	wantVerdict(t, m, c, VerdictRecorded, "", "")
	wantVerdict(t, m, other, VerdictUnknown, "", "")
	c.Op = OpNotRun
	wantVerdict(t, m, c, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	c.Op, c.Response = OpDone, &Response{Status: 200}
	wantVerdict(t, m, c, VerdictRecorded, "", "")
	c.Op = OpUnknown
	wantVerdict(t, m, c, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	wantVerdict(t, m, other, VerdictDone, "", "")
}

// Guards against a call that is sent twice, a not-run outcome for a call that was sent, a key that is granted again
// after its record was deleted, and diverging replicas. Random interleavings of claims, repeated calls, pauses,
// timeouts, expiries and restarts are tried.
func TestAtMostOneSendPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits
		limits.SweepBatch = rapid.IntRange(1, 3).Draw(t, "sweep")
		r := &simulation{
			t: t, replica: &Machine{Limits: limits}, restartedReplica: &Machine{Limits: limits}, nowMS: startMS,
			incarnations: map[string]uint64{}, sendsByKey: map[string]int{}, deletedKeys: map[string]bool{},
		}
		actions := []func(*rapid.T){
			r.startCall, r.startCall, r.startCall, r.continueAttempt, r.continueAttempt, r.continueAttempt, r.commitDelayed, r.commitDelayed,
			func(t *rapid.T) { r.apply(t, Command{Op: OpExpireClaims}) },
			func(t *rapid.T) { r.apply(t, Command{Op: OpDeleteExpired}) },
			func(t *rapid.T) {
				pause := rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second, 40 * time.Second, 3 * time.Minute}).Draw(t, "pause")
				if rapid.IntRange(0, 7).Draw(t, "long") == 0 {
					pause *= 480
				}
				r.nowMS += pause.Milliseconds()
			},
			func(t *rapid.T) {
				r.incarnations[rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "restarted router")]++
			},
			func(t *rapid.T) {
				if err := r.restartedReplica.Restore(encodeSnapshot(t, r.restartedReplica)); err != nil {
					t.Fatalf("restore: %v", err)
				}
			},
		}
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			r.checkRecords()
		}
	})
}

// newClaim returns a claim of the key by an attempt of router r1.
func newClaim(key string, attempt uint64) Command {
	return Command{Op: OpClaim, TimeMS: startMS, Account: "vets", Key: key, TimeoutMS: 5000, Claimant: Claimant{"r1", 1, attempt}}
}

// wantVerdict applies a command and fails the test unless its result has the verdict, reason and outcome.
func wantVerdict(t *testing.T, m *Machine, c Command, verdict Verdict, reason common.Reason, outcome common.Outcome) Result {
	t.Helper()
	out := applyCommand(t, m, c)
	prop.FailIf(t, out.Verdict != verdict || out.Reason != reason || out.Outcome != outcome, "%s at %d got %+v, want %s %s %s", c.Op, c.TimeMS, out, verdict, reason, outcome)
	return out
}

// Guards against keys that are accepted although they are too old, too far in the future or not a version 7 UUID, and
// against refusals that claim a call did not run when it may have run.
func TestKeyChecks(t *testing.T) {
	m := &Machine{}
	day, future := (24 * time.Hour).Milliseconds(), (10 * time.Minute).Milliseconds()
	for i, c := range []struct {
		key     string
		verdict Verdict
		reason  common.Reason
		outcome common.Outcome
	}{
		{keyAt(startMS, 0), VerdictGranted, "", ""},
		{keyAt(startMS-day, 1), VerdictGranted, "", ""},
		{keyAt(startMS-day-1, 2), VerdictRefused, common.ReasonKeyExpired, common.OutcomeUnknown},
		{keyAt(startMS+future, 3), VerdictGranted, "", ""},
		{keyAt(startMS+future+1, 4), VerdictRefused, common.ReasonKeyInvalid, common.OutcomeNotRun},
		{"6ba7b810-9dad-11d1-80b4-00c04fd430c8", VerdictRefused, common.ReasonKeyInvalid, common.OutcomeNotRun},
		{"booking-1", VerdictRefused, common.ReasonKeyInvalid, common.OutcomeNotRun},
	} {
		wantVerdict(t, m, newClaim(c.key, uint64(i)), c.verdict, c.reason, c.outcome)
	}
	upper := newClaim(strings.ToUpper(keyAt(startMS, 0)), 90)
	wantVerdict(t, m, upper, VerdictInProgress, "", "")
	upper.Digest[0] = 1
	wantVerdict(t, m, upper, VerdictRefused, common.ReasonKeyReused, common.OutcomeNotRun)
}

// Guards against a claim that never expires, an unknown outcome that hides a late response, and responses and records
// beyond the limits.
func TestUnknownThenDoneByTheClaimingRouter(t *testing.T) {
	m := &Machine{Limits: Limits{Retention: time.Hour, ExpiryGrace: 30 * time.Second, MaxTimeout: time.Minute, MaxResponseBytes: 10, MaxBytes: 4 * RecordBytes, SweepBatch: 10}}
	c := newClaim(keyAt(startMS, 0), 1)
	granted := wantVerdict(t, m, c, VerdictGranted, "", "")
	expire := Command{Op: OpExpireClaims, TimeMS: startMS + 34_999}
	if out := applyCommand(t, m, expire); len(out.IDs) != 0 || len(m.DueSweeps(time.UnixMilli(expire.TimeMS))) != 0 {
		t.Fatal("the claim expired before its deadline plus 30 s")
	}
	expire.TimeMS++
	if due := m.DueSweeps(time.UnixMilli(expire.TimeMS)); !reflect.DeepEqual(due, []Op{OpExpireClaims}) {
		t.Fatalf("sweeps %v are due", due)
	}
	if out := applyCommand(t, m, expire); len(out.IDs) != 1 {
		t.Fatal("the claim did not expire")
	}
	other := newClaim(c.Key, 2)
	wantVerdict(t, m, other, VerdictUnknown, "", "")
	report := c
	report.Op, report.Claim = OpNotRun, granted.Claim
	wantVerdict(t, m, report, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	report.Op, report.Response = OpDone, &Response{Status: 201, Body: make([]byte, 11)}
	otherIncarnation := report
	otherIncarnation.Claimant.Incarnation++
	wantVerdict(t, m, otherIncarnation, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	wrongClaim := report
	wrongClaim.Claim++
	wantVerdict(t, m, wrongClaim, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	wantVerdict(t, m, report, VerdictRecorded, "", "")
	report.Op = OpNotRun
	wantVerdict(t, m, report, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	out := wantVerdict(t, m, other, VerdictDone, "", "")
	if r := out.Refusal(); r == nil || r.Outcome != common.OutcomeRan || out.Response.Body != nil || out.Response.Status != 201 {
		t.Fatalf("a response beyond the bound gives %+v", out.Response)
	}
	for i := 1; i < 4; i++ {
		wantVerdict(t, m, newClaim(keyAt(startMS, i), 9), VerdictGranted, "", "")
	}
	wantVerdict(t, m, newClaim(keyAt(startMS, 5), 9), VerdictRefused, common.ReasonOverloaded, common.OutcomeNotRun)
	prop.FailIf(t, m.usedBytes != 4*RecordBytes || m.Len() != 4, "%d bytes counted for %d records", m.usedBytes, m.Len())
}

// Guards against a delayed duplicate of the claim of an attempt that has ended: a grant would block the callers that
// still wait for the key. Also guards against a claim that expires at the time of an earlier claim of the same key.
func TestClaimAfterNotRun(t *testing.T) {
	m := &Machine{}
	c := newClaim(keyAt(startMS, 0), 1)
	report := c
	report.Op, report.Claim = OpNotRun, wantVerdict(t, m, c, VerdictGranted, "", "").Claim
	wantVerdict(t, m, report, VerdictRecorded, "", "")
	wantVerdict(t, m, c, VerdictNotRun, "", "")
	next := newClaim(c.Key, 2)
	next.TimeMS += 20_000
	if out := wantVerdict(t, m, next, VerdictGranted, "", ""); out.Claim != 2 {
		t.Fatalf("claim number %d after one that was not used", out.Claim)
	}
	wantVerdict(t, m, report, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	if out := applyCommand(t, m, Command{Op: OpExpireClaims, TimeMS: startMS + 40_000}); len(out.IDs) != 0 {
		t.Fatal("the claim expired at the time of the earlier one")
	}
}

// BenchmarkSnapshot measures the time and size of an encoded snapshot of 20,000 completed calls.
func BenchmarkSnapshot(b *testing.B) {
	for _, body := range []int{0, 512} {
		b.Run(fmt.Sprint("body-", body), func(b *testing.B) {
			m := &Machine{}
			const records = 20_000
			for i := range records {
				c := newClaim(keyAt(startMS, i), uint64(i))
				c.Claim = applyCommand(b, m, c).Claim
				c.Op, c.Response = OpDone, &Response{Status: 200, Body: make([]byte, body)}
				applyCommand(b, m, c)
			}
			var data []byte
			for b.Loop() {
				data = encodeSnapshot(b, m)
			}
			b.ReportMetric(float64(len(data))/records, "bytes/record")
		})
	}
}
