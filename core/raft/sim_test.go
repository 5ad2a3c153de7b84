package raft

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"

	_ "wasabiweir/core/prop"
)

// failureReporter is the part of testing.T and rapid.T that the simulation uses.
type failureReporter interface {
	Fatalf(format string, args ...any)
}

// requireNoError fails the test if err is not nil.
func requireNoError(t failureReporter, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}

// requireError fails the test unless err wraps want.
func requireError(t failureReporter, err, want error) {
	if !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
}

// peer is a simulated group member; its state machine is a hash of all applied data.
type peer struct {
	id     ID
	node   *Node           // nil while the peer is down
	saved  PersistentState // persistent state, which survives a crash
	paused bool            // whether the peer neither ticks nor receives messages
	hash   uint64          // state of the state machine
}

// save stores the snapshot, entries and hard state of r in the peer's persistent state.
func (p *peer) save(r Ready) {
	if r.Snapshot != nil {
		p.saved.Snapshot = *r.Snapshot
		p.saved.Entries = nil
	}
	for _, e := range r.Entries {
		at := e.Index - p.saved.Snapshot.Index - 1
		p.saved.Entries = append(slices.Clip(p.saved.Entries[:at]), e)
	}
	if r.HardState != nil {
		p.saved.HardState = *r.HardState
	}
}

// simulation holds a group of peers, the network between them, and the observed history that later states must agree
// with.
type simulation struct {
	t              failureReporter
	peers          []*peer           // current members of the simulation, running or down
	inTransit      []Message         // messages that are sent and not delivered
	partitioned    map[string]bool   // names of peers whose messages are lost in both directions
	uniqueNumber   uint64            // last number used for a seed, a disk or a new peer
	leaderByTerm   map[uint64]ID     // leader of each term
	committed      map[uint64]Entry  // committed entries by index
	stateByIndex   map[uint64]uint64 // state machine hash by applied index
	highestCommit  uint64            // highest commit index that any peer has reported
	minReadIndex   map[string]uint64 // by read context: commit index that the read must reach
	answeredReads  map[string]uint64 // by read context: index of the answer
	readCount      int               // reads started so far
	inFlightBytes  int               // InFlightBytes of the nodes
	deliveryRounds int               // number of times that all messages in transit were delivered
}

// newSimulation starts a group with a number of voters, named p0, p1 and so on.
func newSimulation(t failureReporter, voters int) *simulation {
	s := &simulation{
		t: t, partitioned: map[string]bool{}, leaderByTerm: map[uint64]ID{}, committed: map[uint64]Entry{},
		stateByIndex: map[uint64]uint64{}, minReadIndex: map[string]uint64{}, answeredReads: map[string]uint64{},
	}
	var members Members
	for i := range voters {
		members.Voters = append(members.Voters, ID{Name: fmt.Sprint("p", i), Disk: "0"})
	}
	for _, id := range members.Voters {
		s.addPeer(id, PersistentState{Snapshot: Snapshot{Members: members}})
	}
	return s
}

// newLedSimulation starts a group with a number of voters and returns it with its leader.
func newLedSimulation(t failureReporter, voters int) (*simulation, *peer) {
	s := newSimulation(t, voters)
	return s, s.electLeader()
}

// addPeer adds a peer with the given persistent state and starts it.
func (s *simulation) addPeer(id ID, saved PersistentState) *peer {
	p := &peer{id: id, saved: saved}
	s.peers = append(s.peers, p)
	s.startPeer(p)
	return p
}

// startPeer starts a peer from its persistent state.
func (s *simulation) startPeer(p *peer) {
	s.uniqueNumber++
	p.node = &Node{ID: p.id, Seed: s.uniqueNumber, AppendBytes: 200, InFlight: 4, InFlightBytes: s.inFlightBytes, Forward: true}
	requireNoError(s.t, p.node.Start(p.saved))
	p.hash = 0
	if data := p.saved.Snapshot.Data; len(data) > 0 {
		s.restore(p, data)
	}
}

// snapshotBytes is the size of a simulated snapshot, which repeats the state's hash and is sent in several chunks.
const snapshotBytes = 120 * 8

// restore sets the peer's state machine to a snapshot, and requires that the snapshot is undamaged.
func (s *simulation) restore(p *peer, data []byte) {
	p.hash = binary.LittleEndian.Uint64(data)
	if !bytes.Equal(data, bytes.Repeat(data[:8], snapshotBytes/8)) {
		s.t.Fatalf("%s: a snapshot of %d bytes is damaged", p.id, len(data))
	}
}

// crash stops a peer; only its persistent state remains.
func (s *simulation) crash(p *peer) { p.node = nil }

