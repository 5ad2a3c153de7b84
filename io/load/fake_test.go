package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/token"
	"wasabiweir/io/engine"
	"wasabiweir/io/stand"
)

// testTimeout bounds each test.
const testTimeout = 20 * time.Second

// fakeGeneration is a generation of the fake routers with its complete output.
type fakeGeneration struct {
	model  string
	seed   uint64
	prompt []uint32
	ids    []uint32
}

// fakeRouters is a set of fake routers that share their generations, so that a stream can be resumed at any of them.
type fakeRouters struct {
	breakEvery     int                                  // number of events after which a stream breaks; zero means never
	corrupt        func(ids []uint32) []uint32          // changes the output to send
	refuse         func(address string) *common.Refusal // returns the refusal of a new generation, or nil
	loseJournal    bool                                 // ends each stream with an error event after three tokens
	extraCallSends int                                  // number of additional executions of each call
	refuseAfterRun bool                                 // replies not-run although the call was executed
	serviceAddress string

	mu           sync.Mutex
	refusedSeeds map[uint64]int // seeds of refused generations
	generations  []fakeGeneration
	addresses    []string
}

// writeRefusal replies with a refusal.
func writeRefusal(w http.ResponseWriter, r *common.Refusal) {
	w.WriteHeader(r.Status())
	_, _ = w.Write(refusalJSON(r))
}

// refusalJSON returns the JSON encoding of a refusal.
func refusalJSON(r *common.Refusal) []byte {
	b, _ := json.Marshal(map[string]any{"error": map[string]any{
		"reason": r.Reason, "outcome": r.Outcome, "message": r.Message, "address": r.Address,
	}})
	return b
}

// start runs n fake routers until the test ends and returns a caller whose seed is the first of them.
func (f *fakeRouters) start(t *testing.T, n int) *Caller {
	f.refusedSeeds = make(map[uint64]int)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /seeds", f.serveSeeds)
	mux.HandleFunc("GET /v1/addresses", f.serveAddresses)
	mux.HandleFunc("POST /v1/completions", f.complete)
	mux.HandleFunc("GET /v1/completions/resume", f.resume)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", f.call)
	for range n {
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		f.addresses = append(f.addresses, s.Listener.Addr().String())
	}
	tr := &engine.Transport{}
	t.Cleanup(tr.CloseIdle)
	return &Caller{Addresses: &Addresses{Seeds: f.addresses[:1], Transport: tr}, Transport: tr}
}

// serveAddresses replies with the addresses of all fake routers.
func (f *fakeRouters) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	var a routerListReply
	for _, s := range f.addresses {
		a.Addresses = append(a.Addresses, Address{Address: s, Weight: 1})
	}
	a.TTLMS = 1000
	_ = json.NewEncoder(w).Encode(a)
}

// serveSeeds replies like an engine that ran the generations which the routers refused.
func (f *fakeRouters) serveSeeds(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"seeds": f.refusedSeeds})
}

// complete starts a generation, or refuses it, and streams its output.
func (f *fakeRouters) complete(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Seed      uint64 `json:"seed"`
	}
	_ = json.NewDecoder(r.Body).Decode(&req)
	if f.refuse != nil {
		if ref := f.refuse(r.Host); ref != nil {
			f.mu.Lock()
			f.refusedSeeds[req.Seed]++
			f.mu.Unlock()
			writeRefusal(w, ref)
			return
		}
	}
	g := fakeGeneration{model: req.Model, seed: req.Seed, prompt: token.Tokenize(req.Prompt)}
	c := token.NewOutputChain(g.model, g.seed)
	c.AddAll(g.prompt)
	for range token.OutputLength(g.seed, len(g.prompt), req.MaxTokens) {
		id := c.Next(5)
		c.Add(id)
		g.ids = append(g.ids, id)
	}
	if f.corrupt != nil {
		g.ids = f.corrupt(g.ids)
	}
	f.mu.Lock()
	f.generations = append(f.generations, g)
	n := len(f.generations) - 1
	f.mu.Unlock()
	f.stream(w, n, 0)
}

// resume streams the rest of a generation. The id of the last event holds the generation's number and the number of
// tokens sent.
func (f *fakeRouters) resume(w http.ResponseWriter, r *http.Request) {
	n, at, _ := strings.Cut(r.Header.Get("Last-Event-ID"), ":")
	i, _ := strconv.Atoi(n)
	from, _ := strconv.Atoi(at)
	f.stream(w, i, from)
}

// stream sends the output of generation n, starting with the token at index from.
func (f *fakeRouters) stream(w http.ResponseWriter, n, from int) {
	f.mu.Lock()
	g := f.generations[n]
	f.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for i, id := range g.ids[from:] {
		if f.breakEvery > 0 && i == f.breakEvery {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if f.loseJournal && i == 3 {
			ref := common.Refusal{Reason: common.ReasonJournalLost, Outcome: common.OutcomeUnknown}
			fmt.Fprintf(w, "event: error\ndata: %s\n\n", refusalJSON(&ref))
			return
		}
		end := "null"
		if from+i == len(g.ids)-1 {
			end = `"length"`
		}
		fmt.Fprintf(w, "id: %d:%d\ndata: {\"choices\":[{\"text\":%q,\"token_ids\":[%d],\"finish_reason\":%s}]}\n\n",
			n, from+i+1, token.TokenText(id), id, end)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// call forwards a call to the simulated service and replies with an echo of its key and body.
func (f *fakeRouters) call(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(keyHeader)
	for i := range f.extraCallSends + 1 {
		req, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+f.serviceAddress+"/"+r.PathValue("path"), strings.NewReader("call "+key))
		req.Header.Set(keyHeader, key)
		reply, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer reply.Body.Close()
		if f.refuseAfterRun {
			writeRefusal(w, common.NewNotRunRefusal(common.ReasonOverloaded, "", "no"))
			return
		}
		if i == f.extraCallSends {
			_, _ = fmt.Fprintf(w, `{"key":%q,"body":%q}`, key, "call "+key)
		}
	}
}

// startService runs a simulated service until the test ends and returns its address.
func startService(t *testing.T, s *stand.Service) string {
	l := stand.Listen(t)
	s.Listener = l
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done; http.DefaultTransport.(*http.Transport).CloseIdleConnections() })
	return l.Addr().String()
}
