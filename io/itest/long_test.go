package itest

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a read timeout that still applies after the request body was read and cancels a longer answer.
func TestAnswerLongerThanReadTimeout(t *testing.T) {
	s := newSystem(t, systemSpec{
		controls: 1, routers: 1, engines: 1,
		engineArgs: []string{"-tokens-per-second", "20"}, routerArgs: []string{"-read-timeout", "300ms"},
	})
	status, _, got := sendRequest(t, http.MethodPost, s.routerAddresses[0], "/v1/completions", `{"model":"dente","prompt":"long","max_tokens":30}`, nil)
	var whole struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(got), &whole); err != nil || status != http.StatusOK || whole.Usage.CompletionTokens != 30 {
		t.Fatalf("answer %d %s", status, got)
	}
}

// Guards against a late answer, or one that says that the request may have run, when no engine can be reached.
func TestNoEngineIsToldInTime(t *testing.T) {
	t.Parallel()
	s := newSystem(t, systemSpec{controls: 1, routers: 1, engines: 2})
	for _, e := range s.engines {
		e.kill()
	}
	begin := time.Now()
	status, _, got := sendRequest(t, http.MethodPost, s.routerAddresses[0], "/v1/completions", `{"model":"dente","prompt":"x","max_tokens":5}`, nil)
	if status != http.StatusServiceUnavailable || !strings.Contains(got, `"outcome":"not-run"`) {
		t.Errorf("answer %d %s", status, got)
	}
	// Callers wait a few seconds at most.
	if d := time.Since(begin); d > 5*time.Second {
		t.Errorf("the answer took %s", d)
	}
}
