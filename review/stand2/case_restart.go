package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = restartedEngines }

// restartedEngines lets a client read a long answer without a length at an even pace. Its engine is killed in the middle of it and
// starts again under the id and the address that it had.
func restartedEngines(s *system) bool {
	var mu sync.Mutex
	ranAt := map[string]*instance{}
	for i := 1; i <= 8; i++ {
		var e *instance
		e = s.addEngine(i, fmt.Sprintf("i-%d", i), plain, false, func(line string) {
			var id string
			if n, _ := fmt.Sscanf(line, "run id=%s", &id); n == 1 {
				mu.Lock()
				ranAt[id] = e
				mu.Unlock()
			}
		})
	}
	find := func(id string) *instance {
		mu.Lock()
		defer mu.Unlock()
		return ranAt[id]
	}
	s.startAll(3, 2)
	broken := false
	for n := range 3 {
		broken = s.readSlowly(find, n) || broken
		time.Sleep(time.Second)
	}
	return broken
}

// readSlowly sends one request and reports whether the client got a success that is complete by the protocol and lacks a part of the
// engine's body.
func (s *system) readSlowly(find func(id string) *instance, n int) bool {
	const size = 24 << 20
	const perSecond = 2 << 20
	id := newID()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 128<<10) })
	}}
	c, err := d.Dial("tcp", s.addr(21+n%2, s.front))
	must(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(24 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s2f?size=%d&unframed=1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 25000\r\nX-Key: %s\r\nContent-Length: 0\r\n\r\n", unsafePath, size, host, id, key)
	must(err)
	began := time.Now()
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		if !s.trouble {
			return
		}
		time.Sleep(1500 * time.Millisecond)
		e := find(id)
		if e == nil {
			s.note("the request has not reached an engine")
			return
		}
		s.signal(e.proc, syscall.SIGKILL)
		<-e.proc.done
		time.Sleep(1200 * time.Millisecond)
		s.startEngine(e)
		s.note("engine %s runs again under its id after %.1f s", e.ID, time.Since(began).Seconds())
	}()
	res, err := http.ReadResponse(bufio.NewReaderSize(c, 16<<10), nil)
	if err != nil {
		s.note("client: id=%s no answer: %v", id, err)
		<-restarted
		return false
	}
	got, buf, same := int64(0), make([]byte, 16<<10), true
	for err == nil {
		var m int
		m, err = res.Body.Read(buf)
		same = same && string(buf[:m]) == string(patternBytes(got, int64(m)))
		got += int64(m)
		if wait := time.Duration(got) * time.Second / perSecond; wait > time.Since(began) {
			time.Sleep(wait - time.Since(began))
		}
	}
	<-restarted
	complete := err == io.EOF
	s.note("client: id=%s status=%d stamp=%q length=%d transfer-encoding=%v complete=%v end=%v bytes=%d of %d same=%v after %.1f s",
		id, res.StatusCode, res.Header.Get("X-Server-Stamp"), res.ContentLength, res.TransferEncoding, complete, err, got, int64(size), same, time.Since(began).Seconds())
	if !s.trouble && (!complete || got != size) {
		panic(bug{"the answer isn't whole without the disruption"})
	}
	return res.StatusCode == http.StatusOK && complete && got < size
}
