package form

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wasabiweir/core/raft"
	"wasabiweir/core/state"

	"pgregory.net/rapid"
)

// member is a keeper process with its disk.
type member struct {
	name    string
	disk    string
	node    *raft.Node // nil while the process is down
	saved   raft.Saved // what survives a crash
	machine state.Machine
	back    int  // tick of the next start, while it is down
	woken   int  // tick until which it is frozen
	side    int  // part of the network that it is in
	gone    bool // the machine never comes back
	queue   []raft.Message
	puts    map[string]uint64 // proposals that wait to be applied here: their version, by data
	reads   map[string]uint64 // reads that wait for a quorum: the version acknowledged when they began
	waiting []waitingRead     // reads that wait until their index is applied
}

type waitingRead struct{ index, floor uint64 }

func (m *member) id() raft.ID { return raft.ID{Name: m.name, Disk: m.disk} }

// packet is a message under way.
type packet struct {
	raft.Message
	due int
}

// relay holds the newest state that a keeper fed it.
type relay struct {
	keeper  *member
	version uint64
}

// schedule is a random run of a group, from its first start on.
type schedule struct {
	*rapid.T
	rng     *rand.Rand
	now     int
	members []*member
	relays  []relay
	seeds   []string
	net     []packet
	healed  bool
	lossy   int // messages lost of 100
	slow    int // further ticks that a message may take
	named   int // names and disk ids drawn
	put     uint64
	acked   uint64
	tidied  map[*member]bool // leaders that look for voters that are gone next
	reads   int
	losses  int
	log     map[uint64]raft.Entry // applied entries by index
	newest  raft.Entry            // newest applied change of the members
	leaders map[uint64]raft.ID
}

func newSchedule(t *rapid.T) *schedule {
	s := &schedule{
		T: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		log: map[uint64]raft.Entry{}, leaders: map[uint64]raft.ID{}, tidied: map[*member]bool{},
	}
	founders, joiners := 3+2*s.rng.IntN(2), s.rng.IntN(3)
	for i := range founders + joiners {
		m := &member{name: fmt.Sprint("k", i), disk: FirstDisk, back: s.rng.IntN(40)}
		s.members = append(s.members, m)
		if i < founders {
			s.seeds = append(s.seeds, m.name)
		} else {
			m.disk = s.fresh()
		}
	}
	for _, m := range s.members {
		m.saved.Snapshot.Members = Founders(m.name, s.seeds)
	}
	s.newest.Members = &raft.Members{Voters: s.members[0].saved.Snapshot.Members.Voters}
	s.relays = make([]relay, 4)
	return s
}

func (s *schedule) fresh() string {
	s.named++
	return fmt.Sprint("d", s.named)
}

func (s *schedule) live(m *member) bool { return m.node != nil && s.now >= m.woken }

// reach reports whether a call of one member reaches the other.
func (s *schedule) reach(a, b *member) bool { return a.side == b.side && s.live(b) }

func (s *schedule) any() *member { return s.members[s.rng.IntN(len(s.members))] }

func (s *schedule) start(m *member) {
	s.named++
	m.node = &raft.Node{ID: m.id(), Seed: uint64(s.named), HeartbeatTicks: 2, Forward: true, AppendBytes: 400}
	if err := m.node.Start(m.saved); err != nil {
		s.Fatalf("%s: start: %v", m.id(), err)
	}
	m.machine, m.puts, m.reads, m.waiting = state.Machine{}, map[string]uint64{}, map[string]uint64{}, nil
	s.restore(m, m.saved.Snapshot)
}

func (s *schedule) restore(m *member, snapshot raft.Snapshot) {
	if len(snapshot.Data) == 0 {
		return
	}
	if err := m.machine.Restore(snapshot.Data); err != nil {
		s.Fatalf("%s: %v", m.id(), err)
	}
}

func (s *schedule) crash(m *member, down int) {
	m.node, m.queue = nil, nil
	m.back = s.now + 1 + down
}

// lose destroys a disk, if the group may lose one now, and reports whether it did.
func (s *schedule) lose(m *member, down int) bool {
	if !s.mayLose(m) {
		return false
	}
	s.losses++
	s.crash(m, down)
	m.disk, m.saved = s.fresh(), raft.Saved{}
	return true
}

// mayLose reports whether each set of members that may be in force keeps a quorum of disks without this one.
func (s *schedule) mayLose(m *member) bool {
	disks := map[raft.ID]bool{}
	for _, other := range s.members {
		disks[other.id()] = !other.gone && other != m
	}
	sets := []raft.Members{*s.newest.Members}
	for _, other := range s.members {
		for _, e := range other.saved.Entries {
			if e.Members != nil && e.Index > s.newest.Index {
				sets = append(sets, *e.Members)
			}
		}
	}
	for _, set := range sets {
		left := 0
		for _, id := range set.Voters {
			if disks[id] {
				left++
			}
		}
		if left < set.Quorum() {
			return false
		}
	}
	return true
}

