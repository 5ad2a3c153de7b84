package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	_ "wasabiweir/core/prop"
	"wasabiweir/core/token"
	"wasabiweir/io/serve"
	"wasabiweir/io/stand"

	"pgregory.net/rapid"
)

// testTimeout bounds the requests of a test.
const testTimeout = 10 * time.Second

// newClient returns a client for the address, with a transport of its own, and a context with the test's timeout.
func newClient(t *testing.T, address string) (*Client, context.Context) {
	tr := &Transport{}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() { cancel(); tr.CloseIdle() })
	return &Client{Address: address, Transport: tr}, ctx
}

// startStandIn runs a simulated engine until the test ends and returns a client for it.
func startStandIn(t *testing.T, e *stand.Engine) (*Client, context.Context) {
	t.Helper()
	e.Models = []string{"m"}
	e.Listener = stand.Listen(t)
	c, ctx := newClient(t, e.Listener.Addr().String())
	run, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(run)
	}()
	t.Cleanup(func() { cancel(); <-done })
	if _, err := c.Models(ctx); err != nil {
		t.Fatal(err)
	}
	return c, ctx
}

// startRawServer reads one request on each connection, writes the raw answer, and closes or resets the connection.
func startRawServer(t *testing.T, answer string, reset bool) (*Client, context.Context) {
	l := stand.Listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(c, answer)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return newClient(t, l.Addr().String())
}

// receiveAll reads a stream to its end and returns all token ids, the first chunk and the error that ended the stream.
func receiveAll(s *Stream) (ids []uint32, first Chunk, err error) {
	for n := 0; ; n++ {
		c, err := s.Recv()
		if err != nil {
			return ids, first, err
		}
		if n == 0 {
			first = c
		}
		ids = append(ids, c.TokenIDs...)
	}
}

// Guards against a stream that loses tokens or prompt token ids, or does not end with io.EOF.
func TestStreamCompletes(t *testing.T) {
	c, ctx := startStandIn(t, &stand.Engine{TokensPerSecond: 5000})
	s, err := c.StartGeneration(ctx, Request{Model: "m", Text: "a b c", MaxTokens: 30, Seed: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	ids, first, err := receiveAll(s)
	if !errors.Is(err, io.EOF) || !slices.Equal(first.PromptIDs, token.Tokenize("a b c")) {
		t.Fatalf("ended with %v, prompt ids %v", err, first.PromptIDs)
	}
	check := token.Checker{Model: "m", Seed: 4, Prompt: first.PromptIDs}
	for _, id := range ids {
		if err := check.Push(id); err != nil {
			t.Fatal(err)
		}
	}
	if err := check.Finish(30); err != nil {
		t.Fatal(err)
	}
}

// Guards against reusing a connection for a generation: an idle connection may be silent.
func TestGenerationsUseNewConnections(t *testing.T) {
	e := &stand.Engine{TokensPerSecond: 5000}
	c, ctx := startStandIn(t, e)
	faultClient := &Client{Address: c.Address, Transport: &Transport{}}
	t.Cleanup(faultClient.Transport.CloseIdle)
	if err := faultClient.callJSON(ctx, http.MethodPost, "/faults", stand.Faults{Silent: true}, nil); err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := c.Models(short); KindOf(err) != KindCanceled {
		t.Fatalf("silent idle connection: got %v", err)
	}
	s, err := c.StartGeneration(ctx, Request{Model: "m", Text: "a", MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, _, err := receiveAll(s); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
}

// Guards against a closed stream whose generation keeps its slot, or whose blocked reader does not return.
func TestCloseCancels(t *testing.T) {
	e := &stand.Engine{TokensPerSecond: 100}
	c, ctx := startStandIn(t, e)
	s, err := c.StartGeneration(ctx, Request{Model: "m", Text: "a", MaxTokens: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, _, err := receiveAll(s)
		ended <- err
	}()
	for e.Stats().GeneratedTokens == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Close()
	if err := <-ended; KindOf(err) != KindCanceled {
		t.Fatalf("reader ended with %v", err)
	}
	for end := time.Now().Add(testTimeout); e.Stats().Running > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("slot is still taken")
		}
	}
}

const (
	streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	tokenEvent   = `data: {"choices":[{"text":"x","token_ids":[1],"finish_reason":null}]}` + "\n\n"
	finishEvent  = `data: {"choices":[{"text":"","token_ids":[],"finish_reason":"length"}]}` + "\n\n"
)

// httpChunks encodes the parts in HTTP chunked encoding, without the terminating chunk.
func httpChunks(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(strings.ToLower(strings.TrimLeft(fourHexDigits(len(p)), "0")) + "\r\n" + p + "\r\n")
	}
	return b.String()
}

// fourHexDigits returns the lowest 16 bits of n as four hexadecimal digits.
func fourHexDigits(n int) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[n>>12&15], digits[n>>8&15], digits[n>>4&15], digits[n&15]})
}

