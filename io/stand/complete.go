package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"wasabiweir/core/token"

	"github.com/rotisserie/eris"
)

// defaultMaxTokens is the output limit of a generation request without max_tokens, as in the completions API.
const defaultMaxTokens = 16

// completionRequest is the body of POST /v1/completions to the simulated engine.
type completionRequest struct {
	Model          string          `json:"model"`
	Prompt         json.RawMessage `json:"prompt"`
	MaxTokens      *int            `json:"max_tokens"`
	Seed           uint64          `json:"seed"`
	Priority       int             `json:"priority"`
	Stream         bool            `json:"stream"`
	ReturnTokenIDs bool            `json:"return_token_ids"`
	RequestID      string          `json:"request_id"`
}

// completionChoice is the output in a completion reply or a chunk of a streamed one.
type completionChoice struct {
	Index          int      `json:"index"`
	Text           string   `json:"text"`
	TokenIDs       []uint32 `json:"token_ids,omitempty"`
	PromptTokenIDs []uint32 `json:"prompt_token_ids,omitempty"`
	FinishReason   *string  `json:"finish_reason"`
}

// completionUsage holds the numbers of prompt and output tokens of a completion.
type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completionReply is the body of the reply to a completion request, or one chunk of a streamed reply.
type completionReply struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

// handleCompletion handles POST /v1/completions. It cancels the generation if the caller disconnects.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	if e.refusesWork() {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, codeDraining, "engine accepts no new work")
		return
	}
	var req completionRequest
	if !decodeBody(w, r, &req) {
		return
	}
	j, err := e.newJob(&req)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.servesModel(req.Model) {
		writeError(w, http.StatusNotFound, "model_not_found", "model "+strconv.Quote(req.Model)+" is not loaded")
		return
	}
	e.submitJob(j)
	defer e.cancelJob(j)
	if req.Stream {
		e.streamCompletion(w, r, &req, j)
		return
	}
	e.sendCompletion(w, r, &req, j)
}

// newJob validates a completion request and returns the generation job for it.
func (e *Engine) newJob(req *completionRequest) (*job, error) {
	ids, err := promptIDs(req.Prompt)
	if err != nil {
		return nil, fmt.Errorf("prompt: %w", err)
	}
	limit := defaultMaxTokens
	if req.MaxTokens != nil {
		limit = *req.MaxTokens
	}
	if limit < 0 {
		return nil, eris.New("max_tokens is negative")
	}
	if e.ContextTokens > 0 && len(ids)+limit > e.ContextTokens {
		return nil, eris.Errorf("prompt of %d and output of %d tokens exceed the context of %d", len(ids), limit, e.ContextTokens)
	}
	j := &job{
		seed:         req.Seed,
		model:        req.Model,
		tokenIDs:     ids,
		promptTokens: len(ids),
		promptIDs:    ids,
		outputTokens: token.OutputLength(req.Seed, len(ids), limit),
		maxTokens:    limit,
		priority:     req.Priority,
		sampler:      token.NewOutputChain(req.Model, req.Seed),
		output:       outputBuffer{updated: make(chan struct{}, 1)},
	}
	j.sampler.AddAll(ids)
	return j, nil
}

// promptIDs returns the token ids of a prompt that is either a string or a list of token ids.
func promptIDs(raw json.RawMessage) ([]uint32, error) {
	var ids []uint32
	if err := json.Unmarshal(raw, &ids); err == nil && len(ids) > 0 {
		return ids, nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil || text == "" {
		return nil, eris.New("must be a text or a list of token ids that is not empty")
	}
	return token.Tokenize(text), nil
}

// newReply returns the completion reply, or the chunk of a streamed one, that carries the given tokens. An empty
// finish reason is encoded as null.
func (e *Engine) newReply(req *completionRequest, j *job, ids []uint32, finish string) completionReply {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(token.TokenText(id))
	}
	c := completionChoice{Text: text.String()}
	if req.ReturnTokenIDs {
		c.TokenIDs = ids
	}
	if finish != "" {
		c.FinishReason = &finish
	}
	id := req.RequestID
	if id == "" {
		id = "cmpl-" + strconv.FormatUint(j.seq, 10)
	}
	return completionReply{
		ID: id, Object: "text_completion", Created: e.Clock.Now().Unix(), Model: req.Model,
		Choices: []completionChoice{c},
	}
}

// streamCompletion sends the output of a generation job as server-sent events while it is generated.
func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, req *completionRequest, j *job) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	if err := out.Flush(); err != nil {
		return
	}
	for first := true; ; first = false {
		select {
		case <-r.Context().Done():
			return
		case <-j.output.updated:
		}
		ids, finish := j.output.takeTokens()
		chunk := e.newReply(req, j, ids, finish)
		if first && req.ReturnTokenIDs {
			chunk.Choices[0].PromptTokenIDs = j.promptIDs
		}
		body, err := json.Marshal(chunk)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
			return
		}
		if finish != "" {
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n") // net/http flushes the buffer when the handler returns
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
	}
}

// sendCompletion waits for a generation job to finish and sends its whole output as one JSON reply.
func (e *Engine) sendCompletion(w http.ResponseWriter, r *http.Request, req *completionRequest, j *job) {
	var all []uint32
	for {
		select {
		case <-r.Context().Done():
			return
		case <-j.output.updated:
		}
		ids, finish := j.output.takeTokens()
		all = append(all, ids...)
		if finish == "" {
			continue
		}
		body := e.newReply(req, j, all, finish)
		if req.ReturnTokenIDs {
			body.Choices[0].PromptTokenIDs = j.promptIDs
		}
		body.Usage = &completionUsage{PromptTokens: j.promptTokens, CompletionTokens: len(all), TotalTokens: j.promptTokens + len(all)}
		writeJSON(w, http.StatusOK, body)
		return
	}
}
