package form

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wasabiweir/core/raft"
	"wasabiweir/core/state"

	"pgregory.net/rapid"
)

// member is a simulated keeper, a process of the replicated group, with its disk.
type member struct {
	name        string
	disk        string
	node        *raft.Node           // nil while the process is down
	persisted   raft.PersistentState // persistent data, which survives a crash
	machine     state.Machine
	restartTick int  // tick of the next start while the process is down
	frozenUntil int  // tick up to which the process is frozen
	partition   int  // network partition that the process is in
	removed     bool // whether the machine was removed for good
	// received holds the messages that arrived while the process was frozen.
	received       []raft.Message
	pendingWrites  map[string]uint64 // versions of proposals not yet applied here, by data
	pendingReads   map[string]uint64 // acknowledged version at the start of each read that waits for a quorum, by context
	confirmedReads []confirmedRead   // reads that wait until their index is applied
}

// confirmedRead is a read that a quorum confirmed: it may return once index is applied, and must return at least
// minVersion.
type confirmedRead struct{ index, minVersion uint64 }

// id returns the raft identity of the member with its current disk.
func (m *member) id() raft.ID { return raft.ID{Name: m.name, Disk: m.disk} }

// packet is a message in flight, with the tick of its delivery.
type packet struct {
	raft.Message
	deliveryTick int
}

// relay is a simulated relay with the newest version that it received from its keeper.
type relay struct {
	keeper  *member
	version uint64
}

// simulation is a random run of a replicated group from its first start, with simulated time, network and disks.
type simulation struct {
	*rapid.T
	rng            *rand.Rand
	tick           int
	members        []*member
	relays         []relay
	seeds          []string
	inFlight       []packet
	faultsEnded    bool
	lossPercent    int // percentage of messages lost
	maxExtraDelay  int // largest random delay of a message, in ticks
	lastID         int // last generated number for names and ids
	lastVersion    uint64
	ackedVersion   uint64
	removalDue     map[*member]bool // leaders that check for failed voters once their last membership change is committed
	readCount      int
	lostDisks      int
	applied        map[uint64]raft.Entry // applied entries by index
	lastMembership raft.Entry            // newest applied membership change
	leaderByTerm   map[uint64]raft.ID
}

// newSimulation returns a group of three or five seeds and up to two joining members, all of them not yet started.
func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		T: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		applied: map[uint64]raft.Entry{}, leaderByTerm: map[uint64]raft.ID{}, removalDue: map[*member]bool{},
	}
	voters, joiners := 3+2*s.rng.IntN(2), s.rng.IntN(3)
	for i := range voters + joiners {
		m := &member{name: fmt.Sprint("k", i), disk: BootstrapDiskID, restartTick: s.rng.IntN(40)}
		s.members = append(s.members, m)
		if i < voters {
			s.seeds = append(s.seeds, m.name)
		} else {
			m.disk = s.newID()
		}
	}
	for _, m := range s.members {
		m.persisted.Snapshot.Members = BootstrapMembers(m.name, s.seeds)
	}
	s.lastMembership.Members = &raft.Members{Voters: s.members[0].persisted.Snapshot.Members.Voters}
	s.relays = make([]relay, 4)
	return s
}

// newID returns a name that was not used before, for a disk or a machine.
func (s *simulation) newID() string {
	s.lastID++
	return fmt.Sprint("d", s.lastID)
}

// responsive reports whether the process runs and is not frozen.
func (s *simulation) responsive(m *member) bool { return m.node != nil && s.tick >= m.frozenUntil }

// canReach reports whether a call from member a reaches member b.
func (s *simulation) canReach(a, b *member) bool {
	return a.partition == b.partition && s.responsive(b)
}

// randomMember returns one of the members at random.
func (s *simulation) randomMember() *member { return s.members[s.rng.IntN(len(s.members))] }

// start starts the process of the member with what its disk holds.
func (s *simulation) start(m *member) {
	s.lastID++
	m.node = &raft.Node{ID: m.id(), Seed: uint64(s.lastID), HeartbeatTicks: 2, Forward: true, AppendBytes: 400}
	if err := m.node.Start(m.persisted); err != nil {
		s.Fatalf("%s: start: %v", m.id(), err)
	}
	m.machine, m.pendingWrites, m.pendingReads, m.confirmedReads = state.Machine{}, map[string]uint64{}, map[string]uint64{}, nil
	s.restore(m, m.persisted.Snapshot)
}

