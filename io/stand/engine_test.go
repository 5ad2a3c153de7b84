package stand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"wasabiweir/core/token"
)

// testTimeout bounds each wait in a test. It is far longer than a working stand-in needs.
const testTimeout = 10 * time.Second

// listen opens a listener on a free loopback port and returns it with its base URL.
func listen(t *testing.T) (net.Listener, string) {
	t.Helper()
	l := Listen(t)
	return l, "http://" + l.Addr().String()
}

// runner is implemented by all stand-ins.
type runner interface {
	Run(ctx context.Context) error
}

// startStandIn runs a stand-in until the test ends. The returned channel receives the error of Run.
func startStandIn(t *testing.T, r runner) chan error {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		ended <- r.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-finished })
	return ended
}

// startEngine runs an engine stand-in until the test ends, by default with one model named m. It returns the base URL
// and the channel that receives the error of Run.
func startEngine(t *testing.T, e *Engine) (string, chan error) {
	t.Helper()
	var url string
	e.Listener, url = listen(t)
	if e.Models == nil {
		e.Models = []string{"m"}
	}
	if e.TokensPerSecond == 0 {
		e.TokensPerSecond = 5000
	}
	ended := startStandIn(t, e)
	get(t, url+"/health")
	return url, ended
}

// newClient returns an HTTP client with a connection pool of its own.
func newClient(t *testing.T) *http.Client {
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: testTimeout}
}

// get returns the body of the reply to a GET request.
func get(t *testing.T, url string) string {
	t.Helper()
	r, err := newClient(t).Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body)
	return string(b)
}

// post sends a JSON body and returns the status and the body of the reply, or status 0 and the error's text.
func post(t *testing.T, url string, body any) (int, string) {
	t.Helper()
	b, _ := json.Marshal(body)
	r, err := newClient(t).Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	b, _ = io.ReadAll(r.Body)
	return r.StatusCode, string(b)
}

// fields is the content of a JSON request body.
type fields = map[string]any

// completeWhole requests a completion without streaming and returns its token ids.
func completeWhole(t *testing.T, url string, body fields) []uint32 {
	t.Helper()
	body["model"] = "m"
	body["return_token_ids"] = true
	code, text := post(t, url+"/v1/completions", body)
	var rep completionReply
	if err := json.Unmarshal([]byte(text), &rep); code != http.StatusOK || err != nil {
		t.Fatalf("status %d: %s", code, text)
	}
	return rep.Choices[0].TokenIDs
}

// openStream starts a streamed completion. It returns a reader of the reply body and a function that cancels the
// request.
func openStream(t *testing.T, url string, body fields) (*bufio.Reader, func()) {
	t.Helper()
	body["model"] = "m"
	body["stream"] = true
	b, _ := json.Marshal(body)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(b))
	r, err := newClient(t).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Body.Close() })
	return bufio.NewReader(r.Body), cancel
}

// eventually polls a condition and fails the test if it does not hold within testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// Guards against different output when a generation is resumed by sending its prompt and the tokens so far as token
// ids.
func TestResumeFromPrefixIsExact(t *testing.T) {
	a, _ := startEngine(t, &Engine{Salt: 3})
	b, _ := startEngine(t, &Engine{Salt: 3})
	c, _ := startEngine(t, &Engine{Salt: 9})
	all := completeWhole(t, a, fields{"prompt": "one two three", "max_tokens": 40, "seed": 5})
	ids := append(token.Tokenize("one two three"), all[:17]...)
	if rest := completeWhole(t, b, fields{"prompt": ids, "max_tokens": 23, "seed": 5}); !slices.Equal(rest, all[17:]) {
		t.Fatal("the same salt continues with other tokens")
	}
	check := token.Checker{Model: "m", Seed: 5, Prompt: token.Tokenize("one two three")}
	for _, id := range append(all[:17], completeWhole(t, c, fields{"prompt": ids, "max_tokens": 23, "seed": 5})...) {
		if err := check.Push(id); err != nil {
			t.Fatal(err)
		}
	}
	seed := token.SeedEndingAt(5, 10)
	if n := len(completeWhole(t, a, fields{"prompt": "one two three", "max_tokens": 40, "seed": seed})); n != 7 {
		t.Fatalf("got %d tokens, want the end after 7", n)
	}
}

// Guards against a disconnected caller whose request keeps its slot or its place in the queue.
func TestCancelFreesTheSlot(t *testing.T) {
	e := &Engine{Slots: 1, TokensPerSecond: 200}
	url, _ := startEngine(t, e)
	_, first := openStream(t, url, fields{"prompt": "long", "max_tokens": 1 << 20})
	eventually(t, "first runs", func() bool { return e.Stats().Running == 1 })
	_, second := openStream(t, url, fields{"prompt": "waiting", "max_tokens": 1 << 20})
	eventually(t, "second waits", func() bool { return e.Stats().Waiting == 1 })
	second()
	eventually(t, "second is gone", func() bool { return e.Stats().Waiting == 0 })
	first()
	if n := len(completeWhole(t, url, fields{"prompt": "next", "max_tokens": 3})); n != 3 {
		t.Fatalf("got %d tokens", n)
	}
	if s := e.Stats(); s.Cancelled != 2 {
		t.Fatalf("cancelled %d, want 2", s.Cancelled)
	}
}

