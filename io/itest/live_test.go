package itest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"wasabiweir/core/token"
	"wasabiweir/io/stand"
)

// live is a response that is read step by step.
type live struct {
	t      testing.TB
	status int
	header http.Header
	body   io.ReadCloser
	lines  *bufio.Reader
	text   strings.Builder
	cursor string
}

// sessionLimit ends a response that does not come to its end.
const sessionLimit = 30 * time.Second

func open(t testing.TB, method, address, path, body string, header map[string]string) *live {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), sessionLimit)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+accountToken)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = res.Body.Close() })
	return &live{t: t, status: res.StatusCode, header: res.Header, body: res.Body, lines: bufio.NewReader(res.Body)}
}

// events reads n further events.
func (l *live) events(n int) *live {
	l.t.Helper()
	for n > 0 {
		line, err := l.lines.ReadString('\n')
		if err != nil {
			l.t.Fatalf("stream broke after %q: %v", l.text.String(), err)
		}
		l.text.WriteString(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			l.cursor = strings.TrimSpace(id)
		}
		if line == "\n" {
			n--
		}
	}
	return l
}

// rest reads to the end.
func (l *live) rest() *live {
	l.t.Helper()
	b, err := io.ReadAll(l.lines)
	if err != nil {
		l.t.Fatalf("stream broke after %q: %v", l.text.String(), err)
	}
	l.text.Write(b)
	return l
}

var tokenIDs = regexp.MustCompile(`"token_ids":\[([0-9,]+)\]`)

// verify checks that the whole answer to completion(tokens) was read.
func (l *live) verify(tokens int) {
	l.t.Helper()
	check := token.Checker{Model: "dente", Seed: 7, Prompt: token.Tokenize("mouth history of a mare")}
	for _, m := range tokenIDs.FindAllStringSubmatch(l.text.String(), -1) {
		for _, id := range strings.Split(m[1], ",") {
			n, _ := strconv.ParseUint(id, 10, 32)
			if err := check.Push(uint32(n)); err != nil {
				l.t.Fatal(err)
			}
		}
	}
	if err := check.Finish(tokens); err != nil {
		l.t.Errorf("%v after %s", err, tail(l.text.String(), 2))
	}
}

// record is the response as a caller sees it.
func (l *live) record() string {
	return fmt.Sprintf("< %d\n< Content-Type: %s\n\n%s\n", l.status, l.header.Get("Content-Type"), l.text.String())
}

const resumePath = "/v1/completions/resume"

func completion(tokens int) string {
	return fmt.Sprintf(`{"model":"dente","prompt":"mouth history of a mare","max_tokens":%d,"seed":7,"stream":true}`, tokens)
}

func (s *system) generate(router, tokens int) *live {
	s.t.Helper()
	return open(s.t, http.MethodPost, s.callers[router], "/v1/completions", completion(tokens), nil)
}

func (s *system) resume(router int, cursor string) *live {
	s.t.Helper()
	return open(s.t, http.MethodGet, s.callers[router], resumePath, "", map[string]string{"Last-Event-ID": cursor})
}

// bookingPath is the call that runs at most once for its key.
const bookingPath = "/v1/services/rondas-app/visits"

func (s *system) bookAt(router int, key, body string) *live {
	s.t.Helper()
	return open(s.t, http.MethodPost, s.callers[router], bookingPath, body, map[string]string{"Idempotency-Key": key}).rest()
}

// stats returns the totals of an engine.
func (s *system) stats(engine int) (v stand.Stats) {
	s.t.Helper()
	_, _, body := request(s.t, http.MethodGet, s.models[engine], "/stats", "", nil)
	if err := json.Unmarshal([]byte(body), &v); err != nil {
		s.t.Fatal(err)
	}
	return v
}

func (s *system) started(engine int) int64 { return s.stats(engine).Started }

// busy returns the engine that runs a generation.
func (s *system) busy() *process {
	s.t.Helper()
	for i, e := range s.engines {
		if s.stats(i).Running > 0 {
			return e
		}
	}
	s.t.Fatal("no engine runs a generation")
	return nil
}

