package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Load is what a process takes under a crowd.
type Load struct {
	// BeforeMB and PeakMB are its resident memory before the crowd and its largest one since then, in megabytes.
	BeforeMB, PeakMB int
	// Descriptors is the largest number of open file descriptors that was seen.
	Descriptors int
}

// Play lets the crowd connect, send and leave, and returns what the process with the id takes meanwhile, or an error if the
// process has ended.
func (c *Crowd) Play(pid int) (l Load, err error) {
	if err := os.WriteFile(procPath(pid, "clear_refs"), []byte("5"), 0); err != nil {
		return l, fmt.Errorf("reset the largest memory: %w", err)
	}
	if l.BeforeMB, err = peakMemory(pid); err != nil {
		return l, err
	}
	c.Open()
	defer c.Close()
	c.Send()
	sent, err := openDescriptors(pid)
	if err != nil {
		return l, err
	}
	c.Finish()
	answered, err := openDescriptors(pid)
	if err != nil {
		return l, err
	}
	l.Descriptors = max(sent, answered)
	l.PeakMB, err = peakMemory(pid)
	return l, err
}

// peakMemory returns the largest resident memory of a process in megabytes.
func peakMemory(pid int) (int, error) {
	text, err := os.ReadFile(procPath(pid, "status"))
	if err != nil {
		return 0, fmt.Errorf("read the memory of a process: %w", err)
	}
	_, line, _ := strings.Cut(string(text), "VmHWM:")
	kb := 0
	// The kernel names no memory of a process that has ended.
	if _, err := fmt.Sscan(line, &kb); err != nil {
		return 0, fmt.Errorf("read the memory of a process: %w", err)
	}
	return kb >> 10, nil
}

// openDescriptors returns the number of open file descriptors of a process.
func openDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(procPath(pid, "fd"))
	if err != nil {
		return 0, fmt.Errorf("count the file descriptors of a process: %w", err)
	}
	return len(entries), nil
}

// procPath returns the path of a file in the kernel's folder of a process.
func procPath(pid int, name string) string { return filepath.Join("/proc", strconv.Itoa(pid), name) }
