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

// start is an arbitrary Unix time in milliseconds.
const start = int64(1_800_000_000_000)

func keyAt(ms int64, n int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(ms)<<16)
	binary.BigEndian.PutUint32(id[12:], uint32(n))
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

func apply(t prop.Failer, m *Machine, c Command) Result {
	t.Helper()
	data, err := c.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return m.Apply(data)
}

func snapshotOf(t prop.Failer, m *Machine) []byte {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	return data
}

// attempt is one call at a router, as the router sees it.
type attempt struct {
	claim    Command
	granted  uint64
	sent     bool
	finished bool
}

// ledgerRun models routers that send only when they are granted, a network that delays, repeats and loses proposals
// and replies, and two replicas of which one is restarted by snapshots.
type ledgerRun struct {
	t            *rapid.T
	a, b         *Machine
	nowMS        int64
	incarnations map[string]uint64
	attempts     []*attempt
	proposals    []Command
	sends        map[string]int
	keys         []string
	forgotten    map[string]bool
}

func (r *ledgerRun) alive(a *attempt) bool {
	return a.claim.Claimant.Incarnation == r.incarnations[a.claim.Claimant.Router] && !a.finished
}

func (r *ledgerRun) call(t *rapid.T) {
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

// propose puts a command in flight and mostly commits it at once.
func (r *ledgerRun) propose(t *rapid.T, c Command) {
	r.proposals = append(r.proposals, c)
	if rapid.IntRange(0, 3).Draw(t, "commit") > 0 {
		r.apply(t, c)
	}
}

// step lets an attempt use its grant: it sends, or it proposes not-run and never sends.
func (r *ledgerRun) step(t *rapid.T) {
	var usable []*attempt
	for _, a := range r.attempts {
		if r.alive(a) && a.granted > 0 {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return
	}
	a := rapid.SampledFrom(usable).Draw(t, "attempt")
	report := a.claim
	report.Claim = a.granted
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
		r.sends[report.Key]++
		if n := r.sends[report.Key]; n > 1 {
			r.t.Fatalf("key %s is sent %d times", report.Key, n)
		}
		return
	}
	r.propose(t, report)
}

// commit applies a proposal that stays in flight, with the stamp of a leader whose clock may be off.
func (r *ledgerRun) commit(t *rapid.T) {
	if n := len(r.proposals); n > 0 {
		r.apply(t, r.proposals[n-1-rapid.IntRange(0, min(n-1, 12)).Draw(t, "back")])
	}
}

func (r *ledgerRun) apply(t *rapid.T, c Command) {
	c.TimeMS = r.nowMS + rapid.Int64Range(-60_000, 60_000).Draw(t, "skew")
	before := r.a.Now()
	due := r.a.Due(time.UnixMilli(c.TimeMS))
	out := apply(r.t, r.a, c)
	if other := apply(r.t, r.b, c); !reflect.DeepEqual(out, other) {
		r.t.Fatalf("results %+v and %+v differ", out, other)
	}
	prop.FailIf(r.t, r.a.Now().Before(before) || !bytes.Equal(snapshotOf(r.t, r.a), snapshotOf(r.t, r.b)), "the time went back or the replicas differ")
	prop.FailIf(r.t, out.Verdict == VerdictSwept && (len(out.IDs) > 0) != slices.Contains(due, c.Op), "%s changed %d records, due were %v", c.Op, len(out.IDs), due)
	if c.Op == OpForget {
		for _, id := range out.IDs {
			r.forgotten[id.Key.String()] = true
		}
	}
	if c.Op == OpClaim {
		r.answer(t, c, out)
	}
}

// answer checks the result of a claim and delivers it unless it is lost.
func (r *ledgerRun) answer(t *rapid.T, c Command, out Result) {
	refusal := out.Refusal()
	switch {
	case r.forgotten[c.Key] && (refusal == nil || refusal.Outcome == common.OutcomeNotRun):
		r.t.Fatalf("deleted key %s got %+v", c.Key, out)
	case refusal != nil && refusal.Outcome == common.OutcomeNotRun && out.Reason != common.ReasonKeyReused && r.sends[c.Key] > 0:
		r.t.Fatalf("key %s was sent and got %+v", c.Key, out)
	case out.Verdict == VerdictDone && r.sends[c.Key] != 1:
		r.t.Fatalf("key %s is done and was sent %d times", c.Key, r.sends[c.Key])
	}
	if out.Verdict == VerdictGranted && rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		if a := r.attempts[c.Claimant.Attempt]; a.granted == 0 && r.alive(a) {
			a.granted = out.Claim
		}
	}
}