// Guards against errors of the wrong kind. The kind decides whether and where a request is retried.
func TestErrorClasses(t *testing.T) {
	const end = "0\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		reset  bool
		kind   Kind
		tokens int
	}{
		"reset before the reply":        {"", true, KindReset, 0},
		"closed before the reply":       {"", false, KindReset, 0},
		"not HTTP":                      {"hello\r\n\r\n", false, KindProtocol, 0},
		"reset in the stream":           {streamHeader + httpChunks(tokenEvent), true, KindReset, -1},
		"closed in the stream":          {streamHeader + httpChunks(tokenEvent), false, KindReset, 1},
		"end without last event":        {streamHeader + httpChunks(tokenEvent) + end, false, KindProtocol, 1},
		"done without a finish reason":  {streamHeader + httpChunks(tokenEvent, "data: [DONE]\n\n") + end, false, KindProtocol, 1},
		"token after the finish reason": {streamHeader + httpChunks(tokenEvent, finishEvent, tokenEvent) + end, false, KindProtocol, 1},
		"not JSON":                      {streamHeader + httpChunks(tokenEvent, "data: {\n\n") + end, false, KindProtocol, 1},
		"unknown field":                 {streamHeader + httpChunks(tokenEvent, "dat: 1\n\n") + end, false, KindProtocol, 1},
		"error event":                   {streamHeader + httpChunks(tokenEvent, `data: {"error":{"message":"m","code":500}}`+"\n\n") + end, false, KindRefused, 1},
		"wrong content type":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, KindProtocol, 0},
		"refused":                       {"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", false, KindRefused, 0},
		"complete, then it closes":      {streamHeader + httpChunks(tokenEvent, finishEvent, "data: [DONE]\n\n"), false, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			client, ctx := startRawServer(t, c.answer, c.reset)
			s, err := client.StartGeneration(ctx, Request{Model: "m", Text: "a", MaxTokens: 5})
			var ids []uint32
			if err == nil {
				defer s.Close()
				ids, _, err = receiveAll(s)
			}
			if KindOf(err) != c.kind || (c.kind == "" && !errors.Is(err, io.EOF)) {
				t.Fatalf("got %v (%s), want %q", err, KindOf(err), c.kind)
			}
			if c.tokens >= 0 && len(ids) != c.tokens {
				t.Fatalf("got %d tokens, want %d", len(ids), c.tokens)
			}
			var e *Error
			if errors.As(err, &e) && !e.Sent {
				t.Fatal("error says that no byte was sent")
			}
			if name == "refused" && (e.RetryAfter != 3*time.Second || e.Status != http.StatusServiceUnavailable || e.Draining()) {
				t.Fatalf("refusal %+v", e)
			}
		})
	}
}

// Guards against a failed connection attempt that is reported as sent, an unlimited wait for an engine that does not
// read, and a draining engine that is not recognised as such.
func TestNotSentAndDraining(t *testing.T) {
	l := stand.Listen(t)
	l.Close()
	c, ctx := newClient(t, l.Addr().String())
	var e *Error
	if _, err := c.StartGeneration(ctx, Request{Model: "m", Text: "a"}); !errors.As(err, &e) || e.Kind != KindConnect || e.Sent {
		t.Fatalf("got %v", err)
	}
	l = stand.Listen(t) // accepts connections but never reads from them
	c, ctx = newClient(t, l.Addr().String())
	c.Transport.HeaderTimeout, c.Transport.WriteTimeout = 30*time.Millisecond, 30*time.Millisecond
	for _, size := range []int{1, 32 << 20} {
		if _, err := c.StartGeneration(ctx, Request{Model: "m", Text: strings.Repeat("a", size)}); !errors.As(err, &e) || e.Kind != KindTimeout || !e.Sent {
			t.Fatalf("%d bytes to an engine that does not read: got %v", size, err)
		}
	}
	c, ctx = startStandIn(t, &stand.Engine{Faults: stand.Faults{Refuse: true}})
	if _, err := c.StartGeneration(ctx, Request{Model: "m", Text: "a"}); !errors.As(err, &e) || !e.Draining() || e.RetryAfter != time.Second {
		t.Fatalf("got %v", err)
	}
}