// loseDisk replaces a peer by one with the same name, an empty disk and, unless keepIdentity is set, a new identity.
func (s *simulation) loseDisk(p *peer, keepIdentity bool) *peer {
	s.crash(p)
	s.peers = slices.DeleteFunc(s.peers, func(other *peer) bool { return other == p })
	id := p.id
	saved := PersistentState{}
	if keepIdentity {
		saved.Snapshot.Members = s.peers[0].saved.Snapshot.Members
	} else {
		s.uniqueNumber++
		id.Disk = fmt.Sprint(s.uniqueNumber)
	}
	return s.addPeer(id, saved)
}

// isRunning reports whether the peer is neither down nor paused.
func (s *simulation) isRunning(p *peer) bool { return p.node != nil && !p.paused }

// peerByName returns the peer with the name in id, whatever its disk, or nil if there is none.
func (s *simulation) peerByName(id ID) *peer {
	for _, p := range s.peers {
		if p.id.Name == id.Name {
			return p
		}
	}
	return nil
}

// send puts messages on the network, except for those from or to a partitioned peer.
func (s *simulation) send(messages []Message) {
	for _, m := range messages {
		s.checkSize(m)
		if !s.partitioned[m.From.Name] && !s.partitioned[m.To.Name] {
			s.inTransit = append(s.inTransit, m)
		}
	}
}

// checkSize requires that a message is within AppendBytes, unless it holds a single entry.
func (s *simulation) checkSize(m Message) {
	size := 0
	for i := range m.Entries {
		size += m.Entries[i].approxEncodedSize()
	}
	if m.Snapshot != nil {
		size = len(m.Snapshot.Data)
	}
	if p := s.peerByName(m.From); len(m.Entries) != 1 && size > p.node.AppendBytes {
		s.t.Fatalf("%s: an append of %d bytes exceeds %d", m.From, size, p.node.AppendBytes)
	}
}

// deliver passes a message to the peer with the receiver's name, whose disk may have been replaced since.
func (s *simulation) deliver(m Message) {
	p := s.peerByName(m.To)
	if p == nil || !s.isRunning(p) || s.partitioned[m.From.Name] || s.partitioned[m.To.Name] {
		return
	}
	if err := p.node.Step(m); err != nil && !errors.Is(err, ErrWrongIdentity) {
		s.t.Fatalf("%s: step %s from %s: %v", p.id, m.Type, m.From, err)
	}
	s.checkInvariants(p)
}

// processReady does the work that Ready returns until none is left. The peer crashes before the save if crashPoint is
// 1, after the save if it is 2, after its messages are sent if it is 3, and not at all if it is 0.
func (s *simulation) processReady(p *peer, crashPoint int) {
	for s.isRunning(p) {
		r := p.node.Ready()
		if r.Empty() {
			return
		}
		if r.HardState != nil && r.HardState.Term != p.saved.HardState.Term && len(r.MessagesBeforeSync) > 0 {
			s.t.Fatalf("%s: messages of term %d leave before it is synced", p.id, r.HardState.Term)
		}
		s.send(r.MessagesBeforeSync)
		if crashPoint == 1 {
			s.crash(p)
			return
		}
		if !r.Sync && (r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil) {
			s.t.Fatalf("%s: state to save without a sync", p.id)
		}
		p.save(r)
		if crashPoint == 2 {
			s.crash(p)
			return
		}
		s.send(r.MessagesAfterSync)
		if crashPoint == 3 {
			s.crash(p)
			return
		}
		s.applyReady(p, r)
		p.node.Advance()
		if r.SnapshotNeeded {
			p.node.ProvideSnapshot(p.saved.Snapshot)
		}
		s.checkInvariants(p)
	}
}

// applyReady applies a snapshot and committed entries to the peer's state machine, and checks them and the confirmed
// reads against the history.
func (s *simulation) applyReady(p *peer, r Ready) {
	if r.Snapshot != nil {
		s.restore(p, r.Snapshot.Data)
		s.compareState(p, r.Snapshot.Index)
	}
	for _, e := range r.Committed {
		if old, ok := s.committed[e.Index]; ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
			s.t.Fatalf("%s: committed entry %d changed from term %d to %d", p.id, e.Index, old.Term, e.Term)
		}
		s.committed[e.Index] = e
		h := fnv.New64a()
		h.Write(binary.LittleEndian.AppendUint64(nil, p.hash))
		h.Write(e.Data)
		p.hash = h.Sum64()
		s.compareState(p, e.Index)
	}
	for _, read := range r.Reads {
		minIndex, ok := s.minReadIndex[string(read.Context)]
		if ok && read.Index < minIndex {
			s.t.Fatalf("%s: a read of index %d began after %d was committed", p.id, read.Index, minIndex)
		}
		s.answeredReads[string(read.Context)] = read.Index
	}
}

// compareState requires that all peers have the same state machine hash at an index.
func (s *simulation) compareState(p *peer, index uint64) {
	if old, ok := s.stateByIndex[index]; ok && old != p.hash {
		s.t.Fatalf("%s: the state at entry %d differs", p.id, index)
	}
	s.stateByIndex[index] = p.hash
}

