package itest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/config"
)

// accountAdders are concurrent workers that each add accounts one by one through different control processes.
type accountAdders struct {
	system   *system
	deadline time.Time
	wg       sync.WaitGroup
	mu       sync.Mutex
	accepted []string // names of the accounts added
	highest  uint64   // highest revision of an accepted change
}

// run adds the accounts of one worker and records the accepted ones.
func (c *accountAdders) run(worker, changes int) {
	defer c.wg.Done()
	n := len(c.system.operatorAddresses)
	order := append(slices.Clone(c.system.operatorAddresses[worker%n:]), c.system.operatorAddresses[:worker%n]...)
	for i := range changes {
		name := fmt.Sprintf("worker-%d-change-%d", worker, i)
		outcome, err := addAccount(order, name, c.deadline)
		if err != nil {
			c.system.t.Errorf("%s: %v", name, err)
			return
		}
		c.mu.Lock()
		c.accepted = append(c.accepted, name)
		c.highest = max(c.highest, outcome.Revision)
		c.mu.Unlock()
	}
}

// Guards against the loss of acknowledged changes, and against routers that go back to an older revision, when the
// leader is killed while changes arrive through all members.
func TestLeaderKilledDuringChanges(t *testing.T) {
	const workers, changes = 6, 8
	s := newSystem(t, systemSpec{controls: 3, routers: 8})
	w := s.watchRevisions()
	c := &accountAdders{system: s, deadline: time.Now().Add(40 * time.Second)}
	for i := range workers {
		c.wg.Add(1)
		go c.run(i, changes)
	}
	time.Sleep(300 * time.Millisecond)
	leader := s.leaderIndex()
	s.controls[leader].kill()
	c.wg.Wait()
	for _, a := range s.operatorsExcept(leader) {
		s.verifyAccounts(a, c.accepted)
	}
	s.waitInForce(c.highest, 5*time.Second)
	s.controls[leader].launch()
	eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
	s.verifyAccounts(s.operatorAddresses[leader], c.accepted)
	w.finish()

	// A leader that is stopped with a signal hands its leadership over, so that no election timeout passes.
	leader = s.leaderIndex()
	s.controls[leader].stop()
	if log := s.controls[leader].logText(); !strings.Contains(log, "leadership-transferred") {
		t.Errorf("the leader stopped without handing over:\n%s", lastLines(log, 20))
	}
	s.mustAddAccount(s.operatorsExcept(leader), "after-planned-stop")
	s.controls[leader].launch()
	eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })

	s.verifyPropagationTimes("all members", s.operatorAddresses)
	down := s.leaderIndex()
	s.controls[down].kill()
	s.waitForLeader(s.operatorsExcept(down))
	s.waitInForce(s.mustAddAccount(s.operatorsExcept(down), "after-second-kill").Revision, 5*time.Second)
	s.verifyPropagationTimes("one member down", s.operatorsExcept(down))
}

// waitForLeader waits until the first of the processes confirms a revision, for which it needs a leader.
func (s *system) waitForLeader(addresses []string) {
	s.t.Helper()
	eventually(s.t, startTimeout, func() error {
		_, err := confirmedRevision(addresses[0])
		return err
	})
}

// inForceTarget is the longest time from the acceptance of a change until 8 routers apply it, with one member down.
const inForceTarget = 2 * time.Second

// verifyPropagationTimes measures the time from the acceptance of a change until all routers apply it, and checks it
// against inForceTarget.
func (s *system) verifyPropagationTimes(label string, addresses []string) {
	s.t.Helper()
	const changes = 30
	var times []time.Duration
	for i := range changes {
		p := s.mustAddAccount(addresses, strings.ReplaceAll(fmt.Sprintf("%s-%d", label, i), " ", "-"))
		times = append(times, s.waitInForce(p.Revision, 10*time.Second))
	}
	slices.Sort(times)
	s.t.Logf("acceptance to in force at %d routers, %s, %d changes: p50 %s, p99 %s, max %s", len(s.routerAddresses), label, changes,
		quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1))
	if longest := quantile(times, 1); longest > inForceTarget {
		s.t.Errorf("%s: a change took %s to be in force at each router, the target is %s", label, longest, inForceTarget)
	}
}