// Guards against load reports, orders and cache events that the client and the engine encode differently.
func TestStateCalls(t *testing.T) {
	e := &stand.Engine{TokensPerSecond: 5000, ChecksFencing: true}
	c, ctx := startStandIn(t, e)
	s, err := c.StartGeneration(ctx, Request{Model: "m", Text: strings.Repeat("a ", 32), MaxTokens: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for e.Stats().GeneratedTokens == 0 {
		time.Sleep(time.Millisecond)
	}
	if l, err := c.Metrics(ctx); err != nil || l.Running != 1 || l.Usage <= 0 {
		t.Fatalf("load %+v, %v", l, err)
	}
	if _, err := c.SendOrder(ctx, Order{Fencing: Fencing{Term: 2}, Action: ActionLoadAdapter, Model: "m", Adapter: "b", Version: "1"}); err != nil {
		t.Fatal(err)
	}
	var orderErr *Error
	if _, err := c.SendOrder(ctx, Order{Fencing: Fencing{Term: 1}, Action: ActionUnloadModel, Model: "m"}); !errors.As(err, &orderErr) || orderErr.Code != CodeStaleFencing {
		t.Fatalf("old order: %v", err)
	}
	// An order is not written once its sender may no longer send it, whenever the connection was opened.
	expired := *c
	expired.NotAfter = time.Now()
	if _, err := expired.SendOrder(ctx, Order{Fencing: Fencing{Term: 3}, Action: ActionUnloadModel, Model: "m"}); KindOf(err) != KindTimeout {
		t.Fatalf("expired order: %v", err)
	}
	if o, err := c.ReadOrders(ctx); err != nil || len(o.Adapters) != 1 || o.Adapters[0].State != StateReady || o.Highest.Term != 2 {
		t.Fatalf("order state %+v, %v", o, err)
	}
	if m, err := c.Models(ctx); err != nil || !slices.Contains(m, Model{ID: "b", Parent: "m"}) {
		t.Fatalf("models %v, %v", m, err)
	}
	evs, err := c.CacheEvents(ctx, 0)
	if err != nil || len(evs.Events) == 0 || evs.LastSeq != 1 || evs.Events[0].Type != CacheStored {
		t.Fatalf("cache events %+v, %v", evs, err)
	}
	if !slices.Equal(evs.Events[0].BlockHashes, token.BlockHashes("m", evs.Events[0].TokenIDs)) {
		t.Fatal("block hashes do not match the token ids")
	}
	if evs, err = c.CacheEvents(ctx, evs.LastSeq); err != nil || len(evs.Events) != 0 {
		t.Fatalf("cache events %+v, %v", evs, err)
	}
}

// Guards against events that depend on how the stream is split into reads, against lines without a length limit, and
// against truncated events that are accepted.
func TestEventReader(t *testing.T) {
	const text = "id: 1\ndata: a\ndata: b\n\n: alive\r\nevent: error\r\ndata:c\r\n\r\n"
	for name, r := range map[string]io.Reader{
		"whole": strings.NewReader(text), "single bytes": iotest.OneByteReader(strings.NewReader(text)),
	} {
		er := EventReader{R: r}
		a, _ := er.Next()
		b, _ := er.Next()
		if (a != Event{ID: "1", Data: "a\nb"} || b != Event{ID: "1", Name: "error", Data: "c"}) {
			t.Fatalf("%s: got %+v and %+v", name, a, b)
		}
		if _, err := er.Next(); !errors.Is(err, io.EOF) {
			t.Fatalf("%s: ended with %v", name, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`(data: [a-z]{0,20}\n){1,3}\n`).Draw(t, "text")
		er := EventReader{R: strings.NewReader(text[:rapid.IntRange(1, len(text)-1).Draw(t, "cut")]), MaxEvent: 12}
		_, err := er.Next()
		if !errors.Is(err, ErrMalformed) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("cut or long stream: %v", err)
		}
	})
}

// Guards against an engine that does not read a large prompt and still sees its connection as open after the generation has ended,
// because its caller has left or because the prompt was not taken in time.
func TestUnreadPromptEndsWithReset(t *testing.T) {
	for name, x := range map[string]struct{ callerLeaves, writeTimeout time.Duration }{
		"caller leaves": {100 * time.Millisecond, time.Minute}, "write timeout": {time.Minute, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			l := stand.Listen(t)
			c := &Client{Address: l.Addr().String(), Transport: &Transport{WriteTimeout: x.writeTimeout}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan error, 1)
			go func() {
				_, err := c.StartGeneration(ctx, Request{Model: "m", Text: strings.Repeat("x", 8<<20), MaxTokens: 1})
				ended <- err
			}()
			nc, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			time.AfterFunc(x.callerLeaves, cancel)
			if err := <-ended; err == nil {
				t.Fatal("the generation has started")
			}
			for left := time.Now(); !serve.HasPeerClosed(nc); time.Sleep(5 * time.Millisecond) {
				if time.Since(left) > 500*time.Millisecond {
					t.Fatal("the engine is still connected")
				}
			}
		})
	}
}

// countingDialer counts the connections that it opens, none of which may be used for a second request.
type countingDialer struct{ opened atomic.Int32 }

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.opened.Add(1)
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func (d *countingDialer) IsUsable(net.Conn, string, time.Time) bool { return false }

// Guards against requests on idle connections that hang since their engine is out of reach.
func TestUnusableIdleConnection(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "vllm:num_requests_running 1\n")
	}))
	defer s.Close()
	d := &countingDialer{}
	c := &Client{Address: s.Listener.Addr().String(), Transport: &Transport{Dialer: d}}
	for range 3 {
		if _, err := c.Metrics(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if n := d.opened.Load(); n != 3 {
		t.Errorf("%d connections were opened, want 3", n)
	}
}