var port = regexp.MustCompile(`127\.\d+\.\d+\.1:\d+`)

// steps joins the parts of a session to the text of a golden file.
func steps(parts ...string) string {
	return port.ReplaceAllString(strings.Join(parts, ""), "ADDRESS")
}

// Guards the bytes that a caller sees when its engine is killed, when its router is killed and it resumes at another
// one, when a booking's reply is lost and it books again, and when its router is stopped in a planned way.
func TestSessionsUnderFaults(t *testing.T) {
	t.Parallel()
	s := newSystem(t, plan{controls: 1, routers: 4, engines: 2, engineArgs: []string{"-tokens-per-second", "10"}})
	const tokens = 12

	l := s.generate(0, tokens).events(3)
	killed := s.busy()
	killed.kill()
	golden(t, "engine-killed.golden", steps("> POST /v1/completions\n> ", completion(tokens), "\n", l.events(1).rest().record()))
	killed.run()

	l = s.generate(0, tokens).events(4)
	s.routers[0].kill()
	golden(t, "router-killed.golden", steps("> POST /v1/completions\n> ", completion(tokens), "\n", l.record(),
		"(the router is killed)\n\n> GET ", resumePath, "\n", s.resume(1, l.cursor).rest().record()))

	key := newKey(t)
	fault(t, s.plain, `{"drop-replies":1}`)
	first := s.bookAt(1, key, `{"farm":12}`).record()
	again := s.bookAt(2, key, `{"farm":12}`).record()
	golden(t, "booking-resent.golden", steps("> POST ", bookingPath, "\n> {\"farm\":12}\n", first, "> POST ", bookingPath, "\n> {\"farm\":12}\n", again))
	if e := executions(t, s.plain); e.Keys[key] != 1 {
		t.Errorf("the booking ran %d times", e.Keys[key])
	}

	const long = 40
	l = s.generate(1, long).events(2)
	s.routers[1].signal(syscall.SIGTERM)
	before := open(t, http.MethodGet, s.callers[1], "/v1/services/rondas-app/farms", "", nil).rest().record()
	time.Sleep(2500 * time.Millisecond) // the address time to live and the time to tell the other routers
	refused := s.generate(1, long).rest().record()
	golden(t, "drain.golden", steps("> POST /v1/completions\n> ", completion(long), "\n(the router gets SIGTERM)\n\n> GET /v1/services/rondas-app/farms\n",
		before, "(the addresses' time to live ends)\n\n> POST /v1/completions\n", refused, "(the first stream goes on)\n\n", l.rest().record()))
	s.routers[1].ended(0)
}

// ended waits for the process to end by itself with the exit code.
func (p *process) ended(code int) {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(stopLimit):
		p.t.Fatalf("%s did not end within %s", p.name, stopLimit)
	}
	if got := p.cmd.ProcessState.ExitCode(); got != code {
		p.t.Fatalf("%s ended with code %d, want %d", p.name, got, code)
	}
}

// Guards against a stream that hangs when no quorum of its journal holders is left while its own router lives.
func TestTwoHoldersLost(t *testing.T) {
	t.Parallel()
	s := newSystem(t, plan{controls: 1, routers: 3, engines: 1, engineArgs: []string{"-tokens-per-second", "10"}})
	l := s.generate(0, 500).events(3)
	s.routers[1].kill()
	s.routers[2].kill()
	l.rest()
	const want = `"reason":"journal-lost","outcome":"unknown"`
	if !strings.Contains(l.text.String(), "event: error\ndata: ") || !strings.Contains(l.text.String(), want) {
		t.Errorf("the stream ended with %s, want %s", tail(l.text.String(), 4), want)
	}
	if r := s.resume(0, l.cursor).rest(); !strings.Contains(r.text.String(), want) {
		t.Errorf("resume: %s, want %s", r.record(), want)
	}
}
