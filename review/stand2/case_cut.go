package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = cutAnswers }

// cutAnswers lets clients upload long bodies on kept channels, the end of them at 64 KiB a second. To one request in fifty, the engine
// answers before it has read the whole body; it keeps the channel and reads on.
func cutAnswers(s *system) bool {
	var answered sync.Map
	lines := func(line string) {
		var id string
		if n, _ := fmt.Sscanf(line, "answered id=%s", &id); n == 1 {
			answered.Store(strings.TrimSpace(id), true)
		}
	}
	for i := 1; i <= 3; i++ {
		s.addEngine(i, fmt.Sprintf("i-%d", i), plain, false, lines)
	}
	s.startAll(3, 2)
	const length, early, size = 192 << 10, 160 << 10, 256 << 10
	const workers, rounds = 20, 20
	pace := func(at int64) time.Duration {
		if at < early {
			return 200 * time.Microsecond
		}
		return 15 * time.Millisecond
	}
	var cut, cutEarly, whole atomic.Int64
	var all sync.WaitGroup
	for w := range workers {
		all.Add(1)
		go func() {
			defer all.Done()
			var c net.Conn
			var br *bufio.Reader
			kept := false
			for n := range rounds {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", s.addr(21+w%2, s.front)); err != nil {
						continue
					}
					br, kept = bufio.NewReader(c), false
				}
				at := 0
				// One request in fifty, and never the first on its channel.
				if s.trouble && kept && (w*rounds+n)%50 == 17 {
					at = early
				}
				id := newID()
				uri := fmt.Sprintf("%s2f?size=%d&early=%d", unsafePath, size, at)
				status, got, ok := s.uploadOn(c, br, id, uri, length, pace)
				wasKept := kept
				kept = ok
				if ok {
					whole.Add(1)
				} else {
					time.Sleep(300 * time.Millisecond)
					_, engineAnswered := answered.Load(id)
					s.note("client: id=%s kept-channel=%v early=%v status=%d bytes=%d of %d: the channel has ended; the engine has answered in full: %v", id, wasKept, at > 0, status, got, size, engineAnswered)
					cut.Add(1)
					if at > 0 && engineAnswered {
						cutEarly.Add(1)
					}
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	all.Wait()
	s.note("%d uploads, %d answered whole, %d channels ended without a whole answer, %d of them after an answer that the engine gave in full before it had the whole body",
		workers*rounds, whole.Load(), cut.Load(), cutEarly.Load())
	if !s.trouble && whole.Load() != workers*rounds {
		panic(bug{"not all uploads were answered without the disruption"})
	}
	return cutEarly.Load() > 3
}
