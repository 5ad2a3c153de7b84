package itest

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabiweir/core/ledger"
	"wasabiweir/io/wire"
)

// measureFlag enables the measurements.
var measureFlag = flag.Bool("measure", false, "run the measurements of the control processes, which take minutes and check no bounds")

// requireMeasureFlag skips the test unless -measure is set.
func requireMeasureFlag(t testing.TB) {
	t.Helper()
	if !*measureFlag {
		t.Skip("a measurement, which runs with -measure only")
	}
}

// processUsage holds the processor time and the bytes on its connections that a process has used since its start.
type processUsage struct {
	cpu   time.Duration
	bytes int64
}

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// readProc returns the contents of a file under /proc/PID.
func (p *process) readProc(name string) []byte {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
	if err != nil {
		p.t.Fatal(err)
	}
	return data
}

// cpuTime returns the user and system time of the process.
func (p *process) cpuTime() time.Duration {
	data := p.readProc("stat")
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// memory returns the current and the peak resident size of the process in MB.
func (p *process) memory() (resident, peak int) {
	for _, line := range strings.Split(string(p.readProc("status")), "\n") {
		f := strings.Fields(line)
		switch {
		case len(f) > 1 && f[0] == "VmRSS:":
			resident, _ = strconv.Atoi(f[1])
		case len(f) > 1 && f[0] == "VmHWM:":
			peak, _ = strconv.Atoi(f[1])
		}
	}
	return resident >> 10, peak >> 10
}

// usageMeter measures the resource use of a system's processes.
type usageMeter struct {
	system *system
	spec   systemSpec
}

// sample returns the use of each control process and each router so far.
func (g *usageMeter) sample() (controls, routers []processUsage) {
	for i, p := range g.system.controls {
		controls = append(controls, processUsage{cpu: p.cpuTime(), bytes: g.spec.controlNetwork.byteCount(i) + g.spec.feedNetwork.byteCount(i)})
	}
	for i, p := range g.system.routers {
		routers = append(routers, processUsage{cpu: p.cpuTime(), bytes: g.spec.feedNetwork.byteCount(firstRouter + i)})
	}
	return controls, routers
}

// measureWhile calls f once a second and logs the resource use of the processes meanwhile.
func (g *usageMeter) measureWhile(label string, seconds int, f func(i int)) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	start := time.Now()
	controlsBefore, routersBefore := g.sample()
	for i := range seconds {
		f(i)
		<-ticker.C
	}
	controlsAfter, routersAfter := g.sample()
	d := time.Since(start).Seconds()
	g.logUsage(label+", control", g.system.controls, controlsBefore, controlsAfter, d)
	g.logUsage(label+", router", g.system.routers, routersBefore, routersAfter, d)
}

// logUsage logs the use of the processes between two samples that are d seconds apart.
func (g *usageMeter) logUsage(label string, processes []*process, from, to []processUsage, d float64) {
	var rate, cpu []float64
	largest := 0
	for i, p := range processes {
		rate = append(rate, float64(to[i].bytes-from[i].bytes)/d)
		cpu = append(cpu, 100*(to[i].cpu-from[i].cpu).Seconds()/d)
		_, peak := p.memory()
		largest = max(largest, peak)
	}
	g.system.t.Logf("%s: bytes per second %s, percent of a core %s, largest resident size %d MB", label, formatRange(rate, "%.0f"), formatRange(cpu, "%.2f"), largest)
}

// formatRange formats the smallest and the largest value; it sorts the values.
func formatRange(values []float64, format string) string {
	slices.Sort(values)
	return fmt.Sprintf(format+" to "+format, values[0], values[len(values)-1])
}

// Measures the network traffic and processor time of the control plane, idle and with one change per second, for a
// small configuration and for one of the size that the project targets.
func TestMeasureControlBudget(t *testing.T) {
	requireMeasureFlag(t)
	p := systemSpec{controls: 3, routers: 8, engines: 6, controlNetwork: newProxyNetwork(), feedNetwork: newProxyNetwork()}
	s := newSystem(t, p)
	g := &usageMeter{system: s, spec: p}
	time.Sleep(5 * time.Second)
	const seconds = 20
	idle := func(int) {}
	change := func(label string) func(int) {
		return func(i int) { s.mustAddAccount(s.operatorAddresses, fmt.Sprintf("%s-%d", label, i)) }
	}
	g.measureWhile("small configuration, idle", seconds, idle)
	g.measureWhile("small configuration, one change per second", seconds, change("small"))
	s.apply(largeConfiguration(t), "-wait", "20s")
	time.Sleep(5 * time.Second)
	g.measureWhile("830 accounts and 940 endpoints, idle", seconds, idle)
	g.measureWhile("830 accounts and 940 endpoints, one change per second", seconds, change("large"))
}

