package stand

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"wasabiweir/core/clock"
)

// Guards against an engine that checks fencing numbers but accepts an old order, and against one that does not check
// them but hides that it applied an old order.
func TestOrdersAndFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		now := &clock.Manual{}
		url, _ := startEngine(t, &Engine{Server: Server{Clock: now}, ChecksFencing: checks, OrderLatency: time.Second})
		send := func(term uint64, action, model string) int {
			code, _ := post(t, url+"/v1/orders", orderRequest{Fencing: fencing{Term: term, Index: 1}, Action: action, Model: model, Version: "2"})
			return code
		}
		if code := send(9, "explode", "n"); code != http.StatusBadRequest {
			t.Fatalf("unknown action: status %d", code)
		}
		if code := send(3, actionLoadModel, "n"); code != http.StatusOK {
			t.Fatalf("status %d", code)
		}
		if strings.Contains(get(t, url+"/v1/models"), `"n"`) {
			t.Fatal("model is served before the order's latency")
		}
		now.Advance(time.Second)
		if !strings.Contains(get(t, url+"/v1/models"), `"n"`) {
			t.Fatal("model is not served after the order's latency")
		}
		code := send(2, actionUnloadModel, "n")
		var s orderState
		if err := json.Unmarshal([]byte(get(t, url+"/v1/orders")), &s); err != nil {
			t.Fatal(err)
		}
		if checks && (code != http.StatusConflict || len(s.Models) != 2 || s.Fencing.Term != 3) {
			t.Fatalf("old order: status %d, state %+v", code, s)
		}
		if !checks && (code != http.StatusOK || len(s.Models) != 1 || s.Fencing.Term != 2 || s.Highest.Term != 3) {
			t.Fatalf("old order: status %d, state %+v", code, s)
		}
	}
}

// Guards against adapters that stay loaded after their model is unloaded, or are served without being loaded.
func TestAdapters(t *testing.T) {
	url, _ := startEngine(t, &Engine{})
	post(t, url+"/v1/load_lora_adapter", adapterRequest{LoraName: "a", LoraPath: "1"})
	if code, text := post(t, url+"/v1/completions", fields{"model": "a", "prompt": "x"}); code != http.StatusOK {
		t.Fatalf("status %d: %s", code, text)
	}
	post(t, url+"/v1/orders", orderRequest{Action: actionUnloadModel, Model: "m"})
	if code, _ := post(t, url+"/v1/completions", fields{"model": "a", "prompt": "x"}); code != http.StatusNotFound {
		t.Fatalf("status %d for an adapter without its model", code)
	}
}

// Guards against metrics that change before the configured report lag has passed.
func TestReportLag(t *testing.T) {
	now := &clock.Manual{}
	e := &Engine{Server: Server{Clock: now}, ReportLag: time.Second, TokensPerSecond: 200}
	url, _ := startEngine(t, e)
	_, leave := openStream(t, url, fields{"prompt": "x", "max_tokens": 1 << 20})
	eventually(t, "request runs", func() bool { return e.Stats().GeneratedTokens > 0 })
	if got := get(t, url+"/metrics"); !strings.Contains(got, "vllm:num_requests_running{engine=\"0\"} 0\n") {
		t.Fatalf("metrics changed before the lag:\n%s", got)
	}
	now.Advance(time.Second)
	if got := get(t, url+"/metrics"); !strings.Contains(got, "vllm:num_requests_running{engine=\"0\"} 1\n") {
		t.Fatalf("metrics after the lag:\n%s", got)
	}
	leave()
	eventually(t, "request ends", func() bool { return e.Stats().Running == 0 })
	if got := get(t, url+"/metrics"); !strings.Contains(got, "vllm:num_requests_running{engine=\"0\"} 1\n") {
		t.Fatalf("metrics changed before the lag:\n%s", got)
	}
}

// cacheEventList is the reply to GET /v1/cache-events.
type cacheEventList struct {
	Events []cacheEvent `json:"events"`
}

// readCacheEvents returns the cache events that the engine has published.
func readCacheEvents(t *testing.T, url string) []cacheEvent {
	t.Helper()
	var l cacheEventList
	if err := json.Unmarshal([]byte(get(t, url+"/v1/cache-events")), &l); err != nil {
		t.Fatal(err)
	}
	return l.Events
}

