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

// system is a complete system of separate processes under test.
type system struct {
	t        testing.TB
	controls []*process
	routers  []*process
	engines  []*process
	service  *process

	operatorAddresses []string    // addresses of the control processes for operators
	routerAddresses   []string    // addresses of the routers for callers
	engineAddresses   []string    // addresses of the engines
	serviceAddress    string      // address of the service
	dir               string      // holds the data directories of the control processes
	relays            relayGroups // set with systemSpec.viaRelays
}

// systemSpec says how many processes of each kind a system has, with which arguments.
type systemSpec struct {
	controls, routers, engines int
	engineArgs                 []string
	controlArgs                []string
	routerArgs                 []string
	// controlNetwork carries the connections between control processes; nil means direct connections.
	controlNetwork *proxyNetwork
	// feedNetwork carries the connections from routers to control processes; nil means direct connections.
	feedNetwork *proxyNetwork
	viaRelays   bool // routers reach engines, control processes and each other through relays
}

// domains holds the failure domains over which the processes are spread.
var domains = []string{"petrolina", "juazeiro", "caruaru"}

// hashToken returns the hash of a token in the form of the configuration.
func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// newSystem starts the processes, publishes a configuration and waits until all processes have applied it.
func newSystem(t testing.TB, p systemSpec) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir()}
	s.startEndpoints(p)
	peers := s.startControls(p)
	if p.viaRelays {
		s.engineAddresses = s.relays.add(t, "engine", s.engineAddresses)
		peers = s.relays.add(t, "control", peers)
	}
	s.startRouters(p, peers)
	for _, a := range s.operatorAddresses {
		eventually(t, startTimeout, func() error { return checkReady(a) })
	}
	s.apply(s.configuration(), "-wait", "15s")
	for _, a := range s.routerAddresses {
		eventually(t, startTimeout, func() error { return checkReady(a) })
	}
	eventually(t, startTimeout, func() error { return s.checkSettled(p) })
	return s
}

// checkSettled returns an error if the status reports a problem or does not list all routers.
func (s *system) checkSettled(p systemSpec) error {
	st, err := s.readStatus()
	if err != nil {
		return err
	}
	if len(st.Problems) > 0 || len(st.Routers) != p.routers {
		return fmt.Errorf("%d routers, problems: %v", len(st.Routers), st.Problems)
	}
	return nil
}

// startEndpoints starts the engines and the plain service, which are stand-ins.
func (s *system) startEndpoints(p systemSpec) {
	free := freeAddresses(p.engines + 1)
	s.engineAddresses, s.serviceAddress = free[:p.engines], free[p.engines]
	for i, a := range s.engineAddresses {
		args := append([]string{"standin", "engine", "-listen", a, "-models", "dente@1"}, p.engineArgs...)
		s.engines = append(s.engines, startProcess(s.t, "engine-"+strconv.Itoa(i+1), args...))
	}
	s.service = startProcess(s.t, "service", "standin", "service", "-listen", s.serviceAddress)
}

// startControls starts the control processes and returns their addresses for peers.
func (s *system) startControls(p systemSpec) (peers []string) {
	free := freeAddresses(2 * p.controls)
	var members []string
	for i := range p.controls {
		peers = append(peers, free[2*i])
		s.operatorAddresses = append(s.operatorAddresses, free[2*i+1])
		members = append(members, fmt.Sprintf("control-%d=%s", i+1, free[2*i]))
	}
	for i := range p.controls {
		name := fmt.Sprintf("control-%d", i+1)
		if p.controlNetwork != nil {
			members = p.controlNetwork.memberAddresses(s.t, i, peers)
		}
		args := []string{
			"control", "-name", name, "-domain", domains[i%3],
			"-listen", s.operatorAddresses[i], "-peer-listen", peers[i], "-members", strings.Join(members, ","),
			"-operators", "ops=" + hashToken(operatorToken), "-data-dir", filepath.Join(s.dir, name), "-peer-key", peerKey,
		}
		s.controls = append(s.controls, startProcess(s.t, name, append(args, p.controlArgs...)...))
	}
	return peers
}