func (r *ledgerRun) check() {
	for _, rec := range r.a.records {
		n := r.sends[rec.ID.Key.String()]
		prop.FailIf(r.t, rec.State == StateNotRun && n > 0 || rec.State == StateDone && n != 1, "key %s is recorded as %s and was sent %d times", rec.ID.Key, rec.State, n)
	}
}

// Guards against a resend that waits out the claim's timeout although the router has said that the outcome is unknown,
// and against an answer that is lost when it comes after that.
func TestClaimantReportsUnknown(t *testing.T) {
	m := &Machine{}
	c := claimOf(keyAt(start, 0), 1)
	c.Claim = wantVerdict(t, m, c, VerdictGranted, "", "").Claim
	other := claimOf(c.Key, 2)
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

// Guards against a call that is sent twice, a "not-run" for a call that was sent, a deleted key that is granted again,
// and replicas that diverge, under interleavings of routers, resends, pauses, timeouts, expiry and restarts.
func TestAtMostOneSendPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits
		limits.Sweep = rapid.IntRange(1, 3).Draw(t, "sweep")
		r := &ledgerRun{
			t: t, a: &Machine{Limits: limits}, b: &Machine{Limits: limits}, nowMS: start,
			incarnations: map[string]uint64{}, sends: map[string]int{}, forgotten: map[string]bool{},
		}
		actions := []func(*rapid.T){
			r.call, r.call, r.call, r.step, r.step, r.step, r.commit, r.commit,
			func(t *rapid.T) { r.apply(t, Command{Op: OpExpireClaims}) },
			func(t *rapid.T) { r.apply(t, Command{Op: OpForget}) },
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
				if err := r.b.Restore(snapshotOf(t, r.b)); err != nil {
					t.Fatalf("restore: %v", err)
				}
			},
		}
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			r.check()
		}
	})
}

func claimOf(key string, attempt uint64) Command {
	return Command{Op: OpClaim, TimeMS: start, Account: "vets", Key: key, TimeoutMS: 5000, Claimant: Claimant{"r1", 1, attempt}}
}

func wantVerdict(t *testing.T, m *Machine, c Command, verdict Verdict, reason common.Reason, outcome common.Outcome) Result {
	t.Helper()
	out := apply(t, m, c)
	prop.FailIf(t, out.Verdict != verdict || out.Reason != reason || out.Outcome != outcome, "%s at %d got %+v, want %s %s %s", c.Op, c.TimeMS, out, verdict, reason, outcome)
	return out
}

// Guards against keys that are accepted outside the retention or in another version, and against a false not-run.
func TestKeyChecks(t *testing.T) {
	m := &Machine{}
	day, future := (24 * time.Hour).Milliseconds(), (10 * time.Minute).Milliseconds()
	for i, c := range []struct {
		key     string
		verdict Verdict
		reason  common.Reason
		outcome common.Outcome
	}{
		{keyAt(start, 0), VerdictGranted, "", ""},
		{keyAt(start-day, 1), VerdictGranted, "", ""},
		{keyAt(start-day-1, 2), VerdictRefused, common.ReasonKeyExpired, common.OutcomeUnknown},
		{keyAt(start+future, 3), VerdictGranted, "", ""},
		{keyAt(start+future+1, 4), VerdictRefused, common.ReasonKeyInvalid, common.OutcomeNotRun},
		{"6ba7b810-9dad-11d1-80b4-00c04fd430c8", VerdictRefused, common.ReasonKeyInvalid, common.OutcomeNotRun},
		{"booking-1", VerdictRefused, common.ReasonKeyInvalid, common.OutcomeNotRun},
	} {
		wantVerdict(t, m, claimOf(c.key, uint64(i)), c.verdict, c.reason, c.outcome)
	}
	upper := claimOf(strings.ToUpper(keyAt(start, 0)), 90)
	wantVerdict(t, m, upper, VerdictInProgress, "", "")
	upper.Digest[0] = 1
	wantVerdict(t, m, upper, VerdictRefused, common.ReasonKeyReused, common.OutcomeNotRun)
}

