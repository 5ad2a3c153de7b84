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

// streamResponse is an HTTP response that is read event by event.
type streamResponse struct {
	t        testing.TB
	status   int
	header   http.Header
	body     io.ReadCloser
	reader   *bufio.Reader
	received strings.Builder // what was read of the body so far
	cursor   string          // id of the latest event read
}

// responseTimeout cancels a response that does not end.
const responseTimeout = 30 * time.Second

// openResponse sends a request of the account on a new connection and returns the response, with its body unread.
func openResponse(t testing.TB, method, address, path, body string, header map[string]string) *streamResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), responseTimeout)
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
	return &streamResponse{t: t, status: res.StatusCode, header: res.Header, body: res.Body, reader: bufio.NewReader(res.Body)}
}

// readEvents reads the next n server-sent events.
func (l *streamResponse) readEvents(n int) *streamResponse {
	l.t.Helper()
	for n > 0 {
		line, err := l.reader.ReadString('\n')
		if err != nil {
			l.t.Fatalf("stream broke after %q: %v", l.received.String(), err)
		}
		l.received.WriteString(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			l.cursor = strings.TrimSpace(id)
		}
		if line == "\n" {
			n--
		}
	}
	return l
}

// readToEnd reads the rest of the response.
func (l *streamResponse) readToEnd() *streamResponse {
	l.t.Helper()
	b, err := io.ReadAll(l.reader)
	if err != nil {
		l.t.Fatalf("stream broke after %q: %v", l.received.String(), err)
	}
	l.received.Write(b)
	return l
}

// tokenIDsPattern matches the token ids of an event.
var tokenIDsPattern = regexp.MustCompile(`"token_ids":\[([0-9,]+)\]`)

// verifyCompletion checks that the whole answer to completionBody(tokens) was read, token by token.
func (l *streamResponse) verifyCompletion(tokens int) {
	l.t.Helper()
	check := l.verifyTokens()
	if err := check.Finish(tokens); err != nil {
		l.t.Errorf("%v after %s", err, lastLines(l.received.String(), 2))
	}
}

// verifyTokens checks that what was read of the answer to completionBody is correct from its first token on.
func (l *streamResponse) verifyTokens() *token.Checker {
	l.t.Helper()
	check := token.Checker{Model: "dente", Seed: 7, Prompt: token.Tokenize("mouth history of a mare")}
	for _, m := range tokenIDsPattern.FindAllStringSubmatch(l.received.String(), -1) {
		for _, id := range strings.Split(m[1], ",") {
			n, _ := strconv.ParseUint(id, 10, 32)
			if err := check.Push(uint32(n)); err != nil {
				l.t.Fatal(err)
			}
		}
	}
	return &check
}

// transcript returns the response as it is written in golden files.
func (l *streamResponse) transcript() string {
	return fmt.Sprintf("< %d\n< Content-Type: %s\n\n%s\n", l.status, l.header.Get("Content-Type"), l.received.String())
}

// resumePath is the path at which a caller resumes a completion.
const resumePath = "/v1/completions/resume"

// completionBody returns the body of a streamed completion request of the given length.
func completionBody(tokens int) string {
	return fmt.Sprintf(`{"model":"dente","prompt":"mouth history of a mare","max_tokens":%d,"seed":7,"stream":true}`, tokens)
}

// startCompletion requests a streamed completion of the given length from a router.
func (s *system) startCompletion(router, tokens int) *streamResponse {
	s.t.Helper()
	return openResponse(s.t, http.MethodPost, s.routerAddresses[router], "/v1/completions", completionBody(tokens), nil)
}

// resumeCompletion resumes a completion after the event that the cursor names.
func (s *system) resumeCompletion(router int, cursor string) *streamResponse {
	s.t.Helper()
	return openResponse(s.t, http.MethodGet, s.routerAddresses[router], resumePath, "", map[string]string{"Last-Event-ID": cursor})
}

// callPath is the path of a service call that runs at most once per idempotency key.
const callPath = "/v1/services/rondas-app/visits"

// callAt sends a service call with an idempotency key to a router and reads the answer.
func (s *system) callAt(router int, key, body string) *streamResponse {
	s.t.Helper()
	return openResponse(s.t, http.MethodPost, s.routerAddresses[router], callPath, body, map[string]string{"Idempotency-Key": key}).readToEnd()
}

