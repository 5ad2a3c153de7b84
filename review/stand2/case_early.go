package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = earlyAnswers }

// earlyAnswers lets clients upload long bodies at an even pace. To one request in fifty, the engine answers before it has read the whole
// body; it keeps the channel and reads on.
func earlyAnswers(s *system) bool {
	var broken, whole atomic.Int64
	lines := func(line string) {
		if strings.HasPrefix(line, "body ") {
			if strings.Contains(line, "other-bytes=true") {
				broken.Add(1)
			} else {
				whole.Add(1)
			}
		}
	}
	for i := 1; i <= 3; i++ {
		s.addEngine(i, fmt.Sprintf("i-%d", i), plain, false, lines)
	}
	s.startAll(3, 2)
	const length, early, size = 192 << 10, 144 << 10, 256 << 10
	const uploads, workers = 100, 4
	var answered atomic.Int64
	var all sync.WaitGroup
	for w := range workers {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := w; n < uploads; n += workers {
				at := 0
				if s.trouble && n%50 == 25 {
					at = early
				}
				id := newID()
				uri := fmt.Sprintf("%s2f?size=%d&early=%d", unsafePath, size, at)
				status, got, ok := s.upload(1+n%2, id, uri, length)
				s.note("client: id=%s early=%v status=%d bytes=%d whole=%v", id, at > 0, status, got, ok)
				if ok {
					answered.Add(1)
				}
			}
		}()
	}
	all.Wait()
	time.Sleep(time.Second)
	s.note("%d uploads, %d answered whole; bodies at engines: %d without other bytes, %d with other bytes", uploads, answered.Load(), whole.Load(), broken.Load())
	if !s.trouble && answered.Load() != uploads {
		panic(bug{"not all uploads were answered without the disruption"})
	}
	return broken.Load() > 0
}

// upload sends a body of the pattern at a megabyte a second, reads the answer meanwhile, and returns its status, the length of
// its body and whether it is whole.
func (s *system) upload(edge int, id, uri string, length int64) (status int, got int64, whole bool) {
	c, err := net.Dial("tcp", s.addr(20+edge, s.front))
	if err != nil {
		return 0, 0, false
	}
	defer c.Close()
	return s.uploadOn(c, bufio.NewReader(c), id, uri, length, func(int64) time.Duration { return time.Millisecond })
}

// uploadOn does the same on a channel; pace is the time after each KiB.
func (s *system) uploadOn(c net.Conn, br *bufio.Reader, id, uri string, length int64, pace func(at int64) time.Duration) (status int, got int64, whole bool) {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 10000\r\nX-Key: %s\r\nContent-Length: %d\r\n\r\n", uri, host, id, key, length)
	if err != nil {
		return 0, 0, false
	}
	go func() {
		const part = 1 << 10
		next := time.Now()
		for at := int64(0); at < length; at += part {
			if _, err := c.Write(patternBytes(at, min(part, length-at))); err != nil {
				s.note("client: id=%s the body ended at %d: %v", id, at, err)
				return
			}
			next = next.Add(pace(at))
			time.Sleep(time.Until(next))
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(12 * time.Second))
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		s.note("client: id=%s no answer: %v", id, err)
		return 0, 0, false
	}
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, int64(len(data)), err == nil && res.StatusCode == http.StatusOK && string(data) == string(patternBytes(0, int64(len(data))))
}
