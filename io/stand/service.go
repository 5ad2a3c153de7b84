package stand

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"wasabiweir/io/serve"
)

// IdempotencyKeyHeader is the HTTP header with the idempotency key of a service call.
const IdempotencyKeyHeader = "Idempotency-Key"

// Service simulates a plain HTTP service: it echoes each request and counts executions by idempotency key. The paths
// /executions, /faults, /metrics and /health serve its own API; a request to any other path is a call.
type Service struct {
	Server
	// Latency is the time between the execution of a service call and its reply.
	Latency time.Duration
	// Faults are the injected faults that are active from the service's start.
	Faults ServiceFaults
	// Exit, if set, is called when a fault kills the service; the standin service command ends the process with it.
	Exit func(code int)

	serviceMu    sync.Mutex // guards the fields below
	activeFaults ServiceFaults
	slowUntil    time.Time // end of the SlowMS fault; zero means none
	executions   Executions
	inFlight     int // calls that are executing or waiting for their reply
}

// ServiceFaults is the body of POST /faults of a simulated service. It replaces all active faults.
type ServiceFaults struct {
	// DropReplies is the number of upcoming service calls that are executed, but whose connection is reset instead of
	// a reply.
	DropReplies int `json:"drop-replies,omitempty"`
	// CloseBeforeRead is the number of upcoming service calls whose connection is reset before the body is read; they
	// are not executed.
	CloseBeforeRead int `json:"close-before-read,omitempty"`
	// Silent makes all other open connections drop their traffic until they are closed; new connections work normally.
	Silent bool `json:"silent,omitempty"`
	// SlowMS is the time in milliseconds that is added to the service's Latency.
	SlowMS int64 `json:"slow-ms,omitempty"`
	// DieOnWord kills the service when it has received a call whose query or body contains the word.
	DieOnWord string `json:"die-on-word,omitempty"`
	// ForMS ends SlowMS after this many milliseconds; zero means that it stays until the faults are replaced.
	ForMS int64 `json:"for-ms,omitempty"`
}

// Executions is the reply to GET /executions: the number of executed service calls, in total and by idempotency key.
// Calls without a key count under the empty key.
type Executions struct {
	Total int            `json:"total"`
	Keys  map[string]int `json:"keys"`
}

// Echo is the body of the simulated service's reply to a call. Execution is the number of times that the call's
// idempotency key has been executed.
type Echo struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	Query     string `json:"query,omitempty"`
	Key       string `json:"key,omitempty"`
	Body      string `json:"body"`
	Execution int    `json:"execution"`
}

// Run serves requests to the simulated service until ctx ends. It returns an error if the listener fails.
func (s *Service) Run(ctx context.Context) error {
	if err := s.openListener(); err != nil {
		return err
	}
	s.setActiveFaults(s.Faults)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /executions", s.handleExecutions)
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("GET /metrics", s.handleMetrics)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
	})
	mux.HandleFunc("/", s.handleCall)
	var g run.Group
	s.addHTTPServer(ctx, &g, mux)
	return runResult(g.Run())
}

// Executions returns the number of service calls that were executed, in total and by idempotency key.
func (s *Service) Executions() Executions {
	s.serviceMu.Lock()
	defer s.serviceMu.Unlock()
	return Executions{Total: s.executions.Total, Keys: maps.Clone(s.executions.Keys)}
}

// setActiveFaults replaces all faults that are active in the simulated service.
func (s *Service) setActiveFaults(f ServiceFaults) {
	s.serviceMu.Lock()
	defer s.serviceMu.Unlock()
	s.activeFaults = f
	s.slowUntil = time.Time{}
	if f.ForMS > 0 {
		s.slowUntil = s.Clock.Now().Add(time.Duration(f.ForMS) * time.Millisecond)
	}
}

// handleCall executes a service call and replies with an Echo of it, subject to the active faults.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	if s.takeFault(&s.activeFaults.CloseBeforeRead) {
		resetConnectionOf(r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	if s.isDeadly(r.URL.RawQuery, string(body)) {
		s.die()
		return
	}
	n, wait := s.countExecution(key)
	defer s.endCall()
	drop := s.takeFault(&s.activeFaults.DropReplies)
	if !serve.Sleep(r.Context(), wait) {
		return
	}
	if drop {
		resetConnectionOf(r)
		return
	}
	writeJSON(w, http.StatusOK, Echo{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Key: key, Body: string(body), Execution: n,
	})
}

// isDeadly reports whether a fault kills the service on a call with the texts.
func (s *Service) isDeadly(texts ...string) bool {
	s.serviceMu.Lock()
	defer s.serviceMu.Unlock()
	word := s.activeFaults.DieOnWord
	return word != "" && slices.ContainsFunc(texts, func(t string) bool { return strings.Contains(t, word) })
}

// die simulates the sudden death of the service: it calls Exit, if it is set, and resets all connections.
func (s *Service) die() {
	s.Log.Warn("service-killed")
	if s.Exit != nil {
		s.Exit(1)
	}
	s.resetConnections()
}

// takeFault decrements the number of upcoming service calls that a fault still applies to. It returns false if the
// number is zero.
func (s *Service) takeFault(count *int) bool {
	s.serviceMu.Lock()
	defer s.serviceMu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// countExecution counts an execution of the service call with the idempotency key. It returns the number of executions
// of that key and the time to wait before the reply.
func (s *Service) countExecution(key string) (int, time.Duration) {
	s.serviceMu.Lock()
	defer s.serviceMu.Unlock()
	if s.executions.Keys == nil {
		s.executions.Keys = make(map[string]int)
	}
	s.executions.Total++
	s.executions.Keys[key]++
	s.inFlight++
	wait := s.Latency
	if s.slowUntil.IsZero() || s.Clock.Now().Before(s.slowUntil) {
		wait += time.Duration(s.activeFaults.SlowMS) * time.Millisecond
	}
	return s.executions.Keys[key], wait
}

// endCall decrements the number of service calls in flight.
func (s *Service) endCall() {
	s.serviceMu.Lock()
	defer s.serviceMu.Unlock()
	s.inFlight--
}

// handleExecutions handles GET /executions: it returns the number of executed service calls, in total and by key.
func (s *Service) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Executions())
}

// handleFaults handles POST /faults: it replaces the service's active faults by those in the request.
func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if !decodeBody(w, r, &f) {
		return
	}
	s.Log.Info("faults-replaced", zap.Any("faults", f))
	s.setActiveFaults(f)
	if f.Silent {
		s.silenceOtherConnections(r)
	}
	writeJSON(w, http.StatusOK, f)
}

// handleMetrics handles GET /metrics of the simulated service.
func (s *Service) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	s.serviceMu.Lock()
	n := s.inFlight
	s.serviceMu.Unlock()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeMetric(w, "gauge", "requests_in_flight", float64(n))
}