// Guards against a resent change that is applied twice or gets another outcome, two operators whose changes to the same
// revision both succeed, and a paused leader whose earlier decisions take effect after a new one was elected.
func TestResendConflictAndPausedLeader(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 3, routers: 4})
	w := s.watchRevisions()
	deadline := time.Now().Add(40 * time.Second)

	// The process is killed while it handles the change, so that the operator does not learn the outcome.
	base, err := confirmedRevision(s.operatorAddresses[1])
	if err != nil {
		t.Fatal(err)
	}
	change := accountChange("resent", base, "resent")
	l := &unansweredChange{address: s.operatorAddresses[1], change: change}
	l.wg.Add(1)
	go l.run()
	time.Sleep(10 * time.Millisecond)
	s.controls[1].kill()
	l.wg.Wait()
	others := s.operatorsExcept(1)
	first, err := resendUntilAnswered(others, 0, change, deadline)
	if err != nil || first.Status != config.StatusAccepted || first.Revision != base+1 {
		t.Fatalf("resend: %+v %v", first, err)
	}
	s.controls[1].launch()
	eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
	for _, a := range s.operatorAddresses {
		again, err := publishChange(a, change)
		if err != nil || again.Status != first.Status || again.Revision != first.Revision || !again.Repeat {
			t.Errorf("resend at %s: %+v %v, want revision %d again", a, again, err, first.Revision)
		}
	}

	r := &revisionRace{system: s, base: first.Revision, outcomes: map[config.ChangeStatus]int{}}
	for i := range 2 {
		r.wg.Add(1)
		go r.run(i)
	}
	r.wg.Wait()
	if r.outcomes[config.StatusAccepted] != 1 || r.outcomes[config.StatusConflict] != 1 {
		t.Errorf("two operators on revision %d: %v, want one accepted and one conflict", r.base, r.outcomes)
	}

	leader := s.leaderIndex()
	s.controls[leader].signal(syscall.SIGSTOP)
	rest := s.operatorsExcept(leader)
	p := s.mustAddAccount(rest, "while-paused")
	s.waitInForce(p.Revision, 10*time.Second)
	s.controls[leader].signal(syscall.SIGCONT)
	s.waitInForce(s.mustAddAccount(s.operatorAddresses, "after-pause").Revision, 10*time.Second)
	eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
	s.verifyAccounts(s.operatorAddresses[leader], []string{"resent", "while-paused", "after-pause"})
	w.finish()
}

// unansweredChange sends a change and ignores the reply, which the test expects to be lost.
type unansweredChange struct {
	address, change string
	wg              sync.WaitGroup
}

// run sends the change.
func (l *unansweredChange) run() {
	defer l.wg.Done()
	_, _ = publishChange(l.address, l.change)
}

// revisionRace lets two operators send changes to the same base revision at different processes, and counts the
// outcomes.
type revisionRace struct {
	system   *system
	base     uint64
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes map[config.ChangeStatus]int
}

