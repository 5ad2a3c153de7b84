package itest

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"wasabiweir/core/token"
	"wasabiweir/io/ctrl"
	"wasabiweir/io/stand"

	"github.com/google/uuid"
)

// updateGolden makes the tests rewrite their golden files.
var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// readStatus returns the status that the status command prints.
func (s *system) readStatus() (ctrl.Status, error) {
	var st ctrl.Status
	out, err := runCommand(s.t, s.commandArgs("status", "-format", "json")...)
	if err != nil {
		return st, fmt.Errorf("%w: %s", err, out)
	}
	return st, json.Unmarshal([]byte(out), &st)
}

// sendRequest sends a request of the account on a new connection and returns the status, header and body of the
// response.
func sendRequest(t testing.TB, method, address, path, body string, header map[string]string) (int, http.Header, string) {
	t.Helper()
	l := openResponse(t, method, address, path, body, header).readToEnd()
	return l.status, l.header, l.received.String()
}

// readExecutions returns the executions that the stand-in service has counted.
func readExecutions(t testing.TB, address string) stand.Executions {
	t.Helper()
	_, _, body := sendRequest(t, http.MethodGet, address, "/executions", "", nil)
	var e stand.Executions
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatal(err)
	}
	return e
}

// newIdempotencyKey returns a new random key.
func newIdempotencyKey(t testing.TB) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return key.String()
}

// Patterns of the random parts of a session.
var (
	cursorPattern    = regexp.MustCompile(`(?m)^id: .*$`)
	requestIDPattern = regexp.MustCompile(`"id":"[0-9a-f-]{36}"`)
)

// compareGolden compares a session with its golden file; request ids and cursors, which are random, are replaced by
// fixed words.
func compareGolden(t testing.TB, name, got string) {
	t.Helper()
	got = cursorPattern.ReplaceAllString(got, "id: CURSOR")
	got = requestIDPattern.ReplaceAllString(got, `"id":"REQUEST"`)
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("session differs from %s:\n%s", path, got)
	}
}

// Guards against faults between separate processes on the basic path: publish a configuration, stream a completion, run
// a call once, stop cleanly.
func TestWholePath(t *testing.T) {
	s := newSystem(t, systemSpec{controls: 1, routers: 2, engines: 3, engineArgs: []string{"-tokens-per-second", "10"}})

	body := `{"model":"dente","prompt":"mouth history of a mare","max_tokens":6,"seed":7,"stream":true}`
	status, header, got := sendRequest(t, http.MethodPost, s.routerAddresses[0], "/v1/completions", body, nil)
	session := fmt.Sprintf("> POST /v1/completions\n> %s\n< %d\n< Content-Type: %s\n\n%s", body, status, header.Get("Content-Type"), got)
	compareGolden(t, "stream.golden", session)

	check := token.Checker{Model: "dente", Seed: 7, Prompt: token.Tokenize("mouth history of a mare")}
	status, _, got = sendRequest(t, http.MethodPost, s.routerAddresses[1], "/v1/completions", strings.Replace(body, `"stream":true`, `"stream":false`, 1), nil)
	var whole struct {
		Choices []struct {
			TokenIDs []uint32 `json:"token_ids"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(got), &whole); err != nil || status != http.StatusOK {
		t.Fatalf("whole answer: %d %s", status, got)
	}
	for _, id := range whole.Choices[0].TokenIDs {
		if err := check.Push(id); err != nil {
			t.Fatal(err)
		}
	}
	if err := check.Finish(6); err != nil {
		t.Fatal(err)
	}

	key := newIdempotencyKey(t)
	for _, router := range s.routerAddresses {
		status, _, got := sendRequest(t, http.MethodPost, router, "/v1/services/rondas-app/visits", `{"farm":12}`, map[string]string{"Idempotency-Key": key})
		if status != http.StatusOK || !strings.Contains(got, `"execution":1`) {
			t.Fatalf("call: %d %s", status, got)
		}
	}
	if e := readExecutions(t, s.serviceAddress); e.Keys[key] != 1 {
		t.Fatalf("the call ran %d times", e.Keys[key])
	}
	s.stopAll()
}

// Guards against invalid input that is refused without naming the field, or that changes anything.
func TestBadInput(t *testing.T) {
	s := newSystem(t, systemSpec{controls: 1, routers: 1, engines: 1})
	for _, c := range []struct {
		name, path, body string
		header           map[string]string
		status           int
		want             string
	}{
		{"unknown model", "/v1/completions", `{"model":"nobody","prompt":"x"}`, nil, 404, `"reason":"unknown-model","outcome":"not-run","field":"model"`},
		{"malformed JSON", "/v1/completions", `{"model":`, nil, 400, `"field":"body"`},
		{"wrong type", "/v1/completions", `{"model":"dente","prompt":"x","max_tokens":"many"}`, nil, 400, `"field":"max_tokens"`},
		{"empty prompt", "/v1/completions", `{"model":"dente","prompt":""}`, nil, 400, `"field":"prompt"`},
		{"oversized body", "/v1/completions", `{"model":"dente","prompt":"` + strings.Repeat("x", 9<<20) + `"}`, nil, 413, `"reason":"body-too-large"`},
		{"unknown account", "/v1/completions", `{"model":"dente","prompt":"x"}`, map[string]string{"Authorization": "Bearer stranger"}, 401, `"field":"Authorization"`},
		{"account without intent", "/v1/completions", `{"model":"dente","prompt":"x"}`, map[string]string{"Authorization": "Bearer farms-secret"}, 403, `"reason":"not-allowed"`},
		{"unknown service", "/v1/services/nobody/x", `{}`, nil, 404, `"field":"service"`},
		{"call without key", "/v1/services/rondas-app/visits", `{}`, nil, 400, `"reason":"key-missing","outcome":"not-run","field":"Idempotency-Key"`},
		{"key of another form", "/v1/services/rondas-app/visits", `{}`, map[string]string{"Idempotency-Key": "mine"}, 400, `"reason":"key-invalid","outcome":"not-run"`},
	} {
		status, _, got := sendRequest(t, http.MethodPost, s.routerAddresses[0], c.path, c.body, c.header)
		if status != c.status || !strings.Contains(got, c.want) {
			t.Errorf("%s: %d %s, want %d with %s", c.name, status, got, c.status, c.want)
		}
	}
	if e := readExecutions(t, s.serviceAddress); e.Total != 0 {
		t.Errorf("refused calls ran %d times", e.Total)
	}

	before, _ := runCommand(t, s.commandArgs("get")...)
	out, err := s.tryApply(`{"objects":[{"kind":"endpoint","name":"engine-9","service":"nobody","address":"127.0.0.1:1","domain":"caruaru"}]}`)
	if err == nil || !strings.Contains(out, "change.json: endpoint/engine-9: service") {
		t.Errorf("dangling reference: %v %s", err, out)
	}
	if after, _ := runCommand(t, s.commandArgs("get")...); after != before {
		t.Errorf("a refused change altered the objects:\n%s", after)
	}

	out, err = runCommand(t, "router", "-name", "", "-listen", "somewhere", "-colour", "red", "-peer-key", "short")
	if err == nil {
		t.Fatal("faulty settings were accepted")
	}
	for _, want := range []string{"-colour", `-listen: value "somewhere"`, "-name", "-peer-key", "-domain", "-controls"} {
		if !strings.Contains(out, want) {
			t.Errorf("the errors of the settings do not name %s:\n%s", want, out)
		}
	}
	if strings.Contains(out, "short") {
		t.Errorf("the peer key is printed:\n%s", out)
	}
}
