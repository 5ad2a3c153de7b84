package itest

import (
	"strconv"
	"testing"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/token"
	"wasabiweir/io/load"
)

// replaceEngines kills the engines at once and starts new ones with the software version at their addresses.
func (s *system) replaceEngines(version int, engines ...int) {
	for _, i := range engines {
		_ = s.engines[i].cmd.Process.Kill()
	}
	for _, i := range engines {
		s.engines[i].kill()
	}
	for _, i := range engines {
		v := strconv.Itoa(version)
		s.engines[i].args = append(s.engines[i].args, "-software", v, "-salt", v)
		s.engines[i].launch()
	}
}

// countVersions checks that no generation has tokens of two software versions, and returns how many have tokens of which.
func (c *workload) countVersions() map[uint32]int {
	c.t.Helper()
	count := map[uint32]int{}
	for i, r := range c.results {
		salts := map[uint32]int{}
		for _, id := range r.IDs {
			salts[id&token.SaltMask]++
		}
		if len(salts) > 1 {
			c.t.Errorf("generation %d has tokens of several software versions: %v", i, salts)
		}
		for v := range salts {
			count[v]++
		}
	}
	return count
}

// Guards against generations that go on at engines of another software version while a release replaces engines in place and a
// router is killed, and against a long wait for a version that no engine has any more.
func TestReleaseOfEngineSoftware(t *testing.T) {
	t.Parallel()
	const generations, tokens = 40, 150
	s := newSystem(t, systemSpec{controls: 1, routers: 4, engines: 6, engineArgs: []string{
		"-tokens-per-second", strconv.Itoa(tokenRate), "-slots", "64", "-batch-slowdown", "0.005", "-prefill-tokens-per-second", "20000", "-software", "1", "-salt", "1",
	}})
	s.replaceEngines(2, 0, 1)
	eventually(t, startTimeout, func() error { return s.checkAllServing() })
	c := newWorkload(s)
	c.startGenerations(0, generations, tokens)
	time.Sleep(1500 * time.Millisecond)
	s.routers[0].kill()
	s.replaceEngines(2, 2, 3)
	c.verifyGenerations(generations)
	if got := c.countVersions(); got[1] == 0 || got[2] == 0 {
		t.Errorf("generations by version: %v", got)
	}
	s.routers[0].launch()
	eventually(t, startTimeout, func() error { return s.checkAllServing() })

	c = newWorkload(s)
	c.startGenerations(0, generations, tokens)
	time.Sleep(1500 * time.Millisecond)
	s.replaceEngines(2, 4, 5)
	c.wg.Wait()
	if got := c.countVersions(); got[1] == 0 || got[2] == 0 {
		t.Errorf("generations by version: %v", got)
	}
	for i, r := range c.results {
		gone := r.Status == load.StatusRefused && r.Refusal.Reason == common.ReasonSoftwareGone && r.Refusal.Outcome == common.OutcomeRan
		if began := r.IDs[0] & token.SaltMask; began == 1 && !gone || began == 2 && r.Status != load.StatusComplete {
			t.Errorf("generation %d of version %d: status %s, refusal %v, error %v", i, began, r.Status, r.Refusal, r.Err)
		}
		if r.Completion > 12*time.Second {
			t.Errorf("generation %d ends after %s", i, r.Completion)
		}
	}
}

// Guards against declared versions that are ignored for engines which report none, and against generations that end when an engine
// dies while all engines of their version are drained.
func TestReleaseOfDeclaredSoftware(t *testing.T) {
	t.Parallel()
	const generations, tokens = 30, 100
	s := newSystem(t, systemSpec{controls: 1, routers: 3, engines: 4, engineArgs: []string{"-tokens-per-second", strconv.Itoa(tokenRate), "-slots", "64"}})
	var objects []map[string]any
	for i, a := range s.engineAddresses {
		version := strconv.Itoa(1 + i/2)
		s.engines[i].kill()
		s.engines[i].args = append(s.engines[i].args, "-salt", version)
		s.engines[i].launch()
		o := engineObject(i, a, true)
		o["software"] = version
		objects = append(objects, o)
	}
	s.apply(encodeChange(t, map[string]any{"objects": objects}), "-wait", "15s")
	eventually(t, startTimeout, func() error { return s.checkAllServing() })
	c := newWorkload(s)
	c.startGenerations(0, generations, tokens)
	time.Sleep(time.Second)
	objects[0]["leaving"], objects[1]["leaving"] = true, true
	s.apply(encodeChange(t, map[string]any{"objects": objects[:2]}), "-wait", "15s")
	s.routers[0].kill()
	s.engines[0].kill()
	c.verifyGenerations(generations)
	if got := c.countVersions(); got[1] == 0 || got[2] == 0 {
		t.Errorf("generations by version: %v", got)
	}
}