// Guards against cache events that are published before their lag, lost events that leave no gap in the sequence
// numbers, and a cache that does not save prompt processing.
func TestCacheAndItsEvents(t *testing.T) {
	now := &clock.Manual{}
	e := &Engine{Server: Server{Clock: now}, CacheEventLag: time.Second, CacheEventLoss: 0.5, PrefixCacheTokens: 160}
	url, _ := startEngine(t, e)
	prompt := strings.Repeat("word ", 64)
	completeWhole(t, url, fields{"prompt": prompt, "max_tokens": 1})
	cold := e.Stats().PrefilledTokens
	completeWhole(t, url, fields{"prompt": prompt, "max_tokens": 1})
	if warm := e.Stats().PrefilledTokens - cold; cold < 64 || warm > 16 {
		t.Fatalf("prefilled %d, then %d tokens", cold, warm)
	}
	for _, p := range "abcdefghijklmnopqrst" {
		completeWhole(t, url, fields{"prompt": strings.Repeat(string(p)+" ", 64), "max_tokens": 1})
	}
	if evs := readCacheEvents(t, url); len(evs) != 0 {
		t.Fatalf("%d events before their lag", len(evs))
	}
	now.Advance(time.Second)
	evs := readCacheEvents(t, url)
	last := evs[len(evs)-1].Seq
	types := map[string]bool{}
	for _, ev := range evs {
		types[ev.Type] = true
	}
	if uint64(len(evs)) >= last || !types[eventStored] || !types[eventRemoved] {
		t.Fatalf("%d events up to number %d, types %v", len(evs), last, types)
	}
}

// Guards against a service that miscounts a call whose reply is lost or whose connection is closed before the body is
// read.
func TestServiceCountsExecutions(t *testing.T) {
	s := &Service{Latency: time.Millisecond}
	var url string
	s.Listener, url = listen(t)
	startStandIn(t, s)
	call := func(key string) (int, Echo) {
		req, _ := http.NewRequest(http.MethodPut, url+"/visits/7?x=1", strings.NewReader("body"))
		req.Header.Set(IdempotencyKeyHeader, key)
		r, err := newClient(t).Do(req)
		if err != nil {
			return 0, Echo{}
		}
		defer r.Body.Close()
		var e Echo
		_ = json.NewDecoder(r.Body).Decode(&e)
		return r.StatusCode, e
	}
	if code, e := call("a"); code != http.StatusOK || e.Body != "body" || e.Path != "/visits/7" || e.Execution != 1 {
		t.Fatalf("status %d, reply %+v", code, e)
	}
	post(t, url+"/faults", ServiceFaults{DropReplies: 1})
	if code, _ := call("b"); code != 0 {
		t.Fatal("dropped reply arrived")
	}
	post(t, url+"/faults", ServiceFaults{CloseBeforeRead: 1})
	if code, _ := call("c"); code != 0 {
		t.Fatal("reply from a closed connection")
	}
	begin := time.Now()
	post(t, url+"/faults", ServiceFaults{SlowMS: 40})
	call("a")
	if d := time.Since(begin); d < 40*time.Millisecond {
		t.Fatalf("slowed service answered after %v", d)
	}
	var got Executions
	if err := json.Unmarshal([]byte(get(t, url+"/executions")), &got); err != nil {
		t.Fatal(err)
	}
	if got.Keys["a"] != 2 || got.Keys["b"] != 1 || got.Keys["c"] != 0 || got.Total != 3 {
		t.Fatalf("executions %+v", got)
	}
}

// Guards against an instance list that changes before its lag has passed, and entries that cannot be changed or
// removed.
func TestListingLag(t *testing.T) {
	now := &clock.Manual{}
	l := &Listing{Server: Server{Clock: now}, Lag: time.Second, Instances: []Instance{{Name: "a", State: "live"}, {Name: "b", State: "live"}}}
	var url string
	l.Listener, url = listen(t)
	startStandIn(t, l)
	now.Advance(time.Hour)
	post(t, url+"/", []Instance{{Name: "a", State: "leaving"}, {Name: "b", State: StateGone}})
	if got := get(t, url+"/"); strings.Contains(got, "leaving") || !strings.Contains(got, `"b"`) {
		t.Fatalf("list changed before the lag: %s", got)
	}
	now.Advance(time.Second)
	if got := get(t, url+"/"); !strings.Contains(got, "leaving") || strings.Contains(got, `"b"`) {
		t.Fatalf("list after the lag: %s", got)
	}
}