// run sends the change of the i-th operator.
func (r *revisionRace) run(i int) {
	defer r.wg.Done()
	name := fmt.Sprintf("racer-%d", i)
	p, err := publishChange(r.system.operatorAddresses[i], accountChange(name, r.base, name))
	if err != nil {
		r.system.t.Errorf("%s: %v", name, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[p.Status]++
}

// failoverLimit is the time in which a router must switch from a member that was cut off to another one: it switches
// after 2 s without a proof that its configuration is current, and once more if the next member has no leader yet.
const failoverLimit = 5 * time.Second

// Guards against a router that keeps following a member which was silently cut off from the others, and against an
// older revision after it has switched.
func TestMemberSilentlyCutOff(t *testing.T) {
	t.Parallel()
	c := newProxyNetwork()
	s := newSystem(t, systemSpec{controls: 3, routers: 4, controlNetwork: c})
	w := s.watchRevisions()
	for at := range 3 {
		c.setCut(at, true)
		cut := time.Now()
		p := s.mustAddAccount(s.operatorsExcept(at), fmt.Sprintf("cut-%d", at))
		accepted := time.Since(cut)
		s.waitInForce(p.Revision, failoverLimit)
		t.Logf("control-%d cut off: a change was accepted after %s and in force at each router after %s", at+1, accepted, time.Since(cut))
		if _, err := s.readConfirmedRevision(at); err == nil {
			t.Errorf("control-%d confirmed a read while it was cut off", at+1)
		}
		c.setCut(at, false)
		eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
	}
	w.finish()
}

// readConfirmedRevision asks one process for its confirmed revision, for at most 1.5 s, the time that an election
// takes.
func (s *system) readConfirmedRevision(at int) (uint64, error) {
	return confirmedRevisionWithin(s.operatorAddresses[at], 1500*time.Millisecond)
}

// Guards against a router that serves an old revision after a restart. With a data directory it serves the last
// revision that it applied; without one it serves nothing until control has confirmed a configuration. Both then catch
// up over hundreds of changes.
func TestRouterRestartedAfterManyChanges(t *testing.T) {
	t.Parallel()
	const changes = 500
	s := newSystem(t, systemSpec{controls: 3, routers: 2})
	s.routers[0].stop()
	s.routers[0].args = append(s.routers[0].args, "-data-dir", filepath.Join(s.dir, "router-1"))
	s.routers[0].launch()
	before := s.mustAddAccount(s.operatorAddresses, "before-restart").Revision
	s.waitInForce(before, 10*time.Second)
	s.routers[0].kill()
	s.routers[1].kill()
	revision := before
	for i := range changes {
		name := fmt.Sprintf("missed-%d", i)
		p, err := publishChange(s.operatorAddresses[0], accountChange(name, revision, name))
		if err != nil || p.Status != config.StatusAccepted {
			t.Fatalf("%s: %+v %v", name, p, err)
		}
		revision = p.Revision
	}
	for _, p := range s.controls {
		p.signal(syscall.SIGSTOP)
	}
	s.routers[0].launch()
	s.routers[1].launch()
	eventually(t, startTimeout, func() error {
		st, err := readReadiness(s.routerAddresses[0])
		if err == nil && (!st.Ready || st.Revision != before || st.Fresh) {
			err = fmt.Errorf("router with a disk: %+v, want revision %d, not fresh", st, before)
		}
		return err
	})
	if st, err := readReadiness(s.routerAddresses[1]); err == nil && st.Ready {
		t.Errorf("the router without a disk serves before control has confirmed a configuration: %+v", st)
	}
	for _, p := range s.controls {
		p.signal(syscall.SIGCONT)
	}
	s.waitInForce(revision, 10*time.Second)
}

// Guards against a member that lost its disk but is counted as complete before it has all data again: a second member
// is killed as soon as the status reports the group as complete.
func TestDiskLostThenSecondMember(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 3, routers: 2})
	names := []string{"before-loss"}
	s.mustAddAccount(s.operatorAddresses, names[0])
	for _, lost := range []int{0, 1, 2} {
		s.controls[lost].kill()
		eventually(t, startTimeout, func() error {
			if s.checkGroupsComplete(s.operatorsExcept(lost)) == nil {
				return errors.New("the status reports the group as complete while a member is down")
			}
			return nil
		})
		if err := os.RemoveAll(s.dataDir(lost)); err != nil {
			t.Fatal(err)
		}
		s.controls[lost].launch()
		eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorsExcept(lost)) })
		second := (lost + 1) % 3
		s.controls[second].kill()
		name := fmt.Sprintf("after-loss-%d", lost)
		s.mustAddAccount(s.operatorsExcept(second), name)
		names = append(names, name)
		s.verifyAccounts(s.operatorAddresses[lost], names)
		s.controls[second].launch()
		eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
	}
}

