package itest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	_ "wasabiweir/io/cmds" // makes the cached result of a run depend on the code of the binary that the tests build
	"wasabiweir/io/stand"
)

const (
	operatorToken = "operator-secret"
	accountToken  = "vets-secret"
	peerKeyText   = "test-key-of-the-peers"
	startLimit    = 20 * time.Second
	stopLimit     = 20 * time.Second
)

// binary is the wasabiweir binary that the tests start; TestMain builds it.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wasabiweir-itest-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "wasabiweir")
	out, err := exec.Command("go", "build", "-o", binary, "wasabiweir").CombinedOutput()
	if err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a started wasabiweir process.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	args []string
	done chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

// Write collects the process's log.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func start(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: args}
	p.run()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.logged(), 40))
		}
	})
	return p
}

func (p *process) run() {
	p.cmd = exec.Command(binary, p.args...)
	p.cmd.Stderr = p
	p.cmd.Stdout = p
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	p.done = make(chan struct{})
	go p.loop(p.cmd, p.done)
}

func (p *process) loop(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	close(done)
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
	if s == syscall.SIGSTOP {
		// The process stops when the thread that gets the signal is scheduled, which takes a while on a busy machine.
		eventually(p.t, stopLimit, p.stopped)
	}
}

// stopped returns nil once all threads of the process are stopped.
func (p *process) stopped() error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		// The state follows the name of the thread, which is in parentheses.
		if fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:])); fields[0] != "T" {
			return fmt.Errorf("%s: thread state %s", file, fields[0])
		}
	}
	return nil
}

// stop sends the first signal and waits for a clean end.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		p.t.Fatalf("%s did not stop within %s", p.name, stopLimit)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		p.t.Fatalf("%s ended with code %d\n%s", p.name, code, tail(p.logged(), 20))
	}
}

func tail(s string, n int) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// addresses returns n free loopback addresses.
func addresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = stand.FreeAddress()
	}
	return out
}

// eventually waits until f returns nil.
func eventually(t testing.TB, limit time.Duration, f func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	var err error
	for time.Now().Before(deadline) {
		if err = f(); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("not within %s: %v", limit, err)
}

func ready(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return nil
}

// command runs a command of the binary to its end.
func command(t testing.TB, args ...string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	out, err := exec.CommandContext(ctx, binary, args...).CombinedOutput()
	return string(out), err
}
