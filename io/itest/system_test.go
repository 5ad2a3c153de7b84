package itest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// system is a whole system of separate processes.
type system struct {
	t        testing.TB
	controls []*process
	routers  []*process
	engines  []*process
	service  *process

	operators []string // addresses of the control processes for operators
	callers   []string // addresses of the routers for callers
	models    []string // addresses of the engines
	plain     string   // address of the service
	dir       string
	relays    relays
}

// plan says what a system consists of.
type plan struct {
	controls, routers, engines int
	engineArgs                 []string
	controlArgs                []string
	routerArgs                 []string
	// network carries the connections between control processes; it may be nil.
	network *network
	// feeds carries the connections from routers to control processes; it may be nil.
	feeds   *network
	relayed bool // routers reach engines, controls and each other through relays
}

var domains = []string{"petrolina", "juazeiro", "caruaru"}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// newSystem starts the processes, publishes a configuration and waits until it is in force everywhere.
func newSystem(t testing.TB, p plan) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir()}
	s.startEndpoints(p)
	peers := s.startControls(p)
	if p.relayed {
		s.models = s.relays.add(t, "engine", s.models)
		peers = s.relays.add(t, "control", peers)
	}
	s.startRouters(p, peers)
	for _, a := range s.operators {
		eventually(t, startLimit, func() error { return ready(a) })
	}
	s.apply(s.configuration(), "-wait", "15s")
	for _, a := range s.callers {
		eventually(t, startLimit, func() error { return ready(a) })
	}
	eventually(t, startLimit, func() error { return s.settled(p) })
	return s
}

// settled reports whether all control processes vote and all routers are known.
func (s *system) settled(p plan) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	if len(st.Problems) > 0 || len(st.Routers) != p.routers {
		return fmt.Errorf("%d routers, problems: %v", len(st.Routers), st.Problems)
	}
	return nil
}

func (s *system) startEndpoints(p plan) {
	free := addresses(p.engines + 1)
	s.models, s.plain = free[:p.engines], free[p.engines]
	for i, a := range s.models {
		args := append([]string{"standin", "engine", "-listen", a, "-models", "dente@1"}, p.engineArgs...)
		s.engines = append(s.engines, start(s.t, "engine-"+strconv.Itoa(i+1), args...))
	}
	s.service = start(s.t, "service", "standin", "service", "-listen", s.plain)
}

func (s *system) startControls(p plan) (peers []string) {
	free := addresses(2 * p.controls)
	var members []string
	for i := range p.controls {
		peers = append(peers, free[2*i])
		s.operators = append(s.operators, free[2*i+1])
		members = append(members, fmt.Sprintf("control-%d=%s", i+1, free[2*i]))
	}
	for i := range p.controls {
		name := fmt.Sprintf("control-%d", i+1)
		if p.network != nil {
			members = p.network.members(s.t, i, peers)
		}
		args := []string{
			"control", "-name", name, "-domain", domains[i%3],
			"-listen", s.operators[i], "-peer-listen", peers[i], "-members", strings.Join(members, ","),
			"-operators", "ops=" + hash(operatorToken), "-data-dir", filepath.Join(s.dir, name), "-peer-key", peerKeyText,
		}
		s.controls = append(s.controls, start(s.t, name, append(args, p.controlArgs...)...))
	}
	return peers
}

func (s *system) startRouters(p plan, controls []string) {
	free := addresses(2 * p.routers)
	for i := range p.routers {
		name := fmt.Sprintf("router-%d", i+1)
		s.callers = append(s.callers, free[2*i])
		controls := controls
		if p.feeds != nil {
			controls = p.feeds.controls(s.t, i, controls)
		}
		args := []string{
			"router", "-name", name, "-domain", domains[i%3], "-listen", free[2*i], "-peer-listen", free[2*i+1],
			"-controls", strings.Join(controls, ","), "-peer-key", peerKeyText, "-address-ttl", "500ms",
		}
		if p.relayed {
			args = append(args, "-peer-address", s.relays.add(s.t, "router", free[2*i+1:2*i+2])[0])
		}
		s.routers = append(s.routers, start(s.t, name, append(args, p.routerArgs...)...))
	}
}

// configuration is the change file that declares the whole system.
func (s *system) configuration() string {
	objects := []map[string]any{
		{"kind": "service", "name": "dente-llm", "type": "model"},
		{"kind": "service", "name": "rondas-app", "type": "plain", "timeout-ms": 3000},
		{"kind": "account", "name": "vets", "token-hashes": []string{hash(accountToken)}},
		{"kind": "account", "name": "farms", "token-hashes": []string{hash("farms-secret")}},
		{"kind": "model", "name": "dente", "service": "dente-llm", "version": "1"},
		{"kind": "intent", "name": "visits", "service": "rondas-app"},
		{"kind": "endpoint", "name": "rondas-1", "service": "rondas-app", "address": s.plain, "domain": "petrolina"},
	}
	if len(s.models) > 0 {
		objects = append(objects, map[string]any{
			"kind": "intent", "name": "plans", "service": "dente-llm", "model": "dente", "accounts": []string{"vets"},
		})
	}
	for i, a := range s.models {
		objects = append(objects, map[string]any{
			"kind": "endpoint", "name": fmt.Sprintf("engine-%d", i+1), "service": "dente-llm", "address": a,
			"domain": domains[i%3], "slots": 64, "checks-fencing": true,
		})
	}
	data, err := json.Marshal(map[string]any{"objects": objects})
	if err != nil {
		s.t.Fatal(err)
	}
	return string(data)
}

// apply publishes a change file and fails the test unless it is accepted.
func (s *system) apply(contents string, args ...string) string {
	s.t.Helper()
	out, err := s.tryApply(contents, args...)
	if err != nil {
		s.t.Fatalf("apply: %v\n%s", err, out)
	}
	return out
}

func (s *system) tryApply(contents string, args ...string) (string, error) {
	s.t.Helper()
	file := filepath.Join(s.dir, "change.json")
	if err := os.WriteFile(file, []byte(contents), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return command(s.t, s.withControl("apply", append(args, file)...)...)
}

func (s *system) withControl(name string, args ...string) []string {
	return append([]string{name, "-control", strings.Join(s.operators, ","), "-token", operatorToken}, args...)
}

// stopAll stops each process with one signal and checks that it ends cleanly.
func (s *system) stopAll() {
	s.t.Helper()
	for _, list := range [][]*process{s.routers, s.controls, s.engines, {s.service}} {
		for _, p := range list {
			p.stop()
		}
	}
}