// engineStats returns the statistics of an engine.
func (s *system) engineStats(engine int) (v stand.Stats) {
	s.t.Helper()
	_, _, body := sendRequest(s.t, http.MethodGet, s.engineAddresses[engine], "/stats", "", nil)
	if err := json.Unmarshal([]byte(body), &v); err != nil {
		s.t.Fatal(err)
	}
	return v
}

// startedGenerations returns the number of generations that an engine has started.
func (s *system) startedGenerations(engine int) int64 { return s.engineStats(engine).Started }

// runningEngine returns the process of the first engine that runs a generation.
func (s *system) runningEngine() *process {
	s.t.Helper()
	for i, e := range s.engines {
		if s.engineStats(i).Running > 0 {
			return e
		}
	}
	s.t.Fatal("no engine runs a generation")
	return nil
}

// addressPattern matches a loopback address of a test process.
var addressPattern = regexp.MustCompile(`127\.\d+\.\d+\.1:\d+`)

// joinTranscript joins the parts of a session into the text of a golden file, with the addresses replaced.
func joinTranscript(parts ...string) string {
	return addressPattern.ReplaceAllString(strings.Join(parts, ""), "ADDRESS")
}

// Guards against changes to the bytes that a caller receives when its engine is killed, when its router is killed and
// it resumes at another one, when the reply to a call is lost and it sends the call again, and when its router drains.
func TestSessionsUnderFaults(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 1, routers: 4, engines: 2, engineArgs: []string{"-tokens-per-second", "10"}})
	const tokens = 12

	l := s.startCompletion(0, tokens).readEvents(3)
	killed := s.runningEngine()
	killed.kill()
	compareGolden(t, "engine-killed.golden", joinTranscript("> POST /v1/completions\n> ", completionBody(tokens), "\n", l.readEvents(1).readToEnd().transcript()))
	killed.launch()

	l = s.startCompletion(0, tokens).readEvents(4)
	s.routers[0].kill()
	compareGolden(t, "router-killed.golden", joinTranscript("> POST /v1/completions\n> ", completionBody(tokens), "\n", l.transcript(),
		"(the router is killed)\n\n> GET ", resumePath, "\n", s.resumeCompletion(1, l.cursor).readToEnd().transcript()))

	key := newIdempotencyKey(t)
	injectFault(t, s.serviceAddress, `{"drop-replies":1}`)
	first := s.callAt(1, key, `{"farm":12}`).transcript()
	again := s.callAt(2, key, `{"farm":12}`).transcript()
	compareGolden(t, "booking-resent.golden", joinTranscript("> POST ", callPath, "\n> {\"farm\":12}\n", first, "> POST ", callPath, "\n> {\"farm\":12}\n", again))
	if e := readExecutions(t, s.serviceAddress); e.Keys[key] != 1 {
		t.Errorf("the call ran %d times", e.Keys[key])
	}

	const long = 40
	l = s.startCompletion(1, long).readEvents(2)
	s.routers[1].signal(syscall.SIGTERM)
	before := openResponse(t, http.MethodGet, s.routerAddresses[1], "/v1/services/rondas-app/farms", "", nil).readToEnd().transcript()
	time.Sleep(2500 * time.Millisecond) // the addresses' time to live and the time until the other routers know
	refused := s.startCompletion(1, long).readToEnd().transcript()
	compareGolden(t, "drain.golden", joinTranscript("> POST /v1/completions\n> ", completionBody(long), "\n(the router gets SIGTERM)\n\n> GET /v1/services/rondas-app/farms\n",
		before, "(the addresses' time to live ends)\n\n> POST /v1/completions\n", refused, "(the first stream goes on)\n\n", l.readToEnd().transcript()))
	s.routers[1].expectExit(0)
}

// Guards against a stream that hangs when its router still runs but no quorum of the routers that hold its journal is
// left.
func TestTwoHoldersLost(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 1, routers: 3, engines: 1, engineArgs: []string{"-tokens-per-second", "10"}})
	l := s.startCompletion(0, 500).readEvents(3)
	s.routers[1].kill()
	s.routers[2].kill()
	l.readToEnd()
	const want = `"reason":"journal-lost","outcome":"unknown"`
	if !strings.Contains(l.received.String(), "event: error\ndata: ") || !strings.Contains(l.received.String(), want) {
		t.Errorf("the stream ended with %s, want %s", lastLines(l.received.String(), 4), want)
	}
	if r := s.resumeCompletion(0, l.cursor).readToEnd(); !strings.Contains(r.received.String(), want) {
		t.Errorf("resume: %s, want %s", r.transcript(), want)
	}
}
