package config

import (
	"fmt"
	"testing"
	"time"

	"wasabiweir/core/prop"

	"wasabiweir/core/object"

	"pgregory.net/rapid"
)

// member simulates a control member, which may lag behind the log. It confirms its read index unless it is isolated
// from the quorum.
type member struct {
	machine  *Machine
	applied  int
	proof    FreshnessProof
	isolated bool
}

// confirmReadIndex applies the whole log and produces a newer proof, unless the member is isolated.
func (m *member) confirmReadIndex(log [][]byte) {
	if m.isolated {
		return
	}
	for ; m.applied < len(log); m.applied++ {
		m.machine.Apply(log[m.applied])
	}
	m.proof = FreshnessProof{Term: 1, Index: uint64(m.applied), Confirmed: m.proof.Confirmed + 1}
}

// push is an update that was sent on a connection.
type push struct {
	connection string
	update     Update
}

// followerSim simulates one router with its disk, three control members and the updates in flight.
type followerSim struct {
	t             *rapid.T
	log           [][]byte
	digests       map[uint64]object.Digest
	latest        *Machine
	members       []*member
	pushes        []push
	follower      *Follower
	disk          *FullConfig
	now           time.Time
	connectionID  int
	currentMember *member
	// minRevision is the revision that was committed when the current connection began.
	minRevision uint64
	// assumed is the revision and digest that the member takes the router to have after the updates sent so far.
	assumed configState
}

// change commits a change to the log and records the digest of the new revision.
func (s *followerSim) change() {
	s.log = append(s.log, encode(s.t, putWeight(fmt.Sprint("r", len(s.log)), s.latest.Revision(), fmt.Sprint("a", len(s.log)%4), float64(len(s.log)%7))))
	s.latest.Apply(s.log[len(s.log)-1])
	s.digests[s.latest.Revision()] = s.latest.Digest()
}

// attach connects the router to a member.
func (s *followerSim) attach(m *member) {
	s.connectionID++
	s.currentMember, s.minRevision = m, s.latest.Revision()
	s.follower.Attach(fmt.Sprint(s.connectionID), s.now)
	s.assumed = s.follower.state
}

// send puts the current member's next update in flight.
func (s *followerSim) send() {
	u := s.currentMember.machine.Update(s.assumed.revision, s.assumed.digest, s.currentMember.proof)
	s.pushes = append(s.pushes, push{fmt.Sprint(s.connectionID), u})
	s.assumed = configState{revision: u.Revision, digest: u.Digest}
}

// changeAndSend commits a change and puts the current member's update about it in flight; the update may never arrive.
func (s *followerSim) changeAndSend() {
	s.change()
	s.currentMember.confirmReadIndex(s.log)
	s.send()
}

// deliver hands an update to the follower and checks its invariants. The update may be stale, and it stays in flight,
// so that it can arrive again.
func (s *followerSim) deliver(p push) {
	before, _ := s.follower.Position()
	proven := s.follower.provenAt
	if s.follower.ApplyUpdate(p.connection, &p.update, s.now) == UpdateMismatch {
		s.assumed = configState{}
	}
	after, digest := s.follower.Position()
	prop.FailIf(s.t, after < before, "revision %d after %d", after, before)
	prop.FailIf(s.t, s.follower.state.graph != nil && (s.digests[after] != digest || s.follower.state.graph.Digest() != digest), "revision %d has another digest than the log", after)
	prop.FailIf(s.t, s.follower.provenAt != proven && after < s.minRevision, "fresh at revision %d, but %d was committed before the connection", after, s.minRevision)
	if full := s.follower.PendingStore(); full != nil && rapid.Bool().Draw(s.t, "sync") {
		s.disk = full
		s.follower.MarkStored(full)
	}
	if reported, _ := s.follower.ReportedPosition(); s.follower.SyncBeforeReport && reported > 0 && reported != s.disk.Revision {
		s.t.Fatalf("reports revision %d, revision %d is stored", reported, s.disk.Revision)
	}
}