// Guards against a claim that stays open, an unknown outcome that hides a late response, and unbounded responses.
func TestUnknownThenDoneByTheClaimingRouter(t *testing.T) {
	m := &Machine{Limits: Limits{Retention: time.Hour, Grace: 30 * time.Second, Timeout: time.Minute, ResponseBytes: 10, Bytes: 4 * RecordBytes, Sweep: 10}}
	c := claimOf(keyAt(start, 0), 1)
	granted := wantVerdict(t, m, c, VerdictGranted, "", "")
	expire := Command{Op: OpExpireClaims, TimeMS: start + 34_999}
	if out := apply(t, m, expire); len(out.IDs) != 0 || len(m.Due(time.UnixMilli(expire.TimeMS))) != 0 {
		t.Fatal("the claim expired before its deadline plus 30 s")
	}
	expire.TimeMS++
	if due := m.Due(time.UnixMilli(expire.TimeMS)); !reflect.DeepEqual(due, []Op{OpExpireClaims}) {
		t.Fatalf("sweeps %v are due", due)
	}
	if out := apply(t, m, expire); len(out.IDs) != 1 {
		t.Fatal("the claim did not expire")
	}
	other := claimOf(c.Key, 2)
	wantVerdict(t, m, other, VerdictUnknown, "", "")
	report := c
	report.Op, report.Claim = OpNotRun, granted.Claim
	wantVerdict(t, m, report, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	report.Op, report.Response = OpDone, &Response{Status: 201, Body: make([]byte, 11)}
	stranger := report
	stranger.Claimant.Incarnation++
	wantVerdict(t, m, stranger, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	wrong := report
	wrong.Claim++
	wantVerdict(t, m, wrong, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	wantVerdict(t, m, report, VerdictRecorded, "", "")
	report.Op = OpNotRun
	wantVerdict(t, m, report, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	out := wantVerdict(t, m, other, VerdictDone, "", "")
	if r := out.Refusal(); r == nil || r.Outcome != common.OutcomeRan || out.Response.Body != nil || out.Response.Status != 201 {
		t.Fatalf("a response beyond the bound gives %+v", out.Response)
	}
	for i := 1; i < 4; i++ {
		wantVerdict(t, m, claimOf(keyAt(start, i), 9), VerdictGranted, "", "")
	}
	wantVerdict(t, m, claimOf(keyAt(start, 5), 9), VerdictRefused, common.ReasonOverloaded, common.OutcomeNotRun)
	prop.FailIf(t, m.bytes != 4*RecordBytes || m.Len() != 4, "%d bytes counted for %d records", m.bytes, m.Len())
}

// Guards against a delayed claim of an attempt that ended, which would take the key from the callers who still wait, and
// against the expiry of a claim at the time of an earlier one.
func TestClaimAfterNotRun(t *testing.T) {
	m := &Machine{}
	c := claimOf(keyAt(start, 0), 1)
	report := c
	report.Op, report.Claim = OpNotRun, wantVerdict(t, m, c, VerdictGranted, "", "").Claim
	wantVerdict(t, m, report, VerdictRecorded, "", "")
	wantVerdict(t, m, c, VerdictNotRun, "", "")
	next := claimOf(c.Key, 2)
	next.TimeMS += 20_000
	if out := wantVerdict(t, m, next, VerdictGranted, "", ""); out.Claim != 2 {
		t.Fatalf("claim number %d after one that was not used", out.Claim)
	}
	wantVerdict(t, m, report, VerdictRefused, common.ReasonSuperseded, common.OutcomeUnknown)
	if out := apply(t, m, Command{Op: OpExpireClaims, TimeMS: start + 40_000}); len(out.IDs) != 0 {
		t.Fatal("the claim expired at the time of the earlier one")
	}
}

// BenchmarkSnapshot measures a snapshot of 20,000 finished calls.
func BenchmarkSnapshot(b *testing.B) {
	for _, body := range []int{0, 512} {
		b.Run(fmt.Sprint("body-", body), func(b *testing.B) {
			m := &Machine{}
			const records = 20_000
			for i := range records {
				c := claimOf(keyAt(start, i), uint64(i))
				c.Claim = apply(b, m, c).Claim
				c.Op, c.Response = OpDone, &Response{Status: 200, Body: make([]byte, body)}
				apply(b, m, c)
			}
			var data []byte
			for b.Loop() {
				data = snapshotOf(b, m)
			}
			b.ReportMetric(float64(len(data))/records, "bytes/record")
		})
	}
}