// replace takes a machine away for good and adds an empty one under another name.
func (s *schedule) replace(m *member) {
	if !s.lose(m, 0) {
		return
	}
	m.gone = true
	s.members = slices.DeleteFunc(s.members, func(other *member) bool { return other == m })
	s.members = append(s.members, &member{name: "k" + s.fresh(), disk: s.fresh(), back: s.now + s.rng.IntN(30)})
}

// fault begins a random disturbance.
func (s *schedule) fault() {
	m, down := s.any(), s.rng.IntN(50)
	switch s.rng.IntN(12) {
	case 0, 1:
		s.crash(m, down)
	case 2:
		s.lose(m, down)
	case 3:
		s.replace(m)
	case 4, 5:
		m.woken = s.now + down
	case 6, 7:
		for _, other := range s.members {
			other.side = s.rng.IntN(2)
		}
	case 8:
		s.connect()
	case 9:
		s.lossy, s.slow = s.rng.IntN(30), s.rng.IntN(5)
	case 10:
		s.powerLoss(false)
	case 11:
		s.powerLoss(true)
	}
}

// powerLoss ends all processes at once; a disk may be lost with it.
func (s *schedule) powerLoss(disk bool) {
	if disk {
		s.lose(s.any(), s.rng.IntN(20))
	}
	for _, m := range s.members {
		if m.node != nil {
			s.crash(m, s.rng.IntN(20))
		}
	}
}

func (s *schedule) connect() {
	for _, m := range s.members {
		m.side = 0
	}
}

// step is one tick of all processes and of the network.
func (s *schedule) step() {
	s.now++
	for _, m := range s.members {
		if m.node == nil && s.now >= m.back {
			s.start(m)
		}
	}
	s.deliver()
	for _, m := range slices.Clone(s.members) {
		if !s.live(m) {
			continue
		}
		for _, message := range m.queue {
			s.take(m, message)
		}
		m.queue = nil
		m.node.Tick()
		s.work(m)
		if s.live(m) {
			s.manage(m)
		}
	}
	s.feed()
}

func (s *schedule) deliver() {
	var later []packet
	due := slices.DeleteFunc(s.net, func(p packet) bool {
		if p.due > s.now {
			later = append(later, p)
			return true
		}
		return false
	})
	s.net = later
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		to := s.find(p.To.Name)
		if from := s.find(p.From.Name); to == nil || from == nil || to.side != from.side || to.node == nil {
			continue
		}
		if !s.live(to) {
			to.queue = append(to.queue, p.Message)
			continue
		}
		s.take(to, p.Message)
		s.work(to)
	}
}

