package config

import (
	"fmt"
	"testing"
	"time"

	"wasabiweir/core/prop"

	"wasabiweir/core/object"

	"pgregory.net/rapid"
)

// member is a control member that lags behind the log and confirms its read index unless it is cut off.
type member struct {
	machine *Machine
	applied int
	proof   Proof
	cut     bool
}

func (m *member) confirm(log [][]byte) {
	if m.cut {
		return
	}
	for ; m.applied < len(log); m.applied++ {
		m.machine.Apply(log[m.applied])
	}
	m.proof = Proof{Term: 1, Index: uint64(m.applied), Confirmed: m.proof.Confirmed + 1}
}

type push struct {
	connection string
	update     Update
}

// followerRun is one router with its disk, three members and the pushes in flight.
type followerRun struct {
	t        *rapid.T
	log      [][]byte
	truth    map[uint64]object.Digest
	lead     *Machine
	members  []*member
	pushes   []push
	follower *Follower
	disk     *Full
	now      time.Time
	epoch    int
	current  *member
	// floor is the committed revision when the connection began.
	floor uint64
	// sent is what the member believes the router has after the pushes so far.
	sent state
}

func (r *followerRun) change() {
	r.log = append(r.log, encode(r.t, put(fmt.Sprint("r", len(r.log)), r.lead.Revision(), fmt.Sprint("a", len(r.log)%4), float64(len(r.log)%7))))
	r.lead.Apply(r.log[len(r.log)-1])
	r.truth[r.lead.Revision()] = r.lead.Digest()
}

func (r *followerRun) attach(m *member) {
	r.epoch++
	r.current, r.floor = m, r.lead.Revision()
	r.follower.Attach(fmt.Sprint(r.epoch), r.now)
	r.sent = r.follower.state
}

func (r *followerRun) send() {
	u := r.current.machine.Update(r.sent.revision, r.sent.digest, r.current.proof)
	r.pushes = append(r.pushes, push{fmt.Sprint(r.epoch), u})
	r.sent = state{revision: u.Revision, digest: u.Digest}
}

// advance commits a change, and the router's member sends it; the push may be lost.
func (r *followerRun) advance() {
	r.change()
	r.current.confirm(r.log)
	r.send()
}

// deliver steps a push, which may be stale, and keeps it in flight, so that it may arrive again.
func (r *followerRun) deliver(p push) {
	before, _ := r.follower.Position()
	proven := r.follower.proven
	if r.follower.Step(p.connection, &p.update, r.now) == VerdictMismatch {
		r.sent = state{}
	}
	after, digest := r.follower.Position()
	prop.FailIf(r.t, after < before, "revision %d after %d", after, before)
	prop.FailIf(r.t, r.follower.state.graph != nil && (r.truth[after] != digest || r.follower.state.graph.Digest() != digest), "revision %d has another digest than the log", after)
	prop.FailIf(r.t, r.follower.proven != proven && after < r.floor, "fresh at revision %d, but %d was committed before the connection", after, r.floor)
	if full := r.follower.Unstored(); full != nil && rapid.Bool().Draw(r.t, "sync") {
		r.disk = full
		r.follower.Stored(full)
	}
	if reported, _ := r.follower.Reported(); r.follower.Stores && reported > 0 && reported != r.disk.Revision {
		r.t.Fatalf("reports revision %d, revision %d is stored", reported, r.disk.Revision)
	}
}

func (r *followerRun) restart() {
	reported, _ := r.follower.Reported()
	stores := r.follower.Stores
	r.follower = &Follower{Stores: stores}
	if r.disk != nil {
		if err := r.follower.Load(r.disk); err != nil {
			r.t.Fatalf("load: %v", err)
		}
	}
	if revision, _ := r.follower.Reported(); stores && revision < reported {
		r.t.Fatalf("revision %d after a restart, %d was reported", revision, reported)
	}
	prop.FailIf(r.t, r.follower.Fresh(r.now) || !stores && r.follower.Graph() != nil, "fresh or serving after a restart without a proof")
	r.attach(r.current)
}

// Guards against a router that goes back or takes a wrong configuration under reordered, duplicated, lost and stale
// pushes from several members, and against freshness from a member that is cut off.
func TestFollowerNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Requests: 4, RequestRevisions: 4, Revisions: 5, Objects: 100}
		r := &followerRun{t: t, lead: &Machine{Limits: limits}, truth: map[uint64]object.Digest{}, now: time.Unix(1000, 0)}
		r.truth[0] = r.lead.Digest()
		r.follower = &Follower{Stores: rapid.Bool().Draw(t, "stores")}
		for range 3 {
			r.members = append(r.members, &member{machine: &Machine{Limits: limits}})
		}
		r.attach(r.members[0])
		pick := rapid.SampledFrom(r.members)
		t.Repeat(map[string]func(*rapid.T){
			"change":  func(*rapid.T) { r.change() },
			"cut":     func(t *rapid.T) { m := pick.Draw(t, "member"); m.cut = !m.cut },
			"confirm": func(t *rapid.T) { pick.Draw(t, "member").confirm(r.log) },
			"move":    func(t *rapid.T) { r.attach(pick.Draw(t, "member")) },
			"send":    func(*rapid.T) { r.send() },
			"advance": func(*rapid.T) { r.advance() },
			"restart": func(*rapid.T) { r.restart() },
			"deliver": func(t *rapid.T) {
				r.now = r.now.Add(100 * time.Millisecond)
				if n := len(r.pushes); n > 0 {
					r.deliver(r.pushes[n-1-rapid.IntRange(0, min(n-1, 4)).Draw(t, "back")])
				}
			},
		})
		m := r.members[1]
		m.cut = false
		r.attach(m)
		for range 3 {
			m.confirm(r.log)
			r.send()
			r.deliver(r.pushes[len(r.pushes)-1])
		}
		if revision, _ := r.follower.Position(); revision != r.lead.Revision() || !r.follower.Fresh(r.now) || r.follower.Graph() == nil {
			t.Fatalf("revision %d on a confirmed member, want %d and fresh", revision, r.lead.Revision())
		}
	})
}