// restore loads the snapshot into the member's state machine.
func (s *simulation) restore(m *member, snapshot raft.Snapshot) {
	if len(snapshot.Data) == 0 {
		return
	}
	if err := m.machine.Restore(snapshot.Data); err != nil {
		s.Fatalf("%s: %v", m.id(), err)
	}
}

// crash ends the process, which restarts after the given number of ticks.
func (s *simulation) crash(m *member, down int) {
	m.node, m.received = nil, nil
	m.restartTick = s.tick + 1 + down
}

// loseDisk ends the process and destroys its disk if the group tolerates that now, and reports whether it did.
func (s *simulation) loseDisk(m *member, down int) bool {
	if !s.canLoseDisk(m) {
		return false
	}
	s.lostDisks++
	s.crash(m, down)
	m.disk, m.persisted = s.newID(), raft.PersistentState{}
	return true
}

// canLoseDisk reports whether each set of voters that may be in force keeps a quorum of disks without this member's.
func (s *simulation) canLoseDisk(m *member) bool {
	diskAvailable := map[raft.ID]bool{}
	for _, other := range s.members {
		diskAvailable[other.id()] = !other.removed && other != m
	}
	sets := []raft.Members{*s.lastMembership.Members}
	for _, other := range s.members {
		for _, e := range other.persisted.Entries {
			if e.Members != nil && e.Index > s.lastMembership.Index {
				sets = append(sets, *e.Members)
			}
		}
	}
	for _, set := range sets {
		remaining := 0
		for _, id := range set.Voters {
			if diskAvailable[id] {
				remaining++
			}
		}
		if remaining < set.Quorum() {
			return false
		}
	}
	return true
}

// replaceMachine removes a machine for good and adds an empty one under another name.
func (s *simulation) replaceMachine(m *member) {
	if !s.loseDisk(m, 0) {
		return
	}
	m.removed = true
	s.members = slices.DeleteFunc(s.members, func(other *member) bool { return other == m })
	s.members = append(s.members, &member{name: "k" + s.newID(), disk: s.newID(), restartTick: s.tick + s.rng.IntN(30)})
}

// injectFault starts a random fault or ends a partition.
func (s *simulation) injectFault() {
	m, down := s.randomMember(), s.rng.IntN(50)
	switch s.rng.IntN(12) {
	case 0, 1:
		s.crash(m, down)
	case 2:
		s.loseDisk(m, down)
	case 3:
		s.replaceMachine(m)
	case 4, 5:
		m.frozenUntil = s.tick + down
	case 6, 7:
		for _, other := range s.members {
			other.partition = s.rng.IntN(2)
		}
	case 8:
		s.healPartition()
	case 9:
		s.lossPercent, s.maxExtraDelay = s.rng.IntN(30), s.rng.IntN(5)
	case 10:
		s.powerLoss(false)
	case 11:
		s.powerLoss(true)
	}
}

// powerLoss ends all processes at the same time; if disk is set, one disk may be lost as well.
func (s *simulation) powerLoss(disk bool) {
	if disk {
		s.loseDisk(s.randomMember(), s.rng.IntN(20))
	}
	for _, m := range s.members {
		if m.node != nil {
			s.crash(m, s.rng.IntN(20))
		}
	}
}

// healPartition connects all members again.
func (s *simulation) healPartition() {
	for _, m := range s.members {
		m.partition = 0
	}
}

// step advances all processes and the network by one tick.
func (s *simulation) step() {
	s.tick++
	for _, m := range s.members {
		if m.node == nil && s.tick >= m.restartTick {
			s.start(m)
		}
	}
	s.deliver()
	for _, m := range slices.Clone(s.members) {
		if !s.responsive(m) {
			continue
		}
		for _, message := range m.received {
			s.receive(m, message)
		}
		m.received = nil
		m.node.Tick()
		s.processReady(m)
		if s.responsive(m) {
			s.manageMembership(m)
		}
	}
	s.updateRelays()
}

// deliver delivers the messages that are due, in random order.
func (s *simulation) deliver() {
	var later []packet
	due := slices.DeleteFunc(s.inFlight, func(p packet) bool {
		if p.deliveryTick > s.tick {
			later = append(later, p)
			return true
		}
		return false
	})
	s.inFlight = later
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		to := s.memberByName(p.To.Name)
		if from := s.memberByName(p.From.Name); to == nil || from == nil || to.partition != from.partition || to.node == nil {
			continue
		}
		if !s.responsive(to) {
			to.received = append(to.received, p.Message)
			continue
		}
		s.receive(to, p.Message)
		s.processReady(to)
	}
}

