package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The disturbances of the case, within the doses of the site file.
const (
	growthSteps  = 24
	growthRoutes = 350
	growthPause  = 300 * time.Millisecond
	stormCount   = 16
	stormLength  = 3900 * time.Millisecond
	stormGap     = 220 * time.Millisecond
	stormPause   = 4600 * time.Millisecond
	// coreMemory is memory_mb of a core machine, and restartDelay the time until an ended process starts again.
	coreMemory   = 280
	restartDelay = 500 * time.Millisecond
	memoryCheck  = 50 * time.Millisecond
)

// memoryOf returns the memory of a process in MB that the platform counts, or 0.
func memoryOf(p *process) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.Atoi(fields[1])
			return n >> 10
		}
	}
	return 0
}

// supervisor is the platform of one core machine: it kills the process when that has more memory than the machine, and
// starts it again.
type supervisor struct {
	system  *system
	number  int
	mu      sync.Mutex
	machine *machine
	ends    int
	peak    int
}

// run watches the process until the channel is closed.
func (v *supervisor) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryCheck):
		}
		v.mu.Lock()
		m := v.machine
		v.mu.Unlock()
		used := memoryOf(m.process)
		v.peak = max(v.peak, used)
		select {
		case <-m.done:
		default:
			if used <= coreMemory {
				continue
			}
			m.end()
		}
		v.system.record("platform: %s ends by itself, with %d MB of %d MB", m.name, used, coreMemory)
		v.ends++
		select {
		case <-stop:
			return
		case <-time.After(restartDelay):
		}
		next := v.system.startMachine("core", v.number, false)
		v.mu.Lock()
		v.machine = next
		v.mu.Unlock()
	}
}

// putVersion sends a version until it is acknowledged, at most for the time limit, and reports whether it was.
func (s *system) putVersion(document []byte, first int, limit time.Duration) bool {
	for until, i := time.Now().Add(limit), first; time.Now().Before(until); i++ {
		if s.put(s.keepers[i%len(s.keepers)], document) == http.StatusOK {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// growthState returns a desired state with the number of routes beside the first one.
func growthState(version, routes int) []byte {
	list := []map[string]any{plainRoute("r-first", host, "/lookup/", "safe", plainServer, time.Second+time.Duration(version)*time.Millisecond, 100*time.Millisecond, 2)}
	for i := range routes {
		r := plainRoute(fmt.Sprintf("r-idle%06d", i), host, fmt.Sprintf("/idle%06d/", i), "safe", plainServer, time.Second, 100*time.Millisecond, 2)
		list = append(list, r)
	}
	return desiredState(version, list, []map[string]any{plainService(plainServer)})
}

// runGrowth lets the desired state grow, changes it in quick succession, and counts how often the core's processes need
// more memory than their machines have.
func runGrowth(s *system) bool {
	for _, zone := range []string{"za", "zb", "zc"} {
		s.startEngine(plainServer, zone, "small", 32)
	}
	s.startAll(5, 2)
	version := 1
	if status := s.putAny(growthState(version, 0)); status != http.StatusOK {
		giveUp("the desired state was answered %d", status)
	}
	s.awaitReady()
	stop := make(chan struct{})
	var watches sync.WaitGroup
	var supervisors []*supervisor
	for i, m := range s.keepers {
		v := &supervisor{system: s, number: i, machine: m}
		supervisors = append(supervisors, v)
		watches.Go(func() { v.run(stop) })
	}
	routes := 0
	for range growthSteps {
		if s.trouble {
			routes += growthRoutes
		}
		version += 2
		document := growthState(version, routes)
		ok := s.putVersion(document, version, 3*time.Second)
		s.record("operator: version %d with %d routes, %d bytes, acknowledged %v", version, routes+1, len(document), ok)
		time.Sleep(growthPause)
	}
	var changes sync.WaitGroup
	for range stormCount {
		began := time.Now()
		for time.Since(began) < stormLength {
			version += 2
			v, document := version, growthState(version, routes)
			changes.Go(func() {
				ok := s.putVersion(document, v, 3*time.Second)
				s.record("operator: version %d acknowledged %v", v, ok)
			})
			time.Sleep(stormGap)
		}
		time.Sleep(max(0, stormPause-time.Since(began)))
	}
	changes.Wait()
	close(stop)
	watches.Wait()
	often := 0
	for _, v := range supervisors {
		s.record("core machine %d: its process ended %d times by itself, most memory %d MB", v.number, v.ends, v.peak)
		if v.ends >= 3 {
			often++
		}
	}
	return 2*often >= len(supervisors)
}