func (s *schedule) find(name string) *member {
	for _, m := range s.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (s *schedule) take(m *member, message raft.Message) {
	if m.node == nil {
		return
	}
	if err := m.node.Step(message); err != nil && !errors.Is(err, raft.ErrIdentity) {
		s.Fatalf("%s: step %s: %v", m.id(), message.Type, err)
	}
}

func (s *schedule) send(list []raft.Message) {
	for _, m := range list {
		if s.rng.IntN(100) >= s.lossy {
			s.net = append(s.net, packet{Message: m, due: s.now + 1 + s.rng.IntN(1+s.slow)})
		}
	}
}

// work does what the node asks for; a rare crash hits between its steps.
func (s *schedule) work(m *member) {
	for m.node != nil {
		r := m.node.Ready()
		if r.Empty() {
			break
		}
		s.send(r.Early)
		point := s.rng.IntN(4000)
		if s.healed {
			point = -1
		}
		if point == 0 {
			s.crash(m, s.rng.IntN(30))
			return
		}
		save(&m.saved, r)
		if point == 1 {
			s.crash(m, s.rng.IntN(30))
			return
		}
		s.send(r.Messages)
		if r.Snapshot != nil {
			s.restore(m, *r.Snapshot)
		}
		for _, e := range r.Committed {
			s.apply(m, e)
		}
		m.node.Advance()
		for _, read := range r.Reads {
			if floor, ok := m.reads[string(read.Context)]; ok {
				m.waiting = append(m.waiting, waitingRead{index: read.Index, floor: floor})
			}
		}
		if r.Wanted {
			m.node.Provide(m.saved.Snapshot)
		}
		s.compact(m)
	}
	s.check(m)
}

func save(saved *raft.Saved, r raft.Ready) {
	if r.Snapshot != nil {
		saved.Snapshot, saved.Entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		at := e.Index - saved.Snapshot.Index - 1
		saved.Entries = append(slices.Clip(saved.Entries[:at]), e)
	}
	if r.Hard != nil {
		saved.Hard = *r.Hard
	}
}

func (s *schedule) apply(m *member, e raft.Entry) {
	if old, ok := s.log[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.Fatalf("%s: entry %d differs: terms %d and %d", m.id(), e.Index, old.Term, e.Term)
	}
	s.log[e.Index] = e
	if e.Members != nil && e.Index > s.newest.Index {
		s.newest = e
	}
	if e.Type != raft.EntryData {
		return
	}
	if out := m.machine.Apply(e.Data); out.Err != nil {
		s.Fatalf("%s: %v", m.id(), out.Err)
	}
	if version, ok := m.puts[string(e.Data)]; ok {
		delete(m.puts, string(e.Data))
		s.acked = max(s.acked, version)
	}
}

func (s *schedule) compact(m *member) {
	if m.node.Applied() < m.saved.Snapshot.Index+compactEvery {
		return
	}
	data, err := m.machine.Snapshot()
	if err != nil {
		s.Fatalf("%s: %v", m.id(), err)
	}
	snapshot, ok := m.node.Capture(data)
	if !ok {
		return
	}
	m.saved.Entries = slices.Clone(m.saved.Entries[snapshot.Index-m.saved.Snapshot.Index:])
	m.saved.Snapshot = snapshot
	if err := m.node.Compact(snapshot, 2); err != nil {
		s.Fatalf("%s: %v", m.id(), err)
	}
}

// check compares a member with the history.
func (s *schedule) check(m *member) {
	if m.node == nil {
		return
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(r waitingRead) bool {
		if m.node.Applied() < r.index {
			return false
		}
		s.reads++
		if held, _ := m.machine.Held(); held.Version < r.floor {
			s.Fatalf("%s: a read returns version %d; %d was acknowledged before it began", m.id(), held.Version, r.floor)
		}
		return true
	})
	if !m.node.Leads() {
		return
	}
	if other, ok := s.leaders[m.node.Term()]; ok && other != m.id() {
		s.Fatalf("term %d has the leaders %s and %s", m.node.Term(), other, m.id())
	}
	s.leaders[m.node.Term()] = m.id()
}

// manage does what a keeper does beside its log: it asks for membership, and the leader removes who is gone.
func (s *schedule) manage(m *member) {
	asks, tidies := (s.now+len(m.name))%joinTicks == 0, s.now%tidyTicks == 0
	if !asks && !tidies && !s.tidied[m] {
		return
	}
	st := m.node.Status()
	if s.tidied[m] && st.Committed {
		// The leader looks for voters that are gone as soon as a newcomer is promoted.
		delete(s.tidied, m)
		tidies = true
	}
	if asks && (!st.Members.IsVoter(st.ID) || st.Leader.IsZero()) {
		s.join(m)
	}
	if tidies && st.Role == raft.Leader {
		if id, due := Gone(st.Members, st.ID, silence(st)); due {
			s.propose(m, raft.ConfChange{Type: raft.Remove, ID: id})
		}
	}
}

func silence(st raft.Status) func(raft.ID) time.Duration {
	return func(id raft.ID) time.Duration { return time.Duration(st.Silent[id]) * tick }
}

// join asks the members in turn until one makes a step, itself or through the leader that it knows.
func (s *schedule) join(m *member) {
	for _, i := range s.rng.Perm(len(s.members)) {
		asked := s.members[i]
		if asked == m || !s.reach(m, asked) {
			continue
		}
		st := asked.node.Status()
		if st.Role != raft.Leader {
			leader := s.find(st.Leader.Name)
			if leader == nil || leader == m || !s.reach(asked, leader) {
				continue
			}
			asked, st = leader, leader.node.Status()
		}
		if st.Role != raft.Leader {
			continue
		}
		if c, err := Admission(st, m.id(), silence(st)); err == nil && c.Type != 0 {
			s.propose(asked, c)
			s.tidied[asked] = s.tidied[asked] || c.Type == raft.Promote
		}
		return
	}
}

// propose ignores a refusal, after which the next attempt follows.
func (s *schedule) propose(m *member, c raft.ConfChange) {
	_ = m.node.ProposeConfChange(c)
	s.work(m)
}

// operate puts a state or reads one at a random member.
func (s *schedule) operate() {
	m := s.any()
	if !s.live(m) {
		return
	}
	if s.rng.IntN(2) == 0 {
		s.named++
		context := fmt.Sprint("read ", s.named)
		if m.node.ReadIndex([]byte(context)) == nil {
			m.reads[context] = s.acked
		}
		s.work(m)
		return
	}
	s.put++
	e := state.Entry{Version: s.put, Document: fmt.Appendf(nil, "document %d at %d%s", s.put, s.now, strings.Repeat(" ", s.rng.IntN(200)))}
	data, err := e.Encode()
	if err != nil {
		s.Fatal(err)
	}
	if m.node.Propose(data) == nil {
		m.puts[string(data)] = e.Version
	}
	s.work(m)
}

// feed brings relays what their keepers have applied; a relay whose keeper is gone takes another one.
func (s *schedule) feed() {
	for i := range s.relays {
		r := &s.relays[i]
		if r.keeper == nil || !s.live(r.keeper) || s.rng.IntN(50) == 0 {
			r.keeper = s.any()
		}
		if !s.live(r.keeper) {
			continue
		}
		if held, ok := r.keeper.machine.Held(); ok && held.Version > r.version {
			r.version = held.Version
		}
	}
}