// startRouters starts the routers, which follow the control processes at the given addresses.
func (s *system) startRouters(p systemSpec, controls []string) {
	free := freeAddresses(2 * p.routers)
	for i := range p.routers {
		name := fmt.Sprintf("router-%d", i+1)
		s.routerAddresses = append(s.routerAddresses, free[2*i])
		controls := controls
		if p.feedNetwork != nil {
			controls = p.feedNetwork.controlAddresses(s.t, i, controls)
		}
		args := []string{
			"router", "-name", name, "-domain", domains[i%3], "-listen", free[2*i], "-peer-listen", free[2*i+1],
			"-controls", strings.Join(controls, ","), "-peer-key", peerKey, "-address-ttl", "500ms",
		}
		if p.viaRelays {
			args = append(args, "-peer-address", s.relays.add(s.t, "router", free[2*i+1:2*i+2])[0])
		}
		s.routers = append(s.routers, startProcess(s.t, name, append(args, p.routerArgs...)...))
	}
}

// configuration returns the change file that declares the whole system.
func (s *system) configuration() string {
	objects := []map[string]any{
		{"kind": "service", "name": "dente-llm", "type": "model"},
		{"kind": "service", "name": "rondas-app", "type": "plain", "timeout-ms": 3000},
		{"kind": "account", "name": "vets", "token-hashes": []string{hashToken(accountToken)}},
		{"kind": "account", "name": "farms", "token-hashes": []string{hashToken("farms-secret")}},
		{"kind": "model", "name": "dente", "service": "dente-llm", "version": "1"},
		{"kind": "intent", "name": "visits", "service": "rondas-app"},
		{"kind": "endpoint", "name": "rondas-1", "service": "rondas-app", "address": s.serviceAddress, "domain": "petrolina"},
	}
	if len(s.engineAddresses) > 0 {
		objects = append(objects, map[string]any{
			"kind": "intent", "name": "plans", "service": "dente-llm", "model": "dente", "accounts": []string{"vets"},
		})
	}
	for i, a := range s.engineAddresses {
		objects = append(objects, engineObject(i, a, true))
	}
	return encodeChange(s.t, map[string]any{"objects": objects})
}

// engineObject returns the declaration of engine i at the address.
func engineObject(i int, address string, checksFencing bool) map[string]any {
	return map[string]any{
		"kind": "endpoint", "name": fmt.Sprintf("engine-%d", i+1), "service": "dente-llm", "address": address,
		"domain": domains[i%3], "slots": 64, "checks-fencing": checksFencing,
	}
}

// encodeChange returns the contents of a change file.
func encodeChange(t testing.TB, change any) string {
	t.Helper()
	data, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// apply publishes a change with the apply command, stops the test unless it is accepted, and returns the output.
func (s *system) apply(contents string, args ...string) string {
	s.t.Helper()
	out, err := s.tryApply(contents, args...)
	if err != nil {
		s.t.Fatalf("apply: %v\n%s", err, out)
	}
	return out
}

// tryApply publishes a change with the apply command and returns its output.
func (s *system) tryApply(contents string, args ...string) (string, error) {
	s.t.Helper()
	file := filepath.Join(s.dir, "change.json")
	if err := os.WriteFile(file, []byte(contents), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return runCommand(s.t, s.commandArgs("apply", append(args, file)...)...)
}

// commandArgs returns the arguments of an operator command, with the control addresses and the token.
func (s *system) commandArgs(name string, args ...string) []string {
	return append([]string{name, "-control", strings.Join(s.operatorAddresses, ","), "-token", operatorToken}, args...)
}

// stopAll stops each process with SIGTERM and checks that it exits with code 0.
func (s *system) stopAll() {
	s.t.Helper()
	for _, list := range [][]*process{s.routers, s.controls, s.engines, {s.service}} {
		for _, p := range list {
			p.stop()
		}
	}
}
