package stand

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"wasabiweir/core/token"

	"github.com/oklog/run"
)

// Default settings of a simulated engine. They resemble a mid-size model on one accelerator.
const (
	defaultSlots                  = 16
	defaultTokensPerSecond        = 50.0 // for one request that runs alone
	defaultPrefillTokensPerSecond = 8000.0
	defaultPrefillChunk           = 512
	defaultCacheTokens            = 1 << 17
	defaultKVTokens               = 1 << 18
)

// headerSoftware is the header in which the simulated engine reports its software version.
const headerSoftware = "Engine-Software"

// Engine simulates a model engine with continuous batching, a prefix cache, priorities and delayed load reports. An
// Engine can be run only once.
type Engine struct {
	Server
	// Models are the models that are loaded at the start, each as name or name@version.
	Models []string
	// Slots is the largest number of generations that run at once; zero means 16.
	Slots int
	// TokensPerSecond is the generation rate of one request that runs alone; zero means 50.
	TokensPerSecond float64
	// BatchSlowdown is the fraction of the base duration of a batch step by which each additional generating request
	// lengthens the step.
	BatchSlowdown float64
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are processed; zero means 8000.
	PrefillTokensPerSecond float64
	// PrefillChunk is the largest number of prompt tokens that are processed in one batch step; zero means 512.
	PrefillChunk int
	// PrefixCacheTokens is the capacity of the prefix cache in tokens; zero means 131072, a negative value no cache.
	PrefixCacheTokens int
	// KVTokens is the number of tokens at which the engine reports a KV cache usage of 1; zero means 262144.
	KVTokens int
	// ContextTokens is the largest sum of a request's prompt and output tokens; zero means no limit.
	ContextTokens int
	// Salt is encoded in the low bits of each generated token id.
	Salt uint32
	// Software is the software version that the engine reports in a header of all replies; empty means that it reports
	// none. Engines of different versions should have a different Salt.
	Software string
	// ReportLag is the age of the load values that GET /metrics returns.
	ReportLag time.Duration
	// CacheEventLag is the delay before a prefix cache event is published.
	CacheEventLag time.Duration
	// CacheEventLoss is the share of prefix cache events that are dropped, from 0 to 1.
	CacheEventLoss float64
	// ChecksFencing makes the engine refuse control orders with a fencing number below the highest one seen.
	ChecksFencing bool
	// OrderLatency is the time that loading a model or an adapter by a control order takes.
	OrderLatency time.Duration
	// RecordSeeds makes the engine count generations by seed and return the counts from GET /seeds.
	RecordSeeds bool
	// Faults are the injected faults that are active from the engine's start.
	Faults Faults
	// Exit is called to end the operating system process when a fault kills the engine. If it is nil, only the
	// connections are reset.
	Exit func(code int)

	engineMu     sync.Mutex // guards the fields below
	batch        jobBatch
	cache        prefixCache
	samples      sampleLog
	state        engineState
	activeFaults activeFaults
	stats        Stats
	seeds        map[uint64]int
	workQueued   chan struct{}
	died         bool
}

// Stats holds the simulated engine's current load and its totals since the start, without the lag of its load reports.
type Stats struct {
	Running         int   `json:"running"`
	Waiting         int   `json:"waiting"`
	Started         int64 `json:"started"`
	Finished        int64 `json:"finished"`
	Cancelled       int64 `json:"cancelled"`
	PromptTokens    int64 `json:"prompt-tokens"`
	PrefilledTokens int64 `json:"prefilled-tokens"`
	GeneratedTokens int64 `json:"generated-tokens"`
}

// Run serves requests to the simulated engine until ctx ends. It returns ErrDied if a fault killed the engine, and an
// error if the listener fails.
func (e *Engine) Run(ctx context.Context) error {
	if err := e.initEngine(); err != nil {
		return err
	}
	var g run.Group
	e.addHTTPServer(ctx, &g, e.httpHandler())
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return e.loop(ctx) }, func(error) { cancel() })
	err := g.Run()
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if e.died {
		return ErrDied
	}
	return runResult(err)
}

// Stats returns the engine's current load and its totals since the start.
func (e *Engine) Stats() Stats {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	s := e.stats
	s.Running = len(e.batch.running)
	s.Waiting = e.batch.waiting.Len()
	return s
}

// initEngine opens the engine's listener, applies the default settings and loads the initial models and faults.
func (e *Engine) initEngine() error {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	if err := e.openListener(); err != nil {
		return err
	}
	e.Slots = orDefault(e.Slots, defaultSlots)
	e.TokensPerSecond = orDefault(e.TokensPerSecond, defaultTokensPerSecond)
	e.PrefillTokensPerSecond = orDefault(e.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	e.PrefillChunk = orDefault(e.PrefillChunk, defaultPrefillChunk)
	e.PrefixCacheTokens = orDefault(e.PrefixCacheTokens, defaultCacheTokens)
	e.KVTokens = orDefault(e.KVTokens, defaultKVTokens)
	e.seeds = make(map[uint64]int)
	e.workQueued = make(chan struct{}, 1)
	e.cache = prefixCache{
		capacity: max(0, e.PrefixCacheTokens/token.BlockTokens),
		events:   cacheEventLog{lossRate: e.CacheEventLoss, rng: rand.New(rand.NewPCG(uint64(e.Salt)+1, 1))},
	}
	e.state = engineState{checksFencing: e.ChecksFencing, orderLatency: e.OrderLatency}
	for i, model := range e.Models {
		name, version, _ := strings.Cut(model, "@")
		e.Models[i] = name
		e.state.putItem(name, loadedItem{version: version})
	}
	e.activeFaults.replaceFaults(e.Clock.Now(), e.Faults)
	return nil
}

// orDefault returns the setting's value v, or its default d if v is zero.
func orDefault[T int | float64](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// httpHandler returns the engine's HTTP API. All requests except those to /faults are held while a fault pauses the
// engine.
func (e *Engine) httpHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /v1/models", e.handleModels)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.handleLoadAdapter)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.handleUnloadAdapter)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/orders", e.handleReadOrders)
	mux.HandleFunc("GET /v1/cache-events", e.handleCacheEvents)
	mux.HandleFunc("GET /metrics", e.handleMetrics)
	mux.HandleFunc("GET /health", e.handleHealth)
	mux.HandleFunc("GET /stats", e.handleStats)
	mux.HandleFunc("GET /seeds", e.handleSeeds)
	mux.HandleFunc("POST /faults", e.handleFaults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/faults" && !e.waitWhilePaused(r.Context()) {
			return
		}
		if e.Software != "" {
			w.Header().Set(headerSoftware, e.Software)
		}
		mux.ServeHTTP(w, r)
	})
}

// handleHealth handles GET /health of the simulated engine.
func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// handleSeeds handles GET /seeds: it returns how many generations the engine has run with each seed.
func (e *Engine) handleSeeds(w http.ResponseWriter, _ *http.Request) {
	e.engineMu.Lock()
	seeds := maps.Clone(e.seeds)
	e.engineMu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"seeds": seeds})
}

// handleStats handles GET /stats: it returns the engine's current load and its totals since the start.
func (e *Engine) handleStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Stats())
}