// restart replaces the follower by one that loads the configuration from disk.
func (s *followerSim) restart() {
	reported, _ := s.follower.ReportedPosition()
	stores := s.follower.SyncBeforeReport
	s.follower = &Follower{SyncBeforeReport: stores}
	if s.disk != nil {
		if err := s.follower.Load(s.disk); err != nil {
			s.t.Fatalf("load: %v", err)
		}
	}
	if revision, _ := s.follower.ReportedPosition(); stores && revision < reported {
		s.t.Fatalf("revision %d after a restart, %d was reported", revision, reported)
	}
	prop.FailIf(s.t, s.follower.Fresh(s.now) || !stores && s.follower.Graph() != nil, "fresh or serving after a restart without a proof")
	s.attach(s.currentMember)
}

// Guards against a router that returns to an older revision or applies a wrong configuration when updates of several
// members are reordered, duplicated, lost or stale, and against one that counts as fresh because of a member that is
// isolated from the quorum.
func TestFollowerNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Outcomes: 4, OutcomeRevisions: 4, HistoryRevisions: 5, HistoryObjects: 100}
		sim := &followerSim{t: t, latest: &Machine{Limits: limits}, digests: map[uint64]object.Digest{}, now: time.Unix(1000, 0)}
		sim.digests[0] = sim.latest.Digest()
		sim.follower = &Follower{SyncBeforeReport: rapid.Bool().Draw(t, "stores")}
		for range 3 {
			sim.members = append(sim.members, &member{machine: &Machine{Limits: limits}})
		}
		sim.attach(sim.members[0])
		pick := rapid.SampledFrom(sim.members)
		t.Repeat(map[string]func(*rapid.T){
			"change":  func(*rapid.T) { sim.change() },
			"cut":     func(t *rapid.T) { m := pick.Draw(t, "member"); m.isolated = !m.isolated },
			"confirm": func(t *rapid.T) { pick.Draw(t, "member").confirmReadIndex(sim.log) },
			"move":    func(t *rapid.T) { sim.attach(pick.Draw(t, "member")) },
			"send":    func(*rapid.T) { sim.send() },
			"advance": func(*rapid.T) { sim.changeAndSend() },
			"restart": func(*rapid.T) { sim.restart() },
			"deliver": func(t *rapid.T) {
				sim.now = sim.now.Add(100 * time.Millisecond)
				if n := len(sim.pushes); n > 0 {
					sim.deliver(sim.pushes[n-1-rapid.IntRange(0, min(n-1, 4)).Draw(t, "back")])
				}
			},
		})
		m := sim.members[1]
		m.isolated = false
		sim.attach(m)
		for range 3 {
			m.confirmReadIndex(sim.log)
			sim.send()
			sim.deliver(sim.pushes[len(sim.pushes)-1])
		}
		if revision, _ := sim.follower.Position(); revision != sim.latest.Revision() || !sim.follower.Fresh(sim.now) || sim.follower.Graph() == nil {
			t.Fatalf("revision %d on a confirmed member, want %d and fresh", revision, sim.latest.Revision())
		}
	})
}