// memberByName returns the member with the name, or nil.
func (s *simulation) memberByName(name string) *member {
	for _, m := range s.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// receive passes a message to the member's raft node.
func (s *simulation) receive(m *member, message raft.Message) {
	if m.node == nil {
		return
	}
	if err := m.node.Step(message); err != nil && !errors.Is(err, raft.ErrWrongIdentity) {
		s.Fatalf("%s: step %s: %v", m.id(), message.Type, err)
	}
}

// send puts messages into the network, which loses or delays some of them.
func (s *simulation) send(list []raft.Message) {
	for _, m := range list {
		if s.rng.IntN(100) >= s.lossPercent {
			s.inFlight = append(s.inFlight, packet{Message: m, deliveryTick: s.tick + 1 + s.rng.IntN(1+s.maxExtraDelay)})
		}
	}
}

// processReady persists, sends and applies what the raft node asks for. Rarely, the process crashes before or after
// persisting.
func (s *simulation) processReady(m *member) {
	for m.node != nil {
		r := m.node.Ready()
		if r.Empty() {
			break
		}
		s.send(r.MessagesBeforeSync)
		crashPoint := s.rng.IntN(4000)
		if s.faultsEnded {
			crashPoint = -1
		}
		if crashPoint == 0 {
			s.crash(m, s.rng.IntN(30))
			return
		}
		persist(&m.persisted, r)
		if crashPoint == 1 {
			s.crash(m, s.rng.IntN(30))
			return
		}
		s.send(r.MessagesAfterSync)
		if r.Snapshot != nil {
			s.restore(m, *r.Snapshot)
		}
		for _, e := range r.Committed {
			s.apply(m, e)
		}
		m.node.Advance()
		for _, read := range r.Reads {
			if minVersion, ok := m.pendingReads[string(read.Context)]; ok {
				m.confirmedReads = append(m.confirmedReads, confirmedRead{index: read.Index, minVersion: minVersion})
			}
		}
		if r.SnapshotNeeded {
			m.node.ProvideSnapshot(m.persisted.Snapshot)
		}
		s.compact(m)
	}
	s.checkHistory(m)
}

// persist writes the snapshot, entries and hard state of a Ready to the simulated disk.
func persist(saved *raft.PersistentState, r raft.Ready) {
	if r.Snapshot != nil {
		saved.Snapshot, saved.Entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		at := e.Index - saved.Snapshot.Index - 1
		saved.Entries = append(slices.Clip(saved.Entries[:at]), e)
	}
	if r.HardState != nil {
		saved.HardState = *r.HardState
	}
}

// apply applies a committed entry and checks that all members apply the same entry at an index.
func (s *simulation) apply(m *member, e raft.Entry) {
	if old, ok := s.applied[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.Fatalf("%s: entry %d differs: terms %d and %d", m.id(), e.Index, old.Term, e.Term)
	}
	s.applied[e.Index] = e
	if e.Members != nil && e.Index > s.lastMembership.Index {
		s.lastMembership = e
	}
	if e.Type != raft.EntryData {
		return
	}
	if out := m.machine.Apply(e.Data); out.Err != nil {
		s.Fatalf("%s: %v", m.id(), out.Err)
	}
	if version, ok := m.pendingWrites[string(e.Data)]; ok {
		delete(m.pendingWrites, string(e.Data))
		s.ackedVersion = max(s.ackedVersion, version)
	}
}

// compact takes a snapshot and truncates the log every snapshotInterval entries.
func (s *simulation) compact(m *member) {
	if m.node.Applied() < m.persisted.Snapshot.Index+snapshotInterval {
		return
	}
	data, err := m.machine.Snapshot()
	if err != nil {
		s.Fatalf("%s: %v", m.id(), err)
	}
	snapshot, ok := m.node.NewSnapshot(data)
	if !ok {
		return
	}
	m.persisted.Entries = slices.Clone(m.persisted.Entries[snapshot.Index-m.persisted.Snapshot.Index:])
	m.persisted.Snapshot = snapshot
	if err := m.node.Compact(snapshot, 2, math.MaxInt); err != nil {
		s.Fatalf("%s: %v", m.id(), err)
	}
}

// checkHistory fails the test if a read returned less than was acknowledged before it, or if a term has two leaders.
func (s *simulation) checkHistory(m *member) {
	if m.node == nil {
		return
	}
	m.confirmedReads = slices.DeleteFunc(m.confirmedReads, func(r confirmedRead) bool {
		if m.node.Applied() < r.index {
			return false
		}
		s.readCount++
		if current, _ := m.machine.Current(); current.Version < r.minVersion {
			s.Fatalf("%s: a read returns version %d; %d was acknowledged before it began", m.id(), current.Version, r.minVersion)
		}
		return true
	})
	if !m.node.IsLeader() {
		return
	}
	if other, ok := s.leaderByTerm[m.node.Term()]; ok && other != m.id() {
		s.Fatalf("term %d has the leaders %s and %s", m.node.Term(), other, m.id())
	}
	s.leaderByTerm[m.node.Term()] = m.id()
}

// manageMembership lets a member ask to join if it is not a voter, and lets the leader remove failed members.
func (s *simulation) manageMembership(m *member) {
	joinDue, removalDue := (s.tick+len(m.name))%joinTicks == 0, s.tick%removalTicks == 0
	if !joinDue && !removalDue && !s.removalDue[m] {
		return
	}
	st := m.node.Status()
	if s.removalDue[m] && st.MembersCommitted {
		// The leader checks for failed voters as soon as a new voter is promoted.
		delete(s.removalDue, m)
		removalDue = true
	}
	if joinDue && (!st.Members.IsVoter(st.ID) || st.Leader.IsZero()) {
		s.requestJoin(m)
	}
	if removalDue && st.Role == raft.Leader {
		if id, due := MemberToRemove(st.Members, st.ID, silenceOf(st)); due {
			s.propose(m, raft.ConfChange{Type: raft.Remove, ID: id})
		}
	}
}

// silenceOf returns a function that returns the time for which a member has not answered the leader.
func silenceOf(st raft.Status) func(raft.ID) time.Duration {
	return func(id raft.ID) time.Duration { return time.Duration(st.TicksSinceReply[id]) * tickLength }
}

// requestJoin asks the members in random order until one of them, or the leader that it knows, takes the request and
// proposes the next membership change, if one is due.
func (s *simulation) requestJoin(m *member) {
	for _, i := range s.rng.Perm(len(s.members)) {
		target := s.members[i]
		if target == m || !s.canReach(m, target) {
			continue
		}
		st := target.node.Status()
		if st.Role != raft.Leader {
			leader := s.memberByName(st.Leader.Name)
			if leader == nil || leader == m || !s.canReach(target, leader) {
				continue
			}
			target, st = leader, leader.node.Status()
		}
		if st.Role != raft.Leader {
			continue
		}
		if c, err := NextAdmissionChange(st, m.id(), silenceOf(st)); err == nil && c.Type != 0 {
			s.propose(target, c)
			s.removalDue[target] = s.removalDue[target] || c.Type == raft.Promote
		}
		return
	}
}

// propose proposes a membership change. A refusal is ignored, because the next attempt follows.
func (s *simulation) propose(m *member, c raft.ConfChange) {
	_ = m.node.ProposeConfChange(c)
	s.processReady(m)
}

// writeOrRead starts a write or a read at a random member.
func (s *simulation) writeOrRead() {
	m := s.randomMember()
	if !s.responsive(m) {
		return
	}
	if s.rng.IntN(2) == 0 {
		s.lastID++
		context := fmt.Sprint("read ", s.lastID)
		if m.node.ReadIndex([]byte(context)) == nil {
			m.pendingReads[context] = s.ackedVersion
		}
		s.processReady(m)
		return
	}
	s.lastVersion++
	e := state.LogEntry{Version: s.lastVersion, Document: fmt.Appendf(nil, "document %d at %d%s", s.lastVersion, s.tick, strings.Repeat(" ", s.rng.IntN(200)))}
	data, err := e.Encode()
	if err != nil {
		s.Fatal(err)
	}
	if m.node.Propose(data) == nil {
		m.pendingWrites[string(data)] = e.Version
	}
	s.processReady(m)
}

// updateRelays sends each relay the version that its keeper has applied; a relay whose keeper does not respond chooses
// another one.
func (s *simulation) updateRelays() {
	for i := range s.relays {
		r := &s.relays[i]
		if r.keeper == nil || !s.responsive(r.keeper) || s.rng.IntN(50) == 0 {
			r.keeper = s.randomMember()
		}
		if !s.responsive(r.keeper) {
			continue
		}
		if current, ok := r.keeper.machine.Current(); ok && current.Version > r.version {
			r.version = current.Version
		}
	}
}
