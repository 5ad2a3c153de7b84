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

	"wasabiweir/io/cmds"
	"wasabiweir/io/stand"
)

// Credentials and time limits of the test systems.
const (
	operatorToken = "operator-secret"
	accountToken  = "vets-secret"
	peerKey       = "test-key-of-the-peers"
	startTimeout  = 20 * time.Second
	stopTimeout   = 20 * time.Second
)

// binaryPath is the path of the wasabiweir binary that the tests start; TestMain builds it.
var binaryPath string

// TestMain builds the binary and runs the tests. Started with a command, this binary runs it: so the code of all commands is linked in, and
// a cached test result is not used after that code has changed.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binary in a temporary directory, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wasabiweir-itest-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryPath = filepath.Join(dir, "wasabiweir")
	out, err := exec.Command("go", "build", "-o", binaryPath, "wasabiweir").CombinedOutput()
	if err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a wasabiweir process that a test starts and can restart.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	args []string
	done chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
	// onLine is called with each piece of new output until it returns true; nil means that nothing is awaited.
	onLine func(text string) bool
}

// Write appends to the process's log; it is the writer of its output.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.onLine != nil && p.onLine(string(b)) {
		p.onLine = nil
	}
	return p.log.Write(b)
}

// logText returns the log so far.
func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// startProcess starts a process that is killed at the end of the test.
func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, args: args}
	p.launch()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s, whole in %s:\n%s", name, p.saveLog(), lastLines(p.logText(), 40))
		}
	})
	return p
}

// saveLog writes the whole log to a file and returns the path.
func (p *process) saveLog() string {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("wasabiweir-%s-%s.log", strings.ReplaceAll(p.t.Name(), "/", "-"), p.name))
	if err := os.WriteFile(path, []byte(p.logText()), 0o600); err != nil {
		return err.Error()
	}
	return path
}

// launch starts the process, or starts it again after it has ended.
func (p *process) launch() {
	p.cmd = exec.Command(binaryPath, p.args...)
	p.cmd.Stderr = p
	p.cmd.Stdout = p
	if err := p.cmd.Start(); err != nil {
		p.t.Fatalf("start %s: %v", p.name, err)
	}
	p.done = make(chan struct{})
	go p.run(p.cmd, p.done)
}

// run waits for the process to exit and closes done.
func (p *process) run(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	close(done)
}

// kill kills the process, also a stopped one, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// signal sends a signal; with SIGSTOP it waits until the process has stopped.
func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
	if s == syscall.SIGSTOP {
		// The process stops only when the thread that gets the signal is scheduled, which takes a while on a busy machine.
		eventually(p.t, stopTimeout, p.checkStopped)
	}
}

// checkStopped returns an error unless all threads of the process are stopped.
func (p *process) checkStopped() error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		// The state is the first field after the thread's name, which is in parentheses.
		if fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:])); fields[0] != "T" {
			return fmt.Errorf("%s: thread state %s", file, fields[0])
		}
	}
	return nil
}

// stop sends SIGTERM, waits for the process to exit and checks that its exit code is 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.expectExit(0)
}

// expectExit waits for the process to exit and checks its exit code.
func (p *process) expectExit(code int) {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.t.Fatalf("%s did not end within %s", p.name, stopTimeout)
	}
	if got := p.cmd.ProcessState.ExitCode(); got != code {
		p.t.Fatalf("%s ended with code %d, want %d\n%s", p.name, got, code, lastLines(p.logText(), 20))
	}
}

// lastLines returns the last n lines of the text.
func lastLines(s string, n int) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// freeAddresses returns n loopback addresses that are not in use.
func freeAddresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = stand.FreeAddress()
	}
	return out
}

// eventually polls f until it returns nil, and stops the test if that takes longer than the limit.
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

// checkReady returns an error unless the process at the address reports that it is ready.
func checkReady(address string) error {
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

// runCommand runs the binary with the arguments and returns its output.
func runCommand(t testing.TB, args ...string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, binaryPath, args...).CombinedOutput()
	return string(out), err
}