// largeConfiguration returns a change that declares 830 accounts and 940 endpoints. The endpoints belong to a plain
// service, because the routers would poll the engines of a model service, which do not exist.
func largeConfiguration(t testing.TB) string {
	t.Helper()
	objects := []map[string]any{{"kind": "service", "name": "many", "type": "plain"}}
	for i := range 830 {
		name := fmt.Sprintf("account-%d", i)
		objects = append(objects, map[string]any{"kind": "account", "name": name, "token-hashes": []string{hashToken(name)}, "tokens-per-second": 100})
	}
	for i := range 940 {
		objects = append(objects, map[string]any{
			"kind": "endpoint", "name": fmt.Sprintf("many-%d", i), "service": "many", "address": fmt.Sprintf("127.0.0.1:%d", 1000+i), "domain": domains[i%3],
		})
	}
	return encodeChange(t, map[string]any{"objects": objects})
}

// claimWorker sends claims to the call ledger one by one until the deadline and records how long each takes.
type claimWorker struct {
	t        testing.TB
	link     *wire.Link
	deadline time.Time
	wg       *sync.WaitGroup
	mu       *sync.Mutex
	times    *[]time.Duration // duration of each claim, guarded by mu
}

// loop sends claims until the deadline.
func (c *claimWorker) loop(worker int) {
	defer c.wg.Done()
	for i := uint64(1); time.Now().Before(c.deadline); i++ {
		cmd := ledger.Command{
			Op: ledger.OpClaim, Account: "vets", Key: newIdempotencyKey(c.t), TimeoutMS: 60_000,
			Claimant: ledger.Claimant{Router: fmt.Sprintf("claimer-%d", worker), Incarnation: uint64(c.deadline.UnixNano()), Attempt: i},
		}
		var out ledger.Result
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err := c.link.Call(ctx, wire.KindPropose, "ledger-0", cmd, &out)
		cancel()
		if err != nil || out.Verdict != ledger.VerdictGranted {
			c.t.Errorf("claim: %+v %v", out, err)
			return
		}
		c.mu.Lock()
		*c.times = append(*c.times, time.Since(begin))
		c.mu.Unlock()
	}
}

// frameDiscarder is a handler that ignores all frames.
type frameDiscarder struct{}

// HandleFrame ignores the frame.
func (frameDiscarder) HandleFrame(*wire.Link, wire.Frame) {}

// Measures the rate and latency of claims that are committed, with a sync to disk, on three members; the claims are
// sent to the leader and the followers alike.
func TestMeasureCommits(t *testing.T) {
	requireMeasureFlag(t)
	const seconds = 8
	s := newSystem(t, systemSpec{controls: 3, routers: 1})
	links := dialControls(t, s)
	for _, workers := range []int{1, 16, 128} {
		var (
			work  sync.WaitGroup
			mu    sync.Mutex
			times []time.Duration
		)
		until := time.Now().Add(seconds * time.Second)
		for i := range workers {
			c := &claimWorker{t: t, link: links[i%len(links)], deadline: until, wg: &work, mu: &mu, times: &times}
			work.Add(1)
			go c.loop(i)
		}
		work.Wait()
		slices.Sort(times)
		t.Logf("%d claimers over all members: %.0f commits per second, p50 %s, p99 %s, max %s", workers,
			float64(len(times))/seconds, quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1))
	}
}

// dialControls connects to each control process as a peer.
func dialControls(t testing.TB, s *system) []*wire.Link {
	t.Helper()
	var links []*wire.Link
	for _, p := range s.controls {
		address := p.args[slices.Index(p.args, "-peer-listen")+1]
		l, err := wire.Dial(context.Background(), "measurement", address, peerKey, frameDiscarder{})
		if err != nil {
			t.Fatal(err)
		}
		go (&linkServer{link: l}).run()
		t.Cleanup(l.Close)
		links = append(links, l)
	}
	return links
}

// linkServer serves a link in a goroutine.
type linkServer struct{ link *wire.Link }

// run serves the link until it is closed.
func (r *linkServer) run() { _ = r.link.Serve(context.Background()) }
