package main

import (
	"net/http"
	"strings"
	"time"
)

// secondServer is the second plain service of the cases.
const secondServer = "huvo11a"

// runsOf returns the ids of the engines that have run a request.
func (s *system) runsOf(id string) (out []*engine) {
	for _, e := range s.engines {
		for _, r := range e.entries() {
			if r.What == "runs" && r.ID == id {
				out = append(out, e)
			}
		}
	}
	return out
}

// startTwoServices starts a system with one engine of each of two plain services.
func (s *system) startTwoServices() {
	s.startEngine(plainServer, "za", "small", 32)
	s.startEngine(secondServer, "zb", "small", 32)
	s.startAll(3, 2)
}

// runSamePlace sends a desired state in which two routes share the host and the prefix, but for the case of the host's
// letters.
func runSamePlace(s *system) bool {
	s.startTwoServices()
	other := strings.ToUpper(host)
	prefix := "/lookup/"
	if !s.trouble {
		prefix = "/lookup2/"
	}
	services := []map[string]any{plainService(plainServer), plainService(secondServer)}
	first := plainRoute("r-first", host, "/lookup/", "safe", plainServer, 5*time.Second, time.Second, 2)
	second := plainRoute("r-second", other, prefix, "safe", secondServer, 5*time.Second, time.Second, 2)
	if status := s.putAny(desiredState(7, []map[string]any{first}, services)); status != http.StatusOK {
		giveUp("the desired state was answered %d", status)
	}
	s.awaitReady()
	status := s.putAny(desiredState(9, []map[string]any{first, second}, services))
	s.record("operator: version 9 has %s%s to %s and %s%s to %s, answered %d", host, "/lookup/", plainServer, other, prefix, secondServer, status)
	if status != http.StatusOK {
		return false
	}
	time.Sleep(3 * time.Second)
	broken := false
	for i := range 6 {
		for _, c := range []struct{ host, path, service string }{{host, "/lookup/farm-1", plainServer}, {other, prefix + "farm-1", secondServer}} {
			a := s.call(s.relays[i%len(s.relays)], http.MethodGet, c.host, c.path, clientWaits, "", http.Header{})
			for _, e := range s.runsOf(a.id) {
				if e.service != c.service {
					s.record("id %s for host %s was run by service %s, its route names %s", a.id, c.host, e.service, c.service)
					broken = true
				}
			}
		}
	}
	return broken
}

// runLastTenant takes the last tenant out of the desired state, and sends requests with its key and with a key that no
// desired state ever held.
func runLastTenant(s *system) bool {
	s.startTwoServices()
	routes := []map[string]any{plainRoute("r-first", host, "/lookup/", "safe", plainServer, 5*time.Second, time.Second, 2)}
	services := []map[string]any{plainService(plainServer)}
	if status := s.putAny(desiredState(7, routes, services)); status != http.StatusOK {
		giveUp("the desired state was answered %d", status)
	}
	s.awaitReady()
	document := desiredState(9, routes, services)
	if s.trouble {
		document = []byte(strings.Replace(string(document), tenantsText, `"tenants":[]`, 1))
	}
	status := s.putAny(document)
	s.record("operator: version 9, answered %d: %s", status, document)
	if status != http.StatusOK {
		return false
	}
	time.Sleep(3 * time.Second)
	broken := false
	for i := range 6 {
		for _, key := range []string{strangeKey, ""} {
			a := s.call(s.relays[i%len(s.relays)], http.MethodGet, host, "/lookup/farm-1", clientWaits, "", http.Header{keyHeader: {key}})
			for _, e := range s.runsOf(a.id) {
				s.record("id %s with the key %q was run by engine %s", a.id, key, e.id)
				broken = broken || key != ""
			}
		}
	}
	return broken
}