// Guards against a router that missed 500 changes while it was down and then reports its old configuration as fresh or
// can't catch up, with a stored configuration and without, within the member's history and beyond it.
func TestFollowerRestartedAfter500Changes(t *testing.T) {
	for _, kept := range []bool{true, false} {
		for _, revisions := range []int{1000, 100} {
			m := &Machine{Limits: Limits{Outcomes: 10, OutcomeRevisions: 10, HistoryRevisions: revisions, HistoryObjects: 5000}}
			m.Apply(encode(t, putWeight("r0", 0, "vets", 1)))
			f := &Follower{SyncBeforeReport: kept}
			if kept {
				if err := f.Load(m.Full()); err != nil {
					t.Fatal(err)
				}
			}
			for i := uint64(1); i <= 500; i++ {
				m.Apply(encode(t, putWeight(fmt.Sprint("r", i), i, fmt.Sprint("a", i%50), float64(i))))
			}
			now := time.Unix(1000, 0)
			f.Attach("c1", now)
			prop.FailIf(t, (f.Graph() != nil) != kept || f.Fresh(now), "kept copy %v: serves %v, fresh %v", kept, f.Graph() != nil, f.Fresh(now))
			revision, digest := f.Position()
			u := m.Update(revision, digest, FreshnessProof{Term: 3, Index: 600, Confirmed: 1})
			prop.FailIf(t, (u.Delta != nil) != (kept && revisions > 500), "kept copy %v, history %d: delta %v", kept, revisions, u.Delta != nil)
			if v := f.ApplyUpdate("c1", &u, now); v != UpdateApplied || (f.Graph() != nil) != kept {
				t.Fatalf("result %s, serves %v before the proof advanced", v, f.Graph() != nil)
			}
			later := now.Add(time.Second)
			u = m.Update(m.Revision(), m.Digest(), FreshnessProof{Term: 3, Index: 600, Confirmed: 2})
			if v := f.ApplyUpdate("c1", &u, later); v != UpdateCurrent || f.Graph().Digest() != m.Digest() || !f.Fresh(later) {
				t.Fatalf("result %s after the proof advanced", v)
			}
			prop.FailIf(t, f.Stalled(later.Add(time.Second)) || !f.Stalled(later.Add(2*time.Second)) || f.Fresh(later.Add(4*time.Second)), "the proof does not age as specified")
		}
	}
}

// Guards against a follower that applies an update whose result does not have the stated digest, or whose delta does
// not start at the follower's revision.
func TestFollowerRefusesWrongDigest(t *testing.T) {
	m := &Machine{}
	m.Apply(encode(t, putWeight("r0", 0, "vets", 1)))
	f := &Follower{}
	f.Attach("c1", time.Unix(0, 0))
	full := m.Update(0, object.Digest{}, FreshnessProof{})
	f.ApplyUpdate("c1", &full, time.Unix(0, 0))
	m.Apply(encode(t, putWeight("r1", 1, "vets", 2)))
	good := m.Update(f.state.revision, f.state.digest, FreshnessProof{})
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
		if v := f.ApplyUpdate("c1", &u, time.Unix(0, 0)); v != UpdateMismatch || f.state.revision != 1 {
			t.Fatalf("result %s on a wrong update", v)
		}
	}
	if v := f.ApplyUpdate("c1", &good, time.Unix(0, 0)); v != UpdateApplied || f.ApplyUpdate("c0", &good, time.Unix(0, 0)) != UpdateDetached {
		t.Fatalf("result %s on the good update", v)
	}
}

// Guards against a router that counts as fresh because of a proof whose term or index is lower than in a proof that it
// got from another member.
func TestProofBehindAnotherMembersIsDropped(t *testing.T) {
	f := &Follower{}
	m := &Machine{}
	now := time.Unix(1000, 0)
	step := func(connection string, p FreshnessProof) {
		u := m.Update(f.state.revision, f.state.digest, p)
		f.ApplyUpdate(connection, &u, now)
	}
	f.Attach("c1", now)
	step("c1", FreshnessProof{Term: 3, Index: 9, Confirmed: 1})
	step("c1", FreshnessProof{Term: 3, Index: 9, Confirmed: 2})
	prop.FailIf(t, !f.Fresh(now), "not fresh after a proof that advanced")
	now = now.Add(DefaultFreshFor)
	for i, stale := range []FreshnessProof{{Term: 2, Index: 9}, {Term: 3, Index: 8}} {
		connection := fmt.Sprint("s", i)
		f.Attach(connection, now)
		for range 3 {
			stale.Confirmed++
			step(connection, stale)
		}
		prop.FailIf(t, f.Fresh(now) || f.Stalled(now), "fresh by %+v", stale)
	}
}