// Guards against a router that serves an old copy as fresh, or cannot catch up, after it missed hundreds of changes.
func TestFollowerRestartedAfter500Changes(t *testing.T) {
	for _, kept := range []bool{true, false} {
		for _, revisions := range []int{1000, 100} {
			m := &Machine{Limits: Limits{Requests: 10, RequestRevisions: 10, Revisions: revisions, Objects: 5000}}
			m.Apply(encode(t, put("r0", 0, "vets", 1)))
			f := &Follower{Stores: kept}
			if kept {
				if err := f.Load(m.Full()); err != nil {
					t.Fatal(err)
				}
			}
			for i := uint64(1); i <= 500; i++ {
				m.Apply(encode(t, put(fmt.Sprint("r", i), i, fmt.Sprint("a", i%50), float64(i))))
			}
			now := time.Unix(1000, 0)
			f.Attach("c1", now)
			prop.FailIf(t, (f.Graph() != nil) != kept || f.Fresh(now), "kept copy %v: serves %v, fresh %v", kept, f.Graph() != nil, f.Fresh(now))
			revision, digest := f.Position()
			u := m.Update(revision, digest, Proof{Term: 3, Index: 600, Confirmed: 1})
			prop.FailIf(t, (u.Delta != nil) != (kept && revisions > 500), "kept copy %v, history %d: delta %v", kept, revisions, u.Delta != nil)
			if v := f.Step("c1", &u, now); v != VerdictApplied || (f.Graph() != nil) != kept {
				t.Fatalf("verdict %s, serves %v before the proof advanced", v, f.Graph() != nil)
			}
			later := now.Add(time.Second)
			u = m.Update(m.Revision(), m.Digest(), Proof{Term: 3, Index: 600, Confirmed: 2})
			if v := f.Step("c1", &u, later); v != VerdictCurrent || f.Graph().Digest() != m.Digest() || !f.Fresh(later) {
				t.Fatalf("verdict %s after the proof advanced", v)
			}
			prop.FailIf(t, f.Stalled(later.Add(time.Second)) || !f.Stalled(later.Add(2*time.Second)) || f.Fresh(later.Add(4*time.Second)), "the proof does not age as specified")
		}
	}
}

// Guards against a push that does not give the stated digest or does not start at the router's revision.
func TestFollowerRefusesWrongDigest(t *testing.T) {
	m := &Machine{}
	m.Apply(encode(t, put("r0", 0, "vets", 1)))
	f := &Follower{}
	f.Attach("c1", time.Unix(0, 0))
	full := m.Update(0, object.Digest{}, Proof{})
	f.Step("c1", &full, time.Unix(0, 0))
	m.Apply(encode(t, put("r1", 1, "vets", 2)))
	good := m.Update(f.state.revision, f.state.digest, Proof{})
	for _, wrong := range []func(*Update){
		func(u *Update) { u.Delta.Put = object.Graph{} },
		func(u *Update) { u.Delta.FromRevision = 0 },
		func(u *Update) { u.Delta.FromDigest = object.Digest{} },
		func(u *Update) { u.Digest = object.Digest{1} },
		func(u *Update) { u.Delta = nil },
		func(u *Update) { u.Delta, u.Full = nil, full.Full },
		func(u *Update) { u.Revision, u.Digest = 1, object.Digest{1} },
	} {
		u, d := good, *good.Delta
		u.Delta = &d
		wrong(&u)
		if v := f.Step("c1", &u, time.Unix(0, 0)); v != VerdictMismatch || f.state.revision != 1 {
			t.Fatalf("verdict %s on a wrong update", v)
		}
	}
	if v := f.Step("c1", &good, time.Unix(0, 0)); v != VerdictApplied || f.Step("c0", &good, time.Unix(0, 0)) != VerdictDetached {
		t.Fatalf("verdict %s on the good update", v)
	}
}

// Guards against freshness by a proof that is behind another member's.
func TestProofBehindAnotherMembersIsDropped(t *testing.T) {
	f := &Follower{}
	m := &Machine{}
	now := time.Unix(1000, 0)
	step := func(connection string, p Proof) {
		u := m.Update(f.state.revision, f.state.digest, p)
		f.Step(connection, &u, now)
	}
	f.Attach("c1", now)
	step("c1", Proof{Term: 3, Index: 9, Confirmed: 1})
	step("c1", Proof{Term: 3, Index: 9, Confirmed: 2})
	prop.FailIf(t, !f.Fresh(now), "not fresh after a proof that advanced")
	now = now.Add(DefaultFreshFor)
	for i, stale := range []Proof{{Term: 2, Index: 9}, {Term: 3, Index: 8}} {
		connection := fmt.Sprint("s", i)
		f.Attach(connection, now)
		for range 3 {
			stale.Confirmed++
			step(connection, stale)
		}
		prop.FailIf(t, f.Fresh(now) || f.Stalled(now), "fresh by %+v", stale)
	}
}