// checkInvariants requires that each term has one leader and that a leader commits only entries that it has synced.
func (s *simulation) checkInvariants(p *peer) {
	st := p.node.Status()
	s.highestCommit = max(s.highestCommit, st.Commit)
	if st.Role != Leader {
		return
	}
	if other, ok := s.leaderByTerm[st.Term]; ok && other != p.id {
		s.t.Fatalf("term %d has the leaders %s and %s", st.Term, other, p.id)
	}
	s.leaderByTerm[st.Term] = p.id
	if st.Commit > p.node.log.syncedIndex {
		s.t.Fatalf("%s: committed %d before the sync of its own copy", p.id, st.Commit)
	}
}

// compactLog takes a snapshot of the peer and compacts its log, except for the last keep entries, of keepBytes together.
func (s *simulation) compactLog(p *peer, keep uint64, keepBytes int) {
	snapshot, ok := p.node.NewSnapshot(bytes.Repeat(binary.LittleEndian.AppendUint64(nil, p.hash), snapshotBytes/8))
	if !ok || snapshot.Index <= p.saved.Snapshot.Index {
		return
	}
	p.saved.Entries = p.saved.Entries[snapshot.Index-p.saved.Snapshot.Index:]
	p.saved.Snapshot = snapshot
	requireNoError(s.t, p.node.Compact(snapshot, keep, keepBytes))
}

// startRead starts a read on the peer and returns the read's context.
func (s *simulation) startRead(p *peer) string {
	s.readCount++
	context := fmt.Sprint("read ", s.readCount)
	if p.node.ReadIndex([]byte(context)) == nil {
		s.minReadIndex[context] = s.highestCommit
	}
	return context
}

// runTicks advances all running peers by a number of ticks and delivers all messages in order after each tick.
func (s *simulation) runTicks(ticks int) {
	for range ticks {
		for _, p := range s.peers {
			if s.isRunning(p) {
				p.node.Tick()
				s.checkInvariants(p)
			}
		}
		s.deliverAll()
	}
}

// deliverAll does all pending work and delivers messages until none are in transit.
func (s *simulation) deliverAll() {
	for {
		for _, p := range s.peers {
			s.processReady(p, 0)
		}
		if len(s.inTransit) == 0 {
			return
		}
		inTransit := s.inTransit
		s.inTransit = nil
		s.deliveryRounds++
		for _, m := range inTransit {
			s.deliver(m)
		}
	}
}

// leader returns the running leader with the highest term, leaving out partitioned peers, or nil if there is none.
func (s *simulation) leader() *peer {
	var best *peer
	for _, p := range s.peers {
		if !s.isRunning(p) || s.partitioned[p.id.Name] || p.node.role != Leader {
			continue
		}
		if best == nil || p.node.term > best.node.term {
			best = p
		}
	}
	return best
}

// electLeader runs the group until a leader has committed an entry of its term, and returns that leader.
func (s *simulation) electLeader() *peer {
	for range 20 {
		s.runTicks(10)
		if p := s.leader(); p != nil && p.node.log.commitIndex >= p.node.leaderState.firstIndex {
			return p
		}
	}
	s.t.Fatalf("no leader after 200 ticks:%s", s.peerStatuses())
	return nil
}

// peerStatuses returns the status of each peer as text for the message of a failed check.
func (s *simulation) peerStatuses() (out string) {
	for _, p := range s.peers {
		if p.node != nil {
			out += fmt.Sprintf("\n%+v", p.node.Status())
		}
	}
	return out
}

// followers returns all running peers other than the given leader.
func (s *simulation) followers(leader *peer) []*peer {
	return slices.DeleteFunc(slices.Clone(s.peers), func(p *peer) bool { return p == leader || !s.isRunning(p) })
}

// proposeAndCommit proposes data to the peer and requires that it is committed within two ticks.
func (s *simulation) proposeAndCommit(p *peer, data string) {
	requireNoError(s.t, p.node.Propose([]byte(data)))
	s.runTicks(2)
	if !s.isCommitted(data) {
		s.t.Fatalf("%s: %q is not committed:%s", p.id, data, s.peerStatuses())
	}
}

// requireCaughtUp requires that the peer has applied all entries that the leader has committed.
func (s *simulation) requireCaughtUp(p, leader *peer) {
	if p.node.log.appliedIndex != leader.node.log.commitIndex {
		s.t.Fatalf("%s applied %d of %d", p.id, p.node.log.appliedIndex, leader.node.log.commitIndex)
	}
}

// isCommitted reports whether any committed entry holds the data.
func (s *simulation) isCommitted(data string) bool {
	for _, e := range s.committed {
		if string(e.Data) == data {
			return true
		}
	}
	return false
}

// changeMembers proposes a membership change to the peer and runs the group for three ticks.
func (s *simulation) changeMembers(p *peer, c ConfChange) {
	requireNoError(s.t, p.node.ProposeConfChange(c))
	s.runTicks(3)
}