// dataDir returns the data directory of a control process.
func (s *system) dataDir(control int) string {
	return filepath.Join(s.dir, fmt.Sprintf("control-%d", control+1))
}

// Guards against a member that votes, or exits, with a corrupt log segment; a second bootstrap of the system; unclear
// errors without a quorum; and changes that are lost in a restart of all processes.
func TestDamagedSegmentAndTotalRestart(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 3, routers: 2})
	names := []string{"before-damage"}
	s.mustAddAccount(s.operatorAddresses, names[0])
	w := s.watchRevisions()
	for _, at := range []int{0, 2} {
		s.controls[at].kill()
		s.corruptSegment(at)
		s.controls[at].launch()
		eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
		if log := s.controls[at].logText(); !strings.Contains(log, "is corrupt at offset") {
			t.Errorf("control-%d does not report the damage:\n%s", at+1, lastLines(log, 20))
		}
		name := fmt.Sprintf("after-damage-%d", at)
		s.mustAddAccount(s.operatorAddresses, name)
		names = append(names, name)
	}

	leader := s.leaderIndex()
	base, err := confirmedRevision(s.operatorAddresses[leader])
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range s.controls {
		if i != leader {
			p.kill()
		}
	}
	_, err = publishChange(s.operatorAddresses[leader], accountChange("no-quorum", base, "no-quorum"))
	if err == nil || !strings.Contains(err.Error(), "may still take effect") {
		t.Errorf("change at the leader without a quorum: %v, want an error that says that it may still take effect", err)
	}
	_, err = publishChange(s.operatorAddresses[leader], accountChange("no-leader", base, "no-leader"))
	if err == nil || !strings.Contains(err.Error(), "will not take effect") {
		t.Errorf("change without a leader: %v, want an error that says that it will not take effect", err)
	}
	for _, a := range s.routerAddresses {
		if st, err := readReadiness(a); err != nil || !st.Ready || st.Revision != base {
			t.Errorf("router without a control quorum: %+v %v, want revision %d in service", st, err, base)
		}
	}

	s.controls[leader].kill()
	for _, p := range s.controls {
		p.launch()
	}
	eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
	names = append(names, "after-restart")
	s.waitInForce(s.mustAddAccount(s.operatorAddresses, "after-restart").Revision, 10*time.Second)
	s.verifyAccounts(s.operatorAddresses[0], names)
	w.finish()

	// All processes restart at once, and the one that may bootstrap the system has lost its disk.
	for _, p := range s.controls {
		p.kill()
	}
	if err := os.RemoveAll(s.dataDir(0)); err != nil {
		t.Fatal(err)
	}
	for _, p := range append(slices.Clone(s.controls), s.routers...) {
		p.kill()
		p.launch()
	}
	eventually(t, startTimeout, func() error { return s.checkGroupsComplete(s.operatorAddresses) })
	for _, a := range s.operatorAddresses {
		s.verifyAccounts(a, names)
	}
}

// corruptSegment changes a byte in the first record of a control process's configuration log.
func (s *system) corruptSegment(control int) {
	s.t.Helper()
	paths, err := filepath.Glob(filepath.Join(s.dataDir(control), "*", "config", "*.log"))
	if err != nil || len(paths) == 0 {
		s.t.Fatalf("no segment: %v", err)
	}
	slices.Sort(paths)
	data, err := os.ReadFile(paths[0])
	if err != nil {
		s.t.Fatal(err)
	}
	data[24] ^= 0xff
	if err := os.WriteFile(paths[0], data, 0o600); err != nil {
		s.t.Fatal(err)
	}
}
