package main

import (
	"bytes"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The host and the plain service of the cases.
const (
	host         = "ficu95.example"
	plainServer  = "wuno96b"
	darkTime     = 4500 * time.Millisecond
	clientWaits  = 20 * time.Second
	routeTimeout = time.Second
	answerSlack  = 500 * time.Millisecond
	// One of engineCount engines is an eighth of its service; the site crashes up to 0.14 of one. concurrentRequests are
	// sent at once, about an eighth of them to each engine.
	engineCount        = 8
	concurrentRequests = 120
)

// zones are the zones of the settings.
var zones = []string{"za", "zb", "zc"}

// callAll sends the number of requests at once, to the relays in turn, and returns the answers.
func (s *system) callAll(count int, method, path string, limit time.Duration, body string) []*answer {
	out := make([]*answer, count)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			out[i] = s.call(s.relays[i%len(s.relays)], method, host, path, limit, body, http.Header{})
		})
	}
	wg.Wait()
	return out
}

// runLargeAnswer shows requests that stay without an answer past their route's timeout, when an engine goes dark after
// it has sent more than 128 KB of its answer.
func runLargeAnswer(s *system) bool {
	var engines []*engine
	for i := range engineCount {
		engines = append(engines, s.startEngine(plainServer, zones[i%len(zones)], "large", 32))
	}
	s.startAll(3, 2)
	state := desiredState(7, []map[string]any{plainRoute("r-history", host, "/history/", "safe", plainServer, routeTimeout, 400*time.Millisecond, 2)},
		[]map[string]any{plainService(plainServer)})
	if status := s.putAny(state); status != http.StatusOK {
		giveUp("the desired state was answered %d", status)
	}
	s.awaitReady()
	s.callAll(6, http.MethodGet, "/history/warm", clientWaits, "")
	if s.trouble {
		go func() {
			time.Sleep(200 * time.Millisecond)
			engines[0].signal(syscall.SIGSTOP)
			s.record("engine %s goes dark", engines[0].id)
			time.Sleep(darkTime)
			engines[0].end()
			s.record("engine %s has ended", engines[0].id)
		}()
	}
	late, unanswered := 0, 0
	for _, a := range s.callAll(concurrentRequests, http.MethodGet, "/history/horse-12", clientWaits, "") {
		took := a.ended.Sub(a.sent)
		if took > routeTimeout {
			late++
		}
		if took > routeTimeout+answerSlack {
			unanswered++
		}
	}
	s.record("%d requests were unanswered at their route's timeout of %s, %d of them still %s later", late, routeTimeout, unanswered, answerSlack)
	return unanswered >= 8 && 2*unanswered > late
}

// runUnframedPlain shows answers that are cut short and look complete, when an engine that answers without a length is
// killed in the middle of its answers.
func runUnframedPlain(s *system) bool {
	var engines []*engine
	for i := range engineCount {
		engines = append(engines, s.startEngine(plainServer, zones[i%len(zones)], "unframed", 32))
	}
	s.startAll(3, 2)
	state := desiredState(7, []map[string]any{plainRoute("r-lookup", host, "/lookup/", "safe", plainServer, 5*time.Second, 2*time.Second, 2)},
		[]map[string]any{plainService(plainServer)})
	if status := s.putAny(state); status != http.StatusOK {
		giveUp("the desired state was answered %d", status)
	}
	s.awaitReady()
	s.callAll(6, http.MethodGet, "/lookup/warm", clientWaits, "")
	if s.trouble {
		go func() {
			time.Sleep(150 * time.Millisecond)
			engines[0].end()
			s.record("engine %s was killed", engines[0].id)
		}()
	}
	broken := 0
	for _, a := range s.callAll(concurrentRequests, http.MethodGet, "/lookup/farm-12", clientWaits, "") {
		if a.err == nil && a.status/100 == 2 && !bytes.Equal(a.body, wholeBody(a.id, smallBody)) {
			s.record("id %s got status %d, Content-Length %q and %d of %d bytes as a complete answer", a.id, a.status, a.header.Get("Content-Length"), len(a.body), smallBody)
			broken++
		}
	}
	return broken > 0
}