// Guards against a queue that does not run the request with the lowest priority value first.
func TestLowerPriorityValueRunsFirst(t *testing.T) {
	e := &Engine{Slots: 1, TokensPerSecond: 200}
	url, _ := startEngine(t, e)
	_, release := openStream(t, url, fields{"prompt": "x", "max_tokens": 1 << 20})
	eventually(t, "blocker runs", func() bool { return e.Stats().Running == 1 })
	order := make(chan int, 3)
	for i, p := range []int{5, 1, 3} {
		go func() {
			post(t, url+"/v1/completions", fields{"model": "m", "prompt": "x", "max_tokens": 20, "priority": p})
			order <- p
		}()
		eventually(t, "request waits", func() bool { return e.Stats().Waiting == i+1 })
	}
	release()
	for _, want := range []int{1, 3, 5} {
		if got := <-order; got != want {
			t.Fatalf("priority %d ended, want %d", got, want)
		}
	}
}

// Guards against error replies that a client of the completions API cannot parse.
func TestRefusals(t *testing.T) {
	url, _ := startEngine(t, &Engine{ContextTokens: 50, RecordSeeds: true})
	for name, c := range map[string]struct {
		body fields
		code int
	}{
		"unknown model": {fields{"model": "x", "prompt": "a"}, http.StatusNotFound},
		"empty prompt":  {fields{"model": "m", "prompt": ""}, http.StatusBadRequest},
		"context":       {fields{"model": "m", "prompt": "a", "max_tokens": 50}, http.StatusBadRequest},
	} {
		code, text := post(t, url+"/v1/completions", c.body)
		var e apiError
		if err := json.Unmarshal([]byte(text), &e); err != nil || code != c.code || e.Error.Message == "" {
			t.Fatalf("%s: status %d: %s", name, code, text)
		}
	}
	post(t, url+"/faults", Faults{Refuse: true})
	if code, text := post(t, url+"/v1/completions", fields{"model": "m", "prompt": "a"}); code != http.StatusServiceUnavailable || !strings.Contains(text, codeDraining) {
		t.Fatalf("status %d: %s", code, text)
	}
	post(t, url+"/faults", Faults{})
	completeWhole(t, url, fields{"prompt": "a", "seed": 77})
	if got := strings.TrimSpace(get(t, url+"/seeds")); got != `{"seeds":{"77":1}}` {
		t.Fatalf("seeds %s", got)
	}
}

// Guards against an engine that still answers after a fault killed it, or that ends its streams in an orderly way.
func TestDieResetsEverything(t *testing.T) {
	e := &Engine{Faults: Faults{DieAfterTokens: 20}}
	url, ended := startEngine(t, e)
	r, _ := openStream(t, url, fields{"prompt": "x", "max_tokens": 1 << 20})
	b, err := io.ReadAll(r)
	if err == nil || strings.Contains(string(b), "[DONE]") {
		t.Fatalf("stream ended in order: %v", err)
	}
	if err := <-ended; !errors.Is(err, ErrDied) {
		t.Fatalf("run ended with %v", err)
	}
	if code, _ := post(t, url+"/v1/completions", fields{"model": "m", "prompt": "x"}); code != 0 {
		t.Fatal("engine answers after its death")
	}
	if n := e.Stats().GeneratedTokens; n != 20 {
		t.Fatalf("generated %d tokens, want 20", n)
	}
	codes := make(chan int, 1)
	url, ended = startEngine(t, &Engine{Exit: func(code int) { codes <- code }})
	post(t, url+"/faults", Faults{Die: true})
	if code, err := <-codes, <-ended; code != 1 || !errors.Is(err, ErrDied) {
		t.Fatalf("exit code %d, run ended with %v", code, err)
	}
}

// Guards against the silent fault ending by itself or affecting new connections.
func TestSilenceHitsOpenConnectionsOnly(t *testing.T) {
	e := &Engine{TokensPerSecond: 300}
	url, _ := startEngine(t, e)
	r, leave := openStream(t, url, fields{"prompt": "x", "max_tokens": 1 << 20})
	if _, err := r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	post(t, url+"/faults", Faults{Silent: true})
	read := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, r)
		read <- err
	}()
	completeWhole(t, url, fields{"prompt": "y", "max_tokens": 10})
	if s := e.Stats(); s.Running != 1 {
		t.Fatalf("%d running, want the silent stream", s.Running)
	}
	select {
	case err := <-read:
		t.Fatalf("silent stream ended: %v", err)
	default:
	}
	leave()
	eventually(t, "closed silent stream frees its slot", func() bool { return e.Stats().Running == 0 })
}

// Guards against an engine that generates tokens while paused, and a slow factor without effect.
func TestPauseAndSlow(t *testing.T) {
	e := &Engine{TokensPerSecond: 1000}
	url, _ := startEngine(t, e)
	r, _ := openStream(t, url, fields{"prompt": "x", "max_tokens": 1 << 20})
	if _, err := r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	post(t, url+"/faults", Faults{PauseMS: -1})
	n := e.Stats().GeneratedTokens
	time.Sleep(50 * time.Millisecond)
	if d := e.Stats().GeneratedTokens - n; d > 1 {
		t.Fatalf("generated %d tokens in a pause", d)
	}
	post(t, url+"/faults", Faults{})
	eventually(t, "engine resumes", func() bool { return e.Stats().GeneratedTokens > n+10 })
	begin := time.Now()
	post(t, url+"/faults", Faults{Slow: 40})
	completeWhole(t, url, fields{"prompt": "x", "max_tokens": 5})
	if d := time.Since(begin); d < 4*40*time.Millisecond {
		t.Fatalf("slowed engine took %v for 5 tokens", d)
	}
}
